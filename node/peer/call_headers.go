package peer

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/target"
)

// HeaderError reports a malformed header of a request between nodes.
type HeaderError struct{ Header, Value string }

func (e HeaderError) Error() string {
	return fmt.Sprintf("peer: header %s has the invalid value %q", e.Header, e.Value)
}

// encodeCall writes the attributes of c into h.
func encodeCall(h http.Header, c target.Call, now time.Time) {
	h.Set(answer.HeaderRoute, c.Route)
	h.Set(answer.HeaderTarget, c.TargetName)
	h.Set(answer.HeaderVersion, strconv.FormatInt(c.Version, 10))
	h.Set(answer.HeaderPriority, formatPriority(c.Priority))
	if c.Idempotent {
		h.Set(answer.HeaderIdempotent, "yes")
	}
	if c.Nested != (c.Account == "") {
		h.Set(answer.HeaderNested, strconv.FormatBool(c.Nested))
	}
	if c.MaxWait >= 0 {
		h.Set(answer.HeaderMaxWait, formatMilliseconds(c.MaxWait))
	}
	if c.AnnouncedRate > 0 {
		h.Set(answer.HeaderAnnouncedRate, strconv.FormatFloat(c.AnnouncedRate, 'g', -1, 64))
	}
	h.Set(answer.HeaderDeadline, formatMilliseconds(c.Deadline.Sub(now)))
	if !c.SoftDeadline.IsZero() {
		h.Set(answer.HeaderSoftDeadline, formatMilliseconds(c.SoftDeadline.Sub(now)))
		h.Set(answer.HeaderLatencyObjective, formatMilliseconds(c.LatencyObjective))
	}
	if c.Account != "" {
		h.Set(answer.HeaderAccount, c.Account)
		h.Set(answer.HeaderKey, hex.EncodeToString(c.Key[:]))
	}
	if target.HasNoBody(c.Request) {
		h.Set(answer.HeaderNoBody, "0")
	}
}

// decodeCall reads the attributes of a request from another node and removes them from its headers.
func decodeCall(r *http.Request, now time.Time) (target.Call, error) {
	h := r.Header
	c := target.Call{
		Request: r, Route: h.Get(answer.HeaderRoute), Account: h.Get(answer.HeaderAccount), TargetName: h.Get(answer.HeaderTarget),
		Idempotent: h.Get(answer.HeaderIdempotent) != "", MaxWait: -1,
	}
	if c.Route == "" {
		return target.Call{}, HeaderError{Header: answer.HeaderRoute}
	}
	// Without the header, which nodes of an earlier release do not send, requests without account count as nested.
	c.Nested = c.Account == ""
	if text := h.Get(answer.HeaderNested); text != "" {
		nested, err := strconv.ParseBool(text)
		if err != nil {
			return target.Call{}, HeaderError{Header: answer.HeaderNested, Value: text}
		}
		c.Nested = nested
	}
	var err error
	if c.Deadline, err = decodeTime(h, answer.HeaderDeadline, now); err != nil {
		return target.Call{}, err
	}
	if h.Get(answer.HeaderSoftDeadline) != "" {
		if c.SoftDeadline, err = decodeTime(h, answer.HeaderSoftDeadline, now); err != nil {
			return target.Call{}, err
		}
		objective, err := decodeTime(h, answer.HeaderLatencyObjective, now)
		if err != nil {
			return target.Call{}, err
		}
		c.LatencyObjective = objective.Sub(now)
	}
	if text := h.Get(answer.HeaderMaxWait); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || !(ms >= 0 && ms <= maxDeadlineMS) {
			return target.Call{}, HeaderError{Header: answer.HeaderMaxWait, Value: text}
		}
		c.MaxWait = time.Duration(ms * float64(time.Millisecond))
	}
	if err := decodeVersionAndPriority(h, &c); err != nil {
		return target.Call{}, err
	}
	if text := h.Get(answer.HeaderAnnouncedRate); text != "" {
		if c.AnnouncedRate, err = strconv.ParseFloat(text, 64); err != nil || !(c.AnnouncedRate > 0 && c.AnnouncedRate <= maxAnnouncedRate) {
			return target.Call{}, HeaderError{Header: answer.HeaderAnnouncedRate, Value: text}
		}
	}
	if c.Account != "" {
		key, err := hex.DecodeString(h.Get(answer.HeaderKey))
		if err != nil || len(key) != len(config.Digest{}) {
			return target.Call{}, HeaderError{Header: answer.HeaderKey, Value: h.Get(answer.HeaderKey)}
		}
		copy(c.Key[:], key)
	}
	if h.Get(answer.HeaderNoBody) == "0" {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	answer.StripNodeHeaders(h)
	return c, nil
}

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 3, 64)
}

// decodeTime reads a time given in milliseconds relative to now.
func decodeTime(h http.Header, name string, now time.Time) (time.Time, error) {
	ms, err := strconv.ParseFloat(h.Get(name), 64)
	if err != nil || !(ms >= -maxDeadlineMS && ms <= maxDeadlineMS) {
		return time.Time{}, HeaderError{Header: name, Value: h.Get(name)}
	}
	return now.Add(time.Duration(ms * float64(time.Millisecond))), nil
}

// decodeVersionAndPriority reads the configuration version and the priority; nodes of an earlier release send neither.
func decodeVersionAndPriority(h http.Header, c *target.Call) error {
	var err error
	if text := h.Get(answer.HeaderVersion); text != "" {
		if c.Version, err = strconv.ParseInt(text, 10, 64); err != nil {
			return HeaderError{Header: answer.HeaderVersion, Value: text}
		}
	}
	if text := h.Get(answer.HeaderPriority); text != "" {
		if c.Priority, err = parsePriority(text); err != nil {
			return HeaderError{Header: answer.HeaderPriority, Value: text}
		}
	}
	return nil
}

// maxAnnouncedRate bounds the rate that another node may send, in requests per second.
const maxAnnouncedRate = 1e6

// maxDeadlineMS bounds the times that another node may send, in milliseconds.
const maxDeadlineMS = 24 * 3600 * 1000

// formatPriority returns the text form of a priority.
func formatPriority(p target.Priority) string {
	return fmt.Sprintf("%d %d %d", p.Account, p.Route, p.Stage)
}

// parsePriority reads the text form of a priority; nodes of an earlier release leave out the stage.
func parsePriority(text string) (target.Priority, error) {
	var n [3]int
	fields := strings.Fields(text)
	if len(fields) < 2 || len(fields) > len(n) {
		return target.Priority{}, HeaderError{Header: answer.HeaderPriority, Value: text}
	}
	for i, f := range fields {
		v, err := strconv.Atoi(f)
		if err != nil {
			return target.Priority{}, fmt.Errorf("peer: reading a priority: %w", err)
		}
		n[i] = v
	}
	return target.Priority{Account: n[0], Route: n[1], Stage: target.Stage(n[2])}, nil
}
