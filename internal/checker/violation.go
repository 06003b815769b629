package checker

import "fmt"

// Rule names an invariant. The words are part of reports and scripts' results.
type Rule string

// The invariants of requests and connections.
const (
	OneAnswer            Rule = "one-answer"   // each request sent gets exactly one final answer
	NoInvention          Rule = "no-invention" // no answer that no server made for the request
	NoRepeat             Rule = "no-repeat"    // no repeated execution and no rejection that the class forbids
	NoConcurrentAttempts Rule = "one-copy"     // never two attempts of a request in flight at once
	SafeDrain            Rule = "safe-drain"   // nothing new to a server known to drain or to be gone
	ColdServer           Rule = "cold-box"     // no cold server overloaded by notified sidecars
	FailFast             Rule = "at-once"      // a request that may not be retried is answered without delay
	DescriptorLimit      Rule = "in-limits"    // a sidecar keeps within its file descriptors
	NoLeftovers          Rule = "at-rest"      // no resources are left when the day is over
	ListPolled           Rule = "list-asked"   // a sidecar without a watch at the end of the day has polled discovery within its settings
	NoCrash              Rule = "no-crash"     // no panic and no unrequested exit
	ClientGone           Rule = "gone-client"  // no attempt starts for a client that has closed its connection
)

// The invariants of the fleet that the sidecars form.
const (
	FleetView        Rule = "fleet-view"  // some time after the last fault all members know which members are alive
	FalseDeath       Rule = "false-death" // no member is considered dead that is alive and reachable by most
	FleetIncarnation Rule = "fleet-risen" // a dead member returns only under a greater incarnation
	FleetQueue       Rule = "fleet-queue" // what is queued for a peer that does not read is bounded
	FleetRank        Rule = "fleet-rank"  // ranks are dense and unique
	StaleOwner       Rule = "old-owner"   // no effect is accepted under a lower fencing token than one accepted before
)

// The invariants of maintenance.
const (
	MaintenanceOccupied Rule = "work-occupied"  // a server under maintenance has nothing in flight, and has received nothing for a while
	MaintenanceBudget   Rule = "work-many"      // no more servers are down than the plan allows
	MaintenanceRepeated Rule = "work-twice"     // each server is maintained once for a plan, under a token that has grown
	MaintenanceRecorded Rule = "work-forgotten" // what maintenance agents did is what is committed
)

// Violation is one observed break of an invariant. The JSON form is part of printed results and keeps its keys.
type Violation struct {
	Rule    Rule    `json:"Rule"`
	At      float64 `json:"At"`
	Sidecar int32   `json:"Sidecar"`
	Server  int32   `json:"Box"` // -1: none
	Request uint64  `json:"Request"`
	Reason  string  `json:"Why"`
	Events  []Event `json:"Events"` // those that show it, oldest first, at most maxViolationEvents
}

// Limits of what is kept of violations.
const (
	maxViolations      = 100     // kept; further ones are only counted
	maxRecentEvents    = 1 << 14 // kept to show what led to a violation
	maxViolationEvents = 30      // shown with one violation
)

// addViolation records a violation with the events that show it: shownEvents, and the recent ones of the request, of the
// server within the overload window, or of the sidecar, by which of them is given.
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
