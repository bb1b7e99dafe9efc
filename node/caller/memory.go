package caller

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/memory"
)

// noMemoryRetryAfter is the retry delay of a caller for whose request there is no memory. Connections without progress are closed after
// 2 s, most requests end sooner.
const noMemoryRetryAfter = time.Second

// ShedReason is why a caller is refused, or its connection closed, to bound what it makes the node keep.
type ShedReason string

// Values of ShedReason.
const (
	ShedHeaderLines ShedReason = "lines"    // a head has too many lines
	ShedLargeHead   ShedReason = "head"     // a head has too many bytes
	ShedTrailers    ShedReason = "trailers" // a body has too many trailers
	ShedMemory      ShedReason = "memory"   // there is no memory for a request
	ShedStalled     ShedReason = "stalled"  // memory is short, and the connection makes no progress
	ShedResets      ShedReason = "resets"   // most HTTP/2 streams of the connection were reset
)

// SetMemory sets the budget of what callers make the node keep, and the counts that it is compared with; it must not be called after Serve.
func (s *Server) SetMemory(b memory.Budget, counts *memory.Counts) {
	s.memory, s.kept = b, counts
	s.http2.setMemory(b)
}

// usage is what a connection keeps; its methods may be called from any goroutine.
type usage struct {
	kept     atomic.Int64 // bytes of all kinds
	requests atomic.Int64 // bytes of requests and bodies
	writing  atomic.Int64 // since when the caller has not taken what is written, in ns, zero if nothing is
	reading  atomic.Int64 // since when the rest of a head or a part of a body is awaited, in ns, zero if neither is
	streams  atomic.Int64 // open HTTP/2 streams
	ended    atomic.Int64 // HTTP/2 streams that ended with a response
	resets   atomic.Int64 // HTTP/2 streams that the caller cancelled
	progress atomic.Int64 // time of the last end of an HTTP/2 stream, or since when any are open, in ns
	shed     atomic.Bool
}

// claim takes memory of a kind if the budget allows it; others is what the connection keeps for other requests.
func (c *conn) claim(k memory.Kind, bytes, others int64) memory.Verdict {
	return c.decide(memory.Claim{Kind: k, Bytes: bytes, Conn: others, Parallel: c.parallel})
}

// decide takes the memory of a claim if the budget allows it, whatever the claim says of what is kept.
func (c *conn) decide(claim memory.Claim) memory.Verdict {
	s, k, bytes := c.server, claim.Kind, claim.Bytes
	kept := s.kept.Add(k, bytes)
	claim.Kept = kept
	v := s.memory.Decide(claim)
	if v != memory.Grant {
		s.kept.Add(k, -bytes)
		return v
	}
	c.count(k, bytes)
	return v
}

// release returns memory of a kind.
func (c *conn) release(k memory.Kind, bytes int64) {
	if bytes != 0 {
		c.server.kept.Add(k, -bytes)
		c.count(k, -bytes)
	}
}

func (c *conn) count(k memory.Kind, bytes int64) {
	c.usage.kept.Add(bytes)
	if k == memory.KindRequest || k == memory.KindBody {
		c.usage.requests.Add(bytes)
	}
}

// claimInTurn is claim for a pipelined request, which waits if it must until the requests before it are answered; own is what the
// connection keeps for the request already.
func (c *conn) claimInTurn(k memory.Kind, bytes, own int64, turn <-chan struct{}) memory.Verdict {
	v := c.claim(k, bytes, max(c.usage.requests.Load()-own, 0))
	if v != memory.Wait {
		return v
	}
	defer c.watch(readBufferSize)()
	select {
	case <-turn:
		return c.claim(k, bytes, 0)
	case <-c.ctx.Done():
		return memory.Refuse
	}
}

// hold is the memory that is kept for one request.
type hold struct{ request, body int64 }

func (c *conn) releaseHold(h hold) {
	c.release(memory.KindRequest, h.request)
	c.release(memory.KindBody, h.body)
}

// refuseForMemory refuses a request for which there is no memory.
func (s *Server) refuseForMemory(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, s.newRequest(w, r), answer.NewNotExecuted(answer.CodeBusy, "the node has no memory for more requests").WithRetryAfter(noMemoryRetryAfter))
}

// client returns the address of the caller.
func (c *conn) client() netip.AddrPort { return addrPort(c.raw.RemoteAddr()) }

func addrPort(a net.Addr) netip.AddrPort {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	return netip.AddrPort{}
}

// shed closes the connection because of what its caller makes the node keep.
func (c *conn) shed(reason ShedReason) {
	if c.usage.shed.CompareAndSwap(false, true) {
		c.server.events.OnShed(reason, c.client())
		c.close(true)
	}
}

// stalled returns for how long the connection has made no progress that depends on its caller.
func (c *conn) stalled(now time.Time) time.Duration {
	longest, progress := time.Duration(0), int64(0)
	if c.usage.streams.Load() > 0 {
		progress = c.usage.progress.Load()
	}
	for _, since := range []int64{c.usage.writing.Load(), c.usage.reading.Load(), progress} {
		if since != 0 {
			longest = max(longest, time.Duration(now.UnixNano()-since))
		}
	}
	return longest
}

// ShedStalled closes connections without progress while memory is short, until what they keep suffices; it is called at intervals.
func (s *Server) ShedStalled(now time.Time) {
	if s.kept.Kept(memory.KindStreams) > 0 {
		for _, c := range s.conns.all() {
			c.releaseIdleStreams()
		}
	}
	excess := int64(0)
	for _, k := range memory.Kinds() {
		excess += s.memory.Excess(k, s.kept.Kept(k))
	}
	if excess == 0 {
		return
	}
	conns := s.conns.all()
	usages := make([]memory.Usage, len(conns))
	for i, c := range conns {
		usages[i] = memory.Usage{Client: c.client().Addr().String(), Kept: c.usage.kept.Load(), Stalled: c.stalled(now)}
	}
	for excess > 0 {
		i := s.memory.Shed(usages)
		if i < 0 {
			return
		}
		excess -= usages[i].Kept
		usages[i].Kept = 0
		conns[i].shed(ShedStalled)
	}
}

// connKey is the key of the connection in the context of an HTTP/2 request.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	if replayed, ok := c.(*replayedConn); ok {
		return context.WithValue(ctx, connKey{}, replayed.owner)
	}
	return ctx
}
