package swim

import "slices"

// indexOf returns the index of a member in entries, or where to insert it and false.
func (v *View) indexOf(id ID) (int, bool) {
	return slices.BinarySearch(v.ids, id)
}

// insert adds a member that was not known.
func (v *View) insert(e *entry) {
	i, _ := v.indexOf(e.ID)
	v.entries = slices.Insert(v.entries, i, e)
	v.ids = slices.Insert(v.ids, i, e.ID)
	v.byID[e.ID] = e
	v.trackEntry(e)
}

// changeEntry applies a change to an entry and updates the digests, lists and neighbors accordingly. known is false for an entry that
// was just inserted.
func (v *View) changeEntry(e *entry, known bool, change func()) {
	was := e.State
	v.changes++
	v.toggleDigest(e)
	change()
	v.trackEntry(e)
	if e.State != was || !known {
		if was > Suspect || e.State > Suspect || !known {
			v.digestChangedAt = v.now
		}
		v.neighborsTouched = true
		v.neighborsStale = v.neighborsStale || v.affectsNeighbors(e)
		v.actions.MemberChanged(e.Record, was, known)
	}
}

// trackEntry adds an entry to the digests and, if it is dead or has left, to departed.
func (v *View) trackEntry(e *entry) {
	e.isExpired = e.State.IsDeadOrLeft() && v.now-e.stateSince > forgetAfterSeconds-digestMarginSeconds
	v.toggleDigest(e)
	if e.State.IsDeadOrLeft() && !e.isDeparted {
		e.isDeparted = true
		v.departed = append(v.departed, e)
	}
}

// activate makes detectFailures check an entry at each tick.
func (v *View) activate(e *entry) {
	if !e.isActive && e != v.self {
		e.isActive = true
		v.active = append(v.active, e)
	}
}

// sweep forgets members that have been dead or left for forgetAfterSeconds. They are excluded from digests digestMarginSeconds earlier:
// members forget them at different times, and their views would differ meanwhile.
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

// evictOldest removes the member that has been dead or left the longest, and reports whether there was one.
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

// removeEntry forgets a member and closes the link to it.
func (v *View) removeEntry(e *entry) {
	if v.probed == e {
		v.probed = nil
	}
	isSame := func(other *entry) bool { return other == e }
	v.active, v.departed = slices.DeleteFunc(v.active, isSame), slices.DeleteFunc(v.departed, isSame)
	v.toggleDigest(e)
	if i, ok := v.indexOf(e.ID); ok {
		v.entries, v.ids = slices.Delete(v.entries, i, i+1), slices.Delete(v.ids, i, i+1)
	}
	delete(v.byID, e.ID)
	if e.link != nil {
		v.dropLink(e.link)
	}
}
