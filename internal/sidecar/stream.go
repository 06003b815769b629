package sidecar

import (
	"slices"

	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/netio"
	"hazelwheel/policy"
)

const (
	// peerLagTimeoutSeconds is how long a stream may make no progress, since the client does not read or the server does not write.
	peerLagTimeoutSeconds = 10.0
	// lateStreamGraceSeconds after the request's deadline, a stream ends if it has arrived at less than minBytesPerSecond on average:
	// otherwise a server that never completes its response would make the client wait forever.
	lateStreamGraceSeconds = 0.3
	// streamCheckIntervalSeconds is the polling interval for lagging peers, since the event loop does not report when a peer has read what
	// it was sent.
	streamCheckIntervalSeconds = 0.005
	// maxWriteBufferBytes bounds the write buffer that is kept for reuse.
	maxWriteBufferBytes = 256 << 10
)

// recycleWriteBuffer keeps a buffer for the next write, unless it has grown too large.
func (s *Sidecar) recycleWriteBuffer(b []byte) {
	if s.writeBuffer = b; cap(b) > maxWriteBufferBytes {
		s.writeBuffer = nil
	}
}

// bodyBufferLimit returns how many bytes of a body are buffered before the rest is forwarded as it arrives.
func (s *Sidecar) bodyBufferLimit() int {
	return admission.BodyBufferBytes(s.clients.admission.BufferedBytes(), s.admissionSettings(0).MaxBufferedBytes)
}

// streamWindow returns how many bytes may be buffered for a slow peer before reading from the other side is paused.
func (s *Sidecar) streamWindow() int {
	return admission.FlowBufferBytes(len(s.streams.responses)+len(s.streams.laggingConns), s.admissionSettings(0).MaxBufferedBytes)
}

// streams holds what is polled while it is in progress: streamed responses, and backend connections that take a request body slowly.
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
	all := &s.streams
	for _, st := range slices.Clone(all.responses) {
		st.check()
	}
	lagging := all.laggingConns
	all.laggingConns = nil
	for _, b := range lagging {
		if a := b.attempt; a != nil && b.conn != nil && !b.isClosed {
			b.forwardBody(a)
		}
	}
	if all.isScheduled = len(all.responses)+len(all.laggingConns) > 0; all.isScheduled {
		s.timers.schedule(s.now()+streamCheckIntervalSeconds, s.checkStreams)
	}
}

// stream is a response that is forwarded as it arrives. Its request counts as answered from the first part on, and ends with the last.
type stream struct {
	sidecar       *Sidecar
	attempt       *attempt
	backend       *backendConn
	client        *ClientConn
	responder     StreamResponder
	isPaused      bool    // the backend connection is not read
	lastDataAt    float64 // when the server last sent data, or its connection was paused
	receivedBytes int     // from the server since the stream began
	startedAt     float64 // start of the stream, plus the time for which reading was paused
	pausedAt      float64 // when reading was paused
	unreadBytes   int     // bytes written and not read by the client
	lastReadAt    float64 // when the client last read data
	isOver        bool
}

// startStream starts to forward a large response. If it reports a failure, or its client no longer waits or can't take a stream, the
// connection is closed instead.
func (s *Sidecar) startStream(b *backendConn, a *attempt) {
	r, now := a.request, s.now()
	result := policy.Result{ID: r.id, Host: a.serverID, Attempt: a.number}
	result.Outcome, result.Report, _ = a.exchange.Result()
	responder, canStream := r.responder.(StreamResponder)
	if result.Outcome != policy.OK || r.isAnswered || !canStream {
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
	st := &stream{
		sidecar:    s,
		attempt:    a,
		backend:    b,
		client:     r.client,
		responder:  responder,
		lastDataAt: now,
		lastReadAt: now,
		startedAt:  now,
	}
	a.stream, r.stream, r.isAnswered, result.Final = st, st, true, true
	s.streams.responses = append(s.streams.responses, st)
	s.turn.events = append(s.turn.events, event{endedAttempt: a, result: result})
	responder.ForwardHead(a.exchange)
	st.check()
	s.scheduleStreamCheck()
}

// onData forwards data that has arrived.
func (st *stream) onData(n int, done bool, err error) {
	st.receivedBytes += n
	if st.lastDataAt = st.sidecar.now(); err != nil {
		st.finish(failed)
		return
	}
	st.responder.ForwardBody(st.attempt.exchange, done)
	switch {
	case st.isOver: // its client has disconnected meanwhile
	case done:
		st.finish(served)
	default:
		st.check()
	}
}

// onBackendClose handles the close of the backend connection; an orderly close may mark the end of the response.
func (st *stream) onBackendClose(isOrderly bool) {
	if st.isOver {
		return
	}
	if isOrderly && st.attempt.exchange.HandleEOF() {
		st.responder.ForwardBody(st.attempt.exchange, true)
		st.finish(served)
		return
	}
	st.finish(failed)
}

// check pauses reading from the server while the client lags, and ends a stream that makes no progress.
func (st *stream) check() {
	if st.isOver || st.client.conn == nil {
		return
	}
	now, unread := st.sidecar.now(), st.client.conn.OutboundBuffered()
	if unread < st.unreadBytes || unread == 0 {
		st.lastReadAt = now
	}
	st.unreadBytes = unread
	switch {
	case !st.isPaused && unread >= st.sidecar.streamWindow():
		st.isPaused, st.pausedAt = st.sidecar.net.PauseReading(st.backend.conn, netio.DeferClose), now
	case st.isPaused && unread < st.sidecar.streamWindow()/2:
		st.isPaused, st.lastDataAt = false, now
		st.startedAt += now - st.pausedAt
		st.sidecar.net.ResumeReading(st.backend.conn)
	}
	if st.isPaused {
		st.lastDataAt = now
	}
	switch {
	case now > st.lastReadAt+peerLagTimeoutSeconds:
		st.sidecar.counters.UnreadConnsClosed++
		st.sidecar.clients.admission.RecordWasted(st.client.slot)
		st.finish(failed)
	case now > st.lastDataAt+peerLagTimeoutSeconds, st.isTooSlow(now):
		st.finish(failed)
	}
}

// isTooSlow reports whether the deadline has passed and the server sends at less than minBytesPerSecond.
func (st *stream) isTooSlow(now float64) bool {
	return !st.isPaused && now > st.attempt.request.deadline+lateStreamGraceSeconds && float64(st.receivedBytes) < minBytesPerSecond*(now-st.startedAt)
}

// finish ends a stream. Unless it was served completely, the client's connection is closed, which marks the response as incomplete.
func (st *stream) finish(end requestEnd) {
	if st.isOver {
		return
	}
	st.isOver = true
	s, r, b := st.sidecar, st.attempt.request, st.backend
	if i := slices.Index(s.streams.responses, st); i >= 0 {
		s.streams.responses = slices.Delete(s.streams.responses, i, i+1)
	}
	r.stream = nil
	s.countRequestEnd(r, end)
	s.recordResponseCost(st.attempt)
	s.completeQuota(r)
	s.requests.releaseClientID(r)
	if !b.isClosed {
		if b.attempt = nil; end == served && b.isReusable(st.attempt) {
			b.makeIdle()
		} else {
			b.close()
		}
	}
	s.pushEvent(func(float64) { s.forgetRequest(r) })
	switch {
	case end == served:
		st.client.finishStream()
	case st.client.conn != nil:
		st.client.request = nil
		s.closeConn(st.client.conn)
	}
}
