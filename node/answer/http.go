package answer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Headers between nodes. The default dialect also uses some of them towards callers and targets.
const (
	Prefix                 = "Verbenapin-"
	HeaderExecution        = Prefix + "Run"
	HeaderDeadline         = Prefix + "Deadline"
	HeaderLoad             = Prefix + "Load"
	HeaderNodeTime         = Prefix + "Took"  // microseconds that the request spent at the target's node
	HeaderQueueTime        = Prefix + "Queue" // part of HeaderNodeTime spent in the gate's queue, in microseconds
	HeaderAccount          = Prefix + "Account"
	HeaderRoute            = Prefix + "Route"
	HeaderKey              = Prefix + "Key"
	HeaderTarget           = Prefix + "For"     // target that the attempt is meant for
	HeaderSoftDeadline     = Prefix + "Aim"     // milliseconds until the soft deadline
	HeaderLatencyObjective = Prefix + "Goal"    // milliseconds from the arrival of the caller's request to the soft deadline
	HeaderPriority         = Prefix + "Rank"    // priorities of account and route
	HeaderVersion          = Prefix + "Version" // configuration version of the sender
	HeaderIdempotent       = Prefix + "Repeats" // set if the request may run more than once
	HeaderMaxWait          = Prefix + "Spare"   // longest wait at the gate in milliseconds, after which the request goes to another target
	HeaderAnnouncedRate    = Prefix + "Pace"    // requests per second that the target has announced to the sender
	HeaderSender           = Prefix + "From"    // name of the node that sends the request
	HeaderNested           = Prefix + "Nested"  // whether a running request made the request, if that does not follow from its account
	// HeaderNoBody marks a request without body, which could not be distinguished from an empty body of unknown length
	// otherwise.
	HeaderNoBody    = Prefix + "Length"
	HeaderRequestID = "X-Request-Id"
)

// maxRefusalBody bounds the body of a refusal that a node reads from another node, in bytes.
const maxRefusalBody = 4096

// refusalBody is the JSON form of a Refusal.
type refusalBody struct {
	Code         Code      `json:"code"`
	Execution    Execution `json:"run"`
	RetryAfterMS int64     `json:"after,omitempty"` // milliseconds
	ID           string    `json:"id,omitempty"`
	Text         string    `json:"text"`
	// ReachedTarget tells other nodes that a target received the request.
	ReachedTarget bool `json:"reached,omitempty"`
}

// WriteRefusal sends the refusal as JSON in the default dialect; id is the request ID.
func WriteRefusal(w http.ResponseWriter, r Refusal, id string) {
	DefaultDialect().WriteRefusal(w, r, id)
}

// WriteRefusal sends the refusal as JSON; id is the request ID.
func (d Dialect) WriteRefusal(w http.ResponseWriter, r Refusal, id string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderExecution, string(r.Execution))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", d.formatRetryAfter(r.RetryAfter))
	}
	if r.Code == CodeKey {
		h.Set("WWW-Authenticate", `Bearer realm="verbenapin"`)
	}
	w.WriteHeader(d.Status(r))
	_ = json.NewEncoder(w).Encode(refusalBody{Code: r.Code, Execution: r.Execution, RetryAfterMS: r.RetryAfter.Milliseconds(), ID: id, Text: r.Text, ReachedTarget: r.ReachedTarget})
}

// ReadRefusal returns the refusal in a response from another node, or false if the response comes from its target.
// HeaderExecution distinguishes them: each node removes it from the responses of its target.
func ReadRefusal(res *http.Response) (Refusal, bool, error) {
	execution := Execution(res.Header.Get(HeaderExecution))
	if execution == "" {
		return Refusal{}, false, nil
	}
	var body refusalBody
	if err := json.NewDecoder(io.LimitReader(res.Body, maxRefusalBody)).Decode(&body); err != nil {
		return Refusal{}, true, fmt.Errorf("answer: decoding a refusal: %w", err)
	}
	return Refusal{Code: body.Code, Execution: execution, RetryAfter: time.Duration(body.RetryAfterMS) * time.Millisecond, Text: body.Text, ReachedTarget: body.ReachedTarget}, true, nil
}

// nodeHeaders lists the headers between nodes.
var nodeHeaders = []string{
	HeaderExecution, HeaderDeadline, HeaderLoad, HeaderNodeTime, HeaderQueueTime, HeaderAccount, HeaderRoute, HeaderKey,
	HeaderTarget, HeaderSoftDeadline, HeaderLatencyObjective, HeaderPriority, HeaderVersion, HeaderIdempotent, HeaderMaxWait, HeaderAnnouncedRate, HeaderSender, HeaderNested, HeaderNoBody,
}

// StripNodeHeaders removes the headers between nodes and leaves others with Prefix, which a dialect may use.
func StripNodeHeaders(h http.Header) {
	for _, name := range nodeHeaders {
		delete(h, name)
	}
}

// StripInternal removes all headers that begin with Prefix.
func StripInternal(h http.Header) { Dialect{}.StripInternal(h) }

func hasInternalPrefix(name string) bool {
	return len(name) >= len(Prefix) && strings.EqualFold(name[:len(Prefix)], Prefix)
}
