package sidecar

import (
	"errors"
	"io"

	"hazelwheel/internal/buffer"
	"hazelwheel/internal/endpointset"
	"hazelwheel/internal/netio"
	"hazelwheel/policy"
)

// errUnsolicited is logged for a connection whose server sent bytes while no request was open on it.
var errUnsolicited = errors.New("unasked bytes")

// backendConn is a connection to a server. It carries one attempt at a time.
type backendConn struct {
	sidecar    *Sidecar
	frontend   Frontend
	serverID   uint32
	address    string     // as in the endpoint list
	conn       netio.Conn // nil until it is open
	cancelDial func()
	input      buffer.Buffer
	attempt    *attempt // nil while idle
	idleTimer  *timer
	idleSince  float64 // when it became idle
	isWriting  bool
	isClosed   bool
}

// dial opens a connection for an attempt, or queues the attempt if there are no descriptors.
func (s *Sidecar) dial(endpoint *endpointset.Host, a *attempt) {
	// If attempts used the last descriptors, none would be left for the next client.
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
			if s.loopDelay.lastStallEndedAt > startedAt { // the dial timed out while this process stalled
				endCause = superseded
			}
			s.finishAttempt(a, &attemptError{notConnected, endCause, err})
		}
	})
}

// onOpen implements connHandler: it starts the attempt that the connection was dialed for. If the attempt may no longer start, the
// connection becomes idle, or is closed if its server accepts no attempts.
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

// acceptsAttempts reports whether new attempts may be sent to a server.
func (s *Sidecar) acceptsAttempts(serverID uint32) bool {
	endpoint := s.endpoints.Host(serverID)
	return endpoint != nil && (endpoint.State == policy.Ready || endpoint.State == policy.Gone && s.cfg.Settings.Policy.GoneHostsUsable)
}

// send writes an attempt's request.
func (b *backendConn) send(a *attempt) {
	b.attempt, a.backend = a, b
	a.progress = partlyWritten
	b.sidecar.writeBuffer = a.exchange.AppendRequest(b.sidecar.writeBuffer[:0], b.sidecar.now(), b.sidecar.advertisedDeadline(a))
	b.isWriting = true
	_, err := b.conn.Write(b.sidecar.writeBuffer) // on an error the connection is closed, which ends the attempt
	b.isWriting = false
	b.sidecar.recycleWriteBuffer(b.sidecar.writeBuffer)
	if err == nil && b.attempt == a {
		b.forwardBody(a)
		b.completeOneWay(a)
	}
}

// advertisedDeadline returns the deadline that is sent to the server. While the body is arriving, the request's deadline includes the time
// for the upload, which is not part of the client's timeout.
func (s *Sidecar) advertisedDeadline(a *attempt) float64 {
	if r := a.request; r != nil && r.isUploading() {
		return min(a.deadline, s.now()+r.timeoutSeconds-s.responseMargin())
	}
	return a.deadline
}

// writeCheckIntervalSeconds is the interval at which a one-way request is polled for completion, since the event loop does not report that
// all bytes were written.
const writeCheckIntervalSeconds = 0.005

// completeOneWay ends a one-way attempt once its request is written.
func (b *backendConn) completeOneWay(a *attempt) {
	switch {
	case b.attempt != a || !a.exchange.IsOneWay():
	case b.updateProgress(a) == fullyWritten:
		b.completeAttempt(a)
	default:
		b.sidecar.timers.schedule(b.sidecar.now()+writeCheckIntervalSeconds, func() { b.completeOneWay(a) })
	}
}

// updateProgress updates and returns the progress of the connection's attempt.
func (b *backendConn) updateProgress(a *attempt) progress {
	if a.progress == partlyWritten && !b.isWriting && a.exchange.IsRequestAppended() && b.conn.OutboundBuffered() == 0 {
		a.progress = fullyWritten
		if r := a.request; r != nil {
			b.sidecar.counters.RequestsWritten++
			if r.body != nil { // the server starts when it has the last byte, however long the upload took
				a.sentAt = b.sidecar.now()
			}
		}
	}
	if a.progress == fullyWritten && a.exchange.HasResponseBegun() {
		a.progress = responding
	}
	return a.progress
}

// onData implements connHandler: it reads a response.
func (b *backendConn) onData(data []byte) {
	b.input.Write(data)
	a := b.attempt
	if a == nil {
		b.sidecar.backends.reuseDelay.extend(b.sidecar.now())
		b.sidecar.log.Debug("backend connection closed", "server_id", b.serverID, "error", errUnsolicited)
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
		reached := b.updateProgress(a)
		b.close()
		b.sidecar.finishAttempt(a, &attemptError{reached, malformed, err})
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

// completeAttempt ends an attempt whose response is complete. The connection is kept only if no bytes of the response are unread and none
// of the request are unwritten.
func (b *backendConn) completeAttempt(a *attempt) {
	b.updateProgress(a)
	if b.isReusable(a) {
		from := b.sidecar.now()
		if a.exchange.IsOneWay() {
			from = a.deadline // the server is still working on the request; the next one would wait behind it and make the server seem slow
		}
		b.makeIdleFrom(from)
	} else {
		b.attempt = nil
		b.close()
	}
	b.sidecar.finishAttempt(a, nil)
}

// isReusable reports whether a connection can carry another attempt after a complete response.
func (b *backendConn) isReusable(a *attempt) bool {
	_, _, keep := a.exchange.Result()
	return keep && a.exchange.IsRequestAppended() && b.input.Len() == 0 && b.conn.OutboundBuffered() == 0 && b.sidecar.acceptsAttempts(b.serverID)
}

// onClose implements connHandler: it ends the attempt, whichever side closed the connection.
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

// close closes the connection at once.
func (b *backendConn) close() {
	if !b.isClosed {
		b.isClosed = true
		b.removeFromIdle()
		b.sidecar.closeConn(b.conn)
	}
}
