package daemon

import (
	"time"

	"verbenapin.dev/node/peer"
	"verbenapin.dev/node/target"
)

// Policy holds the decisions that the measuring program replaces by simpler ones for comparison.
type Policy struct {
	Choose peer.Selector
	Arrive func(g target.Gate, now time.Time, t target.Ticket) (target.Gate, target.Verdict)
	Single bool // no hedges
	Split  bool // fixed split of rates over the listed instances instead of lent shares
}

// PolicyFromEnv reads VERBENAPIN_POLICY (robin, least, open) and VERBENAPIN_RATES (split).
// They are for measurements only and so are no settings of the command line.
func PolicyFromEnv(getenv func(string) string) Policy {
	p := Policy{Choose: peer.Board.Choose, Arrive: target.Gate.WithArrival}
	switch getenv("VERBENAPIN_POLICY") {
	case "robin":
		p.Choose, p.Arrive = peer.RoundRobin, target.AdmitAll
		p.Single = true
	case "least":
		p.Choose, p.Arrive = peer.LeastReported, target.AdmitAll
		p.Single = true
	case "open":
		p.Arrive, p.Single = target.AdmitAll, true
	}
	p.Split = getenv("VERBENAPIN_RATES") == "split"
	return p
}
