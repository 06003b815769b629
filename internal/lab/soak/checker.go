package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Checker collects what was seen and says which rules were broken. It is safe for use by several goroutines.
type Checker struct {
	mu            sync.Mutex
	violations    map[Rule][]string
	executions    map[string]int // by request
	kinds         map[string]RequestKind
	refused       map[string]bool
	newestRoutes  map[proxyIncarnation]int // the newest added route that a proxy's life has known
	confirmedAt   map[int]time.Time
	byAdded       map[bool]requestCounts // of added routes, of first ones
	byKind        map[RequestKind]requestCounts
	outcomes      map[string]int // by what clients saw
	resumedFeeds  int            // feeds that another attempt went on with
	hungUpEarly   int            // processes that SIGHUP ended before they can have begun
	recoveredFrom time.Time      // from when on requests count as after the last fault; zero: not yet
	afterRecovery requestCounts
}

type proxyIncarnation struct {
	edge        string
	incarnation int
}

// NewChecker returns a checker that has seen nothing.
func NewChecker() *Checker {
	return &Checker{violations: map[Rule][]string{}, executions: map[string]int{}, kinds: map[string]RequestKind{}, refused: map[string]bool{},
		newestRoutes: map[proxyIncarnation]int{}, confirmedAt: map[int]time.Time{}, byAdded: map[bool]requestCounts{}, byKind: map[RequestKind]requestCounts{}, outcomes: map[string]int{}}
}

const maxDetailsPerRule = 5

// Break notes that a rule was broken.
func (c *Checker) ReportViolation(rule Rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportViolationLocked(rule, format, args...)
}

func (c *Checker) reportViolationLocked(rule Rule, format string, args ...any) {
	c.violations[rule] = append(c.violations[rule], fmt.Sprintf(format, args...))
}

// Broken returns the rules that were broken, with the first cases of each.
func (c *Checker) Violations() map[Rule][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[Rule][]string{}
	for rule, details := range c.violations {
		out[rule] = slices.Clone(details[:min(len(details), maxDetailsPerRule)])
	}
	return out
}

// Ran tells that a server has begun to run a request.
func (c *Checker) RequestExecuted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[id]++
	if c.kinds[id] != NonIdempotent {
		return
	}
	if c.executions[id] > 1 {
		c.reportViolationLocked(AtMostOnce, "%s has run %d times", id, c.executions[id])
	}
	if c.refused[id] {
		c.reportViolationLocked(RefusedNotExecuted, "%s was refused and runs later", id)
	}
}

// Got takes the body with which a request came to a server.
func (c *Checker) RequestBodyReceived(id, body string) {
	if body != requestBody(id) {
		c.ReportViolation(BodyIntact, "%s came with the body %.60q", id, body)
	}
}

// Sending tells that a client sends a request.
func (c *Checker) RequestSent(id string, kind RequestKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kinds[id] = kind
}

// Acknowledged tells that a configuration was confirmed. Each adds the route of its number.
func (c *Checker) ConfigurationAcknowledged(route int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt[route] = at
}

// FaultsEnded tells that requests which are sent from a time on are to be served again.
func (c *Checker) ExpectServiceFrom(from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recoveredFrom = from
}

// Resumed counts a feed that goes on after an event that its client has.
func (c *Checker) FeedResumed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumedFeeds++
}

// HungUpEarly counts a process that SIGHUP ended before it can have begun.
func (c *Checker) ProcessHungUpEarly() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hungUpEarly++
}

// Ended takes what a client saw of a request.
func (c *Checker) RequestEnded(o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[o.label()]++
	c.checkAnswer(&o)
	c.checkRoute(&o)
	if o.Status == 503 && o.Kind == NonIdempotent {
		c.refused[o.ID] = true
		if c.executions[o.ID] > 0 {
			c.reportViolationLocked(RefusedNotExecuted, "%s has run and was refused", o.ID)
		}
	}
	if !c.recoveredFrom.IsZero() && o.SentAt.After(c.recoveredFrom) {
		c.afterRecovery = c.afterRecovery.add(o.Status == 200)
	}
	if !o.Disturbed && !o.DialFailed {
		c.byAdded[o.Route > 0] = c.byAdded[o.Route > 0].add(o.Status == 200)
		c.byKind[o.Kind] = c.byKind[o.Kind].add(o.Status == 200)
	}
}

// checkAnswer looks at the answer, or at the lack of one.
func (c *Checker) checkAnswer(o *Outcome) {
	switch {
	case o.Status == 200 && (o.Body != expectedAnswer(o.Kind, o.ID) || !o.HasStamp):
		c.reportViolationLocked(AnswerIsOwn, "%s got %.60q, stamp %v", o.ID, o.Body, o.HasStamp)
	case o.Kind == ResumableFeed && o.ConnectionClosed && o.Body != "":
		// A feed that breaks off more often than the route has attempts ends with what came in order.
		if !strings.HasPrefix(expectedAnswer(ResumableFeed, o.ID), o.Body) {
			c.reportViolationLocked(AnswerIsOwn, "%s broke off after %.80q", o.ID, o.Body)
		}
	case o.TimedOut && !o.Disturbed:
		c.reportViolationLocked(AlwaysAnswered, "%s (%s) at %s: no answer and no end after %v", o.ID, o.Kind, o.Edge, o.EndedAt.Sub(o.SentAt))
	case o.ConnectionClosed && !o.Disturbed:
		c.reportViolationLocked(AlwaysAnswered, "%s (%s) at %s: closed without an answer after %v, and nothing was done to the machine", o.ID, o.Kind, o.Edge, o.EndedAt.Sub(o.SentAt))
	}
}

// checkRoute looks at what the answer tells of the configuration at the proxy.
func (c *Checker) checkRoute(o *Outcome) {
	if o.Route == 0 || o.Status == 0 {
		return
	}
	proxy := proxyIncarnation{o.Edge, o.Incarnation}
	if o.Status != 404 {
		c.newestRoutes[proxy] = max(c.newestRoutes[proxy], o.Route)
		return
	}
	if o.Route <= c.newestRoutes[proxy] {
		c.reportViolationLocked(ConfigurationMonotonic, "%s, life %d: no route %d, though it has known route %d", o.Edge, o.Incarnation, o.Route, c.newestRoutes[proxy])
	}
	confirmedAt, ok := c.confirmedAt[o.Route]
	if age := o.SentAt.Sub(confirmedAt); ok && !o.Disturbed && age > time.Duration(configApplySeconds*float64(time.Second))+busyMachineSlack {
		c.reportViolationLocked(ConfigurationInForce, "%s: no route %d %v after it was confirmed", o.Edge, o.Route, age)
	}
}

// Finish judges what can be judged in the end alone.
func (c *Checker) Finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	added, first := c.byAdded[true], c.byAdded[false]
	if added.sent >= minRequestsForRatio && first.sent >= minRequestsForRatio && added.servedRatio() < minServedRatio*first.servedRatio() {
		c.reportViolationLocked(AddedRoutesServed, "of %d requests on routes that were added %d were served; of %d on the first routes %d", added.sent, added.served,
			first.sent, first.served)
	}
	all := requestCounts{}
	for _, kind := range c.byKind {
		all.sent, all.served = all.sent+kind.sent, all.served+kind.served
	}
	for kind, counts := range c.byKind {
		if counts.sent >= minRequestsForRatio && counts.servedRatio() < minServedRatio*all.servedRatio() {
			c.reportViolationLocked(KindsServed, "of %d requests of the kind %s %d were served, of all %d %d", counts.sent, kind, counts.served, all.sent, all.served)
		}
	}
	if !c.recoveredFrom.IsZero() && c.afterRecovery.servedRatio() < minServedRatio {
		c.reportViolationLocked(ServiceRecovered, "after the last fault %d of %d requests were served", c.afterRecovery.served, c.afterRecovery.sent)
	}
}
