package sidecar

import (
	"encoding/json"
	"net"
	"net/netip"

	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/netio"
)

const (
	// silentS after it was opened a link that has said nothing is closed.
	silentS = 2.2
	// restS is how long links may rest while there are too many.
	restS = 2.0
	// sweepEveryS is the time between two looks for such links.
	sweepEveryS = 0.2
	// unreadS without the client taking a byte of an answer ends its link, and so does longestReadS in all.
	unreadS      = 2.0
	longestReadS = 10.0
	// aheadBytes of further requests may come while one is out; what is beyond waits in the socket.
	aheadBytes = 4 << 10
	// flushEveryS is the time between two looks whether answers have been taken: the loop does not tell.
	flushEveryS = 0.01
	// reservePart is the part of the client connections that is kept for known clients where the operators set no number.
	reservePart = 8
	// lookedAt bounds the links whose sockets are looked into before one goes.
	lookedAt = 4
)

// serverRoom descriptors are kept from clients when a request comes over a link that is beyond mostClients.
const serverRoom = 16

// mostClients is how many client connections leave enough descriptors for the servers.
func (s *Sidecar) mostClients() int { return s.maxConns() * 3 / 4 }

// beyondRoom is how many links beyond mostClients are taken for a word to their clients. Danger: each takes a descriptor
// that an attempt may need.
func (s *Sidecar) beyondRoom() int { return s.maxConns() / 16 }

// crowded tells whether client connections are so many that none is kept for its own sake. Danger: clients that ask once and
// stay come to hold all the connections that the application may have, long before the descriptors here run out; its
// other requests then find none. So from there on an answer is the last on its link.
func (s *Sidecar) crowded() bool { return len(s.clients) > s.cfg.Limits.Sockets/s.processes/5 }

// admissionSettings are the operators' bounds, within the descriptors and the memory that there are; newcomers are client
// links that are not in the room yet.
func (s *Sidecar) admissionSettings(newcomers int) admission.Settings {
	a := s.admission.Settings
	a.ReservedForKnown = s.reserve()
	// What servers hold is not there for clients.
	a.MaxConns = max(min(s.mostClients(), s.maxConns()-s.serverSide()+newcomers), a.ReservedForKnown)
	if a.MaxBufferedBytes == 0 {
		a.MaxBufferedBytes = s.cfg.Limits.MemoryMB << 20 / s.processes / 4
	}
	return a
}

// serverSide is how many descriptors backend connections and to discovery hold, or may come to hold.
func (s *Sidecar) serverSide() int {
	return s.openConns - s.room.Len() - s.room.OverflowLen() + s.dialDescriptorsHeld
}

// reserve is how many links are kept for known clients.
func (s *Sidecar) reserve() int {
	if n := s.admission.ReservedForKnown; n > 0 {
		return n
	}
	return s.mostClients() / reservePart
}

// accept takes a connection of a client, and tells whether it may stay. Where there is no room a link is closed for it;
// where none can be spared, its request is throttled unless enough descriptors are left.
func (s *Sidecar) accept(c netio.Conn) bool {
	now := s.now()
	front := s.frontOf(c)
	client := front.NewClient()
	l := client.Base()
	l.s, l.front, l.client, l.conn, l.openedAt, l.index = s, front, client, c, now, len(s.clients)
	s.clients = append(s.clients, l)
	s.counters.Accepted++
	c.SetContext(connHandler(l))
	var verdict admission.Verdict
	bounds := s.admissionSettings(1)
	s.room.SetLimits(bounds.MaxConns, bounds.ReservedForKnown)
	l.place, verdict = s.room.Add(now, clientAddress(c), l)
	for looked := 0; verdict != admission.Admitted; {
		gone := s.room.VictimFor(now, l.place, verdict)
		if gone == nil {
			break
		}
		old := gone.Owner.(*ClientConn)
		if old.mayBeAsking() {
			if looked++; looked > lookedAt {
				break
			}
			s.room.Touch(now, gone)
			continue
		}
		old.giveUp()
		verdict = admission.Admitted
	}
	switch {
	case verdict == admission.OverLimit:
		s.counters.OverCap++
		s.warnLimited("connections beyond the cap of an address or prefix are refused")
		return false
	case verdict == admission.TableFull && (s.room.OverflowLen() >= s.beyondRoom() || !s.hasDescriptors(s.reserve())):
	case s.hasDescriptors(0) || s.makeRoom(0):
		if verdict == admission.TableFull {
			l.overLimit = true
			s.room.AdmitOverflow(l.place)
		}
		return true
	}
	// Danger: the next accept would fail for want of a descriptor, and the loop would end. Not a byte of a request has
	// been read from this link.
	s.counters.NoRoom++
	s.warnLimited("connections are refused: there is no room for them")
	s.log.Debug("client connection refused", "client", c.RemoteAddr(), "crowded", verdict == admission.TableFull, "links", s.room.Len())
	return false
}

// frontOf returns what is spoken at the listener that has accepted a connection.
func (s *Sidecar) frontOf(c netio.Conn) Frontend {
	if len(s.fronts) > 1 {
		if tcp, ok := c.LocalAddr().(*net.TCPAddr); ok {
			for _, f := range s.fronts[1:] {
				if a, err := netip.ParseAddrPort(f.ListenAddress()); err == nil && int(a.Port()) == tcp.Port {
					return f
				}
			}
		}
	}
	return s.fronts[0]
}

// clientAddress returns where a connection comes from.
func clientAddress(c netio.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// mayBeAsking tells whether the next request of a link that seems to have none waits in its socket.
func (l *ClientConn) mayBeAsking() bool {
	state, _ := l.place.State()
	return (state == admission.StateNew || state == admission.StateIdle) && !l.s.net.NothingToRead(l.conn)
}

// giveUp closes a link that goes for another.
func (l *ClientConn) giveUp() {
	s := l.s
	switch state, _ := l.place.State(); state {
	case admission.StateReading, admission.StateWriting:
		s.counters.GivenUp++
	case admission.StateNew, admission.StateIdle:
		s.counters.Retired++
	}
	s.warnLimited("connections that have no request out are closed to make room")
	s.log.Debug("client connection given up", "client", l.conn.RemoteAddr(), "state", l.stateName())
	s.closeConn(l.conn)
}

func (l *ClientConn) stateName() string {
	state, _ := l.place.State()
	return state.String()
}

// retire closes a link that is of no more use, unless a request waits in its socket.
func (l *ClientConn) retire() {
	if l.mayBeAsking() {
		l.s.room.Touch(l.s.now(), l.place)
		return
	}
	if state, _ := l.place.State(); state == admission.StateNew {
		l.s.room.RecordWasted(l.place)
	}
	l.s.counters.Retired++
	l.s.closeConn(l.conn)
}

// hold notes how much of a request or of an answer the link holds. Where all hold too much, who holds most goes.
func (l *ClientConn) hold(bytes int) {
	s := l.s
	s.room.SetBufferedBytes(l.place, bytes)
	for gone := s.room.BufferVictim(); gone != nil; gone = s.room.BufferVictim() {
		s.warnLimited("connections that hold much are closed: there is no memory for more")
		gone.Owner.(*ClientConn).giveUp()
	}
}

// sweep closes links that have never said anything, and where links are many also those that rest.
func (s *Sidecar) sweep() {
	now := s.now()
	old := func(state admission.State, since float64) {
		for l := s.room.Oldest(state); l != nil; l = s.room.Oldest(state) {
			if _, at := l.State(); at >= since {
				return
			}
			l.Owner.(*ClientConn).retire()
		}
	}
	if old(admission.StateNew, now-silentS); s.crowded() {
		old(admission.StateIdle, now-restS)
	}
	s.timers.schedule(now+sweepEveryS, s.sweep)
}

// unread has a link wait until its client has taken what is written. Danger: requests that are taken up while answers
// wait grow what waits without a bound, and with it the process, which is killed with all that it has taken.
func (l *ClientConn) unread() {
	s, now := l.s, l.s.now()
	l.unreadFrom, l.tookAt, l.untaken = now, now, l.conn.OutboundBuffered()
	s.room.SetState(now, l.place, admission.StateWriting)
	l.pause(netio.DeferClose) // a client that has said its last may still read
	l.hold(l.untaken + l.buf.Len())
	if !s.flushing {
		s.flushing = true
		s.timers.schedule(now+flushEveryS, s.flush)
	}
}

// pause leaves what the client sends in the socket. Danger: while a request waits its client may go, behind bytes that nobody reads;
// sent on all the same, the request would run for nobody.
func (l *ClientConn) pause(ends netio.ClosePolicy) {
	l.s.net.PauseReading(l.conn, ends)
	l.paused = true
}

// resume reads on.
func (l *ClientConn) resume() {
	if l.paused {
		l.paused = false
		l.s.net.ResumeReading(l.conn)
	}
}

// flush looks at the links whose answers wait: one whose client has taken all goes on, one whose client takes nothing is
// closed.
func (s *Sidecar) flush() {
	now := s.now()
	s.room.Each(admission.StateWriting, func(place *admission.Conn) {
		l := place.Owner.(*ClientConn)
		left := l.conn.OutboundBuffered()
		if left < l.untaken {
			l.untaken, l.tookAt = left, now
			s.room.SetBufferedBytes(place, left+l.buf.Len())
		}
		switch {
		case left == 0:
			l.afterAnswer()
		case now > l.tookAt+unreadS && !l.flowed || now > l.unreadFrom+longestReadS && !l.flowed || now > l.tookAt+lagS:
			s.counters.Unread++
			s.warnLimited("connections are closed whose clients do not read their answers")
			s.room.RecordWasted(place)
			s.closeConn(l.conn)
		}
	})
	if s.flushing = s.room.Oldest(admission.StateWriting) != nil; s.flushing {
		s.timers.schedule(now+flushEveryS, s.flush)
	}
}

// short tells whether there is not enough for all: requests wait for a server, or for the sidecar itself.
func (s *Sidecar) short() bool {
	return s.arrivals.queue.Len() > 0 || s.balancer.QueueLength() > 0
}

// mostShown bounds the addresses that are told of at a time.
const mostShown = 200

// ClientStatus tells who holds what, as JSON.
func (s *Sidecar) ClientStatus() []byte {
	var all struct {
		Links     int                `json:"links"`
		Most      int                `json:"most"`
		Reserve   int                `json:"reserve"`
		Addresses int                `json:"addresses"`
		Clients   []admission.Client `json:"clients"`
	}
	settings := s.admissionSettings(0)
	all.Links, all.Most, all.Reserve = s.room.Len(), settings.MaxConns, settings.ReservedForKnown
	all.Clients, all.Addresses = s.room.Clients(mostShown)
	raw, err := json.Marshal(all)
	if err != nil { // numbers and names always marshal
		panic(err)
	}
	return append(raw, '\n')
}
