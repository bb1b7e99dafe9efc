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
	Prefix         = "Verbenapin-"
	HeaderRun      = Prefix + "Run"
	HeaderDeadline = Prefix + "Deadline"
	HeaderLoad     = Prefix + "Load"
	HeaderTook     = Prefix + "Took"  // microseconds at the target's node
	HeaderQueue    = Prefix + "Queue" // microseconds of that in the gate's queue
	HeaderAccount  = Prefix + "Account"
	HeaderRoute    = Prefix + "Route"
	HeaderKey      = Prefix + "Key"
	HeaderFor      = Prefix + "For"     // target that the attempt is meant for
	HeaderAim      = Prefix + "Aim"     // milliseconds until the response is wanted
	HeaderGoal     = Prefix + "Goal"    // milliseconds from the caller's request to the time when the response is wanted
	HeaderRank     = Prefix + "Rank"    // ranks of account and route
	HeaderVersion  = Prefix + "Version" // of the sender's configuration
	HeaderRepeats  = Prefix + "Repeats" // the request may run more than once
	HeaderSpare    = Prefix + "Spare"   // milliseconds that the request may wait before it goes on to another target
	HeaderFrom     = Prefix + "From"    // node that sends the request
	// HeaderLength marks a request without body: an empty body of unknown length can't be told from none otherwise.
	HeaderLength    = Prefix + "Length"
	HeaderRequestID = "X-Request-Id"
)

// maxBody bounds the refusal that a node reads from another node.
const maxBody = 4096

type body struct {
	Code  Code   `json:"code"`
	Run   Run    `json:"run"`
	After int64  `json:"after,omitempty"` // milliseconds
	ID    string `json:"id,omitempty"`
	Text  string `json:"text"`
	// Reached tells other nodes that a target saw the request.
	Reached bool `json:"reached,omitempty"`
}

// Write sends the refusal as JSON in the product's own dialect; id is the request id.
func Write(w http.ResponseWriter, r Refusal, id string) { Own().Write(w, r, id) }

// Write sends the refusal as JSON; id is the request id.
func (d Dialect) Write(w http.ResponseWriter, r Refusal, id string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRun, string(r.Run))
	if r.After > 0 {
		h.Set("Retry-After", d.after(r.After))
	}
	if r.Code == Key {
		h.Set("WWW-Authenticate", `Bearer realm="verbenapin"`)
	}
	w.WriteHeader(d.Status(r))
	_ = json.NewEncoder(w).Encode(body{Code: r.Code, Run: r.Run, After: r.After.Milliseconds(), ID: id, Text: r.Text, Reached: r.Reached})
}

// Read returns the refusal in a response from another node, or false if the response comes from its target.
// Only a node can set the mark, because each node removes it from what its target sends.
func Read(res *http.Response) (Refusal, bool, error) {
	run := Run(res.Header.Get(HeaderRun))
	if run == "" {
		return Refusal{}, false, nil
	}
	var b body
	if err := json.NewDecoder(io.LimitReader(res.Body, maxBody)).Decode(&b); err != nil {
		return Refusal{}, true, fmt.Errorf("answer: reading a refusal: %w", err)
	}
	return Refusal{Code: b.Code, Run: run, After: time.Duration(b.After) * time.Millisecond, Text: b.Text, Reached: b.Reached}, true, nil
}

// between are the headers that nodes use among themselves.
var between = []string{
	HeaderRun, HeaderDeadline, HeaderLoad, HeaderTook, HeaderQueue, HeaderAccount, HeaderRoute, HeaderKey,
	HeaderFor, HeaderAim, HeaderGoal, HeaderRank, HeaderVersion, HeaderRepeats, HeaderSpare, HeaderFrom, HeaderLength,
}

// StripBetween removes the headers that nodes use among themselves, and leaves those of a dialect.
func StripBetween(h http.Header) {
	for _, name := range between {
		delete(h, name)
	}
}

// StripInternal removes the headers that only nodes may set.
func StripInternal(h http.Header) { Dialect{}.Strip(h) }

func hasPrefix(name string) bool {
	return len(name) >= len(Prefix) && strings.EqualFold(name[:len(Prefix)], Prefix)
}
