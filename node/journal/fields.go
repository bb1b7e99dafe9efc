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
	maxName  = 64
	maxCause = 512
	codeName = "code"
)

// Field is a named value of a line; only the functions of this package make one, so that no key or body becomes a field.
type Field struct {
	name  string
	value any
}

// ID is the request id; an id of another form is not logged, because a caller may have put anything there.
func ID(id string) Field { return Field{name: "id", value: plain(id)} }

// Route is the name of a route.
func Route(name string) Field { return Field{name: "route", value: plain(name)} }

// Account is the name of a client account.
func Account(name string) Field { return Field{name: "account", value: plain(name)} }

// Service is the name of a service.
func Service(name string) Field { return Field{name: "service", value: plain(name)} }

// Instance is the name of another instance.
func Instance(name string) Field { return Field{name: "instance", value: plain(name)} }

// Domain is the name of a failure domain.
func Domain(name string) Field { return Field{name: "domain", value: plain(name)} }

// Part is the name of a part of the node or of a library.
func Part(name string) Field { return Field{name: "part", value: plain(name)} }

// Address is a network address.
func Address(a netip.AddrPort) Field { return Field{name: "address", value: a.String()} }

// Version is the number of a configuration version.
func Version(n int64) Field { return Field{name: "version", value: n} }

// Revision is a revision of the platform's registry.
func Revision(n int64) Field { return Field{name: "revision", value: n} }

// Code is the code of a refusal.
func Code(c answer.Code) Field { return Field{name: codeName, value: string(c)} }

// Run tells whether a refused request ran.
func Run(r answer.Execution) Field { return Field{name: "run", value: string(r)} }

// Status is an HTTP status.
func Status(n int) Field { return Field{name: "status", value: n} }

// Count is a number of things.
func Count(n int) Field { return Field{name: "count", value: n} }

// RefusalText is the text of a refusal, which names no key, path or body.
func RefusalText(r answer.Refusal) Field { return Field{name: "reason", value: cut(r.Text)} }

// StageTimings tells where the time of a request went, in milliseconds.
func StageTimings(t Timings) Field {
	return Field{name: "stages", value: stages{
		Account: milliseconds(t.Account), Choice: milliseconds(t.Choice), Hop: milliseconds(t.Hop),
		Queue: milliseconds(t.Queue), Target: milliseconds(t.Target),
	}}
}

// Timings are the stages of a request's way, named as those of the metric wait.
type Timings struct{ Account, Choice, Hop, Queue, Target time.Duration }

type stages struct {
	Account float64 `json:"account"`
	Choice  float64 `json:"choice"`
	Hop     float64 `json:"hop"`
	Queue   float64 `json:"queue"`
	Target  float64 `json:"target"`
}

// AttemptNumber is the number of an attempt, from 1.
func AttemptNumber(n int) Field { return Field{name: "attempt", value: n} }

// Hedge tells whether an attempt ran beside the one before it.
func Hedge(yes bool) Field { return Field{name: "hedge", value: yes} }

// ChoiceReason is why a target was chosen.
func ChoiceReason(reason string) Field { return Field{name: "chosen", value: reason} }

// StopReason is why there was no further attempt.
func StopReason(reason string) Field { return Field{name: "stopped", value: reason} }

// ExpectedWait is the wait at a gate that its report let expect, in milliseconds.
func ExpectedWait(d time.Duration) Field { return Field{name: "expected", value: milliseconds(d)} }

// TargetState is a state that the platform lists for a target.
func TargetState(state string) Field { return Field{name: "state", value: state} }

// GateLoad is the state of a gate when it decided on a request.
func GateLoad(running, queued, limit int) Field {
	return Field{name: "gate", value: gate{Running: running, Queued: queued, Limit: limit}}
}

type gate struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Limit   int `json:"limit"`
}

// Took is a time that passed, in milliseconds.
func Took(d time.Duration) Field { return Field{name: "took", value: milliseconds(d)} }

// TimeLimit is the longest time that something may take, in milliseconds.
func TimeLimit(d time.Duration) Field { return Field{name: "within", value: milliseconds(d)} }

// Age is the age of evidence, in milliseconds.
func Age(d time.Duration) Field { return Field{name: "age", value: milliseconds(d)} }

// Cause is the error that led to a line; errors of this project contain no keys and no bodies.
func Cause(err error) Field {
	var failed *url.Error
	// The URL of a failed request may contain a query with a secret.
	if errors.As(err, &failed) {
		err = failed.Err
	}
	return Field{name: "cause", value: cut(err.Error())}
}

func cut(text string) string {
	if len(text) > maxCause {
		return strings.ToValidUTF8(text[:maxCause], "") + "…"
	}
	return text
}

// plain returns s if it is a name of at most maxName bytes, and a note otherwise.
func plain(s string) string {
	if len(s) > maxName {
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
		// An empty name stands for one that is not known.
		if f.value != "" {
			out[f.name] = f.value
		}
	}
	return out
}
