package sidecar

import (
	"slices"

	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/netio"
	"hazelwheel/policy"
)

const (
	// lagS without a byte ends what flows: nobody takes it, or nobody brings it.
	lagS = 10.0
	// lateFlowS after its request's deadline an answer has to have come at leastRate on the whole, or it ends: its client waits for the
	// last byte, and one that a server never ends would hold it for ever.
	lateFlowS = 0.3
	// flowEveryS is the time between two looks at those who lag: the loop does not tell when a peer has taken what it was sent.
	flowEveryS = 0.005
	// mostScratch is the memory that is kept for what is written next.
	mostScratch = 256 << 10
)

// keepScratch takes back memory that has grown, unless it is too much to be kept.
func (s *Sidecar) keepScratch(b []byte) {
	if s.scratch = b; cap(b) > mostScratch {
		s.scratch = nil
	}
}

// spool returns how much of a body is held before the rest of it flows.
func (s *Sidecar) spool() int {
	return admission.BodyBufferBytes(s.connAdmission.BufferedBytes(), s.admissionSettings(0).MaxBufferedBytes)
}

// flowRoom returns how much may wait for a peer that is slow to take it; then the other end is left unread.
func (s *Sidecar) flowRoom() int {
	return admission.FlowBufferBytes(len(s.flows.answers)+len(s.flows.lagging), s.admissionSettings(0).MaxBufferedBytes)
}

// flows are what is looked at again and again while it flows: answers, and requests whose server lags.
type flows struct {
	answers []*flow
	lagging []*backendConn
	ticking bool
}

// tend has flows looked at from now on.
func (s *Sidecar) tend() {
	if !s.flows.ticking {
		s.flows.ticking = true
		s.timers.schedule(s.now()+flowEveryS, s.lookAtFlows)
	}
}

func (s *Sidecar) lookAtFlows() {
	f := &s.flows
	for _, a := range slices.Clone(f.answers) {
		a.look()
	}
	lagging := f.lagging
	f.lagging = nil
	for _, l := range lagging {
		if e := l.attempt; e != nil && l.conn != nil && !l.isClosed {
			l.pump(e)
		}
	}
	if f.ticking = len(f.answers)+len(f.lagging) > 0; f.ticking {
		s.timers.schedule(s.now()+flowEveryS, s.lookAtFlows)
	}
}

// --- requests ---

// uploading tells whether a request's body is still on its way in.
func (r *request) uploading() bool { return r.body != nil && !r.body.IsComplete }

// upload takes more of a request's body, and passes it on.
func (l *ClientConn) forwardUpload(r *request) {
	s := l.sidecar
	if r.answered { // whoever it was for has it or never will
		l.input.Discard(l.input.Len())
		return
	}
	if err := l.codec.ReadBody(&l.input); err != nil {
		s.spoilUpload(r, err)
		return
	}
	if r.body.IsComplete {
		l.stopArrivalTimer()
		r.deadline = min(s.now()+r.patience, s.latestAnswer())
		s.timers.stop(&r.safety)
		s.timers.start(&r.safety, r.deadline+s.responseSlackSeconds/2, r)
		for _, e := range r.out {
			e.deadline = r.deadline - s.responseMargin()
			s.timers.stop(&e.timer)
			s.timers.start(&e.timer, e.deadline, e)
		}
	}
	for _, e := range r.out {
		if e.backend != nil && e.backend.conn != nil && e.backend.attempt == e {
			e.backend.pump(e)
			break
		}
	}
	if l.request != r || l.conn == nil {
		return
	}
	if l.requestBytes = len(r.body.Buffered); r.uploading() && r.body.UnsentBytes() >= ChunkBytes {
		l.pauseReading(netio.ReportClose)
	}
	s.connAdmission.SetBufferedBytes(l.slot, l.requestBytes+l.input.Len())
}

// spoilUpload ends a request whose body can't be read to its end.
func (s *Sidecar) spoilUpload(r *request, err error) {
	s.answer(r, failed, func() { r.client.rejectMalformed(err) })
	s.tellAbandoned(r)
}

// pump writes on what has come of an attempt's request, as far as its server takes it.
func (l *backendConn) pump(e *attempt) {
	for !e.exchange.IsRequestAppended() && l.conn.OutboundBuffered() < l.sidecar.flowRoom() {
		piece := e.exchange.AppendBody(l.sidecar.scratch[:0], ChunkBytes)
		if l.sidecar.keepScratch(piece); len(piece) == 0 {
			break
		}
		l.isWriting = true
		_, err := l.conn.Write(piece)
		l.isWriting = false
		if err != nil || l.attempt != e {
			return
		}
	}
	e.progress = l.updateProgress(e)
	if e.progress == partlyWritten && l.conn.OutboundBuffered() > 0 {
		l.sidecar.flows.lagging = append(l.sidecar.flows.lagging, l)
		l.sidecar.tend()
	}
	r := e.request
	if r == nil || r.body == nil {
		return
	}
	if len(r.body.Buffered) > l.sidecar.spool() {
		r.body.drop()
	}
	if c := r.client; r.uploading() && r.body.UnsentBytes() < ChunkBytes && c.request == r && c.conn != nil {
		c.resumeReading()
	}
}

// --- answers ---

// flow is an answer that is passed on as it comes. Its request has its answer with the first of it, and is over with the last.
type flow struct {
	s       *Sidecar
	e       *attempt
	link    *backendConn
	client  *ClientConn
	origin  StreamResponder
	paused  bool    // the server's link is left unread
	heardAt float64 // when the server last brought something, or could not
	came    int     // bytes that it has brought since the flow began
	from    float64 // when it began, plus the time for which the server was not read
	held    float64 // since when it is not read
	untaken int     // what the client has not taken
	tookAt  float64 // when it last took something
	over    bool
}

// beginFlow passes on what has come of a large answer. One that nobody waits for, or that says that the attempt failed, is not
// read to its end.
func (s *Sidecar) beginFlow(l *backendConn, e *attempt) {
	r, now := e.request, s.now()
	result := policy.Result{ID: r.id, Host: e.serverID, Attempt: e.number}
	result.Outcome, result.Report, _ = e.exchange.Result()
	origin, can := r.origin.(StreamResponder)
	if result.Outcome != policy.OK || r.answered || !can {
		l.attempt = nil
		l.close()
		s.finishAttempt(e, nil)
		return
	}
	e.isOver = true
	s.timers.stop(&e.timer)
	s.timers.stop(&r.safety)
	s.timers.stop(r.delay)
	s.counters.attempts.count(result.Outcome)
	r.drop(e)
	f := &flow{s: s, e: e, link: l, client: r.client, origin: origin, heardAt: now, tookAt: now, from: now}
	e.stream, r.flow, r.answered, result.Final = f, f, true, true
	s.flows.answers = append(s.flows.answers, f)
	s.events = append(s.events, event{endedAttempt: e, result: result})
	origin.ForwardHead(e.exchange)
	f.look()
	s.tend()
}

// traffic passes on what has come, so many bytes.
func (f *flow) traffic(n int, done bool, err error) {
	f.came += n
	if f.heardAt = f.s.now(); err != nil {
		f.end(failed)
		return
	}
	f.origin.ForwardBody(f.e.exchange, done)
	switch {
	case f.over: // its client has gone meanwhile
	case done:
		f.end(served)
	default:
		f.look()
	}
}

// serverEnded takes the end of the server's link, which may make the answer whole.
func (f *flow) serverEnded(orderly bool) {
	if f.over {
		return
	}
	if orderly && f.e.exchange.HandleEOF() {
		f.origin.ForwardBody(f.e.exchange, true)
		f.end(served)
		return
	}
	f.end(failed)
}

// look holds the server up while the client lags, and ends a flow that stands still.
func (f *flow) look() {
	if f.over || f.client.conn == nil {
		return
	}
	now, left := f.s.now(), f.client.conn.OutboundBuffered()
	if left < f.untaken || left == 0 {
		f.tookAt = now
	}
	f.untaken = left
	switch {
	case !f.paused && left >= f.s.flowRoom():
		f.paused, f.held = f.s.net.PauseReading(f.link.conn, netio.DeferClose), now
	case f.paused && left < f.s.flowRoom()/2:
		f.paused, f.heardAt = false, now
		f.from += now - f.held
		f.s.net.ResumeReading(f.link.conn)
	}
	if f.paused {
		f.heardAt = now
	}
	switch {
	case now > f.tookAt+lagS:
		f.s.counters.Unread++
		f.s.connAdmission.RecordWasted(f.client.slot)
		f.end(failed)
	case now > f.heardAt+lagS, f.drips(now):
		f.end(failed)
	}
}

// drips tells whether the deadline is over and the server brings too little for the answer to come to its end.
func (f *flow) drips(now float64) bool {
	return !f.paused && now > f.e.request.deadline+lateFlowS && float64(f.came) < minBytesPerSecond*(now-f.from)
}

// end ends a flow: with its last byte, or with its client's link, which tells the client that it is not whole.
func (f *flow) end(how ending) {
	if f.over {
		return
	}
	f.over = true
	s, r, l := f.s, f.e.request, f.link
	if i := slices.Index(s.flows.answers, f); i >= 0 {
		s.flows.answers = slices.Delete(s.flows.answers, i, i+1)
	}
	r.flow = nil
	s.over(r, how)
	s.chargeAnswer(f.e)
	s.settleQuota(r)
	s.unname(r)
	if !l.isClosed {
		if l.attempt = nil; how == served && l.isReusable(f.e) {
			l.makeIdle()
		} else {
			l.close()
		}
	}
	s.pushEvent(func(float64) { s.forget(r) })
	switch {
	case how == served:
		f.client.finishStream()
	case f.client.conn != nil:
		f.client.request = nil
		s.closeConn(f.client.conn)
	}
}
