package target

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
)

// TestProgress guards against a response that hangs without end, and against one that ends although its reader or its link is slow.
func TestProgress(t *testing.T) {
	type sample struct {
		at, waited int // milliseconds
		bytes      int64
		hangs      bool
	}
	cases := map[string][]sample{
		"nothing arrives":        {{at: 750, waited: 700, bytes: 40_000}, {at: 1000, waited: 950, bytes: 40_000, hangs: true}},
		"stops after a sample":   {{at: 750, bytes: 40_000}, {at: 1000, waited: 200, bytes: 50_000}, {at: 1250, waited: 450, bytes: 50_000, hangs: true}},
		"single bytes":           {{at: 750}, {at: 1000, waited: 249, bytes: 20, hangs: true}},
		"slow reader":            {{at: 750, bytes: 40_000}, {at: 1000, bytes: 40_000}, {at: 1250, waited: 1, bytes: 40_000}},
		"slow reader, few waits": {{at: 750, bytes: 40_000}, {at: 1000, waited: 200, bytes: 40_000}},
		"slow link":              {{at: 750, waited: 700, bytes: 40_000}, {at: 1000, waited: 949, bytes: 41_024}, {at: 1250, waited: 1199, bytes: 42_048}},
		"sample came early":      {{at: 900, waited: 900}, {at: 1000, waited: 1000}},
	}
	for name, samples := range cases {
		t.Run(name, func(t *testing.T) {
			p := NewProgress(start, at(samples[0].at), Pace{Interval: ms(250)})
			for _, s := range samples[:1] {
				p, _ = p.WithSample(at(s.at), s.bytes, ms(s.waited))
			}
			for _, s := range samples[1:] {
				var err error
				p, err = p.WithSample(at(s.at), s.bytes, ms(s.waited))
				require.Equal(t, s.hangs, errors.As(err, &HungError{}), "at %d ms", s.at)
			}
		})
	}
}

// TestOvertime guards against a response without end that makes progress until its caller leaves, and against one that is cut off because
// its reader is slow.
func TestOvertime(t *testing.T) {
	const kb, mb = 1 << 10, 1 << 20
	cases := map[string]struct {
		perSecond float64 // bytes
		waits     float64 // part of the time for which the reader waits
		length    int64
		ends      time.Duration // after the deadline, zero if it goes on for a minute
	}{
		"drips":                       {perSecond: 5 * kb, waits: 1, length: -1, ends: ms(400)},
		"drips, with a length":        {perSecond: 5 * kb, waits: 1, length: 1 << 40, ends: ms(400)},
		"endless, caller reads":       {perSecond: 500 * kb, waits: 0.95, length: -1, ends: ms(424)},
		"endless, caller reads fast":  {perSecond: 100 * mb, waits: 0.1, length: -1, ends: ms(400)},
		"endless, slow reader":        {perSecond: 4 * mb, length: -1, ends: 16*time.Second + ms(250)},
		"long, slow reader":           {perSecond: 400 * kb, length: 30 * mb},
		"long, slow reader and waits": {perSecond: 400 * kb, waits: 0.001, length: 30 * mb},
		"unstated, slow reader":       {perSecond: 400 * kb, length: -1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			const deadline = 1000
			p := NewProgress(at(0), at(deadline), bodyPace(&http.Response{ContentLength: tc.length}))
			var err error
			now := at(0)
			for samples := 0; err == nil && now.Before(at(deadline+60_000)); samples++ {
				require.Less(t, samples, 1000)
				now = p.NextSample()
				elapsed := now.Sub(at(0))
				p, err = p.WithSample(now, int64(tc.perSecond*elapsed.Seconds()), time.Duration(tc.waits*float64(elapsed)))
			}
			if tc.ends == 0 {
				require.NoError(t, err)
				return
			}
			require.ErrorAs(t, err, &OverrunError{})
			require.InDelta(t, tc.ends.Seconds(), now.Sub(at(deadline)).Seconds(), 0.015)
		})
	}
}

// TestNextSample guards against a hung response that lasts longer than its deadline, and against samples without a pause.
func TestNextSample(t *testing.T) {
	cases := map[string]struct{ last, deadline, next int }{
		"long before the deadline":  {last: 0, deadline: 2000, next: 1750},
		"one interval before it":    {last: 1750, deadline: 2000, next: 2000},
		"shortly before it":         {last: 1900, deadline: 2000, next: 2150},
		"timer fired a little late": {last: 1751, deadline: 2000, next: 2001},
		"at the deadline":           {last: 2000, deadline: 2000, next: 2250},
		"after it":                  {last: 2100, deadline: 2000, next: 2350},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, at(tc.next), NewProgress(at(tc.last), at(tc.deadline), Pace{Interval: ms(250)}).NextSample())
		})
	}
}

// TestHungResponse guards against a response that keeps its caller waiting and the target's slot in use long after its deadline, because
// the target stops in the body; and against one that is cut off although only its reader or its link is slow.
func TestHungResponse(t *testing.T) {
	const size = 600_000
	send := func(pieces, pieceSize int, pause time.Duration) func(c net.Conn) {
		return func(c net.Conn) {
			for range pieces {
				if _, err := c.Write(bytes.Repeat([]byte("x"), pieceSize)); err != nil {
					return
				}
				time.Sleep(pause)
			}
		}
	}
	cases := map[string]struct {
		length  int
		respond func(c net.Conn)
		reading time.Duration // pause of the reader after each 64 KB
		goesOn  bool          // the response does not hang
		whole   bool
	}{
		"hangs in a long body":      {length: size, respond: send(1, size/2, 0)},
		"hangs in a body at once":   {length: size, respond: send(0, 0, 0)},
		"hangs in a short body":     {length: 1000, respond: send(1, 500, 0)},
		"hangs, no length":          {length: -1, respond: send(1, size/2, 0)},
		"single bytes without end":  {length: size, respond: send(1000, 1, 20*time.Millisecond)},
		"progress without end":      {length: -1, respond: send(500, 4096, 20*time.Millisecond), goesOn: true},
		"drips of a long body":      {length: 10 * size, respond: send(500, 500, 20*time.Millisecond), goesOn: true},
		"full speed without end":    {length: -1, respond: send(1<<30, 64<<10, 0), goesOn: true},
		"slow reader":               {length: size, respond: send(1, size, 0), reading: 100 * time.Millisecond, whole: true},
		"slow link":                 {length: 40_000, respond: send(20, 2000, 30*time.Millisecond), whole: true},
		"hangs under a slow reader": {length: size, respond: send(1, size/2, 0), reading: 100 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			base, closed := respondingTarget(t, tc.length, tc.respond)
			transport := NewTransport(base, 1)
			defer transport.Close()
			outcomes := make(chan Outcome, 1)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://service/", http.NoBody)
			require.NoError(t, err)
			deadline := time.Now().Add(200 * time.Millisecond)
			res, err := newTestForwarder(transport).forward(Call{Request: req, Route: "r", Deadline: deadline}, func(o Outcome) { outcomes <- o })
			if 0 < tc.length && tc.length <= chunkSize {
				var refused answer.Refusal
				require.ErrorAs(t, err, &refused)
				require.Equal(t, answer.CodeLate, refused.Code)
				require.Equal(t, answer.MaybeExecuted, refused.Execution)
			} else {
				require.NoError(t, err)
				ended := make(chan error, 1)
				go func() {
					var err error
					for err == nil {
						_, err = io.CopyN(io.Discard, res.Body, 64<<10)
						time.Sleep(tc.reading)
					}
					ended <- err
				}()
				select {
				case err = <-ended:
				case <-time.After(5 * time.Second):
					require.Fail(t, "the body does not end")
				}
				if tc.whole {
					require.ErrorIs(t, err, io.EOF)
					require.Equal(t, OutcomeSuccess, (<-outcomes).Kind)
					return
				}
				require.Equal(t, !tc.goesOn, errors.As(err, &HungError{}), err)
				require.Equal(t, tc.goesOn, errors.As(err, &OverrunError{}), err)
				require.NoError(t, res.Body.Close())
			}
			require.Equal(t, OutcomeLost, (<-outcomes).Kind, "the slot is free")
			<-closed
		})
	}
}

// respondingTarget answers one request with a head that gives the length, none if it is negative, and the body that respond writes.
func respondingTarget(t *testing.T, length int, respond func(c net.Conn)) (*url.URL, <-chan struct{}) {
	return serveOnce(t, func(_ *http.Request, c net.Conn) {
		res := http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(length), Body: http.NoBody, Close: length < 0}
		var head bytes.Buffer
		_ = res.Write(&head)
		_, _ = c.Write(head.Bytes())
		respond(c)
	})
}
