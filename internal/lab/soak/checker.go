package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Checker collects observations and reports violations of the rules. It is safe for concurrent use.
type Checker struct {
	mu            sync.Mutex // guards the fields below
	violations    map[Rule][]string
	executions    map[string]int // by request
	kinds         map[string]RequestKind
	refused       map[string]bool                   // non-idempotent requests that were refused as not executed
	truncated     map[string]bool                   // requests whose answer a server has truncated
	knownRoutes   map[proxyIncarnation][]knownRoute // the added routes that it has answered for, where each was the newest so far
	confirmedAt   map[int]time.Time                 // by added route
	countsByAdded map[bool]requestCounts            // true: on added routes
	countsByKind  map[RequestKind]requestCounts
	outcomes      map[string]int // by label
	resumedFeeds  int            // feeds that a further attempt resumed
	endedEarly    int            // processes that SIGHUP or SIGTERM terminated before their own code can have run
	recoveredFrom time.Time      // requests sent later count for ServiceRecovered; zero while there are faults
	afterRecovery requestCounts
	sentHeaders   map[string]sentHeader // by request
	keys          *keyring
	limitedUse    map[string][]limitedExecution // by limited tenant
	tenantCounts  map[string]requestCounts      // by tenant; of the one that exceeds its limit none
	// hasEarlierVersions says that some processes know no tenants. A configuration that they have compiled or forwarded lacks them, so that requests are
	// executed whatever their key, in nobody's name. Keys are withheld all the same, and none that is valid is rejected.
	hasEarlierVersions bool
}

// proxyIncarnation identifies an incarnation of the proxy of a machine.
type proxyIncarnation struct {
	edge        string
	incarnation int
}

// knownRoute is an added route that a proxy has answered for, so that it has the configuration with it.
type knownRoute struct {
	route      int
	answeredAt time.Time
}

// NewChecker returns a checker without observations.
func NewChecker() *Checker {
	return &Checker{violations: map[Rule][]string{}, executions: map[string]int{}, kinds: map[string]RequestKind{}, refused: map[string]bool{}, truncated: map[string]bool{},
		knownRoutes: map[proxyIncarnation][]knownRoute{}, confirmedAt: map[int]time.Time{}, countsByAdded: map[bool]requestCounts{},
		countsByKind: map[RequestKind]requestCounts{}, outcomes: map[string]int{},
		sentHeaders: map[string]sentHeader{}, keys: newKeyring(), limitedUse: map[string][]limitedExecution{}, tenantCounts: map[string]requestCounts{}}
}

// maxDetailsPerRule is the number of violations of a rule that are reported in detail.
const maxDetailsPerRule = 5

// ReportViolation records a violation of a rule with its details.
func (c *Checker) ReportViolation(rule Rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportViolationLocked(rule, format, args...)
}

// reportViolationLocked is ReportViolation for callers that hold mu.
func (c *Checker) reportViolationLocked(rule Rule, format string, args ...any) {
	c.violations[rule] = append(c.violations[rule], fmt.Sprintf(format, args...))
}

// Violations returns the violated rules, with details of the first violations of each.
func (c *Checker) Violations() map[Rule][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[Rule][]string{}
	for rule, details := range c.violations {
		out[rule] = slices.Clone(details[:min(len(details), maxDetailsPerRule)])
	}
	return out
}

// RequestExecuted records that a server has started to execute a request.
func (c *Checker) RequestExecuted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[id]++
	c.recordLimitedUse(id)
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

// RequestBodyReceived checks the body with which a request arrived at a server.
func (c *Checker) RequestBodyReceived(id, body string) {
	if body != requestBody(id) {
		c.ReportViolation(BodyIntact, "%s came with the body %.60q", id, body)
	}
}

// RequestSent records the kind of a request. It is called before the request is sent.
func (c *Checker) RequestSent(id string, kind RequestKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kinds[id] = kind
}

// ConfigurationAcknowledged records that the configuration with added routes up to route was confirmed.
func (c *Checker) ConfigurationAcknowledged(route int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt[route] = at
}

// ExpectServiceFrom sets the time from which requests count for ServiceRecovered.
func (c *Checker) ExpectServiceFrom(from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recoveredFrom = from
}

// AnswerTruncated records that a server breaks off in the middle of an answer. If a part of it was forwarded, its client has to see the end of its connection.
func (c *Checker) AnswerTruncated(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.truncated[id] = true
}

// FeedResumed counts a feed that a server resumed after an event that its client has received.
func (c *Checker) FeedResumed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumedFeeds++
}

// ProcessEndedEarly counts a process that SIGHUP or SIGTERM terminated before its own code can have run.
func (c *Checker) ProcessEndedEarly() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedEarly++
}

// RequestEnded records and checks the outcome of a request.
func (c *Checker) RequestEnded(o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[o.label()]++
	isEntitled := c.checkCredentials(&o)
	if !isEntitled && o.ConnectionClosed {
		o.Disturbed = true // a request in progress may end with its key
	}
	c.checkAnswer(&o)
	c.checkRoute(&o)
	isEntitled = c.checkLimit(&o) && isEntitled
	if o.Status == http.StatusServiceUnavailable && o.Kind == NonIdempotent {
		c.refused[o.ID] = true
		if c.executions[o.ID] > 0 {
			c.reportViolationLocked(RefusedNotExecuted, "%s has run and was refused", o.ID)
		}
	}
	if !isEntitled {
		return // how often it is served says nothing
	}
	if !c.recoveredFrom.IsZero() && o.SentAt.After(c.recoveredFrom) {
		c.afterRecovery = c.afterRecovery.add(o.Status == http.StatusOK)
	}
	if !o.Disturbed && !o.DialFailed {
		c.countsByAdded[o.Route > 0] = c.countsByAdded[o.Route > 0].add(o.Status == http.StatusOK)
		c.countsByKind[o.Kind] = c.countsByKind[o.Kind].add(o.Status == http.StatusOK)
		c.countTenant(&o)
	}
}

// checkAnswer checks the answer, or that its lack is excused. The caller holds mu.
func (c *Checker) checkAnswer(o *Outcome) {
	switch {
	case o.Status == http.StatusOK && (o.Body != expectedAnswer(o.Kind, o.ID) || !o.HasStamp):
		c.reportViolationLocked(AnswerIsOwn, "%s got %.60q, stamp %v", o.ID, o.Body, o.HasStamp)
	case o.Kind == ResumableFeed && o.ConnectionClosed && o.Body != "":
		// A feed that is aborted more often than the route allows attempts ends early, after events in their order.
		if !strings.HasPrefix(expectedAnswer(ResumableFeed, o.ID), o.Body) {
			c.reportViolationLocked(AnswerIsOwn, "%s broke off after %.80q", o.ID, o.Body)
		}
	case c.truncated[o.ID] && o.ConnectionClosed && o.Body != "":
		if !strings.HasPrefix(expectedAnswer(o.Kind, o.ID), o.Body) {
			c.reportViolationLocked(AnswerIsOwn, "%s was cut after %.60q", o.ID, o.Body)
		}
	case o.TimedOut && !o.Disturbed:
		c.reportViolationLocked(AlwaysAnswered, "%s (%s) at %s: no answer and no end after %v", o.ID, o.Kind, o.Edge, o.EndedAt.Sub(o.SentAt))
	case o.ConnectionClosed && !o.Disturbed:
		c.reportViolationLocked(AlwaysAnswered, "%s (%s) at %s: closed without an answer after %v, and nothing was done to the machine", o.ID, o.Kind, o.Edge,
			o.EndedAt.Sub(o.SentAt))
	}
}

// checkRoute checks what an answer on an added route implies for the configuration of the proxy: a 404 means that it does not have the route. The
// caller holds mu.
func (c *Checker) checkRoute(o *Outcome) {
	if o.Route == 0 || o.Status == 0 {
		return
	}
	proxy := proxyIncarnation{o.Edge, o.Incarnation}
	if o.Status != http.StatusNotFound {
		if known := c.knownRoutes[proxy]; len(known) == 0 || o.Route > known[len(known)-1].route {
			c.knownRoutes[proxy] = append(known, knownRoute{o.Route, o.EndedAt})
		}
		return
	}
	// A request that was sent before the other answer came may have been decided before it: a rejection waits a moment for the rest of its body.
	for _, known := range c.knownRoutes[proxy] {
		if o.Route <= known.route && o.SentAt.After(known.answeredAt) {
			c.reportViolationLocked(ConfigurationMonotonic, "%s, life %d: no route %d, though it has known route %d %v before the request was sent",
				o.Edge, o.Incarnation, o.Route, known.route, o.SentAt.Sub(known.answeredAt))
			break
		}
	}
	confirmedAt, ok := c.confirmedAt[o.Route]
	if age := o.SentAt.Sub(confirmedAt); ok && !o.Disturbed && age > durationOfSeconds(configApplySeconds)+busyMachineSlack {
		c.reportViolationLocked(ConfigurationInForce, "%s: no route %d %v after it was confirmed", o.Edge, o.Route, age)
	}
}

// Finish makes the checks of ratios, which are possible at the end alone.
func (c *Checker) Finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	added, first := c.countsByAdded[true], c.countsByAdded[false]
	if added.sent >= minRequestsForRatio && first.sent >= minRequestsForRatio && added.servedRatio() < minServedRatio*first.servedRatio() {
		c.reportViolationLocked(AddedRoutesServed, "of %d requests on routes that were added %d were served; of %d on the first routes %d", added.sent, added.served,
			first.sent, first.served)
	}
	all := requestCounts{}
	for _, kind := range c.countsByKind {
		all.sent, all.served = all.sent+kind.sent, all.served+kind.served
	}
	for kind, counts := range c.countsByKind {
		if counts.sent >= minRequestsForRatio && counts.servedRatio() < minServedRatio*all.servedRatio() {
			c.reportViolationLocked(KindsServed, "of %d requests of the kind %s %d were served, of all %d %d", counts.sent, kind, counts.served, all.sent,
				all.served)
		}
	}
	c.checkLimits()
	c.checkTenantsServed(all)
	if !c.recoveredFrom.IsZero() && c.afterRecovery.servedRatio() < minServedRatio {
		c.reportViolationLocked(ServiceRecovered, "after the last fault %d of %d requests were served", c.afterRecovery.served, c.afterRecovery.sent)
	}
}
