package platform

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"verbenapin.dev/node/instance"
)

// TestMain fails if a long poll outlives Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestVisible guards against a wrong visible version while the endpoint is stale or lags.
func TestVisible(t *testing.T) {
	start := time.Unix(100, 0)
	v := Value{}.WithData(start, []byte("1")).WithData(start.Add(time.Second), []byte("2")).WithData(start.Add(2*time.Second), []byte("3"))
	cases := map[string]struct {
		now    time.Duration
		faults EndpointFaults
		want   string
		next   time.Duration
	}{
		"newest":             {now: 2 * time.Second, want: "3"},
		"stale by one":       {now: 2 * time.Second, faults: EndpointFaults{Stale: 1}, want: "2"},
		"stale beyond first": {now: 2 * time.Second, faults: EndpointFaults{Stale: 9}, want: "1"},
		"lags":               {now: 2 * time.Second, faults: EndpointFaults{Lag: 1500}, want: "1", next: 500 * time.Millisecond},
		"nothing yet":        {now: 2 * time.Second, faults: EndpointFaults{Lag: 3000}, next: time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			version, ok, next := v.Visible(start.Add(tc.now), tc.faults)
			require.Equal(t, tc.want != "", ok)
			require.Equal(t, tc.want, string(version.Data))
			require.Equal(t, tc.next, next)
		})
	}
}

func get(t *testing.T, url string) (int, string, string) {
	res, err := http.Get(url)
	if err != nil {
		return 0, "", ""
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return res.StatusCode, string(data), res.Header.Get("Etag")
}

// TestFaults guards against a fault of one view that affects another view, or that remains after the faults of all views were replaced.
func TestFaults(t *testing.T) {
	down, stale := Faults{Values: EndpointFaults{Down: true}}, Faults{Values: EndpointFaults{Stale: 1}}
	cases := map[string]struct {
		state State
		a, b  Faults
	}{
		"none":          {},
		"all":           {state: State{}.WithFaults(down), a: down, b: down},
		"one view":      {state: State{}.WithViewFaults("b", down), b: down},
		"one differs":   {state: State{}.WithFaults(down).WithViewFaults("b", stale), a: down, b: stale},
		"all once more": {state: State{}.WithViewFaults("b", down).WithFaults(stale), a: stale, b: stale},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.a, tc.state.Faults("a"))
			require.Equal(t, tc.b, tc.state.Faults("b"))
		})
	}
}

// TestServer guards against deviations from the protocol of the design page: etags, long polls, faults, views and the admin listener.
func TestServer(t *testing.T) {
	s := New()
	defer s.Close()
	defer http.DefaultClient.CloseIdleConnections()
	addr, err := s.Listen("127.0.0.1:0", "a")
	require.NoError(t, err)
	admin, err := s.ListenAdmin("127.0.0.1:0")
	require.NoError(t, err)
	put := func(path, body string) int {
		req, err := http.NewRequest(http.MethodPut, "http://"+admin+path, strings.NewReader(body))
		require.NoError(t, err)
		res, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		defer res.Body.Close()
		return res.StatusCode
	}
	values := "http://" + addr + "/v1/values/manifest"

	status, _, _ := get(t, values)
	require.Equal(t, http.StatusNotFound, status)
	require.Equal(t, http.StatusNoContent, put("/v1/values/manifest", "one"))
	status, data, etag := get(t, values+"?wait=30s&etag=none")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "one", data)

	status, _, again := get(t, values+"?wait=1ms&etag="+etag)
	require.Equal(t, http.StatusNotModified, status)
	require.Equal(t, etag, again)

	changed := make(chan string, 1)
	go func() {
		_, data, _ := get(t, values+"?wait=30s&etag="+etag)
		changed <- data
	}()
	require.Eventually(t, func() bool { return s.Calls().Waiting == 1 }, 10*time.Second, time.Millisecond)
	require.NoError(t, s.SetValue("manifest", []byte("two")))
	require.Equal(t, "two", <-changed)

	require.NoError(t, s.SetInstances("a", []instance.Instance{{Name: "a1", State: instance.StateLive}}))
	require.NoError(t, s.SetInstances("b", []instance.Instance{{Name: "b1", State: instance.StateLive}}))
	_, data, _ = get(t, "http://"+addr+"/v1/instances")
	require.Contains(t, data, `"name":"a1"`)
	require.NotContains(t, data, "b1")

	require.Equal(t, http.StatusNoContent, put("/faults", `{"values":{"down":true}}`))
	status, _, _ = get(t, values)
	require.Zero(t, status)
	require.Equal(t, http.StatusNoContent, put("/faults", `{"values":{"stale":1}}`))
	_, data, _ = get(t, values)
	require.Equal(t, "one", data)
	require.Equal(t, http.StatusBadRequest, put("/v1/values/manifest", strings.Repeat("x", maxValueSize+1)))
	require.GreaterOrEqual(t, s.Calls().Total, 6)
}
