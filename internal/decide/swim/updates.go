package swim

import (
	"math"
	"slices"
)

// handleRecord merges a record that came over a link, and forwards it if it is news.
func (v *View) handleRecord(r Record, from int) {
	if !isValid(&r) {
		v.stats.Rejected++
		return
	}
	e := v.byID[r.ID]
	if v.isFirstLink(from) {
		// Danger: in a large fleet, other peers report the same members as the first one, possibly earlier. The limit on newcomers
		// depends on how many members were known before, which is one for a new member, so without this most of them would be
		// rejected for newcomerWindowSeconds.
		v.newcomersBase++
	}
	switch {
	case e == nil:
		v.addNewcomer(r, from)
	case e == v.self:
		v.handleOwnRecord(r)
	case r.State == e.State && r.State != Suspect && r.Version == e.Version && (e.Durable || !r.Durable):
		// Nothing new: most records have already arrived over another link.
	default:
		v.mergeRecord(e, r, from)
	}
}

// addNewcomer adds a member that was not known, if there is room.
func (v *View) addNewcomer(r Record, from int) {
	isExpired := r.State.IsDeadOrLeft() && r.AgeSeconds > forgetAfterSeconds-digestMarginSeconds
	if isExpired || !v.admitNewcomer(from) || len(v.entries) >= maxMembers && !v.evictOldest() {
		v.stats.Rejected++
		return
	}
	e := &entry{Record: r, stateSince: v.now - r.AgeSeconds, lastHeard: v.now}
	v.insert(e)
	v.changeEntry(e, false, func() {})
	v.scheduleDeath(e)
	v.enqueueUpdate(e, from)
}

// mergeRecord merges a record into that of a known member.
//
// Danger: a partitioned member declares others dead that can't refute it, and sends these records when the partition ends. So a record
// that declares a member dead that is alive here counts as an accusation, and the member gets minSuspicionSeconds to refute it.
func (v *View) mergeRecord(e *entry, r Record, from int) {
	isLateDeath := r.State == Dead && e.State == Alive && r.Version.Compare(e.Version) >= 0
	if isLateDeath {
		r.State, r.AgeSeconds = Suspect, 0
		if len(r.Accusers) == 0 {
			r.Accusers = []ID{v.self.ID}
		}
	}
	if merged, changed := Merge(e.Record, r); changed {
		v.applyMerged(e, merged, r.AgeSeconds, from)
	}
	if isLateDeath && e.State == Suspect && e.Version == r.Version {
		e.deadAt = v.now + minSuspicionSeconds
	}
}

// applyMerged replaces the record of a member by a merged one and forwards it.
func (v *View) applyMerged(e *entry, merged Record, ageSeconds float64, from int) {
	if merged.Version != e.Version {
		e.wasLinked = false
	}
	hasRisen := merged.Version.Compare(e.Version) > 0
	v.changeEntry(e, true, func() {
		was := e.State
		e.Record = merged
		if e.AgeSeconds = 0; merged.State != was || merged.State.IsDeadOrLeft() {
			e.stateSince = v.now - ageSeconds
		}
	})
	if hasRisen && !e.State.IsDeadOrLeft() {
		e.deadAt = 0
		if e.link == nil {
			e.lastHeard = max(e.lastHeard, v.now-silenceTimeoutSeconds/2) // others have received messages from it just now
		}
	}
	v.scheduleDeath(e)
	v.enqueueUpdate(e, from)
}

// admitNewcomer reports whether a member that was not known is accepted from a link. Danger: one faulty sidecar can report thousands of
// members that don't exist, each of which would have to be probed before it is dead. A member that has just joined accepts all members
// from its first link.
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

// isFirstLink reports whether a link is the first one of a member that has just joined.
func (v *View) isFirstLink(number int) bool {
	return number != 0 && number == v.firstLink && v.now < v.firstLinkAt+firstLinkTrustSeconds
}

// enqueueUpdate queues the record of an entry for all links except the one with number from, over which it came; 0 means for all.
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

// recordOf returns the record of an entry as it would be sent now.
func (v *View) recordOf(e *entry) Record {
	r := e.Record
	if r.State.IsDeadOrLeft() {
		r.AgeSeconds = math.Round(10*(v.now-e.stateSince)) / 10
	}
	return r
}

// sendUpdates sends the queued updates. Danger: if a link breaks during Send, the caller calls LinkDown from within Send, and this
// nested call sends all updates over the other links and empties the queue.
func (v *View) sendUpdates() {
	if len(v.updates) == 0 {
		return
	}
	if !v.lostIdentity {
		var common []*Message // for links over which none of the updates came, usually all but one
		for _, l := range slices.Clone(v.links) {
			if len(v.updates) == 0 {
				return
			}
			messages := common
			if slices.ContainsFunc(v.updates, func(e *entry) bool { return e.sourceLink == l.number }) {
				messages = v.updateMessages(l.number)
			} else if common == nil {
				common = v.updateMessages(0)
				messages = common
			}
			for _, m := range messages {
				v.actions.Send(l.number, m)
			}
		}
	}
	for _, e := range v.updates {
		e.isQueued, e.sourceLink = false, 0
	}
	v.updates = v.updates[:0]
}

// updateMessages returns messages with the queued updates, except those that came over the excluded link; 0 excludes none.
func (v *View) updateMessages(excluded int) (all []*Message) {
	records := make([]Record, 0, min(len(v.updates), maxRecordsPerMessage))
	for _, e := range v.updates {
		if excluded != 0 && e.sourceLink == excluded {
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
