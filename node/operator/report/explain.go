package report

import (
	"verbenapin.dev/node/answer"
)

// Query selects the requests to explain by account, route and refusal code; an empty field matches all.
type Query struct {
	Account string
	Route   string
	Code    answer.Code
}

// Fact is a configured or measured value that a decision on requests depends on.
type Fact struct {
	Name   string `json:"name"`
	Value  string `json:"value"`
	Source string `json:"from,omitempty"` // where the value was set or measured
}

// Explanation answers a Query.
type Explanation struct {
	Account string      `json:"account,omitempty"`
	Route   string      `json:"route,omitempty"`
	Code    answer.Code `json:"code,omitempty"`
	Cause   string      `json:"cause,omitempty"`
	Action  string      `json:"action,omitempty"`
	Facts   []Fact      `json:"facts"`
}

// Meaning is the cause of a refusal code and the action that operators can take.
type Meaning struct {
	Cause  string
	Action string
}

// meanings must equal the table of codes in docs/operators.md; TestMeanings compares them.
var meanings = map[answer.Code]Meaning{
	answer.CodePath:    {Cause: "the path or the host has more than one reading", Action: "correct the caller: no //, dot segments, encoded slash, backslash or NUL, and a valid host"},
	answer.CodeRoute:   {Cause: "no route has this host and a prefix of this path", Action: "compare host and path with the routes in force; check that the newest version is in force"},
	answer.CodeKey:     {Cause: "no key came with the request, or it is unknown or revoked", Action: "compare the digest of the caller's key with the account's keys in the tree"},
	answer.CodeScope:   {Cause: "the account is not authorized for the route", Action: "add the route to the account's list of routes if it should have it"},
	answer.CodeRate:    {Cause: "the account is beyond its rate and burst over the whole fleet", Action: "raise its rate or burst, or have the caller wait for the time given; check that all homes are reachable"},
	answer.CodeStale:   {Cause: "the node has had no evidence for 5 s that its version is the newest", Action: "check the configuration service and the connections to the homes"},
	answer.CodeConfig:  {Cause: "the configuration in force does not say how to serve the request: its route, account or service cannot be read, or no service of the route has a weight", Action: "correct the part that the text of the refusal names, and publish the configuration under a higher number"},
	answer.CodeEmpty:   {Cause: "the node has not received a configuration yet", Action: "check the configuration service, the instance list and the connections to the homes"},
	answer.CodeBusy:    {Cause: "no target tried had capacity for the request", Action: "compare load and limit of the service's targets; add targets or find the account with the most load"},
	answer.CodeCalls:   {Cause: "the calls that the request would make find no capacity", Action: "the log of the gate's node names the called service and the wait there; add targets to that service"},
	answer.CodeDomain:  {Cause: "all targets of the service are in failure domains that are taken out", Action: "bring a failure domain back, or add targets in another one"},
	answer.CodeLate:    {Cause: "the deadline passed or could not be met", Action: "compare the route's deadline with the service time of its targets"},
	answer.CodeLost:    {Cause: "the connection broke after the request was sent, so it may have run", Action: "look for targets or nodes that restarted; the caller must check before it repeats the request"},
	answer.CodeLarge:   {Cause: "the request head is too large", Action: "have the caller send fewer or shorter headers"},
	answer.CodeLeaving: {Cause: "the node or its target is shutting down", Action: "nothing during a planned stop; otherwise find out who stopped it"},
}

// MeaningOf returns the meaning of a code, or false for an unknown one.
func MeaningOf(code answer.Code) (Meaning, bool) {
	m, ok := meanings[code]
	return m, ok
}
