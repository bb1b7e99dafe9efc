package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/loop"
)

// fakeNodeEnv is the environment variable that makes the test binary run as a fake node.
const fakeNodeEnv = "MEASURE_FAKE_NODE"

// TestMain fails if a relay or a process outlives its fleet, and runs the fake node if fakeNodeEnv is set.
func TestMain(m *testing.M) {
	if os.Getenv(fakeNodeEnv) != "" {
		os.Exit(fakeNode())
	}
	goleak.VerifyTestMain(m)
}

// fakeNode answers each request on its caller, peer and admin listeners with its name and a version until SIGTERM.
func fakeNode() int {
	var s struct {
		Name   string `long:"name"`
		Caller string `long:"caller"`
		Peer   string `long:"peer"`
		Admin  string `long:"admin"`
	}
	if _, err := flags.NewParser(&s, flags.IgnoreUnknown).Parse(); err != nil {
		return 2
	}
	for _, addr := range []string{s.Caller, s.Peer, s.Admin} {
		go func() {
			_ = http.ListenAndServe(addr, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, `{"name":%q,"version":7}`, s.Name)
			}))
		}()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return 0
}

// TestFleet guards against fault injection without effect: a killed node that is still reachable, a restarted one that is
// not, a partition that lets bytes pass, an instance list that doesn't change, and a child process that outlives the fleet.
func TestFleet(t *testing.T) {
	t.Setenv(fakeNodeEnv, "1")
	binary, err := os.Executable()
	require.NoError(t, err)
	ctx := context.Background()
	f, err := Start(ctx, Settings{Binary: binary, Dir: t.TempDir(), Deployment: deployment.Abitudini().WithTargets(3, "history")})
	require.NoError(t, err)
	closed := false
	defer func() {
		if !closed {
			f.Close()
		}
	}()
	client := &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	get := func(addr string) error {
		res, err := client.Get("http://" + addr)
		if err == nil {
			_ = res.Body.Close()
		}
		return err
	}
	// The listeners of the fake node open one after the other, and a busy machine may exceed the client's timeout.
	requireReachable := func(addr string) {
		require.Eventually(t, func() bool { return get(addr) == nil }, 10*time.Second, time.Millisecond)
	}
	listed := func(domain, name string) instance.Instance {
		res, err := client.Get("http://" + f.platformAddrs[domain] + "/v1/instances")
		require.NoError(t, err)
		defer res.Body.Close()
		var list []instance.Instance
		require.NoError(t, json.NewDecoder(res.Body).Decode(&list))
		return list[slices.IndexFunc(list, func(i instance.Instance) bool { return i.Name == name })]
	}
	require.Equal(t, f.Instance("b1").PeerAddr, listed("b", "b1").PeerAddr)
	fromA := listed("a", "b1").PeerAddr
	require.NotEqual(t, f.Instance("b1").PeerAddr, fromA)
	requireReachable(fromA)
	state, err := f.State(ctx, "b1")
	require.NoError(t, err)
	require.Equal(t, int64(7), state.Version)

	f.Partition("b")
	require.Error(t, get(fromA))
	requireReachable(f.EntryAddr("b1"))
	f.Heal("b")
	requireReachable(fromA)

	f.Kill("b1")
	require.ErrorIs(t, get(f.EntryAddr("b1")), syscall.ECONNREFUSED)
	require.ErrorIs(t, get(fromA), syscall.ECONNREFUSED)
	require.NoError(t, f.StartNode("b1"))
	require.NoError(t, f.AwaitReady(ctx, "b1"))
	requireReachable(f.EntryAddr("b1"))

	require.NoError(t, f.Pause("b1"))
	require.Error(t, get(f.EntryAddr("b1")))
	require.NoError(t, f.Resume("b1"))
	require.NoError(t, f.SetLeaving("b1", true))
	require.Equal(t, instance.StateLeaving, listed("c", "b1").State)
	require.NoError(t, f.Stop())
	pids := []int{f.processes["a1"].Pid(), f.processes["b1"].Pid(), f.processes["c1"].Pid()}
	closed = true
	f.Close()
	for _, pid := range pids {
		require.ErrorIs(t, syscall.Kill(pid, 0), syscall.ESRCH)
	}
}

// TestPlanInstances guards against services without a target in each failure domain, and against instances that share an address.
func TestPlanInstances(t *testing.T) {
	cases := map[string]struct {
		deployment deployment.Deployment
		instances  int
	}{
		"abitudini": {deployment: deployment.Abitudini(), instances: 15},
		"chue dee":  {deployment: deployment.ChueDee(), instances: 14},
		"demo":      {deployment: deployment.Abitudini().WithTargets(3), instances: 9},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			instances := PlanInstances(tc.deployment, 40)
			require.Len(t, instances, tc.instances)
			addrs, domains := map[string]bool{}, map[string]bool{}
			for _, n := range instances {
				addrs[n.CallerAddr], domains[n.Service.Name+n.Domain] = true, true
			}
			require.Len(t, addrs, tc.instances)
			require.Len(t, domains, 9)
		})
	}
}

// TestRelay guards against a relay that loses bytes, forwards them while it is blocked, or accepts connections while it is down.
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
	send := func(text string) { _, _ = c.Write([]byte(text)) }
	receive := func() string {
		line, err := answers.ReadString('\n')
		require.NoError(t, err)
		return line
	}
	start := time.Now()
	send("one\n")
	require.Equal(t, "one\n", receive())
	require.GreaterOrEqual(t, time.Since(start), 2*time.Millisecond)
	require.Equal(t, int64(8), r.Bytes())

	r.Block()
	send("two\n")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = answers.ReadByte()
	require.Error(t, err)
	require.NoError(t, c.SetReadDeadline(time.Time{}))
	r.Unblock()
	require.Equal(t, "two\n", receive())

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

// TestProcess guards against a child that survives Kill, whether it runs, is paused, ignores SIGTERM or has already exited.
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
