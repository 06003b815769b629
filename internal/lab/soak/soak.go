package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	startTimeout   = 20 * time.Second
	sampleInterval = time.Second
	// afterFor is how long clients go on once RecoveryS is over.
	afterRecoveryDuration = 4 * time.Second
	// longPart is the part of the run for which a process must have lived for its growth to be judged.
	longLivedFraction = 0.6
)

// Run plays a fleet and returns what came of it. Broken rules are in the report; an error says that it could not be played.
func Run(ctx context.Context, s Settings) (*Result, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	if s.Log == nil {
		s.Log = io.Discard
	}
	dir := s.Dir
	if dir == "" {
		temporary, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return nil, Error.Wrap(err)
		}
		defer func() { _ = os.RemoveAll(temporary) }() // temporary
		dir = temporary
	}
	checker := NewChecker()
	endpoints, err := startEndpointList(checker)
	if err != nil {
		return nil, err
	}
	defer endpoints.close()
	processes := newFleet(&s, checker, dir, endpoints.address)
	defer processes.killAll()
	r := &run{settings: s, fleet: processes, checker: checker, endpoints: endpoints, operator: newOperator(processes, checker, s.Seed), faults: newFaultInjector(processes, checker, s.Seed)}
	return r.execute(ctx)
}

// run is one run of a soak.
type run struct {
	settings        Settings
	fleet           *fleet
	checker         *Checker
	endpoints       *endpointList
	operator        *operator
	faults          *faultInjector
	clients         *clients
	replacedServers int // servers
}

func (r *run) execute(ctx context.Context) (*Result, error) {
	startedAt := time.Now()
	if err := r.fleet.start(rand.New(rand.NewPCG(r.settings.Seed, 4))); err != nil {
		return nil, err
	}
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var background sync.WaitGroup
	r.clients = &clients{fleet: r.fleet, checker: r.checker, newestRoute: &r.operator.addedRoutes}
	for i := range clientsPerEdge * len(r.fleet.frontMachines()) {
		background.Go(func() { r.clients.run(traffic, r.settings.Seed*1000+uint64(i)) })
	}
	background.Go(func() { r.operator.run(traffic) })
	background.Go(func() { r.sampleProcesses(traffic) })

	faulty, stopFaults := context.WithTimeout(ctx, r.settings.FaultDuration)
	defer stopFaults()
	background.Go(func() {
		r.replacedServers = r.endpoints.replaceServers(faulty, rand.New(rand.NewPCG(r.settings.Seed, 5)))
	})
	r.faults.run(faulty)
	recoveredFrom := time.Now().Add(durationOfSeconds(recoverySeconds))
	r.checker.ExpectServiceFrom(recoveredFrom)
	sleep(ctx, time.Until(recoveredFrom)+afterRecoveryDuration)
	stopTraffic()
	background.Wait()
	if ctx.Err() != nil {
		return nil, Error.Wrap(ctx.Err())
	}
	r.finish(ctx, time.Since(startedAt))
	return r.result(time.Since(startedAt)), nil
}

// begin waits until the first configuration is taken and all proxies are ready.
func (r *run) awaitReady(ctx context.Context) error {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r.operator.applyChange(startCtx)
	for _, machine := range r.fleet.frontMachines() {
		for !r.isReady(machine) {
			if startCtx.Err() != nil {
				return Error.New("%s is not ready after %v", machine.name, startTimeout)
			}
			sleep(startCtx, retryInterval)
		}
	}
	return nil
}

func (r *run) isReady(machine *machine) bool {
	response, err := r.operator.httpClient.Get("http://" + r.fleet.readyAddress(machine) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == 200
}

// sample looks at what all processes take, now and then.
func (r *run) sampleProcesses(ctx context.Context) {
	for ctx.Err() == nil {
		for _, machine := range r.fleet.machines() {
			for _, p := range machine.processes {
				p.sampleResources()
			}
		}
		sleep(ctx, sampleInterval)
	}
}

// finish judges what can be judged in the end alone, and ends all processes in order.
func (r *run) finish(ctx context.Context, duration time.Duration) {
	r.operator.checkReadBack(ctx)
	for _, machine := range r.fleet.machines() {
		for _, p := range machine.processes {
			p.checkGrowth(time.Duration(longLivedFraction * float64(duration)))
		}
	}
	r.faults.forEachMachine(func(machine *machine) {
		machine.signal(syscall.SIGTERM)
		machine.forEachProcess((*process).awaitShutdown)
	})
	r.checker.Finish()
}

func (r *run) result(duration time.Duration) *Result {
	r.checker.mu.Lock()
	outcomes, hungUpEarly, resumedFeeds := r.checker.outcomes, r.checker.hungUpEarly, r.checker.resumedFeeds
	r.checker.mu.Unlock()
	return &Result{Seed: r.settings.Seed, Processes: r.settings.controlProcessCount() + 2*r.settings.edgeMachineCount(), Seconds: duration.Seconds(),
		Requests: r.clients.requestCount.Load(), Outcomes: outcomes, LastVersion: r.operator.confirmedVersion, AddedRoutes: r.operator.addedRoutes.Load(), ScenarioCounts: r.faults.scenarioCounts,
		KillAllCount: r.faults.killAllCount.Load(), ReplacedServers: r.replacedServers, ResumedFeeds: resumedFeeds, HungUpEarly: hungUpEarly, SlowestChangeSeconds: r.operator.slowestChange.Seconds(), SlowestVoteSeconds: r.faults.slowestVote.Seconds(),
		Violations: r.checker.Violations()}
}
