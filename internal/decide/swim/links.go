package swim

import (
	"math"
	"slices"
)

// LinkUp handles a new link over which both ends have sent their Hello. The caller chooses number, which is above 0. address is the
// dialed address, empty if the peer dialed. The View may close the link at once.
func (v *View) LinkUp(now float64, number int, address string, hello Hello) {
	v.advanceClock(now)
	defer v.finishEvent()
	if address != "" {
		v.dialEnded(address, hello.Self.ID)
		if slices.Contains(v.settings.Join, address) {
			v.joinIDs[address] = hello.Self.ID
		}
	}
	if hello.Self.ID == v.self.ID {
		v.handleOwnRecord(hello.Self)
		v.actions.Close(number)
		return
	}
	if v.lostIdentity || v.hasLeft || !isValid(&hello.Self) {
		v.actions.Close(number)
		return
	}
	if e := v.byID[hello.Self.ID]; e != nil && hello.Self.Version.Compare(e.Version) < 0 {
		// The peer is a process that was replaced, or that started from an old copy of its state. The record tells it so.
		v.actions.Send(number, &Message{Records: []Record{v.recordOf(e)}})
		v.actions.Close(number)
		return
	}
	hello.Self.State, hello.Self.Accusers, hello.Self.AgeSeconds = Alive, nil, 0
	v.handleRecord(hello.Self, number)
	e := v.byID[hello.Self.ID]
	if e == nil {
		v.actions.Close(number)
		return
	}
	l := &link{number: number, peer: e, bootID: hello.Self.Version.BootID, dialedHere: address != "", peerWants: hello.Heartbeat.Wanted}
	if v.installLink(l) {
		v.greet(l, &hello)
	}
}

// installLink makes a link the current one to its peer, and returns false if the existing one is kept instead. If both processes have
// dialed each other, both ends keep the link that the member with the lower ID dialed. Otherwise the later link is kept.
func (v *View) installLink(l *link) bool {
	e := l.peer
	if old := e.link; old != nil {
		if old.bootID == l.bootID && old.dialedHere != l.dialedHere && old.dialedHere == (v.self.ID < e.ID) {
			v.actions.Send(l.number, &Message{Closing: true})
			v.actions.Close(l.number)
			return false
		}
		v.closeLink(old)
	}
	e.link, e.lastHeard, e.failedDials, e.wasLinked = l, v.now, 0, true
	v.links = append(v.links, l)
	if v.firstLink == 0 {
		v.firstLink, v.firstLinkAt = l.number, v.now
	}
	v.activate(e)
	return true
}

// greet sends the first messages over a new link: the peer's record if the peer has to refute or update it, a heartbeat, and digests
// if the views differ.
func (v *View) greet(l *link, hello *Hello) {
	e := l.peer
	if e.State.IsDeadOrLeft() || e.State == Suspect || e.Version != hello.Self.Version {
		v.actions.Send(l.number, &Message{Records: []Record{v.recordOf(e)}})
	}
	v.actions.Send(l.number, &Message{Heartbeat: &Heartbeat{Digest: v.digest, Wanted: e.isNeighbor}})
	if hello.Heartbeat.Digest != v.digest && l.dialedHere {
		v.sendDigests(l)
	}
}

// DialFailed handles a dial that ended without a link.
func (v *View) DialFailed(now float64, address string) {
	v.advanceClock(now)
	v.dialEnded(address, 0)
	v.finishEvent()
}

// dialEnded records the end of a dial. found is the member at the address, 0 if there was none. If it is not the expected member, its
// next dial is delayed by a backoff.
func (v *View) dialEnded(address string, found ID) {
	expected := v.dials[address]
	delete(v.dials, address)
	if e := v.byID[expected]; e != nil {
		e.isDialing = false
		if found != expected {
			e.failedDials++
			backoff := min(minBackoffSeconds*math.Pow(2, float64(min(e.failedDials, 8)-1)), maxBackoffSeconds)
			e.nextDial = v.now + backoff*(0.75+0.5*v.rng.Float64())
		}
	}
}

// LinkDown handles a link that broke, without a Closing message of either end.
func (v *View) LinkDown(now float64, number int) {
	v.advanceClock(now)
	if l := v.linkByNumber(number); l != nil {
		v.dropLink(l)
		// Danger: a member at its limit of links closes a new one as soon as it is up. When such links were redialed at once,
		// each of 1,500 members that started together dialed 85 times a second.
		l.peer.watchedUntil, l.peer.nextDial = v.now+watchGraceSeconds, max(l.peer.nextDial, v.now)
		v.activate(l.peer)
	}
	v.finishEvent()
}

// linkByNumber returns the link with a number, or nil if it is not up.
func (v *View) linkByNumber(number int) *link {
	if i := slices.IndexFunc(v.links, func(l *link) bool { return l.number == number }); i >= 0 {
		return v.links[i]
	}
	return nil
}

// dropLink closes a link without announcing it to the peer.
func (v *View) dropLink(l *link) {
	v.links = slices.DeleteFunc(v.links, func(other *link) bool { return other == l })
	if l.peer.link == l {
		l.peer.link = nil
	}
	v.actions.Close(l.number)
}

// closeLink announces the end of a link to the peer and closes it.
func (v *View) closeLink(l *link) {
	v.actions.Send(l.number, &Message{Closing: true})
	v.dropLink(l)
}

// HandleMessage handles a message that came over a link. It ignores messages over links that are no longer up.
func (v *View) HandleMessage(now float64, number int, m *Message) {
	v.advanceClock(now)
	defer v.finishEvent()
	l := v.linkByNumber(number)
	if l == nil || v.lostIdentity {
		return
	}
	l.peer.lastHeard, l.peer.mutedUntil, l.peer.muteSeconds = v.now, 0, 0
	for _, r := range m.Records {
		v.handleRecord(r, number)
	}
	if l.peer.link != l { // a record ended the link
		return
	}
	if m.BucketDigests != nil {
		v.handleDigests(l, m.BucketDigests)
	}
	if len(m.WantedBuckets) == 1 {
		v.sendBuckets(l, m.WantedBuckets[0])
	}
	if m.Heartbeat != nil {
		v.handleHeartbeat(l, m.Heartbeat)
	}
	if m.Closing {
		v.dropLink(l)
		l.peer.watchedUntil = 0
	}
}

// handleHeartbeat compares the digests of both views. It starts a comparison bucket by bucket if they have differed for minMismatches
// heartbeats while this view has not changed, or if the last comparison was more than maxSyncIntervalSeconds ago.
func (v *View) handleHeartbeat(l *link, h *Heartbeat) {
	l.peerWants = h.Wanted
	if h.Digest == v.digest {
		l.mismatches = 0
		return
	}
	l.mismatches++
	sinceSync := v.now - v.lastSync
	isSteady := l.mismatches >= minMismatches && v.now-v.digestChangedAt > minSyncIntervalSeconds
	if sinceSync > minSyncIntervalSeconds && (isSteady || sinceSync > maxSyncIntervalSeconds) {
		v.sendDigests(l)
	}
}

// dial requests a link to an address. id is the member that is expected there, 0 for any. At most one dial to an address is in
// progress at a time.
func (v *View) dial(address string, id ID) {
	if expected, inProgress := v.dials[address]; inProgress {
		if expected == 0 {
			v.dials[address] = id
		} else if e := v.byID[id]; e != nil && expected != id {
			e.isDialing = false
		}
		return
	}
	v.dials[address] = id
	v.actions.Dial(address)
}

// sendHeartbeat sends a heartbeat over a link, or closes the link if neither end wants it or the peer left or died. prepared caches the
// two messages that are sent: one to all non-neighbors, one to all neighbors.
func (v *View) sendHeartbeat(l *link, prepared *[2]*Message) {
	e := l.peer
	switch {
	case e.State == Left, e.State == Dead && v.now-e.stateSince > deadLinkSeconds:
		v.closeLink(l)
		return
	case !e.isNeighbor && !l.peerWants && l.dialedHere:
		e.watchedUntil = 0
		v.closeLink(l)
		return
	}
	m := &prepared[0]
	if e.isNeighbor {
		m = &prepared[1]
	}
	if *m == nil {
		*m = &Message{Heartbeat: &Heartbeat{Digest: v.digest, Wanted: e.isNeighbor}}
	}
	v.actions.Send(l.number, *m)
}
