package checker

import "slices"

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

// class returns a request's class; nil: there is none such.
func (c *Checker) class(n int32) *Class {
	if n < 0 || int(n) >= len(c.rules.Classes) {
		return nil
	}
	return &c.rules.Classes[n]
}
