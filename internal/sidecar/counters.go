package sidecar

import (
	"encoding/json"

	"hazelwheel/internal/capture"
	"hazelwheel/internal/faultinjection"
	"hazelwheel/policy"
)

// outcomes counts attempts or probes by how they ended.
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

// counters count what the sidecar takes in, sends and answers.
type counters struct {
	AcceptedConns   uint64 `json:"accepted"`  // client connections that have come up
	Requests        uint64 `json:"requests"`  // taken whole from clients
	OpenRequests    int    `json:"open"`      // of these, not answered yet
	Served          uint64 `json:"served"`    // answered with what a server said
	Throttled       uint64 `json:"throttled"` // refused
	Shed            uint64 `json:"shed"`      // of these, since they had waited for the sidecar itself for too long
	Failed          uint64 `json:"failed"`    // answered without a server's answer
	Abandoned       uint64 `json:"abandoned"` // whose client went away
	DecisionsLate   uint64 `json:"overdue"`   // failed because the decisions were late
	Malformed       uint64 `json:"malformed"` // messages answered with 4xx or 501 and never handed on
	IdleConnsClosed uint64 `json:"retired"`   // client connections closed since they said nothing, or rested

	Rejected               uint64 `json:"turned_away"` // throttled without a word of the decisions: no room, or more than a fair part
	ConnsEvicted           uint64 `json:"given_up"`    // client connections closed to make room that had brought no whole request, or not read
	ConnsOverCap           uint64 `json:"over_cap"`    // client connections refused beyond the cap of an address or prefix
	ConnsWithoutDescriptor uint64 `json:"no_room"`     // client connections refused since all descriptors were taken
	OverQuota              uint64 `json:"over_quota"`  // throttled without a word of the decisions: beyond their group's quota
	UnreadConnsClosed      uint64 `json:"unread"`      // client connections closed since their clients did not read

	Attempts       uint64 `json:"executions"`
	AttemptsWaited uint64 `json:"starved"` // of these, that waited for a descriptor
	Probes         uint64 `json:"probes"`
	Dials          uint64 `json:"dials"` // backend connections opened
	Watches        uint64 `json:"watches"`
	ListsApplied   uint64 `json:"lists"`       // objects taken from discovery
	WatchesFailed  uint64 `json:"list_failed"` // watches that failed
	ConfigReloads  uint64 `json:"reloads"`     // configurations taken into use while running

	ConfigReloadsFailed uint64 `json:"reload_failed"` // configurations that could not be read or were not valid
	Panics              uint64 `json:"panics"`

	Stalls uint64 `json:"stalls"` // times that the loop stood still for 30 ms or longer though something was due

	Descriptors     int     `json:"descriptors"` // held by links now
	MaxTimerDelayMS float64 `json:"late_ms"`     // how late the latest of all timers was

	FaultHits []faultinjection.HitCount `json:"hazelwheel_drill_hits,omitempty"` // requests that each drill has touched

	Capture *capture.Stats `json:"capture,omitempty"`
	Quotas  *QuotaCounters `json:"quotas,omitempty"`
	Fleet   any            `json:"fleet,omitempty"` // what it knows of its fleet

	RequestsWritten uint64        `json:"written"`           // attempts whose request was written whole
	Classes         []classCounts `json:"classes,omitempty"` // how requests ended, by class

	attemptOutcomes, probeOutcomes outcomes
}

// ending is how a request ended.
type requestEnd uint8

const (
	served    requestEnd = iota // with what a server said
	throttled                   // refused
	failed                      // without a server's answer
	overdue                     // failed because the decisions were late
	abandoned                   // its client went away
)

// classCounts count the requests of one class; those that the decisions were late for are among the failed.
type classCounts struct {
	Class     string `json:"class"`
	Served    uint64 `json:"served"`
	Throttled uint64 `json:"throttled"`
	Failed    uint64 `json:"failed"`
	Abandoned uint64 `json:"abandoned"`
}

// end counts a request's end. It is the one place that does.
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

// text returns the counters as JSON.
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
