package processcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/lab/maintenanceagent"
)

// maintenanceRun submits a maintenance plan, runs its agents and observes servers and clients. Observe is called from the play's loop, run from a
// goroutine of its own, finish when both are over.
type maintenanceRun struct {
	cluster  *Cluster
	settings Maintenance
	day      *environment.Day

	// Observations of servers and clients, of the play's loop alone.
	executions     map[string][]execution // by server
	openExecutions map[[2]uint64]int      // by server and connection: the index of the execution that lasts
	requests       map[uint64]*request    // by the first attempt
	firstRequests  map[uint64]uint64      // first attempt, by attempt
	attemptTimes   []float64
	rejectionTimes []float64

	mu            sync.Mutex        // guards the fields below
	report        MaintenanceReport // FailedPolls and FailedCalls are of run alone
	stages        map[string]maintenance.Stage
	submittedAt   float64           // Unix seconds; 0 before
	endedAt       float64           // likewise
	lastState     *maintenanceState // the newest
	polledAt      time.Time
	agents        []*maintenanceagent.Agent // of run alone, until it is over
	scriptRecords []maintenanceagent.Record
}

// maintenanceState is the answer of an admin endpoint to WORKS, as far as it is used here.
type maintenanceState struct {
	Version  uint64                `json:"version"`
	Plans    []maintenance.Plan    `json:"plans"`
	Blockers []maintenance.Blocker `json:"waits"`
}

// newMaintenanceRun returns a run of maintenance in the environment of a day.
func newMaintenanceRun(cluster *Cluster, settings Maintenance, day *environment.Day) *maintenanceRun {
	return &maintenanceRun{cluster: cluster, settings: settings, day: day, executions: map[string][]execution{}, openExecutions: map[[2]uint64]int{},
		requests: map[uint64]*request{}, firstRequests: map[uint64]uint64{}, stages: map[string]maintenance.Stage{}}
}

// adminAddresses returns the admin endpoints of the running members.
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

// run submits the plan, or starts the script, once the members have agreed, and runs agents and polls the plan until ctx ends.
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
	if !r.submit(ctx) {
		return
	}
	var agents sync.WaitGroup
	defer agents.Wait()
	workDuration := func(string) time.Duration { return durationOfSeconds(r.settings.Spec.WorkSeconds) }
	for i := range r.settings.Spec.MaxConcurrent {
		agent := &maintenanceagent.Agent{Name: fmt.Sprintf("mechanic-%d", i), AdminEndpoints: r.cluster.adminAddresses, WorkDuration: workDuration}
		r.agents = append(r.agents, agent)
		agents.Go(func() { agent.Run(ctx) })
	}
	for n := 0; sleep(ctx, 100*time.Millisecond); n++ {
		if addresses := r.cluster.adminAddresses(); len(addresses) > 0 {
			r.poll(ctx, addresses[n%len(addresses)])
		}
	}
}

// submit submits the plan until it is answered or ctx ends, and reports whether to go on: it was not rejected.
func (r *maintenanceRun) submit(ctx context.Context) bool {
	command := maintenance.Command{Nonce: r.cluster.settings.Seed<<1 | 1, Kind: maintenance.SubmitPlan, Spec: &r.settings.Spec}
	for ctx.Err() == nil {
		reply, err := maintenanceagent.Execute(ctx, r.cluster.adminAddresses, command)
		if err == nil && reply.Err != "" {
			r.mu.Lock()
			r.report.Error = reply.Err
			r.mu.Unlock()
			return false
		}
		if err == nil {
			break
		}
	}
	r.mu.Lock()
	r.submittedAt = unixNow()
	r.mu.Unlock()
	return true
}

// poll queries an admin endpoint for the plan and records its progress. An answer that is older than the newest is ignored.
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

// recordStage records the stage of a server, if it has changed. The caller holds mu.
func (r *maintenanceRun) recordStage(server string, stage maintenance.Stage) {
	if before, known := r.stages[server]; !known || before != stage {
		r.stages[server] = stage
		r.report.Stages = append(r.report.Stages, StageChange{time.Since(r.cluster.startedAt).Seconds(), server, stage})
	}
}
