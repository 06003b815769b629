package admission

import (
	"net/netip"

	lru "github.com/hashicorp/golang-lru/v2"
)

// lastConnsDivisor keeps the last connections for other addresses: once only a fraction of 1/lastConnsDivisor of a limit is left,
// an address that holds half of the limit gets no more.
const lastConnsDivisor = 8

// PrefixLimit limits the connections of all addresses in a prefix together.
type PrefixLimit struct {
	Prefix   netip.Prefix
	MaxConns int
}

// Settings are the limits of a ConnTable. The zero value admits no connection, since MaxConns is 0, and sets no other limit.
type Settings struct {
	MaxConns         int // overflow connections not included
	ReservedForKnown int // part of MaxConns that only known clients can use
	MaxPerAddress    int // connections of one address; 0 means no limit
	PrefixLimits     []PrefixLimit
	KnownPrefixes    []netip.Prefix // clients that are always known
	MaxBufferedBytes int            // for all connections together; 0 means no limit
}

// ConnTable holds the client connections of a sidecar and decides which of them are closed under overload. Each decision takes
// O(log n).
//
// Clients are identified by address. A known client has been served before; all others are unknown. In a flood, no property of a
// single connection distinguishes a client from an attacker. A connection is therefore closed where the most can be closed: at
// the heaviest address in the heaviest network prefix. Connections of known clients weigh less, and a part of the table is
// reserved for known clients.
type ConnTable struct {
	settings Settings
	clients  map[netip.Addr]*client // by address; each has at least one connection
	scores   *lru.TwoQueueCache[netip.Addr, float64]

	// Indexed by knownIndex: 0 for unknown clients, 1 for known ones.
	groups         [2]map[netip.Prefix]*group
	groupsByWeight [2]heap[*group]
	byState        [2][stateCount]list // connections by state, ordered by the time when they entered it

	clientsByReclaimable heap[byReclaimable] // clients with reclaimable bytes

	limitCounts   []int // number of connections by index in Settings.PrefixLimits
	conns         int   // without overflow connections
	unknownConns  int   // those of conns that belong to unknown clients
	overflowConns int
	activeConns   int
	activeClients int // clients with active connections
	bufferedBytes int
}

// NewConnTable returns an empty table.
func NewConnTable(s Settings) *ConnTable {
	scores, err := lru.New2Q[netip.Addr, float64](maxRememberedClients)
	if err != nil {
		panic(err) // not possible: the size is a positive constant
	}
	return &ConnTable{
		settings:    s,
		clients:     map[netip.Addr]*client{},
		scores:      scores,
		groups:      [2]map[netip.Prefix]*group{{}, {}},
		limitCounts: make([]int, len(s.PrefixLimits)),
	}
}

// SetLimits sets MaxConns and ReservedForKnown. It closes no connections.
func (t *ConnTable) SetLimits(maxConns, reservedForKnown int) {
	t.settings.MaxConns = maxConns
	t.settings.ReservedForKnown = reservedForKnown
}

// Len returns the number of connections, not counting overflow connections.
func (t *ConnTable) Len() int { return t.conns }

// Verdict tells whether a new connection is admitted.
type Verdict uint8

// The verdicts. A connection that is not Admitted may replace the one that VictimFor returns.
const (
	Admitted  Verdict = iota
	TableFull         // there are too many connections
	OverLimit         // its address or prefix is at its limit
)

// Add adds a new connection of an address. Whatever the verdict, the connection stays in the table until Remove is called.
func (t *ConnTable) Add(now float64, addr netip.Addr, owner any) (*Conn, Verdict) {
	c := t.clientOf(addr.Unmap())
	verdict := Admitted
	if t.isFullFor(c) {
		verdict = TableFull
	}
	if t.settings.MaxPerAddress > 0 && c.conns >= t.settings.MaxPerAddress {
		verdict = OverLimit
	}
	for _, i := range c.limits {
		if t.limitCounts[i] >= t.settings.PrefixLimits[i].MaxConns {
			verdict = OverLimit
		}
		t.limitCounts[i]++
	}
	conn := &Conn{Owner: owner, client: c, since: now}
	c.conns++
	t.conns++
	if !c.isKnown {
		t.unknownConns++
	}
	t.enterState(conn, StateNew, now)
	return conn, verdict
}

// isFullFor returns whether there is no room for one more connection of a client. For an unknown client, it checks the whole
// table or the part that is not reserved, whichever has less room.
func (t *ConnTable) isFullFor(c *client) bool {
	limit, used := t.settings.MaxConns, t.conns
	unreserved := t.settings.MaxConns - t.settings.ReservedForKnown
	if !c.isKnown && limit-used > unreserved-t.unknownConns {
		limit, used = unreserved, t.unknownConns
	}
	return used >= limit || used >= limit-limit/lastConnsDivisor && 2*c.conns >= limit
}

// AdmitOverflow keeps a new connection that was not admitted, so that its client can get an error answer. It no longer counts
// against MaxConns; the caller must bound the number of such connections by OverflowLen.
func (t *ConnTable) AdmitOverflow(conn *Conn) {
	conn.isOverflow = true
	t.conns--
	if !conn.client.isKnown {
		t.unknownConns--
	}
	t.overflowConns++
}

// OverflowLen returns the number of overflow connections.
func (t *ConnTable) OverflowLen() int { return t.overflowConns }

// Touch makes a connection count as one that has just entered its state. It is used when the next request of the connection waits
// in its socket.
func (t *ConnTable) Touch(now float64, conn *Conn) {
	t.leaveState(conn)
	t.enterState(conn, conn.state, now)
}

// SetState changes the state of a connection.
func (t *ConnTable) SetState(now float64, conn *Conn, s State) {
	if conn.state != s {
		t.leaveState(conn)
		t.enterState(conn, s, now)
	}
}

// Remove removes a connection.
func (t *ConnTable) Remove(conn *Conn) {
	c := conn.client
	t.SetBufferedBytes(conn, 0)
	t.leaveState(conn)
	c.conns--
	if conn.isOverflow {
		t.overflowConns--
	} else {
		t.conns--
		if !c.isKnown {
			t.unknownConns--
		}
	}
	for _, i := range c.limits {
		t.limitCounts[i]--
	}
	if c.conns == 0 {
		delete(t.clients, c.addr)
		t.leaveGroup(c)
	}
}

// Each calls f for each connection in a state: first those of unknown clients, then those of known ones, each ordered by the time
// when they entered the state. f may remove the connection that it is given.
func (t *ConnTable) Each(s State, f func(*Conn)) {
	for i := range t.byState {
		for conn := t.byState[i][s].first; conn != nil; {
			next := conn.links[tableList].next
			f(conn)
			conn = next
		}
	}
}

// Oldest returns the connection that has been in a state for the longest time, or nil if none is in it.
func (t *ConnTable) Oldest(s State) *Conn {
	unknown, known := t.byState[0][s].first, t.byState[1][s].first
	if unknown == nil || known != nil && known.since < unknown.since {
		return known
	}
	return unknown
}

// enterState puts a connection that is in no state into one.
func (t *ConnTable) enterState(conn *Conn, s State, now float64) {
	c := conn.client
	conn.state = s
	conn.since = now
	t.byState[knownIndex(c.isKnown)][s].append(conn)
	c.byState[s].append(conn)
	if s == StateActive {
		t.activeConns++
		if c.byState[StateActive].length == 1 {
			t.activeClients++
		}
	} else {
		c.reclaimableConns++
	}
	if conn.isBufferReclaimable() {
		t.addReclaimable(c, conn.bufferedBytes)
	}
	t.updateWeight(c)
}

// leaveState takes a connection out of its state.
func (t *ConnTable) leaveState(conn *Conn) {
	c := conn.client
	t.byState[knownIndex(c.isKnown)][conn.state].remove(conn)
	c.byState[conn.state].remove(conn)
	if conn.state == StateActive {
		t.activeConns--
		if c.byState[StateActive].length == 0 {
			t.activeClients--
		}
	} else {
		c.reclaimableConns--
	}
	if conn.isBufferReclaimable() {
		t.addReclaimable(c, -conn.bufferedBytes)
	}
	t.updateWeight(c)
}
