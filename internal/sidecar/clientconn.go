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
	maxInputBytes = MaxHeadBytes + MaxBodyBytes
	// lingerS is how long a link that said its last is read on after the last bytes: closing it on bytes that
	// nobody has read would reset it, and the client could lose the answer. lingerMostS bounds it in all.
	lingerSeconds    = 1.0
	maxLingerSeconds = 4.0
	// arrivalS is how long a request may take to arrive once it has begun; a client that never ends one
	// would hold a descriptor for ever. The first on a link has arrived firstS after the link was opened.
	arrivalTimeoutSeconds = 2.5
	// leastRate bytes a second on the whole are what a longer body has to bring beyond that.
	minBytesPerSecond = 32 << 10
	// longestUploadS bounds it in all.
	maxUploadSeconds           = 120.0
	firstRequestTimeoutSeconds = 2.8
	// longestS bounds what a client may ask us to wait.
	maxRequestTimeoutSeconds = 3600.0
)

// ClientConn is a connection from the application, one request at a time, in what is the same in all protocols. The
// protocol's part is its Client, which holds it.
type ClientConn struct {
	sidecar         *Sidecar
	frontend        Frontend
	codec           ClientCodec
	conn            netio.Conn
	index           int // in Sidecar.clients
	slot            *admission.Conn
	input           buffer.Buffer
	arrivals        arrivalTimes // of what is in buf and waits for the answer to what came before it
	request         *request     // the one that is out
	keepAlive       bool         // the client wants the link kept after it
	isLastWritten   bool         // the last answer is written
	isWriteClosed   bool         // and no byte is left to send
	isOverLimit     bool         // the link is beyond the limit on descriptors
	lingerTimer     *timer
	arrivalTimer    *timer  // of the request that is on its way in
	arrivalDeadline float64 // when the time for it began to count
	stalledBefore   float64 // how long the loop had stood still in all by then, in seconds
	openedAt        float64
	hasAnswered     bool    // it has brought a request
	lastDataAt      float64 // when bytes last came after it was shut

	unreadSince  float64 // since when an answer waits for the client
	lastReadAt   float64 // when the client last took a byte of it
	unreadBytes  int     // what it has not taken
	requestBytes int     // bytes of the request that is out
	isStreamed   bool    // the answer that waits came in pieces
	isStreamLast bool    // and is the last on the link
	isPaused     bool    // what comes stays in the socket
}

// Base is what a protocol's part has from the ClientConn that it holds.
func (l *ClientConn) Base() *ClientConn { return l }

// leaveClients takes the link from the sidecar's.
func (l *ClientConn) removeFromClients() {
	all := l.sidecar.clients
	last := all[len(all)-1]
	all[l.index], last.index = last, l.index
	all[len(all)-1] = nil
	l.sidecar.clients = all[:len(all)-1]
	l.sidecar.connAdmission.Remove(l.slot)
}

func (l *ClientConn) onOpen(netio.Conn) {}

// traffic reads what the client says.
func (l *ClientConn) onData(data []byte) {
	if l.isLastWritten {
		l.lastDataAt = l.sidecar.now()
		return
	}
	l.input.Write(data)
	if r := l.request; r == nil && l.unreadBytes == 0 || r != nil && r.isUploading() {
		l.arrivals.reset()
	}
	l.arrivals.add(len(data), l.sidecar.now())
	if r := l.request; r != nil && r.isUploading() {
		l.forwardUpload(r)
		return
	}
	if l.request != nil || l.unreadBytes > 0 {
		switch {
		case l.input.Len() > maxInputBytes: // reading can't be paused here
			l.sidecar.closeConn(l.conn)
		case l.input.Len() > maxPipelinedBytes:
			l.pauseReading(l.pausedEnds())
			l.accountHeldBytes(l.input.Len() + l.requestBytes + l.unreadBytes)
		}
		return
	}
	if l.readRequests(); l.conn != nil && l.request == nil && !l.isLastWritten {
		if state, _ := l.slot.State(); state == admission.StateNew || state == admission.StateIdle {
			l.sidecar.connAdmission.SetState(l.sidecar.now(), l.slot, admission.StateReading)
		}
		held, _ := l.codec.PartialRequest()
		l.accountHeldBytes(l.input.Len() + held)
	}
}

// endsWhilePaused returns whether the client's end counts while what it sends is left unread: as long as it is owed an answer of
// which nothing has been written.
func (l *ClientConn) pausedEnds() netio.ClosePolicy {
	if l.request == nil || l.request.isAnswered {
		return netio.DeferClose
	}
	return netio.ReportClose
}

// next takes up the requests that have come, until one is out.
func (l *ClientConn) readRequests() {
	for l.conn != nil && l.request == nil && !l.isLastWritten && l.unreadBytes == 0 { // a link may have gone since this was queued
		whole, err := l.codec.ReadRequest(&l.input)
		if err != nil {
			l.rejectMalformed(err)
			return
		}
		if !whole {
			if l.conn != nil {
				l.awaitArrival()
			}
			return
		}
		l.stopArrivalTimer()
		l.codec.HandleRequest()
	}
}

// await has the rest of a request come.
func (l *ClientConn) awaitArrival() {
	l.resumeReading()
	if _, begun := l.codec.PartialRequest(); l.arrivalTimer != nil || l.input.Len() == 0 && !begun {
		return
	}
	by := l.sidecar.now() + arrivalTimeoutSeconds
	if !l.hasAnswered {
		by = min(by, l.openedAt+firstRequestTimeoutSeconds)
	}
	l.setArrivalDeadline(by)
	l.arrivalTimer = l.sidecar.timers.schedule(by, l.checkArrival)
}

// awaitUntil has a request come by a time, plus what a longer body needs.
func (l *ClientConn) setArrivalDeadline(by float64) {
	l.arrivalDeadline, l.stalledBefore = by, l.sidecar.fitness.stalledSeconds
}

// overdue ends a request that has not come whole in time. A longer body has as much more as it needs at the least rate, and the time in
// which it was left unread does not count, nor that in which the loop stood still: what came then lay in the socket.
func (l *ClientConn) checkArrival() {
	now, came := l.sidecar.now(), 0
	l.arrivalTimer = nil
	l.setArrivalDeadline(l.arrivalDeadline + l.sidecar.fitness.stalledSeconds - l.stalledBefore)
	if r := l.request; r != nil {
		came = r.body.DroppedBytes + len(r.body.Buffered)
	} else {
		came, _ = l.codec.PartialRequest()
	}
	if l.isPaused {
		l.setArrivalDeadline(now + arrivalTimeoutSeconds - float64(came)/minBytesPerSecond)
	}
	if by := l.arrivalDeadline + float64(came)/minBytesPerSecond; by > now {
		l.arrivalTimer = l.sidecar.timers.schedule(max(by, now+0.1), l.checkArrival)
		return
	}
	l.sidecar.connAdmission.RecordWasted(l.slot)
	if r := l.request; r != nil {
		l.sidecar.failUpload(r, ErrRequestTimeout)
		return
	}
	l.rejectMalformed(ErrRequestTimeout)
}

// endArrival notes that no request is on its way in.
func (l *ClientConn) stopArrivalTimer() {
	l.sidecar.timers.stop(l.arrivalTimer)
	l.arrivalTimer = nil
}

// decline ends a link that brings no message.
func (l *ClientConn) rejectMalformed(err error) {
	l.stopArrivalTimer()
	l.keepAlive = false
	l.codec.RejectMalformed(err)
}

// SetKeepAlive says whether the client wants the link kept after the message that has been read.
func (l *ClientConn) SetKeepAlive(keep bool) { l.keepAlive = keep }

// CloseUnanswered closes a link whose client speaks another protocol: no answer that it could read is to be had here.
func (l *ClientConn) CloseUnanswered(why string) {
	l.stopArrivalTimer()
	l.sidecar.counters.Malformed++
	l.sidecar.warnLimited(why)
	l.sidecar.closeConn(l.conn)
}

// CountInvalid counts a request of a class that is answered and never handed on: nobody could decide on it.
func (l *ClientConn) CountInvalid(class int) {
	l.sidecar.counters.Requests++
	l.sidecar.counters.countRequestEnd(class, failed)
}

// CountMalformed counts a message that is answered and never handed on.
func (l *ClientConn) CountMalformed() { l.sidecar.counters.Malformed++ }

// Sidecar returns whose link it is.
func (l *ClientConn) Sidecar() *Sidecar { return l.sidecar }

// RemoteAddr returns the client's address.
func (l *ClientConn) RemoteAddr() net.Addr { return l.conn.RemoteAddr() }

// Admit tells whether there is room for a request of a class; otherwise it has been throttled.
func (l *ClientConn) Admit(class int) bool {
	switch {
	case l.isOverLimit && !l.sidecar.hasDescriptors(backendHeadroom), l.sidecar.connAdmission.IsOverBufferBudget(l.slot):
		l.rejectRequest(class, "there is no room for them")
		return false
	case l.sidecar.isOverloaded() && l.sidecar.connAdmission.ExceedsFairShare(l.slot):
		l.sidecar.connAdmission.RecordWasted(l.slot)
		l.rejectRequest(class, "their client has more out than its part, and there is not enough for all")
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
	ticket, within := l.admitByQuota(&a)
	if !within {
		return
	}
	l.sidecar.connAdmission.SetState(l.sidecar.now(), l.slot, admission.StateActive)
	l.requestBytes = a.HeldBytes
	l.sidecar.connAdmission.SetBufferedBytes(l.slot, l.requestBytes+l.input.Len())
	waited := max(l.sidecar.socketWait(l.conn), l.sidecar.now()-l.arrivals.arrivedAt(l.input.Len(), l.sidecar.now()))
	patience := min(a.TimeoutSeconds, maxRequestTimeoutSeconds)
	deadline := l.sidecar.now() - waited + patience
	cut := max(deadline-l.sidecar.latestResponseAt(), 0)
	r := &request{clientID: a.ID, className: l.sidecar.cfg.Settings.Policy.Classes[a.Class].Name, classIndex: a.Class, deadline: deadline - cut,
		call: a.Call, responder: l.codec, client: l, body: a.Body, timeoutSeconds: patience, frontend: l.frontend, isAtMostOnce: a.AtMostOnce, isOneWay: a.IsOneWay,
		quota: ticket}
	l.request = r
	// Danger: the decisions take a wait that is shorter than usual for a late retry's; what is cut off here is no sign of that.
	q := policy.Request{Class: a.Class, Tenant: a.Tenant, HeldBackSeconds: waited + cut, Repeat: a.IsRetry, Deadline: r.deadline}
	if r.isUploading() { // its time counts from its last byte; the decisions go by what they are used to
		r.deadline += maxUploadSeconds
		l.pauseReading(netio.ReportClose)
		l.setArrivalDeadline(l.sidecar.now() + arrivalTimeoutSeconds - float64(len(a.Body.Buffered))/minBytesPerSecond)
		l.arrivalTimer = l.sidecar.timers.schedule(l.sidecar.now()+arrivalTimeoutSeconds, l.checkArrival)
	}
	l.sidecar.registerRequest(r, q)
}

// turnAway throttles a request that is not taken up: there is no room for it, or its client has more out than its part.
func (l *ClientConn) rejectRequest(class int, why string) {
	l.sidecar.counters.Requests++
	l.sidecar.counters.countRequestEnd(class, throttled)
	l.sidecar.counters.Rejected++
	l.sidecar.warnLimited("requests are turned away: " + why)
	l.sidecar.log.Debug("request turned away", "client", l.conn.RemoteAddr(), "why", why)
	l.keepAlive = false
	l.codec.Throttle(l.sidecar.cfg.Settings.Policy.MaxRetryAfterSeconds)
}

// MarkServed notes that the answer to come is a server's.
func (l *ClientConn) MarkServed() { l.sidecar.connAdmission.RecordServed(l.slot) }

// BeginResponse frees the link of its request. It tells whether the client is still there, and whether the answer to come is
// the last on the link; what it is appended to is returned, for EndAnswer. says tells whether the answer can say so itself.
func (l *ClientConn) BeginResponse(says bool) (dst []byte, last, there bool) {
	// Danger: the rest of a request that is answered before it has come whole is waited for no longer; its time would end with a
	// second answer.
	l.stopArrivalTimer()
	if l.request = nil; l.conn == nil {
		return nil, false, false
	}
	// Danger: what has come behind the request is taken, and is owed its answer here. A client that is told of the end sends
	// it again. One that is not may be sending its next request by now; where there are too many links it would find no
	// other, so its own ends by its rest alone.
	ahead := l.input.Len() > 0
	if says {
		l.isLastWritten = !l.keepAlive || l.sidecar.closesAfterResponse() || l.sidecar.hasManyClients() && !ahead
	} else {
		l.isLastWritten = !l.keepAlive || l.sidecar.closesAfterResponse() && !ahead && l.sidecar.net.NothingToRead(l.conn)
	}
	return l.sidecar.writeBuffer[:0], l.isLastWritten, true
}

// EndResponse writes an answer and makes ready for the next request.
func (l *ClientConn) EndResponse(answer []byte) {
	l.sidecar.recycleWriteBuffer(answer)
	l.hasAnswered = true
	if len(answer) > 0 {
		l.Write(answer)
	}
	if l.conn == nil {
		return
	}
	if l.conn.OutboundBuffered() > 0 {
		l.waitForClientRead()
		return
	}
	l.finishResponse()
}

// BodyBufferLimit returns how much of a request's body is held before the rest of it flows.
func (l *ClientConn) BodyBufferLimit() int { return l.sidecar.bodyBufferLimit() }

// BeginStream is BeginAnswer for an answer that comes in pieces, which end with the link where nothing else tells their end.
// What is appended goes to Flow.
func (l *ClientConn) BeginStream(endless bool) (dst []byte, last, there bool) {
	if l.conn == nil {
		return nil, false, false
	}
	l.isStreamLast = !l.keepAlive || endless || l.sidecar.closesAfterResponse() || l.sidecar.hasManyClients() && l.input.Len() == 0
	l.isStreamed = true
	return l.ScratchBuffer(), l.isStreamLast, true
}

// ScratchBuffer returns empty memory for what Flow is to write.
func (l *ClientConn) ScratchBuffer() []byte { return l.sidecar.writeBuffer[:0] }

// WriteStream writes a part of an answer.
func (l *ClientConn) WriteStream(b []byte) {
	l.sidecar.recycleWriteBuffer(b)
	if l.conn != nil && len(b) > 0 {
		l.Write(b)
	}
}

// endFlow makes ready for the next request once an answer has flowed to its end.
func (l *ClientConn) finishStream() {
	l.stopArrivalTimer()
	if l.request = nil; l.conn != nil {
		l.isLastWritten = l.isStreamLast
		l.EndResponse(nil)
	}
}

// afterAnswer goes on once the client's socket has taken an answer.
func (l *ClientConn) finishResponse() {
	l.unreadBytes, l.requestBytes, l.isStreamed = 0, 0, false
	if l.isLastWritten {
		l.resumeReading()
		l.startLinger()
		return
	}
	l.sidecar.connAdmission.SetState(l.sidecar.now(), l.slot, admission.StateIdle)
	l.input.Rest()
	l.accountHeldBytes(l.input.Len())
	// The next request may be in the buffer already; it is taken up as an event of its own.
	if l.conn == nil {
		return
	}
	if l.input.Len() > 0 {
		l.sidecar.pushEvent(func(float64) { l.readRequests() })
	} else {
		l.resumeReading()
	}
}

// Write sends what is no answer, or a part of one.
func (l *ClientConn) Write(b []byte) {
	l.conn.Write(b) // gnet keeps what the socket does not take, and closes the link on an error
}

// finish ends the link after its last answer, which the socket has taken: no more is sent, and what comes is read and
// dropped until the client has closed or the time is over.
func (l *ClientConn) startLinger() {
	if l.conn == nil || l.isWriteClosed {
		return
	}
	now := l.sidecar.now()
	l.isWriteClosed = true
	l.sidecar.connAdmission.SetState(now, l.slot, admission.StateClosing)
	l.sidecar.connAdmission.SetBufferedBytes(l.slot, 0)
	l.lingerTimer = l.sidecar.timers.schedule(now+lingerSeconds, func() { l.closeAfterLinger(now + maxLingerSeconds) })
	l.sidecar.net.CloseWrite(l.conn)
}

// leave closes a link that lingers once its client has been silent for a while, at the latest at the given time.
func (l *ClientConn) closeAfterLinger(latest float64) {
	if at := min(l.lastDataAt+lingerSeconds, latest); at > l.sidecar.now() {
		l.lingerTimer = l.sidecar.timers.schedule(at, func() { l.closeAfterLinger(latest) })
		return
	}
	l.sidecar.closeConn(l.conn)
}

// idle tells whether nothing of a request has come and none is out.
func (l *ClientConn) isIdle() bool {
	_, begun := l.codec.PartialRequest()
	return l.request == nil && !l.isLastWritten && l.unreadBytes == 0 && l.input.Len() == 0 && !begun
}

// ended takes the client's departure.
func (l *ClientConn) onClose(error) {
	l.conn = nil
	l.sidecar.timers.stop(l.lingerTimer)
	l.stopArrivalTimer()
	l.removeFromClients()
	if r := l.request; r != nil {
		l.request = nil
		switch {
		case r.stream != nil:
			r.stream.finish(abandoned)
		case !r.isOneWay:
			l.sidecar.abandonRequest(r)
		}
	}
}
