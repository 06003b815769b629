package policy

// learnLine takes the delay of a probe for the line at a host: a deep probe waits and is served like a
// request, so where reports are absent it tells the load; a shallow one tells no line and does no harm.
func (b *Balancer) learnQueueDelay(h *host, how Outcome, delay float64) {
	if b.pollsReports || how == Reset || how == ConnectFailed { // a connection's end tells no line
		return
	}
	ok := how == OK
	if ok && (b.idleProbeSeconds == 0 || delay < b.idleProbeSeconds) {
		b.idleProbeSeconds = delay
	}
	b.idleProbeSeconds += 0.002 * min(delay-b.idleProbeSeconds, b.idleProbeSeconds)
	if h.queueSeconds, h.queueMeasuredAt = max(delay-2*b.idleProbeSeconds, 0), b.now; !ok {
		h.queueSeconds = 4 * delay // longer than the probe could wait
		b.cutLimit(h)
	}
	b.usualQueueFraction += 0.1 * (min(h.queueSeconds/b.tightestTargetSeconds, 1) - b.usualQueueFraction)
}

// line is the wait that is expected at a host before work begins, by what came last and the probe still out.
func (b *Balancer) queueDelay(h *host) float64 {
	if b.pollsReports || b.idleProbeSeconds == 0 {
		return 0
	}
	line := h.queueSeconds / max(1, 2*(b.now-h.queueMeasuredAt)/(probeIntervalSeconds+h.currentCadence))
	if h.probedAt > 0 {
		line = max(line, b.now-h.probedAt-2*b.idleProbeSeconds)
	}
	return line
}
