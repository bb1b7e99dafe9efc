package tcp

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// fakeListener returns the results of accept one after the other.
type fakeListener struct {
	net.Listener
	results []error // nil for a connection
}

func (l *fakeListener) Accept() (net.Conn, error) {
	if len(l.results) == 0 {
		return nil, net.ErrClosed
	}
	err := l.results[0]
	l.results = l.results[1:]
	if err != nil {
		return nil, err
	}
	c, _ := net.Pipe()
	return c, nil
}

// TestAcceptErrorIsReported guards against a connection that could not be accepted without the cause in the log.
func TestAcceptErrorIsReported(t *testing.T) {
	cases := map[string]struct {
		err  error
		want error
	}{
		"no descriptors": {err: syscall.EMFILE, want: syscall.EMFILE},
		"closed":         {err: net.ErrClosed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var reported error
			l := NewListener(&fakeListener{results: []error{tc.err}}, KindCaller, NewCounts(), func(_ Kind, err error) { reported = err })
			_, _ = l.Accept()
			require.True(t, errors.Is(reported, tc.want), reported)
		})
	}
}

// TestCounts guards against a connection that is counted twice, or still counted after it was closed.
func TestCounts(t *testing.T) {
	counts := NewCounts()
	l := NewListener(&fakeListener{results: []error{nil, nil}}, KindPeer, counts, nil)
	a, err := l.Accept()
	require.NoError(t, err)
	_, err = l.Accept()
	require.NoError(t, err)
	require.Equal(t, 2, counts.Open(KindPeer))
	require.NoError(t, a.Close())
	_ = a.Close()
	require.Equal(t, 1, counts.Open(KindPeer))
	require.Zero(t, counts.Open(KindCaller))
}
