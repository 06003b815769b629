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
