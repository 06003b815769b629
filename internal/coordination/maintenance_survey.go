package coordination

import (
	"slices"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/decide/swim"
)

// localReport returns what this sidecar says.
func (w *maintenanceRole) localReport(now float64) *maintenance.Report {
	f := w.roles.node
	spanS := max(now-w.reportedAt, 0.001)
	w.reportedAt = now
	all, refused := w.servers.Ended()
	s := &maintenance.Report{CompletedPerSecond: float64(all-w.completed) / spanS, RejectedPerSecond: float64(refused-w.rejected) / spanS}
	w.completed, w.rejected = all, refused
	if w.servers.ListLate() {
		s.StaleMembers = 1
	}
	s.Reporters = []maintenance.Reporter{{ID: f.state.ID, BootID: f.view.Self().Version.BootID, Version: w.version}}
	settle := map[string]float64{}
	for i := range w.state.Plans {
		p := &w.state.Plans[i]
		for _, b := range p.Servers {
			if b.Stage.IsCordoned() {
				settle[b.Name] = max(settle[b.Name], p.Spec.QuietPeriodSeconds())
			}
		}
	}
	for _, b := range w.servers.Boxes() {
		seen := maintenance.ServerStatus{Server: b.Name, Site: b.Site, Type: b.Type, Capacity: b.Size, ListedBy: boolToInt(b.Listed), DrainingBy: boolToInt(b.Draining), CordonedBy: boolToInt(b.Hand),
			WarmingUpBy: boolToInt(b.Cold), UnresponsiveBy: boolToInt(b.Silent), InFlight: b.Out, Busy: b.Busy}
		if was, known := w.serverCompleted[b.Name]; known {
			seen.CompletedPerSecond = float64(b.Ended-was) / spanS
		}
		w.serverCompleted[b.Name] = b.Ended
		s.Servers = append(s.Servers, seen)
		if settleS, out := settle[b.Name]; out && (b.Kept || b.Out > 0 || now-w.outSince[b.Name] < settleS) {
			s.InUse = append(s.InUse, maintenance.InUse{Server: b.Name, Member: f.state.ID, Uncordoned: b.Kept, InFlight: b.Out})
		}
	}
	return s
}

// sendSurveyResponse sends what has been gathered over the link by which the question came. Where there is no room for it, it waits.
func (w *maintenanceRole) sendSurveyResponse(now float64) {
	l := w.roles.node.links[w.parentLink]
	if l == nil {
		w.gathered = nil // the link has ended: those behind it are not heard in this round
		return
	}
	body := mustMarshal(surveyResponse{w.round, *w.gathered})
	b := &w.budget
	b.left, b.at = min(b.left+(now-b.at)*responseBytesPerSecond, responseBurstBytes), now
	if need := float64(len(body)); b.left < need && b.left < responseBurstBytes {
		w.sendAt = now + min((need-b.left)/responseBytesPerSecond, surveyTimeoutSeconds)
		return
	}
	b.left -= float64(len(body))
	w.roles.sendReply(l, maintenanceRoleName, w.surveyToken, kindSurveyResponse, body)
	w.gathered = nil
}

// runSurveys has all be asked, again and again, as long as a plan goes on.
func (w *maintenanceRole) runSurveys(now float64) {
	if w.collected != nil && (now >= w.surveyDeadline || w.isSurveyComplete()) {
		w.coordinator.Observe(now, maintenance.FleetSnapshot{Members: w.surveyed, Report: *w.collected, Complete: w.isSurveyComplete()})
		w.collected = nil
	}
	if w.collected != nil || now < w.surveyAt || !w.coordinator.NeedsSnapshot() {
		return
	}
	w.surveyAt = now + surveyIntervalSeconds
	w.round++
	if !w.roles.broadcast(maintenanceRoleName, kindSurveyRequest, mustMarshal(surveyRequest{w.round, w.epoch, w.version})) {
		return
	}
	w.surveyed = nil
	for m := range w.roles.node.view.Members {
		w.surveyed = append(w.surveyed, maintenance.Member{ID: m.ID, Name: m.Name, BootID: m.Version.BootID, State: m.State, StateAgeSeconds: m.StateAgeSeconds})
	}
	w.collected, w.surveyDeadline = w.localReport(now), now+surveyTimeoutSeconds
}

// isSurveyComplete tells whether all that live have answered.
func (w *maintenanceRole) isSurveyComplete() bool {
	return !slices.ContainsFunc(w.surveyed, func(m maintenance.Member) bool {
		return m.State == swim.Alive && !w.collected.HasReporter(maintenance.Reporter{ID: m.ID})
	})
}
