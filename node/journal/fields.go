package journal

import (
	"errors"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"verbenapin.dev/node/answer"
)

const (
	maxNameLength = 64  // in bytes
	maxTextLength = 512 // of causes and refusal texts, in bytes
	codeField     = "code"
)

// Field is a named value of a log line. Only functions of this package create fields, so that no API key or body is logged.
type Field struct {
	name  string
	value any
}

// ID is the request ID. An ID that is not a plain name is not logged, because a caller may put anything there.
func ID(id string) Field { return Field{name: "id", value: sanitizeName(id)} }

// Route is the name of a route.
func Route(name string) Field { return Field{name: "route", value: sanitizeName(name)} }

// Account is the name of a client account.
func Account(name string) Field { return Field{name: "account", value: sanitizeName(name)} }

// Service is the name of a service.
func Service(name string) Field { return Field{name: "service", value: sanitizeName(name)} }

// Instance is the name of another instance.
func Instance(name string) Field { return Field{name: "instance", value: sanitizeName(name)} }

// Domain is the name of a failure domain.
func Domain(name string) Field { return Field{name: "domain", value: sanitizeName(name)} }

// Part is the name of a part of the node or of a library.
func Part(name string) Field { return Field{name: "part", value: sanitizeName(name)} }

// Address is a network address.
func Address(a netip.AddrPort) Field { return Field{name: "address", value: a.String()} }

// Version is the number of a configuration version.
func Version(n int64) Field { return Field{name: "version", value: n} }

// Revision is a revision of the platform's registry.
func Revision(n int64) Field { return Field{name: "revision", value: n} }

// EarlierRevision is a revision of the platform's registry in the era before.
func EarlierRevision(n int64) Field { return Field{name: "before", value: n} }

// Era is the era of the platform's registry.
func Era(n int64) Field { return Field{name: "era", value: n} }

// Code is the code of a refusal.
func Code(c answer.Code) Field { return Field{name: codeField, value: string(c)} }

// Run states whether a refused request was executed.
func Run(r answer.Execution) Field { return Field{name: "run", value: string(r)} }

// Status is an HTTP status code.
func Status(n int) Field { return Field{name: "status", value: n} }

// Count is a number of things.
func Count(n int) Field { return Field{name: "count", value: n} }

// RefusalText is the text of a refusal, which names no key, path or body.
func RefusalText(r answer.Refusal) Field { return Field{name: "reason", value: truncate(r.Text)} }

// StageTimings is the time that a request spent in each stage, in milliseconds.
func StageTimings(t Timings) Field {
	return Field{name: "stages", value: stageTimings{
		Account: milliseconds(t.Account), Choice: milliseconds(t.Choice), Hop: milliseconds(t.Hop),
		Queue: milliseconds(t.Queue), Target: milliseconds(t.Target),
	}}
}

// Timings holds the time that a request spent in each stage. The stages are named as in the metric wait.
type Timings struct{ Account, Choice, Hop, Queue, Target time.Duration }

type stageTimings struct {
	Account float64 `json:"account"`
	Choice  float64 `json:"choice"`
	Hop     float64 `json:"hop"`
	Queue   float64 `json:"queue"`
	Target  float64 `json:"target"`
}

// AttemptNumber is the number of an attempt, from 1.
func AttemptNumber(n int) Field { return Field{name: "attempt", value: n} }

// Hedge states whether an attempt is a hedge, which is sent while the previous one is still running.
func Hedge(hedged bool) Field { return Field{name: "hedge", value: hedged} }

// Hedged states whether a request was answered by a hedge or by the attempt beside one, or why there was no hedge.
func Hedged(outcome string) Field { return Field{name: "hedged", value: outcome} }

// Choice is what was decided.
func Choice(what string) Field { return Field{name: "choice", value: what} }

// ChoiceReason is why a target was chosen.
func ChoiceReason(reason string) Field { return Field{name: "chosen", value: reason} }

// Returned is whether the caller was refused before and returned as told.
func Returned(is bool) Field { return Field{name: "returned", value: is} }

// Reserved is whether a refused caller has a time reserved at which to return.
func Reserved(is bool) Field { return Field{name: "reserved", value: is} }

// StopReason is why there was no further attempt.
func StopReason(reason string) Field { return Field{name: "stopped", value: reason} }

// ExpectedWait is the wait at a gate that was expected from its load report, in milliseconds.
func ExpectedWait(d time.Duration) Field { return Field{name: "expected", value: milliseconds(d)} }

// Probability is the probability, 0 to 1, with which a request is refused.
func Probability(p float64) Field { return Field{name: "probability", value: p} }

// TargetState is the state of a target in the platform's list.
func TargetState(state string) Field { return Field{name: "state", value: state} }

// Rate is a number of requests per second, zero for any number.
func Rate(r float64) Field { return Field{name: "rate", value: r} }

// Leaving states whether a target is leaving.
func Leaving(leaving bool) Field { return Field{name: "leaving", value: leaving} }

// GateLoad is the state of a gate when it decided on a request.
func GateLoad(running, queued, limit int) Field {
	return Field{name: "gate", value: gateLoad{Running: running, Queued: queued, Limit: limit}}
}

type gateLoad struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Limit   int `json:"limit"`
}

// Kept is the number of bytes that callers make the node keep.
func Kept(bytes int64) Field { return Field{name: "kept", value: bytes} }

// Connections is the number of open connections of each kind.
func Connections(open map[string]int) Field { return Field{name: "conns", value: open} }

// Took is an elapsed time in milliseconds.
func Took(d time.Duration) Field { return Field{name: "took", value: milliseconds(d)} }

// TimeLimit is the limit of a time, in milliseconds.
func TimeLimit(d time.Duration) Field { return Field{name: "within", value: milliseconds(d)} }

// Age is the time since a confirmation, in milliseconds.
func Age(d time.Duration) Field { return Field{name: "age", value: milliseconds(d)} }

// Cause is the error that caused a line. The errors of this module contain no keys and no bodies.
func Cause(err error) Field {
	var urlErr *url.Error
	// Drops the URL of a failed request, since its query may contain a secret.
	if errors.As(err, &urlErr) {
		err = urlErr.Err
	}
	return Field{name: "cause", value: truncate(err.Error())}
}

func truncate(text string) string {
	if len(text) > maxTextLength {
		return strings.ToValidUTF8(text[:maxTextLength], "") + "…"
	}
	return text
}

// sanitizeName returns s if it is a plain name of at most maxNameLength bytes, and a placeholder otherwise.
func sanitizeName(s string) string {
	if len(s) > maxNameLength {
		return "(too long)"
	}
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("-_.:", r) {
			return "(not a name)"
		}
	}
	return s
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func logrusFields(fields []Field) logrus.Fields {
	out := make(logrus.Fields, len(fields)+1)
	for _, f := range fields {
		// An empty value means that it is unknown.
		if f.value != "" {
			out[f.name] = f.value
		}
	}
	return out
}
