package sidecar

import "hazelwheel/internal/netio"

// isUploading reports whether a request's body is still arriving.
func (r *request) isUploading() bool { return r.body != nil && !r.body.IsComplete }

// forwardUpload reads more of a request's body and forwards it.
func (c *ClientConn) forwardUpload(r *request) {
	s := c.sidecar
	if r.isAnswered { // its response is written, or the client expects none
		c.input.Discard(c.input.Len())
		return
	}
	if err := c.codec.ReadBody(&c.input); err != nil {
		s.failUpload(r, err)
		return
	}
	if r.body.IsComplete {
		c.stopArrivalTimer()
		r.deadline = min(s.now()+r.timeoutSeconds, s.latestResponseAt())
		s.timers.stop(&r.deadlineTimer)
		s.timers.start(&r.deadlineTimer, r.deadline+s.responseSlackSeconds/2, r)
		for _, a := range r.attempts {
			a.deadline = r.deadline - s.responseMargin()
			s.timers.stop(&a.timer)
			s.timers.start(&a.timer, a.deadline, a)
		}
	}
	for _, a := range r.attempts {
		if a.backend != nil && a.backend.conn != nil && a.backend.attempt == a {
			a.backend.forwardBody(a)
			break
		}
	}
	if c.request != r || c.conn == nil {
		return
	}
	if c.requestBytes = len(r.body.Buffered); r.isUploading() && r.body.UnsentBytes() >= ChunkBytes {
		c.pauseReading(netio.ReportClose)
	}
	s.clients.admission.SetBufferedBytes(c.slot, c.requestBytes+c.input.Len())
}

// failUpload ends a request whose body is malformed or does not arrive.
func (s *Sidecar) failUpload(r *request, err error) {
	s.answerRequest(r, failed, func() { r.client.rejectMalformed(err) })
	s.pushAbandoned(r)
}

// forwardBody writes the part of a request's body that has arrived, until the server's stream window is full.
func (b *backendConn) forwardBody(a *attempt) {
	for !a.exchange.IsRequestAppended() && b.conn.OutboundBuffered() < b.sidecar.streamWindow() {
		part := a.exchange.AppendBody(b.sidecar.writeBuffer[:0], ChunkBytes)
		if b.sidecar.recycleWriteBuffer(part); len(part) == 0 {
			break
		}
		b.isWriting = true
		_, err := b.conn.Write(part)
		b.isWriting = false
		if err != nil || b.attempt != a {
			return
		}
	}
	a.progress = b.updateProgress(a)
	if a.progress == partlyWritten && b.conn.OutboundBuffered() > 0 {
		b.sidecar.streams.laggingConns = append(b.sidecar.streams.laggingConns, b)
		b.sidecar.scheduleStreamCheck()
	}
	r := a.request
	if r == nil || r.body == nil {
		return
	}
	if len(r.body.Buffered) > b.sidecar.bodyBufferLimit() {
		r.body.dropSent()
	}
	if c := r.client; r.isUploading() && r.body.UnsentBytes() < ChunkBytes && c.request == r && c.conn != nil {
		c.resumeReading()
	}
}
