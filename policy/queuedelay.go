package policy

const (
	// idleProbeGain is the gain with which the estimated probe delay of an idle host follows longer delays; a shorter delay
	// replaces it at once.
	idleProbeGain = 0.002
	// usualQueueGain is the gain of the moving average of queue delays.
	usualQueueGain = 0.1
	// lostProbeQueueFactor is the queue delay that is assumed after a failed probe, in units of the time until the probe failed.
	lostProbeQueueFactor = 4
)

// learnQueueDelay estimates the queue at a host from the delay of a probe. A deep probe waits in the same queue as requests, so
// it shows the load where reports are absent. A shallow probe bypasses that queue and always shows an empty one, which does no
// harm.
func (b *Balancer) learnQueueDelay(h *host, outcome Outcome, delaySeconds float64) {
	if b.pollsReports || outcome == Reset || outcome == ConnectFailed { // a lost connection tells nothing about the queue
		return
	}
	if outcome == OK && (b.idleProbeSeconds == 0 || delaySeconds < b.idleProbeSeconds) {
		b.idleProbeSeconds = delaySeconds
	}
	b.idleProbeSeconds += idleProbeGain * min(delaySeconds-b.idleProbeSeconds, b.idleProbeSeconds)
	h.queueSeconds = max(delaySeconds-2*b.idleProbeSeconds, 0)
	h.queueMeasuredAt = b.now
	if outcome != OK {
		h.queueSeconds = lostProbeQueueFactor * delaySeconds
		b.cutLimit(h)
	}
	b.usualQueueFraction += usualQueueGain * (min(h.queueSeconds/b.tightestTargetSeconds, 1) - b.usualQueueFraction)
}

// queueDelay returns how many seconds a new request is expected to wait at a host before its service begins. This is the last
// measurement, which decays with its age, or the time for which the cadence probe in flight has waited if that is longer. It is 0
// where load reports are polled.
func (b *Balancer) queueDelay(h *host) float64 {
	if b.pollsReports || b.idleProbeSeconds == 0 {
		return 0
	}
	delaySeconds := h.queueSeconds / max(1, 2*(b.now-h.queueMeasuredAt)/(probeIntervalSeconds+h.currentCadence))
	if h.probedAt > 0 {
		delaySeconds = max(delaySeconds, b.now-h.probedAt-2*b.idleProbeSeconds)
	}
	return delaySeconds
}
