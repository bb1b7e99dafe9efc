// Package journal writes the log of a node: JSON lines with typed fields, at a bounded rate.
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

// Message is the text of a line; it must be a constant, so that lines of the same kind can be counted and no value becomes text.
type Message string

// libraryFault stands for a line of a library whose text may contain a part of a request.
const libraryFault Message = "library reported a fault"

// dropped stands for lines that a slow reader of the log left no room for.
const dropped Message = "log lines were dropped, because the reader of the log is too slow"

// Journal writes lines without waiting for their reader; its methods may be called from any goroutine.
type Journal struct {
	log     *logrus.Logger
	out     *writer
	node    Field
	ticking *clock.Subscription

	mu     sync.Mutex
	limits map[subject]Limit
	lines  int // written in the period
}

// subject is what makes two lines the same for the limit.
type subject struct {
	level   logrus.Level
	message Message
	code    string // so that a refusal of a rare kind is not held back by those of a frequent one
}

// New returns a journal of the named node that writes lines of the level and above to w.
func New(w io.Writer, level logrus.Level, name string, c *clock.Clock) *Journal {
	l, out := logrus.New(), newWriter(w)
	l.SetOutput(out)
	l.SetLevel(level)
	l.SetFormatter(&stamped{clock: c, json: logrus.JSONFormatter{
		TimestampFormat: "2006-01-02T15:04:05.000000Z07:00",
		FieldMap:        logrus.FieldMap{logrus.FieldKeyMsg: "text"},
	}})
	j := &Journal{log: l, out: out, node: Field{name: "node", value: plain(name)}, limits: map[subject]Limit{}}
	j.ticking = c.Subscribe(period, func(_ time.Time) { j.report() })
	return j
}

// stamped gives lines the time of the clock.
type stamped struct {
	clock *clock.Clock
	json  logrus.JSONFormatter
}

// Format implements logrus.Formatter.
func (s *stamped) Format(e *logrus.Entry) ([]byte, error) {
	e.Time = s.clock.Now()
	return s.json.Format(e)
}

// Info writes a line about a change that operators expect.
func (j *Journal) Info(m Message, fields ...Field) {
	j.limited(logrus.InfoLevel, most, mostLines, m, fields)
}

// Warn writes a line about a fault that the node handles.
func (j *Journal) Warn(m Message, fields ...Field) {
	j.limited(logrus.WarnLevel, most, mostLines, m, fields)
}

// WarnRecurring writes a line about a fault that is found again until it is repaired, once in a period.
func (j *Journal) WarnRecurring(m Message, fields ...Field) {
	j.limited(logrus.WarnLevel, 1, mostLines, m, fields)
}

// Error writes a line about a fault that needs an operator.
func (j *Journal) Error(m Message, fields ...Field) {
	j.limited(logrus.ErrorLevel, most, mostLines, m, fields)
}

// InfoDecision writes a line about a decision on one request that its caller may ask about: a refusal, a failed attempt.
func (j *Journal) InfoDecision(m Message, fields ...Field) {
	j.limited(logrus.InfoLevel, mostDecided, mostLines, m, fields)
}

// InfoRoutine writes a line about a request that went as expected; these are the first ones to be left out.
func (j *Journal) InfoRoutine(m Message, fields ...Field) {
	n := mostAnswered
	if j.out.isCrowded() {
		n = 0
	}
	j.limited(logrus.InfoLevel, n, mostLines/2, m, fields)
}

// SetLevel changes the lowest level that is written.
func (j *Journal) SetLevel(level logrus.Level) { j.log.SetLevel(level) }

// StdLogger returns a logger for a library that writes text of its own.
// Only TLS handshake errors keep their text, because others may quote a request or a response.
func (j *Journal) StdLogger(name string) *log.Logger {
	return log.New(libraryWriter{journal: j, name: name}, "", 0)
}

// Close reports the lines held back and waits until they are written, for a bounded time.
func (j *Journal) Close() {
	j.ticking.Close()
	j.report()
	j.out.Close()
}

// limited writes a line unless n lines of its kind, or the given number of all kinds, were written in the period.
func (j *Journal) limited(level logrus.Level, n, all int, m Message, fields []Field) {
	if !j.log.IsLevelEnabled(level) {
		return
	}
	k := subject{level: level, message: m, code: codeOf(fields)}
	j.mu.Lock()
	if j.lines >= all {
		n = 0
	}
	l, write := j.limits[k].WithLine(n)
	j.limits[k] = l
	if write {
		j.lines++
	}
	j.mu.Unlock()
	if write {
		j.write(level, m, fields)
	}
}

// codeOf returns the code of a refusal among the fields, empty if there is none.
func codeOf(fields []Field) string {
	for _, f := range fields {
		if f.name == codeName {
			code, _ := f.value.(string)
			return code
		}
	}
	return ""
}

// report starts a new period and writes one line for each kind that was held back.
func (j *Journal) report() {
	j.mu.Lock()
	limits := j.limits
	j.limits, j.lines = map[subject]Limit{}, 0
	j.mu.Unlock()
	if n := j.out.takeDropped(); n > 0 {
		j.write(logrus.WarnLevel, dropped, []Field{Count(n)})
	}
	for k, l := range limits {
		if n := l.Repeats(); n > 0 {
			j.write(k.level, k.message, []Field{{name: "repeats", value: n}, {name: codeName, value: k.code}})
		}
	}
}

func (j *Journal) write(level logrus.Level, m Message, fields []Field) {
	j.log.WithFields(logrusFields(append(fields[:len(fields):len(fields)], j.node))).Log(level, string(m))
}

type libraryWriter struct {
	journal *Journal
	name    string
}

// Write logs one line of the library.
func (w libraryWriter) Write(p []byte) (int, error) {
	const handshake = "http: TLS handshake error from "
	fields := []Field{Part(w.name)}
	if cause, ok := strings.CutPrefix(strings.TrimSpace(string(p)), handshake); ok {
		fields = append(fields, Field{name: "cause", value: cut(cause)})
	}
	w.journal.Warn(libraryFault, fields...)
	return len(p), nil
}
