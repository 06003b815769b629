package checker

import "fmt"

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

// Rule names a rule.
type Rule string

// The rules.
const (
	OneAnswer            Rule = "one-answer"   // each request taken gets one final answer
	NoInvention          Rule = "no-invention" // none that no box made for it
	NoRepeat             Rule = "no-repeat"    // no resend and no refusal beyond the class's right
	NoConcurrentAttempts Rule = "one-copy"     // never two executions of a request out at once
	SafeDrain            Rule = "safe-drain"   // nothing new to a box known to drain or to be gone
	ColdServer           Rule = "cold-box"     // no cold box pushed over by sidecars that knew
	FailFast             Rule = "at-once"      // what is given up is answered at once
	DescriptorLimit      Rule = "in-limits"    // descriptors
	NoLeftovers          Rule = "at-rest"      // nothing is left when the day is over
	ListPolled           Rule = "list-asked"   // who has no watch at the end of the day has asked for the list within the time of the settings
	NoCrash              Rule = "no-crash"     // no panic and no exit unasked
	ClientGone           Rule = "gone-client"  // no attempt begins for a client that has closed its connection

	FleetView        Rule = "fleet-view"  // some time after the last trouble all know who is there
	FalseDeath       Rule = "false-death" // nobody is called dead that lives and that most can reach
	FleetIncarnation Rule = "fleet-risen" // who is gone comes back by a greater incarnation alone
	FleetQueue       Rule = "fleet-queue" // what waits for a peer that does not read is bounded
	FleetRank        Rule = "fleet-rank"  // ranks are dense, and each is one's alone
	StaleOwner       Rule = "old-owner"   // no effect is taken under a token lower than one that was taken before

	MaintenanceOccupied Rule = "work-occupied"  // a box that is worked on has nothing out, and has got nothing for a while
	MaintenanceBudget   Rule = "work-many"      // no more boxes are out than a plan allows
	MaintenanceRepeated Rule = "work-twice"     // each box is worked on once for a plan, under a token that has grown
	MaintenanceRecorded Rule = "work-forgotten" // what mechanics did is what is agreed
)

// Finding is one break of a rule.
type Violation struct {
	Rule    Rule    `json:"Rule"`
	At      float64 `json:"At"`
	Sidecar int32   `json:"Sidecar"`
	Server  int32   `json:"Box"` // -1: none
	Request uint64  `json:"Request"`
	Reason  string  `json:"Why"`
	Events  []Event `json:"Events"` // those that show it, oldest first
}
