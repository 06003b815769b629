package swim

import (
	"math"
	"slices"
)

// watchedBy tells whether this member is to notice the silence of another.
func (e *entry) isWatched(now float64) bool {
	return e.isNeighbor || e.link != nil || now < e.watchedUntil
}

// silent tells whether another was not heard for too long.
func (v *View) isSilent(e *entry) bool {
	patience := float64(1 + v.healthScore)
	quiet := v.now - e.lastHeard
	return quiet > silenceTimeoutSeconds*patience || e.failedDials >= 2 && quiet > refusedTimeoutSeconds*patience
}

// miss accuses one that is silent, unless it has just shown others that it lives.
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

// accuse says that this member does not hear another.
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

// suspect sets when one that is suspected is dead: the sooner the more do not hear it.
func (v *View) scheduleDeath(e *entry) {
	if e.State != Suspect || e == v.self {
		return
	}
	at := e.stateSince + v.suspicionTimeout(len(e.Accusers))
	if e.deadAt == 0 || at < e.deadAt {
		e.deadAt = at
	}
	v.activate(e)
	// Danger: one that two others miss as well is no fault of this member's link.
	if len(e.Accusers) < maxAccusers && e.isWatched(v.now) && v.isSilent(e) && !slices.Contains(e.Accusers, v.self.ID) {
		v.accuse(e)
	}
}

// patience is how long one is suspected that so many do not hear.
func (v *View) suspicionTimeout(accusers int) float64 {
	able := 0 // to accuse it
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
