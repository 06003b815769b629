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
var errStray = errors.New("unasked bytes")

// backendConn is a connection to a server. It carries one attempt at a time.
type backendConn struct {
	s        *Sidecar
	front    Frontend
	host     uint32
	address  string     // as it was listed
	conn     netio.Conn // nil until it is up
	stopDial func()
	buf      buffer.Buffer
	attempt  *attempt // nil while idle
	retire   *timer
	restedAt float64 // when it became idle
	writing  bool
	closed   bool
}

const (
	// settleS is how long after an answer more of it, or the link's end, may well be on the way.
	settleS = 0.002
	// straySettleS is that where servers have been seen to send more behind their answers, and strayMemoryS for how long it is
	// remembered.
	straySettleS = 0.05
	strayMemoryS = 60.0
)

// settling is how long a connection rests before it is used again while others can be had.
type settling struct{ longUntil float64 }

// at returns the time that holds at present.
func (s *settling) at(now float64) float64 {
	if now < s.longUntil {
		return straySettleS
	}
	return settleS
}

// noteStray notes that a server has sent bytes behind its answer. Danger: a second copy of an answer that comes on a connection which
// is in use again would be taken for the answer to its next request.
func (s *settling) noteStray(now float64) { s.longUntil = now + strayMemoryS }

// idleConn takes the link to a server that was used last, nil if there is none. The newest is the least
// likely to have been closed by the other side for its rest, and the others can grow old and be retired. Danger: what
// a server sends behind its answer a moment later would answer the next request; one whose last answer has only just
// come is taken only where no new link can be had.
func (s *Sidecar) idleConn(h *endpointset.Host, front Frontend) *backendConn {
	for {
		links := s.idle[h.ID]
		var l *backendConn
		rested := s.now() - s.settling.at(s.now())
		for i := len(links) - 1; i >= 0 && (l == nil || l.restedAt > rested); i-- {
			if links[i].front == front {
				l = links[i]
			}
		}
		if l == nil {
			return nil
		}
		if l.restedAt > rested && s.hasDescriptors(dialDescriptors+s.reservedClientSlots()) {
			return nil
		}
		// Danger: a request written to a link that its server has closed is lost; one written behind unread bytes
		// would be answered with them.
		if l.address == h.Address && s.net.NothingToRead(l.conn) {
			l.unidle()
			return l
		}
		l.close() // the server has moved, or the link is of no more use
	}
}

// unidle takes a link from the idle ones.
func (l *backendConn) unidle() {
	links := l.s.idle[l.host]
	if i := slices.Index(links, l); i >= 0 {
		l.s.idle[l.host] = slices.Delete(links, i, i+1)
	}
	l.s.timers.stop(l.retire)
}

// rest puts a link among the idle ones. Danger: a request that is written to a link after the server's side
// has closed it is lost, and one that must not run twice with it. Links are retired well before that.
func (l *backendConn) rest() { l.restFrom(l.s.now()) }

// restFrom is rest for a link that its server may be at work on until a time: it is used before that only where no other can
// be had.
func (l *backendConn) restFrom(at float64) {
	l.attempt, l.restedAt = nil, at
	l.buf.Rest()
	if l.s.feed(l) {
		return
	}
	l.s.idle[l.host] = append(l.s.idle[l.host], l)
	if limit := l.s.cfg.Settings.Policy.ConnIdleTimeoutSeconds; limit > 0 {
		l.retire = l.s.timers.schedule(l.s.now()+min(0.8*limit, max(limit-0.5, 0.5*limit)), l.close)
	}
}

// dial opens a link for an attempt.
func (s *Sidecar) dial(h *endpointset.Host, e *attempt) {
	// Danger: attempts that take the last descriptors shut out who comes next, whoever that is.
	if !s.makeRoom(dialDescriptors + s.reservedClientSlots()) {
		s.starve(e)
		return
	}
	l := &backendConn{s: s, front: e.front, host: h.ID, address: h.Address, attempt: e}
	e.link = l
	s.counters.Dials++
	began := s.now()
	until := min(e.until, began+s.cfg.Settings.ConnectTimeoutS)
	l.stopDial = s.connect(e.front.BackendAddress(h.Address), until, l, func(err error) {
		if e := l.attempt; e != nil {
			l.attempt = nil
			why := broke
			if s.loopDelay.lastStallEndedAt > began { // the time was up while this program stood still
				why = overtaken
			}
			s.finish(e, &attemptError{notConnected, why, err})
		}
	})
}

// makeRoom closes the idle backend connections that have rested longest until there is room for n descriptors, and tells
// whether there is.
func (s *Sidecar) makeRoom(n int) bool {
	for !s.hasDescriptors(n) {
		var oldest *backendConn
		for _, links := range s.idle {
			if len(links) > 0 && (oldest == nil || links[0].older(oldest)) {
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
func (l *backendConn) older(other *backendConn) bool {
	return cmp.Or(cmp.Compare(l.restedAt, other.restedAt), cmp.Compare(l.host, other.host)) < 0
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
			if len(s.starved) > 0 {
				s.pushEvent(func(float64) { s.feedDials() })
			}
		})
	})
}

// opened takes the link into use.
func (l *backendConn) onOpen(c netio.Conn) {
	l.conn = c
	e := l.attempt
	if e != nil && l.s.mayBegin(e) {
		l.begin(e)
		return
	}
	if l.attempt = nil; l.s.mayServe(l.host) {
		l.rest()
	} else {
		l.close()
	}
	if e != nil {
		l.s.finish(e, &attemptError{notConnected, overtaken, nil})
	}
}

// mayServe tells whether a server may still be sent something new.
func (s *Sidecar) mayServe(host uint32) bool {
	h := s.hosts.Host(host)
	return h != nil && (h.State == policy.Ready || h.State == policy.Gone && s.cfg.Settings.Policy.GoneHostsUsable)
}

// begin writes an attempt's request.
func (l *backendConn) begin(e *attempt) {
	l.attempt, e.link = e, l
	e.progress = partlyWritten
	l.s.scratch = e.exchange.AppendRequest(l.s.scratch[:0], l.s.now(), l.s.told(e))
	l.writing = true
	_, err := l.conn.Write(l.s.scratch) // gnet closes the link on an error, which ends the attempt
	l.writing = false
	l.s.keepScratch(l.s.scratch)
	if err == nil && l.attempt == e {
		l.pump(e)
		l.silence(e)
	}
}

// told returns until when an attempt tells its server that anybody waits. The time for a body that is still on its way in is not the
// client's.
func (s *Sidecar) told(e *attempt) float64 {
	if r := e.request; r != nil && r.uploading() {
		return min(e.until, s.now()+r.patience-s.responseMargin())
	}
	return e.until
}

// writtenEveryS is the time between two looks whether a request that has no answer is written whole: the loop does not tell.
const writtenEveryS = 0.005

// silence ends an attempt that has no answer once its request is written whole.
func (l *backendConn) silence(e *attempt) {
	switch {
	case l.attempt != e || !e.exchange.IsOneWay():
	case l.progress(e) == writtenWhole:
		l.complete(e)
	default:
		l.s.timers.schedule(l.s.now()+writtenEveryS, func() { l.silence(e) })
	}
}

// progress tells how far the link's attempt has come by now.
func (l *backendConn) progress(e *attempt) progress {
	if e.progress == partlyWritten && !l.writing && e.exchange.IsRequestAppended() && l.conn.OutboundBuffered() == 0 {
		e.progress = writtenWhole
		if r := e.request; r != nil {
			l.s.counters.Written++
			if r.body != nil { // the server begins with the last byte, whenever the client has sent that
				e.sentAt = l.s.now()
			}
		}
	}
	if e.progress == writtenWhole && e.exchange.HasResponseBegun() {
		e.progress = answering
	}
	return e.progress
}

// traffic reads what the server says.
func (l *backendConn) onData(data []byte) {
	l.buf.Write(data)
	e := l.attempt
	if e == nil {
		l.s.settling.noteStray(l.s.now())
		l.s.log.Debug("backend connection closed", "host", l.host, "error", errStray)
		l.close()
		return
	}
	done, err := e.exchange.ReadResponse(&l.buf)
	if e.flow != nil {
		e.flow.traffic(len(data), done, err)
		return
	}
	if err != nil {
		l.attempt = nil
		far := l.progress(e)
		l.close()
		l.s.finish(e, &attemptError{far, spoilt, err})
		return
	}
	if done {
		e.late = l.s.socketWait(l.conn)
		l.complete(e)
		return
	}
	if x, ok := e.exchange.(StreamingExchange); ok && e.request != nil && x.ExceedsBuffer() {
		e.late = l.s.socketWait(l.conn)
		l.s.beginFlow(l, e)
	}
}

// complete ends an attempt whose answer is whole. The link is kept only if nothing is left on it, neither
// of the answer nor of the request.
func (l *backendConn) complete(e *attempt) {
	l.progress(e)
	if l.reusable(e) {
		from := l.s.now()
		if e.exchange.IsOneWay() {
			from = e.until // Danger: the server has only just got the request; a call behind it waits, and its server seems slow
		}
		l.restFrom(from)
	} else {
		l.attempt = nil
		l.close()
	}
	l.s.finish(e, nil)
}

// reusable tells whether a link can carry another attempt after a whole answer.
func (l *backendConn) reusable(e *attempt) bool {
	_, _, keep := e.exchange.Result()
	return keep && e.exchange.IsRequestAppended() && l.buf.Len() == 0 && l.conn.OutboundBuffered() == 0 && l.s.mayServe(l.host)
}

// ended takes the end of the connection, from whatever side.
func (l *backendConn) onClose(err error) {
	l.closed = true
	l.unidle()
	e := l.attempt
	if e == nil {
		return
	}
	l.attempt = nil
	if e.flow != nil {
		e.flow.serverEnded(err == nil || errors.Is(err, io.EOF))
		return
	}
	if (err == nil || errors.Is(err, io.EOF)) && e.exchange.HandleEOF() {
		l.s.finish(e, nil)
		return
	}
	l.s.finish(e, &attemptError{l.progress(e), broke, err})
}

// close ends the connection at once.
func (l *backendConn) close() {
	if !l.closed {
		l.closed = true
		l.unidle()
		l.s.closeConn(l.conn)
	}
}
