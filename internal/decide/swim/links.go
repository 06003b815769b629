package swim

import (
	"cmp"
	"math"
	"slices"
)

// Hello is how each end of a link begins.
type Hello struct {
	Self      Record    `msgpack:"Self"`
	Heartbeat Heartbeat `msgpack:"Beat"`
}

// Hello returns what this member says first on a link.
func (v *View) Hello() Hello { return Hello{v.self.Record, Heartbeat{Digest: v.digest}} }

// enter takes the time. Danger: who stood still has heard nobody, by no fault of theirs; it doubts itself first.
func (v *View) advanceClock(now float64) {
	if gap := now - v.now; gap > stallThresholdSeconds {
		v.stats.Stalls++
		for _, e := range v.entries {
			e.lastHeard = max(e.lastHeard, now-silenceTimeoutSeconds/2)
			if e.State == Suspect && e.deadAt > 0 {
				e.deadAt += gap
			}
		}
		v.raiseHealthScore()
	}
	v.now = max(v.now, now)
}

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

// Tick does what is due.
func (v *View) Tick(now float64) {
	v.advanceClock(now)
	if v.nextTick = v.now + tickIntervalSeconds; v.lostIdentity {
		return
	}
	defer v.finishEvent()
	if v.healthScore > 0 && v.now-v.healthChangedAt > healthDecaySeconds {
		v.healthScore, v.healthChangedAt = v.healthScore-1, v.now
	}
	if v.hasLeft {
		return
	}
	for _, e := range slices.Clone(v.active) {
		if e.link != nil && v.now-e.lastHeard > linkTimeoutSeconds*float64(1+v.healthScore) {
			// Danger: over a way that was cut TCP waits longer and longer, and a new link would be up at once.
			e.watchedUntil, e.nextDial = v.now+watchGraceSeconds, v.now
			v.dropLink(e.link)
		}
		switch {
		case e.State == Suspect && e.deadAt > 0 && v.now >= e.deadAt:
			v.stats.Deaths++
			v.changeEntry(e, true, func() { e.State, e.stateSince, e.Accusers = Dead, v.now, []ID{v.self.ID} })
			v.enqueueUpdate(e, 0)
		case e.State.IsDeadOrLeft():
		case e.isWatched(v.now) && v.isSilent(e):
			v.suspectSilent(e)
		}
	}
	v.active = slices.DeleteFunc(v.active, func(e *entry) bool {
		e.isActive = e.State == Suspect || e.isWatched(v.now)
		return !e.isActive
	})
	if v.now >= v.nextSweep {
		v.sweep()
	}
	if v.now >= v.nextHeartbeat {
		v.nextHeartbeat = v.now + heartbeatIntervalSeconds
		var said [2]*Message
		for _, l := range slices.Clone(v.links) {
			v.sendHeartbeat(l, &said)
		}
	}
	v.reconnect()
	if v.now < v.nextProbe && v.now < v.nextMassFailureProbe {
		return
	}
	suspected, live := v.countSuspects()
	storm := suspected*massFailureFraction > live
	if storm && v.probeInterval > massFailureProbeIntervalSeconds {
		v.probeInterval = massFailureProbeIntervalSeconds
	}
	if storm || v.now >= v.nextProbe {
		v.probe(storm)
	}
	v.nextMassFailureProbe = v.now + min(v.probeInterval, massFailureProbeIntervalSeconds)
}

// suspects returns how many are suspected, and how many are not gone.
func (v *View) countSuspects() (suspected, live int) {
	for _, e := range v.active {
		if e.State == Suspect {
			suspected++
		}
	}
	if suspected > 0 {
		live = v.LiveCount()
	}
	return suspected, live
}

// verify calls one that lives by the word of others alone and that this member has never met, or any that it does not watch.
func (v *View) probe(any bool) {
	// Danger: calls at members that are only slow would slow them more. The pace grows with those that are not there alone.
	if e := v.probed; e != nil && e.failedDials > 0 {
		v.probeInterval = max(v.probeInterval/4, minProbeIntervalSeconds)
	} else if e == nil || e.link != nil || e.wasLinked {
		v.probeInterval = min(2*v.probeInterval, maxProbeIntervalSeconds)
	}
	v.probed = nil
	v.nextProbe = v.now + v.probeInterval*(0.5+v.rng.Float64())
	from := v.rng.IntN(len(v.entries))
	for i := range v.entries {
		if e := v.entries[(from+i)%len(v.entries)]; e != v.self && (any || !e.wasLinked) && e.State == Alive && !e.isWatched(v.now) {
			e.lastHeard, e.nextDial, e.failedDials, e.watchedUntil = v.now, v.now, 0, v.now+watchGraceSeconds
			v.probed = e
			v.activate(e)
			return
		}
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

// settle chooses neighbours, dials them, and tells what is new.
func (v *View) finishEvent() {
	switch {
	case v.neighborsStale:
		v.chooseNeighbors()
	case v.neighborsTouched:
		for _, e := range v.neighbors {
			v.restartSilence(e)
		}
	}
	v.neighborsStale, v.neighborsTouched = false, false
	v.sendUpdates()
	if v.lostIdentity || v.hasLeft {
		return
	}
	for _, e := range v.active {
		if e.link == nil && !e.isDialing && !e.State.IsDeadOrLeft() && v.now >= e.nextDial && (e.isNeighbor || v.now < e.watchedUntil) {
			e.isDialing, e.nextDial = true, v.now+1
			v.dial(e.Address, e.ID)
		}
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

// choose takes the neighbours on the rings, on each the next one after this member, and those that Want has asked for. Those that
// are suspected are watched on, and the next one beside them, so that a fleet that loses many at once is joined again soon.
func (v *View) chooseNeighbors() {
	for _, e := range v.neighbors {
		if e.State.IsDeadOrLeft() {
			e.watchedUntil = 0
		}
		e.isNeighbor = false
	}
	v.neighbors = v.neighbors[:0]
	if v.lostIdentity || v.hasLeft {
		v.nearestLive = noNeighbors
		return
	}
	var suspected []*entry // by ID
	for _, e := range v.active {
		if e.State == Suspect {
			suspected = append(suspected, e)
		}
	}
	slices.SortFunc(suspected, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	for ring := range ringCount {
		own := ringPosition(v.self.ID, ring)
		after := math.Inf(1) // of the first that is not suspected
		dist := func(id ID) float64 { return float64(ringPosition(id, ring) - own) }
		var next *entry
		for i, id := range v.ids {
			if d := dist(id); d < after {
				if e := v.entries[i]; e.State == Alive && e != v.self {
					next, after = e, d
				}
			}
		}
		v.nearestLive[ring] = after
		passed := 0
		wantNext := func(before *entry) { // in the order of IDs
			if next != nil && (before == nil || next.ID < before.ID) {
				v.addNeighbor(next)
				next = nil
			}
		}
		for _, e := range suspected {
			if dist(e.ID) < after && passed < ringCount {
				passed++
				wantNext(e)
				v.addNeighbor(e)
			}
		}
		wantNext(nil)
	}
	for _, id := range v.requested {
		if e := v.byID[id]; e != nil && e != v.self && !e.State.IsDeadOrLeft() {
			v.addNeighbor(e)
		}
	}
}

// want has a link kept to one.
func (v *View) addNeighbor(e *entry) {
	if !e.isNeighbor {
		v.restartSilence(e)
		e.isNeighbor = true
		v.neighbors = append(v.neighbors, e)
	}
	v.activate(e)
}

// await has one that is to be a neighbour, and to whom there is no link, have its time anew.
func (v *View) restartSilence(e *entry) {
	if e.link == nil && v.now >= e.watchedUntil {
		e.lastHeard, e.nextDial, e.failedDials = v.now, v.now, 0
	}
}

var noNeighbors = func() (d [ringCount]float64) {
	for i := range d {
		d[i] = math.Inf(1)
	}
	return d
}()

// near tells whether a change of one can change who the neighbours are: on some ring it is no farther than the next one that is
// not suspected. Danger: chosen anew with each change, a fleet that forms costs by the cube of its size.
func (v *View) affectsNeighbors(e *entry) bool {
	if slices.Contains(v.requested, e.ID) {
		return true
	}
	for ring := range ringCount {
		if float64(ringPosition(e.ID, ring)-ringPosition(v.self.ID, ring)) <= v.nearestLive[ring] {
			return true
		}
	}
	return false
}

// heal calls those that are not heard, now and then, so that parts of a fleet that was cut meet again. All together do so a
// few times a second, however many they are.
func (v *View) reconnect() {
	if v.now < v.nextReconnect {
		return
	}
	live := v.LiveCount()
	v.nextReconnect = v.now + max(1, float64(live)/reconnectsPerSecond)*(0.5+v.rng.Float64())
	var addresses []string
	dead := slices.DeleteFunc(slices.Clone(v.departed), func(e *entry) bool { return e.State != Dead || e.Address == v.address })
	slices.SortFunc(dead, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range dead {
		addresses = append(addresses, e.Address)
	}
	for _, a := range v.settings.Join {
		if e := v.byID[v.joinIDs[a]]; a != v.address && (e == nil || e != v.self && e.State.IsDeadOrLeft()) && !v.hasLiveAddress(a) {
			addresses = append(addresses, a)
		}
	}
	if len(addresses) == 0 {
		return
	}
	if live == 1 && len(addresses) <= 8 { // nobody is known: all at once
		v.nextReconnect = v.now + 0.5 + 0.5*v.rng.Float64()
		for _, a := range addresses {
			v.dial(a, 0)
		}
		return
	}
	v.dial(addresses[v.rng.IntN(len(addresses))], 0)
}

// lives tells whether one that lives has an address.
func (v *View) hasLiveAddress(address string) bool {
	return slices.ContainsFunc(v.entries, func(e *entry) bool { return e.Address == address && !e.State.IsDeadOrLeft() })
}
