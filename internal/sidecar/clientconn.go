package sidecar

import (
	"errors"
	"net"

	"hazelwheel/internal/buffer"
	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/netio"
	"hazelwheel/policy"
)

// The bounds of messages; whatever the protocol, a link holds no more.
const (
	MaxHeadBytes = 16 << 10
	MaxBodyBytes = 64 << 10
)

const (
	// MaxStreamBytes is how long a message may be that flows; it is never held whole.
	MaxStreamBytes = 1 << 30
	// ChunkBytes is how much of it is handled at once.
	ChunkBytes = 64 << 10
)

// ErrRequestTimeout is the end of a message that has not come whole in time.
var ErrRequestTimeout = errors.New("request did not arrive")

const (
	// mostAhead is what a client may send while its request is out; one that sends more is cut off.
	mostAhead = MaxHeadBytes + MaxBodyBytes
	// lingerS is how long a link that said its last is read on after the last bytes: closing it on bytes that
	// nobody has read would reset it, and the client could lose the answer. lingerMostS bounds it in all.
	lingerS     = 1.0
	lingerMostS = 4.0
	// arrivalS is how long a request may take to arrive once it has begun; a client that never ends one
	// would hold a descriptor for ever. The first on a link has arrived firstS after the link was opened.
	arrivalS = 2.5
	// leastRate bytes a second on the whole are what a longer body has to bring beyond that.
	leastRate = 32 << 10
	// longestUploadS bounds it in all.
	longestUploadS = 120.0
	firstS         = 2.8
	// longestS bounds what a client may ask us to wait.
	longestS = 3600.0
)

// ClientConn is a connection from the application, one request at a time, in what is the same in all protocols. The
// protocol's part is its Client, which holds it.
type ClientConn struct {
	s         *Sidecar
	front     Frontend
	client    ClientCodec
	conn      netio.Conn
	index     int // in Sidecar.clients
	place     *admission.Conn
	buf       buffer.Buffer
	ahead     arrivalTimes // of what is in buf and waits for the answer to what came before it
	request   *request     // the one that is out
	keep      bool         // the client wants the link kept after it
	last      bool         // the last answer is written
	shut      bool         // and no byte is left to send
	overLimit bool         // the link is beyond the limit on descriptors
	linger    *timer
	arrival   *timer  // of the request that is on its way in
	arriving  float64 // when the time for it began to count
	stood     float64 // how long the loop had stood still in all by then, in seconds
	openedAt  float64
	answered  bool    // it has brought a request
	heardAt   float64 // when bytes last came after it was shut

	unreadFrom float64 // since when an answer waits for the client
	tookAt     float64 // when the client last took a byte of it
	untaken    int     // what it has not taken
	held       int     // bytes of the request that is out
	flowed     bool    // the answer that waits came in pieces
	flowLast   bool    // and is the last on the link
	paused     bool    // what comes stays in the socket
}

// Base is what a protocol's part has from the ClientConn that it holds.
func (l *ClientConn) Base() *ClientConn { return l }

// leaveClients takes the link from the sidecar's.
func (l *ClientConn) leaveClients() {
	all := l.s.clients
	last := all[len(all)-1]
	all[l.index], last.index = last, l.index
	all[len(all)-1] = nil
	l.s.clients = all[:len(all)-1]
	l.s.room.Remove(l.place)
}

func (l *ClientConn) onOpen(netio.Conn) {}

// traffic reads what the client says.
func (l *ClientConn) onData(data []byte) {
	if l.last {
		l.heardAt = l.s.now()
		return
	}
	l.buf.Write(data)
	if r := l.request; r == nil && l.untaken == 0 || r != nil && r.uploading() {
		l.ahead.restart()
	}
	l.ahead.add(len(data), l.s.now())
	if r := l.request; r != nil && r.uploading() {
		l.upload(r)
		return
	}
	if l.request != nil || l.untaken > 0 {
		switch {
		case l.buf.Len() > mostAhead: // reading can't be paused here
			l.s.closeConn(l.conn)
		case l.buf.Len() > aheadBytes:
			l.pause(l.endsWhilePaused())
			l.hold(l.buf.Len() + l.held + l.untaken)
		}
		return
	}
	if l.next(); l.conn != nil && l.request == nil && !l.last {
		if state, _ := l.place.State(); state == admission.StateNew || state == admission.StateIdle {
			l.s.room.SetState(l.s.now(), l.place, admission.StateReading)
		}
		held, _ := l.client.PartialRequest()
		l.hold(l.buf.Len() + held)
	}
}

// endsWhilePaused returns whether the client's end counts while what it sends is left unread: as long as it is owed an answer of
// which nothing has been written.
func (l *ClientConn) endsWhilePaused() netio.ClosePolicy {
	if l.request == nil || l.request.answered {
		return netio.DeferClose
	}
	return netio.ReportClose
}

// next takes up the requests that have come, until one is out.
func (l *ClientConn) next() {
	for l.conn != nil && l.request == nil && !l.last && l.untaken == 0 { // a link may have gone since this was queued
		whole, err := l.client.ReadRequest(&l.buf)
		if err != nil {
			l.decline(err)
			return
		}
		if !whole {
			if l.conn != nil {
				l.await()
			}
			return
		}
		l.endArrival()
		l.client.HandleRequest()
	}
}

// await has the rest of a request come.
func (l *ClientConn) await() {
	l.resume()
	if _, begun := l.client.PartialRequest(); l.arrival != nil || l.buf.Len() == 0 && !begun {
		return
	}
	by := l.s.now() + arrivalS
	if !l.answered {
		by = min(by, l.openedAt+firstS)
	}
	l.awaitUntil(by)
	l.arrival = l.s.timers.schedule(by, l.overdue)
}

// awaitUntil has a request come by a time, plus what a longer body needs.
func (l *ClientConn) awaitUntil(by float64) {
	l.arriving, l.stood = by, l.s.fitness.stalledSeconds
}

// overdue ends a request that has not come whole in time. A longer body has as much more as it needs at the least rate, and the time in
// which it was left unread does not count, nor that in which the loop stood still: what came then lay in the socket.
func (l *ClientConn) overdue() {
	now, came := l.s.now(), 0
	l.arrival = nil
	l.awaitUntil(l.arriving + l.s.fitness.stalledSeconds - l.stood)
	if r := l.request; r != nil {
		came = r.body.DroppedBytes + len(r.body.Buffered)
	} else {
		came, _ = l.client.PartialRequest()
	}
	if l.paused {
		l.awaitUntil(now + arrivalS - float64(came)/leastRate)
	}
	if by := l.arriving + float64(came)/leastRate; by > now {
		l.arrival = l.s.timers.schedule(max(by, now+0.1), l.overdue)
		return
	}
	l.s.room.RecordWasted(l.place)
	if r := l.request; r != nil {
		l.s.spoilUpload(r, ErrRequestTimeout)
		return
	}
	l.decline(ErrRequestTimeout)
}

// endArrival notes that no request is on its way in.
func (l *ClientConn) endArrival() {
	l.s.timers.stop(l.arrival)
	l.arrival = nil
}

// decline ends a link that brings no message.
func (l *ClientConn) decline(err error) {
	l.endArrival()
	l.keep = false
	l.client.RejectMalformed(err)
}

// SetKeepAlive says whether the client wants the link kept after the message that has been read.
func (l *ClientConn) SetKeepAlive(keep bool) { l.keep = keep }

// CloseUnanswered closes a link whose client speaks another protocol: no answer that it could read is to be had here.
func (l *ClientConn) CloseUnanswered(why string) {
	l.endArrival()
	l.s.counters.Malformed++
	l.s.warnLimited(why)
	l.s.closeConn(l.conn)
}

// CountInvalid counts a request of a class that is answered and never handed on: nobody could decide on it.
func (l *ClientConn) CountInvalid(class int) {
	l.s.counters.Requests++
	l.s.counters.end(class, failed)
}

// CountMalformed counts a message that is answered and never handed on.
func (l *ClientConn) CountMalformed() { l.s.counters.Malformed++ }

// Sidecar returns whose link it is.
func (l *ClientConn) Sidecar() *Sidecar { return l.s }

// RemoteAddr returns the client's address.
func (l *ClientConn) RemoteAddr() net.Addr { return l.conn.RemoteAddr() }

// Admit tells whether there is room for a request of a class; otherwise it has been throttled.
func (l *ClientConn) Admit(class int) bool {
	switch {
	case l.overLimit && !l.s.hasDescriptors(serverRoom), l.s.room.IsOverBufferBudget(l.place):
		l.turnAway(class, "there is no room for them")
		return false
	case l.s.short() && l.s.room.ExceedsFairShare(l.place):
		l.s.room.RecordWasted(l.place)
		l.turnAway(class, "their client has more out than its part, and there is not enough for all")
		return false
	}
	return true
}

// UnknownTenant is the place of a tenant that the settings do not name.
const UnknownTenant = -1

// IncomingRequest is a request as a front hands it on.
type IncomingRequest struct {
	ID             string
	Class          int     // its place in the settings
	Tenant         int     // its place in the settings, or UnknownTenant
	TimeoutSeconds float64 // seconds that the client waits from its sending
	IsRetry        bool    // the client marks it as a retry
	AtMostOnce     bool    // nothing tells its repeats apart: it must not run twice, whatever its class
	IsOneWay       bool    // nobody waits for an answer: it goes on when its client goes
	HeldBytes      int     // bytes that are held for it
	Call           Call
	Body           *Body // the call's, which is still on its way in; nil: it is whole
}

// Submit hands a request that Admit has let in to the decisions, unless it is beyond its group's quota.
func (l *ClientConn) Submit(a IncomingRequest) {
	ticket, within := l.withinQuota(&a)
	if !within {
		return
	}
	l.s.room.SetState(l.s.now(), l.place, admission.StateActive)
	l.held = a.HeldBytes
	l.s.room.SetBufferedBytes(l.place, l.held+l.buf.Len())
	waited := max(l.s.socketWait(l.conn), l.s.now()-l.ahead.of(l.buf.Len(), l.s.now()))
	patience := min(a.TimeoutSeconds, longestS)
	deadline := l.s.now() - waited + patience
	cut := max(deadline-l.s.latestAnswer(), 0)
	r := &request{name: a.ID, class: l.s.cfg.Settings.Policy.Classes[a.Class].Name, classNo: a.Class, deadline: deadline - cut,
		call: a.Call, origin: l.client, client: l, body: a.Body, patience: patience, front: l.front, once: a.AtMostOnce, detached: a.IsOneWay,
		quota: ticket}
	l.request = r
	// Danger: the decisions take a wait that is shorter than usual for a late retry's; what is cut off here is no sign of that.
	q := policy.Request{Class: a.Class, Tenant: a.Tenant, HeldBackSeconds: waited + cut, Repeat: a.IsRetry, Deadline: r.deadline}
	if r.uploading() { // its time counts from its last byte; the decisions go by what they are used to
		r.deadline += longestUploadS
		l.pause(netio.ReportClose)
		l.awaitUntil(l.s.now() + arrivalS - float64(len(a.Body.Buffered))/leastRate)
		l.arrival = l.s.timers.schedule(l.s.now()+arrivalS, l.overdue)
	}
	l.s.take(r, q)
}

// turnAway throttles a request that is not taken up: there is no room for it, or its client has more out than its part.
func (l *ClientConn) turnAway(class int, why string) {
	l.s.counters.Requests++
	l.s.counters.end(class, throttled)
	l.s.counters.TurnedAway++
	l.s.warnLimited("requests are turned away: " + why)
	l.s.log.Debug("request turned away", "client", l.conn.RemoteAddr(), "why", why)
	l.keep = false
	l.client.Throttle(l.s.cfg.Settings.Policy.MaxRetryAfterSeconds)
}

// MarkServed notes that the answer to come is a server's.
func (l *ClientConn) MarkServed() { l.s.room.RecordServed(l.place) }

// BeginResponse frees the link of its request. It tells whether the client is still there, and whether the answer to come is
// the last on the link; what it is appended to is returned, for EndAnswer. says tells whether the answer can say so itself.
func (l *ClientConn) BeginResponse(says bool) (dst []byte, last, there bool) {
	// Danger: the rest of a request that is answered before it has come whole is waited for no longer; its time would end with a
	// second answer.
	l.endArrival()
	if l.request = nil; l.conn == nil {
		return nil, false, false
	}
	// Danger: what has come behind the request is taken, and is owed its answer here. A client that is told of the end sends
	// it again. One that is not may be sending its next request by now; where there are too many links it would find no
	// other, so its own ends by its rest alone.
	ahead := l.buf.Len() > 0
	if says {
		l.last = !l.keep || l.s.leaving() || l.s.crowded() && !ahead
	} else {
		l.last = !l.keep || l.s.leaving() && !ahead && l.s.net.NothingToRead(l.conn)
	}
	return l.s.scratch[:0], l.last, true
}

// EndResponse writes an answer and makes ready for the next request.
func (l *ClientConn) EndResponse(answer []byte) {
	l.s.keepScratch(answer)
	l.answered = true
	if len(answer) > 0 {
		l.Write(answer)
	}
	if l.conn == nil {
		return
	}
	if l.conn.OutboundBuffered() > 0 {
		l.unread()
		return
	}
	l.afterAnswer()
}

// BodyBufferLimit returns how much of a request's body is held before the rest of it flows.
func (l *ClientConn) BodyBufferLimit() int { return l.s.spool() }

// BeginStream is BeginAnswer for an answer that comes in pieces, which end with the link where nothing else tells their end.
// What is appended goes to Flow.
func (l *ClientConn) BeginStream(endless bool) (dst []byte, last, there bool) {
	if l.conn == nil {
		return nil, false, false
	}
	l.flowLast = !l.keep || endless || l.s.leaving() || l.s.crowded() && l.buf.Len() == 0
	l.flowed = true
	return l.ScratchBuffer(), l.flowLast, true
}

// ScratchBuffer returns empty memory for what Flow is to write.
func (l *ClientConn) ScratchBuffer() []byte { return l.s.scratch[:0] }

// WriteStream writes a part of an answer.
func (l *ClientConn) WriteStream(b []byte) {
	l.s.keepScratch(b)
	if l.conn != nil && len(b) > 0 {
		l.Write(b)
	}
}

// endFlow makes ready for the next request once an answer has flowed to its end.
func (l *ClientConn) endFlow() {
	l.endArrival()
	if l.request = nil; l.conn != nil {
		l.last = l.flowLast
		l.EndResponse(nil)
	}
}

// afterAnswer goes on once the client's socket has taken an answer.
func (l *ClientConn) afterAnswer() {
	l.untaken, l.held, l.flowed = 0, 0, false
	if l.last {
		l.resume()
		l.finish()
		return
	}
	l.s.room.SetState(l.s.now(), l.place, admission.StateIdle)
	l.buf.Rest()
	l.hold(l.buf.Len())
	// The next request may be in the buffer already; it is taken up as an event of its own.
	if l.conn == nil {
		return
	}
	if l.buf.Len() > 0 {
		l.s.pushEvent(func(float64) { l.next() })
	} else {
		l.resume()
	}
}

// Write sends what is no answer, or a part of one.
func (l *ClientConn) Write(b []byte) {
	l.conn.Write(b) // gnet keeps what the socket does not take, and closes the link on an error
}

// finish ends the link after its last answer, which the socket has taken: no more is sent, and what comes is read and
// dropped until the client has closed or the time is over.
func (l *ClientConn) finish() {
	if l.conn == nil || l.shut {
		return
	}
	now := l.s.now()
	l.shut = true
	l.s.room.SetState(now, l.place, admission.StateClosing)
	l.s.room.SetBufferedBytes(l.place, 0)
	l.linger = l.s.timers.schedule(now+lingerS, func() { l.leave(now + lingerMostS) })
	l.s.net.CloseWrite(l.conn)
}

// leave closes a link that lingers once its client has been silent for a while, at the latest at the given time.
func (l *ClientConn) leave(latest float64) {
	if at := min(l.heardAt+lingerS, latest); at > l.s.now() {
		l.linger = l.s.timers.schedule(at, func() { l.leave(latest) })
		return
	}
	l.s.closeConn(l.conn)
}

// idle tells whether nothing of a request has come and none is out.
func (l *ClientConn) idle() bool {
	_, begun := l.client.PartialRequest()
	return l.request == nil && !l.last && l.untaken == 0 && l.buf.Len() == 0 && !begun
}

// ended takes the client's departure.
func (l *ClientConn) onClose(error) {
	l.conn = nil
	l.s.timers.stop(l.linger)
	l.endArrival()
	l.leaveClients()
	if r := l.request; r != nil {
		l.request = nil
		switch {
		case r.flow != nil:
			r.flow.end(abandoned)
		case !r.detached:
			l.s.abandoned(r)
		}
	}
}
