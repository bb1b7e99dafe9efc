package target

import "time"

// MaxExpectedWait returns the longest expected wait with which a gate queues a request that has just arrived at its entry node.
func MaxExpectedWait(objective time.Duration) time.Duration {
	if objective <= 0 {
		return MaxQueueTime
	}
	return objective
}
