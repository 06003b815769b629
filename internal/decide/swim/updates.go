package swim

import (
	"math"
	"slices"
)

// hear takes a record that came by a link.
func (v *View) handleRecord(r Record, from int) {
	if !isValid(&r) {
		v.stats.Rejected++
		return
	}
	e := v.byID[r.ID]
	if v.isFirstLink(from) {
		// Danger: of a large fleet the others that one meets tell as much as the first, and sooner. Measured by what it knew
		// before, itself alone, it would have no room for what is new for ten seconds.
		v.newcomersBase++
	}
	if e == v.self {
		v.handleOwnRecord(r, from)
		return
	}
	if e == nil {
		if r.State.IsDeadOrLeft() && r.AgeSeconds > forgetAfterSeconds-digestMarginSeconds || !v.admitNewcomer(from) || len(v.entries) >= maxMembers && !v.evictOldest() {
			v.stats.Rejected++
			return
		}
		e = &entry{Record: r, stateSince: v.now - r.AgeSeconds, lastHeard: v.now}
		v.insert(e)
		v.changeEntry(e, false, func() {})
		v.scheduleDeath(e)
		v.enqueueUpdate(e, from)
		return
	}
	if r.State == e.State && r.State != Suspect && r.Version == e.Version && (e.Durable || !r.Durable) {
		return // most of what comes has come by another link
	}
	if r.State == Dead && e.State == Alive && r.Version.Compare(e.Version) >= 0 {
		// Danger: one that was cut off has called others dead that nobody asked, and comes back with that. They get the time to
		// say no that they would have had.
		defer func() {
			if e.State == Suspect && e.Version == r.Version {
				e.deadAt = v.now + minSuspicionSeconds
			}
		}()
		r.State = Suspect
		if r.AgeSeconds = 0; len(r.Accusers) == 0 {
			r.Accusers = []ID{v.self.ID}
		}
	}
	merged, news := Merge(e.Record, r)
	if !news {
		return
	}
	if merged.Version != e.Version {
		e.wasLinked = false
	}
	risen := merged.Version.Compare(e.Version) > 0
	v.changeEntry(e, true, func() {
		was := e.State
		e.Record = merged
		if e.AgeSeconds = 0; merged.State != was || merged.State.IsDeadOrLeft() {
			e.stateSince = v.now - r.AgeSeconds
		}
	})
	if risen && !e.State.IsDeadOrLeft() {
		e.deadAt = 0
		if e.link == nil {
			e.lastHeard = max(e.lastHeard, v.now-silenceTimeoutSeconds/2) // it has spoken to others just now
		}
	}
	v.scheduleDeath(e)
	v.enqueueUpdate(e, from)
}

// admit tells whether one more that nobody knew is believed in. Danger: one broken sidecar can tell of thousands that do not
// exist, and each would have to be called before it counts as dead. Who has just come believes the first that it meets.
func (v *View) admitNewcomer(from int) bool {
	if v.now >= v.newcomersSince+newcomerWindowSeconds || v.newcomersSince == 0 {
		v.newcomersSince, v.newcomersBase, v.newcomersAdmitted = v.now, len(v.entries), 0
	}
	if v.isFirstLink(from) {
		return true
	}
	v.newcomersAdmitted++
	return v.newcomersAdmitted <= max(maxNewcomers, 2*v.newcomersBase)
}

// taught tells whether a link is the first of one that has just come.
func (v *View) isFirstLink(from int) bool {
	return from != 0 && from == v.firstLink && v.now < v.firstLinkAt+firstLinkTrustSeconds
}

// tell has a record told to all links but the one that it came by.
func (v *View) enqueueUpdate(e *entry, from int) {
	if e.isQueued {
		if e.sourceLink != from {
			e.sourceLink = 0
		}
		return
	}
	e.isQueued, e.sourceLink = true, from
	v.updates = append(v.updates, e)
}

// record returns what is said of an entry.
func (v *View) recordOf(e *entry) Record {
	r := e.Record
	if r.State.IsDeadOrLeft() {
		r.AgeSeconds = math.Round(10*(v.now-e.stateSince)) / 10
	}
	return r
}

// flush tells what is new.
func (v *View) sendUpdates() {
	if len(v.updates) == 0 {
		return
	}
	if !v.lostIdentity {
		var common []*Message // for those that have brought none of it, which are all but one as a rule
		// Danger: a link may end while something is sent over it, and what is new is told to all others by then.
		for _, l := range slices.Clone(v.links) {
			if len(v.updates) == 0 {
				return
			}
			if slices.ContainsFunc(v.updates, func(e *entry) bool { return e.sourceLink == l.number }) {
				for _, m := range v.updateMessages(l.number) {
					v.actions.Send(l.number, m)
				}
				continue
			}
			if common == nil {
				common = v.updateMessages(0)
			}
			for _, m := range common {
				v.actions.Send(l.number, m)
			}
		}
	}
	for _, e := range v.updates {
		e.isQueued, e.sourceLink = false, 0
	}
	v.updates = v.updates[:0]
}

// messages returns what is new, but for what came by a link.
func (v *View) updateMessages(but int) (all []*Message) {
	records := make([]Record, 0, min(len(v.updates), maxRecordsPerMessage))
	for _, e := range v.updates {
		if but != 0 && e.sourceLink == but {
			continue
		}
		if records = append(records, v.recordOf(e)); len(records) == maxRecordsPerMessage {
			all, records = append(all, &Message{Records: records}), nil
		}
	}
	if len(records) > 0 {
		all = append(all, &Message{Records: records})
	}
	return all
}
