package policy

// learnLine takes the delay of a probe for the line at a host: a deep probe waits and is served like a
// request, so where reports are absent it tells the load; a shallow one tells no line and does no harm.
func (b *Balancer) learnLine(h *host, how Outcome, delay float64) {
	if b.polls || how == Reset || how == ConnectFailed { // a connection's end tells no line
		return
	}
	ok := how == OK
	if ok && (b.base == 0 || delay < b.base) {
		b.base = delay
	}
	b.base += 0.002 * min(delay-b.base, b.base)
	if h.line, h.lineAt = max(delay-2*b.base, 0), b.now; !ok {
		h.line = 4 * delay // longer than the probe could wait
		b.cut(h)
	}
	b.crowd += 0.1 * (min(h.line/b.aim, 1) - b.crowd)
}

// line is the wait that is expected at a host before work begins, by what came last and the probe still out.
func (b *Balancer) line(h *host) float64 {
	if b.polls || b.base == 0 {
		return 0
	}
	line := h.line / max(1, 2*(b.now-h.lineAt)/(probeEvery+h.every))
	if h.probedAt > 0 {
		line = max(line, b.now-h.probedAt-2*b.base)
	}
	return line
}
