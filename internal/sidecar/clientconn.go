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
func (c *ClientConn) Base() *ClientConn { return c }

// leaveClients takes the link from the sidecar's.
func (l *ClientConn) removeFromClients() {
	all := l.sidecar.clients
	last := all[len(all)-1]
	all[l.index], last.index = last, l.index
	all[len(all)-1] = nil
	l.sidecar.clients = all[:len(all)-1]
	l.sidecar.connAdmission.Remove(l.slot)
}

func (c *ClientConn) onOpen(netio.Conn) {}

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
func (c *ClientConn) pausedEnds() netio.ClosePolicy {
	if c.request == nil || c.request.isAnswered {
		return netio.DeferClose
	}
	return netio.ReportClose
}

// next takes up the requests that have come, until one is out.
func (c *ClientConn) readRequests() {
	for c.conn != nil && c.request == nil && !c.isLastWritten && c.unreadBytes == 0 { // a link may have gone since this was queued
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

// await has the rest of a request come.
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

// awaitUntil has a request come by a time, plus what a longer body needs.
func (c *ClientConn) setArrivalDeadline(deadline float64) {
	c.arrivalDeadline, c.stalledBefore = deadline, c.sidecar.fitness.stalledSeconds
}

// overdue ends a request that has not come whole in time. A longer body has as much more as it needs at the least rate, and the time in
// which it was left unread does not count, nor that in which the loop stood still: what came then lay in the socket.
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
	c.sidecar.connAdmission.RecordWasted(c.slot)
	if r := c.request; r != nil {
		c.sidecar.failUpload(r, ErrRequestTimeout)
		return
	}
	c.rejectMalformed(ErrRequestTimeout)
}

// endArrival notes that no request is on its way in.
func (c *ClientConn) stopArrivalTimer() {
	c.sidecar.timers.stop(c.arrivalTimer)
	c.arrivalTimer = nil
}

// decline ends a link that brings no message.
func (c *ClientConn) rejectMalformed(err error) {
	c.stopArrivalTimer()
	c.keepAlive = false
	c.codec.RejectMalformed(err)
}

// SetKeepAlive says whether the client wants the link kept after the message that has been read.
func (c *ClientConn) SetKeepAlive(keep bool) { c.keepAlive = keep }

// CloseUnanswered closes a link whose client speaks another protocol: no answer that it could read is to be had here.
func (l *ClientConn) CloseUnanswered(reason string) {
	l.stopArrivalTimer()
	l.sidecar.counters.Malformed++
	l.sidecar.warnLimited(reason)
	l.sidecar.closeConn(l.conn)
}

// CountInvalid counts a request of a class that is answered and never handed on: nobody could decide on it.
func (c *ClientConn) CountInvalid(class int) {
	c.sidecar.counters.Requests++
	c.sidecar.counters.countRequestEnd(class, failed)
}

// CountMalformed counts a message that is answered and never handed on.
func (c *ClientConn) CountMalformed() { c.sidecar.counters.Malformed++ }

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
func (c *ClientConn) Submit(in IncomingRequest) {
	charge, admitted := c.admitByQuota(&in)
	if !admitted {
		return
	}
	c.sidecar.connAdmission.SetState(c.sidecar.now(), c.slot, admission.StateActive)
	c.requestBytes = in.HeldBytes
	c.sidecar.connAdmission.SetBufferedBytes(c.slot, c.requestBytes+c.input.Len())
	waitedSeconds := max(c.sidecar.socketWait(c.conn), c.sidecar.now()-c.arrivals.arrivedAt(c.input.Len(), c.sidecar.now()))
	timeoutSeconds := min(in.TimeoutSeconds, maxRequestTimeoutSeconds)
	deadline := c.sidecar.now() - waitedSeconds + timeoutSeconds
	cutSeconds := max(deadline-c.sidecar.latestResponseAt(), 0)
	r := &request{clientID: in.ID, className: c.sidecar.cfg.Settings.Policy.Classes[in.Class].Name, classIndex: in.Class, deadline: deadline - cutSeconds,
		call: in.Call, responder: c.codec, client: c, body: in.Body, timeoutSeconds: timeoutSeconds, frontend: c.frontend, isAtMostOnce: in.AtMostOnce, isOneWay: in.IsOneWay,
		quota: charge}
	c.request = r
	// Danger: the decisions take a wait that is shorter than usual for a late retry's; what is cut off here is no sign of that.
	q := policy.Request{Class: in.Class, Tenant: in.Tenant, HeldBackSeconds: waitedSeconds + cutSeconds, Repeat: in.IsRetry, Deadline: r.deadline}
	if r.isUploading() { // its time counts from its last byte; the decisions go by what they are used to
		r.deadline += maxUploadSeconds
		c.pauseReading(netio.ReportClose)
		c.setArrivalDeadline(c.sidecar.now() + arrivalTimeoutSeconds - float64(len(in.Body.Buffered))/minBytesPerSecond)
		c.arrivalTimer = c.sidecar.timers.schedule(c.sidecar.now()+arrivalTimeoutSeconds, c.checkArrival)
	}
	c.sidecar.registerRequest(r, q)
}

// turnAway throttles a request that is not taken up: there is no room for it, or its client has more out than its part.
func (c *ClientConn) rejectRequest(class int, reason string) {
	c.sidecar.counters.Requests++
	c.sidecar.counters.countRequestEnd(class, throttled)
	c.sidecar.counters.Rejected++
	c.sidecar.warnLimited("requests are turned away: " + reason)
	c.sidecar.log.Debug("request turned away", "client", c.conn.RemoteAddr(), "why", reason)
	c.keepAlive = false
	c.codec.Throttle(c.sidecar.cfg.Settings.Policy.MaxRetryAfterSeconds)
}

// MarkServed notes that the answer to come is a server's.
func (c *ClientConn) MarkServed() { c.sidecar.connAdmission.RecordServed(c.slot) }

// BeginResponse frees the link of its request. It tells whether the client is still there, and whether the answer to come is
// the last on the link; what it is appended to is returned, for EndAnswer. says tells whether the answer can say so itself.
func (l *ClientConn) BeginResponse(canAnnounceClose bool) (dst []byte, last, connected bool) {
	// Danger: the rest of a request that is answered before it has come whole is waited for no longer; its time would end with a
	// second answer.
	l.stopArrivalTimer()
	if l.request = nil; l.conn == nil {
		return nil, false, false
	}
	// Danger: what has come behind the request is taken, and is owed its answer here. A client that is told of the end sends
	// it again. One that is not may be sending its next request by now; where there are too many links it would find no
	// other, so its own ends by its rest alone.
	hasPipelined := l.input.Len() > 0
	if canAnnounceClose {
		l.isLastWritten = !l.keepAlive || l.sidecar.closesAfterResponse() || l.sidecar.hasManyClients() && !hasPipelined
	} else {
		l.isLastWritten = !l.keepAlive || l.sidecar.closesAfterResponse() && !hasPipelined && l.sidecar.net.NothingToRead(l.conn)
	}
	return l.sidecar.writeBuffer[:0], l.isLastWritten, true
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
func (l *ClientConn) BeginStream(endsWithConn bool) (dst []byte, last, connected bool) {
	if l.conn == nil {
		return nil, false, false
	}
	l.isStreamLast = !l.keepAlive || endsWithConn || l.sidecar.closesAfterResponse() || l.sidecar.hasManyClients() && l.input.Len() == 0
	l.isStreamed = true
	return l.ScratchBuffer(), l.isStreamLast, true
}

// ScratchBuffer returns empty memory for what Flow is to write.
func (c *ClientConn) ScratchBuffer() []byte { return c.sidecar.writeBuffer[:0] }

// WriteStream writes a part of an answer.
func (l *ClientConn) WriteStream(b []byte) {
	l.sidecar.recycleWriteBuffer(b)
	if l.conn != nil && len(b) > 0 {
		l.Write(b)
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
	c.sidecar.connAdmission.SetState(c.sidecar.now(), c.slot, admission.StateIdle)
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

// finish ends the link after its last answer, which the socket has taken: no more is sent, and what comes is read and
// dropped until the client has closed or the time is over.
func (c *ClientConn) startLinger() {
	if c.conn == nil || c.isWriteClosed {
		return
	}
	now := c.sidecar.now()
	c.isWriteClosed = true
	c.sidecar.connAdmission.SetState(now, c.slot, admission.StateClosing)
	c.sidecar.connAdmission.SetBufferedBytes(c.slot, 0)
	c.lingerTimer = c.sidecar.timers.schedule(now+lingerSeconds, func() { c.closeAfterLinger(now + maxLingerSeconds) })
	c.sidecar.net.CloseWrite(c.conn)
}

// leave closes a link that lingers once its client has been silent for a while, at the latest at the given time.
func (c *ClientConn) closeAfterLinger(latest float64) {
	if at := min(c.lastDataAt+lingerSeconds, latest); at > c.sidecar.now() {
		c.lingerTimer = c.sidecar.timers.schedule(at, func() { c.closeAfterLinger(latest) })
		return
	}
	c.sidecar.closeConn(c.conn)
}

// idle tells whether nothing of a request has come and none is out.
func (c *ClientConn) isIdle() bool {
	_, begun := c.codec.PartialRequest()
	return c.request == nil && !c.isLastWritten && c.unreadBytes == 0 && c.input.Len() == 0 && !begun
}

// ended takes the client's departure.
func (c *ClientConn) onClose(error) {
	c.conn = nil
	c.sidecar.timers.stop(c.lingerTimer)
	c.stopArrivalTimer()
	c.removeFromClients()
	if r := c.request; r != nil {
		c.request = nil
		switch {
		case r.stream != nil:
			r.stream.finish(abandoned)
		case !r.isOneWay:
			c.sidecar.abandonRequest(r)
		}
	}
}
