package checker

import (
	"math"
	"slices"
)

// party returns what is known of a sidecar; nil: there is none such.
func (c *Checker) sidecar(sidecar int32) *sidecarState {
	if sidecar < 0 || int(sidecar) >= len(c.sidecars) {
		return nil
	}
	return &c.sidecars[sidecar]
}

// knows returns what a sidecar was told of a box.
func (p *sidecarState) entry(server int32) *notifiedEntry {
	for int(server) >= len(p.entries) {
		p.entries = append(p.entries, notifiedEntry{})
	}
	return &p.entries[server]
}

// seeRest takes what discovery, the network and the processes tell.
func (c *Checker) observeSidecar(e *Event) {
	sidecar := c.sidecar(e.Sidecar)
	switch e.Kind {
	case ListChanged:
		server := c.server(e.Server)
		server.listChanges = append(server.listChanges, *e)
	case DiscoveryDown:
		c.discoveryDownAt = e.At
		c.discoveryOutages = append(c.discoveryOutages, interval{e.At, math.Inf(1)})
		for i := range c.sidecars { // all watches end, which their sidecars are told
			c.sidecars[i].stalledAt = 0
		}
	case DiscoveryUp:
		c.discoveryDownAt, c.discoveryUpAt = 0, e.At
		closeLastInterval(c.discoveryOutages, e.At)
	case DiscoveryQueueFormed:
		c.discoveryQueues = append(c.discoveryQueues, interval{e.At, math.Inf(1)})
	case DiscoveryQueueDrained:
		closeLastInterval(c.discoveryQueues, e.At)
	case PathFaultStarted:
		c.pathFaults = append(c.pathFaults, pathFault{e.Sidecar, e.Server, e.At, math.Inf(1)})
	case PathFaultEnded:
		for i := range c.pathFaults {
			fault := &c.pathFaults[i]
			if fault.sidecar == e.Sidecar && fault.server == e.Server && math.IsInf(fault.until, 1) {
				fault.until = e.At
				break
			}
		}
	}
	if sidecar == nil {
		return
	}
	switch e.Kind {
	case EntryDelivered, EntryRelayed:
		// Danger: an old list that was passed on would excuse a sidecar that goes by it.
		entry := sidecar.entry(e.Server)
		if e.Kind == EntryRelayed && (e.ListIndex < sidecar.listIndex || e.Status == Deleted && entry.status == 0) {
			return
		}
		sidecar.listIndex = max(sidecar.listIndex, e.ListIndex)
		if e.Kind == EntryRelayed { // others take the place of a watch that fell silent; what they pass on comes later than a watch would bring it
			sidecar.stalledAt = 0
		}
		if e.Status == Serving {
			*entry = notifiedEntry{status: Serving, changedAt: e.At, servingSince: e.ServingSince, event: *e}
		} else if entry.status == Serving || entry.status == 0 { // from the first word on it counts
			*entry = notifiedEntry{status: e.Status, changedAt: e.At, servingSince: entry.servingSince, event: *e}
		} else {
			entry.status = e.Status
		}
	case DiscoveryCalled:
		sidecar.polledAt, sidecar.isPolledSinceWatch = e.At, true
	case DiscoveryCallFailed:
		sidecar.pollFailed = true
	case WatchOpened:
		sidecar.openWatches++
		sidecar.pollFailed, sidecar.stalledAt = false, 0
	case WatchStalled:
		sidecar.stalledWatches = append(sidecar.stalledWatches, e.Connection)
		sidecar.noteStalledWatches(e.At)
	case WatchClosed:
		sidecar.openWatches--
		sidecar.stalledWatches = slices.DeleteFunc(sidecar.stalledWatches, func(link uint64) bool { return link == e.Connection })
		if c.discoveryDownAt == 0 {
			sidecar.noteStalledWatches(e.At)
		}
		sidecar.polledAt, sidecar.isPolledSinceWatch = e.At, false
	case SidecarStarted:
		*sidecar = sidecarState{incarnation: sidecar.incarnation + 1, startedAt: e.At, polledAt: e.At, openWatches: sidecar.openWatches, stalledWatches: sidecar.stalledWatches, killedAt: sidecar.killedAt, pendingRequests: sidecar.pendingRequests, entries: sidecar.entries[:0],
			pollFailed: c.discoveryDownAt > 0} // its first call is refused, which nobody sees
	case SidecarKilled:
		c.sidecarKilled(sidecar, e)
	case SidecarTerminating:
		sidecar.terminatingAt = e.At
	case SidecarExited:
		if sidecar.terminatingAt == 0 {
			c.addViolation(NoCrash, e.Sidecar, -1, 0, nil, "the process ended unasked with status %d", e.Status)
		} else if e.Status != 0 {
			c.addViolation(NoCrash, e.Sidecar, -1, 0, nil, "the process ended with status %d", e.Status)
		}
	case SidecarPanicked:
		c.addViolation(NoCrash, e.Sidecar, -1, 0, nil, "panic: %s", e.Text)
	case SidecarSuspended:
		sidecar.suspendedAt, sidecar.resumedAt = e.At, math.Inf(1)
	case SidecarResumed:
		sidecar.resumedAt, sidecar.polledAt = e.At, max(sidecar.polledAt, e.At)
		for i := range sidecar.entries { // what was said to it meanwhile it hears now
			if entry := &sidecar.entries[i]; entry.changedAt >= sidecar.suspendedAt {
				entry.changedAt = e.At
			}
		}
	case FleetInvariantBroken:
		c.addViolation([...]Rule{ViewInvariant: FleetView, DeathInvariant: FalseDeath, RankInvariant: FleetRank, IncarnationInvariant: FleetIncarnation, QueueInvariant: FleetQueue, TokenInvariant: StaleOwner,
			OccupiedInvariant: MaintenanceOccupied, BudgetInvariant: MaintenanceBudget, RepeatInvariant: MaintenanceRepeated, RecordInvariant: MaintenanceRecorded}[e.Status], e.Sidecar, -1, 0, nil, "%s", e.Text)
	case SidecarReloaded:
		sidecar.reloadedAt = e.At
	case ServerCordoned:
		if sidecar.cordons == nil {
			sidecar.cordons = map[int32]float64{}
		}
		if sidecar.cordons[e.Server] == 0 {
			sidecar.cordons[e.Server] = e.At
		}
	case ServerUncordoned:
		delete(sidecar.cordons, e.Server)
	case DescriptorsCounted:
		if int(e.Count) > c.rules.MaxDescriptors {
			c.addViolation(DescriptorLimit, e.Sidecar, -1, 0, nil, "%d descriptors of %d", e.Count, c.rules.MaxDescriptors)
		}
	case LeftoversCounted:
		if e.Count > 0 {
			c.addViolation(NoLeftovers, e.Sidecar, -1, 0, nil, "%d %s left when the day was over", e.Count, e.Text)
		}
	}
}

// killed excuses what a killed sidecar had open, unless it had been told to end and took more.
func (c *Checker) sidecarKilled(sidecar *sidecarState, e *Event) {
	sidecar.killedAt = e.At
	for len(sidecar.pendingRequests) > 0 {
		request := sidecar.pendingRequests[0]
		if isUnanswered := sidecar.terminatingAt > 0 && request.sentAt > sidecar.terminatingAt+c.rules.TermGraceSeconds+c.rules.SocketSlackSeconds && e.At < request.deadline; isUnanswered {
			c.addViolation(OneAnswer, request.sidecar, -1, request.id, nil, "taken %.3f s after the order to end and not answered when killed", request.sentAt-sidecar.terminatingAt)
		}
		c.endRequest(request, excused, e.At)
	}
	sidecar.incarnation++
}

// knowledge is what a sidecar's present process has been told of a box.
type notifiedEntry struct {
	status       int32 // 0: nothing
	changedAt    float64
	servingSince float64 // of the entry that told it to serve, the last one
	event        Event
}

// party is a sidecar.
type sidecarState struct {
	cordons            map[int32]float64 // boxes that operators have taken out, since when
	incarnation        int
	startedAt          float64
	killedAt           float64
	terminatingAt      float64 // 0: it was not told to end
	reloadedAt         float64
	suspendedAt        float64 // when it stood still last, until thawedAt
	resumedAt          float64
	openWatches        int
	stalledWatches     []uint64 // links of those to which nothing is written any more
	stalledAt          float64  // since when it has had no watch that speaks, the last of which fell silent then; 0: it has one, or lost it otherwise
	polledAt           float64  // when it called discovery last
	pollFailed         bool
	isPolledSinceWatch bool // since its last watch ended
	pendingRequests    []*request
	entries            []notifiedEntry // by box
	listIndex          uint64          // of the latest list that it was told of
}

// fellSilent notes that all watches that are open are silent, if they are.
func (p *sidecarState) noteStalledWatches(at float64) {
	if p.openWatches > 0 && p.openWatches <= len(p.stalledWatches) && p.stalledAt == 0 {
		p.stalledAt = at
	}
}

// watched tells whether a watch is open that speaks.
func (p *sidecarState) hasLiveWatch() bool { return p.openWatches > len(p.stalledWatches) }

// take and drop keep the list of a sidecar's open tries. Its order is that of what happened, never that of a map.
func (p *sidecarState) addPending(request *request) {
	if request.pendingIndex < 0 {
		request.pendingIndex = len(p.pendingRequests)
		p.pendingRequests = append(p.pendingRequests, request)
	}
}

func (p *sidecarState) removePending(request *request) {
	if request.pendingIndex < 0 {
		return
	}
	last := p.pendingRequests[len(p.pendingRequests)-1]
	p.pendingRequests[request.pendingIndex], last.pendingIndex = last, request.pendingIndex
	p.pendingRequests = p.pendingRequests[:len(p.pendingRequests)-1]
	request.pendingIndex = -1
}
