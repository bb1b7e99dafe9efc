// Package journal writes the log of a node: rate-limited JSON lines with typed fields.
package journal

import (
	"io"
	"log"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"verbenapin.dev/node/clock"
)

// Message is the text of a line. It must be a constant, so that lines of the same kind can be counted and no request data gets
// into it.
type Message string

// libraryFault replaces the text of a line logged by a library, which may contain parts of a request.
const libraryFault Message = "library reported a fault"

// linesDropped reports lines that were dropped, because the buffer was full or a write failed.
const linesDropped Message = "log lines were dropped, because the reader of the log is too slow"

// Journal writes lines without waiting for the reader of the log. Its methods are safe for concurrent use.
type Journal struct {
	log          *logrus.Logger
	out          *asyncWriter
	node         Field
	subscription *clock.Subscription

	mu      sync.Mutex
	counts  map[limitKey]LineCount
	written int // lines of all kinds in the current period
}

// limitKey identifies a kind of lines, which shares one limit.
type limitKey struct {
	level   logrus.Level
	message Message
	code    string // refusal code, so that frequent refusals do not suppress rare ones
}

// New returns a journal of the named node that writes lines of the given level and above to w.
func New(w io.Writer, level logrus.Level, name string, c *clock.Clock) *Journal {
	l, out := logrus.New(), newAsyncWriter(w)
	l.SetOutput(out)
	l.SetLevel(level)
	l.SetFormatter(&clockFormatter{clock: c, json: logrus.JSONFormatter{
		TimestampFormat: "2006-01-02T15:04:05.000000Z07:00",
		FieldMap:        logrus.FieldMap{logrus.FieldKeyMsg: "text"},
	}})
	j := &Journal{log: l, out: out, node: Field{name: "node", value: sanitizeName(name)}, counts: map[limitKey]LineCount{}}
	j.subscription = c.Subscribe(limitPeriod, func(_ time.Time) { j.reportSuppressed() })
	return j
}

// clockFormatter formats lines as JSON with the time of the clock.
type clockFormatter struct {
	clock *clock.Clock
	json  logrus.JSONFormatter
}

// Format implements logrus.Formatter.
func (f *clockFormatter) Format(e *logrus.Entry) ([]byte, error) {
	e.Time = f.clock.Now()
	return f.json.Format(e)
}

// Info writes a line about a change that operators expect.
func (j *Journal) Info(m Message, fields ...Field) {
	j.writeLimited(logrus.InfoLevel, maxNodeLines, maxTotalLines, m, fields)
}

// Warn writes a line about a fault that the node handles.
func (j *Journal) Warn(m Message, fields ...Field) {
	j.writeLimited(logrus.WarnLevel, maxNodeLines, maxTotalLines, m, fields)
}

// WarnRecurring writes a line about a fault that is detected again and again until it is repaired, once in a period.
func (j *Journal) WarnRecurring(m Message, fields ...Field) {
	j.writeLimited(logrus.WarnLevel, 1, maxTotalLines, m, fields)
}

// Error writes a line about a fault that needs an operator.
func (j *Journal) Error(m Message, fields ...Field) {
	j.writeLimited(logrus.ErrorLevel, maxNodeLines, maxTotalLines, m, fields)
}

// InfoDecision writes a line about a decision on one request that its caller may ask about, such as a refusal or a failed
// attempt.
func (j *Journal) InfoDecision(m Message, fields ...Field) {
	j.writeLimited(logrus.InfoLevel, maxDecisionLines, maxTotalLines, m, fields)
}

// InfoRoutine writes a line about a request that went as expected. Such lines are suppressed first under load.
func (j *Journal) InfoRoutine(m Message, fields ...Field) {
	n := maxRoutineLines
	if j.out.isHalfFull() {
		n = 0
	}
	j.writeLimited(logrus.InfoLevel, n, maxTotalLines/2, m, fields)
}

// SetLevel changes the lowest level that is written.
func (j *Journal) SetLevel(level logrus.Level) { j.log.SetLevel(level) }

// StdLogger returns a logger for the named library. Only the text of TLS handshake errors is logged, because other texts may
// quote a request or a response.
func (j *Journal) StdLogger(name string) *log.Logger {
	return log.New(libraryWriter{journal: j, name: name}, "", 0)
}

// Close reports the suppressed lines and waits at most closeTimeout until all lines are written.
func (j *Journal) Close() {
	j.subscription.Close()
	j.reportSuppressed()
	j.out.Close()
}

// writeLimited writes a line unless perKind lines of its kind, or total lines of all kinds, were already written in the
// period.
func (j *Journal) writeLimited(level logrus.Level, perKind, total int, m Message, fields []Field) {
	if !j.log.IsLevelEnabled(level) {
		return
	}
	k := limitKey{level: level, message: m, code: refusalCode(fields)}
	j.mu.Lock()
	if j.written >= total {
		perKind = 0
	}
	c, write := j.counts[k].WithLine(perKind)
	j.counts[k] = c
	if write {
		j.written++
	}
	j.mu.Unlock()
	if write {
		j.write(level, m, fields)
	}
}

// refusalCode returns the refusal code among the fields, empty if there is none.
func refusalCode(fields []Field) string {
	for _, f := range fields {
		if f.name == codeField {
			code, _ := f.value.(string)
			return code
		}
	}
	return ""
}

// reportSuppressed starts a new period and writes one line for each kind with suppressed lines, and one for dropped lines.
func (j *Journal) reportSuppressed() {
	j.mu.Lock()
	counts := j.counts
	j.counts, j.written = map[limitKey]LineCount{}, 0
	j.mu.Unlock()
	if n := j.out.resetDropped(); n > 0 {
		j.write(logrus.WarnLevel, linesDropped, []Field{Count(n)})
	}
	for k, c := range counts {
		if n := c.Suppressed(); n > 0 {
			j.write(k.level, k.message, []Field{{name: "repeats", value: n}, {name: codeField, value: k.code}})
		}
	}
}

func (j *Journal) write(level logrus.Level, m Message, fields []Field) {
	j.log.WithFields(logrusFields(append(fields[:len(fields):len(fields)], j.node))).Log(level, string(m))
}

// libraryWriter is the output of the logger of a library.
type libraryWriter struct {
	journal *Journal
	name    string
}

// Write logs one line of the library.
func (w libraryWriter) Write(p []byte) (int, error) {
	const handshakePrefix = "http: TLS handshake error from "
	fields := []Field{Part(w.name)}
	if cause, ok := strings.CutPrefix(strings.TrimSpace(string(p)), handshakePrefix); ok {
		fields = append(fields, Field{name: "cause", value: truncate(cause)})
	}
	w.journal.Warn(libraryFault, fields...)
	return len(p), nil
}
