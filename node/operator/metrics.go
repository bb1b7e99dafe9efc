package operator

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"verbenapin.dev/node/answer"
)

// maxLabelValues is the maximum number of distinct values of one label; the reporter keeps every series until the node exits.
const maxLabelValues = 512

// otherValue replaces label values beyond maxLabelValues.
const otherValue = "other"

// Stage names a step in the processing of a request.
type Stage string

// Stages whose duration is recorded.
const (
	StageAccount   Stage = "account" // waiting for tokens
	StageSelection Stage = "choice"  // choosing a target
	StageHop       Stage = "hop"     // from the first byte sent to another node until its response head
	StageQueue     Stage = "queue"   // in the fair queue of the gate
	StageTarget    Stage = "target"  // from the first byte sent to the target until its response head
	StageTotal     Stage = "whole"   // from the request head until the end of the response
	StageSaved     Stage = "saved"   // expected rest of an attempt that a hedge made unnecessary, less the time of the hedge
)

// buckets are the upper bounds of the latency histograms in seconds; 0.00068 is the objective for added latency.
var buckets = []float64{
	0.0001, 0.0002, 0.0004, 0.00068, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256, 0.512, 1, 2, 4, 8,
}

const metricPrefix = "verbenapin"

// counterDescriptions and gaugeDescriptions map the name of each metric to its help text and labels.
var (
	counterDescriptions = map[string]description{
		"answered": {help: "Responses of targets sent completely, by route and class of status.", labels: []string{"class", "route"}},
		"served":   {help: "Responses of targets sent completely, by account.", labels: []string{"account"}},
		"refused":  {help: "Refused requests, by code, route and whether they ran.", labels: []string{"code", "route", "run"}},
		"denied":   {help: "Refused requests, by account and code.", labels: []string{"account", "code"}},
		"retried":  {help: "Attempts after the first one, by route.", labels: []string{"route"}},
		"early":    {help: "Requests refused because no target would accept them by their load reports, by route and whether a gate had refused them before (first, further).", labels: []string{"choice", "route"}},
		"hedged":   {help: "Hedged attempts, by route.", labels: []string{"route"}},
		"returns":  {help: "Refused callers, by route and what happened: told a time reserved for them (told), returned then and answered (kept), or returned then and refused again (refused).", labels: []string{"choice", "route"}},
		"won":      {help: "Hedged attempts that were answered before the first attempt, by route.", labels: []string{"route"}},
		"broken":   {help: "Responses that did not reach the caller completely, by route and the side that broke off.", labels: []string{"route", "side"}},
		"crowded":  {help: "New connections of callers without room, by what happened instead: the longest idle connection or the oldest incomplete head was closed, the request was refused, or the new connection was closed.", labels: []string{"choice"}},
		"shed":     {help: "Callers that were refused, or whose connection was closed, because of what they make the node keep, by reason.", labels: []string{"reason"}},
		"withheld": {help: "Requests that the gate refused because the calls of their runs would wait too long, by route and called service.", labels: []string{"route", "service"}},
		"gone":     {help: "Attempts cancelled at the gate, since their sender or their caller has left or another attempt was answered, by stage: in its queue (queue) or at the target (target).", labels: []string{"stage"}},
		"overdue":  {help: "Responses ended after their deadline, by route and reason: the target stopped sending (hung) or went on (overrun).", labels: []string{"reason", "route"}},
		"faulty":   {help: "Responses of the target that could not be used or broke off, by route and reason: malformed head or trailer (head), impossible status (status), of another request (foreign), connection reset (reset) or ended (cut).", labels: []string{"reason", "route"}},
		"probes":   {help: "Probes sent to the target, by result.", labels: []string{"result"}},
		"restored": {help: "Times that the registry's state was replaced because the registry was restored from a backup."},
	}
	gaugeDescriptions = map[string]description{
		"version":   {help: "Number of the configuration version in force."},
		"rejected":  {help: "Number of the newest configuration version if it is not in force as a whole, -1 if its number cannot be read, else 0."},
		"unread":    {help: "Parts of the configuration in force that cannot be read, so that requests that need them are refused."},
		"era":       {help: "Era of the registry's state, which increases when the registry is restored from a backup."},
		"restoring": {help: "Time from the first sign of the present era until its state was complete, in seconds."},
		"age":       {help: "Age of the evidence that the version is the newest, in seconds."},
		"peers":     {help: "Other instances, by state.", labels: []string{"state"}},
		"conns":     {help: "Open TCP connections, by what they are for.", labels: []string{"kind"}},
		"sent":      {help: "Bytes sent since the start, by what they are for: the kinds of connections, and load reports.", labels: []string{"kind"}},
		"kept":      {help: "Bytes that callers make the node keep, by what they are for.", labels: []string{"kind"}},
		"memory":    {help: "Bytes that callers may make the node keep."},
		"lag":       {help: "Time that an event waited for the control goroutine, in seconds."},
		"running":   {help: "Requests running on the target."},
		"queued":    {help: "Requests queued beside the target."},
		"limit":     {help: "Concurrent requests that the target has capacity for."},
		"pace":      {help: "Requests per second that the target announces to take, zero for any number."},
		"leaving":   {help: "Whether the target announces that it is leaving, 0 or 1."},
		"probing":   {help: "Share of the target's time used by probes, 0 to 1."},
		"budget":    {help: "Share of the target's time that probes may use, 0 to 1."},
		"callwait":  {help: "Wait of the calls for which the gate last refused a request, in seconds, by called service.", labels: []string{"service"}},
	}
)

type description struct {
	help   string
	labels []string
}

// Metrics holds the counters, timers and gauges of a node; its methods may be called from any goroutine.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler

	mu          sync.RWMutex
	labelValues map[string]map[string]bool // distinct values in use, by label
	counters    map[series]tally.Counter
	timers      map[Stage]tally.Timer
	gauges      map[series]tally.Gauge
}

// series identifies a metric and the values a, b and c of its labels, in the order of its description.
type series struct{ name, a, b, c string }

// NewMetrics returns metrics that are reported to the Prometheus registry once per interval, or only by Close if it is 0.
func NewMetrics(interval time.Duration) (*Metrics, error) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:              registry,
		DefaultTimerType:        prometheus.HistogramTimerType,
		DefaultHistogramBuckets: buckets,
	})
	for name, d := range counterDescriptions {
		if _, err := reporter.RegisterCounter(fullMetricName(name), d.labels, d.help); err != nil {
			return nil, fmt.Errorf("operator: registering the counter %s: %w", name, err)
		}
	}
	for name, d := range gaugeDescriptions {
		if _, err := reporter.RegisterGauge(fullMetricName(name), d.labels, d.help); err != nil {
			return nil, fmt.Errorf("operator: registering the gauge %s: %w", name, err)
		}
	}
	options := prometheus.RegisterTimerOptions{TimerType: prometheus.HistogramTimerType, HistogramBuckets: buckets}
	if _, err := reporter.RegisterTimer(fullMetricName("wait"), []string{"stage"}, "Time spent in a stage, in seconds.", &options); err != nil {
		return nil, fmt.Errorf("operator: registering the timer wait: %w", err)
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricPrefix,
		Separator:              prometheus.DefaultSeparator,
		CachedReporter:         reporter,
		OmitCardinalityMetrics: true,
	}, interval)
	return &Metrics{
		scope:       scope,
		closer:      closer,
		handler:     reporter.HTTPHandler(),
		labelValues: map[string]map[string]bool{},
		counters:    map[series]tally.Counter{},
		timers:      map[Stage]tally.Timer{},
		gauges:      map[series]tally.Gauge{},
	}, nil
}

func fullMetricName(name string) string { return metricPrefix + prometheus.DefaultSeparator + name }

// Handler serves the metrics in the text exposition format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports the last values and waits for the reporting goroutine.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("operator: closing the metrics: %w", err)
	}
	return nil
}

// CountAnswered counts a response of a target that was sent completely.
func (m *Metrics) CountAnswered(route, account string, status int) {
	m.count("answered", strconv.Itoa(status/100)+"xx", route, "")
	m.count("served", account, "", "")
}

// CountRefused counts a refusal; route and account are empty while they are not known.
func (m *Metrics) CountRefused(route, account string, r answer.Refusal) {
	m.count("refused", string(r.Code), route, string(r.Execution))
	if account != "" {
		m.count("denied", account, string(r.Code), "")
	}
}

// CountRetry counts an attempt after the first one.
func (m *Metrics) CountRetry(route string) { m.count("retried", route, "", "") }

// CountHedge counts a hedged attempt.
func (m *Metrics) CountHedge(route string) { m.count("hedged", route, "", "") }

// CountEarlyRefusal counts a request that was refused because of load reports, further if a gate had refused it before.
func (m *Metrics) CountEarlyRefusal(route string, further bool) {
	choice := "first"
	if further {
		choice = "further"
	}
	m.count("early", choice, route, "")
}

// CountReturn counts a request whose refused caller has a time reserved at which to return, or whose caller returned as told.
func (m *Metrics) CountReturn(route string, reserved, returned, refused bool) {
	if reserved {
		m.count("returns", "told", route, "")
	}
	switch {
	case returned && refused:
		m.count("returns", "refused", route, "")
	case returned:
		m.count("returns", "kept", route, "")
	}
}

// CountHedgeWon counts a hedged attempt that was answered first; saved is the time by which it is expected to have shortened the request.
func (m *Metrics) CountHedgeWon(route string, saved time.Duration) {
	m.count("won", route, "", "")
	m.ObserveStage(StageSaved, saved)
}

// CountAborted counts a response that did not reach the caller completely; side is the one that aborted it.
func (m *Metrics) CountAborted(route, side string) { m.count("broken", route, side, "") }

// CountNoRoom counts a new connection of a caller for which there was no room.
func (m *Metrics) CountNoRoom(choice string) { m.count("crowded", choice, "", "") }

// CountShed counts a caller that was refused or whose connection was closed because of what it makes the node keep.
func (m *Metrics) CountShed(reason string) { m.count("shed", reason, "", "") }

// CountWithheld counts a request that the gate refused because the calls of its run to a service would wait too long.
func (m *Metrics) CountWithheld(route, service string, wait time.Duration) {
	m.count("withheld", route, service, "")
	m.set("callwait", service, wait.Seconds())
}

// CountGone counts an attempt that was cancelled at the gate.
func (m *Metrics) CountGone(s Stage) { m.count("gone", string(s), "", "") }

// CountOverdue counts a response that was ended after its deadline, because its target had stopped sending if hung is set, else because
// it went on.
func (m *Metrics) CountOverdue(route string, hung bool) {
	reason := "overrun"
	if hung {
		reason = "hung"
	}
	m.count("overdue", reason, route, "")
}

// CountFault counts a response of the target that could not be used or broke off.
func (m *Metrics) CountFault(route, reason string) { m.count("faulty", reason, route, "") }

// CountProbe counts a probe of the target by its result.
func (m *Metrics) CountProbe(result string) { m.count("probes", result, "", "") }

// ObserveStage records the time that a request spent in a stage.
func (m *Metrics) ObserveStage(stage Stage, d time.Duration) {
	m.mu.RLock()
	t, ok := m.timers[stage]
	m.mu.RUnlock()
	if !ok {
		t = m.newTimer(stage)
	}
	t.Record(d)
}

// SetVersion sets the version in force and its confirmation age, the time since it was last confirmed as the newest.
func (m *Metrics) SetVersion(version int64, age time.Duration) {
	m.set("version", "", float64(version))
	m.set("age", "", age.Seconds())
}

// SetRejected sets the number of the newest version if it is not in force as a whole, and how many parts of the version in force cannot be
// read.
func (m *Metrics) SetRejected(version int64, parts int) {
	m.set("rejected", "", float64(version))
	m.set("unread", "", float64(parts))
}

// SetEra sets the era of the registry's state.
func (m *Metrics) SetEra(era int64) { m.set("era", "", float64(era)) }

// CountRestored counts a replacement of the registry's state by that of a higher era, and the time that it took.
func (m *Metrics) CountRestored(took time.Duration) {
	m.count("restored", "", "", "")
	m.set("restoring", "", took.Seconds())
}

// SetPeers sets the number of other instances in each state.
func (m *Metrics) SetPeers(live, leaving, unreachable int) {
	m.set("peers", "live", float64(live))
	m.set("peers", "leaving", float64(leaving))
	m.set("peers", "unreachable", float64(unreachable))
}

// SetConnections sets the number of open connections of each kind.
func (m *Metrics) SetConnections(open map[string]int) {
	for kind, n := range open {
		m.set("conns", kind, float64(n))
	}
}

// SetSent sets the bytes sent since the start for each purpose.
func (m *Metrics) SetSent(bytes map[string]int64) {
	for kind, n := range bytes {
		m.set("sent", kind, float64(n))
	}
}

// SetKept sets the bytes of a kind that callers make the node keep.
func (m *Metrics) SetKept(kind string, bytes int64) { m.set("kept", kind, float64(bytes)) }

// SetMemory sets the bytes that callers may make the node keep.
func (m *Metrics) SetMemory(bytes int64) { m.set("memory", "", float64(bytes)) }

// SetLag sets how long an event waited for the control goroutine.
func (m *Metrics) SetLag(d time.Duration) { m.set("lag", "", d.Seconds()) }

// SetLoad sets the load of the target beside the node.
func (m *Metrics) SetLoad(running, queued, limit int) {
	m.set("running", "", float64(running))
	m.set("queued", "", float64(queued))
	m.set("limit", "", float64(limit))
}

// SetAnnounced sets the requests per second that the target announces to take, zero for any number, and whether it says that it is
// leaving.
func (m *Metrics) SetAnnounced(rate float64, leaving bool) {
	m.set("pace", "", rate)
	value := 0.0
	if leaving {
		value = 1
	}
	m.set("leaving", "", value)
}

// SetProbeRatio sets the fractions of the target's time that probes use and may use.
func (m *Metrics) SetProbeRatio(used, budget float64) {
	m.set("probing", "", used)
	m.set("budget", "", budget)
}

func (m *Metrics) count(name, a, b, c string) {
	k := series{name: name, a: a, b: b, c: c}
	m.mu.RLock()
	n, ok := m.counters[k]
	m.mu.RUnlock()
	if !ok {
		n = m.newCounter(k)
	}
	n.Inc(1)
}

func (m *Metrics) newCounter(k series) tally.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	values := []string{k.a, k.b, k.c}
	tags := map[string]string{}
	bounded := true
	for i, label := range counterDescriptions[k.name].labels {
		tags[label] = m.boundedValue(label, values[i])
		bounded = bounded && tags[label] == values[i]
	}
	n := m.scope.Tagged(tags).Counter(k.name)
	// Series with a replaced value are not cached, which bounds the map.
	if bounded {
		m.counters[k] = n
	}
	return n
}

func (m *Metrics) newTimer(stage Stage) tally.Timer {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.scope.Tagged(map[string]string{"stage": m.boundedValue("stage", string(stage))}).Timer("wait")
	m.timers[stage] = t
	return t
}

func (m *Metrics) set(name, value string, x float64) {
	k := series{name: name, a: value}
	m.mu.Lock()
	g, ok := m.gauges[k]
	if !ok {
		tags := map[string]string{}
		for _, label := range gaugeDescriptions[name].labels {
			tags[label] = value
		}
		g = m.scope.Tagged(tags).Gauge(name)
		m.gauges[k] = g
	}
	m.mu.Unlock()
	g.Update(x)
}

// boundedValue records the value of a label and returns it, or otherValue if it is new and the label has maxLabelValues values.
func (m *Metrics) boundedValue(label, value string) string {
	known := m.labelValues[label]
	if known == nil {
		known = map[string]bool{}
		m.labelValues[label] = known
	}
	if !known[value] && len(known) >= maxLabelValues {
		return otherValue
	}
	known[value] = true
	return value
}
