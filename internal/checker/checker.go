package checker

import "slices"

// Checker checks the rules event by event. It is not safe for concurrent use.
type Checker struct {
	rules          Rules
	violations     []Violation // the first maxViolations
	violationCount int         // including those that are not kept
	recentEvents   []Event     // ring of the last maxRecentEvents
	eventCount     int

	requests         map[uint64]*request
	connections      map[uint64]*connectionState
	hostileClients   map[uint64]*hostileClient
	servers          []serverState
	sidecars         []sidecarState
	overlaps         []attemptOverlap
	pathFaults       []pathFault
	discoveryDownAt  float64    // since when discovery is down; 0: it is up
	discoveryUpAt    float64    // end of its last outage
	discoveryOutages []interval // oldest first
	discoveryQueues  []interval // in which calls were queued there, oldest first

	services []ClassService // by class
	costs    Costs
	now      float64 // time of the last event
}

// timeToleranceSeconds allows for the rounding of times that are known exactly.
const timeToleranceSeconds = 1e-4

var _ Observer = (*Checker)(nil)

// New returns a checker that has observed nothing.
func New(rules Rules) *Checker {
	c := &Checker{
		rules:          rules,
		recentEvents:   make([]Event, 0, maxRecentEvents),
		requests:       map[uint64]*request{},
		connections:    map[uint64]*connectionState{},
		hostileClients: map[uint64]*hostileClient{},
		sidecars:       make([]sidecarState, rules.Sidecars),
	}
	for _, class := range rules.Classes {
		c.services = append(c.services, ClassService{Name: class.Name})
	}
	return c
}

// Violations returns the first violations, oldest first.
func (c *Checker) Violations() []Violation { return c.violations }

// ViolationCount returns the number of all violations, including those that Violations leaves out.
func (c *Checker) ViolationCount() int { return c.violationCount }

// Observe implements Observer. Events come in the order of At.
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
		c.observeDeployment(&e)
	}
}

// observeDeployment handles what discovery, the network and the processes report.
func (c *Checker) observeDeployment(e *Event) {
	c.observeDiscovery(e)
	c.observePath(e)
	sidecar := c.sidecar(e.Sidecar)
	if sidecar == nil {
		return
	}
	c.observeUpdates(sidecar, e)
	c.observeProcess(sidecar, e)
	c.observeCordon(sidecar, e)
	c.observeFleet(e)
}

// Finish ends the day: checks that wait for later events are decided with those observed so far. Nothing may be observed
// after it.
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

// class returns the class of a number; nil: there is none such.
func (c *Checker) class(n int32) *Class {
	if n < 0 || int(n) >= len(c.rules.Classes) {
		return nil
	}
	return &c.rules.Classes[n]
}
