package swim

import (
	"cmp"
	"slices"
)

// probeIfDue probes a member if a probe is due. While many members are suspect at once, the neighbors of failed members may have failed,
// too. Any member may then be probed, at shorter intervals.
func (v *View) probeIfDue() {
	if v.now < v.nextProbe && v.now < v.nextMassFailureProbe {
		return
	}
	suspects, live := v.countSuspects()
	isMassFailure := suspects*massFailureFraction > live
	if isMassFailure && v.probeInterval > massFailureProbeIntervalSeconds {
		v.probeInterval = massFailureProbeIntervalSeconds
	}
	if isMassFailure || v.now >= v.nextProbe {
		v.probe(isMassFailure)
	}
	v.nextMassFailureProbe = v.now + min(v.probeInterval, massFailureProbeIntervalSeconds)
}

// countSuspects returns the number of suspect members and, if there are any, the number of live members.
func (v *View) countSuspects() (suspects, live int) {
	for _, e := range v.active {
		if e.State == Suspect {
			suspects++
		}
	}
	if suspects > 0 {
		live = v.LiveCount()
	}
	return suspects, live
}

// probe dials a random member that counts as alive and to which there was never a link, or with any also one to which there was. The
// member is watched for watchGraceSeconds. The interval to the next probe depends on the result of the last one.
func (v *View) probe(any bool) {
	// Danger: more probes would slow down members that are only slow. Only failed dials shorten the interval.
	if e := v.probed; e != nil && e.failedDials > 0 {
		v.probeInterval = max(v.probeInterval/4, minProbeIntervalSeconds)
	} else if e == nil || e.link != nil || e.wasLinked {
		v.probeInterval = min(2*v.probeInterval, maxProbeIntervalSeconds)
	}
	v.probed = nil
	v.nextProbe = v.now + v.probeInterval*(0.5+v.rng.Float64())
	start := v.rng.IntN(len(v.entries))
	for i := range v.entries {
		if e := v.entries[(start+i)%len(v.entries)]; e != v.self && (any || !e.wasLinked) && e.State == Alive && !e.isWatched(v.now) {
			e.lastHeard, e.nextDial, e.failedDials, e.watchedUntil = v.now, v.now, 0, v.now+watchGraceSeconds
			v.probed = e
			v.activate(e)
			return
		}
	}
}

// reconnect dials a dead member or a join address from time to time, so that the sides of a partition find each other again. The
// interval grows with the fleet: all members together make reconnectsPerSecond dials. A member that knows no live member dials all
// addresses at once, if they are few.
func (v *View) reconnect() {
	if v.now < v.nextReconnect {
		return
	}
	live := v.LiveCount()
	v.nextReconnect = v.now + max(1, float64(live)/reconnectsPerSecond)*(0.5+v.rng.Float64())
	addresses := v.reconnectAddresses()
	if len(addresses) == 0 {
		return
	}
	if live == 1 && len(addresses) <= maxReconnectsAtOnce {
		v.nextReconnect = v.now + 0.5 + 0.5*v.rng.Float64()
		for _, address := range addresses {
			v.dial(address, 0)
		}
		return
	}
	v.dial(addresses[v.rng.IntN(len(addresses))], 0)
}

// reconnectAddresses returns the addresses of dead members, in the order of IDs, and the join addresses at which no live member is
// known.
func (v *View) reconnectAddresses() (addresses []string) {
	dead := slices.DeleteFunc(slices.Clone(v.departed), func(e *entry) bool { return e.State != Dead || e.Address == v.address })
	slices.SortFunc(dead, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range dead {
		addresses = append(addresses, e.Address)
	}
	for _, address := range v.settings.Join {
		e := v.byID[v.joinIDs[address]]
		if address != v.address && (e == nil || e != v.self && e.State.IsDeadOrLeft()) && !v.hasLiveAddress(address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// hasLiveAddress reports whether a live member has an address.
func (v *View) hasLiveAddress(address string) bool {
	return slices.ContainsFunc(v.entries, func(e *entry) bool { return e.Address == address && !e.State.IsDeadOrLeft() })
}
