package swim

import (
	"slices"
)

func (v *View) indexOf(id ID) (int, bool) {
	return slices.BinarySearch(v.ids, id)
}

func (v *View) insert(e *entry) {
	i, _ := v.indexOf(e.ID)
	v.entries = slices.Insert(v.entries, i, e)
	v.ids = slices.Insert(v.ids, i, e.ID)
	v.byID[e.ID] = e
	v.trackEntry(e)
}

// alter changes an entry and what follows from that.
func (v *View) changeEntry(e *entry, known bool, change func()) {
	was := e.State
	v.changes++
	v.toggleDigest(e)
	change()
	v.trackEntry(e)
	if e.State != was || !known {
		if !(was <= Suspect && e.State <= Suspect) || !known {
			v.digestChangedAt = v.now
		}
		v.neighborsTouched = true
		v.neighborsStale = v.neighborsStale || v.affectsNeighbors(e)
		v.actions.MemberChanged(e.Record, was, known)
	}
}

// note has an entry's part follow what has become of it.
func (v *View) trackEntry(e *entry) {
	e.isExpired = e.State.IsDeadOrLeft() && v.now-e.stateSince > forgetAfterSeconds-digestMarginSeconds
	v.toggleDigest(e)
	if e.State.IsDeadOrLeft() && !e.isDeparted {
		e.isDeparted = true
		v.departed = append(v.departed, e)
	}
}

// heat has an entry looked at with each tick.
func (v *View) activate(e *entry) {
	if !e.isActive && e != v.self {
		e.isActive = true
		v.active = append(v.active, e)
	}
}

// sweep forgets those that are gone for long; some time before that they no longer count for the sums.
func (v *View) sweep() {
	v.nextSweep = v.now + sweepIntervalSeconds
	for _, e := range slices.Clone(v.departed) {
		switch {
		case e != v.self && e.State.IsDeadOrLeft() && v.now-e.stateSince > forgetAfterSeconds:
			v.removeEntry(e)
		case e.State.IsDeadOrLeft() && !e.isExpired && v.now-e.stateSince > forgetAfterSeconds-digestMarginSeconds:
			v.toggleDigest(e)
			e.isExpired = true
		}
	}
	v.departed = slices.DeleteFunc(v.departed, func(e *entry) bool {
		e.isDeparted = e.State.IsDeadOrLeft()
		return !e.isDeparted
	})
}

// forgetOne makes room: the one goes that has been gone the longest.
func (v *View) evictOldest() bool {
	var oldest *entry
	for _, e := range v.departed {
		if e.State.IsDeadOrLeft() && e != v.self && (oldest == nil || e.stateSince < oldest.stateSince || e.stateSince == oldest.stateSince && e.ID < oldest.ID) {
			oldest = e
		}
	}
	if oldest != nil {
		v.removeEntry(oldest)
	}
	return oldest != nil
}

func (v *View) removeEntry(e *entry) {
	if v.probed == e {
		v.probed = nil
	}
	same := func(o *entry) bool { return o == e }
	v.active, v.departed = slices.DeleteFunc(v.active, same), slices.DeleteFunc(v.departed, same)
	v.toggleDigest(e)
	if i, ok := v.indexOf(e.ID); ok {
		v.entries, v.ids = slices.Delete(v.entries, i, i+1), slices.Delete(v.ids, i, i+1)
	}
	delete(v.byID, e.ID)
	if e.link != nil {
		v.dropLink(e.link)
	}
}
