package daemon

import (
	"context"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/caller"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/operator/report"
	"verbenapin.dev/node/peer"
)

// where tells where a request would go now. It sends nothing and changes no state.
func (n *Node) where(ctx context.Context, q report.WhereQuery) (report.Where, error) {
	out := report.Where{Node: n.settings.Name, Services: []report.WhereService{}}
	route, refusal, err := n.matchWhere(ctx, q, &out)
	if err != nil || refusal != nil {
		out.Refusal = refusal
		return out, err
	}
	split := route.Split
	if len(split) == 0 {
		split = []config.WeightedService{{Service: route.Service}}
	}
	for _, s := range split {
		p, err := n.dispatcher.Preview(ctx, route.WithService(s.Service))
		if err != nil {
			return out, err
		}
		service := whereService(s, p)
		service.Targets = append(service.Targets, n.leavingTargets(s.Service)...)
		out.Services = append(out.Services, service)
	}
	return out, nil
}

// matchWhere returns the route of the request, or the refusal of the entry node.
func (n *Node) matchWhere(ctx context.Context, q report.WhereQuery, out *report.Where) (config.Route, *report.WhereRefusal, error) {
	refuse := func(code answer.Code, text string) (config.Route, *report.WhereRefusal, error) {
		return config.Route{}, &report.WhereRefusal{Code: code, Reason: text}, nil
	}
	if q.Method == http.MethodTrace || q.Method == http.MethodConnect {
		return refuse(answer.CodePath, "the method "+q.Method+" is not passed on")
	}
	host, path, err := caller.NormalizeHostAndPath(q.Host, q.Path)
	if err != nil {
		return refuse(answer.CodePath, err.Error())
	}
	tree, err := n.store.ServingTree()
	var refused answer.Refusal
	if errors.As(err, &refused) {
		return refuse(refused.Code, refused.Text)
	}
	if err != nil {
		return config.Route{}, nil, err
	}
	out.Version = tree.Version()
	route, ok := tree.MatchRoute(host, path)
	if !ok {
		return refuse(answer.CodeRoute, "no route matches host and path")
	}
	out.Route = route.Name
	account, err := authorize(tree, route, q)
	out.Account = account.Name
	if errors.As(err, &refused) {
		return refuse(refused.Code, refused.Text)
	}
	if err != nil {
		return config.Route{}, nil, err
	}
	if account.Limited() {
		tokens, err := n.limiter.Tokens(ctx, account.Name)
		if err != nil {
			return route, nil, err
		}
		out.Tokens = &tokens // without any, the node would ask the homes, so that it may still be admitted
	}
	return route, nil, nil
}

// authorize returns the account that the query names by its key or, without one, by its name. The error is an answer.Refusal.
func authorize(tree config.Tree, route config.Route, q report.WhereQuery) (config.Account, error) {
	if q.Digest == "" {
		return tree.AuthorizeName(route, q.Account)
	}
	digest, err := hex.DecodeString(q.Digest)
	if err != nil || len(digest) != len(config.Digest{}) {
		digest = make([]byte, len(config.Digest{})) // of no key
	}
	return tree.Authorize(route, config.Digest(digest))
}

// leavingTargets returns the listed targets of a service that are known to be leaving, among which no node chooses.
func (n *Node) leavingTargets(service string) []report.WhereTarget {
	var out []report.WhereTarget
	view, now := n.members.Snapshot(), n.clock.Now()
	for _, inst := range view.ByService(service) {
		if view.Status(now, inst.Name) == instance.StatusLeaving {
			out = append(out, report.WhereTarget{Name: inst.Name, Domain: inst.Domain, Excluded: string(peer.ReasonLeaving), Age: -1})
		}
	}
	return out
}

func whereService(s config.WeightedService, p peer.Preview) report.WhereService {
	out := report.WhereService{
		Service: s.Service, Share: s.Fraction(), Target: p.Choice.Instance, Reason: string(p.Choice.Reason), ExpectedWait: inMilliseconds(p.Choice.ExpectedWait),
		Retries: p.RetryTokens, Use: p.Service.Use, Known: p.Service.Known, Targets: []report.WhereTarget{},
	}
	if p.Refusal != nil {
		out.Refusal = &report.WhereRefusal{Code: p.Refusal.Code, Reason: p.Refusal.Text, RetryAfter: inMilliseconds(p.Refusal.RetryAfter)}
	}
	if p.Hedges {
		out.Hedge = &report.WhereHedge{Sent: p.Hedge.Send, Reason: string(p.Hedge.Reason), Target: p.HedgeTarget, After: inMilliseconds(p.HedgeAfter), Left: p.HedgeTokens}
	}
	for _, c := range p.Candidates {
		out.Targets = append(out.Targets, report.WhereTarget{
			Name: c.Name, Domain: c.Domain, Excluded: string(c.Excluded), Compared: c.Compared, Score: inMilliseconds(c.Score), Wait: inMilliseconds(c.Wait),
			Running: c.Load.Running, Queued: c.Load.Queued, Limit: c.Load.Limit, Slowdown: c.Load.Slowdown, Age: inMilliseconds(c.Age),
		})
	}
	return out
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
