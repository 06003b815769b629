package sidecar

import (
	"cmp"
	"errors"
	"io"
	"slices"

	"hazelwheel/internal/buffer"
	"hazelwheel/internal/endpointset"
	"hazelwheel/internal/netio"
	"hazelwheel/policy"
)

// errStray is the end of a link that said something nobody had asked for.
var errUnsolicited = errors.New("unasked bytes")

// backendConn is a connection to a server. It carries one attempt at a time.
type backendConn struct {
	sidecar    *Sidecar
	frontend   Frontend
	serverID   uint32
	address    string     // as it was listed
	conn       netio.Conn // nil until it is up
	cancelDial func()
	input      buffer.Buffer
	attempt    *attempt // nil while idle
	idleTimer  *timer
	idleSince  float64 // when it became idle
	isWriting  bool
	isClosed   bool
}

const (
	// settleS is how long after an answer more of it, or the link's end, may well be on the way.
	reuseDelaySeconds = 0.002
	// straySettleS is that where servers have been seen to send more behind their answers, and strayMemoryS for how long it is
	// remembered.
	extendedReuseDelaySeconds = 0.05
	reuseExtensionSeconds     = 60.0
)

// settling is how long a connection rests before it is used again while others can be had.
type reuseDelay struct{ extendedUntil float64 }

// at returns the time that holds at present.
func (s *reuseDelay) seconds(now float64) float64 {
	if now < s.extendedUntil {
		return extendedReuseDelaySeconds
	}
	return reuseDelaySeconds
}

// noteStray notes that a server has sent bytes behind its answer. Danger: a second copy of an answer that comes on a connection which
// is in use again would be taken for the answer to its next request.
func (s *reuseDelay) extend(now float64) { s.extendedUntil = now + reuseExtensionSeconds }

// idleConn takes the link to a server that was used last, nil if there is none. The newest is the least
// likely to have been closed by the other side for its rest, and the others can grow old and be retired. Danger: what
// a server sends behind its answer a moment later would answer the next request; one whose last answer has only just
// come is taken only where no new link can be had.
func (s *Sidecar) takeIdleConn(endpoint *endpointset.Host, front Frontend) *backendConn {
	for {
		idle := s.idleConns[endpoint.ID]
		var b *backendConn
		idleBefore := s.now() - s.reuseDelay.seconds(s.now())
		for i := len(idle) - 1; i >= 0 && (b == nil || b.idleSince > idleBefore); i-- {
			if idle[i].frontend == front {
				b = idle[i]
			}
		}
		if b == nil {
			return nil
		}
		if b.idleSince > idleBefore && s.hasDescriptors(dialDescriptors+s.reservedClientSlots()) {
			return nil
		}
		// Danger: a request written to a link that its server has closed is lost; one written behind unread bytes
		// would be answered with them.
		if b.address == endpoint.Address && s.net.NothingToRead(b.conn) {
			b.removeFromIdle()
			return b
		}
		b.close() // the server has moved, or the link is of no more use
	}
}

// unidle takes a link from the idle ones.
func (b *backendConn) removeFromIdle() {
	idle := b.sidecar.idleConns[b.serverID]
	if i := slices.Index(idle, b); i >= 0 {
		b.sidecar.idleConns[b.serverID] = slices.Delete(idle, i, i+1)
	}
	b.sidecar.timers.stop(b.idleTimer)
}

// rest puts a link among the idle ones. Danger: a request that is written to a link after the server's side
// has closed it is lost, and one that must not run twice with it. Links are retired well before that.
func (b *backendConn) makeIdle() { b.makeIdleFrom(b.sidecar.now()) }

// restFrom is rest for a link that its server may be at work on until a time: it is used before that only where no other can
// be had.
func (l *backendConn) makeIdleFrom(at float64) {
	l.attempt, l.idleSince = nil, at
	l.input.Rest()
	if l.sidecar.assignToWaiter(l) {
		return
	}
	l.sidecar.idleConns[l.serverID] = append(l.sidecar.idleConns[l.serverID], l)
	if limit := l.sidecar.cfg.Settings.Policy.ConnIdleTimeoutSeconds; limit > 0 {
		l.idleTimer = l.sidecar.timers.schedule(l.sidecar.now()+min(0.8*limit, max(limit-0.5, 0.5*limit)), l.close)
	}
}

// dial opens a link for an attempt.
func (s *Sidecar) dial(endpoint *endpointset.Host, a *attempt) {
	// Danger: attempts that take the last descriptors shut out who comes next, whoever that is.
	if !s.freeDescriptors(dialDescriptors + s.reservedClientSlots()) {
		s.waitForConn(a)
		return
	}
	b := &backendConn{sidecar: s, frontend: a.frontend, serverID: endpoint.ID, address: endpoint.Address, attempt: a}
	a.backend = b
	s.counters.Dials++
	startedAt := s.now()
	deadline := min(a.deadline, startedAt+s.cfg.Settings.ConnectTimeoutS)
	b.cancelDial = s.connect(a.frontend.BackendAddress(endpoint.Address), deadline, b, func(err error) {
		if a := b.attempt; a != nil {
			b.attempt = nil
			endCause := connBroken
			if s.loopDelay.lastStallEndedAt > startedAt { // the time was up while this program stood still
				endCause = superseded
			}
			s.finishAttempt(a, &attemptError{notConnected, endCause, err})
		}
	})
}

// makeRoom closes the idle backend connections that have rested longest until there is room for n descriptors, and tells
// whether there is.
func (s *Sidecar) freeDescriptors(n int) bool {
	for !s.hasDescriptors(n) {
		var oldest *backendConn
		for _, idle := range s.idleConns {
			if len(idle) > 0 && (oldest == nil || idle[0].isIdleLongerThan(oldest)) {
				oldest = idle[0]
			}
		}
		if oldest == nil {
			return false
		}
		oldest.close()
	}
	return true
}

// older tells whether a link has rested longer than another.
func (b *backendConn) isIdleLongerThan(other *backendConn) bool {
	return cmp.Or(cmp.Compare(b.idleSince, other.idleSince), cmp.Compare(b.serverID, other.serverID)) < 0
}

// dialDescriptors is what a dial may hold: the loop duplicates the descriptor before the dialed one is closed.
const dialDescriptors = 2

// connect opens a connection. It comes up as a call of l.opened, or else failed is called.
func (s *Sidecar) connect(address string, deadline float64, handler connHandler, failed func(error)) func() {
	s.dialDescriptorsHeld += dialDescriptors
	return s.net.Dial(address, deadline, handler, func(err error) {
		s.runCallback(func() {
			if s.dialDescriptorsHeld -= dialDescriptors; err != nil {
				failed(err)
			}
			if len(s.waitingAttempts) > 0 {
				s.pushEvent(func(float64) { s.dialForWaiters() })
			}
		})
	})
}

// opened takes the link into use.
func (b *backendConn) onOpen(c netio.Conn) {
	b.conn = c
	a := b.attempt
	if a != nil && b.sidecar.mayStart(a) {
		b.send(a)
		return
	}
	if b.attempt = nil; b.sidecar.acceptsAttempts(b.serverID) {
		b.makeIdle()
	} else {
		b.close()
	}
	if a != nil {
		b.sidecar.finishAttempt(a, &attemptError{notConnected, superseded, nil})
	}
}

// mayServe tells whether a server may still be sent something new.
func (s *Sidecar) acceptsAttempts(serverID uint32) bool {
	endpoint := s.endpoints.Host(serverID)
	return endpoint != nil && (endpoint.State == policy.Ready || endpoint.State == policy.Gone && s.cfg.Settings.Policy.GoneHostsUsable)
}

// begin writes an attempt's request.
func (b *backendConn) send(a *attempt) {
	b.attempt, a.backend = a, b
	a.progress = partlyWritten
	b.sidecar.writeBuffer = a.exchange.AppendRequest(b.sidecar.writeBuffer[:0], b.sidecar.now(), b.sidecar.advertisedDeadline(a))
	b.isWriting = true
	_, err := b.conn.Write(b.sidecar.writeBuffer) // gnet closes the link on an error, which ends the attempt
	b.isWriting = false
	b.sidecar.recycleWriteBuffer(b.sidecar.writeBuffer)
	if err == nil && b.attempt == a {
		b.forwardBody(a)
		b.completeOneWay(a)
	}
}

// told returns until when an attempt tells its server that anybody waits. The time for a body that is still on its way in is not the
// client's.
func (s *Sidecar) advertisedDeadline(a *attempt) float64 {
	if r := a.request; r != nil && r.isUploading() {
		return min(a.deadline, s.now()+r.timeoutSeconds-s.responseMargin())
	}
	return a.deadline
}

// writtenEveryS is the time between two looks whether a request that has no answer is written whole: the loop does not tell.
const writeCheckIntervalSeconds = 0.005

// silence ends an attempt that has no answer once its request is written whole.
func (b *backendConn) completeOneWay(a *attempt) {
	switch {
	case b.attempt != a || !a.exchange.IsOneWay():
	case b.updateProgress(a) == fullyWritten:
		b.completeAttempt(a)
	default:
		b.sidecar.timers.schedule(b.sidecar.now()+writeCheckIntervalSeconds, func() { b.completeOneWay(a) })
	}
}

// progress tells how far the link's attempt has come by now.
func (b *backendConn) updateProgress(a *attempt) progress {
	if a.progress == partlyWritten && !b.isWriting && a.exchange.IsRequestAppended() && b.conn.OutboundBuffered() == 0 {
		a.progress = fullyWritten
		if r := a.request; r != nil {
			b.sidecar.counters.RequestsWritten++
			if r.body != nil { // the server begins with the last byte, whenever the client has sent that
				a.sentAt = b.sidecar.now()
			}
		}
	}
	if a.progress == fullyWritten && a.exchange.HasResponseBegun() {
		a.progress = responding
	}
	return a.progress
}

// traffic reads what the server says.
func (b *backendConn) onData(data []byte) {
	b.input.Write(data)
	a := b.attempt
	if a == nil {
		b.sidecar.reuseDelay.extend(b.sidecar.now())
		b.sidecar.log.Debug("backend connection closed", "host", b.serverID, "error", errUnsolicited)
		b.close()
		return
	}
	done, err := a.exchange.ReadResponse(&b.input)
	if a.stream != nil {
		a.stream.onData(len(data), done, err)
		return
	}
	if err != nil {
		b.attempt = nil
		far := b.updateProgress(a)
		b.close()
		b.sidecar.finishAttempt(a, &attemptError{far, malformed, err})
		return
	}
	if done {
		a.unreadSeconds = b.sidecar.socketWait(b.conn)
		b.completeAttempt(a)
		return
	}
	if x, ok := a.exchange.(StreamingExchange); ok && a.request != nil && x.ExceedsBuffer() {
		a.unreadSeconds = b.sidecar.socketWait(b.conn)
		b.sidecar.startStream(b, a)
	}
}

// complete ends an attempt whose answer is whole. The link is kept only if nothing is left on it, neither
// of the answer nor of the request.
func (b *backendConn) completeAttempt(a *attempt) {
	b.updateProgress(a)
	if b.isReusable(a) {
		from := b.sidecar.now()
		if a.exchange.IsOneWay() {
			from = a.deadline // Danger: the server has only just got the request; a call behind it waits, and its server seems slow
		}
		b.makeIdleFrom(from)
	} else {
		b.attempt = nil
		b.close()
	}
	b.sidecar.finishAttempt(a, nil)
}

// reusable tells whether a link can carry another attempt after a whole answer.
func (b *backendConn) isReusable(a *attempt) bool {
	_, _, keep := a.exchange.Result()
	return keep && a.exchange.IsRequestAppended() && b.input.Len() == 0 && b.conn.OutboundBuffered() == 0 && b.sidecar.acceptsAttempts(b.serverID)
}

// ended takes the end of the connection, from whatever side.
func (b *backendConn) onClose(err error) {
	b.isClosed = true
	b.removeFromIdle()
	a := b.attempt
	if a == nil {
		return
	}
	b.attempt = nil
	if a.stream != nil {
		a.stream.onBackendClose(err == nil || errors.Is(err, io.EOF))
		return
	}
	if (err == nil || errors.Is(err, io.EOF)) && a.exchange.HandleEOF() {
		b.sidecar.finishAttempt(a, nil)
		return
	}
	b.sidecar.finishAttempt(a, &attemptError{b.updateProgress(a), connBroken, err})
}

// close ends the connection at once.
func (b *backendConn) close() {
	if !b.isClosed {
		b.isClosed = true
		b.removeFromIdle()
		b.sidecar.closeConn(b.conn)
	}
}
