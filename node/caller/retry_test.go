package caller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
)

// TestFinalRefusal guards against a refusal that hides that an earlier attempt may have been executed, or why the last target
// refused.
func TestFinalRefusal(t *testing.T) {
	full, none := answer.NewNotExecuted(answer.CodeBusy, "the queue is full"), answer.NewNotExecuted(answer.CodeBusy, "no target can be tried now")
	lost := answer.NewMaybeExecuted(answer.CodeLost, "the connection broke")
	cases := map[string]struct {
		attempts []answer.Refusal
		found    bool
		want     answer.Refusal
	}{
		"no target at all":           {attempts: []answer.Refusal{none}, want: none},
		"refused by the last target": {attempts: []answer.Refusal{none, full}, found: true, want: full},
		"no target after a refusal":  {attempts: []answer.Refusal{full, none}, want: full},
		"no target after a loss":     {attempts: []answer.Refusal{lost, none}, want: lost},
		"refused after a loss":       {attempts: []answer.Refusal{lost, full}, found: true, want: lost},
		"refused between":            {attempts: []answer.Refusal{lost, full, none}, want: lost},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, FinalRefusal(tc.attempts, tc.found)) })
	}
}
