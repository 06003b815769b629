package admission

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	lru "github.com/hashicorp/golang-lru/v2"
)

// State is what a client link is doing.
type State uint8

// The states. Asking links are owed an answer and are never given up.
const (
	StateNew     State = iota // nothing has come on it
	StateReading              // a part of a request has come
	StateActive               // a request is out
	StateWriting              // an answer is written, and the socket does not take it
	StateIdle                 // it has carried a request, and nothing is under way
	StateClosing              // its last answer is written; it is read until the client closes
	states
)

// String names a state.
func (s State) String() string {
	return [...]string{"silent", "partial", "asking", "unread", "resting", "ending"}[s]
}

// How long a link may be in a state before it can be given up for a newcomer, in seconds. Danger: the first request of a
// link that has just come up is on its way, and so is the rest of one that has begun to come.
const (
	silentGrace = 0.01
	partGrace   = 0.1
	restGrace   = 0.1
	modestGrace = 1.0
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

// groupBits are how many bits of an address a group of neighbours shares: a site's network has many addresses of IPv4,
// and a single host of IPv6 has all of its own.
const (
	groupBits4 = 24
	groupBits6 = 64
)

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

// Link is a client link in a Room.
type Conn struct {
	Owner any // whose it is; the Room passes it on

	client *address
	state  State
	since  float64
	bytes  int
	beyond bool    // it takes no place
	hooks  [2]hook // in the lists of the Room and of its address
}

// address is what is known of a client's address.
type address struct {
	addr     netip.Addr
	known    bool
	settings bool // known by the settings
	in       *group
	counted  float64 // its weight in the group's
	place    int     // in group.clients, from 1
	links    int
	free     int // of these, that are owed nothing
	own      [states]list
	caps     []int // places in Room.caps
	held     int   // bytes of its links
	fat      int   // of these, of links that are owed nothing
	fatPlace int   // in Room.fat, from 1
}

// group is a prefix with its addresses that are known, or those that are not.
type group struct {
	prefix  netip.Prefix
	known   bool
	clients heap[*address]
	weight  float64
	place   int // in Room.heavy, from 1
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

// Victim returns the link that goes for a newcomer, nil if none does: each is worth as much, owed something, or about to
// ask. One that has its cap may only put its own links in place of each other.
func (r *ConnTable) VictimFor(now float64, newcomer *Conn, v Verdict) *Conn {
	if v == OverLimit {
		return r.sparable(now, newcomer.client, newcomer.client, true, newcomer)
	}
	return r.victim(now, newcomer.client, newcomer)
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

// Spare returns the link that is missed least, nil if each is owed something or about to ask.
func (r *ConnTable) LeastNeeded(now float64) *Conn { return r.victim(now, nil, nil) }

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

// Hold notes how many bytes a link holds that have come and are no request yet, or are written and not sent.
func (r *ConnTable) SetBufferedBytes(l *Conn, bytes int) {
	r.bytes += bytes - l.bytes
	l.client.held += bytes - l.bytes
	if l.owedNothing() {
		r.fatten(l.client, bytes-l.bytes)
	}
	l.bytes = bytes
}

// owedNothing tells whether what a link holds is no request that is out.
func (l *Conn) owedNothing() bool { return l.state == StateReading || l.state == StateWriting }

// fatten notes a change of what an address's links hold that are owed nothing.
func (r *ConnTable) fatten(a *address, bytes int) {
	if a.fat += bytes; a.fat > 0 {
		r.fat.put(fatness{a})
	} else {
		r.fat.drop(fatness{a})
	}
}

// Heavy returns the link to be closed since all together hold too much: of the address whose links that are owed nothing
// hold most, the one that has been longest in its state, or holds more. Nil: they do not, or none is owed nothing.
func (r *ConnTable) BufferVictim() *Conn {
	if r.s.MaxBufferedBytes == 0 || r.bytes <= r.s.MaxBufferedBytes || r.fat.len() == 0 {
		return nil
	}
	a := r.fat.first()
	part, unread := a.own[StateReading].first, a.own[StateWriting].first
	if part == nil || unread != nil && unread.bytes > part.bytes {
		return unread
	}
	return part
}

// Full tells whether links hold so much that no new request of a link should be taken up: its client holds a good part of
// all, or all hold far too much.
func (r *ConnTable) IsOverBufferBudget(l *Conn) bool {
	return r.s.MaxBufferedBytes > 0 && r.bytes > r.s.MaxBufferedBytes && (fullPart*l.client.held >= r.bytes || r.bytes > 2*r.s.MaxBufferedBytes)
}

// Served notes that a request of a link has run whole.
func (r *ConnTable) RecordServed(l *Conn) {
	score, _ := r.scores.Get(l.client.addr)
	r.score(l.client, min(score+1, mostScore))
}

// Wasted notes that a link had to go without a request having come whole, or an answer having been read.
func (r *ConnTable) RecordWasted(l *Conn) {
	if score, ok := r.scores.Peek(l.client.addr); ok {
		r.score(l.client, max(score-wasteCost, 0))
	}
}

// Client is what one address holds.
type Client struct {
	Address       string         `json:"address"`
	IsKnown       bool           `json:"known"`
	Conns         int            `json:"links"`
	States        map[string]int `json:"states"`
	BufferedBytes int            `json:"bytes"`
}

// Clients tells who holds what, those with most links first: at most so many addresses, and how many there are.
func (r *ConnTable) Clients(most int) (shown []Client, all int) {
	list := slices.SortedFunc(maps.Values(r.clients), func(x, y *address) int {
		return cmp.Or(cmp.Compare(y.links, x.links), x.addr.Compare(y.addr))
	})
	for _, a := range list[:min(most, len(list))] {
		c := Client{Address: a.addr.String(), IsKnown: a.known, Conns: a.links, States: map[string]int{}}
		for s := range states {
			if a.own[s].n > 0 {
				c.States[s.String()] = a.own[s].n
			}
			for l := a.own[s].first; l != nil; l = l.hooks[ofAddress].after {
				c.BufferedBytes += l.bytes
			}
		}
		shown = append(shown, c)
	}
	return shown, len(list)
}

// Known tells whether a link's client is known.
func (l *Conn) IsKnown() bool { return l.client.known }

// State returns what a link does, and since when.
func (l *Conn) State() (State, float64) { return l.state, l.since }

// Greedy tells whether the client of a link has clearly more requests out than its fair part of all. It says who goes
// first when there is not enough for all.
func (r *ConnTable) ExceedsFairShare(l *Conn) bool {
	a, own := l.client, l.client.own[StateActive].n
	others := r.askers
	if own > 0 {
		others--
	}
	if others == 0 {
		return false
	}
	fair := freeRequests + greedyTimes*float64(r.asking-own)/float64(others)
	if a.known {
		fair /= knownDiscount
	}
	return float64(own) >= fair
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

// address returns what is known of an address.
func (r *ConnTable) address(addr netip.Addr) *address {
	if a := r.clients[addr]; a != nil {
		return a
	}
	a := &address{addr: addr}
	for i := range a.own {
		a.own[i].hook = ofAddress
	}
	for _, p := range r.s.KnownPrefixes {
		a.settings = a.settings || p.Contains(addr)
	}
	score, _ := r.scores.Peek(addr)
	a.known = a.settings || score >= knownAfter
	for i, c := range r.s.PrefixLimits {
		if c.Prefix.Contains(addr) {
			a.caps = append(a.caps, i)
		}
	}
	r.clients[addr] = a
	r.group(a)
	return a
}

// score remembers how an address has done, and has it known or not accordingly.
func (r *ConnTable) score(a *address, score float64) {
	r.scores.Add(a.addr, score)
	known := a.settings || score >= knownAfter
	if known == a.known {
		return
	}
	r.ungroup(a)
	beyond := 0
	for s := range states {
		for l := a.own[s].first; l != nil; l = l.hooks[ofAddress].after {
			r.all[tree(a.known)][s].drop(l)
			r.all[tree(known)][s].putBySince(l)
			if l.beyond {
				beyond++
			}
		}
	}
	if a.known = known; known {
		r.strange -= a.links - beyond
	} else {
		r.strange += a.links - beyond
	}
	r.group(a)
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
