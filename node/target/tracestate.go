package target

import "strings"

const (
	tracestateKey = "verbenapin"
	retriedMember = tracestateKey + "=r"
)

// IsRetried reports whether a trace state marks the request as a retry.
func IsRetried(state string) bool {
	for member := range strings.SplitSeq(state, ",") {
		if strings.TrimSpace(member) == retriedMember {
			return true
		}
	}
	return false
}

// MarkRetried returns the trace state with the retry mark first, where W3C trace context requires the member that changed last.
func MarkRetried(state string) string {
	members := []string{retriedMember}
	for member := range strings.SplitSeq(state, ",") {
		member = strings.TrimSpace(member)
		if member != "" && !strings.HasPrefix(member, tracestateKey+"=") {
			members = append(members, member)
		}
	}
	return strings.Join(members[:min(len(members), maxTracestateMembers)], ",")
}

// maxTracestateMembers is how many members W3C trace context allows in a trace state.
const maxTracestateMembers = 32
