package sidecar

import (
	"slices"

	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/netio"
	"hazelwheel/policy"
)

const (
	// peerLagTimeoutSeconds without a byte end a stream: the client does not read, or the server does not write.
	peerLagTimeoutSeconds = 10.0
	// lateStreamGraceSeconds after its request's deadline a response must have arrived at minBytesPerSecond on average, or it ends: its
	// client waits for the last byte, and one that a server never ends would hold it for ever.
	lateStreamGraceSeconds = 0.3
	// streamCheckIntervalSeconds is the time between two checks of peers that lag: the event loop does not report when a peer has read what
	// it was sent.
	streamCheckIntervalSeconds = 0.005
	// maxWriteBufferBytes bounds the memory that is kept for the next write.
	maxWriteBufferBytes = 256 << 10
)

// recycleWriteBuffer keeps a buffer that has grown for the next write, unless it is too large.
func (s *Sidecar) recycleWriteBuffer(b []byte) {
	if s.writeBuffer = b; cap(b) > maxWriteBufferBytes {
		s.writeBuffer = nil
	}
}

// bodyBufferLimit returns how many bytes of a body are buffered before the rest is forwarded as it arrives.
func (s *Sidecar) bodyBufferLimit() int {
	return admission.BodyBufferBytes(s.clients.admission.BufferedBytes(), s.admissionSettings(0).MaxBufferedBytes)
}

// streamWindow returns how many bytes may wait for a slow peer; beyond that the other side is not read.
func (s *Sidecar) streamWindow() int {
	return admission.FlowBufferBytes(len(s.streams.responses)+len(s.streams.laggingConns), s.admissionSettings(0).MaxBufferedBytes)
}

// streams are checked periodically while they last: responses, and requests whose server reads slowly.
type streams struct {
	responses    []*stream
	laggingConns []*backendConn
	isScheduled  bool
}

// scheduleStreamCheck starts the periodic check.
func (s *Sidecar) scheduleStreamCheck() {
	if !s.streams.isScheduled {
		s.streams.isScheduled = true
		s.timers.schedule(s.now()+streamCheckIntervalSeconds, s.checkStreams)
	}
}

func (s *Sidecar) checkStreams() {
	f := &s.streams
	for _, st := range slices.Clone(f.responses) {
		st.check()
	}
	lagging := f.laggingConns
	f.laggingConns = nil
	for _, b := range lagging {
		if a := b.attempt; a != nil && b.conn != nil && !b.isClosed {
			b.forwardBody(a)
		}
	}
	if f.isScheduled = len(f.responses)+len(f.laggingConns) > 0; f.isScheduled {
		s.timers.schedule(s.now()+streamCheckIntervalSeconds, s.checkStreams)
	}
}

// stream is a response that is forwarded as it arrives. Its request counts as answered with the first part, and ends with the last.
type stream struct {
	sidecar       *Sidecar
	attempt       *attempt
	backend       *backendConn
	client        *ClientConn
	responder     StreamResponder
	isPaused      bool    // the backend connection is not read
	lastDataAt    float64 // when the server last sent something, or was not read
	receivedBytes int     // from the server since the stream began
	startedAt     float64 // start of the stream, plus the time for which the server was not read
	pausedAt      float64 // since when it is not read
	unreadBytes   int     // written, and not read by the client
	lastReadAt    float64 // when the client last read something
	isOver        bool
}

// startStream forwards what has arrived of a large response. One that nobody waits for, or that reports a failure, is not read to its end.
func (s *Sidecar) startStream(b *backendConn, a *attempt) {
	r, now := a.request, s.now()
	result := policy.Result{ID: r.id, Host: a.serverID, Attempt: a.number}
	result.Outcome, result.Report, _ = a.exchange.Result()
	origin, can := r.responder.(StreamResponder)
	if result.Outcome != policy.OK || r.isAnswered || !can {
		b.attempt = nil
		b.close()
		s.finishAttempt(a, nil)
		return
	}
	a.isOver = true
	s.timers.stop(&a.timer)
	s.timers.stop(&r.deadlineTimer)
	s.timers.stop(r.faultTimer)
	s.counters.attemptOutcomes.count(result.Outcome)
	r.removeAttempt(a)
	f := &stream{
		sidecar:    s,
		attempt:    a,
		backend:    b,
		client:     r.client,
		responder:  origin,
		lastDataAt: now,
		lastReadAt: now,
		startedAt:  now,
	}
	a.stream, r.stream, r.isAnswered, result.Final = f, f, true, true
	s.streams.responses = append(s.streams.responses, f)
	s.turn.events = append(s.turn.events, event{endedAttempt: a, result: result})
	origin.ForwardHead(a.exchange)
	f.check()
	s.scheduleStreamCheck()
}

// onData forwards data that has arrived.
func (f *stream) onData(n int, done bool, err error) {
	f.receivedBytes += n
	if f.lastDataAt = f.sidecar.now(); err != nil {
		f.finish(failed)
		return
	}
	f.responder.ForwardBody(f.attempt.exchange, done)
	switch {
	case f.isOver: // its client has closed meanwhile
	case done:
		f.finish(served)
	default:
		f.check()
	}
}

// onBackendClose handles the close of the backend connection, which may complete the response.
func (f *stream) onBackendClose(isOrderly bool) {
	if f.isOver {
		return
	}
	if isOrderly && f.attempt.exchange.HandleEOF() {
		f.responder.ForwardBody(f.attempt.exchange, true)
		f.finish(served)
		return
	}
	f.finish(failed)
}

// check pauses the server while the client lags, and ends a stream that is stuck.
func (f *stream) check() {
	if f.isOver || f.client.conn == nil {
		return
	}
	now, unread := f.sidecar.now(), f.client.conn.OutboundBuffered()
	if unread < f.unreadBytes || unread == 0 {
		f.lastReadAt = now
	}
	f.unreadBytes = unread
	switch {
	case !f.isPaused && unread >= f.sidecar.streamWindow():
		f.isPaused, f.pausedAt = f.sidecar.net.PauseReading(f.backend.conn, netio.DeferClose), now
	case f.isPaused && unread < f.sidecar.streamWindow()/2:
		f.isPaused, f.lastDataAt = false, now
		f.startedAt += now - f.pausedAt
		f.sidecar.net.ResumeReading(f.backend.conn)
	}
	if f.isPaused {
		f.lastDataAt = now
	}
	switch {
	case now > f.lastReadAt+peerLagTimeoutSeconds:
		f.sidecar.counters.UnreadConnsClosed++
		f.sidecar.clients.admission.RecordWasted(f.client.slot)
		f.finish(failed)
	case now > f.lastDataAt+peerLagTimeoutSeconds, f.isTooSlow(now):
		f.finish(failed)
	}
}

// isTooSlow reports whether the deadline has passed and the server sends too slowly for the response to end.
func (f *stream) isTooSlow(now float64) bool {
	return !f.isPaused && now > f.attempt.request.deadline+lateStreamGraceSeconds && float64(f.receivedBytes) < minBytesPerSecond*(now-f.startedAt)
}

// finish ends a stream: with its last byte, or by closing the client's connection, which marks the response as incomplete.
func (f *stream) finish(end requestEnd) {
	if f.isOver {
		return
	}
	f.isOver = true
	s, r, b := f.sidecar, f.attempt.request, f.backend
	if i := slices.Index(s.streams.responses, f); i >= 0 {
		s.streams.responses = slices.Delete(s.streams.responses, i, i+1)
	}
	r.stream = nil
	s.countRequestEnd(r, end)
	s.recordResponseCost(f.attempt)
	s.completeQuota(r)
	s.requests.releaseClientID(r)
	if !b.isClosed {
		if b.attempt = nil; end == served && b.isReusable(f.attempt) {
			b.makeIdle()
		} else {
			b.close()
		}
	}
	s.pushEvent(func(float64) { s.forgetRequest(r) })
	switch {
	case end == served:
		f.client.finishStream()
	case f.client.conn != nil:
		f.client.request = nil
		s.closeConn(f.client.conn)
	}
}
