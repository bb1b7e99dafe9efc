package caller

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
)

// TestDeadlineOf guards against a deadline that depends on how the caller spells it or on the processor, or is later than the route's.
func TestDeadlineOf(t *testing.T) {
	const limit = 2 * time.Second
	cases := map[string]struct {
		stated string
		want   time.Duration
	}{
		"none":         {want: limit},
		"digits":       {stated: "1500", want: 1500 * time.Millisecond},
		"point":        {stated: "1500.0", want: 1500 * time.Millisecond},
		"fraction":     {stated: "0.25", want: 250 * time.Microsecond},
		"exponent":     {stated: "1.5e3", want: 1500 * time.Millisecond},
		"later":        {stated: "4000", want: limit},
		"much later":   {stated: "1e300", want: limit},
		"out of range": {stated: "1e999", want: limit},
		"passed":       {stated: "0"},
		"negative":     {stated: "-5"},
		"-huge":        {stated: "-1e300"},
		"infinite":     {stated: "-Inf", want: limit},
		"no number":    {stated: "NaN", want: limit},
		"hexadecimal":  {stated: "0x10", want: limit},
		"text":         {stated: "soon", want: limit},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := &Server{Dialect: answer.DefaultDialect()}
			q := request{start: time.Unix(1000, 0), receivedHeader: http.Header{}, route: config.Route{Deadline: limit}}
			q.receivedHeader.Set(s.Dialect.DeadlineHeader, tc.stated)
			require.Equal(t, tc.want, s.deadlineOf(q).Sub(q.start))
		})
	}
}
