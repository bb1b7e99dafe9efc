package scenario

import (
	"context"
	"time"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/history"
	"verbenapin.dev/measure/load"
)

// admission measures whether an account gets more than its rate and burst while all accounts send three times their rate
// through all nodes and a node that holds leases is paused until after they expire.
func admission() Scenario {
	return Scenario{
		Name:       "admission",
		Deployment: deployment.ChueDee().WithTargets(4, "shortlists"),
		Specs:      []Spec{{Name: "over_admission", Unit: "requests", Bound: bound(0), Note: "largest excess of any account in any interval"}},
		Run:        runAdmission,
	}
}

func runAdmission(ctx context.Context, runner Runner, s system) (map[string]float64, error) {
	d := s.deployment
	length := runner.duration(4*time.Second, 12*time.Second)
	r, err := s.runLoad(ctx, length, s.sources(3, 1), func(ctx context.Context) error {
		var err error
		after(ctx, length/8, func() { err = s.Pause("a2") })
		if err != nil {
			return err
		}
		after(ctx, 2500*time.Millisecond, func() { err = s.Resume("a2") })
		return err
	})
	if err != nil {
		return nil, err
	}
	if r.Count(func(resp load.Response) bool { return resp.Code == "rate" }) == 0 {
		return nil, InconclusiveError{Text: "no request was refused for its rate"}
	}
	calls, executions := r.Calls(), s.executions()
	largest := 0.0
	for _, a := range d.Accounts() {
		largest = max(largest, history.Excess(a.Rate, a.Burst, history.AdmissionIntervals(a.Name, calls, executions)))
	}
	return map[string]float64{"over_admission": largest}, nil
}
