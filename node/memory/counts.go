package memory

import (
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Counts holds the bytes of each kind that are kept; its methods may be called from any goroutine.
type Counts struct{ kept map[Kind]*atomic.Int64 }

// NewCounts returns counts of zero.
func NewCounts() *Counts {
	c := &Counts{kept: map[Kind]*atomic.Int64{}}
	for _, k := range Kinds() {
		c.kept[k] = new(atomic.Int64)
	}
	return c
}

// Add adds bytes of a kind, which may be negative, and returns the bytes kept before.
func (c *Counts) Add(k Kind, bytes int64) int64 { return c.kept[k].Add(bytes) - bytes }

// Take adds bytes of a kind if the budget grants them to a claim that belongs to no connection.
func (c *Counts) Take(b Budget, k Kind, bytes int64) bool {
	kept := c.Add(k, bytes)
	if b.Decide(Claim{Kind: k, Bytes: bytes, Kept: kept}) != Grant {
		c.Add(k, -bytes)
		return false
	}
	return true
}

// Kept returns the bytes of a kind.
func (c *Counts) Kept(k Kind) int64 { return c.kept[k].Load() }

// Total returns the bytes of all kinds.
func (c *Counts) Total() int64 {
	total := int64(0)
	for _, k := range Kinds() {
		total += c.Kept(k)
	}
	return total
}

const (
	// surgeShare is the part of the budget, one in so many, from which memory is returned to the system after it was used. The runtime
	// by itself collects only after two minutes if few requests arrive.
	surgeShare = 8
	// quietShare is the part below which few requests run. With more, the runtime collects soon by itself, and a surge may go on: of
	// HTTP/2 streams that are reset, little is kept at times.
	quietShare = 64
	// releaseDelay is how long so little must be kept before that, so that a fluctuating load does not cause one collection after the other.
	releaseDelay = 3 * time.Second
)

// Release decides when memory is returned to the system; it is immutable.
type Release struct {
	surged bool
	since  time.Time // since when little is kept after a surge
}

// WithKept returns the state after an observation of what is kept and of whether a caller was shed since the last one, and whether memory
// is returned now.
func (r Release) WithKept(now time.Time, kept int64, shed bool, b Budget) (Release, bool) {
	switch {
	case shed || kept > b.total/surgeShare:
		return Release{surged: true}, false
	case !r.surged:
		return r, false
	case kept > b.total/quietShare:
		return Release{surged: true}, false
	case r.since.IsZero():
		return Release{surged: true, since: now}, false
	case now.Sub(r.since) < releaseDelay:
		return r, false
	default:
		return Release{}, true
	}
}

const (
	// softPercent is the part of the configured memory at which the runtime collects garbage more often. The program and its stacks
	// take about 20 MB beside the heap, and the target needs the rest.
	softPercent = 40
	// minSoft is twice the heap of an idle node; below it the collector would run all the time.
	minSoft = 48 << 20
)

// ProcessBudget returns the budget of this process, from the configured memory, or GOMEMLIMIT, or the memory of the machine. With a
// configured memory and without GOMEMLIMIT it sets the runtime's soft limit.
func ProcessBudget(configured int64) Budget {
	limit := debug.SetMemoryLimit(-1)
	switch {
	case configured > 0:
		if limit == math.MaxInt64 {
			debug.SetMemoryLimit(max(configured/100*softPercent, minSoft))
		}
		return NewBudget(configured)
	case limit != math.MaxInt64:
		return NewBudget(limit)
	default:
		return NewBudget(machineMemory())
	}
}

// machineMemory returns the memory of the machine or of the control group, zero if neither is known.
func machineMemory() int64 {
	var info syscall.Sysinfo_t
	memory := int64(0)
	if syscall.Sysinfo(&info) == nil {
		memory = int64(info.Totalram) * int64(info.Unit)
	}
	// The file does not exist in the root group, and holds "max" in a group without limit.
	data, err := os.ReadFile("/sys/fs/cgroup/memory.max")
	if err != nil {
		return memory
	}
	if limit, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64); err == nil && (memory == 0 || limit < memory) {
		return limit
	}
	return memory
}
