package environment

import (
	"math"
	"math/rand/v2"
	"strconv"

	"hazelwheel/internal/checker"
)

// Discovery is the discovery service of all sidecars, at one of its addresses after another. It learns of the servers'
// processes alone, after a delay, and serves one call at a time.
type Discovery struct {
	DelaySeconds float64 // additional delay of all that it learns from now on

	day                *Day
	spec               *DiscoverySpec
	observer           checker.Observer
	sidecars           sidecarAddresses
	rng                *rand.Rand
	entries            []entry       // by server
	changes            []change      // of the list, oldest first
	knownServers       []knownServer // by server
	pendingChanges     schedule[change]
	listIndex          uint64
	nextPublishAt      float64 // when due changes are applied next
	isDown             bool
	refusesConnections bool // while it is down connections are refused, too
	address            int  // index of the address in use
	endpoints          []*discoveryEndpoint
	lastConnNumber     uint64

	queuedCalls    []*discoveryConn // oldest first; the first one is being served if isServingCall
	isServingCall  bool
	callDoneAt     float64 // when the call being served is done
	hasQueue       bool    // calls wait behind the one being served
	fullListFaults int     // faults by which a watch starts with the complete list
}

// entry is a server's entry of the list; a status of 0: it was never listed.
type entry struct {
	status       int32
	address      string
	servingSince float64
	index        uint64 // of its last change
}

// change is a server's new entry, from a time on.
type change struct {
	server      int
	incarnation int // of the server; a change of an earlier incarnation is dropped
	entry       entry
	at          float64
}

// knownServer is what discovery has learned of a server.
type knownServer struct {
	incarnation int
	changeAt    float64 // of the last change; a later one is not applied before it
	entry       entry   // after the last change. Danger: the list may not have it yet, and the next change must start from it
}

// NewDiscovery returns a discovery service that lists the servers which run at the day's start.
func NewDiscovery(day *Day, observer checker.Observer) *Discovery {
	discovery := &Discovery{
		day:           day,
		spec:          &day.Discovery,
		observer:      observer,
		sidecars:      newSidecarAddresses(day),
		rng:           randomStream(day.Seed, "discovery", 0),
		entries:       make([]entry, len(day.Servers)),
		knownServers:  make([]knownServer, len(day.Servers)),
		listIndex:     40,
		nextPublishAt: day.Start,
	}
	for i := range day.Servers[:day.InitialServers] {
		discovery.knownServers[i].entry = entry{status: checker.Serving, address: day.Servers[i].Address}
		discovery.apply(change{server: i, entry: discovery.knownServers[i].entry, at: day.Start})
	}
	return discovery
}

// ServerStarted notifies discovery of a server's new process.
func (d *Discovery) ServerStarted(server int, address string, since, now float64) {
	d.knownServers[server].incarnation++
	d.scheduleChange(server, entry{status: checker.Serving, address: address, servingSince: since}, now+d.spec.StartNoticeSeconds)
}

// ServerDraining notifies discovery that a server drains.
func (d *Discovery) ServerDraining(server int, now float64) {
	e := d.knownServers[server].entry
	e.status = checker.Draining
	d.scheduleChange(server, e, now+d.spec.StartNoticeSeconds/4)
}

// ServerStopped notifies discovery that a server's process has ended or, if silent, that its machine is unreachable.
func (d *Discovery) ServerStopped(server int, silent bool, now float64) {
	e := d.knownServers[server].entry
	e.status = checker.Deleted
	at := now + d.spec.FailureNoticeSeconds
	if silent {
		at = now + d.spec.SilentNoticeSeconds
	}
	d.scheduleChange(server, e, at)
}

// scheduleChange schedules a change of a server's entry.
func (d *Discovery) scheduleChange(server int, e entry, at float64) {
	k := &d.knownServers[server]
	k.changeAt, k.entry = max(k.changeAt, at+d.DelaySeconds), e
	d.pendingChanges.add(k.changeAt, change{server: server, incarnation: k.incarnation, entry: e, at: k.changeAt})
	d.updateAlarms()
}

// apply applies a change to the list.
func (d *Discovery) apply(c change) {
	d.listIndex++
	c.entry.index = d.listIndex
	d.entries[c.server] = c.entry
	d.changes = append(d.changes, c)
	d.observeEntry(checker.ListChanged, -1, c.server, c.entry, d.listIndex, c.at)
}

// observeEntry reports an event of an entry to the observer.
func (d *Discovery) observeEntry(kind checker.Kind, sidecar int32, server int, e entry, index uint64, now float64) {
	d.observer.Observe(checker.Event{
		Kind:         kind,
		At:           now,
		FirstSent:    now,
		Sent:         now,
		Sidecar:      sidecar,
		Server:       int32(server),
		Status:       e.status,
		ServingSince: e.servingSince,
		Address:      e.address,
		ListIndex:    index,
	})
}

// nextAt returns when discovery has something to do; +Inf: nothing is due.
func (d *Discovery) nextAt() float64 {
	at := math.Inf(1)
	if !d.isDown && len(d.pendingChanges.heap) > 0 {
		at = max(d.nextPublishAt, d.pendingChanges.nextAt())
	}
	if d.isServingCall {
		at = min(at, d.callDoneAt)
	}
	return at
}

// advance does what is due by now: it applies changes and serves calls.
func (d *Discovery) advance(now float64) {
	if !d.isDown && now >= d.nextPublishAt && d.pendingChanges.nextAt() <= now {
		before := d.listIndex
		for {
			c, _, ok := d.pendingChanges.pop(now)
			if !ok {
				break
			}
			if c.at = now; c.incarnation == d.knownServers[c.server].incarnation {
				d.apply(c)
			}
		}
		d.nextPublishAt = now + d.spec.PublishIntervalSeconds
		if d.listIndex > before {
			for _, endpoint := range d.endpoints {
				endpoint.scheduleUpdates(now)
			}
		}
	}
	for d.isServingCall && d.callDoneAt <= now {
		conn := d.queuedCalls[0]
		d.queuedCalls = d.queuedCalls[1:]
		d.isServingCall = false
		at := d.callDoneAt
		if conn.conn != nil {
			conn.endpoint.serve(conn)
		}
		d.startNextCall(at)
	}
	d.observeQueue(now)
}

// startNextCall starts to serve the next call, and rejects those that have waited too long.
func (d *Discovery) startNextCall(now float64) {
	for !d.isServingCall && len(d.queuedCalls) > 0 {
		conn := d.queuedCalls[0]
		switch {
		case conn.conn == nil:
			d.queuedCalls = d.queuedCalls[1:]
		case now-conn.calledAt > d.spec.CallTimeoutSeconds:
			d.queuedCalls = d.queuedCalls[1:]
			conn.endpoint.reject(conn)
		default:
			d.isServingCall = true
			d.callDoneAt = now + d.spec.callSeconds(len(d.day.Servers))
		}
	}
}

// observeQueue reports to the observer whether calls wait behind the one being served, when that changes.
func (d *Discovery) observeQueue(now float64) {
	isQueued := false
	for i := 1; i < len(d.queuedCalls) && !isQueued; i++ {
		isQueued = d.queuedCalls[i].conn != nil
	}
	if isQueued == d.hasQueue {
		return
	}
	kind := checker.DiscoveryQueueDrained
	if d.hasQueue = isQueued; isQueued {
		kind = checker.DiscoveryQueueFormed
	}
	d.observer.Observe(checker.Event{Kind: kind, At: now, Sidecar: -1, Server: -1})
}

// StallWatches has nothing more be written to the watches that are open. Later ones work.
func (d *Discovery) StallWatches() {
	for _, endpoint := range d.endpoints {
		endpoint.net.Post(endpoint.stallWatches)
	}
}

// SendFullLists has each watch start with the complete list, which leaves out draining servers, or ends that. Calls are
// counted.
func (d *Discovery) SendFullLists(enabled bool) {
	if enabled {
		d.fullListFaults++
	} else {
		d.fullListFaults--
	}
}

// SetDown takes discovery down, or up again. While it is down it answers 503, or refuses connections.
func (d *Discovery) SetDown(down bool, now float64) {
	if d.isDown == down {
		return
	}
	d.isDown, d.refusesConnections = down, d.rng.IntN(2) == 0
	kind := checker.DiscoveryUp
	if down {
		kind = checker.DiscoveryDown
		d.queuedCalls, d.isServingCall = nil, false
		d.observeQueue(now)
		for _, endpoint := range d.endpoints {
			endpoint.net.Post(endpoint.closeAll)
		}
	}
	d.observer.Observe(checker.Event{Kind: kind, At: now, Sidecar: -1, Server: -1})
	d.updateAlarms()
}

// Move moves discovery to its next address, whose machine must have started; false: there is none. The present address
// accepts no new connections, and closes the open ones after OldAddressSeconds.
func (d *Discovery) Move() bool {
	if d.address+1 >= len(d.spec.Addresses) {
		return false
	}
	old := d.address
	d.address++
	for _, endpoint := range d.endpoints {
		if endpoint.number == old {
			endpoint.net.Post(endpoint.retire)
		}
	}
	return true
}

// Address returns the present address.
func (d *Discovery) Address() string { return d.spec.Addresses[d.address] }

// currentIP returns the IP of the present address.
func (d *Discovery) currentIP() string { return d.spec.IPs[d.address] }

// nextIP returns the IP of the next address; false: there is none.
func (d *Discovery) nextIP() (string, bool) {
	if d.address+1 >= len(d.spec.IPs) {
		return "", false
	}
	return d.spec.IPs[d.address+1], true
}

// updateAlarms has all endpoints set their alarms anew. It may be called from any of the actors' loops.
func (d *Discovery) updateAlarms() {
	for _, endpoint := range d.endpoints {
		endpoint.net.Post(endpoint.updateAlarm)
	}
}

// asOf returns the list as of a time, and its index.
func (d *Discovery) asOf(at float64) (index uint64, list []entry) {
	list = make([]entry, len(d.entries))
	for _, c := range d.changes {
		if c.at <= at {
			list[c.server], index = c.entry, c.entry.index
		}
	}
	return index, list
}

var statusText = map[int32]string{checker.Serving: "SERVING", checker.Draining: "DRAINING", checker.Deleted: "DELETED"}

// formatList returns the JSON object of an update: the entries that changed after an index, or the complete list.
func (d *Discovery) formatList(index uint64, list []entry, since uint64, snapshot bool) []byte {
	dst := strconv.AppendUint([]byte(`{"index":`), index, 10)
	dst = strconv.AppendBool(append(dst, `,"snapshot":`...), snapshot)
	dst = append(dst, `,"endpoints":[`...)
	first := true
	for i := range list {
		e, b := &list[i], &d.day.Servers[i]
		if !d.includes(e, since, snapshot) {
			continue
		}
		if !first {
			dst = append(dst, ',')
		}
		first = false
		dst = append(append(append(dst, `{"name":"`...), b.Name...), `","address":"`...)
		dst = append(append(append(dst, e.address...), `","zone":"`...), d.day.Sites[b.Site]...)
		dst = append(append(append(dst, `","type":"`...), d.day.ServerKinds[b.Kind]...), `","group":`...)
		dst = append(append(append(strconv.AppendInt(dst, int64(b.Cell), 10), `,"status":"`...), statusText[e.status]...), `","weight":`...)
		dst = strconv.AppendFloat(dst, b.Weight, 'f', -1, 64)
		dst = strconv.AppendInt(append(dst, `,"since_ms":`...), int64(math.Round(e.servingSince*1e3)), 10)
		dst = append(dst, '}')
	}
	return append(dst, "]}"...)
}

// includes reports whether an update has an entry. A complete list leaves out deleted servers, and draining ones while
// fullListFaults is set.
func (d *Discovery) includes(e *entry, since uint64, snapshot bool) bool {
	if snapshot {
		return e.status == checker.Serving || e.status == checker.Draining && d.fullListFaults == 0
	}
	return e.status != 0 && e.index > since
}

// observeDelivery reports to the observer that an update was written to a sidecar.
//
// Danger: a complete list says that the servers it leaves out are gone. Without an event for these the checker would accept
// a sidecar that uses them.
func (d *Discovery) observeDelivery(sidecar int32, index uint64, list []entry, since uint64, snapshot bool, now float64) {
	for i := range list {
		e := list[i]
		isLeftOut := snapshot && e.status != 0 && !d.includes(&e, since, snapshot)
		if isLeftOut {
			e.status = checker.Deleted
		}
		if isLeftOut || d.includes(&e, since, snapshot) {
			d.observeEntry(checker.EntryDelivered, sidecar, i, e, index, now)
		}
	}
}
