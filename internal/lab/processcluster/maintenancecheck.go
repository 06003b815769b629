package processcluster

import (
	"cmp"
	"maps"
	"slices"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/lab/maintenanceagent"
)

// finish makes the checks and returns the report, after the play and run are over.
func (r *maintenanceRun) finish() *MaintenanceReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &r.report
	report.Records = slices.Clone(r.scriptRecords)
	for _, agent := range r.agents {
		report.Records = append(report.Records, agent.Records()...)
	}
	slices.SortFunc(report.Records, func(a, b maintenanceagent.Record) int { return a.StartedAt.Compare(b.StartedAt) })
	report.Servers = len(r.plannedServers())
	if r.lastState != nil && len(r.lastState.Plans) > 0 {
		report.Blockers = r.lastState.Blockers
		report.Servers = len(r.lastState.Plans[len(r.lastState.Plans)-1].Servers)
	}
	for _, stage := range r.stages {
		switch stage {
		case maintenance.Done:
			report.Done++
		case maintenance.Skipped:
			report.Skipped++
		case maintenance.Lost:
			report.Lost++
		}
	}
	end := cmp.Or(r.endedAt, unixNow())
	report.Ended = r.endedAt > 0
	if r.submittedAt > 0 {
		report.StartedSeconds, report.TotalSeconds = r.submittedAt-r.day.Start, end-r.submittedAt
		r.measureService(report, max(r.submittedAt, r.day.Start+serviceSkipSeconds), min(end, r.day.Start+r.day.LengthSeconds))
		r.checkOccupied(report)
		r.checkBudget(report)
		r.checkRecords(report)
	}
	return report
}

// serviceSkipSeconds is the time after the start of the day that is not measured, because all servers are warming up.
const serviceSkipSeconds = 5.0

// The service is measured over windows of serviceWindowSeconds, which start every serviceStepSeconds.
const (
	serviceWindowSeconds = 10
	serviceStepSeconds   = 0.5
)

// measureService counts the attempts between two times, in Unix seconds, and finds the window with the worst service.
func (r *maintenanceRun) measureService(report *MaintenanceReport, from, to float64) {
	countWithin := func(all []float64) (n int) {
		for _, at := range all {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	report.Attempts, report.Rejected, report.WorstTenSeconds = countWithin(r.attemptTimes), countWithin(r.rejectionTimes), 1
	all := slices.SortedFunc(maps.Values(r.requests), func(a, b *request) int { return cmp.Compare(a.startedAt, b.startedAt) })
	for at := from; at+serviceWindowSeconds <= to; at += serviceStepSeconds {
		served, requested := 0.0, 0.0
		i, _ := slices.BinarySearchFunc(all, at, func(candidate *request, at float64) int { return cmp.Compare(candidate.startedAt, at) })
		for ; i < len(all) && all[i].startedAt < at+serviceWindowSeconds; i++ {
			if requested += all[i].weight; all[i].isServed {
				served += all[i].weight
			}
		}
		if requested > 0 && served/requested < report.WorstTenSeconds {
			report.WorstTenSeconds, report.WorstAtSeconds = served/requested, at-r.day.Start
		}
	}
}

// workPeriod returns when work began and ended, in Unix seconds; work that goes on ends now.
func workPeriod(r *maintenanceagent.Record) (from, to float64) {
	if from, to = unixSeconds(r.StartedAt), unixSeconds(r.EndedAt); r.EndedAt.IsZero() {
		to = unixNow()
	}
	return from, to
}

// defaultDeadMemberSeconds is how long a sidecar must be absent to count as dead if the plan does not say.
const defaultDeadMemberSeconds = 300

// checkOccupied finds work on a server that executes a request, or received one less than the quiet period before. Servers granted by force are
// exempt, and requests of sidecars that had counted as dead are counted apart.
func (r *maintenanceRun) checkOccupied(report *MaintenanceReport) {
	for i := range report.Records {
		record := &report.Records[i]
		from, to := workPeriod(record)
		if record.ForcedReason != "" {
			continue
		}
		for _, execution := range r.executions[record.Server] {
			isLate := execution.from > from-r.settings.Spec.QuietPeriodSeconds() && execution.from < to
			isOpen := execution.from < to && (execution.to == 0 || execution.to > from)
			switch {
			case !isLate && !isOpen:
			case r.cluster.hadCountedAsDead(execution.sidecar, execution.from, cmp.Or(r.settings.Spec.DeadMemberSeconds, defaultDeadMemberSeconds)):
				report.SentByReturning++
			default:
				report.reportViolation(checker.MaintenanceOccupied, "%s is worked on by %s at %.3f s; a request of %s came %.3f s after the work began",
					record.Server, record.Agent, from-r.day.Start, r.cluster.members[execution.sidecar].name, execution.from-from)
			}
		}
	}
}

// checkBudget finds more servers in maintenance or warming up at once than the plan allows, whoever granted them. Danger: it goes by the records of
// agents alone, and the coordinator's warm-up of a server starts after the agent has reported its completion.
func (r *maintenanceRun) checkBudget(report *MaintenanceReport) {
	sites := map[string]string{}
	for _, server := range r.day.Servers {
		sites[server.Name] = r.day.Sites[server.Site]
	}
	warmUp := cmp.Or(r.settings.Spec.WarmUpSeconds, scriptWarmUpSeconds)
	for i := range report.Records {
		from, _ := workPeriod(&report.Records[i])
		out, bySite := map[string]bool{}, map[string]int{}
		for j := range report.Records {
			otherFrom, otherTo := workPeriod(&report.Records[j])
			if otherFrom <= from && otherTo+warmUp > from && r.stages[report.Records[j].Server] != maintenance.Lost {
				out[report.Records[j].Server] = true
			}
		}
		for server := range out {
			bySite[sites[server]]++
		}
		if len(out) > r.settings.Spec.MaxConcurrent {
			report.reportViolation(checker.MaintenanceBudget, "%d boxes are worked on or cold at %.3f s, of %d that may be", len(out),
				from-r.day.Start, r.settings.Spec.MaxConcurrent)
		}
		for site, n := range bySite {
			if n > cmp.Or(r.settings.Spec.MaxPerSite, 1) {
				report.reportViolation(checker.MaintenanceBudget, "%d boxes of %s are worked on or cold at %.3f s", n, site, from-r.day.Start)
			}
		}
	}
}

// checkRecords compares the records of agents with the last state of the plan.
func (r *maintenanceRun) checkRecords(report *MaintenanceReport) {
	if r.settings.Scripted {
		return
	}
	tokens := map[string][]uint64{}
	completed := map[string]bool{}
	for _, record := range report.Records {
		if !slices.Contains(tokens[record.Server], record.Token) {
			tokens[record.Server] = append(tokens[record.Server], record.Token)
		}
		completed[record.Server] = completed[record.Server] || !record.EndedAt.IsZero()
	}
	for server, serverTokens := range tokens {
		if len(serverTokens) > 1 {
			report.reportViolation(checker.MaintenanceRepeated, "%s is worked on under %v", server, serverTokens)
		}
	}
	if r.lastState == nil || len(r.lastState.Plans) == 0 {
		report.reportViolation(checker.MaintenanceRecorded, "no door tells of the plan")
		return
	}
	for _, server := range r.lastState.Plans[len(r.lastState.Plans)-1].Servers {
		switch n := len(tokens[server.Name]); {
		case (server.Stage == maintenance.WarmingUp || server.Stage == maintenance.Done) && !completed[server.Name]:
			report.reportViolation(checker.MaintenanceRecorded, "%s is said to be done, and nobody has worked on it to the end", server.Name)
		case server.Stage < maintenance.InMaintenance && n > 0:
			report.reportViolation(checker.MaintenanceRecorded, "%s was worked on, and is said to wait", server.Name)
		case (server.Stage == maintenance.Skipped || server.Stage == maintenance.Lost) && server.Reason == "":
			report.reportViolation(checker.MaintenanceRecorded, "%s was skipped or lost for no cause", server.Name)
		}
	}
}
