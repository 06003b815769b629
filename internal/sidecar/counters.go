package sidecar

import (
	"encoding/json"

	"hazelwheel/internal/capture"
	"hazelwheel/internal/faultinjection"
	"hazelwheel/policy"
)

// outcomes counts attempts or probes by outcome.
type outcomes [policy.NotSent + 1]uint64

var outcomeNames = [len(outcomes{})]string{"ok", "host_error", "rejected", "timed_out", "connect_failed", "reset",
	"cancelled", "not_sent"}

func (o *outcomes) count(outcome policy.Outcome) { o[outcome]++ }

func (o *outcomes) byName() map[string]uint64 {
	m := make(map[string]uint64, len(o))
	for i, n := range o {
		m[outcomeNames[i]] = n
	}
	return m
}

// counters are served at /counters. Operators' tools read their JSON names, which must not change.
type counters struct {
	AcceptedConns   uint64 `json:"accepted"`  // client connections
	Requests        uint64 `json:"requests"`  // received completely
	OpenRequests    int    `json:"open"`      // requests without a final response
	Served          uint64 `json:"served"`    // with a server's response
	Throttled       uint64 `json:"throttled"` // rejected; a retry is harmless
	LoadShed        uint64 `json:"shed"`      // throttled since they waited in the sidecar for too long
	Failed          uint64 `json:"failed"`    // without a server's response
	Abandoned       uint64 `json:"abandoned"` // the client disconnected
	DecisionsLate   uint64 `json:"overdue"`   // the policy had not ended it by its deadline
	Malformed       uint64 `json:"malformed"` // messages rejected with 4xx or 501
	IdleConnsClosed uint64 `json:"retired"`   // client connections closed while idle or before the first byte

	Rejected               uint64 `json:"turned_away"` // throttled before reaching the policy: no capacity, or client over its fair share
	ConnsEvicted           uint64 `json:"given_up"`    // client connections evicted
	ConnsOverCap           uint64 `json:"over_cap"`    // client connections rejected: cap of an address or prefix reached
	ConnsWithoutDescriptor uint64 `json:"no_room"`     // client connections rejected: no descriptor available
	OverQuota              uint64 `json:"over_quota"`  // throttled before reaching the policy: group over its quota
	UnreadConnsClosed      uint64 `json:"unread"`      // client connections closed since the client did not read

	Attempts       uint64 `json:"executions"`
	AttemptsWaited uint64 `json:"starved"` // attempts that waited for a descriptor
	Probes         uint64 `json:"probes"`
	Dials          uint64 `json:"dials"` // of backend connections
	Watches        uint64 `json:"watches"`
	ListsApplied   uint64 `json:"lists"`       // lists and deltas from discovery that were applied
	WatchesFailed  uint64 `json:"list_failed"` // watches that failed
	ConfigReloads  uint64 `json:"reloads"`     // configurations applied at run time

	ConfigReloadsFailed uint64 `json:"reload_failed"` // configurations that could not be read or were invalid
	Panics              uint64 `json:"panics"`

	Stalls uint64 `json:"stalls"` // of the event loop, for 30 ms or longer

	Descriptors     int     `json:"descriptors"` // in use by connections
	MaxTimerDelayMS float64 `json:"late_ms"`     // longest delay of any timer

	FaultHits []faultinjection.HitCount `json:"hazelwheel_drill_hits,omitempty"` // requests affected by each injected fault

	Capture *capture.Stats `json:"capture,omitempty"`
	Quotas  *QuotaCounters `json:"quotas,omitempty"`
	Fleet   any            `json:"fleet,omitempty"` // the fleet's status

	RequestsWritten uint64        `json:"written"`           // attempts whose request was written completely
	Classes         []classCounts `json:"classes,omitempty"` // how requests ended, by class

	attemptOutcomes, probeOutcomes outcomes
}

// requestEnd says how a request ended.
type requestEnd uint8

const (
	served    requestEnd = iota // with a server's response
	throttled                   // rejected without having run
	failed                      // without a server's response
	overdue                     // the policy had not ended it by its deadline
	abandoned                   // the client disconnected
)

// classCounts counts the requests of one class by how they ended; overdue ones count as failed.
type classCounts struct {
	Class     string `json:"class"`
	Served    uint64 `json:"served"`
	Throttled uint64 `json:"throttled"`
	Failed    uint64 `json:"failed"`
	Abandoned uint64 `json:"abandoned"`
}

// countRequestEnd counts the end of a request. No other code changes these counters.
func (c *counters) countRequestEnd(class int, end requestEnd) {
	byClass := &c.Classes[class]
	switch end {
	case served:
		c.Served++
		byClass.Served++
	case throttled:
		c.Throttled++
		byClass.Throttled++
	case failed:
		c.Failed++
		byClass.Failed++
	case overdue:
		c.DecisionsLate++
		byClass.Failed++
	case abandoned:
		c.Abandoned++
		byClass.Abandoned++
	}
}

// text returns the counters as a line of JSON.
func (c *counters) text() []byte {
	type plain counters
	raw, err := json.Marshal(struct {
		*plain
		ExecutionEnds map[string]uint64 `json:"execution_ends"`
		ProbeEnds     map[string]uint64 `json:"probe_ends"`
	}{(*plain)(c), c.attemptOutcomes.byName(), c.probeOutcomes.byName()})
	if err != nil { // numbers and names always marshal
		panic(err)
	}
	return append(raw, '\n')
}
