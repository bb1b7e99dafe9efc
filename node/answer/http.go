package answer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Names of headers between nodes; some of them are also the product's own names towards callers and targets.
const (
	Prefix                 = "Verbenapin-"
	HeaderExecution        = Prefix + "Run"
	HeaderDeadline         = Prefix + "Deadline"
	HeaderLoad             = Prefix + "Load"
	HeaderNodeTime         = Prefix + "Took"  // microseconds at the target's node
	HeaderQueueTime        = Prefix + "Queue" // microseconds of that in the gate's queue
	HeaderAccount          = Prefix + "Account"
	HeaderRoute            = Prefix + "Route"
	HeaderKey              = Prefix + "Key"
	HeaderTarget           = Prefix + "For"     // target that the attempt is meant for
	HeaderSoftDeadline     = Prefix + "Aim"     // milliseconds until the response is wanted
	HeaderLatencyObjective = Prefix + "Goal"    // milliseconds from the caller's request to the time when the response is wanted
	HeaderPriority         = Prefix + "Rank"    // ranks of account and route
	HeaderVersion          = Prefix + "Version" // of the sender's configuration
	HeaderIdempotent       = Prefix + "Repeats" // the request may run more than once
	HeaderMaxWait          = Prefix + "Spare"   // milliseconds that the request may wait before it goes on to another target
	HeaderSender           = Prefix + "From"    // node that sends the request
	// HeaderNoBody marks a request without body: an empty body of unknown length can't be told from none otherwise.
	HeaderNoBody    = Prefix + "Length"
	HeaderRequestID = "X-Request-Id"
)

// maxBody bounds the refusal that a node reads from another node.
const maxBody = 4096

type body struct {
	Code  Code      `json:"code"`
	Run   Execution `json:"run"`
	After int64     `json:"after,omitempty"` // milliseconds
	ID    string    `json:"id,omitempty"`
	Text  string    `json:"text"`
	// Reached tells other nodes that a target saw the request.
	Reached bool `json:"reached,omitempty"`
}

// WriteRefusal sends the refusal as JSON in the product's own dialect; id is the request id.
func WriteRefusal(w http.ResponseWriter, r Refusal, id string) {
	DefaultDialect().WriteRefusal(w, r, id)
}

// WriteRefusal sends the refusal as JSON; id is the request id.
func (d Dialect) WriteRefusal(w http.ResponseWriter, r Refusal, id string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderExecution, string(r.Execution))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", d.after(r.RetryAfter))
	}
	if r.Code == CodeKey {
		h.Set("WWW-Authenticate", `Bearer realm="verbenapin"`)
	}
	w.WriteHeader(d.Status(r))
	_ = json.NewEncoder(w).Encode(body{Code: r.Code, Run: r.Execution, After: r.RetryAfter.Milliseconds(), ID: id, Text: r.Text, Reached: r.ReachedTarget})
}

// ReadRefusal returns the refusal in a response from another node, or false if the response comes from its target.
// Only a node can set the mark, because each node removes it from what its target sends.
func ReadRefusal(res *http.Response) (Refusal, bool, error) {
	run := Execution(res.Header.Get(HeaderExecution))
	if run == "" {
		return Refusal{}, false, nil
	}
	var b body
	if err := json.NewDecoder(io.LimitReader(res.Body, maxBody)).Decode(&b); err != nil {
		return Refusal{}, true, fmt.Errorf("answer: reading a refusal: %w", err)
	}
	return Refusal{Code: b.Code, Execution: run, RetryAfter: time.Duration(b.After) * time.Millisecond, Text: b.Text, ReachedTarget: b.Reached}, true, nil
}

// between are the headers that nodes use among themselves.
var between = []string{
	HeaderExecution, HeaderDeadline, HeaderLoad, HeaderNodeTime, HeaderQueueTime, HeaderAccount, HeaderRoute, HeaderKey,
	HeaderTarget, HeaderSoftDeadline, HeaderLatencyObjective, HeaderPriority, HeaderVersion, HeaderIdempotent, HeaderMaxWait, HeaderSender, HeaderNoBody,
}

// StripNodeHeaders removes the headers that nodes use among themselves, and leaves those of a dialect.
func StripNodeHeaders(h http.Header) {
	for _, name := range between {
		delete(h, name)
	}
}

// StripInternal removes the headers that only nodes may set.
func StripInternal(h http.Header) { Dialect{}.Strip(h) }

func hasPrefix(name string) bool {
	return len(name) >= len(Prefix) && strings.EqualFold(name[:len(Prefix)], Prefix)
}
