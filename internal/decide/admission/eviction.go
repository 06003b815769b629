package admission

// How long a link may be in a state before it can be given up for a newcomer, in seconds. Danger: the first request of a
// link that has just come up is on its way, and so is the rest of one that has begun to come.
const (
	silentGrace = 0.01
	partGrace   = 0.1
	restGrace   = 0.1
	modestGrace = 1.0
)

// Victim returns the link that goes for a newcomer, nil if none does: each is worth as much, owed something, or about to
// ask. One that has its cap may only put its own links in place of each other.
func (r *ConnTable) VictimFor(now float64, newcomer *Conn, v Verdict) *Conn {
	if v == OverLimit {
		return r.sparable(now, newcomer.client, newcomer.client, true, newcomer)
	}
	return r.victim(now, newcomer.client, newcomer)
}

// Spare returns the link that is missed least, nil if each is owed something or about to ask.
func (r *ConnTable) LeastNeeded(now float64) *Conn { return r.victim(now, nil, nil) }

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
