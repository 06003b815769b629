package sidecar

import (
	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/netio"
)

// MarkServed records that the next response comes from a server.
func (c *ClientConn) MarkServed() { c.sidecar.clients.admission.RecordServed(c.slot) }

// BeginResponse detaches the open request from the connection. It returns a buffer to append the response to, which is then passed to
// EndResponse; whether the response is the last on the connection; and whether the client is still connected. canAnnounceClose says that
// the response can tell the client that the connection will be closed.
func (c *ClientConn) BeginResponse(canAnnounceClose bool) (dst []byte, last, connected bool) {
	// If the request was answered before all of it arrived, its arrival timeout would write a second response.
	c.stopArrivalTimer()
	if c.request = nil; c.conn == nil {
		return nil, false, false
	}
	// Pipelined requests that were received need a response. A client that is told of the close sends them again. One that is not told may
	// already be sending its next request, and may be unable to open another connection; so its connection is closed only while nothing is
	// pipelined or unread.
	hasPipelined := c.input.Len() > 0
	if canAnnounceClose {
		c.isLastWritten = !c.keepAlive || c.sidecar.lifecycle.closesAfterResponse() || c.sidecar.hasManyClients() && !hasPipelined
	} else {
		c.isLastWritten = !c.keepAlive || c.sidecar.lifecycle.closesAfterResponse() && !hasPipelined && c.sidecar.net.NothingToRead(c.conn)
	}
	return c.sidecar.writeBuffer[:0], c.isLastWritten, true
}

// EndResponse writes a response and prepares the connection for the next request.
func (c *ClientConn) EndResponse(response []byte) {
	c.sidecar.recycleWriteBuffer(response)
	c.hasAnswered = true
	if len(response) > 0 {
		c.Write(response)
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

// BodyBufferLimit returns how many bytes of a request's body are buffered before the rest is forwarded as it arrives.
func (c *ClientConn) BodyBufferLimit() int { return c.sidecar.bodyBufferLimit() }

// BeginStream is BeginResponse for a response that is forwarded in parts, which are passed to WriteStream. endsWithConn says that only the
// close of the connection marks the end of the response.
func (c *ClientConn) BeginStream(endsWithConn bool) (dst []byte, last, connected bool) {
	if c.conn == nil {
		return nil, false, false
	}
	c.isStreamLast = !c.keepAlive || endsWithConn || c.sidecar.lifecycle.closesAfterResponse() || c.sidecar.hasManyClients() && c.input.Len() == 0
	c.isStreamed = true
	return c.ScratchBuffer(), c.isStreamLast, true
}

// ScratchBuffer returns an empty buffer for WriteStream.
func (c *ClientConn) ScratchBuffer() []byte { return c.sidecar.writeBuffer[:0] }

// WriteStream writes a part of a response.
func (c *ClientConn) WriteStream(b []byte) {
	c.sidecar.recycleWriteBuffer(b)
	if c.conn != nil && len(b) > 0 {
		c.Write(b)
	}
}

// finishStream prepares the connection for the next request after the last part of a response.
func (c *ClientConn) finishStream() {
	c.stopArrivalTimer()
	if c.request = nil; c.conn != nil {
		c.isLastWritten = c.isStreamLast
		c.EndResponse(nil)
	}
}

// finishResponse continues after all of a response was written to the socket.
func (c *ClientConn) finishResponse() {
	c.unreadBytes, c.requestBytes, c.isStreamed = 0, 0, false
	if c.isLastWritten {
		c.resumeReading()
		c.startLinger()
		return
	}
	c.sidecar.clients.admission.SetState(c.sidecar.now(), c.slot, admission.StateIdle)
	c.input.ReleaseMemory()
	c.accountHeldBytes(c.input.Len())
	// The next request may already be in the buffer; it is handled as a separate event.
	if c.conn == nil {
		return
	}
	if c.input.Len() > 0 {
		c.sidecar.pushEvent(func(float64) { c.readRequests() })
	} else {
		c.resumeReading()
	}
}

// Write writes bytes as they are. Responses go through EndResponse or WriteStream.
func (c *ClientConn) Write(b []byte) {
	c.conn.Write(b) // the event loop buffers what the socket does not take, and closes the connection on an error
}

// waitForClientRead pauses a connection until its client has read what was written. If further requests were handled while their responses
// pile up, memory would grow without bound until the process is killed with all its open requests.
func (c *ClientConn) waitForClientRead() {
	s, now := c.sidecar, c.sidecar.now()
	c.unreadSince, c.lastReadAt, c.unreadBytes = now, now, c.conn.OutboundBuffered()
	s.clients.admission.SetState(now, c.slot, admission.StateWriting)
	c.pauseReading(netio.DeferClose) // a client that has closed for writing may still read
	c.accountHeldBytes(c.unreadBytes + c.input.Len())
	if !s.clients.isCheckingUnread {
		s.clients.isCheckingUnread = true
		s.timers.schedule(now+unreadCheckIntervalSeconds, s.checkUnreadResponses)
	}
}

// checkUnreadResponses checks the connections with unread responses: a connection continues once its client has read everything, and is
// closed if the client reads too slowly.
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
			s.warnLimited("connections closed: responses not read")
			s.clients.admission.RecordWasted(slot)
			s.closeConn(c.conn)
		}
	})
	if s.clients.isCheckingUnread = s.clients.admission.Oldest(admission.StateWriting) != nil; s.clients.isCheckingUnread {
		s.timers.schedule(now+unreadCheckIntervalSeconds, s.checkUnreadResponses)
	}
}
