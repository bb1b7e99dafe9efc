package tcp

import "syscall"

const (
	// maxDescriptors bounds the descriptors that a node uses, since each connection also takes about 20 KB of memory.
	maxDescriptors = 16 << 10
	// otherDescriptors are those of files, listeners, the platform's store or the configuration service, and traces.
	otherDescriptors = 64
	// maxSmall bounds the connections of operators and of readiness checks, which are few.
	maxSmall = 16
	// maxTarget is the number of connections that the first targets accept.
	maxTarget = 260
)

// Budget is how many connections of each kind a node may have open; it is immutable. The kinds have shares of their own, so that
// none of them can take the descriptors that another one needs: callers may hold as many connections as they like.
type Budget struct{ descriptors int }

// NewBudget returns the budget of a process that may open the given number of descriptors.
func NewBudget(descriptors int) Budget { return Budget{descriptors: min(descriptors, maxDescriptors)} }

// ProcessBudget returns the budget of this process; descriptors limits it further unless it is zero.
func ProcessBudget(descriptors int) Budget {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		limit.Cur = maxDescriptors // the limit cannot be read: it is unknown, not zero
	}
	available := int(min(limit.Cur, maxDescriptors))
	if descriptors > 0 {
		available = min(available, descriptors)
	}
	return NewBudget(available)
}

// Descriptors returns the number of descriptors that the budget divides.
func (b Budget) Descriptors() int { return b.descriptors }

// Max returns the largest number of open connections of a kind, at least 1. A request takes one of a caller and one to another
// node, or one of another node and one to the target; the connections of control messages are as many as the nodes of the fleet
// that exchange them.
func (b Budget) Max(k Kind) int {
	other := min(otherDescriptors, b.descriptors/6)
	small := max(min(maxSmall, b.descriptors/24), 1)
	rest := b.descriptors - other - 2*small
	switch k {
	case KindAdmin, KindReady:
		return small
	case KindCaller:
		return max(rest*4/10, 1)
	case KindPeer, KindHop:
		return max(rest*2/10, 1)
	case KindTarget:
		return max(min(rest/10, maxTarget), 1)
	default:
		return max(rest/10, 1)
	}
}
