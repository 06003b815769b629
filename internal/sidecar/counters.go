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

// counters are printed at /counters. Their JSON names are read by operators' tools and never change.
type counters struct {
	AcceptedConns   uint64 `json:"accepted"`  // client connections
	Requests        uint64 `json:"requests"`  // received completely
	OpenRequests    int    `json:"open"`      // of these, without a final response
	Served          uint64 `json:"served"`    // with a server's response
	Throttled       uint64 `json:"throttled"` // rejected; a retry is harmless
	LoadShed        uint64 `json:"shed"`      // of these, after waiting for the sidecar itself for too long
	Failed          uint64 `json:"failed"`    // without a server's response
	Abandoned       uint64 `json:"abandoned"` // the client closed
	DecisionsLate   uint64 `json:"overdue"`   // failed since the policy was late
	Malformed       uint64 `json:"malformed"` // messages answered with 4xx or 501 and never forwarded
	IdleConnsClosed uint64 `json:"retired"`   // client connections closed that were idle, or never sent a byte

	Rejected               uint64 `json:"turned_away"` // throttled without the policy: no capacity, or beyond the client's share
	ConnsEvicted           uint64 `json:"given_up"`    // client connections evicted
	ConnsOverCap           uint64 `json:"over_cap"`    // client connections rejected beyond the cap of an address or prefix
	ConnsWithoutDescriptor uint64 `json:"no_room"`     // client connections rejected for want of a descriptor
	OverQuota              uint64 `json:"over_quota"`  // throttled without the policy: beyond the group's quota
	UnreadConnsClosed      uint64 `json:"unread"`      // client connections closed whose clients did not read

	Attempts       uint64 `json:"executions"`
	AttemptsWaited uint64 `json:"starved"` // of these, that waited for a descriptor
	Probes         uint64 `json:"probes"`
	Dials          uint64 `json:"dials"` // of backend connections
	Watches        uint64 `json:"watches"`
	ListsApplied   uint64 `json:"lists"`       // objects of discovery that were applied
	WatchesFailed  uint64 `json:"list_failed"` // watches that failed
	ConfigReloads  uint64 `json:"reloads"`     // configurations applied while running

	ConfigReloadsFailed uint64 `json:"reload_failed"` // configurations that could not be read or were invalid
	Panics              uint64 `json:"panics"`

	Stalls uint64 `json:"stalls"` // of the event loop, for 30 ms or longer

	Descriptors     int     `json:"descriptors"` // used by connections now
	MaxTimerDelayMS float64 `json:"late_ms"`     // the longest of all timers

	FaultHits []faultinjection.HitCount `json:"hazelwheel_drill_hits,omitempty"` // requests that each injected fault has touched

	Capture *capture.Stats `json:"capture,omitempty"`
	Quotas  *QuotaCounters `json:"quotas,omitempty"`
	Fleet   any            `json:"fleet,omitempty"` // the fleet's status

	RequestsWritten uint64        `json:"written"`           // attempts whose request was written completely
	Classes         []classCounts `json:"classes,omitempty"` // how requests ended, by class

	attemptOutcomes, probeOutcomes outcomes
}

// requestEnd is how a request ended.
type requestEnd uint8

const (
	served    requestEnd = iota // with a server's response
	throttled                   // rejected
	failed                      // without a server's response
	overdue                     // failed since the policy was late
	abandoned                   // the client closed
)

// classCounts counts the requests of one class; those that are overdue count as failed.
type classCounts struct {
	Class     string `json:"class"`
	Served    uint64 `json:"served"`
	Throttled uint64 `json:"throttled"`
	Failed    uint64 `json:"failed"`
	Abandoned uint64 `json:"abandoned"`
}

// countRequestEnd counts a request's end. Nothing else does.
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
