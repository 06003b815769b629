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
func (s *Sidecar) takeIdleConn(h *endpointset.Host, front Frontend) *backendConn {
	for {
		links := s.idleConns[h.ID]
		var l *backendConn
		rested := s.now() - s.reuseDelay.seconds(s.now())
		for i := len(links) - 1; i >= 0 && (l == nil || l.idleSince > rested); i-- {
			if links[i].frontend == front {
				l = links[i]
			}
		}
		if l == nil {
			return nil
		}
		if l.idleSince > rested && s.hasDescriptors(dialDescriptors+s.reservedClientSlots()) {
			return nil
		}
		// Danger: a request written to a link that its server has closed is lost; one written behind unread bytes
		// would be answered with them.
		if l.address == h.Address && s.net.NothingToRead(l.conn) {
			l.removeFromIdle()
			return l
		}
		l.close() // the server has moved, or the link is of no more use
	}
}

// unidle takes a link from the idle ones.
func (l *backendConn) removeFromIdle() {
	links := l.sidecar.idleConns[l.serverID]
	if i := slices.Index(links, l); i >= 0 {
		l.sidecar.idleConns[l.serverID] = slices.Delete(links, i, i+1)
	}
	l.sidecar.timers.stop(l.idleTimer)
}

// rest puts a link among the idle ones. Danger: a request that is written to a link after the server's side
// has closed it is lost, and one that must not run twice with it. Links are retired well before that.
func (l *backendConn) makeIdle() { l.makeIdleFrom(l.sidecar.now()) }

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
func (s *Sidecar) dial(h *endpointset.Host, e *attempt) {
	// Danger: attempts that take the last descriptors shut out who comes next, whoever that is.
	if !s.freeDescriptors(dialDescriptors + s.reservedClientSlots()) {
		s.waitForConn(e)
		return
	}
	l := &backendConn{sidecar: s, frontend: e.frontend, serverID: h.ID, address: h.Address, attempt: e}
	e.backend = l
	s.counters.Dials++
	began := s.now()
	until := min(e.deadline, began+s.cfg.Settings.ConnectTimeoutS)
	l.cancelDial = s.connect(e.frontend.BackendAddress(h.Address), until, l, func(err error) {
		if e := l.attempt; e != nil {
			l.attempt = nil
			why := connBroken
			if s.loopDelay.lastStallEndedAt > began { // the time was up while this program stood still
				why = superseded
			}
			s.finishAttempt(e, &attemptError{notConnected, why, err})
		}
	})
}

// makeRoom closes the idle backend connections that have rested longest until there is room for n descriptors, and tells
// whether there is.
func (s *Sidecar) freeDescriptors(n int) bool {
	for !s.hasDescriptors(n) {
		var oldest *backendConn
		for _, links := range s.idleConns {
			if len(links) > 0 && (oldest == nil || links[0].isIdleLongerThan(oldest)) {
				oldest = links[0]
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
func (l *backendConn) isIdleLongerThan(other *backendConn) bool {
	return cmp.Or(cmp.Compare(l.idleSince, other.idleSince), cmp.Compare(l.serverID, other.serverID)) < 0
}

// dialDescriptors is what a dial may hold: the loop duplicates the descriptor before the dialed one is closed.
const dialDescriptors = 2

// connect opens a connection. It comes up as a call of l.opened, or else failed is called.
func (s *Sidecar) connect(address string, until float64, l connHandler, failed func(error)) func() {
	s.dialDescriptorsHeld += dialDescriptors
	return s.net.Dial(address, until, l, func(err error) {
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
func (l *backendConn) onOpen(c netio.Conn) {
	l.conn = c
	e := l.attempt
	if e != nil && l.sidecar.mayStart(e) {
		l.send(e)
		return
	}
	if l.attempt = nil; l.sidecar.acceptsAttempts(l.serverID) {
		l.makeIdle()
	} else {
		l.close()
	}
	if e != nil {
		l.sidecar.finishAttempt(e, &attemptError{notConnected, superseded, nil})
	}
}

// mayServe tells whether a server may still be sent something new.
func (s *Sidecar) acceptsAttempts(host uint32) bool {
	h := s.endpoints.Host(host)
	return h != nil && (h.State == policy.Ready || h.State == policy.Gone && s.cfg.Settings.Policy.GoneHostsUsable)
}

// begin writes an attempt's request.
func (l *backendConn) send(e *attempt) {
	l.attempt, e.backend = e, l
	e.progress = partlyWritten
	l.sidecar.writeBuffer = e.exchange.AppendRequest(l.sidecar.writeBuffer[:0], l.sidecar.now(), l.sidecar.advertisedDeadline(e))
	l.isWriting = true
	_, err := l.conn.Write(l.sidecar.writeBuffer) // gnet closes the link on an error, which ends the attempt
	l.isWriting = false
	l.sidecar.recycleWriteBuffer(l.sidecar.writeBuffer)
	if err == nil && l.attempt == e {
		l.forwardBody(e)
		l.completeOneWay(e)
	}
}

// told returns until when an attempt tells its server that anybody waits. The time for a body that is still on its way in is not the
// client's.
func (s *Sidecar) advertisedDeadline(e *attempt) float64 {
	if r := e.request; r != nil && r.isUploading() {
		return min(e.deadline, s.now()+r.timeoutSeconds-s.responseMargin())
	}
	return e.deadline
}

// writtenEveryS is the time between two looks whether a request that has no answer is written whole: the loop does not tell.
const writeCheckIntervalSeconds = 0.005

// silence ends an attempt that has no answer once its request is written whole.
func (l *backendConn) completeOneWay(e *attempt) {
	switch {
	case l.attempt != e || !e.exchange.IsOneWay():
	case l.updateProgress(e) == fullyWritten:
		l.completeAttempt(e)
	default:
		l.sidecar.timers.schedule(l.sidecar.now()+writeCheckIntervalSeconds, func() { l.completeOneWay(e) })
	}
}

// progress tells how far the link's attempt has come by now.
func (l *backendConn) updateProgress(e *attempt) progress {
	if e.progress == partlyWritten && !l.isWriting && e.exchange.IsRequestAppended() && l.conn.OutboundBuffered() == 0 {
		e.progress = fullyWritten
		if r := e.request; r != nil {
			l.sidecar.counters.RequestsWritten++
			if r.body != nil { // the server begins with the last byte, whenever the client has sent that
				e.sentAt = l.sidecar.now()
			}
		}
	}
	if e.progress == fullyWritten && e.exchange.HasResponseBegun() {
		e.progress = responding
	}
	return e.progress
}

// traffic reads what the server says.
func (l *backendConn) onData(data []byte) {
	l.input.Write(data)
	e := l.attempt
	if e == nil {
		l.sidecar.reuseDelay.extend(l.sidecar.now())
		l.sidecar.log.Debug("backend connection closed", "host", l.serverID, "error", errUnsolicited)
		l.close()
		return
	}
	done, err := e.exchange.ReadResponse(&l.input)
	if e.stream != nil {
		e.stream.onData(len(data), done, err)
		return
	}
	if err != nil {
		l.attempt = nil
		far := l.updateProgress(e)
		l.close()
		l.sidecar.finishAttempt(e, &attemptError{far, malformed, err})
		return
	}
	if done {
		e.unreadSeconds = l.sidecar.socketWait(l.conn)
		l.completeAttempt(e)
		return
	}
	if x, ok := e.exchange.(StreamingExchange); ok && e.request != nil && x.ExceedsBuffer() {
		e.unreadSeconds = l.sidecar.socketWait(l.conn)
		l.sidecar.startStream(l, e)
	}
}

// complete ends an attempt whose answer is whole. The link is kept only if nothing is left on it, neither
// of the answer nor of the request.
func (l *backendConn) completeAttempt(e *attempt) {
	l.updateProgress(e)
	if l.isReusable(e) {
		from := l.sidecar.now()
		if e.exchange.IsOneWay() {
			from = e.deadline // Danger: the server has only just got the request; a call behind it waits, and its server seems slow
		}
		l.makeIdleFrom(from)
	} else {
		l.attempt = nil
		l.close()
	}
	l.sidecar.finishAttempt(e, nil)
}

// reusable tells whether a link can carry another attempt after a whole answer.
func (l *backendConn) isReusable(e *attempt) bool {
	_, _, keep := e.exchange.Result()
	return keep && e.exchange.IsRequestAppended() && l.input.Len() == 0 && l.conn.OutboundBuffered() == 0 && l.sidecar.acceptsAttempts(l.serverID)
}

// ended takes the end of the connection, from whatever side.
func (l *backendConn) onClose(err error) {
	l.isClosed = true
	l.removeFromIdle()
	e := l.attempt
	if e == nil {
		return
	}
	l.attempt = nil
	if e.stream != nil {
		e.stream.onBackendClose(err == nil || errors.Is(err, io.EOF))
		return
	}
	if (err == nil || errors.Is(err, io.EOF)) && e.exchange.HandleEOF() {
		l.sidecar.finishAttempt(e, nil)
		return
	}
	l.sidecar.finishAttempt(e, &attemptError{l.updateProgress(e), connBroken, err})
}

// close ends the connection at once.
func (l *backendConn) close() {
	if !l.isClosed {
		l.isClosed = true
		l.removeFromIdle()
		l.sidecar.closeConn(l.conn)
	}
}
