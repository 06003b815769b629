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
func (v *View) Hello() Hello { return Hello{v.self.Record, Heartbeat{Digest: v.sum}} }

// enter takes the time. Danger: who stood still has heard nobody, by no fault of theirs; it doubts itself first.
func (v *View) enter(now float64) {
	if gap := now - v.now; gap > stallS {
		v.figures.Stalls++
		for _, e := range v.all {
			e.heard = max(e.heard, now-silentS/2)
			if e.State == Suspect && e.due > 0 {
				e.due += gap
			}
		}
		v.doubt()
	}
	v.now = max(v.now, now)
}

// watchedBy tells whether this member is to notice the silence of another.
func (e *entry) watchedBy(now float64) bool { return e.wanted || e.link != nil || now < e.watched }

// silent tells whether another was not heard for too long.
func (v *View) silent(e *entry) bool {
	patience := float64(1 + v.health)
	quiet := v.now - e.heard
	return quiet > silentS*patience || e.fails >= 2 && quiet > refusedS*patience
}

// LinkUp takes a link over which both ends have said who they are. Its number is the caller's and above 0; address is where
// it was dialed, empty where the other has dialed.
func (v *View) LinkUp(now float64, number int, address string, hello Hello) {
	v.enter(now)
	defer v.settle()
	if address != "" {
		v.dialed(address, hello.Self.ID)
		if slices.Contains(v.set.Join, address) {
			v.met[address] = hello.Self.ID
		}
	}
	if hello.Self.ID == v.self.ID {
		v.hearOfSelf(hello.Self, 0)
		v.do.Close(number)
		return
	}
	if v.quiet || v.left || !sane(&hello.Self) {
		v.do.Close(number)
		return
	}
	if e := v.byID[hello.Self.ID]; e != nil && hello.Self.Version.Compare(e.Version) < 0 {
		// A process that has been succeeded, or that began from an old copy of its state. It is told so.
		v.do.Send(number, &Message{Records: []Record{v.record(e)}})
		v.do.Close(number)
		return
	}
	hello.Self.State, hello.Self.Accusers, hello.Self.AgeSeconds = Alive, nil, 0
	v.hear(hello.Self, number)
	e := v.byID[hello.Self.ID]
	if e == nil {
		v.do.Close(number)
		return
	}
	l := &link{number: number, to: e, life: hello.Self.Version.BootID, dialed: address != "", wants: hello.Heartbeat.Wanted}
	if old := e.link; old != nil {
		// Of two links both ends keep the one that the lesser has dialed, or else the later.
		if old.life == l.life && old.dialed != l.dialed && old.dialed == (v.self.ID < e.ID) {
			v.do.Send(number, &Message{Closing: true})
			v.do.Close(number)
			return
		}
		v.do.Send(old.number, &Message{Closing: true})
		v.cut(old)
	}
	e.link, e.heard, e.fails, e.met = l, v.now, 0, true
	v.links = append(v.links, l)
	if v.teacher == 0 {
		v.teacher, v.taughtAt = number, v.now
	}
	v.heat(e)
	if e.State.IsDeadOrLeft() || e.State == Suspect || e.Version != hello.Self.Version {
		v.do.Send(number, &Message{Records: []Record{v.record(e)}}) // it learns what is said of it, and says no
	}
	v.do.Send(number, &Message{Heartbeat: &Heartbeat{Digest: v.sum, Wanted: e.wanted}})
	if hello.Heartbeat.Digest != v.sum && l.dialed {
		v.compare(l)
	}
}

// NotUp takes the end of a dial that came to nothing.
func (v *View) DialFailed(now float64, address string) {
	v.enter(now)
	v.dialed(address, 0)
	v.settle()
}

// dialed notes that a dial is over, and who was found there; 0: nobody.
func (v *View) dialed(address string, found ID) {
	id := v.dials[address]
	delete(v.dials, address)
	if e := v.byID[id]; e != nil {
		e.dialing = false
		if found != id {
			e.fails++
			e.nextTry = v.now + min(0.3*math.Pow(2, float64(min(e.fails, 8)-1)), 8)*(0.75+0.5*v.rng.Float64())
		}
	}
}

// LinkDown takes the end of a link that nobody has announced.
func (v *View) LinkDown(now float64, number int) {
	v.enter(now)
	if l := v.link(number); l != nil {
		v.cut(l)
		// Danger: who has no room for one more that it does not know ends a link as soon as it is up. Dialed again at once, 1,500
		// that began together dialed each other 85 times a second each.
		l.to.watched, l.to.nextTry = v.now+keepS, max(l.to.nextTry, v.now)
		v.heat(l.to)
	}
	v.settle()
}

func (v *View) link(number int) *link {
	if i := slices.IndexFunc(v.links, func(l *link) bool { return l.number == number }); i >= 0 {
		return v.links[i]
	}
	return nil
}

// cut ends a link here.
func (v *View) cut(l *link) {
	v.links = slices.DeleteFunc(v.links, func(o *link) bool { return o == l })
	if l.to.link == l {
		l.to.link = nil
	}
	v.do.Close(l.number)
}

// Heard takes a message.
func (v *View) HandleMessage(now float64, number int, m *Message) {
	v.enter(now)
	defer v.settle()
	l := v.link(number)
	if l == nil || v.quiet {
		return
	}
	l.to.heard, l.to.mute, l.to.muteFor = v.now, 0, 0
	for _, r := range m.Records {
		v.hear(r, number)
	}
	if l.to.link != l { // what it said has ended the link
		return
	}
	if m.BucketDigests != nil {
		v.differing(l, m.BucketDigests)
	}
	if len(m.WantedBuckets) == 1 {
		v.sendBuckets(l, m.WantedBuckets[0])
	}
	if b := m.Heartbeat; b != nil {
		l.wants = b.Wanted
		if b.Digest == v.sum {
			l.differ = 0
		} else if l.differ++; v.now-v.syncAt > syncS && (l.differ >= 3 && v.now-v.changed > syncS || v.now-v.syncAt > lateSyncS) {
			v.compare(l)
		}
	}
	if m.Closing {
		v.cut(l)
		l.to.watched = 0
	}
}

// Leave says that this member goes; nothing is said after it.
func (v *View) Leave(now float64) {
	v.enter(now)
	if v.left || v.quiet {
		return
	}
	v.left = true
	v.alter(v.self, true, func() { v.self.State, v.self.since = Left, v.now })
	v.tell(v.self, 0)
	v.flush()
}

// Renounce says that this identity goes, and nothing more under it. Become follows.
func (v *View) RenounceIdentity(now float64) {
	v.enter(now)
	if v.quiet {
		return
	}
	v.alter(v.self, true, func() { v.self.State, v.self.since = Left, v.now })
	v.tell(v.self, 0)
	v.flush()
	v.quiet = true
	v.hush()
}

// Hush has the member say nothing any more, and nothing of itself: a successor speaks in its place.
func (v *View) Silence(now float64) {
	v.enter(now)
	if !v.quiet {
		v.quiet = true
		v.hush()
	}
}

// Tick does what is due.
func (v *View) Tick(now float64) {
	v.enter(now)
	if v.tickAt = v.now + tickS; v.quiet {
		return
	}
	defer v.settle()
	if v.health > 0 && v.now-v.healthy > healthS {
		v.health, v.healthy = v.health-1, v.now
	}
	if v.left {
		return
	}
	for _, e := range slices.Clone(v.hot) {
		if e.link != nil && v.now-e.heard > deafS*float64(1+v.health) {
			// Danger: over a way that was cut TCP waits longer and longer, and a new link would be up at once.
			e.watched, e.nextTry = v.now+keepS, v.now
			v.cut(e.link)
		}
		switch {
		case e.State == Suspect && e.due > 0 && v.now >= e.due:
			v.figures.Deaths++
			v.alter(e, true, func() { e.State, e.since, e.Accusers = Dead, v.now, []ID{v.self.ID} })
			v.tell(e, 0)
		case e.State.IsDeadOrLeft():
		case e.watchedBy(v.now) && v.silent(e):
			v.miss(e)
		}
	}
	v.hot = slices.DeleteFunc(v.hot, func(e *entry) bool {
		e.hot = e.State == Suspect || e.watchedBy(v.now)
		return !e.hot
	})
	if v.now >= v.sweepAt {
		v.sweep()
	}
	if v.now >= v.beatAt {
		v.beatAt = v.now + beatS
		var said [2]*Message
		for _, l := range slices.Clone(v.links) {
			v.beat(l, &said)
		}
	}
	v.heal()
	if v.now < v.verifyAt && v.now < v.stormAt {
		return
	}
	suspected, live := v.suspects()
	storm := suspected*stormPart > live
	if storm && v.pace > stormS {
		v.pace = stormS
	}
	if storm || v.now >= v.verifyAt {
		v.verify(storm)
	}
	v.stormAt = v.now + min(v.pace, stormS)
}

// suspects returns how many are suspected, and how many are not gone.
func (v *View) suspects() (suspected, live int) {
	for _, e := range v.hot {
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
func (v *View) verify(any bool) {
	// Danger: calls at members that are only slow would slow them more. The pace grows with those that are not there alone.
	if e := v.verified; e != nil && e.fails > 0 {
		v.pace = max(v.pace/4, hasteS)
	} else if e == nil || e.link != nil || e.met {
		v.pace = min(2*v.pace, verifyS)
	}
	v.verified = nil
	v.verifyAt = v.now + v.pace*(0.5+v.rng.Float64())
	from := v.rng.IntN(len(v.all))
	for i := range v.all {
		if e := v.all[(from+i)%len(v.all)]; e != v.self && (any || !e.met) && e.State == Alive && !e.watchedBy(v.now) {
			e.heard, e.nextTry, e.fails, e.watched = v.now, v.now, 0, v.now+keepS
			v.verified = e
			v.heat(e)
			return
		}
	}
}

// sweep forgets those that are gone for long; some time before that they no longer count for the sums.
func (v *View) sweep() {
	v.sweepAt = v.now + sweepS
	for _, e := range slices.Clone(v.gone) {
		switch {
		case e != v.self && e.State.IsDeadOrLeft() && v.now-e.since > forgetS:
			v.forget(e)
		case e.State.IsDeadOrLeft() && !e.old && v.now-e.since > forgetS-edgeS:
			v.weigh(e)
			e.old = true
		}
	}
	v.gone = slices.DeleteFunc(v.gone, func(e *entry) bool {
		e.listed = e.State.IsDeadOrLeft()
		return !e.listed
	})
}

// miss accuses one that is silent, unless it has just shown others that it lives.
func (v *View) miss(e *entry) {
	if slices.Contains(e.Accusers, v.self.ID) && e.State == Suspect || len(e.Accusers) >= enough {
		return
	}
	if e.State == Alive {
		if v.now < e.mute {
			return
		}
		e.muteFor = min(max(2*e.muteFor, muteS), mostMuteS)
		e.mute = v.now + e.muteFor
	}
	v.accuse(e)
}

// beat says that this member is there, and ends a link that nobody wants or that leads to one who has gone. What it says is
// the same on all links that are wanted, and on all that are not.
func (v *View) beat(l *link, said *[2]*Message) {
	e := l.to
	switch {
	case e.State == Left, e.State == Dead && v.now-e.since > oldLinkS:
		v.do.Send(l.number, &Message{Closing: true})
		v.cut(l)
		return
	case !e.wanted && !l.wants && l.dialed:
		e.watched = 0
		v.do.Send(l.number, &Message{Closing: true})
		v.cut(l)
		return
	}
	m := &said[0]
	if e.wanted {
		m = &said[1]
	}
	if *m == nil {
		*m = &Message{Heartbeat: &Heartbeat{Digest: v.sum, Wanted: e.wanted}}
	}
	v.do.Send(l.number, *m)
}

// settle chooses neighbours, dials them, and tells what is new.
func (v *View) settle() {
	switch {
	case v.dirty:
		v.choose()
	case v.touched:
		for _, e := range v.neighbours {
			v.await(e)
		}
	}
	v.dirty, v.touched = false, false
	v.flush()
	if v.quiet || v.left {
		return
	}
	for _, e := range v.hot {
		if e.link == nil && !e.dialing && !e.State.IsDeadOrLeft() && v.now >= e.nextTry && (e.wanted || v.now < e.watched) {
			e.dialing, e.nextTry = true, v.now+1
			v.dial(e.Address, e.ID)
		}
	}
}

func (v *View) dial(address string, id ID) {
	if other, on := v.dials[address]; on {
		if other == 0 {
			v.dials[address] = id
		} else if e := v.byID[id]; e != nil && other != id {
			e.dialing = false
		}
		return
	}
	v.dials[address] = id
	v.do.Dial(address)
}

// choose takes the neighbours on the rings, on each the next one after this member, and those that Want has asked for. Those that
// are suspected are watched on, and the next one beside them, so that a fleet that loses many at once is joined again soon.
func (v *View) choose() {
	for _, e := range v.neighbours {
		if e.State.IsDeadOrLeft() {
			e.watched = 0
		}
		e.wanted = false
	}
	v.neighbours = v.neighbours[:0]
	if v.quiet || v.left {
		v.nearest = farthest
		return
	}
	var suspected []*entry // by ID
	for _, e := range v.hot {
		if e.State == Suspect {
			suspected = append(suspected, e)
		}
	}
	slices.SortFunc(suspected, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	for ring := range rings {
		own := ringOrder(v.self.ID, ring)
		after := math.Inf(1) // of the first that is not suspected
		dist := func(id ID) float64 { return float64(ringOrder(id, ring) - own) }
		var next *entry
		for i, id := range v.ids {
			if d := dist(id); d < after {
				if e := v.all[i]; e.State == Alive && e != v.self {
					next, after = e, d
				}
			}
		}
		v.nearest[ring] = after
		passed := 0
		wantNext := func(before *entry) { // in the order of IDs
			if next != nil && (before == nil || next.ID < before.ID) {
				v.want(next)
				next = nil
			}
		}
		for _, e := range suspected {
			if dist(e.ID) < after && passed < rings {
				passed++
				wantNext(e)
				v.want(e)
			}
		}
		wantNext(nil)
	}
	for _, id := range v.asked {
		if e := v.byID[id]; e != nil && e != v.self && !e.State.IsDeadOrLeft() {
			v.want(e)
		}
	}
}

// want has a link kept to one.
func (v *View) want(e *entry) {
	if !e.wanted {
		v.await(e)
		e.wanted = true
		v.neighbours = append(v.neighbours, e)
	}
	v.heat(e)
}

// await has one that is to be a neighbour, and to whom there is no link, have its time anew.
func (v *View) await(e *entry) {
	if e.link == nil && v.now >= e.watched {
		e.heard, e.nextTry, e.fails = v.now, v.now, 0
	}
}

var farthest = func() (d [rings]float64) {
	for i := range d {
		d[i] = math.Inf(1)
	}
	return d
}()

// near tells whether a change of one can change who the neighbours are: on some ring it is no farther than the next one that is
// not suspected. Danger: chosen anew with each change, a fleet that forms costs by the cube of its size.
func (v *View) near(e *entry) bool {
	if slices.Contains(v.asked, e.ID) {
		return true
	}
	for ring := range rings {
		if float64(ringOrder(e.ID, ring)-ringOrder(v.self.ID, ring)) <= v.nearest[ring] {
			return true
		}
	}
	return false
}

// heal calls those that are not heard, now and then, so that parts of a fleet that was cut meet again. All together do so a
// few times a second, however many they are.
func (v *View) heal() {
	if v.now < v.healAt {
		return
	}
	live := v.LiveCount()
	v.healAt = v.now + max(1, float64(live)/healPart)*(0.5+v.rng.Float64())
	var addresses []string
	dead := slices.DeleteFunc(slices.Clone(v.gone), func(e *entry) bool { return e.State != Dead || e.Address == v.address })
	slices.SortFunc(dead, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range dead {
		addresses = append(addresses, e.Address)
	}
	for _, a := range v.set.Join {
		if e := v.byID[v.met[a]]; a != v.address && (e == nil || e != v.self && e.State.IsDeadOrLeft()) && !v.lives(a) {
			addresses = append(addresses, a)
		}
	}
	if len(addresses) == 0 {
		return
	}
	if live == 1 && len(addresses) <= 8 { // nobody is known: all at once
		v.healAt = v.now + 0.5 + 0.5*v.rng.Float64()
		for _, a := range addresses {
			v.dial(a, 0)
		}
		return
	}
	v.dial(addresses[v.rng.IntN(len(addresses))], 0)
}

// lives tells whether one that lives has an address.
func (v *View) lives(address string) bool {
	return slices.ContainsFunc(v.all, func(e *entry) bool { return e.Address == address && !e.State.IsDeadOrLeft() })
}
