package forward

import "time"

// tolerableLinkDelay is the time that packets may wait in the VM's link without any effect on a request's time.
const tolerableLinkDelay = 150 * time.Millisecond

// timeAtRouter returns how much of a request's time is left at the router, if its request and its answer wait in the VM's
// link for the delay together.
//
// It answers a caller that sends more than the link carries and keeps the VM's address. An answer at the end of the whole
// time would reach the caller too late, also one that says that the time is over. Rejecting a part of such a caller's
// requests doesn't help: they come back and fill the link with their bodies.
func timeAtRouter(limit, delay time.Duration) time.Duration {
	if delay < tolerableLinkDelay {
		return limit
	}
	return limit - min(delay, limit/2)
}
