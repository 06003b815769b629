package checker

// checkAsked checks that a sidecar which goes on without a watch has asked for one. Danger: one that never asks again goes by its
// list for ever, and seldom meets a box within a day that shows it.
func (c *Checker) checkPolling(sidecar int32, now float64) {
	state := &c.sidecars[sidecar]
	if state.hasLiveWatch() || state.incarnation == 0 || state.terminatingAt > 0 || state.killedAt > state.startedAt || now < state.resumedAt || c.discoveryDownAt > 0 {
		return
	}
	for i := range c.pathFaults { // its calls may have been lost, which nobody sees
		if fault := &c.pathFaults[i]; (fault.sidecar == sidecar || fault.sidecar < 0) && fault.until+4*c.rules.PollTimeoutSeconds >= now {
			return
		}
	}
	if state.stalledAt > 0 && state.polledAt < state.stalledAt {
		if noticedBy := c.discoveryReachableFor(max(state.stalledAt, state.reloadedAt, state.resumedAt), c.rules.UpdateTimeoutSeconds) + c.rules.SocketSlackSeconds; now > noticedBy {
			c.addViolation(ListPolled, sidecar, -1, 0, nil, "on a watch that has said nothing for %.1f s, and has not asked for another", now-state.stalledAt)
		}
		return
	}
	timeout := c.rules.PollTimeoutSeconds
	if state.pollFailed {
		timeout *= 4
	}
	timeout = max(timeout, c.rules.MaxPollIntervalSeconds) + c.rules.SocketSlackSeconds
	if polledAt := max(state.polledAt, state.startedAt, state.reloadedAt, state.resumedAt, c.discoveryUpAt); now > polledAt+timeout {
		c.addViolation(ListPolled, sidecar, -1, 0, nil, "without a watch, and has not asked for its list for %.1f s", now-polledAt)
	}
}
