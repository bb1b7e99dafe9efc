// Package memory divides the bytes that callers may make a node keep, and counts them.
package memory

import "time"

// Kind states what memory is kept for.
type Kind string

// Kinds of memory. Connections themselves are bounded by tcp.Budget, at about 20 KB each.
const (
	KindHead     Kind = "head"     // heads that are being read and are longer than the read buffer of a connection
	KindRequest  Kind = "request"  // requests from their complete head until the end of their response
	KindBody     Kind = "body"     // bodies kept for another attempt
	KindResponse Kind = "response" // responses of the target that are read ahead of their receivers
	KindStreams  Kind = "streams"  // HTTP/2 connections with streams, for as many streams as they may open
)

// Kinds returns all kinds of memory.
func Kinds() []Kind { return []Kind{KindHead, KindRequest, KindBody, KindResponse, KindStreams} }

const (
	// callerShare is the part of the process's memory, one in so many, that callers may use. The rest is for the node's own state, for
	// connections, for garbage until it is collected, and for the target on the same machine.
	callerShare = 4
	// minTotal keeps some requests possible in a process with very little memory; maxTotal is 100,000 requests with their connections,
	// more than tcp.Budget allows.
	minTotal = 4 << 20
	maxTotal = 4 << 30
	// connShare is the part of the total, one in so many, that one connection may use with more than one request.
	connShare = 64
	// minPerConn is enough for a few ordinary requests that are pipelined.
	minPerConn = 128 << 10
	// largeClaim is more than an ordinary request needs. Larger ones leave a quarter of each kind to those.
	largeClaim = 40 << 10
	// minStall is how long a connection must have made no progress before it may be closed: with it, a caller that reads 32 KB in
	// that time (130 kbit/s) is not closed.
	minStall = 2 * time.Second
)

// Budget is how many bytes of each kind callers may make a process keep; it is immutable.
type Budget struct{ total int64 }

// NewBudget returns the budget of a process that may use the given number of bytes, zero for an unknown number.
func NewBudget(process int64) Budget {
	if process <= 0 {
		return Budget{total: maxTotal}
	}
	return Budget{total: min(max(process/callerShare, minTotal), maxTotal)}
}

// Total returns the bytes that the budget divides.
func (b Budget) Total() int64 { return b.total }

// Max returns the largest number of bytes of a kind.
func (b Budget) Max(k Kind) int64 {
	switch k {
	case KindRequest:
		return b.total / 16 * 6
	case KindResponse:
		return b.total / 16 * 4
	case KindStreams:
		return b.total / 16 * 3
	case KindBody:
		return b.total / 16 * 2
	default:
		return b.total / 16
	}
}

// PerConn returns the bytes that one connection may use with more than one request.
func (b Budget) PerConn() int64 { return max(b.total/connShare, minPerConn) }

// Claim is a demand for memory with what is kept already; it is immutable.
type Claim struct {
	Kind  Kind
	Bytes int64
	Kept  int64 // of this kind, for all connections
	Conn  int64 // of all kinds, for other requests of the connection
	// Parallel is whether the request cannot wait for others of its connection, as with HTTP/2. The number of its streams is bounded.
	Parallel bool
	// Optional is whether the request can be served without it; the second half of the kind is left to those that cannot.
	Optional bool
}

// Verdict is the answer to a claim.
type Verdict string

// Verdicts on claims.
const (
	Grant  Verdict = "grant"
	Wait   Verdict = "wait"   // until the earlier requests of the connection are answered; nothing is lost
	Refuse Verdict = "refuse" // the request is refused as not run
)

// Decide returns the verdict on a claim. Pipelined requests wait once their connection has its share or half of the kind is in use, so
// that the only request of a connection is granted as long as there is any room; large ones leave some to ordinary ones.
func (b Budget) Decide(c Claim) Verdict {
	limit, after := b.Max(c.Kind), c.Kept+c.Bytes
	large := c.Kind != KindStreams && c.Bytes > largeClaim
	crowded := c.Conn > 0 && (after > limit/2 || (!c.Parallel && c.Conn+c.Bytes > b.PerConn()))
	switch {
	case c.Optional && (crowded || after > limit/2):
		return Refuse
	case crowded && !c.Parallel:
		return Wait
	case crowded:
		return Refuse
	case after > limit, large && after > limit*3/4:
		return Refuse
	default:
		return Grant
	}
}

// Excess returns how many bytes of a kind are to be freed by closing connections without progress: those beyond half of the kind.
func (b Budget) Excess(k Kind, kept int64) int64 { return max(kept-b.Max(k)/2, 0) }

// Usage is what one connection keeps and for how long it has made no progress.
type Usage struct {
	Client  string // address of the caller without its port
	Kept    int64
	Stalled time.Duration
}

// Shed returns the index of the connection that is closed next while memory is short, or -1 for none: the one that has kept the most
// bytes for the longest time without progress, first among the callers that use more than half of the budget.
func (b Budget) Shed(usages []Usage) int {
	clients := map[string]int64{}
	for _, u := range usages {
		clients[u.Client] += u.Kept
	}
	best, bestScore, bestOver := -1, 0.0, false
	for i, u := range usages {
		if u.Kept == 0 || u.Stalled < minStall {
			continue
		}
		score, over := float64(u.Kept)*u.Stalled.Seconds(), clients[u.Client] > b.total/2
		if best < 0 || (over && !bestOver) || (over == bestOver && score > bestScore) {
			best, bestScore, bestOver = i, score, over
		}
	}
	return best
}
