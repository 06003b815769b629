package admission

// Grace periods: how long a connection must have been in its state before it can be closed for a new one. They give the first
// request of a new connection, or the rest of a request, time to arrive.
const (
	newGraceSeconds      = 0.01
	transferGraceSeconds = 0.1 // in StateReading and StateWriting
	idleGraceSeconds     = 0.1
	// lightClientGraceSeconds is the least grace period, except in StateIdle, of known clients and of clients with less connection
	// weight than the new connection's client.
	lightClientGraceSeconds = 1.0
)

// minCrowdedGroupWeight is the least weight of a crowded group. Any connection of such a group without a request in flight can be
// closed for a client of a lighter group, even within the grace period.
const minCrowdedGroupWeight = 4.0

// VictimFor returns the connection to be closed for a new one that was not admitted. It returns nil if the new one must be
// refused, because all others have requests in flight, are within their grace period or belong to lighter clients. At OverLimit
// only a connection of the same client can be closed.
func (t *ConnTable) VictimFor(now float64, newcomer *Conn, v Verdict) *Conn {
	if v == OverLimit {
		return t.victimOf(now, newcomer.client, newcomer.client, true, newcomer)
	}
	return t.victimFor(now, newcomer.client, newcomer)
}

// LeastNeeded returns the connection to be closed first when there are too many, or nil if all have requests in flight or are
// within their grace period.
func (t *ConnTable) LeastNeeded(now float64) *Conn { return t.victimFor(now, nil, nil) }

// victimFor returns the connection, other than except, to be closed for one of newClient, which may be nil. It tries, in this
// order: a connection that is closing already; one of the client with the most reclaimable connections in the heaviest group; any
// connection beyond its grace period; and, for a new connection, any of an unknown client.
//
// Whatever the connections of a flood look like, the flood must lose its own connections before those of anyone else.
func (t *ConnTable) victimFor(now float64, newClient *client, except *Conn) *Conn {
	// If unknown clients have used up the unreserved connections, an unknown client can only replace a connection of another
	// unknown client.
	onlyUnknown := newClient != nil && !newClient.isKnown && t.unknownConns >= t.settings.MaxConns-t.settings.ReservedForKnown
	if conn := t.closingVictim(now, onlyUnknown); conn != nil {
		return conn
	}
	heaviest := t.heaviestClient(onlyUnknown)
	if heaviest == nil {
		return nil
	}
	if conn := t.victimOf(now, heaviest, newClient, ignoresGrace(heaviest, newClient), except); conn != nil {
		return conn
	}
	if conn := t.graceVictim(now, newClient, onlyUnknown, except); conn != nil {
		return conn
	}
	if newClient == nil {
		return nil
	}
	return t.unknownVictim(now, newClient, except)
}

// closingVictim returns a connection that only waits for its client to close.
func (t *ConnTable) closingVictim(now float64, onlyUnknown bool) *Conn {
	for i := range t.byState {
		conn := t.byState[i][StateClosing].first
		if conn != nil && conn.since < now-newGraceSeconds && (i == 0 || !onlyUnknown) {
			return conn
		}
	}
	return nil
}

// ignoresGrace returns whether connections of the heaviest client can be closed for a new client within their grace period. They
// can if both are the same client and it is unknown, or if the heaviest client, or its group, is heavier than the new one.
func ignoresGrace(heaviest, newClient *client) bool {
	if newClient == nil {
		return false
	}
	if heaviest == newClient {
		return !newClient.isKnown
	}
	return heaviest.connWeight() > newClient.connWeight() ||
		heaviest.group.weight >= minCrowdedGroupWeight && newClient.group.weight < heaviest.group.weight
}

// graceVictim returns a connection of any client that is beyond its grace period. Those of the heaviest client may all be within
// it while other connections have long been unused. Idle connections of known clients are not closed for an unknown client.
func (t *ConnTable) graceVictim(now float64, newClient *client, onlyUnknown bool, except *Conn) *Conn {
	for i := range t.byState {
		for _, s := range [...]State{StateNew, StateReading, StateWriting, StateIdle} {
			conn := t.byState[i][s].first
			allowed := i == 0 || !onlyUnknown && (s != StateIdle || newClient == nil || newClient.isKnown)
			if conn != nil && conn != except && conn.since < now-conn.grace(newClient) && allowed {
				return conn
			}
		}
	}
	return nil
}

// unknownVictim returns the oldest connection without a request in flight of an unknown client with at least as many connections
// as the new client. Without it, a flood from thousands of networks that is faster than any grace period would shut out every new
// client.
func (t *ConnTable) unknownVictim(now float64, newClient *client, except *Conn) *Conn {
	for _, s := range [...]State{StateClosing, StateNew, StateReading, StateIdle, StateWriting} {
		conn := t.byState[0][s].first
		if conn != nil && conn != except && conn.since < now && conn.client.conns >= newClient.conns {
			return conn
		}
	}
	return nil
}

// heaviestClient returns the client with the most reclaimable connections in the heaviest group, or nil if no connection is
// reclaimable.
func (t *ConnTable) heaviestClient(onlyUnknown bool) (heaviest *client) {
	for known, groups := range t.groupsByWeight {
		if groups.len() == 0 || onlyUnknown && known == 1 {
			continue
		}
		g := groups.first()
		c := g.clients.first()
		if c.reclaimableWeight() > 0 && (heaviest == nil || g.weight > heaviest.group.weight) {
			heaviest = c
		}
	}
	return heaviest
}

// victimOf returns the connection of client c, other than except, to be closed for one of newClient: one beyond its grace period
// or, with ignoreGrace, any without a request in flight.
func (t *ConnTable) victimOf(now float64, c, newClient *client, ignoreGrace bool, except *Conn) *Conn {
	order := [...]State{StateClosing, StateNew, StateReading, StateWriting, StateIdle}
	for _, s := range order {
		conn := c.byState[s].first
		if conn != nil && conn != except && conn.since < now-conn.grace(newClient) {
			return conn
		}
	}
	if !ignoreGrace {
		return nil
	}
	for _, s := range order {
		conn := c.byState[s].first
		if conn != nil && conn != except {
			return conn
		}
	}
	return nil
}

// grace returns for how many seconds the connection must have been in its state before it can be closed for one of newClient,
// which may be nil. Known clients, and clients with less connection weight than newClient, get more time, since they may be slow
// or on a slow network.
func (c *Conn) grace(newClient *client) float64 {
	graceSeconds := newGraceSeconds
	switch c.state {
	case StateReading, StateWriting:
		graceSeconds = transferGraceSeconds
	case StateIdle:
		return idleGraceSeconds
	}
	isLighter := newClient != nil && newClient != c.client && newClient.connWeight() > c.client.connWeight()
	if c.client.isKnown || isLighter {
		graceSeconds = max(graceSeconds, lightClientGraceSeconds)
	}
	return graceSeconds
}
