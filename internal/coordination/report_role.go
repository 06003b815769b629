package coordination

import (
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

// reportRoleName is the role's name on the wire and in the settings.
const reportRoleName = "report"

const (
	reportIntervalSeconds = 5.0   // time between the starts of two rounds
	reportTimeoutSeconds  = 2.0   // maximum duration of a round
	reportGatherSeconds   = 0.12  // how long a member waits for responses of its children before it sends its own
	deadMemberSeconds     = 60.0  // how long a dead member counts as missing in reports
	maxMissingNames       = 50    // names of missing members in a report
	minReportSpanSeconds  = 0.001 // minimum time over which rates are computed
)

// reportRole is the role "report": in each round its holder requests statistics of all members and sends their sum to all. A request
// is flooded. Each member responds over the link by which the request first arrived, its parent link, with the sum of its own
// statistics and of the responses that it received from its children.
type reportRole struct {
	roles *roleManager

	// At every member.
	parentLink   int // link by which the last request first arrived
	requestToken uint64
	round        uint64
	gathered     *reportResponse // to be sent over parentLink at sendAt; nil: none
	sendAt       float64
	budget       responseBudget
	measuredAt   float64 // when this sidecar's statistics were last taken
	lastReport   *Report // nil: none was received
	lastReportAt float64

	// At the holder.
	isHolder      bool
	heldToken     uint64
	nextRoundAt   float64
	roundDeadline float64
	collected     *reportResponse // sum of the responses of the present round; nil: no round is in progress
	requested     []swim.ID       // members whose response the round waits for
}

var _ singletonRole = (*reportRole)(nil)

func newReportRole(m *roleManager) *reportRole {
	now := m.node.loop.Now()
	return &reportRole{roles: m, budget: newResponseBudget(now), measuredAt: now}
}

// Name implements singletonRole.
func (r *reportRole) Name() string { return reportRoleName }

// Start implements singletonRole.
func (r *reportRole) Start(token uint64) {
	r.isHolder, r.heldToken, r.round, r.nextRoundAt, r.collected = true, token, 0, 0, nil
}

// Stop implements singletonRole.
func (r *reportRole) Stop() { r.isHolder, r.collected = false, nil }

// HandleMessage implements singletonRole. A response that can't be merged is dropped, and its members count as missing.
func (r *reportRole) HandleMessage(from *peers.Link, m *frames.RoleMessage) {
	now := r.roles.node.loop.Now()
	switch m.Kind {
	case kindReportRequest:
		var request reportRequest
		if frames.Unmarshal(m.Body, &request) == nil {
			r.parentLink, r.requestToken, r.round = from.Number, m.Token, request.Round
			r.gathered, r.sendAt = r.localResponse(), now+reportGatherSeconds
		}
	case kindReportResponse:
		var response reportResponse
		if frames.Unmarshal(m.Body, &response) != nil || response.Round != r.round {
			return
		}
		switch {
		case r.isHolder && m.Token == r.heldToken:
			if r.collected != nil {
				_ = r.collected.merge(&response) // dropped on an error, see above
			}
		case m.Token == r.requestToken:
			if r.gathered == nil {
				r.gathered, r.sendAt = &reportResponse{Round: response.Round}, now+reportGatherSeconds
			}
			_ = r.gathered.merge(&response) // dropped on an error, see above
		}
	case kindReport:
		var report Report
		if frames.Unmarshal(m.Body, &report) == nil {
			r.lastReport, r.lastReportAt = &report, now
		}
	}
}

// localResponse returns this sidecar's statistics since the last call.
func (r *reportRole) localResponse() *reportResponse {
	now := r.roles.node.loop.Now()
	spanSeconds := max(now-r.measuredAt, minReportSpanSeconds)
	r.measuredAt = now
	response := &reportResponse{Round: r.round}
	local := &reportResponse{Members: []swim.ID{r.roles.node.state.ID}}
	for _, m := range r.roles.node.options.RoleHost.RequestStats() {
		ended := m.Served + m.Throttled + m.Failed + m.Abandoned
		local.Classes = append(local.Classes, classCounts{Class: m.Class, Served: m.Served, Throttled: m.Throttled, Failed: m.Failed, Abandoned: m.Abandoned,
			RatePerSecond: float64(ended) / spanSeconds, Latencies: encodeCounts(m.LatencyCounts)})
	}
	_ = response.merge(local) // on an error, classes above the limit are left out
	return response
}

// Tick implements singletonRole.
func (r *reportRole) Tick(now float64) (next float64) {
	next = now + reportIntervalSeconds
	if r.gathered != nil && now >= r.sendAt {
		r.sendResponse(now)
	}
	if r.gathered != nil {
		next = r.sendAt
	}
	if !r.isHolder {
		return next
	}
	if r.collected != nil && (now >= r.roundDeadline || r.isRoundComplete()) {
		r.finishRound(now)
	}
	if now >= r.nextRoundAt {
		r.startRound(now)
	}
	next = min(next, r.nextRoundAt)
	if r.collected != nil {
		next = min(next, now+reportGatherSeconds/2)
	}
	return next
}

// sendResponse sends the gathered response over the parent link, or postpones it if the budget is used up. If the link is closed, the
// response is dropped, and its members are missing in the report.
func (r *reportRole) sendResponse(now float64) {
	link := r.roles.node.links[r.parentLink]
	if link == nil {
		r.gathered = nil
		return
	}
	response := r.gathered
	for i := range response.Classes {
		response.Classes[i].Latencies = encodeCounts(response.Classes[i].latencyCounts)
	}
	rest := response.Members[min(len(response.Members), maxReporters):]
	response.Members = response.Members[:len(response.Members)-len(rest)]
	body := mustMarshal(response)
	retryAt, ok := r.budget.take(now, len(body), reportTimeoutSeconds)
	if !ok {
		response.Members = append(response.Members, rest...)
		r.sendAt = retryAt
		return
	}
	r.roles.sendReply(link, reportRoleName, r.requestToken, kindReportResponse, body)
	if r.gathered = nil; len(rest) > 0 {
		r.gathered, r.sendAt = &reportResponse{Round: response.Round, Members: slices.Clone(rest)}, now+reportGatherSeconds
	}
}

// startRound is called at the holder. It requests the statistics of all members.
func (r *reportRole) startRound(now float64) {
	r.nextRoundAt = now + reportIntervalSeconds
	r.round++
	if !r.roles.broadcast(reportRoleName, kindReportRequest, mustMarshal(reportRequest{r.round})) {
		r.collected = nil
		return
	}
	r.requested = r.requested[:0]
	for m := range r.roles.node.view.Members {
		if !m.State.IsDeadOrLeft() || m.State == swim.Dead && m.StateAgeSeconds < deadMemberSeconds {
			r.requested = append(r.requested, m.ID)
		}
	}
	r.collected, r.roundDeadline = r.localResponse(), now+reportTimeoutSeconds
}

// isRoundComplete reports whether all requested members have responded.
func (r *reportRole) isRoundComplete() bool {
	return len(r.collected.Members) >= len(r.requested) &&
		!slices.ContainsFunc(r.requested, func(id swim.ID) bool { return !r.collected.hasMember(id) })
}

// finishRound sends all members the report of the statistics that have been collected.
func (r *reportRole) finishRound(now float64) {
	report := r.makeReport()
	r.collected = nil
	if r.roles.broadcast(reportRoleName, kindReport, mustMarshal(report)) {
		r.lastReport, r.lastReportAt = &report, now
	}
}

func (r *reportRole) makeReport() Report {
	n := r.roles.node
	report := Report{Holder: n.options.Sidecar, Token: r.heldToken, Round: r.round, Requested: len(r.requested), Answered: len(r.collected.Members)}
	for m := range n.view.Members {
		if _, requested := slices.BinarySearch(r.requested, m.ID); !requested || r.collected.hasMember(m.ID) {
			continue
		}
		if len(report.Missing) < maxMissingNames {
			report.Missing = append(report.Missing, m.Name)
		} else {
			report.OmittedMissing++
		}
	}
	for i := range r.collected.Classes {
		report.Classes = append(report.Classes, r.collected.Classes[i].report())
	}
	return report
}

// report returns the statistics with the percentiles of the latencies.
func (c *classCounts) report() ClassReport {
	snapshot := *emptyHistogram()
	snapshot.Counts = c.latencyCounts
	h := hdrhistogram.Import(&snapshot)
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return ClassReport{Class: c.Class, RatePerSecond: math.Round(10*c.RatePerSecond) / 10, Served: c.Served, Throttled: c.Throttled, Failed: c.Failed,
		Abandoned: c.Abandoned, P50: ms(h.ValueAtPercentile(50)), P90: ms(h.ValueAtPercentile(90)),
		P99: ms(h.ValueAtPercentile(99)), P999: ms(h.ValueAtPercentile(99.9)), Max: ms(h.Max())}
}
