package swim

import (
	"math"
	"slices"
)

// detectFailures closes silent links, suspects watched members that have been silent for too long, and declares suspect members dead
// whose timeout has expired. Members that need no further checks become inactive.
func (v *View) detectFailures() {
	for _, e := range slices.Clone(v.active) {
		if e.link != nil && v.now-e.lastHeard > linkTimeoutSeconds*float64(1+v.healthScore) {
			// Danger: after an interruption of the network TCP backs off and retransmits late, while a new link would work at once.
			e.watchedUntil, e.nextDial = v.now+watchGraceSeconds, v.now
			v.dropLink(e.link)
		}
		switch {
		case e.State == Suspect && e.deadAt > 0 && v.now >= e.deadAt:
			v.stats.Deaths++
			v.changeEntry(e, true, func() { e.State, e.stateSince, e.Accusers = Dead, v.now, []ID{v.self.ID} })
			v.enqueueUpdate(e, 0)
		case e.State.IsDeadOrLeft():
		case e.isWatched(v.now) && v.isSilent(e):
			v.suspectSilent(e)
		}
	}
	v.active = slices.DeleteFunc(v.active, func(e *entry) bool {
		e.isActive = e.State == Suspect || e.isWatched(v.now)
		return !e.isActive
	})
}

// isWatched reports whether this member detects the silence of another.
func (e *entry) isWatched(now float64) bool {
	return e.isNeighbor || e.link != nil || now < e.watchedUntil
}

// isSilent reports whether nothing was received from a member for too long.
func (v *View) isSilent(e *entry) bool {
	multiplier := float64(1 + v.healthScore)
	silence := v.now - e.lastHeard
	return silence > silenceTimeoutSeconds*multiplier || e.failedDials >= 2 && silence > refusedTimeoutSeconds*multiplier
}

// suspectSilent accuses a silent member, unless this one has done so already, enough others have, or this one has accused it recently
// and it is alive again.
func (v *View) suspectSilent(e *entry) {
	if slices.Contains(e.Accusers, v.self.ID) && e.State == Suspect || len(e.Accusers) >= maxAccusers {
		return
	}
	if e.State == Alive {
		if v.now < e.mutedUntil {
			return
		}
		e.muteSeconds = min(max(2*e.muteSeconds, minMuteSeconds), maxMuteSeconds)
		e.mutedUntil = v.now + e.muteSeconds
	}
	v.accuse(e)
}

// accuse makes a member suspect if it is alive, adds this one to its accusers, and queues the record for all links.
func (v *View) accuse(e *entry) {
	v.stats.Accusations++
	v.changeEntry(e, true, func() {
		if e.State == Alive {
			e.State, e.stateSince, e.deadAt = Suspect, v.now, 0
		}
		e.Accusers = mergeAccusers(e.Accusers, []ID{v.self.ID})
	})
	v.scheduleDeath(e)
	v.enqueueUpdate(e, 0)
}

// scheduleDeath sets when a suspect member will be declared dead; more accusers make it sooner. If this member also receives nothing
// from it, it joins the accusers.
func (v *View) scheduleDeath(e *entry) {
	if e.State != Suspect || e == v.self {
		return
	}
	at := e.stateSince + v.suspicionTimeout(len(e.Accusers))
	if e.deadAt == 0 || at < e.deadAt {
		e.deadAt = at
	}
	v.activate(e)
	// Danger: mutedUntil guards against faults of this member's own link, so it doesn't apply if others accuse the member, too.
	if len(e.Accusers) < maxAccusers && e.isWatched(v.now) && v.isSilent(e) && !slices.Contains(e.Accusers, v.self.ID) {
		v.accuse(e)
	}
}

// suspicionTimeout returns for how many seconds a member stays suspect, given its number of accusers. As in Lifeguard it falls with the
// logarithm of that number, from maxSuspicionSeconds for one accuser to minSuspicionSeconds for maxAccusers, or for all live members if
// they are fewer.
func (v *View) suspicionTimeout(accusers int) float64 {
	able := 0 // members that can accuse, up to maxAccusers
	for _, e := range v.entries {
		if e.State == Alive {
			if able++; able >= maxAccusers {
				break
			}
		}
	}
	if able = max(able, 1); accusers >= able {
		return minSuspicionSeconds
	}
	return maxSuspicionSeconds - (maxSuspicionSeconds-minSuspicionSeconds)*math.Log(float64(max(accusers, 1)))/math.Log(float64(able))
}
