package sidecar

import (
	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/netio"
)

// traffic reads what the client says.
func (c *ClientConn) onData(data []byte) {
	if c.isLastWritten {
		c.lastDataAt = c.sidecar.now()
		return
	}
	c.input.Write(data)
	if r := c.request; r == nil && c.unreadBytes == 0 || r != nil && r.isUploading() {
		c.arrivals.reset()
	}
	c.arrivals.add(len(data), c.sidecar.now())
	if r := c.request; r != nil && r.isUploading() {
		c.forwardUpload(r)
		return
	}
	if c.request != nil || c.unreadBytes > 0 {
		switch {
		case c.input.Len() > maxInputBytes: // reading can't be paused here
			c.sidecar.closeConn(c.conn)
		case c.input.Len() > maxPipelinedBytes:
			c.pauseReading(c.pausedEnds())
			c.accountHeldBytes(c.input.Len() + c.requestBytes + c.unreadBytes)
		}
		return
	}
	if c.readRequests(); c.conn != nil && c.request == nil && !c.isLastWritten {
		if state, _ := c.slot.State(); state == admission.StateNew || state == admission.StateIdle {
			c.sidecar.clients.admission.SetState(c.sidecar.now(), c.slot, admission.StateReading)
		}
		held, _ := c.codec.PartialRequest()
		c.accountHeldBytes(c.input.Len() + held)
	}
}

// endsWhilePaused returns whether the client's end counts while what it sends is left unread: as long as it is owed an answer of
// which nothing has been written.
func (c *ClientConn) pausedEnds() netio.ClosePolicy {
	if c.request == nil || c.request.isAnswered {
		return netio.DeferClose
	}
	return netio.ReportClose
}

// next takes up the requests that have come, until one is out.
func (c *ClientConn) readRequests() {
	for c.conn != nil && c.request == nil && !c.isLastWritten && c.unreadBytes == 0 { // a link may have gone since this was queued
		ready, err := c.codec.ReadRequest(&c.input)
		if err != nil {
			c.rejectMalformed(err)
			return
		}
		if !ready {
			if c.conn != nil {
				c.awaitArrival()
			}
			return
		}
		c.stopArrivalTimer()
		c.codec.HandleRequest()
	}
}

// await has the rest of a request come.
func (c *ClientConn) awaitArrival() {
	c.resumeReading()
	if _, begun := c.codec.PartialRequest(); c.arrivalTimer != nil || c.input.Len() == 0 && !begun {
		return
	}
	deadline := c.sidecar.now() + arrivalTimeoutSeconds
	if !c.hasAnswered {
		deadline = min(deadline, c.openedAt+firstRequestTimeoutSeconds)
	}
	c.setArrivalDeadline(deadline)
	c.arrivalTimer = c.sidecar.timers.schedule(deadline, c.checkArrival)
}

// awaitUntil has a request come by a time, plus what a longer body needs.
func (c *ClientConn) setArrivalDeadline(deadline float64) {
	c.arrivalDeadline, c.stalledBefore = deadline, c.sidecar.fitness.stalledSeconds
}

// overdue ends a request that has not come whole in time. A longer body has as much more as it needs at the least rate, and the time in
// which it was left unread does not count, nor that in which the loop stood still: what came then lay in the socket.
func (c *ClientConn) checkArrival() {
	now, arrivedBytes := c.sidecar.now(), 0
	c.arrivalTimer = nil
	c.setArrivalDeadline(c.arrivalDeadline + c.sidecar.fitness.stalledSeconds - c.stalledBefore)
	if r := c.request; r != nil {
		arrivedBytes = r.body.DroppedBytes + len(r.body.Buffered)
	} else {
		arrivedBytes, _ = c.codec.PartialRequest()
	}
	if c.isPaused {
		c.setArrivalDeadline(now + arrivalTimeoutSeconds - float64(arrivedBytes)/minBytesPerSecond)
	}
	if deadline := c.arrivalDeadline + float64(arrivedBytes)/minBytesPerSecond; deadline > now {
		c.arrivalTimer = c.sidecar.timers.schedule(max(deadline, now+0.1), c.checkArrival)
		return
	}
	c.sidecar.clients.admission.RecordWasted(c.slot)
	if r := c.request; r != nil {
		c.sidecar.failUpload(r, ErrRequestTimeout)
		return
	}
	c.rejectMalformed(ErrRequestTimeout)
}

// endArrival notes that no request is on its way in.
func (c *ClientConn) stopArrivalTimer() {
	c.sidecar.timers.stop(c.arrivalTimer)
	c.arrivalTimer = nil
}

// decline ends a link that brings no message.
func (c *ClientConn) rejectMalformed(err error) {
	c.stopArrivalTimer()
	c.keepAlive = false
	c.codec.RejectMalformed(err)
}

// hold notes how much of a request or of an answer the link holds. Where all hold too much, who holds most goes.
func (c *ClientConn) accountHeldBytes(bytes int) {
	s := c.sidecar
	s.clients.admission.SetBufferedBytes(c.slot, bytes)
	for victim := s.clients.admission.BufferVictim(); victim != nil; victim = s.clients.admission.BufferVictim() {
		s.warnLimited("connections that hold much are closed: there is no memory for more")
		victim.Owner.(*ClientConn).evict()
	}
}

// pause leaves what the client sends in the socket. Danger: while a request waits its client may go, behind bytes that nobody reads;
// sent on all the same, the request would run for nobody.
func (c *ClientConn) pauseReading(ends netio.ClosePolicy) {
	c.sidecar.net.PauseReading(c.conn, ends)
	c.isPaused = true
}

// resume reads on.
func (c *ClientConn) resumeReading() {
	if c.isPaused {
		c.isPaused = false
		c.sidecar.net.ResumeReading(c.conn)
	}
}
