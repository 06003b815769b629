package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Times of a run.
const (
	startTimeout   = 20 * time.Second
	sampleInterval = time.Second
	// afterRecoveryDuration is how long clients continue when the time to recover from the last fault is over.
	afterRecoveryDuration = 4 * time.Second
	// longLivedFraction is the fraction of the run for which a process must have been running for its growth to be checked.
	longLivedFraction = 0.6
)

// Run runs a fleet under faults and returns the report, which holds the violations. An error means that the fleet could not be run to the end: a
// setting is invalid, a process did not start, or ctx has ended. All processes that it started have exited when it returns.
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
		defer func() { _ = os.RemoveAll(temporary) }() // a leftover below the system's temporary folder harms no other run
		dir = temporary
	}
	checker := NewChecker()
	checker.hasEarlierVersions = s.OtherBinary != ""
	endpoints, err := startEndpointList(checker)
	if err != nil {
		return nil, err
	}
	defer endpoints.close()
	fleet := newFleet(&s, checker, dir, endpoints.address)
	defer fleet.killAll()
	r := &run{settings: s, fleet: fleet, checker: checker, endpoints: endpoints,
		operator: newOperator(fleet, checker, s.Seed), faults: newFaultInjector(fleet, checker, s.Seed)}
	return r.execute(ctx)
}

// run is one run: the fleet with everything that acts on it.
type run struct {
	settings        Settings
	fleet           *fleet
	checker         *Checker
	endpoints       *endpointList
	operator        *operator
	faults          *faultInjector
	clients         *clients
	replacedServers int // set by execute
}

// execute starts the fleet, runs clients, operator and faults for their times, and returns the report.
func (r *run) execute(ctx context.Context) (*Result, error) {
	startedAt := time.Now()
	if err := r.fleet.start(rand.New(rand.NewPCG(r.settings.Seed, 4))); err != nil {
		return nil, err
	}
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var background sync.WaitGroup
	r.clients = &clients{fleet: r.fleet, checker: r.checker, newestRoute: &r.operator.addedRoutes}
	for i := range clientsPerEdge * len(r.fleet.frontMachines()) {
		background.Go(func() { r.clients.run(trafficCtx, r.settings.Seed*1000+uint64(i)) })
	}
	for i, load := range limitedLoads(r.fleet.frontMachines()) {
		background.Go(func() { r.clients.runLimited(trafficCtx, r.settings.Seed*1000+uint64(i), load) })
	}
	background.Go(func() { r.operator.run(trafficCtx) })
	background.Go(func() { r.sampleProcesses(trafficCtx) })

	if r.settings.WithoutFaults {
		sleep(ctx, r.settings.FaultDuration)
	} else {
		r.injectFaults(ctx, &background)
	}
	stopTraffic()
	background.Wait()
	if ctx.Err() != nil {
		return nil, Error.Wrap(ctx.Err())
	}
	r.finish(ctx, time.Since(startedAt))
	return r.result(time.Since(startedAt)), nil
}

// injectFaults has machines and servers fail for FaultDuration, and returns when clients have used the fleet for a while after it must have recovered.
func (r *run) injectFaults(ctx context.Context, background *sync.WaitGroup) {
	faultCtx, stopFaults := context.WithTimeout(ctx, r.settings.FaultDuration)
	defer stopFaults()
	background.Go(func() {
		r.replacedServers = r.endpoints.replaceServers(faultCtx, rand.New(rand.NewPCG(r.settings.Seed, 5)))
	})
	r.faults.run(faultCtx)
	recoveredFrom := time.Now().Add(durationOfSeconds(recoverySeconds))
	r.checker.ExpectServiceFrom(recoveredFrom)
	sleep(ctx, time.Until(recoveredFrom)+afterRecoveryDuration)
}

// awaitReady sends the first configuration and waits until it is confirmed and all proxies are ready.
func (r *run) awaitReady(ctx context.Context) error {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r.operator.applyChange(startCtx)
	for _, m := range r.fleet.frontMachines() {
		for !r.isReady(m) {
			if startCtx.Err() != nil {
				return Error.New("%s is not ready after %v", m.name, startTimeout)
			}
			sleep(startCtx, retryInterval)
		}
	}
	return nil
}

// isReady reports whether a machine's proxy answers its readiness check.
func (r *run) isReady(m *machine) bool {
	response, err := r.operator.httpClient.Get("http://" + r.fleet.readyAddress(m) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// sampleProcesses samples the resources of all processes until ctx ends.
func (r *run) sampleProcesses(ctx context.Context) {
	for ctx.Err() == nil {
		for _, m := range r.fleet.machines() {
			for _, p := range m.processes {
				p.sampleResources()
			}
		}
		sleep(ctx, sampleInterval)
	}
}

// finish makes the checks that are possible at the end alone, and shuts all processes down.
func (r *run) finish(ctx context.Context, duration time.Duration) {
	r.operator.checkReadBack(ctx)
	for _, m := range r.fleet.machines() {
		for _, p := range m.processes {
			p.checkGrowth(time.Duration(longLivedFraction * float64(duration)))
		}
	}
	r.faults.forEachMachine(func(m *machine) {
		m.signal(syscall.SIGTERM)
		m.forEachProcess((*process).awaitShutdown)
	})
	r.fleet.outputs.Wait() // a key may show in the last lines
	r.checker.Finish()
}

// result builds the report.
func (r *run) result(duration time.Duration) *Result {
	r.checker.mu.Lock()
	outcomes, hungUpEarly, resumedFeeds := r.checker.outcomes, r.checker.endedEarly, r.checker.resumedFeeds
	r.checker.mu.Unlock()
	return &Result{
		Seed: r.settings.Seed, Processes: r.settings.controlProcessCount() + 2*r.settings.edgeMachineCount(), Seconds: duration.Seconds(),
		Requests: r.clients.requestCount.Load(), Outcomes: outcomes,
		LastVersion: r.operator.confirmedVersion, AddedRoutes: r.operator.addedRoutes.Load(), SlowestChangeSeconds: r.operator.slowestChange.Seconds(),
		ScenarioCounts: r.faults.scenarioCounts, KillAllCount: r.faults.killAllCount.Load(), SlowestVoteSeconds: r.faults.slowestVote.Seconds(),
		ReplacedServers: r.replacedServers, ResumedFeeds: resumedFeeds, HungUpEarly: hungUpEarly,
		Violations: r.checker.Violations(),
	}
}
