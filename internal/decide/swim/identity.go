package swim

import "math"

// Reasons of Actions.ReplaceIdentity, for logs.
const (
	reasonImpossibleIncarnation = "a peer reports an incarnation of this identity that is too high to refute"
	reasonCopiedState           = "a process at another address uses this identity: its state folder was copied"
	reasonOldState              = "peers know a later version of this identity than the state on disk: it is an old copy"
)

// installIdentity makes a record the record of this member.
func (v *View) installIdentity(self Record) {
	self.State, self.Accusers, self.AgeSeconds = Alive, nil, 0
	v.self = &entry{Record: self, stateSince: v.now}
	v.insert(v.self)
	v.lostIdentity, v.neighborsStale = false, true
}

// AdoptIdentity continues with a new identity, after RenounceIdentity or Actions.ReplaceIdentity.
func (v *View) AdoptIdentity(now float64, id ID, version Version, durable bool) {
	v.advanceClock(now)
	next := Record{ID: id, Version: version, Name: v.name, Address: v.address, Durable: durable}
	v.self.deadAt = math.Inf(1)
	v.installIdentity(next)
	v.enqueueUpdate(v.self, 0)
	v.finishEvent()
}

// HasLostIdentity reports whether this member currently has no identity: another process uses it, or it was renounced.
func (v *View) HasLostIdentity() bool { return v.lostIdentity }

// IsReplaced reports whether another process has taken over this one's identity and address, as Settings.HotRestart allows.
func (v *View) IsReplaced() bool { return v.isReplaced }

// handleOwnRecord handles a record of this member's identity that came over a link. An accusation is refuted with a greater
// incarnation. If a later process has the same identity, this one stops using it.
func (v *View) handleOwnRecord(r Record) {
	self := v.self
	switch c := r.Version.Compare(self.Version); {
	case v.lostIdentity || v.hasLeft && c <= 0:
	case c > 0 && r.Version.Incarnation > self.Version.Incarnation+maxIncarnationLead:
		// Danger: refuting a forged incarnation near the maximum would exhaust the incarnations, and a member that can't refute
		// stays accused. It needs a new identity instead.
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

// handleOtherProcess handles a record of another process that has this identity with a later version.
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

// loseIdentity stops using the identity, whose record belongs to another process from now on, and requests a new one.
func (v *View) loseIdentity(r Record, reason string) {
	v.lostIdentity = true
	v.closeLinks()
	v.changeEntry(v.self, true, func() { v.self.Record, v.self.stateSince = r, v.now })
	v.actions.ReplaceIdentity(reason)
}

// Leave announces that this member leaves. Nothing is sent after that.
func (v *View) Leave(now float64) {
	v.advanceClock(now)
	if v.hasLeft || v.lostIdentity {
		return
	}
	v.hasLeft = true
	v.announceLeft()
}

// RenounceIdentity announces that this identity leaves permanently. The caller must call AdoptIdentity next.
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

// AbandonIdentity stops using the identity without an announcement, since a replacement uses it from now on.
func (v *View) AbandonIdentity(now float64) {
	v.advanceClock(now)
	if !v.lostIdentity {
		v.lostIdentity = true
		v.closeLinks()
	}
}

// closeLinks closes all links and drops queued updates, so that nothing more is sent.
func (v *View) closeLinks() {
	for len(v.links) > 0 {
		v.closeLink(v.links[0])
	}
	v.updates = v.updates[:0]
	for _, e := range v.entries {
		e.isQueued = false
	}
}
