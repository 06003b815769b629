package checker

import (
	"fmt"
	"math"
	"slices"
)

// Judge checks the rules event by event. It is not safe for concurrent use.
type Checker struct {
	rules          Rules
	violations     []Violation
	violationCount int // rules broken, also beyond the findings that are kept
	recentEvents   []Event
	eventCount     int

	requests         map[uint64]*request
	connections      map[uint64]*connectionState
	hostileClients   map[uint64]*hostileClient
	servers          []serverState
	sidecars         []sidecarState
	overlaps         []attemptOverlap
	pathFaults       []pathFault
	discoveryDownAt  float64 // since when discovery is down; 0: it is up
	discoveryUpAt    float64
	discoveryOutages []interval // of discovery, oldest first
	discoveryQueues  []interval // times in which calls waited there, oldest first

	services []ClassService
	costs    Costs
	now      float64
}

// linkState is a connection at a box with the attempt that came over it last.
type connectionState struct {
	request      *request
	attemptIndex int
}

// hostile is a client that may not be served.
type hostileClient struct {
	deadline       float64
	isSettled      bool
	claimedRequest *request // whose id it uses
}

// copies are two attempts of a try of which the first had no end when the second came. Whether it had one when the
// second was sent shows when its connection's end arrives.
type attemptOverlap struct {
	request       *request
	first, second int
	decideAt      float64
}

// span is a time between two.
type interval struct{ from, until float64 } // +Inf: it goes on

// cut is a way that is in trouble.
type pathFault struct {
	sidecar, server int32
	from, until     float64 // +Inf: it still is
}

const (
	maxViolations      = 100
	maxRecentEvents    = 1 << 14
	maxViolationEvents = 30
	// catchUpS is how long a process that stood still may take to come to what has come meanwhile.
	catchUpSeconds = 0.25
	// copyWaitS is how long the end of a first attempt may be under way.
	overlapWaitSeconds = 1.0
	// exactS is what rounding takes of times that are known exactly.
	timeToleranceSeconds = 1e-4
)

var _ Observer = (*Checker)(nil)

// New returns a judge that has seen nothing.
func New(rules Rules) *Checker {
	c := &Checker{rules: rules, requests: map[uint64]*request{}, connections: map[uint64]*connectionState{}, hostileClients: map[uint64]*hostileClient{},
		recentEvents: make([]Event, 0, maxRecentEvents), sidecars: make([]sidecarState, rules.Sidecars)}
	for _, class := range rules.Classes {
		c.services = append(c.services, ClassService{Name: class.Name})
	}
	return c
}

// Findings returns the first breaks found, oldest first.
func (c *Checker) Violations() []Violation { return c.violations }

// Broken returns how many breaks there were, also those beyond Findings.
func (c *Checker) ViolationCount() int { return c.violationCount }

// See takes one event. Events come in the order of At.
func (c *Checker) Observe(e Event) {
	c.now = e.At
	if len(c.recentEvents) < maxRecentEvents {
		c.recentEvents = append(c.recentEvents, e)
	} else {
		c.recentEvents[c.eventCount%maxRecentEvents] = e
	}
	c.eventCount++
	for len(c.overlaps) > 0 && c.overlaps[0].decideAt <= e.At {
		c.decideOverlap()
	}
	switch {
	case e.Kind < ServerStarted:
		c.observeClient(&e)
	case e.Kind < ListChanged:
		c.observeServer(&e)
	default:
		c.observeSidecar(&e)
	}
}

// End tells that the day is over: what waits for more time is decided.
func (c *Checker) Finish(now float64) {
	c.now = now
	for len(c.overlaps) > 0 {
		c.decideOverlap()
	}
	for i := range c.sidecars {
		for _, request := range slices.Clone(c.sidecars[i].pendingRequests) {
			if now > request.deadline+c.rules.AnswerSlackSeconds+c.rules.SocketSlackSeconds {
				c.endRequest(request, abandoned, now)
			}
		}
		c.checkPolling(int32(i), now)
	}
}

// find notes a break of a rule, with the events that show it.
func (c *Checker) addViolation(rule Rule, sidecar, server int32, request uint64, shownEvents []Event, format string, args ...any) {
	if c.violationCount++; len(c.violations) >= maxViolations {
		return
	}
	violation := Violation{Rule: rule, At: c.now, Sidecar: sidecar, Server: server, Request: request, Reason: fmt.Sprintf(format, args...)}
	violation.Events = append(violation.Events, shownEvents...)
	first := max(0, c.eventCount-len(c.recentEvents))
	for i := first; i < c.eventCount; i++ {
		e := &c.recentEvents[i%maxRecentEvents]
		if request != 0 && e.Request == request || request == 0 && server >= 0 && e.Server == server && e.At >= c.now-c.rules.OverloadWindowSeconds ||
			request == 0 && server < 0 && e.Sidecar == sidecar && i >= c.eventCount-4 {
			violation.Events = append(violation.Events, *e)
		}
	}
	if count := len(violation.Events); count > maxViolationEvents {
		violation.Events = violation.Events[count-maxViolationEvents:]
	}
	c.violations = append(c.violations, violation)
}

// party returns what is known of a sidecar; nil: there is none such.
func (c *Checker) sidecar(sidecar int32) *sidecarState {
	if sidecar < 0 || int(sidecar) >= len(c.sidecars) {
		return nil
	}
	return &c.sidecars[sidecar]
}

// station returns what is known of a box.
func (c *Checker) server(server int32) *serverState {
	for int(server) >= len(c.servers) {
		c.servers = append(c.servers, serverState{})
	}
	return &c.servers[server]
}

// knows returns what a sidecar was told of a box.
func (p *sidecarState) entry(server int32) *notifiedEntry {
	for int(server) >= len(p.entries) {
		p.entries = append(p.entries, notifiedEntry{})
	}
	return &p.entries[server]
}

// class returns a request's class; nil: there is none such.
func (c *Checker) class(n int32) *Class {
	if n < 0 || int(n) >= len(c.rules.Classes) {
		return nil
	}
	return &c.rules.Classes[n]
}

// troubled tells whether a way was in trouble between two times, or shortly before: what the trouble has held back comes
// later.
func (c *Checker) hadPathFault(sidecar, server int32, from, until float64) bool {
	const after = 11 // seconds until lost bytes are sent again
	for i := range c.pathFaults {
		fault := &c.pathFaults[i]
		isSamePath := (fault.sidecar == sidecar || fault.sidecar < 0) && fault.server == server
		if isSamePath && fault.from <= until && fault.until+after >= from {
			return true
		}
	}
	return false
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

// endSpan ends the last of some times, if it goes on.
func closeLastInterval(all []interval, at float64) {
	if n := len(all); n > 0 && math.IsInf(all[n-1].until, 1) {
		all[n-1].until = at
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
