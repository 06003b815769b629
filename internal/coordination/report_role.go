package coordination

import (
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

// The job "report": its owner asks all how the requests of each class have fared since they were asked last. The question goes
// to all over all links; each answers over the link by which it first came, with what has come to it from those behind it, summed.
const (
	reportRoleName = "report"

	kindReportRequest  = 1 // question
	kindReportResponse = 2 // answer, over one link
	kindReport         = 3 // Report, to all

	reportIntervalSeconds = 5.0
	reportTimeoutSeconds  = 2.0  // after the question
	reportGatherSeconds   = 0.12 // in which answers of others are waited for, to go on with one's own
	// responseBytesPerSecond and answersAtOnce bound what answers take of the budget of the links, in bytes; what has no room waits.
	responseBytesPerSecond, responseBurstBytes = 32 << 10, 64 << 10
	deadMemberSeconds                          = 60.0 // for which one that died counts as missing
	maxReporters                               = 2000 // members whose answers are in one
	maxClasses                                 = 64
	maxMissingNames                            = 50 // that are named
)

// reportRole is a sidecar's part in the job.
type reportRole struct {
	roles *roleManager

	// Of every member.
	parentLink   int // the link over which the question has come
	requestToken uint64
	gathered     *reportResponse // that is to go there; nil: nothing is
	sendAt       float64
	budget       budget
	measuredAt   float64
	lastReport   *Report
	lastReportAt float64

	// Of the owner.
	isHolder      bool
	heldToken     uint64
	round         uint64
	nextRoundAt   float64
	roundDeadline float64         // when the round ends
	collected     *reportResponse // nil: no round is on
	requested     []swim.ID
}

// budget is a budget of bytes.
type budget struct{ left, at float64 }

func newReportRole(o *roleManager) *reportRole {
	now := o.node.net.Now()
	return &reportRole{roles: o, budget: budget{responseBurstBytes, now}, measuredAt: now}
}

func (r *reportRole) Name() string { return reportRoleName }

func (r *reportRole) Start(token uint64) {
	r.isHolder, r.heldToken, r.round, r.nextRoundAt, r.collected = true, token, 0, 0, nil
}

func (r *reportRole) Stop() { r.isHolder, r.collected = false, nil }

// HandleMessage takes a question, an answer or a report.
func (r *reportRole) HandleMessage(from *peers.Link, e *frames.RoleMessage) {
	switch e.Kind {
	case kindReportRequest:
		var q reportRequest
		if frames.Unmarshal(e.Body, &q) == nil {
			r.parentLink, r.requestToken, r.round = from.Number, e.Token, q.Round
			r.gathered, r.sendAt = r.localResponse(), r.roles.node.net.Now()+reportGatherSeconds
		}
	case kindReportResponse:
		var a reportResponse
		if frames.Unmarshal(e.Body, &a) != nil || a.Round != r.round {
			return
		}
		switch {
		case r.isHolder && e.Token == r.heldToken:
			if r.collected != nil {
				_ = r.collected.merge(&a) // what makes no sense is not in the report, nor those that it is from
			}
		case e.Token == r.requestToken:
			if r.gathered == nil {
				r.gathered, r.sendAt = &reportResponse{Round: a.Round}, r.roles.node.net.Now()+reportGatherSeconds
			}
			_ = r.gathered.merge(&a) // the same
		}
	case kindReport:
		var rep Report
		if frames.Unmarshal(e.Body, &rep) == nil {
			r.lastReport, r.lastReportAt = &rep, r.roles.node.net.Now()
		}
	}
}

// localResponse returns how this sidecar's requests have fared since it was asked last.
func (r *reportRole) localResponse() *reportResponse {
	now := r.roles.node.net.Now()
	spanS := max(now-r.measuredAt, 0.001)
	r.measuredAt = now
	a := &reportResponse{Round: r.round}
	mine := &reportResponse{Members: []swim.ID{r.roles.node.state.ID}}
	for _, m := range r.roles.node.options.Host.Measured() {
		ended := m.Served + m.Throttled + m.Failed + m.Abandoned
		mine.Classes = append(mine.Classes, classCounts{Class: m.Class, Served: m.Served, Throttled: m.Throttled, Failed: m.Failed, Abandoned: m.Abandoned,
			RatePerSecond: float64(ended) / spanS, Latencies: encodeCounts(m.Times)})
	}
	_ = a.merge(mine) // more classes than a report has room for are left out
	return a
}

// Tick sends what has been gathered, and has the owner's rounds begin and end.
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
	if r.collected != nil && (now >= r.roundDeadline || len(r.collected.Members) >= len(r.requested) && !slices.ContainsFunc(r.requested, func(id swim.ID) bool { return !r.collected.hasMember(id) })) {
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

// sendResponse sends what has been gathered over the link by which the question came. Where there is no room for it, it waits.
func (r *reportRole) sendResponse(now float64) {
	l := r.roles.node.links[r.parentLink]
	if l == nil {
		r.gathered = nil // the link has ended: those behind it are missing in this report
		return
	}
	a := r.gathered
	for i := range a.Classes {
		a.Classes[i].Latencies = encodeCounts(a.Classes[i].latencyCounts)
	}
	rest := a.Members[min(len(a.Members), maxReporters):]
	a.Members = a.Members[:len(a.Members)-len(rest)]
	body := mustMarshal(a)
	b := &r.budget
	b.left, b.at = min(b.left+(now-b.at)*responseBytesPerSecond, responseBurstBytes), now
	if need := float64(len(body)); b.left < need && b.left < responseBurstBytes {
		a.Members = append(a.Members, rest...)
		r.sendAt = now + min((need-b.left)/responseBytesPerSecond, reportTimeoutSeconds)
		return
	}
	b.left -= float64(len(body))
	r.roles.sendReply(l, reportRoleName, r.requestToken, kindReportResponse, body)
	if r.gathered = nil; len(rest) > 0 {
		r.gathered, r.sendAt = &reportResponse{Round: a.Round, Members: slices.Clone(rest)}, now+reportGatherSeconds
	}
}

// startRound begins a round.
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

// finishRound ends a round: what has come is the report.
func (r *reportRole) finishRound(now float64) {
	f := r.roles.node
	rep := Report{Owner: f.options.Sidecar, Token: r.heldToken, Round: r.round, Asked: len(r.requested), Answered: len(r.collected.Members)}
	for m := range f.view.Members {
		if _, asked := slices.BinarySearch(r.requested, m.ID); !asked || r.collected.hasMember(m.ID) {
			continue
		}
		if len(rep.Missing) < maxMissingNames {
			rep.Missing = append(rep.Missing, m.Name)
		} else {
			rep.OmittedMissing++
		}
	}
	for i := range r.collected.Classes {
		c := &r.collected.Classes[i]
		snapshot := *emptyHistogram()
		snapshot.Counts = c.latencyCounts
		h := hdrhistogram.Import(&snapshot)
		ms := func(us int64) float64 { return float64(us) / 1000 }
		rep.Classes = append(rep.Classes, ClassReport{Class: c.Class, RatePerSecond: math.Round(10*c.RatePerSecond) / 10, Served: c.Served, Throttled: c.Throttled,
			Failed: c.Failed, Abandoned: c.Abandoned, P50: ms(h.ValueAtPercentile(50)), P90: ms(h.ValueAtPercentile(90)), P99: ms(h.ValueAtPercentile(99)),
			P999: ms(h.ValueAtPercentile(99.9)), Max: ms(h.Max())})
	}
	r.collected = nil
	if r.roles.broadcast(reportRoleName, kindReport, mustMarshal(rep)) {
		r.lastReport, r.lastReportAt = &rep, now
	}
}
