package sidecar

const (
	// freshS is how long a new link is taken to be about to carry its first request. Whether that waits in the
	// socket is looked at, too.
	freshS = 0.01
	// silentS after it was opened a link that has said nothing is closed.
	silentS = 2.2
	// briefS is how long links rest undisturbed, however many there are, and restS while there are not too many.
	briefS = 0.1
	restS  = 2.0
	// sweepEveryS is the time between two looks for such links.
	sweepEveryS = 0.2
)

// serverRoom descriptors are kept from clients when a request comes over a link that is beyond mostClients.
const serverRoom = 16

// mostClients is how many client links leave enough descriptors for the servers.
func (s *Sidecar) mostClients() int { return s.mostLinks() * 3 / 4 }

// crowded tells whether client links are so many that none is kept for its own sake. Danger: clients that ask once and
// stay come to hold all the connections that the application may have, long before the descriptors here run out; its
// other requests then find none. So from there on an answer is the last on its link.
func (s *Sidecar) crowded() bool { return len(s.clients) > s.cfg.Limits.Sockets/5 }

// clientRoom tells whether there is room for one more client link. Where there is none a link is closed for it;
// where none can be spared, the newcomer's request is throttled unless enough descriptors are left.
func (s *Sidecar) clientRoom() bool {
	for now := s.now(); len(s.clients) >= s.mostClients(); {
		var spare *clientLink
		var worth int
		var since float64
		for _, l := range s.clients {
			if w, at := l.spare(now); w > 0 && (spare == nil || w < worth || w == worth && at < since) {
				spare, worth, since = l, w, at
			}
		}
		if spare == nil {
			return false
		}
		spare.retire()
	}
	return true
}

// spare tells how hard it is to do without a link, from 1; 0: it can't be spared; and since when it could be.
// Danger: floods of links that say nothing must not cost the clients that ask theirs; so what has never carried a
// request goes first, but for one so new that its first request is on the way.
func (l *clientLink) spare(now float64) (worth int, since float64) {
	switch {
	case l.shut && l.shutAt < now-freshS:
		return 1, l.shutAt
	case !l.idle():
		return 0, 0
	case l.restedAt > 0 && l.restedAt < now-briefS:
		return 2, l.restedAt // the clients that ask once and stay are more than there is room for
	case l.restedAt == 0 && l.openedAt < now-freshS:
		return 1, l.openedAt
	}
	return 0, 0
}

// retire closes a link that is of no more use, unless a request waits in its socket.
func (l *clientLink) retire() {
	if !l.shut && !l.s.net.Quiet(l.conn) {
		l.openedAt, l.restedAt = l.s.now(), 0 // as one whose first request is on the way
		return
	}
	if !l.shut {
		l.s.counters.Retired++
	}
	l.s.closeConn(l.conn)
}

// sweep closes links that have never said anything, and where links are many also those that rest.
func (s *Sidecar) sweep() {
	now, many := s.now(), s.crowded()
	for i := len(s.clients) - 1; i >= 0; i-- { // Danger: a link that goes leaves its place to the last one
		l := s.clients[i]
		silent := l.restedAt == 0 && l.openedAt < now-silentS
		if l.idle() && (silent || many && l.restedAt > 0 && l.restedAt < now-restS) {
			l.retire()
		}
	}
	s.timers.at(now+sweepEveryS, s.sweep)
}
