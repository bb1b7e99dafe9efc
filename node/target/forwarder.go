package target

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/http1"
)

// Forwarder sends the attempts that the gate admits to the target.
type Forwarder struct {
	// Dialect names the headers that the target uses; it must not change after the first attempt.
	Dialect answer.Dialect
	// OnReport is called with what the target reports about itself in each response.
	OnReport func(answer.TargetReport)
	// OnOverdue is called when a response is ended because of its deadline, with the HungError or OverrunError that says why.
	OnOverdue func(c Call, err error)
	// OnFault is called when a request that was sent gets no response that can be used, or one that breaks off.
	OnFault func(c Call, f Fault, err error)
	// TakeMemory reports whether a response may be read ahead of its receiver by so many bytes, which ReturnMemory returns.
	TakeMemory   func(bytes int64) bool
	ReturnMemory func(bytes int64)

	now  func() time.Time
	tree func() (config.Tree, error)
	// admit waits until the gate starts the request; the returned function reports the outcome.
	admit     func(ctx context.Context, req AdmissionRequest) (func(Outcome), error)
	load      func() Load
	roundTrip func(*http.Request) (*http.Response, error)
}

// NewForwarder returns a forwarder. tree returns the configuration in force, admit asks the gate, load returns its load
// report and roundTrip sends a request to the target.
func NewForwarder(
	now func() time.Time,
	tree func() (config.Tree, error),
	admit func(ctx context.Context, req AdmissionRequest) (func(Outcome), error),
	load func() Load,
	roundTrip func(*http.Request) (*http.Response, error),
) *Forwarder {
	return &Forwarder{
		Dialect: answer.DefaultDialect(), OnReport: func(answer.TargetReport) {}, OnOverdue: func(Call, error) {}, OnFault: func(Call, Fault, error) {},
		TakeMemory: func(int64) bool { return true }, ReturnMemory: func(int64) {},
		now: now, tree: tree, admit: admit, load: load, roundTrip: roundTrip,
	}
}

// Do admits and runs an attempt. Its error is an answer.Refusal; the response's body must be closed.
func (f *Forwarder) Do(c Call) (Reply, error) {
	if err := f.authorize(c); err != nil {
		return Reply{Load: f.load(), HasLoad: true}, err
	}
	arrived := f.now()
	finish, err := f.admit(c.Request.Context(), AdmissionRequest{
		TargetName: c.TargetName, Account: c.Account, Route: c.Route, Priority: c.Priority, MaxWait: c.MaxWait,
		SoftDeadline: c.SoftDeadline, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline, AnnouncedRate: c.AnnouncedRate,
		RunID: f.Dialect.RunID(c.Request.Header), Nested: c.Nested, Retried: IsRetried(c.Request.Header.Get("Tracestate")),
	})
	started := f.now()
	timings := Timings{QueueTime: started.Sub(arrived)}
	if err != nil {
		return Reply{Load: f.load(), HasLoad: true, Timings: timings}, err
	}
	res, err := f.forward(c, finish) //nolint:bodyclose // the receiver of the Reply closes it
	timings.TargetTime = f.now().Sub(started)
	return Reply{Response: res, Load: f.load(), HasLoad: true, Timings: timings}, err
}

// authorize checks the attempt against this node's own configuration, which may be newer than the sender's.
func (f *Forwarder) authorize(c Call) error {
	tree, err := f.tree()
	if err != nil {
		return err
	}
	// The sender checked the request against a newer version, which may hold routes and keys that this node has not
	// received yet.
	if c.Version > tree.Version() {
		return nil
	}
	route, ok := tree.Route(c.Route)
	if !ok {
		return answer.NewNotExecuted(answer.CodeRoute, "the target's node has no such route")
	}
	account, err := tree.Authorize(route, c.Key)
	if err == nil && !route.AuthExempt && account.Name != c.Account {
		return answer.NewNotExecuted(answer.CodeKey, "the key belongs to another account")
	}
	return err
}

const (
	// bodySampling is the interval in which the body of a target's response must make progress after the deadline. The target is on the
	// same machine, so that only the target itself delays it.
	bodySampling = 250 * time.Millisecond
	// bodyOvertime is how long a node waits for the rest of such a body after the deadline. Callers are to have a final answer half a
	// second after it, the way to them included.
	bodyOvertime = 400 * time.Millisecond
	// maxUnstated bounds, in bytes, what a slow reader gets after the deadline of a body that states no length and may have no end.
	maxUnstated = 64 << 20
)

// bodyPace returns how the body of a target's response must arrive.
func bodyPace(res *http.Response) Pace {
	p := Pace{Interval: bodySampling, Overtime: bodyOvertime}
	if res.ContentLength < 0 {
		p.MaxLate = maxUnstated
	}
	return p
}

// forward sends the request to the target and returns its response, whose body is read ahead.
// The head of the response must arrive until the deadline; the body may take longer if its reader is slow, or for bodyOvertime.
func (f *Forwarder) forward(c Call, finish func(Outcome)) (*http.Response, error) {
	started := f.now()
	ctx, cancel := context.WithCancelCause(c.Request.Context())
	timer := time.AfterFunc(c.Deadline.Sub(started), func() { cancel(context.DeadlineExceeded) })
	out := c.Request.WithContext(ctx)
	out.Header = c.Request.Header.Clone()
	out.Header.Del("Expect") // the body waited for admission, which has been granted
	out.Header.Set(f.Dialect.DeadlineHeader, strconv.FormatInt(max(0, c.Deadline.Sub(started).Milliseconds()), 10))
	if f.Dialect.TargetHeader != "" {
		out.Header.Set(f.Dialect.TargetHeader, c.TargetName)
	}
	res, err := f.roundTrip(out)
	if err == nil {
		res, err = f.verifyResponse(c, res)
	}
	took := f.now().Sub(started)
	late := !timer.Stop() && errors.Is(context.Cause(ctx), context.DeadlineExceeded)
	if err != nil {
		defer cancel(nil)
		refusal := attemptError(c.Request.Context(), err, late, took, finish)
		if refusal.Code == answer.CodeLost && c.Request.Context().Err() == nil {
			f.OnFault(c, FaultOf(err), err)
		}
		return nil, refusal
	}
	f.OnReport(f.Dialect.Report(res.Header))
	f.Dialect.StripInternal(res.Header)
	res.Body = MonitorBody(res.Body, c.Deadline, bodyPace(res), cancel)
	kind := outcomeKind(res.StatusCode)
	return f.readAhead(res, func() { cancel(nil) }, func(err error) {
		outcome := Outcome{Kind: kind, Latency: took}
		if err != nil && c.Request.Context().Err() == nil {
			outcome.Kind = OutcomeLost
		}
		switch {
		case IsLate(err):
			f.OnOverdue(c, err)
		case outcome.Kind == OutcomeLost && !errors.Is(err, context.Canceled): // the receiver may have closed the response
			f.OnFault(c, FaultOf(err), err)
		}
		finish(outcome)
		cancel(nil)
	})
}

// MismatchError reports a response that does not belong to the request for which it was received.
type MismatchError struct{ Reason string }

func (e MismatchError) Error() string { return "target: mismatched response: " + e.Reason }

// verifyResponse returns the response, or an error if it does not belong to this request or says that the target did not
// run it. On an error the body is closed, and also the connection if the response belongs to another request: the response to this one
// may follow.
func (f *Forwarder) verifyResponse(c Call, res *http.Response) (*http.Response, error) {
	d := f.Dialect
	// Checked first, since a refusal of an earlier request says nothing about this one, and neither does what it reports.
	if err := verifyID(d, res, c.Request.Header.Get(d.RequestIDHeader)); err != nil {
		return nil, SendError{Err: err, Wrote: true}
	}
	var err error
	switch {
	case res.StatusCode == http.StatusMisdirectedRequest && d.TargetHeader != "":
		err = answer.NewNotExecuted(answer.CodeLeaving, replacedText).WithReachedTarget()
	case d.NotExecuted(res):
		err = answer.NewNotExecuted(answer.CodeBusy, "the target did not run the request").WithReachedTarget()
	case d.SignatureHeader != "" && res.StatusCode < http.StatusMultipleChoices && res.Header.Get(d.SignatureHeader) == "":
		err = SendError{Err: MismatchError{Reason: "its signature header is missing"}, Wrote: true}
	default:
		return res, nil
	}
	f.OnReport(d.Report(res.Header))
	_ = res.Body.Close()
	return nil, err
}

// verifyID closes the connection of a response that belongs to another request, and returns a MismatchError; id is empty for a probe.
func verifyID(d answer.Dialect, res *http.Response, id string) error {
	if !d.EchoRequestID || res.Header.Get(d.RequestIDHeader) == id {
		return nil
	}
	http1.CloseConnection(res)
	return MismatchError{Reason: "its request ID differs"}
}

// attemptError reports a failed attempt to the gate and returns the refusal for the sender.
func attemptError(ctx context.Context, err error, late bool, took time.Duration, finish func(Outcome)) answer.Refusal {
	var sendErr SendError
	if !errors.As(err, &sendErr) {
		sendErr = SendError{Err: err, Wrote: true}
	}
	outcome := Outcome{Kind: OutcomeLost, Latency: took}
	defer func() { finish(outcome) }()
	var refused answer.Refusal
	switch {
	case errors.As(err, &refused):
		outcome.Kind = OutcomeShed
		return refused
	case ctx.Err() != nil:
		outcome.Kind = OutcomeCancelled
		return answer.NewMaybeExecuted(answer.CodeLost, "the attempt was cancelled while the target had it")
	case late:
		if sendErr.Wrote {
			return answer.NewMaybeExecuted(answer.CodeLate, "deadline passed while the request was running")
		}
		return answer.NewNotExecuted(answer.CodeLate, "deadline passed before the request was sent")
	case !sendErr.Wrote:
		if sendErr.Refused {
			outcome.Kind = OutcomeRefused
		}
		return answer.NewNotExecuted(answer.CodeBusy, "the target cannot be reached")
	}
	return answer.NewMaybeExecuted(answer.CodeLost, lostReason(err))
}

// lostReason states why an attempt that reached the target has no response; it names no address, since callers see it.
func lostReason(err error) string {
	var status answer.StatusError
	var head http1.HeadError
	var mismatch MismatchError
	switch {
	case errors.As(err, &status):
		return "the target sent a response with status " + strconv.Itoa(status.Status) + ": " + status.Reason
	case errors.As(err, &head):
		return "the target sent a response with a malformed head: " + head.Reason
	case errors.As(err, &mismatch):
		return "the target sent a response that is not used: " + mismatch.Reason
	}
	return "the connection to the target broke"
}

func outcomeKind(status int) OutcomeKind {
	switch {
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return OutcomeShed
	case status >= http.StatusInternalServerError:
		return OutcomeFailure
	default:
		return OutcomeSuccess
	}
}
