package swim

import (
	"math"
	"slices"
)

// detectFailures closes links that are silent, makes watched members suspect whose silence lasted too long, and suspect ones dead
// that are due. Members that need no more watching become inactive.
func (v *View) detectFailures() {
	for _, e := range slices.Clone(v.active) {
		if e.link != nil && v.now-e.lastHeard > linkTimeoutSeconds*float64(1+v.healthScore) {
			// Danger: over a path that was interrupted TCP retransmits ever later, where a new link would be up at once.
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

// isSilent reports whether nothing was heard from a member for too long.
func (v *View) isSilent(e *entry) bool {
	multiplier := float64(1 + v.healthScore)
	silence := v.now - e.lastHeard
	return silence > silenceTimeoutSeconds*multiplier || e.failedDials >= 2 && silence > refusedTimeoutSeconds*multiplier
}

// suspectSilent accuses a silent member, unless this one has done so already, enough others have, or a recent accusation by this one
// alone was refuted.
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

// accuse makes a member suspect if it is alive, adds this one to its accusers, and sends the record to all.
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

// scheduleDeath sets when a suspect member will be dead; more accusers make it sooner. If this member hears nothing from it either,
// it joins the accusers.
func (v *View) scheduleDeath(e *entry) {
	if e.State != Suspect || e == v.self {
		return
	}
	at := e.stateSince + v.suspicionTimeout(len(e.Accusers))
	if e.deadAt == 0 || at < e.deadAt {
		e.deadAt = at
	}
	v.activate(e)
	// Danger: mutedUntil guards against faults of this member's own link. A member that others accuse too is not muted.
	if len(e.Accusers) < maxAccusers && e.isWatched(v.now) && v.isSilent(e) && !slices.Contains(e.Accusers, v.self.ID) {
		v.accuse(e)
	}
}

// suspicionTimeout returns for how many seconds a member with so many accusers stays suspect. As in Lifeguard it falls with the
// logarithm of their number, from maxSuspicionSeconds for one to minSuspicionSeconds for all that can accuse, maxAccusers at most.
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
