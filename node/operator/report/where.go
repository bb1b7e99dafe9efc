package report

import "verbenapin.dev/node/answer"

// WhereQuery describes a request. Account, or the digest of its key, is empty for a request without a key.
type WhereQuery struct {
	Host    string
	Path    string
	Method  string
	Account string
	Digest  string // hexadecimal SHA-256 digest of the key
}

// Where tells where a request would go now. Times are in ms.
type Where struct {
	Node     string         `json:"node"`
	Version  int64          `json:"version"`
	Route    string         `json:"route,omitempty"`
	Account  string         `json:"account,omitempty"`
	Tokens   *int           `json:"tokens,omitempty"` // unspent tokens of the account at the node, absent if it has no limit
	Refusal  *WhereRefusal  `json:"refusal,omitempty"`
	Services []WhereService `json:"services"` // several if the route splits its requests
}

// WhereRefusal is an expected refusal.
type WhereRefusal struct {
	Code       answer.Code `json:"code"`
	Reason     string      `json:"reason"`
	RetryAfter float64     `json:"after,omitempty"`
}

// WhereService tells which target of a service a request would go to.
type WhereService struct {
	Service      string        `json:"service"`
	Share        float64       `json:"share,omitempty"` // of the requests of a route that splits them, 0 to 1
	Target       string        `json:"target,omitempty"`
	Reason       string        `json:"chosen"`
	ExpectedWait float64       `json:"expected"`
	Refusal      *WhereRefusal `json:"refusal,omitempty"`
	Retries      float64       `json:"retries"` // left in the budget
	Use          float64       `json:"use"`     // share of the usable slots in use
	Known        int           `json:"known"`   // targets with a fresh load report
	Hedge        *WhereHedge   `json:"hedge,omitempty"`
	Targets      []WhereTarget `json:"targets"`
}

// WhereHedge tells whether a request would be hedged if its run is slow.
type WhereHedge struct {
	Sent   bool    `json:"sent"`
	Reason string  `json:"reason,omitempty"` // why not
	Target string  `json:"target,omitempty"`
	After  float64 `json:"after"` // time of the first decision
	Left   float64 `json:"left"`  // extra runs left in the budget
}

// WhereTarget is a target of the service.
type WhereTarget struct {
	Name     string  `json:"name"`
	Domain   string  `json:"domain"`
	Excluded string  `json:"excluded,omitempty"`
	Compared bool    `json:"compared"` // among the targets from which the node chooses
	Score    float64 `json:"score"`
	Wait     float64 `json:"wait"`
	Running  int     `json:"running"`
	Queued   int     `json:"queued"`
	Limit    int     `json:"limit"`
	Slowdown float64 `json:"pace"`
	Age      float64 `json:"age"` // of the load, negative if it is unknown
}
