package swim

import (
	"math"
	"slices"
)

// LinkUp takes a link over which both ends have said who they are. Its number is the caller's and above 0; address is where
// it was dialed, empty where the other has dialed.
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
		v.handleOwnRecord(hello.Self, 0)
		v.actions.Close(number)
		return
	}
	if v.lostIdentity || v.hasLeft || !isValid(&hello.Self) {
		v.actions.Close(number)
		return
	}
	if e := v.byID[hello.Self.ID]; e != nil && hello.Self.Version.Compare(e.Version) < 0 {
		// A process that has been succeeded, or that began from an old copy of its state. It is told so.
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
	if old := e.link; old != nil {
		// Of two links both ends keep the one that the lesser has dialed, or else the later.
		if old.bootID == l.bootID && old.dialedHere != l.dialedHere && old.dialedHere == (v.self.ID < e.ID) {
			v.actions.Send(number, &Message{Closing: true})
			v.actions.Close(number)
			return
		}
		v.actions.Send(old.number, &Message{Closing: true})
		v.dropLink(old)
	}
	e.link, e.lastHeard, e.failedDials, e.wasLinked = l, v.now, 0, true
	v.links = append(v.links, l)
	if v.firstLink == 0 {
		v.firstLink, v.firstLinkAt = number, v.now
	}
	v.activate(e)
	if e.State.IsDeadOrLeft() || e.State == Suspect || e.Version != hello.Self.Version {
		v.actions.Send(number, &Message{Records: []Record{v.recordOf(e)}}) // it learns what is said of it, and says no
	}
	v.actions.Send(number, &Message{Heartbeat: &Heartbeat{Digest: v.digest, Wanted: e.isNeighbor}})
	if hello.Heartbeat.Digest != v.digest && l.dialedHere {
		v.sendDigests(l)
	}
}

// NotUp takes the end of a dial that came to nothing.
func (v *View) DialFailed(now float64, address string) {
	v.advanceClock(now)
	v.dialEnded(address, 0)
	v.finishEvent()
}

// dialed notes that a dial is over, and who was found there; 0: nobody.
func (v *View) dialEnded(address string, found ID) {
	id := v.dials[address]
	delete(v.dials, address)
	if e := v.byID[id]; e != nil {
		e.isDialing = false
		if found != id {
			e.failedDials++
			e.nextDial = v.now + min(0.3*math.Pow(2, float64(min(e.failedDials, 8)-1)), 8)*(0.75+0.5*v.rng.Float64())
		}
	}
}

// LinkDown takes the end of a link that nobody has announced.
func (v *View) LinkDown(now float64, number int) {
	v.advanceClock(now)
	if l := v.linkByNumber(number); l != nil {
		v.dropLink(l)
		// Danger: who has no room for one more that it does not know ends a link as soon as it is up. Dialed again at once, 1,500
		// that began together dialed each other 85 times a second each.
		l.peer.watchedUntil, l.peer.nextDial = v.now+watchGraceSeconds, max(l.peer.nextDial, v.now)
		v.activate(l.peer)
	}
	v.finishEvent()
}

func (v *View) linkByNumber(number int) *link {
	if i := slices.IndexFunc(v.links, func(l *link) bool { return l.number == number }); i >= 0 {
		return v.links[i]
	}
	return nil
}

// cut ends a link here.
func (v *View) dropLink(l *link) {
	v.links = slices.DeleteFunc(v.links, func(o *link) bool { return o == l })
	if l.peer.link == l {
		l.peer.link = nil
	}
	v.actions.Close(l.number)
}

// Heard takes a message.
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
	if l.peer.link != l { // what it said has ended the link
		return
	}
	if m.BucketDigests != nil {
		v.handleDigests(l, m.BucketDigests)
	}
	if len(m.WantedBuckets) == 1 {
		v.sendBuckets(l, m.WantedBuckets[0])
	}
	if b := m.Heartbeat; b != nil {
		l.peerWants = b.Wanted
		if b.Digest == v.digest {
			l.mismatches = 0
		} else if l.mismatches++; v.now-v.lastSync > minSyncIntervalSeconds && (l.mismatches >= 3 && v.now-v.digestChangedAt > minSyncIntervalSeconds || v.now-v.lastSync > maxSyncIntervalSeconds) {
			v.sendDigests(l)
		}
	}
	if m.Closing {
		v.dropLink(l)
		l.peer.watchedUntil = 0
	}
}

func (v *View) dial(address string, id ID) {
	if other, on := v.dials[address]; on {
		if other == 0 {
			v.dials[address] = id
		} else if e := v.byID[id]; e != nil && other != id {
			e.isDialing = false
		}
		return
	}
	v.dials[address] = id
	v.actions.Dial(address)
}

// beat says that this member is there, and ends a link that nobody wants or that leads to one who has gone. What it says is
// the same on all links that are wanted, and on all that are not.
func (v *View) sendHeartbeat(l *link, said *[2]*Message) {
	e := l.peer
	switch {
	case e.State == Left, e.State == Dead && v.now-e.stateSince > deadLinkSeconds:
		v.actions.Send(l.number, &Message{Closing: true})
		v.dropLink(l)
		return
	case !e.isNeighbor && !l.peerWants && l.dialedHere:
		e.watchedUntil = 0
		v.actions.Send(l.number, &Message{Closing: true})
		v.dropLink(l)
		return
	}
	m := &said[0]
	if e.isNeighbor {
		m = &said[1]
	}
	if *m == nil {
		*m = &Message{Heartbeat: &Heartbeat{Digest: v.digest, Wanted: e.isNeighbor}}
	}
	v.actions.Send(l.number, *m)
}
