package sidecar

import (
	"slices"

	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/netio"
	"hazelwheel/policy"
)

const (
	// lagS without a byte ends what flows: nobody takes it, or nobody brings it.
	peerLagTimeoutSeconds = 10.0
	// lateFlowS after its request's deadline an answer has to have come at leastRate on the whole, or it ends: its client waits for the
	// last byte, and one that a server never ends would hold it for ever.
	lateStreamGraceSeconds = 0.3
	// flowEveryS is the time between two looks at those who lag: the loop does not tell when a peer has taken what it was sent.
	streamCheckIntervalSeconds = 0.005
	// mostScratch is the memory that is kept for what is written next.
	maxWriteBufferBytes = 256 << 10
)

// keepScratch takes back memory that has grown, unless it is too much to be kept.
func (s *Sidecar) recycleWriteBuffer(b []byte) {
	if s.writeBuffer = b; cap(b) > maxWriteBufferBytes {
		s.writeBuffer = nil
	}
}

// spool returns how much of a body is held before the rest of it flows.
func (s *Sidecar) bodyBufferLimit() int {
	return admission.BodyBufferBytes(s.clients.admission.BufferedBytes(), s.admissionSettings(0).MaxBufferedBytes)
}

// flowRoom returns how much may wait for a peer that is slow to take it; then the other end is left unread.
func (s *Sidecar) streamWindow() int {
	return admission.FlowBufferBytes(len(s.streams.responses)+len(s.streams.laggingConns), s.admissionSettings(0).MaxBufferedBytes)
}

// flows are what is looked at again and again while it flows: answers, and requests whose server lags.
type streams struct {
	responses    []*stream
	laggingConns []*backendConn
	isScheduled  bool
}

// tend has flows looked at from now on.
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

// --- answers ---

// flow is an answer that is passed on as it comes. Its request has its answer with the first of it, and is over with the last.
type stream struct {
	sidecar       *Sidecar
	attempt       *attempt
	backend       *backendConn
	client        *ClientConn
	responder     StreamResponder
	isPaused      bool    // the server's link is left unread
	lastDataAt    float64 // when the server last brought something, or could not
	receivedBytes int     // bytes that it has brought since the flow began
	startedAt     float64 // when it began, plus the time for which the server was not read
	pausedAt      float64 // since when it is not read
	unreadBytes   int     // what the client has not taken
	lastReadAt    float64 // when it last took something
	isOver        bool
}

// beginFlow passes on what has come of a large answer. One that nobody waits for, or that says that the attempt failed, is not
// read to its end.
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
	f := &stream{sidecar: s, attempt: a, backend: b, client: r.client, responder: origin, lastDataAt: now, lastReadAt: now, startedAt: now}
	a.stream, r.stream, r.isAnswered, result.Final = f, f, true, true
	s.streams.responses = append(s.streams.responses, f)
	s.turn.events = append(s.turn.events, event{endedAttempt: a, result: result})
	origin.ForwardHead(a.exchange)
	f.check()
	s.scheduleStreamCheck()
}

// traffic passes on what has come, so many bytes.
func (f *stream) onData(n int, done bool, err error) {
	f.receivedBytes += n
	if f.lastDataAt = f.sidecar.now(); err != nil {
		f.finish(failed)
		return
	}
	f.responder.ForwardBody(f.attempt.exchange, done)
	switch {
	case f.isOver: // its client has gone meanwhile
	case done:
		f.finish(served)
	default:
		f.check()
	}
}

// serverEnded takes the end of the server's link, which may make the answer whole.
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

// look holds the server up while the client lags, and ends a flow that stands still.
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

// drips tells whether the deadline is over and the server brings too little for the answer to come to its end.
func (f *stream) isTooSlow(now float64) bool {
	return !f.isPaused && now > f.attempt.request.deadline+lateStreamGraceSeconds && float64(f.receivedBytes) < minBytesPerSecond*(now-f.startedAt)
}

// end ends a flow: with its last byte, or with its client's link, which tells the client that it is not whole.
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
