package sidecar

import (
	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/netio"
)

// MarkServed notes that the answer to come is a server's.
func (c *ClientConn) MarkServed() { c.sidecar.clients.admission.RecordServed(c.slot) }

// BeginResponse frees the link of its request. It tells whether the client is still there, and whether the answer to come is
// the last on the link; what it is appended to is returned, for EndAnswer. says tells whether the answer can say so itself.
func (c *ClientConn) BeginResponse(canAnnounceClose bool) (dst []byte, last, connected bool) {
	// Danger: the rest of a request that is answered before it has come whole is waited for no longer; its time would end with a
	// second answer.
	c.stopArrivalTimer()
	if c.request = nil; c.conn == nil {
		return nil, false, false
	}
	// Danger: what has come behind the request is taken, and is owed its answer here. A client that is told of the end sends
	// it again. One that is not may be sending its next request by now; where there are too many links it would find no
	// other, so its own ends by its rest alone.
	hasPipelined := c.input.Len() > 0
	if canAnnounceClose {
		c.isLastWritten = !c.keepAlive || c.sidecar.lifecycle.closesAfterResponse() || c.sidecar.hasManyClients() && !hasPipelined
	} else {
		c.isLastWritten = !c.keepAlive || c.sidecar.lifecycle.closesAfterResponse() && !hasPipelined && c.sidecar.net.NothingToRead(c.conn)
	}
	return c.sidecar.writeBuffer[:0], c.isLastWritten, true
}

// EndResponse writes an answer and makes ready for the next request.
func (c *ClientConn) EndResponse(answer []byte) {
	c.sidecar.recycleWriteBuffer(answer)
	c.hasAnswered = true
	if len(answer) > 0 {
		c.Write(answer)
	}
	if c.conn == nil {
		return
	}
	if c.conn.OutboundBuffered() > 0 {
		c.waitForClientRead()
		return
	}
	c.finishResponse()
}

// BodyBufferLimit returns how much of a request's body is held before the rest of it flows.
func (c *ClientConn) BodyBufferLimit() int { return c.sidecar.bodyBufferLimit() }

// BeginStream is BeginAnswer for an answer that comes in pieces, which end with the link where nothing else tells their end.
// What is appended goes to Flow.
func (c *ClientConn) BeginStream(endsWithConn bool) (dst []byte, last, connected bool) {
	if c.conn == nil {
		return nil, false, false
	}
	c.isStreamLast = !c.keepAlive || endsWithConn || c.sidecar.lifecycle.closesAfterResponse() || c.sidecar.hasManyClients() && c.input.Len() == 0
	c.isStreamed = true
	return c.ScratchBuffer(), c.isStreamLast, true
}

// ScratchBuffer returns empty memory for what Flow is to write.
func (c *ClientConn) ScratchBuffer() []byte { return c.sidecar.writeBuffer[:0] }

// WriteStream writes a part of an answer.
func (c *ClientConn) WriteStream(b []byte) {
	c.sidecar.recycleWriteBuffer(b)
	if c.conn != nil && len(b) > 0 {
		c.Write(b)
	}
}

// endFlow makes ready for the next request once an answer has flowed to its end.
func (c *ClientConn) finishStream() {
	c.stopArrivalTimer()
	if c.request = nil; c.conn != nil {
		c.isLastWritten = c.isStreamLast
		c.EndResponse(nil)
	}
}

// afterAnswer goes on once the client's socket has taken an answer.
func (c *ClientConn) finishResponse() {
	c.unreadBytes, c.requestBytes, c.isStreamed = 0, 0, false
	if c.isLastWritten {
		c.resumeReading()
		c.startLinger()
		return
	}
	c.sidecar.clients.admission.SetState(c.sidecar.now(), c.slot, admission.StateIdle)
	c.input.Rest()
	c.accountHeldBytes(c.input.Len())
	// The next request may be in the buffer already; it is taken up as an event of its own.
	if c.conn == nil {
		return
	}
	if c.input.Len() > 0 {
		c.sidecar.pushEvent(func(float64) { c.readRequests() })
	} else {
		c.resumeReading()
	}
}

// Write sends what is no answer, or a part of one.
func (c *ClientConn) Write(b []byte) {
	c.conn.Write(b) // gnet keeps what the socket does not take, and closes the link on an error
}

// unread has a link wait until its client has taken what is written. Danger: requests that are taken up while answers
// wait grow what waits without a bound, and with it the process, which is killed with all that it has taken.
func (c *ClientConn) waitForClientRead() {
	s, now := c.sidecar, c.sidecar.now()
	c.unreadSince, c.lastReadAt, c.unreadBytes = now, now, c.conn.OutboundBuffered()
	s.clients.admission.SetState(now, c.slot, admission.StateWriting)
	c.pauseReading(netio.DeferClose) // a client that has said its last may still read
	c.accountHeldBytes(c.unreadBytes + c.input.Len())
	if !s.clients.isCheckingUnread {
		s.clients.isCheckingUnread = true
		s.timers.schedule(now+unreadCheckIntervalSeconds, s.checkUnreadResponses)
	}
}

// flush looks at the links whose answers wait: one whose client has taken all goes on, one whose client takes nothing is
// closed.
func (s *Sidecar) checkUnreadResponses() {
	now := s.now()
	s.clients.admission.Each(admission.StateWriting, func(slot *admission.Conn) {
		c := slot.Owner.(*ClientConn)
		unread := c.conn.OutboundBuffered()
		if unread < c.unreadBytes {
			c.unreadBytes, c.lastReadAt = unread, now
			s.clients.admission.SetBufferedBytes(slot, unread+c.input.Len())
		}
		switch {
		case unread == 0:
			c.finishResponse()
		case now > c.lastReadAt+unreadTimeoutSeconds && !c.isStreamed || now > c.unreadSince+maxUnreadSeconds && !c.isStreamed || now > c.lastReadAt+peerLagTimeoutSeconds:
			s.counters.UnreadConnsClosed++
			s.warnLimited("connections are closed whose clients do not read their answers")
			s.clients.admission.RecordWasted(slot)
			s.closeConn(c.conn)
		}
	})
	if s.clients.isCheckingUnread = s.clients.admission.Oldest(admission.StateWriting) != nil; s.clients.isCheckingUnread {
		s.timers.schedule(now+unreadCheckIntervalSeconds, s.checkUnreadResponses)
	}
}
