package swim

import (
	"math"
)

func (v *View) installIdentity(self Record) {
	self.State, self.Accusers, self.AgeSeconds = Alive, nil, 0
	v.self = &entry{Record: self, stateSince: v.now}
	v.insert(v.self)
	v.lostIdentity, v.neighborsStale = false, true
}

// Become goes on under another identity.
func (v *View) AdoptIdentity(now float64, id ID, version Version, keeps bool) {
	v.advanceClock(now)
	next := Record{ID: id, Version: version, Name: v.name, Address: v.address, Durable: keeps}
	v.self.deadAt = math.Inf(1)
	v.installIdentity(next)
	v.enqueueUpdate(v.self, 0)
	v.finishEvent()
}

// Quiet tells whether the identity is another process's now.
func (v *View) HasLostIdentity() bool { return v.lostIdentity }

// Succeeded tells whether another process has taken this one's place, under its identity and at its address.
func (v *View) IsReplaced() bool { return v.isReplaced }

// hearOfSelf takes what is said of this member.
func (v *View) handleOwnRecord(r Record, from int) {
	s := v.self
	switch c := r.Version.Compare(s.Version); {
	case v.lostIdentity || v.hasLeft && c <= 0:
	case c > 0 && r.Version.Incarnation > s.Version.Incarnation+maxIncarnationLead:
		// Danger: a greater one yet would run out of numbers, and without one this member stays what others call it.
		v.lostIdentity = true
		v.closeLinks()
		v.changeEntry(s, true, func() { s.Record, s.stateSince = r, v.now })
		v.actions.ReplaceIdentity("others are told of an incarnation that this identity can't have")
	case c > 0 && r.Version.BootID != s.Version.BootID:
		// Another process has this identity, and a later state of it.
		v.lostIdentity = true
		if r.Address == s.Address && v.settings.HotRestart {
			v.isReplaced = true
			v.closeLinks()
			return
		}
		why := "another process has this identity: a copied folder"
		if r.Address == s.Address {
			why = "this identity was already further than the state on disk: an old copy"
		}
		v.closeLinks()
		v.changeEntry(s, true, func() { s.Record, s.stateSince = r, v.now })
		v.actions.ReplaceIdentity(why)
	case c > 0 || c == 0 && (r.State == Suspect || r.State.IsDeadOrLeft() && !v.hasLeft):
		v.changeEntry(s, true, func() { s.Version.Incarnation = max(r.Version.Incarnation, s.Version.Incarnation) + 1 })
		v.digestChangedAt = v.now
		v.stats.Refutations++
		v.raiseHealthScore()
		v.enqueueUpdate(s, 0)
	case c < 0:
		v.enqueueUpdate(s, 0)
	}
}

// Leave says that this member goes; nothing is said after it.
func (v *View) Leave(now float64) {
	v.advanceClock(now)
	if v.hasLeft || v.lostIdentity {
		return
	}
	v.hasLeft = true
	v.changeEntry(v.self, true, func() { v.self.State, v.self.stateSince = Left, v.now })
	v.enqueueUpdate(v.self, 0)
	v.sendUpdates()
}

// Renounce says that this identity goes, and nothing more under it. Become follows.
func (v *View) RenounceIdentity(now float64) {
	v.advanceClock(now)
	if v.lostIdentity {
		return
	}
	v.changeEntry(v.self, true, func() { v.self.State, v.self.stateSince = Left, v.now })
	v.enqueueUpdate(v.self, 0)
	v.sendUpdates()
	v.lostIdentity = true
	v.closeLinks()
}

// Hush has the member say nothing any more, and nothing of itself: a successor speaks in its place.
func (v *View) Silence(now float64) {
	v.advanceClock(now)
	if !v.lostIdentity {
		v.lostIdentity = true
		v.closeLinks()
	}
}

// hush ends all links without a word about this member.
func (v *View) closeLinks() {
	for len(v.links) > 0 {
		l := v.links[0]
		v.actions.Send(l.number, &Message{Closing: true})
		v.dropLink(l)
	}
	v.updates = v.updates[:0]
	for _, e := range v.entries {
		e.isQueued = false
	}
}
