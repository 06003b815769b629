package coordination

import (
	"slices"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers"
)

const (
	surveyIntervalSeconds = 0.5   // time between the starts of two surveys
	surveyTimeoutSeconds  = 1.5   // maximum duration of a survey
	surveyGatherSeconds   = 0.06  // how long a member waits for responses of its children before it sends its own
	minSurveySpanSeconds  = 0.001 // minimum time over which rates are computed
)

// handleSurveyRequest starts to gather the responses of this sidecar and its children to a survey.
func (r *maintenanceRole) handleSurveyRequest(now float64, from *peers.Link, token uint64, request *surveyRequest) {
	r.parentLink, r.surveyToken, r.round = from.Number, token, request.Round
	r.gathered, r.sendAt = r.localReport(now), now+surveyGatherSeconds
	if isNewer(request.Epoch, request.Version, r.epoch, r.version) {
		r.sendRecordVersion(from)
	}
}

// handleSurveyResponse adds a response to the survey's result at the holder, or to what another member gathers. A response that can't
// be merged is dropped, and its reporters count as silent in the survey.
func (r *maintenanceRole) handleSurveyResponse(now float64, token uint64, response *surveyResponse) {
	if response.Round != r.round {
		return
	}
	switch {
	case r.heldToken != 0 && token == r.heldToken:
		if r.collected != nil {
			_ = r.collected.Merge(&response.Report) // dropped on an error, see above
		}
	case token == r.surveyToken:
		if r.gathered == nil {
			r.gathered, r.sendAt = &maintenance.Report{}, now+surveyGatherSeconds
		}
		_ = r.gathered.Merge(&response.Report) // dropped on an error, see above
	}
}

// localReport returns this sidecar's report of the servers, with rates since the last call.
func (r *maintenanceRole) localReport(now float64) *maintenance.Report {
	n := r.roles.node
	spanSeconds := max(now-r.reportedAt, minSurveySpanSeconds)
	r.reportedAt = now
	completed, rejected := r.servers.RequestTotals()
	report := &maintenance.Report{CompletedPerSecond: float64(completed-r.completed) / spanSeconds, RejectedPerSecond: float64(rejected-r.rejected) / spanSeconds}
	r.completed, r.rejected = completed, rejected
	if r.servers.IsListStale() {
		report.StaleMembers = 1
	}
	report.Reporters = []maintenance.Reporter{{ID: n.state.ID, BootID: n.view.Self().Version.BootID, Version: r.version}}
	quietSeconds := r.quietPeriods()
	for _, server := range r.servers.Servers() {
		status := maintenance.ServerStatus{Server: server.Name, Site: server.Zone, Type: server.Type, Capacity: server.Weight,
			ListedBy: boolToInt(server.IsListed), DrainingBy: boolToInt(server.IsDraining), CordonedBy: boolToInt(server.IsCordoned),
			WarmingUpBy: boolToInt(server.IsWarmingUp), UnresponsiveBy: boolToInt(server.IsUnavailable), InFlight: server.InFlight, Busy: server.IsBusy}
		if previous, known := r.serverCompleted[server.Name]; known {
			status.CompletedPerSecond = float64(server.AttemptsEnded-previous) / spanSeconds
		}
		r.serverCompleted[server.Name] = server.AttemptsEnded
		report.Servers = append(report.Servers, status)
		if quiet, out := quietSeconds[server.Name]; out && (server.IsKeptInUse || server.InFlight > 0 || now-r.outSince[server.Name] < quiet) {
			report.InUse = append(report.InUse, maintenance.InUse{Server: server.Name, Member: n.state.ID, Uncordoned: server.IsKeptInUse, InFlight: server.InFlight})
		}
	}
	return report
}

// quietPeriods returns, for each cordoned server, for how many seconds after it was cordoned it counts as in use.
func (r *maintenanceRole) quietPeriods() map[string]float64 {
	periods := map[string]float64{}
	for i := range r.state.Plans {
		p := &r.state.Plans[i]
		for _, s := range p.Servers {
			if s.Stage.IsCordoned() {
				periods[s.Name] = max(periods[s.Name], p.Spec.QuietPeriodSeconds())
			}
		}
	}
	return periods
}

// sendSurveyResponse sends the gathered response over the link by which the request came, or postpones it if the budget is used up. If
// the link is closed the response is dropped.
func (r *maintenanceRole) sendSurveyResponse(now float64) {
	link := r.roles.node.links[r.parentLink]
	if link == nil {
		r.gathered = nil
		return
	}
	body := mustMarshal(surveyResponse{r.round, *r.gathered})
	retryAt, ok := r.budget.take(now, len(body), surveyTimeoutSeconds)
	if !ok {
		r.sendAt = retryAt
		return
	}
	r.roles.sendReply(link, maintenanceRoleName, r.surveyToken, kindSurveyResponse, body)
	r.gathered = nil
}

// runSurveys is called at the holder. It finishes the present survey and, while the coordinator needs snapshots, starts the next one.
func (r *maintenanceRole) runSurveys(now float64) {
	if r.collected != nil && (now >= r.surveyDeadline || r.isSurveyComplete()) {
		r.coordinator.Observe(now, maintenance.FleetSnapshot{Members: r.surveyed, Report: *r.collected, Complete: r.isSurveyComplete()})
		r.collected = nil
	}
	if r.collected != nil || now < r.surveyAt || !r.coordinator.NeedsSnapshot() {
		return
	}
	r.surveyAt = now + surveyIntervalSeconds
	r.round++
	if !r.roles.broadcast(maintenanceRoleName, kindSurveyRequest, mustMarshal(surveyRequest{r.round, r.epoch, r.version})) {
		return
	}
	r.surveyed = nil
	for m := range r.roles.node.view.Members {
		r.surveyed = append(r.surveyed, maintenance.Member{ID: m.ID, Name: m.Name, BootID: m.Version.BootID, State: m.State, StateAgeSeconds: m.StateAgeSeconds})
	}
	r.collected, r.surveyDeadline = r.localReport(now), now+surveyTimeoutSeconds
}

// isSurveyComplete reports whether all live members have responded.
func (r *maintenanceRole) isSurveyComplete() bool {
	return !slices.ContainsFunc(r.surveyed, func(m maintenance.Member) bool {
		return m.State == swim.Alive && !r.collected.HasReporter(maintenance.Reporter{ID: m.ID})
	})
}
