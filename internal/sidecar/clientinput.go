package sidecar

import (
	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/netio"
)

// onData implements connHandler: it reads requests, or the body of the one that is open.
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

// pausedEnds returns how a close by the client counts while reading is paused: at once for as long as the client waits for a response of
// which nothing is written.
func (c *ClientConn) pausedEnds() netio.ClosePolicy {
	if c.request == nil || c.request.isAnswered {
		return netio.DeferClose
	}
	return netio.ReportClose
}

// readRequests handles the requests that have arrived, until one is open.
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

// awaitArrival starts the timer for the rest of a request.
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

// setArrivalDeadline sets when a request must have arrived, before what a longer body adds.
func (c *ClientConn) setArrivalDeadline(deadline float64) {
	c.arrivalDeadline, c.stalledBefore = deadline, c.sidecar.fitness.stalledSeconds
}

// checkArrival ends a request that has not arrived in time. A longer body has the time that it needs at minBytesPerSecond; time in which
// reading was paused or the loop stalled does not count, since the data lay in the socket.
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

// stopArrivalTimer notes that no request is arriving.
func (c *ClientConn) stopArrivalTimer() {
	c.sidecar.timers.stop(c.arrivalTimer)
	c.arrivalTimer = nil
}

// rejectMalformed ends a connection with the response to a message that can't be read.
func (c *ClientConn) rejectMalformed(err error) {
	c.stopArrivalTimer()
	c.keepAlive = false
	c.codec.RejectMalformed(err)
}

// accountHeldBytes sets how many bytes of requests and responses the connection holds. While all connections together hold too much, the
// one that holds most is closed.
func (c *ClientConn) accountHeldBytes(bytes int) {
	s := c.sidecar
	s.clients.admission.SetBufferedBytes(c.slot, bytes)
	for victim := s.clients.admission.BufferVictim(); victim != nil; victim = s.clients.admission.BufferVictim() {
		s.warnLimited("connections closed: memory limit reached")
		victim.Owner.(*ClientConn).evict()
	}
}

// pauseReading leaves received data in the socket. Danger: while a request is open its client may close, behind bytes that are not read;
// forwarded all the same, the request would run for nobody.
func (c *ClientConn) pauseReading(ends netio.ClosePolicy) {
	c.sidecar.net.PauseReading(c.conn, ends)
	c.isPaused = true
}

// resumeReading ends pauseReading.
func (c *ClientConn) resumeReading() {
	if c.isPaused {
		c.isPaused = false
		c.sidecar.net.ResumeReading(c.conn)
	}
}
