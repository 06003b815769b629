package environment

import (
	"math"
	"math/rand/v2"
	"strconv"

	"hazelwheel/internal/checker"
)

// Registry is discovery: one service for all sidecars, at one of its addresses after another. It knows only what boxes'
// processes do, and that late; it works through calls in turn.
type Discovery struct {
	DelaySeconds float64 // further delay of all that it learns from now on

	day                *Day
	spec               *DiscoverySpec
	observer           checker.Observer
	sidecars           sidecarAddresses
	rng                *rand.Rand
	entries            []entry       // by box
	changes            []change      // all that the list has taken, oldest first
	known              []knownServer // by box
	pending            schedule[change]
	index              uint64
	nextPublishAt      float64 // when what is due is taken up next
	isDown             bool
	refusesConnections bool // while it is down calls are not even answered
	address            int  // the address in use
	endpoints          []*discoveryEndpoint
	lastConnNumber     uint64

	queuedCalls    []*discoveryConn // that wait, oldest first
	isServingCall  bool
	callDoneAt     float64 // when the one in hand is done
	hasQueue       bool    // calls wait behind it
	fullListFaults int     // troubles by which a watch begins with the whole list
}

// entry is what the list says of a box; a status of 0: it was never on it.
type entry struct {
	status       int32
	address      string
	servingSince float64
	index        uint64 // of the change that made it so
}

// change is a box's new entry, from a time on.
type change struct {
	server      int
	incarnation int // of the box; one that ended a life that has been followed by another says nothing
	entry       entry
	at          float64
}

// learned is what the registry has been told of a box.
type knownServer struct {
	incarnation int
	dueAt       float64 // of the last change: a later one does not overtake it
	entry       entry   // what it says then. Danger: the list may not have it yet, and what follows must not undo it
}

// NewRegistry returns a discovery service that lists the boxes that stand at the day's start.
func NewDiscovery(d *Day, w checker.Observer) *Discovery {
	r := &Discovery{day: d, spec: &d.Discovery, observer: w, sidecars: newSidecarAddresses(d), rng: randomStream(d.Seed, "discovery", 0),
		entries: make([]entry, len(d.Servers)), known: make([]knownServer, len(d.Servers)), index: 40, nextPublishAt: d.Start}
	for i := range d.Servers[:d.InitialServers] {
		r.known[i].entry = entry{status: checker.Serving, address: d.Servers[i].Address}
		r.apply(change{server: i, entry: r.known[i].entry, at: d.Start})
	}
	return r
}

// Up tells the registry of a box's new life.
func (r *Discovery) ServerStarted(box int, address string, since, now float64) {
	r.known[box].incarnation++
	r.scheduleChange(box, entry{status: checker.Serving, address: address, servingSince: since}, now+r.spec.StartNoticeSeconds)
}

// Drained tells it that a box drains.
func (r *Discovery) ServerDraining(box int, now float64) {
	e := r.known[box].entry
	e.status = checker.Draining
	r.scheduleChange(box, e, now+r.spec.StartNoticeSeconds/4)
}

// Lost tells it that a box's process has gone, or that its machine has gone silent.
func (r *Discovery) ServerStopped(box int, silent bool, now float64) {
	e := r.known[box].entry
	e.status = checker.Deleted
	at := now + r.spec.FailureNoticeSeconds
	if silent {
		at = now + r.spec.SilentNoticeSeconds
	}
	r.scheduleChange(box, e, at)
}

func (r *Discovery) scheduleChange(box int, e entry, at float64) {
	k := &r.known[box]
	k.dueAt, k.entry = max(k.dueAt, at+r.DelaySeconds), e
	r.pending.add(k.dueAt, change{server: box, incarnation: k.incarnation, entry: e, at: k.dueAt})
	r.updateAlarms()
}

// take puts a change into the list.
func (r *Discovery) apply(c change) {
	r.index++
	c.entry.index = r.index
	r.entries[c.server] = c.entry
	r.changes = append(r.changes, c)
	r.observeEntry(checker.ListChanged, -1, c.server, c.entry, r.index, c.at)
}

func (r *Discovery) observeEntry(kind checker.Kind, sidecar int32, box int, e entry, index uint64, now float64) {
	r.observer.Observe(checker.Event{Kind: kind, At: now, FirstSent: now, Sent: now, Sidecar: sidecar, Server: int32(box), Status: e.status,
		ServingSince: e.servingSince, Address: e.address, ListIndex: index})
}

// due returns when the registry has something to do.
func (r *Discovery) nextAt() float64 {
	at := math.Inf(1)
	if !r.isDown && len(r.pending.heap) > 0 {
		at = max(r.nextPublishAt, r.pending.nextAt())
	}
	if r.isServingCall {
		at = min(at, r.callDoneAt)
	}
	return at
}

// work does what is due by now: it takes up what it has learned and serves calls.
func (r *Discovery) advance(now float64) {
	if !r.isDown && now >= r.nextPublishAt && r.pending.nextAt() <= now {
		before := r.index
		for {
			c, _, ok := r.pending.pop(now)
			if !ok {
				break
			}
			if c.at = now; c.incarnation == r.known[c.server].incarnation {
				r.apply(c)
			}
		}
		r.nextPublishAt = now + r.spec.PublishIntervalSeconds
		if r.index > before {
			for _, f := range r.endpoints {
				f.scheduleUpdates(now)
			}
		}
	}
	for r.isServingCall && r.callDoneAt <= now {
		k := r.queuedCalls[0]
		r.queuedCalls = r.queuedCalls[1:]
		r.isServingCall = false
		at := r.callDoneAt
		if k.conn != nil {
			k.endpoint.serve(k)
		}
		r.startNextCall(at)
	}
	r.observeQueue(now)
}

// next takes the next call in hand, and turns away those that have waited too long.
func (r *Discovery) startNextCall(now float64) {
	for !r.isServingCall && len(r.queuedCalls) > 0 {
		k := r.queuedCalls[0]
		switch {
		case k.conn == nil:
			r.queuedCalls = r.queuedCalls[1:]
		case now-k.calledAt > r.spec.CallTimeoutSeconds:
			r.queuedCalls = r.queuedCalls[1:]
			k.endpoint.reject(k)
		default:
			r.isServingCall = true
			r.callDoneAt = now + r.spec.callSeconds(len(r.day.Servers))
		}
	}
}

// lookAtLine tells the witness whether calls wait behind the one in hand.
func (r *Discovery) observeQueue(now float64) {
	waiting := false
	for i := 1; i < len(r.queuedCalls) && !waiting; i++ {
		waiting = r.queuedCalls[i].conn != nil
	}
	if waiting == r.hasQueue {
		return
	}
	kind := checker.DiscoveryQueueDrained
	if r.hasQueue = waiting; waiting {
		kind = checker.DiscoveryQueueFormed
	}
	r.observer.Observe(checker.Event{Kind: kind, At: now, Sidecar: -1, Server: -1})
}

// Hush has all watches that are open say nothing more. Those that begin from then on speak.
func (r *Discovery) StallWatches() {
	for _, f := range r.endpoints {
		f.net.Post(f.stallWatches)
	}
}

// BeginWhole has each watch begin with the whole list, which leaves out servers that drain, or ends that.
func (r *Discovery) SendFullLists(on bool) {
	if on {
		r.fullListFaults++
	} else {
		r.fullListFaults--
	}
}

// Down ends discovery's service, or brings it back. While it is down it answers 503, or ends connections at once.
func (r *Discovery) SetDown(down bool, now float64) {
	if r.isDown == down {
		return
	}
	r.isDown, r.refusesConnections = down, r.rng.IntN(2) == 0
	kind := checker.DiscoveryUp
	if down {
		kind = checker.DiscoveryDown
		r.queuedCalls, r.isServingCall = nil, false
		r.observeQueue(now)
		for _, f := range r.endpoints {
			f.net.Post(f.closeAll)
		}
	}
	r.observer.Observe(checker.Event{Kind: kind, At: now, Sidecar: -1, Server: -1})
	r.updateAlarms()
}

// Move has discovery go on at its next address, whose machine must have begun; false: there is none. The present one
// takes no new connections and ends the open ones after a while.
func (r *Discovery) Move() bool {
	if r.address+1 >= len(r.spec.Addresses) {
		return false
	}
	old := r.address
	r.address++
	for _, f := range r.endpoints {
		if f.number == old {
			f.net.Post(f.retire)
		}
	}
	return true
}

// Address returns where discovery is now.
func (r *Discovery) Address() string { return r.spec.Addresses[r.address] }

// ip returns the IP of the present address.
func (r *Discovery) currentIP() string { return r.spec.IPs[r.address] }

// nextIP returns the IP of the address that it moves to next; false: there is none.
func (r *Discovery) nextIP() (string, bool) {
	if r.address+1 >= len(r.spec.IPs) {
		return "", false
	}
	return r.spec.IPs[r.address+1], true
}

// arm has all fronts look again at what is due. It may be called from anywhere.
func (r *Discovery) updateAlarms() {
	for _, f := range r.endpoints {
		f.net.Post(f.updateAlarm)
	}
}

// asOf returns the entries as they stood at a time.
func (r *Discovery) asOf(at float64) (index uint64, list []entry) {
	list = make([]entry, len(r.entries))
	for _, c := range r.changes {
		if c.at <= at {
			list[c.server], index = c.entry, c.entry.index
		}
	}
	return index, list
}

var statusText = map[int32]string{checker.Serving: "SERVING", checker.Draining: "DRAINING", checker.Deleted: "DELETED"}

// list writes one object of discovery: the entries that changed after an index, or the whole list.
func (r *Discovery) formatList(index uint64, list []entry, since uint64, snapshot bool) []byte {
	dst := strconv.AppendUint([]byte(`{"index":`), index, 10)
	dst = strconv.AppendBool(append(dst, `,"snapshot":`...), snapshot)
	dst = append(dst, `,"endpoints":[`...)
	first := true
	for i := range list {
		e, b := &list[i], &r.day.Servers[i]
		if !r.includes(e, since, snapshot) {
			continue
		}
		if !first {
			dst = append(dst, ',')
		}
		first = false
		dst = append(append(append(dst, `{"name":"`...), b.Name...), `","address":"`...)
		dst = append(append(append(dst, e.address...), `","zone":"`...), r.day.Sites[b.Site]...)
		dst = append(append(append(dst, `","type":"`...), r.day.ServerKinds[b.Kind]...), `","group":`...)
		dst = append(append(append(strconv.AppendInt(dst, int64(b.Cell), 10), `,"status":"`...), statusText[e.status]...), `","weight":`...)
		dst = strconv.AppendFloat(dst, b.Weight, 'f', -1, 64)
		dst = strconv.AppendInt(append(dst, `,"since_ms":`...), int64(math.Round(e.servingSince*1e3)), 10)
		dst = append(dst, '}')
	}
	return append(dst, "]}"...)
}

// tells whether an object holds an entry. A whole list leaves out what is gone, and at times what drains.
func (r *Discovery) includes(e *entry, since uint64, snapshot bool) bool {
	if snapshot {
		return e.status == checker.Serving || e.status == checker.Draining && r.fullListFaults == 0
	}
	return e.status != 0 && e.index > since
}

// tell notes that a sidecar has been written such an object. Danger: a whole list says of what it leaves out that it is
// gone; a judge that forgot that would never blame a sidecar for using it.
func (r *Discovery) observeDelivery(sidecar int32, index uint64, list []entry, since uint64, snapshot bool, now float64) {
	for i := range list {
		e := list[i]
		leftOut := snapshot && e.status != 0 && !r.includes(&e, since, snapshot)
		if leftOut {
			e.status = checker.Deleted
		}
		if leftOut || r.includes(&e, since, snapshot) {
			r.observeEntry(checker.EntryDelivered, sidecar, i, e, index, now)
		}
	}
}
