package checker

// overlapWaitSeconds is how long the report of a first attempt's end may be under way.
const overlapWaitSeconds = 1.0

// attemptOverlap is a pair of attempts, by index, of which the first had no known end when the second arrived. Whether it
// had ended when the second was sent is known once the close of its connection arrives.
type attemptOverlap struct {
	request       *request
	first, second int
	decideAt      float64
}

// checkRepeat checks that the class of a request allowed the second of two attempts after the first.
func (c *Checker) checkRepeat(request *request, first, second int) {
	class := c.class(request.class)
	a, b := &request.attempts[first], &request.attempts[second]
	if class == nil || class.Effect == Safe || a.isProvenNotRun(b.sentAt) {
		return
	}
	if class.Effect == Unsafe {
		c.addViolation(NoRepeat, request.sidecar, b.server, request.id, nil, "sent again at %.6f, though the execution sent at %.6f may have run", b.sentAt, a.sentAt)
		return
	}
	x, y := c.server(a.server), c.server(b.server)
	if class.Group == GroupZone && x.zone != y.zone || class.Group == GroupCell && x.cell != y.cell {
		c.addViolation(NoRepeat, request.sidecar, b.server, request.id, nil, "sent again to a box outside the group of box %d, where it may have run", a.server)
	}
	if span := b.sentAt - a.sentAt; span > class.DedupWindowSeconds+c.rules.SocketSlackSeconds {
		c.addViolation(NoRepeat, request.sidecar, b.server, request.id, nil, "sent again %.3f s after the first that may have run; its window is %.3f s", span, class.DedupWindowSeconds)
	}
}

// checkOverlap checks that the first of two attempts was over when the second was sent. What can't be told yet is decided
// after overlapWaitSeconds.
func (c *Checker) checkOverlap(request *request, first, second int) {
	if c.rules.AllowsHedging || c.wasOver(&request.attempts[first], request.attempts[second].sentAt) {
		return
	}
	c.overlaps = append(c.overlaps, attemptOverlap{request, first, second, c.now + overlapWaitSeconds})
}

// wasOver reports whether an attempt is known to have been over at a time.
func (c *Checker) wasOver(attempt *attempt, at float64) bool {
	slack := timeToleranceSeconds
	if attempt.closedAt > 0 && !attempt.isClosedAtExact {
		slack = c.rules.SocketSlackSeconds // the close is known by its arrival alone
	}
	return attempt.endKnownAt(c.server(attempt.server).incarnationEnd(attempt.serverIncarnation)) <= at+slack
}

// decideOverlap decides the oldest overlap.
func (c *Checker) decideOverlap() {
	overlap := c.overlaps[0]
	c.overlaps = c.overlaps[1:]
	a, b := &overlap.request.attempts[overlap.first], &overlap.request.attempts[overlap.second]
	if c.wasOver(a, b.sentAt) || c.hadPathFault(overlap.request.sidecar, a.server, a.sentAt, c.now) {
		return
	}
	c.addViolation(NoConcurrentAttempts, overlap.request.sidecar, b.server, overlap.request.id, nil, "sent at %.6f while the execution sent at %.6f was still out at box %d", b.sentAt, a.sentAt, a.server)
}

// checkRejection checks that the request may be retried, as a rejection says: no attempt of the present process may have
// been executed, unless the class allows a repeat anywhere.
func (c *Checker) checkRejection(request *request, e *Event) {
	if class := c.class(request.class); class == nil || class.Effect == Safe || class.Effect == Keyed && class.Group == GroupAll {
		return
	}
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if attempt.sidecarIncarnation == c.sidecars[request.sidecar].incarnation && !attempt.isProvenNotRun(e.At) {
			c.addViolation(NoRepeat, request.sidecar, attempt.server, request.id, nil, "refused, though the execution sent at %.6f may have run", attempt.sentAt)
			return
		}
	}
}
