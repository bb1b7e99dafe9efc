package demo

import (
	"fmt"
	"net/http"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/load"
)

const (
	// archiveSize is the size of a large response in bytes.
	archiveSize = 64 << 20
	// limitedBurst is the burst of the account that exceeds its rate.
	limitedBurst = 2
)

// script is a deployment and the steps that the demo runs against it.
type script struct {
	deployment deployment.Deployment
	steps      []step
}

// step sends a request one or more times and verifies the responses.
type step struct {
	name    string
	request load.Request
	times   int
	verify  func([]load.Response) error
}

func abitudini() script {
	key := deployment.NewKey("lombardia", 1)
	d := deployment.Abitudini().WithTargets(len(deployment.Domains)).WithAccount(limitedAccount("history"))
	return script{deployment: d, steps: []step{
		single("read with a key", load.Request{Method: "GET", Path: "/history/anna", Key: key}, checkOK),
		single("read without a key", load.Request{Method: "GET", Path: "/history/anna"}, checkRefusal(http.StatusUnauthorized, "key")),
		single("wrong key", load.Request{Method: "GET", Path: "/history/anna", Key: key + "x"}, checkRefusal(http.StatusUnauthorized, "key")),
		single("internal route", load.Request{Method: "GET", Path: "/settings/anna", Key: key}, checkRefusal(http.StatusForbidden, "scope")),
		single("operators' own service", load.Request{Method: "GET", Path: "/settings/anna", Key: deployment.NewKey("profile", 1)}, checkOK),
		single("ambiguous path", load.Request{Method: "GET", Path: "/history//anna", Key: key}, checkRefusal(http.StatusBadRequest, "path")),
		single("HEAD", load.Request{Method: "HEAD", Path: "/history/anna", Key: key}, checkOK),
		single("103 first", load.Request{Method: "GET", Path: "/history/anna?early=1", Key: key}, checkEarlyHints),
		single("check-in", load.Request{Method: "POST", Path: "/checkins", Key: key, Body: `{"habit":"run"}`}, checkOK),
		single("archive of 64 MB", load.Request{Method: "GET", Path: fmt.Sprintf("/exports/2026?bytes=%d", archiveSize), Key: key}, checkArchive),
		single("archive with a trailer", load.Request{Method: "GET", Path: "/exports/2026?trailer=1&bytes=1048576", Key: key}, checkOK),
		exceedRate(load.Request{Method: "GET", Path: "/history/bruno", Key: deployment.NewKey("limited", 1)}),
	}}
}

func chueDee() script {
	key := deployment.NewKey("bangkok", 1)
	d := deployment.ChueDee().WithTargets(len(deployment.Domains)).WithAccount(limitedAccount("shortlists"))
	return script{deployment: d, steps: []step{
		single("read with a key", load.Request{Method: "GET", Path: "/shortlists/7", Key: key}, checkOK),
		single("read without a key", load.Request{Method: "GET", Path: "/shortlists/7"}, checkRefusal(http.StatusUnauthorized, "key")),
		single("internal route", load.Request{Method: "GET", Path: "/conflicts/7", Key: key}, checkRefusal(http.StatusForbidden, "scope")),
		single("operators' own service", load.Request{Method: "GET", Path: "/conflicts/7", Key: deployment.NewKey("checker", 1)}, checkOK),
		single("HEAD", load.Request{Method: "HEAD", Path: "/shortlists/7", Key: key}, checkOK),
		single("reservation", load.Request{Method: "POST", Path: "/reservations", Key: key, Body: `{"name":"Mali"}`}, checkOK),
		single("dossier of 64 MB", load.Request{Method: "GET", Path: fmt.Sprintf("/dossiers/7?bytes=%d", archiveSize), Key: key}, checkArchive),
		exceedRate(load.Request{Method: "GET", Path: "/shortlists/8", Key: deployment.NewKey("limited", 1)}),
	}}
}

func limitedAccount(route string) deployment.Account {
	return deployment.Account{
		Name: "limited", Keys: []string{deployment.NewKey("limited", 1)}, Rate: 1, Burst: limitedBurst, Routes: []string{route},
	}
}

func single(name string, r load.Request, verify func(load.Response) error) step {
	return step{name: name, request: r, times: 1, verify: func(responses []load.Response) error { return verify(responses[0]) }}
}

// exceedRate sends more requests in sequence than the limited account's burst allows. Which of them are refused depends on how long they
// take, since the account's tokens are refilled meanwhile.
func exceedRate(r load.Request) step {
	const times = 4 * limitedBurst
	return step{name: "beyond the rate", request: r, times: times, verify: func(responses []load.Response) error {
		admitted := 0
		for _, r := range responses {
			if r.OK() {
				admitted++
			} else if err := checkRefusal(http.StatusTooManyRequests, "rate")(r); err != nil {
				return err
			}
		}
		if admitted == times {
			return fmt.Errorf("demo: none of %d requests was refused", times)
		}
		elapsed := responses[times-1].Ended.Sub(responses[0].Started).Seconds()
		if float64(admitted) > limitedBurst+elapsed {
			return fmt.Errorf("demo: %d requests were admitted within %.2f s", admitted, elapsed)
		}
		return nil
	}}
}

func checkOK(r load.Response) error {
	switch {
	case r.Err != nil:
		return r.Err
	case !r.OK():
		return fmt.Errorf("demo: status %d, code %q", r.Status, r.Code)
	case r.AnswerID != r.Request.ID:
		return fmt.Errorf("demo: response belongs to request %q", r.AnswerID)
	}
	return nil
}

func checkEarlyHints(r load.Response) error {
	if err := checkOK(r); err != nil {
		return err
	}
	if !r.Early {
		return fmt.Errorf("demo: no 103 response came first")
	}
	return nil
}

func checkArchive(r load.Response) error {
	if err := checkOK(r); err != nil {
		return err
	}
	if r.Size != archiveSize {
		return fmt.Errorf("demo: got %d of %d bytes", r.Size, archiveSize)
	}
	return nil
}

func checkRefusal(status int, code string) func(load.Response) error {
	return func(r load.Response) error {
		if r.Err != nil {
			return r.Err
		}
		if r.Status != status || r.Code != code || r.Execution != "no" {
			return fmt.Errorf("demo: got %s, want %d %s, run no", describe(r), status, code)
		}
		return nil
	}
}
