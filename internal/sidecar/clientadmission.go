package sidecar

import (
	"net"
	"net/netip"

	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/netio"
)

// serverRoom descriptors are kept from clients when a request comes over a link that is beyond mostClients.
const backendHeadroom = 16

// mostClients is how many client connections leave enough descriptors for the servers.
func (s *Sidecar) maxClients() int { return s.maxConns() * 3 / 4 }

// beyondRoom is how many links beyond mostClients are taken for a word to their clients. Danger: each takes a descriptor
// that an attempt may need.
func (s *Sidecar) maxOverLimitClients() int { return s.maxConns() / 16 }

// crowded tells whether client connections are so many that none is kept for its own sake. Danger: clients that ask once and
// stay come to hold all the connections that the application may have, long before the descriptors here run out; its
// other requests then find none. So from there on an answer is the last on its link.
func (s *Sidecar) hasManyClients() bool {
	return len(s.clients.conns) > s.cfg.Limits.Sockets/s.processes/5
}

// admissionSettings are the operators' bounds, within the descriptors and the memory that there are; newcomers are client
// links that are not in the room yet.
func (s *Sidecar) admissionSettings(newcomers int) admission.Settings {
	a := s.clients.config.Settings
	a.ReservedForKnown = s.reservedClientSlots()
	// What servers hold is not there for clients.
	a.MaxConns = max(min(s.maxClients(), s.maxConns()-s.backendDescriptors()+newcomers), a.ReservedForKnown)
	if a.MaxBufferedBytes == 0 {
		a.MaxBufferedBytes = s.cfg.Limits.MemoryMB << 20 / s.processes / 4
	}
	return a
}

// serverSide is how many descriptors backend connections and to discovery hold, or may come to hold.
func (s *Sidecar) backendDescriptors() int {
	return s.descriptors.open - s.clients.admission.Len() - s.clients.admission.OverflowLen() + s.descriptors.dialing
}

// reserve is how many links are kept for known clients.
func (s *Sidecar) reservedClientSlots() int {
	if n := s.clients.config.ReservedForKnown; n > 0 {
		return n
	}
	return s.maxClients() / reservedClientDivisor
}

// accept takes a connection of a client, and tells whether it may stay. Where there is no room a link is closed for it;
// where none can be spared, its request is throttled unless enough descriptors are left.
func (s *Sidecar) acceptClient(conn netio.Conn) bool {
	now := s.now()
	front := s.frontendOf(conn)
	codec := front.NewClient()
	c := codec.Base()
	c.sidecar, c.frontend, c.codec, c.conn, c.openedAt = s, front, codec, conn, now
	s.clients.add(c)
	s.counters.AcceptedConns++
	conn.SetContext(connHandler(c))
	var verdict admission.Verdict
	bounds := s.admissionSettings(1)
	s.clients.admission.SetLimits(bounds.MaxConns, bounds.ReservedForKnown)
	c.slot, verdict = s.clients.admission.Add(now, clientAddress(conn), c)
	for checked := 0; verdict != admission.Admitted; {
		victim := s.clients.admission.VictimFor(now, c.slot, verdict)
		if victim == nil {
			break
		}
		evicted := victim.Owner.(*ClientConn)
		if evicted.mayHaveUnreadRequest() {
			if checked++; checked > maxVictimChecks {
				break
			}
			s.clients.admission.Touch(now, victim)
			continue
		}
		evicted.evict()
		verdict = admission.Admitted
	}
	switch {
	case verdict == admission.OverLimit:
		s.counters.ConnsOverCap++
		s.warnLimited("connections beyond the cap of an address or prefix are refused")
		return false
	case verdict == admission.TableFull && (s.clients.admission.OverflowLen() >= s.maxOverLimitClients() || !s.hasDescriptors(s.reservedClientSlots())):
	case s.hasDescriptors(0) || s.freeDescriptors(0):
		if verdict == admission.TableFull {
			c.isOverLimit = true
			s.clients.admission.AdmitOverflow(c.slot)
		}
		return true
	}
	// Danger: the next accept would fail for want of a descriptor, and the loop would end. Not a byte of a request has
	// been read from this link.
	s.counters.ConnsWithoutDescriptor++
	s.warnLimited("connections are refused: there is no room for them")
	s.log.Debug("client connection refused", "client", conn.RemoteAddr(), "crowded", verdict == admission.TableFull, "links", s.clients.admission.Len())
	return false
}

// frontOf returns what is spoken at the listener that has accepted a connection.
func (s *Sidecar) frontendOf(c netio.Conn) Frontend {
	if len(s.frontends) > 1 {
		if tcp, ok := c.LocalAddr().(*net.TCPAddr); ok {
			for _, f := range s.frontends[1:] {
				if a, err := netip.ParseAddrPort(f.ListenAddress()); err == nil && int(a.Port()) == tcp.Port {
					return f
				}
			}
		}
	}
	return s.frontends[0]
}

// clientAddress returns where a connection comes from.
func clientAddress(c netio.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// mayBeAsking tells whether the next request of a link that seems to have none waits in its socket.
func (c *ClientConn) mayHaveUnreadRequest() bool {
	state, _ := c.slot.State()
	return (state == admission.StateNew || state == admission.StateIdle) && !c.sidecar.net.NothingToRead(c.conn)
}

// giveUp closes a link that goes for another.
func (c *ClientConn) evict() {
	s := c.sidecar
	switch state, _ := c.slot.State(); state {
	case admission.StateReading, admission.StateWriting:
		s.counters.ConnsEvicted++
	case admission.StateNew, admission.StateIdle:
		s.counters.IdleConnsClosed++
	}
	s.warnLimited("connections that have no request out are closed to make room")
	s.log.Debug("client connection given up", "client", c.conn.RemoteAddr(), "state", c.stateName())
	s.closeConn(c.conn)
}

func (c *ClientConn) stateName() string {
	state, _ := c.slot.State()
	return state.String()
}

// short tells whether there is not enough for all: requests wait for a server, or for the sidecar itself.
func (s *Sidecar) isOverloaded() bool {
	return s.pending.queue.Len() > 0 || s.balancer.QueueLength() > 0
}
