package swim

import (
	"cmp"
	"slices"
)

// suspects returns how many are suspected, and how many are not gone.
func (v *View) countSuspects() (suspected, live int) {
	for _, e := range v.active {
		if e.State == Suspect {
			suspected++
		}
	}
	if suspected > 0 {
		live = v.LiveCount()
	}
	return suspected, live
}

// verify calls one that lives by the word of others alone and that this member has never met, or any that it does not watch.
func (v *View) probe(any bool) {
	// Danger: calls at members that are only slow would slow them more. The pace grows with those that are not there alone.
	if e := v.probed; e != nil && e.failedDials > 0 {
		v.probeInterval = max(v.probeInterval/4, minProbeIntervalSeconds)
	} else if e == nil || e.link != nil || e.wasLinked {
		v.probeInterval = min(2*v.probeInterval, maxProbeIntervalSeconds)
	}
	v.probed = nil
	v.nextProbe = v.now + v.probeInterval*(0.5+v.rng.Float64())
	from := v.rng.IntN(len(v.entries))
	for i := range v.entries {
		if e := v.entries[(from+i)%len(v.entries)]; e != v.self && (any || !e.wasLinked) && e.State == Alive && !e.isWatched(v.now) {
			e.lastHeard, e.nextDial, e.failedDials, e.watchedUntil = v.now, v.now, 0, v.now+watchGraceSeconds
			v.probed = e
			v.activate(e)
			return
		}
	}
}

// heal calls those that are not heard, now and then, so that parts of a fleet that was cut meet again. All together do so a
// few times a second, however many they are.
func (v *View) reconnect() {
	if v.now < v.nextReconnect {
		return
	}
	live := v.LiveCount()
	v.nextReconnect = v.now + max(1, float64(live)/reconnectsPerSecond)*(0.5+v.rng.Float64())
	var addresses []string
	dead := slices.DeleteFunc(slices.Clone(v.departed), func(e *entry) bool { return e.State != Dead || e.Address == v.address })
	slices.SortFunc(dead, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range dead {
		addresses = append(addresses, e.Address)
	}
	for _, a := range v.settings.Join {
		if e := v.byID[v.joinIDs[a]]; a != v.address && (e == nil || e != v.self && e.State.IsDeadOrLeft()) && !v.hasLiveAddress(a) {
			addresses = append(addresses, a)
		}
	}
	if len(addresses) == 0 {
		return
	}
	if live == 1 && len(addresses) <= 8 { // nobody is known: all at once
		v.nextReconnect = v.now + 0.5 + 0.5*v.rng.Float64()
		for _, a := range addresses {
			v.dial(a, 0)
		}
		return
	}
	v.dial(addresses[v.rng.IntN(len(addresses))], 0)
}

// lives tells whether one that lives has an address.
func (v *View) hasLiveAddress(address string) bool {
	return slices.ContainsFunc(v.entries, func(e *entry) bool { return e.Address == address && !e.State.IsDeadOrLeft() })
}
