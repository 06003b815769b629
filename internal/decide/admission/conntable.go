package admission

import (
	"net/netip"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// knownDiscount is what a link of a known address weighs beside a stranger's.
	knownDiscount = 0.25
	// knownAfter requests that ran whole make an address known; each of its links that wasted room takes back wasteCost,
	// and no more than mostScore are remembered.
	knownAfter = 2
	wasteCost  = 2
	mostScore  = 64
	// mostKnown addresses are remembered. The memory keeps those that come again before those that came once, so a flood
	// of addresses that each ask once does not push out who asks all day.
	mostKnown = 4096
	// A client is greedy that has greedyTimes as many requests out as the others on average, and freeRequests more.
	greedyTimes  = 2.0
	freeRequests = 4.0
	// lastPart is the part of all places, or of those for strangers, that no address gets which holds half of them.
	lastPart = 8
	// fullPart of all that is held is a good part, the other way round.
	fullPart = 4
	// manyFree links that are owed nothing in one prefix are enough to take any of them for a newcomer.
	manyFree = 4.0
)

// Cap bounds the links of all addresses in a prefix together.
type PrefixLimit struct {
	Prefix   netip.Prefix
	MaxConns int
}

// Settings are the bounds of a Room. The zero value has none but Most.
type Settings struct {
	MaxConns         int // links in all
	ReservedForKnown int // of these, for known clients alone
	MaxPerAddress    int // links of one address; 0: any number
	PrefixLimits     []PrefixLimit
	KnownPrefixes    []netip.Prefix // clients that are known from the start
	MaxBufferedBytes int            // that links may hold together and the socket can't; 0: any number
}

// Room holds the links of clients. All its decisions cost O(log n).
type ConnTable struct {
	s       Settings
	clients map[netip.Addr]*address
	groups  [2]map[netip.Prefix]*group // of strangers and of the known
	heavy   [2]heap[*group]
	all     [2][states]list // the links of strangers and of the known by state, the longest in it first
	fat     heap[fatness]   // addresses whose links hold something and are owed nothing
	scores  *lru.TwoQueueCache[netip.Addr, float64]
	caps    []int // links within each of Settings.Caps
	links   int
	strange int // of these, of strangers
	beyond  int // links that take no place
	asking  int
	askers  int // addresses with requests out
	bytes   int
}

// NewRoom returns an empty room.
func NewConnTable(s Settings) *ConnTable {
	scores, err := lru.New2Q[netip.Addr, float64](mostKnown)
	if err != nil {
		panic(err) // the size is a constant above 0
	}
	return &ConnTable{s: s, clients: map[netip.Addr]*address{}, scores: scores, caps: make([]int, len(s.PrefixLimits)),
		groups: [2]map[netip.Prefix]*group{{}, {}}}
}

// Resize changes how many links there may be, and of these for known clients alone. Who is there stays.
func (r *ConnTable) SetLimits(most, reserve int) { r.s.MaxConns, r.s.ReservedForKnown = most, reserve }

// Len returns how many links there are.
func (r *ConnTable) Len() int { return r.links }

// Verdict says what a newcomer finds.
type Verdict uint8

// The verdicts. What is not Admitted can be once Victim has named a link that goes for it.
const (
	Admitted  Verdict = iota
	TableFull         // there are too many links
	OverLimit         // its address or prefix has its cap
)

// Open takes a link of an address that has just come up. Whatever the verdict it is in the room, until Close.
func (r *ConnTable) Add(now float64, addr netip.Addr, owner any) (*Conn, Verdict) {
	a := r.address(addr.Unmap())
	v := Admitted
	// The last places are for the known; and the last of these, as those of the strangers, not for one who holds half of
	// them already.
	room, held := r.s.MaxConns, r.links
	if strangers := r.s.MaxConns - r.s.ReservedForKnown; !a.known && room-held > strangers-r.strange {
		room, held = strangers, r.strange
	}
	if held >= room || held >= room-room/lastPart && 2*a.links >= room {
		v = TableFull
	}
	if r.s.MaxPerAddress > 0 && a.links >= r.s.MaxPerAddress {
		v = OverLimit
	}
	for _, i := range a.caps {
		if r.caps[i] >= r.s.PrefixLimits[i].MaxConns {
			v = OverLimit
		}
		r.caps[i]++
	}
	l := &Conn{Owner: owner, client: a, since: now}
	a.links++
	r.links++
	if !a.known {
		r.strange++
	}
	r.enter(l, StateNew, now)
	return l, v
}

// Beyond has a newcomer stay that found no room, for a word to its client. It takes no place; how many there may be is the
// caller's matter.
func (r *ConnTable) AdmitOverflow(l *Conn) {
	l.beyond = true
	r.links--
	if !l.client.known {
		r.strange--
	}
	r.beyond++
}

// BeyondLen returns how many links are beyond.
func (r *ConnTable) OverflowLen() int { return r.beyond }

// Renew has a link count as one that has just come into its state: its next request waits in its socket.
func (r *ConnTable) Touch(now float64, l *Conn) {
	r.leave(l)
	r.enter(l, l.state, now)
}

// Move notes what a link does from now on.
func (r *ConnTable) SetState(now float64, l *Conn, s State) {
	if l.state != s {
		r.leave(l)
		r.enter(l, s, now)
	}
}

// Close takes a link out.
func (r *ConnTable) Remove(l *Conn) {
	a := l.client
	r.SetBufferedBytes(l, 0)
	r.leave(l)
	a.links--
	if l.beyond {
		r.beyond--
	} else if r.links--; !a.known {
		r.strange--
	}
	for _, i := range a.caps {
		r.caps[i]--
	}
	if a.links == 0 {
		delete(r.clients, a.addr)
		r.ungroup(a)
	}
}

// Each calls f with the links in a state, the longest in it first. f may close the link that it is given.
func (r *ConnTable) Each(s State, f func(*Conn)) {
	for i := range r.all {
		for l := r.all[i][s].first; l != nil; {
			next := l.hooks[ofRoom].after
			f(l)
			l = next
		}
	}
}

// Oldest returns the link that has been longest in a state, nil if none is in it.
func (r *ConnTable) Oldest(s State) *Conn {
	x, y := r.all[0][s].first, r.all[1][s].first
	if x == nil || y != nil && y.since < x.since {
		return y
	}
	return x
}

// enter puts a link into a state.
func (r *ConnTable) enter(l *Conn, s State, now float64) {
	a := l.client
	l.state, l.since = s, now
	r.all[tree(a.known)][s].put(l)
	if a.own[s].put(l); s != StateActive {
		a.free++
	} else if r.asking++; a.own[StateActive].n == 1 {
		r.askers++
	}
	if l.owedNothing() {
		r.fatten(a, l.bytes)
	}
	r.reweigh(a)
}

// leave takes a link out of its state.
func (r *ConnTable) leave(l *Conn) {
	a := l.client
	r.all[tree(a.known)][l.state].drop(l)
	if a.own[l.state].drop(l); l.state != StateActive {
		a.free--
	} else if r.asking--; a.own[StateActive].n == 0 {
		r.askers--
	}
	if l.owedNothing() {
		r.fatten(a, -l.bytes)
	}
	r.reweigh(a)
}
