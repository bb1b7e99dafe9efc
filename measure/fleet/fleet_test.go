package fleet

import (
	"bufio"
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/node/loop"
)

// TestMain guards against relays and processes that outlive a fleet.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestPlan guards against services without a target in each failure domain, and against instances that share an address.
func TestPlan(t *testing.T) {
	cases := map[string]struct {
		deployment deployment.Deployment
		nodes      int
	}{
		"abitudini": {deployment: deployment.Abitudini(), nodes: 15},
		"chue dee":  {deployment: deployment.ChueDee(), nodes: 14},
		"demo":      {deployment: deployment.Abitudini().WithTargets(3), nodes: 9},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			nodes := Plan(tc.deployment, 40)
			require.Len(t, nodes, tc.nodes)
			addrs, domains := map[string]bool{}, map[string]bool{}
			for _, n := range nodes {
				addrs[n.Caller], domains[n.Service.Name+n.Domain] = true, true
			}
			require.Len(t, addrs, tc.nodes)
			require.Len(t, domains, 9)
		})
	}
}

// TestRelay guards against a relay that loses bytes, passes them while it is cut, or accepts connections while it is down.
func TestRelay(t *testing.T) {
	l := loop.New(time.Now)
	served := make(chan error, 1)
	go func() { served <- l.Serve(context.Background()) }()
	defer func() {
		l.Close()
		<-served
	}()
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := echo.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r := bufio.NewReader(c)
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			_, _ = c.Write([]byte(line))
		}
	}()
	r, err := NewRelay(l, "127.0.0.1:0", echo.Addr().String(), time.Millisecond)
	require.NoError(t, err)
	c, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	defer c.Close()
	answers := bufio.NewReader(c)
	say := func(text string) { _, _ = c.Write([]byte(text)) }
	hear := func() string {
		line, err := answers.ReadString('\n')
		require.NoError(t, err)
		return line
	}
	start := time.Now()
	say("one\n")
	require.Equal(t, "one\n", hear())
	require.GreaterOrEqual(t, time.Since(start), 2*time.Millisecond)
	require.Equal(t, int64(8), r.Bytes())

	r.Cut()
	say("two\n")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = answers.ReadByte()
	require.Error(t, err)
	require.NoError(t, c.SetReadDeadline(time.Time{}))
	r.Restore()
	require.Equal(t, "two\n", hear())

	r.Down()
	_, err = answers.ReadByte()
	require.Error(t, err)
	_, err = net.Dial("tcp", r.Addr())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.NoError(t, r.Up())
	r.Close()
	require.NoError(t, echo.Close())
	<-ended
}

// TestProcess guards against a child that survives: one that runs, is paused, ignores SIGTERM or has already ended.
func TestProcess(t *testing.T) {
	cases := map[string]struct {
		args []string
		act  func(*testing.T, *Process)
	}{
		"running": {args: []string{"-c", "exec sleep 60"}, act: func(*testing.T, *Process) {}},
		"paused": {args: []string{"-c", "exec sleep 60"}, act: func(t *testing.T, p *Process) {
			require.NoError(t, p.Signal(syscall.SIGSTOP))
		}},
		"ignores SIGTERM": {args: []string{"-c", "trap '' TERM; echo ready; exec sleep 60"}, act: func(t *testing.T, p *Process) {
			require.Eventually(t, func() bool {
				data, err := os.ReadFile(p.log.Name())
				return err == nil && string(data) == "ready\n"
			}, 10*time.Second, time.Millisecond)
		}},
		"ended": {args: []string{"-c", "exit 3"}, act: func(t *testing.T, p *Process) {
			code, err := p.Wait(10 * time.Second)
			require.NoError(t, err)
			require.Equal(t, 3, code)
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, err := StartProcess(t.TempDir(), "child", "/bin/sh", tc.args, nil)
			require.NoError(t, err)
			tc.act(t, p)
			p.Kill()
			require.ErrorIs(t, syscall.Kill(p.Pid(), 0), syscall.ESRCH)
		})
	}
}
