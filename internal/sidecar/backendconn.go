package sidecar

import (
	"errors"
	"io"

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
		b.sidecar.backends.reuseDelay.extend(b.sidecar.now())
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
