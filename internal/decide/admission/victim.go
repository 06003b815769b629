package admission

import "net/netip"

// victim returns the link that goes for a newcomer, nil if none does: what is only read until its client closes; then
// links of the address that has most that are owed nothing, in the prefix that has most; a known address counts for a
// quarter. Danger: whatever a flood makes its links look like, it must lose its own before anybody else's.
func (r *ConnTable) victim(now float64, a *address, not *Conn) *Conn {
	strangers := a != nil && !a.known && r.strange >= r.s.MaxConns-r.s.ReservedForKnown // room is made only where a stranger goes
	for i := range r.all {
		if l := r.all[i][StateClosing].first; l != nil && l.since < now-silentGrace && (i == 0 || !strangers) {
			return l
		}
	}
	heaviest := r.heaviest(strangers)
	if heaviest == nil {
		return nil
	}
	self := heaviest == a
	greedy := a != nil && !(self && a.known) && (self || heaviest.burden() > a.burden() || heaviest.in.weight >= manyFree && a.in.weight < heaviest.in.weight)
	if l := r.sparable(now, heaviest, a, greedy, not); l != nil {
		return l
	}
	// Those that are heaviest may all be about to ask, and others have long had nothing to say. A stranger does not take
	// the kept links of the known.
	for i := range r.all {
		for _, s := range [...]State{StateNew, StateReading, StateWriting, StateIdle} {
			l := r.all[i][s].first
			allowed := i == 0 || !strangers && (s != StateIdle || a == nil || a.known)
			if l != nil && l != not && l.since < now-l.grace(a) && allowed {
				return l
			}
		}
	}
	// Danger: a flood from thousands of networks that is quicker than any grace would shut every newcomer out. Who came
	// first of the strangers that are owed nothing goes.
	for _, s := range [...]State{StateClosing, StateNew, StateReading, StateIdle, StateWriting} {
		if l := r.all[0][s].first; a != nil && l != nil && l != not && l.since < now && l.client.links >= a.links {
			return l
		}
	}
	return nil
}

// heaviest returns the address that has most links that are owed nothing, nil if none has any.
func (r *ConnTable) heaviest(strangersOnly bool) (most *address) {
	for known, h := range r.heavy {
		if h.len() == 0 || strangersOnly && known == 1 {
			continue
		}
		if a := h.first().clients.first(); a.weight() > 0 && (most == nil || h.first().weight > most.in.weight) {
			most = a
		}
	}
	return most
}

// sparable returns the link of an address that is missed least: one that has been long enough in its state, or, where the
// address is greedy, any that is owed nothing.
func (r *ConnTable) sparable(now float64, a, newcomer *address, greedy bool, not *Conn) *Conn {
	order := [...]State{StateClosing, StateNew, StateReading, StateWriting, StateIdle}
	for _, s := range order {
		if l := a.own[s].first; l != nil && l != not && l.since < now-l.grace(newcomer) {
			return l
		}
	}
	for _, s := range order {
		if l := a.own[s].first; greedy && l != nil && l != not {
			return l
		}
	}
	return nil
}

// grace is how long a link may be in its state before it can be given up for a newcomer. One that holds less than the
// newcomer's client, or is known, has longer. Danger: its client may be slow, or on a slow machine, and means well.
func (l *Conn) grace(newcomer *address) float64 {
	g := silentGrace
	switch l.state {
	case StateReading, StateWriting:
		g = partGrace
	case StateIdle:
		return restGrace
	}
	if l.client.known || newcomer != nil && newcomer != l.client && newcomer.burden() > l.client.burden() {
		g = max(g, modestGrace)
	}
	return g
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

// groupOf returns the prefix of an address's neighbours.
func groupOf(addr netip.Addr) netip.Prefix {
	bits := groupBits4
	if addr.Is6() {
		bits = groupBits6
	}
	p, err := addr.Prefix(bits)
	if err != nil {
		return netip.Prefix{} // an address that is none is its own group
	}
	return p
}

// group puts an address among its neighbours.
func (r *ConnTable) group(a *address) {
	of := r.groups[tree(a.known)]
	p := groupOf(a.addr)
	g := of[p]
	if g == nil {
		g = &group{prefix: p, known: a.known}
		of[p] = g
	}
	a.in, a.counted = g, 0
	r.reweigh(a)
}

// ungroup takes an address from its neighbours.
func (r *ConnTable) ungroup(a *address) {
	g := a.in
	g.clients.drop(a)
	g.weight -= a.counted
	if g.clients.len() > 0 {
		r.heavy[tree(g.known)].put(g)
		return
	}
	r.heavy[tree(g.known)].drop(g)
	delete(r.groups[tree(g.known)], g.prefix)
}

// reweigh follows a change of an address's links.
func (r *ConnTable) reweigh(a *address) {
	w := a.weight()
	a.in.weight += w - a.counted // quarters of whole numbers, which add up exactly
	a.counted = w
	a.in.clients.put(a)
	r.heavy[tree(a.in.known)].put(a.in)
}

// tree is the place of the known or of strangers in pairs of both.
func tree(known bool) int {
	if known {
		return 1
	}
	return 0
}
