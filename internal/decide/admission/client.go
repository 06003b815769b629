package admission

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
)

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

// burden is how many links of an address there are in all; those of a known one count less.
func (a *address) burden() float64 {
	if a.known {
		return float64(a.links) * knownDiscount
	}
	return float64(a.links)
}

// weight is how many links of an address are owed nothing; those of a known one count less.
func (a *address) weight() float64 {
	w := float64(a.free)
	if a.known {
		w *= knownDiscount
	}
	return w
}
