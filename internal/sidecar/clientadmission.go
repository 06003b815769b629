package sidecar

import (
	"net"
	"net/netip"

	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/netio"
)

// backendHeadroom is the number of descriptors that must be left for backend connections for a request to be admitted on a client
// connection beyond the limit.
const backendHeadroom = 16

// maxClients returns the limit on client connections that leaves enough descriptors for backend connections.
func (s *Sidecar) maxClients() int { return s.maxConns() * 3 / 4 }

// maxOverLimitClients returns how many connections beyond the limit are accepted, so that their requests are throttled instead of the
// connections being closed. The number is small, since each uses a descriptor that an attempt may need.
func (s *Sidecar) maxOverLimitClients() int { return s.maxConns() / 16 }

// hasManyClients reports whether there are so many client connections that idle ones are not kept; each response is then the last on its
// connection. Clients that keep connections after one request would use up all that the application may open, long before the sidecar runs
// out of descriptors, and other requests of the application would find no connection.
func (s *Sidecar) hasManyClients() bool {
	return len(s.clients.conns) > s.cfg.Limits.Sockets/s.processes/5
}

// admissionSettings returns the configured limits, bounded by the available descriptors and memory. newConns is the number of client
// connections that are open but not in the admission table yet.
func (s *Sidecar) admissionSettings(newConns int) admission.Settings {
	a := s.clients.config.Settings
	a.ReservedForKnown = s.reservedClientSlots()
	// Descriptors that backend connections use are not available for clients.
	a.MaxConns = max(min(s.maxClients(), s.maxConns()-s.backendDescriptors()+newConns), a.ReservedForKnown)
	if a.MaxBufferedBytes == 0 {
		a.MaxBufferedBytes = s.cfg.Limits.MemoryMB << 20 / s.processes / 4
	}
	return a
}

// backendDescriptors returns how many descriptors connections to servers and to discovery use, including those being dialed.
func (s *Sidecar) backendDescriptors() int {
	return s.descriptors.open - s.clients.admission.Len() - s.clients.admission.OverflowLen() + s.descriptors.dialing
}

// reservedClientSlots returns how many connections are reserved for known clients.
func (s *Sidecar) reservedClientSlots() int {
	if n := s.clients.config.ReservedForKnown; n > 0 {
		return n
	}
	return s.maxClients() / reservedClientDivisor
}

// acceptClient accepts a client connection, and reports whether it is kept. At the limit another connection is evicted. If none can be, the
// connection is kept only to throttle its request, provided that enough descriptors are left.
func (s *Sidecar) acceptClient(conn netio.Conn) bool {
	now := s.now()
	frontend := s.frontendOf(conn)
	codec := frontend.NewClient()
	c := codec.Base()
	c.sidecar, c.frontend, c.codec, c.conn, c.openedAt = s, frontend, codec, conn, now
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
		s.warnLimited("connections rejected: cap of an address or prefix reached")
		return false
	case verdict == admission.TableFull && (s.clients.admission.OverflowLen() >= s.maxOverLimitClients() || !s.hasDescriptors(s.reservedClientSlots())):
	case s.hasDescriptors(0) || s.freeDescriptors(0):
		if verdict == admission.TableFull {
			c.isOverLimit = true
			s.clients.admission.AdmitOverflow(c.slot)
		}
		return true
	}
	// Without a free descriptor the next accept would fail and end the event loop. Closing this connection is safe, since nothing has been
	// read from it.
	s.counters.ConnsWithoutDescriptor++
	s.warnLimited("connections rejected: no capacity")
	s.log.Debug("client connection rejected", "client", conn.RemoteAddr(), "table_full", verdict == admission.TableFull, "connections", s.clients.admission.Len())
	return false
}

// frontendOf returns the frontend whose listener accepted a connection.
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

// clientAddress returns the remote address of a connection, the zero Addr if it has none.
func clientAddress(c netio.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// mayHaveUnreadRequest reports whether a connection that seems idle has unread data in its socket.
func (c *ClientConn) mayHaveUnreadRequest() bool {
	state, _ := c.slot.State()
	return (state == admission.StateNew || state == admission.StateIdle) && !c.sidecar.net.NothingToRead(c.conn)
}

// evict closes a connection to make room for another.
func (c *ClientConn) evict() {
	s := c.sidecar
	switch state, _ := c.slot.State(); state {
	case admission.StateReading, admission.StateWriting:
		s.counters.ConnsEvicted++
	case admission.StateNew, admission.StateIdle:
		s.counters.IdleConnsClosed++
	}
	s.warnLimited("connections without an open request evicted")
	s.log.Debug("client connection evicted", "client", c.conn.RemoteAddr(), "state", c.stateName())
	s.closeConn(c.conn)
}

func (c *ClientConn) stateName() string {
	state, _ := c.slot.State()
	return state.String()
}

// isOverloaded reports whether requests are queued, in the sidecar or in the policy.
func (s *Sidecar) isOverloaded() bool {
	return s.pending.queue.Len() > 0 || s.balancer.QueueLength() > 0
}
