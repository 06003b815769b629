package checker

// failedPollFactor is how many times longer a sidecar may wait after a failed call to discovery.
const failedPollFactor = 4

// checkPolling checks at the end of a day that a sidecar without a live watch has called discovery.
//
// Danger: a sidecar that never calls again uses its old list for ever, and rarely sends to a server within a day that shows
// it.
func (c *Checker) checkPolling(sidecar int32, now float64) {
	state := &c.sidecars[sidecar]
	if state.hasLiveWatch() || state.incarnation == 0 || state.terminatingAt > 0 || state.killedAt > state.startedAt || now < state.resumedAt || c.discoveryDownAt > 0 {
		return
	}
	for i := range c.pathFaults { // its calls may have been lost, which no actor observes
		if fault := &c.pathFaults[i]; (fault.sidecar == sidecar || fault.sidecar < 0) && fault.until+failedPollFactor*c.rules.PollTimeoutSeconds >= now {
			return
		}
	}
	if state.stalledAt > 0 && state.polledAt < state.stalledAt {
		lastInterruption := max(state.stalledAt, state.reloadedAt, state.resumedAt)
		noticedBy := c.discoveryReachableFor(lastInterruption, c.rules.UpdateTimeoutSeconds) + c.rules.SocketSlackSeconds
		if now > noticedBy {
			c.addViolation(ListPolled, sidecar, -1, 0, nil, "on a watch that has said nothing for %.1f s, and has not asked for another", now-state.stalledAt)
		}
		return
	}
	timeout := c.rules.PollTimeoutSeconds
	if state.pollFailed {
		timeout *= failedPollFactor
	}
	timeout = max(timeout, c.rules.MaxPollIntervalSeconds) + c.rules.SocketSlackSeconds
	if polledAt := max(state.polledAt, state.startedAt, state.reloadedAt, state.resumedAt, c.discoveryUpAt); now > polledAt+timeout {
		c.addViolation(ListPolled, sidecar, -1, 0, nil, "without a watch, and has not asked for its list for %.1f s", now-polledAt)
	}
}
