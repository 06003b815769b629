package processcluster

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/lab/maintenanceagent"
)

// Work is what is to be done to boxes while a fleet is played.
type Maintenance struct {
	Spec     maintenance.Spec
	Scripted bool // by a script that calls at every door, box by box, with fixed waits; nobody is asked for an order
}

// Fixed waits of who calls at every door by hand: as long as a request may take, until a box is taken for empty; and as long as boxes may
// be cold, before the next one leaves.
const (
	scriptDrainSeconds  = 10.0
	scriptWarmUpSeconds = 24.0
)

// Worked is what came of it.
type MaintenanceReport struct {
	Servers         int                       `json:"boxes"`
	Done            int                       `json:"done"`
	Skipped         int                       `json:"skipped"`
	Lost            int                       `json:"lost"`
	Ended           bool                      `json:"ended"`
	StartedSeconds  float64                   `json:"began_s"`
	TotalSeconds    float64                   `json:"total_s"`          // from when it was given to its end, or until the day's
	WorstTenSeconds float64                   `json:"worst_10_s"`       // least part of the worth that was served in time, of ten seconds
	WorstAtSeconds  float64                   `json:"worst_10_s_at"`    // when they began
	Attempts        int                       `json:"asked"`            // tries, while it went on
	Rejected        int                       `json:"refused"`          // of these
	SentByReturning int                       `json:"gone_sent"`        // requests to a box that was worked on, of sidecars that had counted as gone
	FailedCalls     int                       `json:"unheeded"`         // calls by hand that a door did not take
	Error           string                    `json:"error,omitempty"`  // why it was not taken
	Records         []maintenanceagent.Record `json:"records"`          // by whom it was worked on
	Stages          []StageChange             `json:"stages,omitempty"` // of boxes, as doors told of them
	Violations      []string                  `json:"wrong,omitempty"`
	Blockers        []maintenance.Blocker     `json:"waits,omitempty"`  // what was waited for at the end
	BlockedSeconds  map[string]float64        `json:"held_s,omitempty"` // for how long the plan, or a box, waited for what
	FailedPolls     int                       `json:"untold"`           // looks at the doors at which nobody said anything
	violationCount  int
}

// StageChange is a box that has come to a stage.
type StageChange struct {
	AtSeconds float64           `json:"at_s"`
	Server    string            `json:"box"`
	Stage     maintenance.Stage `json:"stage"`
}

// workPlay has boxes be worked on and watches all of it. Its witness is for the play's loop.
type maintenanceRun struct {
	cluster  *Cluster
	settings Maintenance
	day      *environment.Day

	// What the boxes and clients tell.
	executions     map[string][]execution // by box
	openExecutions map[[2]uint64]int      // of each box and link, the place of the execution that is out there
	requests       map[uint64]*request    // by the first try
	firstRequests  map[uint64]uint64
	attemptTimes   []float64
	rejectionTimes []float64

	mu            sync.Mutex
	report        MaintenanceReport
	stages        map[string]maintenance.Stage
	submittedAt   float64 // Unix time; 0: not yet
	endedAt       float64
	lastState     *maintenanceState
	polledAt      time.Time
	agents        []*maintenanceagent.Agent
	scriptRecords []maintenanceagent.Record
}

// execution is a request at a box. to is 0 while it is out.
type execution struct {
	from, to float64
	sidecar  int
}

type request struct {
	startedAt, weight, targetSeconds float64
	isServed                         bool
}

// workState is what a door tells of plans, as far as it is looked at here.
type maintenanceState struct {
	Version  uint64                `json:"version"`
	Plans    []maintenance.Plan    `json:"plans"`
	Blockers []maintenance.Blocker `json:"waits"`
}

func newMaintenanceRun(cluster *Cluster, settings Maintenance, day *environment.Day) *maintenanceRun {
	return &maintenanceRun{cluster: cluster, settings: settings, day: day, executions: map[string][]execution{}, openExecutions: map[[2]uint64]int{}, requests: map[uint64]*request{}, firstRequests: map[uint64]uint64{},
		stages: map[string]maintenance.Stage{}}
}

// See takes an event.
func (r *maintenanceRun) Observe(event checker.Event) {
	connection := [2]uint64{uint64(uint32(event.Server)), event.Connection}
	server := func() string { return r.day.Servers[event.Server].Name }
	endExecution := func() {
		if i, ok := r.openExecutions[connection]; ok {
			r.executions[server()][i].to = event.At
			delete(r.openExecutions, connection)
		}
	}
	switch event.Kind {
	case checker.AttemptReceived:
		endExecution()
		r.openExecutions[connection] = len(r.executions[server()])
		r.executions[server()] = append(r.executions[server()], execution{from: event.At, sidecar: int(event.Sidecar)})
	case checker.ResponseSent, checker.ConnectionClosed:
		endExecution()
	case checker.ServerStopped:
		for key, i := range r.openExecutions {
			if key[0] == connection[0] {
				r.executions[server()][i].to = event.At
				delete(r.openExecutions, key)
			}
		}
	case checker.RequestStarted:
		r.firstRequests[event.Request] = event.FirstRequest
		r.attemptTimes = append(r.attemptTimes, event.At)
		if r.requests[event.FirstRequest] == nil && int(event.Class) < len(r.day.Classes) && event.Class >= 0 && !event.Uncounted {
			class := &r.day.Classes[event.Class]
			r.requests[event.FirstRequest] = &request{startedAt: event.At, weight: class.PriorityWeight, targetSeconds: class.LatencyTargetSeconds}
		}
	case checker.ResponseReceived:
		request := r.requests[r.firstRequests[event.Request]]
		if event.Status == 200 && request != nil && event.At-request.startedAt <= request.targetSeconds {
			request.isServed = true
		}
		if event.Status == 429 || event.Status == 503 {
			r.rejectionTimes = append(r.rejectionTimes, event.At)
		}
	}
}

func (c *Cluster) adminAddresses() (all []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if m.isRunning {
			all = append(all, m.adminAddress)
		}
	}
	return all
}

func unixNow() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// run has the work done from some time after the fleet has begun, until it is over or ctx ends.
func (r *maintenanceRun) run(ctx context.Context) {
	for sleep(ctx, 100*time.Millisecond) && !r.cluster.hasAgreed() {
	}
	if ctx.Err() != nil {
		return
	}
	if r.settings.Scripted {
		r.runScript(ctx)
		return
	}
	submit := maintenance.Command{Nonce: r.cluster.settings.Seed<<1 | 1, Kind: maintenance.SubmitPlan, Spec: &r.settings.Spec}
	for ctx.Err() == nil {
		reply, err := maintenanceagent.Execute(ctx, r.cluster.adminAddresses, submit)
		if err == nil && reply.Err != "" {
			r.mu.Lock()
			r.report.Error = reply.Err
			r.mu.Unlock()
			return
		}
		if err == nil {
			break
		}
	}
	r.mu.Lock()
	r.submittedAt = unixNow()
	r.mu.Unlock()
	var agents sync.WaitGroup
	defer agents.Wait()
	for i := range r.settings.Spec.MaxConcurrent {
		agent := &maintenanceagent.Agent{Name: fmt.Sprintf("mechanic-%d", i), AdminEndpoints: r.cluster.adminAddresses, WorkDuration: func(string) time.Duration { return durationOfSeconds(r.settings.Spec.WorkSeconds) }}
		r.agents = append(r.agents, agent)
		agents.Go(func() { agent.Run(ctx) })
	}
	for n := 0; sleep(ctx, 100*time.Millisecond); n++ {
		if addresses := r.cluster.adminAddresses(); len(addresses) > 0 {
			r.poll(ctx, addresses[n%len(addresses)])
		}
	}
}

func durationOfSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// rest waits for a while, and tells whether the play went on until then.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// look asks a door how far it is.
func (r *maintenanceRun) poll(ctx context.Context, address string) {
	answer, err := maintenanceagent.SendLine(ctx, address, "WORKS")
	var state maintenanceState
	if err != nil || json.Unmarshal(answer, &state) != nil {
		r.report.FailedPolls++
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastState != nil && state.Version < r.lastState.Version {
		return
	}
	if r.lastState = &state; len(state.Plans) == 0 {
		return
	}
	if r.report.BlockedSeconds == nil {
		r.report.BlockedSeconds, r.polledAt = map[string]float64{}, time.Now()
	}
	for _, blocker := range state.Blockers {
		r.report.BlockedSeconds[strings.TrimLeft(blocker.Reason, "0123456789. ")] += time.Since(r.polledAt).Seconds()
	}
	r.polledAt = time.Now()
	plan := &state.Plans[len(state.Plans)-1]
	for _, server := range plan.Servers {
		r.recordStage(server.Name, server.Stage)
	}
	if plan.Ended && r.endedAt == 0 {
		r.endedAt = unixNow()
	}
}

// stage notes a stage that a box has come to. p.mu is held.
func (r *maintenanceRun) recordStage(server string, stage maintenance.Stage) {
	if before, known := r.stages[server]; !known || before != stage {
		r.stages[server] = stage
		r.report.Stages = append(r.report.Stages, StageChange{time.Since(r.cluster.startedAt).Seconds(), server, stage})
	}
}

// hand calls at all doors for one box after the other, and waits for fixed times.
func (r *maintenanceRun) runScript(ctx context.Context) {
	sendToAll := func(line string) {
		for _, address := range r.cluster.adminAddresses() {
			if answer, err := maintenanceagent.SendLine(ctx, address, line); err != nil || string(answer[:min(2, len(answer))]) != "OK" {
				r.report.FailedCalls++
			}
		}
	}
	setStage := func(server string, stage maintenance.Stage) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.recordStage(server, stage)
	}
	r.mu.Lock()
	r.submittedAt = unixNow()
	r.mu.Unlock()
	for _, server := range r.plannedServers() {
		setStage(server, maintenance.Pending)
	}
	for _, server := range r.plannedServers() {
		setStage(server, maintenance.Draining)
		sendToAll("OFFLINE " + server)
		if !sleep(ctx, durationOfSeconds(scriptDrainSeconds)) {
			return
		}
		setStage(server, maintenance.InMaintenance)
		r.mu.Lock()
		r.scriptRecords = append(r.scriptRecords, maintenanceagent.Record{Agent: "script", Server: server, StartedAt: time.Now()})
		r.mu.Unlock()
		if !sleep(ctx, durationOfSeconds(r.settings.Spec.WorkSeconds)) {
			return
		}
		r.mu.Lock()
		r.scriptRecords[len(r.scriptRecords)-1].EndedAt = time.Now()
		r.mu.Unlock()
		setStage(server, maintenance.WarmingUp)
		sendToAll("ONLINE " + server)
		if !sleep(ctx, durationOfSeconds(scriptWarmUpSeconds)) {
			return
		}
		setStage(server, maintenance.Done)
	}
	r.mu.Lock()
	r.endedAt = unixNow()
	r.mu.Unlock()
}

// named returns the boxes that the plan names, of those that stand.
func (r *maintenanceRun) plannedServers() (names []string) {
	spec := &r.settings.Spec
	for _, server := range r.day.Servers[:r.day.InitialServers] {
		isInGroup := len(spec.Sites)+len(spec.Types) > 0 && (len(spec.Sites) == 0 || slices.Contains(spec.Sites, r.day.Sites[server.Site])) &&
			(len(spec.Types) == 0 || slices.Contains(spec.Types, r.day.ServerKinds[server.Kind]))
		if isInGroup || slices.Contains(spec.Servers, server.Name) {
			names = append(names, server.Name)
		}
	}
	return names
}

// away is for how long each sidecar was not there before it came back, by when it did.
type absence struct {
	sidecar  int
	from, to float64
}

// result judges, after the play is over.
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

// firstS is how long after the day's start the service says nothing yet: all is cold then.
const serviceSkipSeconds = 5.0

// service finds the worst ten seconds of a time.
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
	for at := from; at+10 <= to; at += 0.5 {
		served, requested := 0.0, 0.0
		i, _ := slices.BinarySearchFunc(all, at, func(candidate *request, at float64) int { return cmp.Compare(candidate.startedAt, at) })
		for ; i < len(all) && all[i].startedAt < at+10; i++ {
			if requested += all[i].weight; all[i].isServed {
				served += all[i].weight
			}
		}
		if requested > 0 && served/requested < report.WorstTenSeconds {
			report.WorstTenSeconds, report.WorstAtSeconds = served/requested, at-r.day.Start
		}
	}
}

func (r *MaintenanceReport) reportViolation(rule checker.Rule, format string, args ...any) {
	if len(r.Violations) < 30 {
		r.Violations = append(r.Violations, string(rule)+": "+fmt.Sprintf(format, args...))
	}
	r.violationCount++
}

func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

// span returns when a piece of work began and ended; what goes on ends with the day.
func workPeriod(r *maintenanceagent.Record) (from, to float64) {
	if from, to = unixSeconds(r.StartedAt), unixSeconds(r.EndedAt); r.EndedAt.IsZero() {
		to = unixNow()
	}
	return from, to
}

// occupied finds boxes that are worked on while something is out there, or came less than the settle time before.
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
			case r.cluster.hadCountedAsDead(execution.sidecar, execution.from, cmp.Or(r.settings.Spec.DeadMemberSeconds, 300)):
				report.SentByReturning++
			default:
				report.reportViolation(checker.MaintenanceOccupied, "%s is worked on by %s at %.3f s; a request of %s came %.3f s after the work began", record.Server, record.Agent, from-r.day.Start,
					r.cluster.members[execution.sidecar].name, execution.from-from)
			}
		}
	}
}

// wasGone tells whether a sidecar had been away for longer than it takes to count as gone, and had come back just before a time.
func (c *Cluster) hadCountedAsDead(sidecar int, at, deadSeconds float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.absences, func(a absence) bool {
		return a.sidecar == sidecar && a.to-a.from > deadSeconds && at >= a.from && at < a.to+rejoinSeconds
	})
}

// goneAwakeS is how long a sidecar that had counted as gone may take to hear what was agreed meanwhile.
const rejoinSeconds = 3.0

// many finds more boxes out or cold at once than the plan allows, whoever has handed them over. Danger: mechanics alone tell of it, and
// the coordinator's wait for a cold box begins after the mechanic has spoken.
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
			report.reportViolation(checker.MaintenanceBudget, "%d boxes are worked on or cold at %.3f s, of %d that may be", len(out), from-r.day.Start, r.settings.Spec.MaxConcurrent)
		}
		for site, n := range bySite {
			if n > cmp.Or(r.settings.Spec.MaxPerSite, 1) {
				report.reportViolation(checker.MaintenanceBudget, "%d boxes of %s are worked on or cold at %.3f s", n, site, from-r.day.Start)
			}
		}
	}
}

// accounts holds what mechanics did beside what is agreed of it.
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
