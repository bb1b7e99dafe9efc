package demo

import (
	"fmt"
	"net/http"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/load"
)

const (
	// archiveSize is the size of a large response.
	archiveSize = 64 << 20
	// limitedBurst is the burst of the account that exceeds its rate.
	limitedBurst = 2
)

// script is a deployment and the requests that the demo sends to it.
type script struct {
	deployment deployment.Deployment
	steps      []step
}

// step sends a request one or more times and verifies the answers.
type step struct {
	name    string
	request load.Request
	times   int
	verify  func([]load.Response) error
}

func abitudini() script {
	key := deployment.NewKey("lombardia", 1)
	d := deployment.Abitudini().WithTargets(len(deployment.Domains)).WithAccount(limited("history"))
	return script{deployment: d, steps: []step{
		one("read with a key", load.Request{Method: "GET", Path: "/history/anna", Key: key}, ok),
		one("read without a key", load.Request{Method: "GET", Path: "/history/anna"}, refused(http.StatusUnauthorized, "key")),
		one("wrong key", load.Request{Method: "GET", Path: "/history/anna", Key: key + "x"}, refused(http.StatusUnauthorized, "key")),
		one("internal route", load.Request{Method: "GET", Path: "/settings/anna", Key: key}, refused(http.StatusForbidden, "scope")),
		one("operators' own service", load.Request{Method: "GET", Path: "/settings/anna", Key: deployment.NewKey("profile", 1)}, ok),
		one("ambiguous path", load.Request{Method: "GET", Path: "/history//anna", Key: key}, refused(http.StatusBadRequest, "path")),
		one("HEAD", load.Request{Method: "HEAD", Path: "/history/anna", Key: key}, ok),
		one("103 first", load.Request{Method: "GET", Path: "/history/anna?early=1", Key: key}, early),
		one("check-in", load.Request{Method: "POST", Path: "/checkins", Key: key, Body: `{"habit":"run"}`}, ok),
		one("archive of 64 MB", load.Request{Method: "GET", Path: fmt.Sprintf("/exports/2026?bytes=%d", archiveSize), Key: key}, whole),
		one("archive with a trailer", load.Request{Method: "GET", Path: "/exports/2026?trailer=1&bytes=1048576", Key: key}, ok),
		rate(load.Request{Method: "GET", Path: "/history/bruno", Key: deployment.NewKey("limited", 1)}),
	}}
}

func chueDee() script {
	key := deployment.NewKey("bangkok", 1)
	d := deployment.ChueDee().WithTargets(len(deployment.Domains)).WithAccount(limited("shortlists"))
	return script{deployment: d, steps: []step{
		one("read with a key", load.Request{Method: "GET", Path: "/shortlists/7", Key: key}, ok),
		one("read without a key", load.Request{Method: "GET", Path: "/shortlists/7"}, refused(http.StatusUnauthorized, "key")),
		one("internal route", load.Request{Method: "GET", Path: "/conflicts/7", Key: key}, refused(http.StatusForbidden, "scope")),
		one("operators' own service", load.Request{Method: "GET", Path: "/conflicts/7", Key: deployment.NewKey("checker", 1)}, ok),
		one("HEAD", load.Request{Method: "HEAD", Path: "/shortlists/7", Key: key}, ok),
		one("reservation", load.Request{Method: "POST", Path: "/reservations", Key: key, Body: `{"name":"Mali"}`}, ok),
		one("dossier of 64 MB", load.Request{Method: "GET", Path: fmt.Sprintf("/dossiers/7?bytes=%d", archiveSize), Key: key}, whole),
		rate(load.Request{Method: "GET", Path: "/shortlists/8", Key: deployment.NewKey("limited", 1)}),
	}}
}

func limited(route string) deployment.Account {
	return deployment.Account{
		Name: "limited", Keys: []string{deployment.NewKey("limited", 1)}, Rate: 1, Burst: limitedBurst, Routes: []string{route},
	}
}

func one(name string, r load.Request, verify func(load.Response) error) step {
	return step{name: name, request: r, times: 1, verify: func(answers []load.Response) error { return verify(answers[0]) }}
}

// rate sends more requests at once than an account may, so that the last one is refused.
func rate(r load.Request) step {
	const times = 4 * limitedBurst
	return step{name: "beyond the rate", request: r, times: times, verify: func(answers []load.Response) error {
		if err := refused(http.StatusTooManyRequests, "rate")(answers[times-1]); err != nil {
			return err
		}
		admitted := load.NewResult(answers).Count(load.Response.OK)
		took := answers[times-1].Ended.Sub(answers[0].Started).Seconds()
		if float64(admitted) > limitedBurst+took {
			return fmt.Errorf("demo: %d requests were admitted within %.2f s", admitted, took)
		}
		return nil
	}}
}

func ok(a load.Response) error {
	switch {
	case a.Err != nil:
		return a.Err
	case !a.OK():
		return fmt.Errorf("demo: status %d, code %q", a.Status, a.Code)
	case a.AnswerID != a.Request.ID:
		return fmt.Errorf("demo: answer belongs to request %q", a.AnswerID)
	}
	return nil
}

func early(a load.Response) error {
	if err := ok(a); err != nil {
		return err
	}
	if !a.Early {
		return fmt.Errorf("demo: no 103 came before the answer")
	}
	return nil
}

func whole(a load.Response) error {
	if err := ok(a); err != nil {
		return err
	}
	if a.Size != archiveSize {
		return fmt.Errorf("demo: %d of %d bytes", a.Size, archiveSize)
	}
	return nil
}

func refused(status int, code string) func(load.Response) error {
	return func(a load.Response) error {
		if a.Err != nil {
			return a.Err
		}
		if a.Status != status || a.Code != code || a.Execution != "no" {
			return fmt.Errorf("demo: got %s, want %d %s, run no", describe(a), status, code)
		}
		return nil
	}
}
