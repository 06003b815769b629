package admission

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
)

const (
	// knownClientWeight is the weight of a connection of a known client; that of an unknown client has weight 1.
	knownClientWeight = 0.25
	// knownScore is the lowest score of a known client. Each served request adds 1.
	knownScore = 2
	// wastePenalty is subtracted from the score for each wasted connection (see RecordWasted).
	wastePenalty = 2
	// maxScore bounds the score, and with it the number of connections that a client can waste before it becomes unknown again.
	maxScore = 64
	// maxRememberedClients is how many scores are remembered. The 2Q cache evicts addresses that were seen once before those that
	// come back, so a flood from many addresses with one request each does not evict regular clients.
	maxRememberedClients = 4096
	// A client exceeds its fair share if its number of active connections reaches fairShareMultiple times the mean of the other
	// clients, plus fairShareAllowance.
	fairShareMultiple  = 2.0
	fairShareAllowance = 4.0
)

// client is the state of an address that has at least one connection.
type client struct {
	addr              netip.Addr
	isKnown           bool
	isKnownBySettings bool
	conns             int
	reclaimableConns  int // those of conns that have no request in flight
	byState           [stateCount]list
	limits            []int // indices in Settings.PrefixLimits

	group         *group
	countedWeight float64 // the part of group.weight that is this client's
	heapIndex     int     // index in group.clients plus 1; 0 if not in it

	bufferedBytes    int
	reclaimableBytes int // those of bufferedBytes that closing connections could free
	bytesHeapIndex   int // index in ConnTable.clientsByReclaimable plus 1; 0 if not in it
}

// Client describes the connections of an address to operators.
type Client struct {
	Address       string         `json:"address"`
	IsKnown       bool           `json:"known"`
	Conns         int            `json:"links"`
	States        map[string]int `json:"states"`
	BufferedBytes int            `json:"bytes"`
}

// Clients returns at most maxShown clients, those with the most connections first, and the total number of clients.
func (t *ConnTable) Clients(maxShown int) (shown []Client, all int) {
	list := slices.SortedFunc(maps.Values(t.clients), func(x, y *client) int {
		return cmp.Or(cmp.Compare(y.conns, x.conns), x.addr.Compare(y.addr))
	})
	for _, c := range list[:min(maxShown, len(list))] {
		view := Client{Address: c.addr.String(), IsKnown: c.isKnown, Conns: c.conns, States: map[string]int{}}
		for s := range stateCount {
			if n := c.byState[s].length; n > 0 {
				view.States[s.String()] = n
			}
			for conn := c.byState[s].first; conn != nil; conn = conn.links[clientList].next {
				view.BufferedBytes += conn.bufferedBytes
			}
		}
		shown = append(shown, view)
	}
	return shown, len(list)
}

// RecordServed records that a request of a connection was served completely. The client is known once its score reaches
// knownScore.
func (t *ConnTable) RecordServed(conn *Conn) {
	score, _ := t.scores.Get(conn.client.addr)
	t.setScore(conn.client, min(score+1, maxScore))
}

// RecordWasted records that a connection was closed before a request had been received completely or an answer had been read.
func (t *ConnTable) RecordWasted(conn *Conn) {
	if score, ok := t.scores.Peek(conn.client.addr); ok {
		t.setScore(conn.client, max(score-wastePenalty, 0))
	}
}

// ExceedsFairShare returns whether a connection's client has many more active connections than the other clients on average. When
// requests must be rejected, those of such clients are rejected first. A known client may have more active connections.
func (t *ConnTable) ExceedsFairShare(conn *Conn) bool {
	own := conn.client.byState[StateActive].length
	others := t.activeClients
	if own > 0 {
		others--
	}
	if others == 0 {
		return false
	}
	fair := fairShareAllowance + fairShareMultiple*float64(t.activeConns-own)/float64(others)
	if conn.client.isKnown {
		fair /= knownClientWeight
	}
	return float64(own) >= fair
}

// clientOf returns the client of an address. It creates the client if the address has no connections.
func (t *ConnTable) clientOf(addr netip.Addr) *client {
	if c := t.clients[addr]; c != nil {
		return c
	}
	c := &client{addr: addr}
	for i := range c.byState {
		c.byState[i].linksIndex = clientList
	}
	for _, prefix := range t.settings.KnownPrefixes {
		c.isKnownBySettings = c.isKnownBySettings || prefix.Contains(addr)
	}
	score, _ := t.scores.Peek(addr)
	c.isKnown = c.isKnownBySettings || score >= knownScore
	for i, limit := range t.settings.PrefixLimits {
		if limit.Prefix.Contains(addr) {
			c.limits = append(c.limits, i)
		}
	}
	t.clients[addr] = c
	t.joinGroup(c)
	return c
}

// setScore stores the score of a client's address and, if needed, moves the client between the known and the unknown ones.
func (t *ConnTable) setScore(c *client, score float64) {
	t.scores.Add(c.addr, score)
	isKnown := c.isKnownBySettings || score >= knownScore
	if isKnown == c.isKnown {
		return
	}
	t.leaveGroup(c)
	overflow := 0
	for s := range stateCount {
		for conn := c.byState[s].first; conn != nil; conn = conn.links[clientList].next {
			t.byState[knownIndex(c.isKnown)][s].remove(conn)
			t.byState[knownIndex(isKnown)][s].insertBySince(conn)
			if conn.isOverflow {
				overflow++
			}
		}
	}
	c.isKnown = isKnown
	if isKnown {
		t.unknownConns -= c.conns - overflow
	} else {
		t.unknownConns += c.conns - overflow
	}
	t.joinGroup(c)
}

// connWeight returns the total weight of a client's connections.
func (c *client) connWeight() float64 {
	if c.isKnown {
		return float64(c.conns) * knownClientWeight
	}
	return float64(c.conns)
}

// reclaimableWeight returns the total weight of a client's connections without a request in flight.
func (c *client) reclaimableWeight() float64 {
	weight := float64(c.reclaimableConns)
	if c.isKnown {
		weight *= knownClientWeight
	}
	return weight
}
