package sidecar

import (
	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/netio"
)

// onData implements connHandler: it reads requests, or the rest of the open request's body.
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
		case c.input.Len() > maxInputBytes: // the loop could not pause reading
			c.sidecar.closeConn(c.conn)
		case c.input.Len() > maxPipelinedBytes:
			c.pauseReading(c.closePolicyWhilePaused())
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

// closePolicyWhilePaused returns how a close by the client is handled while reading is paused. It is reported at once while the client
// waits for a response of which nothing is written yet.
func (c *ClientConn) closePolicyWhilePaused() netio.ClosePolicy {
	if c.request == nil || c.request.isAnswered {
		return netio.DeferClose
	}
	return netio.ReportClose
}

// readRequests handles the requests that have arrived, until one of them is open.
func (c *ClientConn) readRequests() {
	for c.conn != nil && c.request == nil && !c.isLastWritten && c.unreadBytes == 0 { // the connection may have been closed since this was queued
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

// awaitArrival resumes reading, and starts the timeout for the rest of a request if part of it has arrived.
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

// setArrivalDeadline sets the time by which a request must have arrived, not counting the extension for a longer body.
func (c *ClientConn) setArrivalDeadline(deadline float64) {
	c.arrivalDeadline, c.stalledBefore = deadline, c.sidecar.fitness.stalledSeconds
}

// checkArrival ends a request that has not arrived in time. The timeout grows with the body at minBytesPerSecond. Time in which reading was
// paused or the loop stalled does not count, since data was left in the socket.
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

// stopArrivalTimer stops the timeout for the rest of a request.
func (c *ClientConn) stopArrivalTimer() {
	c.sidecar.timers.stop(c.arrivalTimer)
	c.arrivalTimer = nil
}

// rejectMalformed answers a message that can't be read; the response is the last on the connection.
func (c *ClientConn) rejectMalformed(err error) {
	c.stopArrivalTimer()
	c.keepAlive = false
	c.codec.RejectMalformed(err)
}

// accountHeldBytes sets how many bytes of requests and responses are buffered for the connection. While the total exceeds the memory limit,
// the connection with the largest share is closed.
func (c *ClientConn) accountHeldBytes(bytes int) {
	s := c.sidecar
	s.clients.admission.SetBufferedBytes(c.slot, bytes)
	for victim := s.clients.admission.BufferVictim(); victim != nil; victim = s.clients.admission.BufferVictim() {
		s.warnLimited("connections closed: memory limit reached")
		victim.Owner.(*ClientConn).evict()
	}
}

// pauseReading leaves received data in the socket. A client that closes while its request is open may have unread bytes before the close.
// If the close went unnoticed, the request would be run although nobody waits for it; closePolicy says whether it is reported at once.
func (c *ClientConn) pauseReading(closePolicy netio.ClosePolicy) {
	c.sidecar.net.PauseReading(c.conn, closePolicy)
	c.isPaused = true
}

// resumeReading ends pauseReading.
func (c *ClientConn) resumeReading() {
	if c.isPaused {
		c.isPaused = false
		c.sidecar.net.ResumeReading(c.conn)
	}
}
