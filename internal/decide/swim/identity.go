package swim

import "math"

// Reasons of Actions.ReplaceIdentity, for logs.
const (
	reasonImpossibleIncarnation = "others are told of an incarnation that this identity can't have"
	reasonCopiedState           = "another process has this identity: a copied folder"
	reasonOldState              = "this identity was already further than the state on disk: an old copy"
)

// installIdentity makes a record this member's own.
func (v *View) installIdentity(self Record) {
	self.State, self.Accusers, self.AgeSeconds = Alive, nil, 0
	v.self = &entry{Record: self, stateSince: v.now}
	v.insert(v.self)
	v.lostIdentity, v.neighborsStale = false, true
}

// AdoptIdentity continues under another identity, after RenounceIdentity or Actions.ReplaceIdentity.
func (v *View) AdoptIdentity(now float64, id ID, version Version, durable bool) {
	v.advanceClock(now)
	next := Record{ID: id, Version: version, Name: v.name, Address: v.address, Durable: durable}
	v.self.deadAt = math.Inf(1)
	v.installIdentity(next)
	v.enqueueUpdate(v.self, 0)
	v.finishEvent()
}

// HasLostIdentity reports whether this member has no identity of its own now: another process has it, or it was renounced.
func (v *View) HasLostIdentity() bool { return v.lostIdentity }

// IsReplaced reports whether another process has taken over this one's identity and address, as Settings.HotRestart allows.
func (v *View) IsReplaced() bool { return v.isReplaced }

// handleOwnRecord takes a record of this member's identity that came over a link. An accusation is refuted with a greater
// incarnation; a later process with the same identity ends the use of it here.
func (v *View) handleOwnRecord(r Record) {
	self := v.self
	switch c := r.Version.Compare(self.Version); {
	case v.lostIdentity || v.hasLeft && c <= 0:
	case c > 0 && r.Version.Incarnation > self.Version.Incarnation+maxIncarnationLead:
		// Danger: refutations of forged incarnations would run out of numbers, and without one this member stays accused.
		v.loseIdentity(r, reasonImpossibleIncarnation)
	case c > 0 && r.Version.BootID != self.Version.BootID:
		v.handleOtherProcess(r)
	case c > 0 || c == 0 && (r.State == Suspect || r.State.IsDeadOrLeft() && !v.hasLeft):
		v.changeEntry(self, true, func() { self.Version.Incarnation = max(r.Version.Incarnation, self.Version.Incarnation) + 1 })
		v.digestChangedAt = v.now
		v.stats.Refutations++
		v.raiseHealthScore()
		v.enqueueUpdate(self, 0)
	case c < 0:
		v.enqueueUpdate(self, 0)
	}
}

// handleOtherProcess takes a record of another process with this identity and a later version of it.
func (v *View) handleOtherProcess(r Record) {
	isSameAddress := r.Address == v.self.Address
	switch {
	case isSameAddress && v.settings.HotRestart:
		v.lostIdentity, v.isReplaced = true, true
		v.closeLinks()
	case isSameAddress:
		v.loseIdentity(r, reasonOldState)
	default:
		v.loseIdentity(r, reasonCopiedState)
	}
}

// loseIdentity ends the use of the identity, whose record is another process's from now on, and asks for a new one.
func (v *View) loseIdentity(r Record, reason string) {
	v.lostIdentity = true
	v.closeLinks()
	v.changeEntry(v.self, true, func() { v.self.Record, v.self.stateSince = r, v.now })
	v.actions.ReplaceIdentity(reason)
}

// Leave announces that this member leaves. Nothing is sent after it.
func (v *View) Leave(now float64) {
	v.advanceClock(now)
	if v.hasLeft || v.lostIdentity {
		return
	}
	v.hasLeft = true
	v.announceLeft()
}

// RenounceIdentity announces that this identity leaves for good. AdoptIdentity must follow.
func (v *View) RenounceIdentity(now float64) {
	v.advanceClock(now)
	if v.lostIdentity {
		return
	}
	v.announceLeft()
	v.lostIdentity = true
	v.closeLinks()
}

func (v *View) announceLeft() {
	v.changeEntry(v.self, true, func() { v.self.State, v.self.stateSince = Left, v.now })
	v.enqueueUpdate(v.self, 0)
	v.sendUpdates()
}

// Silence ends the use of the identity without an announcement: a replacement uses it from now on.
func (v *View) Silence(now float64) {
	v.advanceClock(now)
	if !v.lostIdentity {
		v.lostIdentity = true
		v.closeLinks()
	}
}

// closeLinks closes all links and drops queued updates, so that nothing more is sent about this member.
func (v *View) closeLinks() {
	for len(v.links) > 0 {
		v.closeLink(v.links[0])
	}
	v.updates = v.updates[:0]
	for _, e := range v.entries {
		e.isQueued = false
	}
}
