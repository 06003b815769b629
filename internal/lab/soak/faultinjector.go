package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// meanRestPerMachine is the mean time between two scenarios on one machine.
	meanRestPerMachine = 8 * time.Second
	// controlFraction is the fraction of scenarios drawn for control machines.
	controlFraction = 0.3
	// meanKillAllInterval is the mean time between two kills of all processes, killAllDowntime how long none is running then.
	meanKillAllInterval = 25 * time.Second
	killAllDowntime     = time.Second
	// lostDiskFraction is the fraction of kills of all processes at which a control machine's disk is lost, where none is missing already.
	lostDiskFraction = 0.5
	// diskLostAtKillAll is the name of these losses in reports.
	diskLostAtKillAll = "disk lost while all are killed"
	votePollInterval  = 100 * time.Millisecond
)

// faultInjector runs scenarios on machines, which are drawn from a seed. Scenarios on different machines overlap, and so do the steps of one.
type faultInjector struct {
	fleet    *fleet
	checker  *Checker
	dataRoot string

	voteTimeout time.Duration // within which a restarted control machine must vote

	lostMachines chan struct{}  // a slot for each control machine that may be unavailable at once
	killAllCount atomic.Int64   // how often all processes were killed at once
	running      sync.WaitGroup // scenarios, and the kills of all processes

	mu             sync.Mutex // guards the fields below
	rng            *rand.Rand
	scenarioCounts map[string]int // by name
	slowestVote    time.Duration  // longest time from a restart of a control machine to its first vote
}

// newFaultInjector returns a fault injector for a fleet that is running.
func newFaultInjector(fleet *fleet, checker *Checker, seed uint64) *faultInjector {
	return &faultInjector{fleet: fleet, checker: checker, dataRoot: fleet.dir, voteTimeout: durationOfSeconds(catchUpSeconds) + busyMachineSlack,
		lostMachines: make(chan struct{}, fleet.settings.tolerableLosses()),
		rng:          rand.New(rand.NewPCG(seed, 3)), scenarioCounts: map[string]int{}}
}

// drawDuration draws a duration of at least minimum and less than maximum.
func (f *faultInjector) drawDuration(minimum, maximum time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return minimum + time.Duration(f.rng.Int64N(int64(maximum-minimum)))
}

// reload writes the configuration file with other seeds and sends SIGHUP to the machine's processes.
func (f *faultInjector) reload(m *machine) {
	f.mu.Lock()
	err := f.fleet.writeConfig(m, false, f.rng)
	f.mu.Unlock()
	if err != nil {
		f.checker.ReportViolation(NoUnexpectedExit, "%s: %v", m.name, err)
	}
	m.signal(syscall.SIGHUP)
}

// wipeDisk kills a machine's processes, removes its disk and starts it again.
func (f *faultInjector) wipeDisk(m *machine) {
	m.kill()
	if err := f.removeDisk(m); err != nil {
		f.checker.ReportViolation(ConfigurationConfirmed, "%s: %v", m.name, err)
	}
	m.start()
}

// removeDisk removes what a machine has stored and has its settings say that this is no first start. Danger: with Bootstrap true an empty
// disk makes a founder, which votes under its old identity though it has forgotten what it accepted; an acknowledged configuration can
// then be lost. Operators set Bootstrap for the first start alone.
func (f *faultInjector) removeDisk(m *machine) error {
	f.mu.Lock()
	err := f.fleet.writeConfig(m, false, f.rng)
	f.mu.Unlock()
	return errors.Join(err, os.RemoveAll(m.dataDir(f.dataRoot)))
}

// run starts scenarios until ctx ends, and returns when all have ended.
func (f *faultInjector) run(ctx context.Context) {
	machines := len(f.fleet.machines())
	f.running.Go(func() { f.killAllPeriodically(ctx) })
	for ctx.Err() == nil {
		f.startScenario()
		sleep(ctx, f.drawDuration(0, 2*meanRestPerMachine/time.Duration(machines)))
	}
	f.running.Wait()
}

// drawScenario draws a scenario and a machine for it.
func (f *faultInjector) drawScenario() (onControl bool, m *machine, chosen scenario) {
	f.mu.Lock()
	defer f.mu.Unlock()
	onControl = f.rng.Float64() < controlFraction
	machines, specific := f.fleet.edgeMachines, edgeScenarios
	if onControl {
		machines, specific = f.fleet.controlMachines, controlScenarios
	}
	scenarios := slices.Concat(commonScenarios, specific)
	m = machines[f.rng.IntN(len(machines))]
	return onControl, m, scenarios[f.rng.IntN(len(scenarios))]
}

// startScenario draws a scenario and a machine and starts it there, unless the machine has one or as many control machines as may be
// unavailable are.
func (f *faultInjector) startScenario() {
	onControl, m, chosen := f.drawScenario()
	if onControl {
		select {
		case f.lostMachines <- struct{}{}:
		default:
			return
		}
	}
	if !m.tryClaim() {
		if onControl {
			<-f.lostMachines
		}
		return
	}
	f.mu.Lock()
	f.scenarioCounts[chosen.name]++
	f.mu.Unlock()
	f.running.Go(func() {
		chosen.run(f, m)
		m.release()
		if onControl {
			f.awaitReturn(m)
		}
	})
}

// awaitReturn waits until a control machine votes and must have caught up. Until then it counts as unavailable.
func (f *faultInjector) awaitReturn(m *machine) {
	f.awaitVote(m)
	time.Sleep(durationOfSeconds(catchUpSeconds))
	<-f.lostMachines
}

// awaitVote waits until a restarted control machine votes and reports a violation if it does not within voteTimeout. The time counts anew when
// all processes are killed meanwhile.
func (f *faultInjector) awaitVote(m *machine) {
	restartedAt, killAllCount := time.Now(), f.killAllCount.Load()
	for !f.isVoting(m) {
		if now := f.killAllCount.Load(); now != killAllCount {
			restartedAt, killAllCount = time.Now().Add(killAllDowntime), now
		}
		if waited := time.Since(restartedAt); waited > f.voteTimeout {
			f.checker.ReportViolation(VotesAfterRestart, "%s does not vote %v after it has come back", m.name, waited.Round(time.Millisecond))
			return
		}
		time.Sleep(votePollInterval)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slowestVote = max(f.slowestVote, time.Since(restartedAt))
}

// isVoting asks a control process for its state and reports whether it votes.
func (f *faultInjector) isVoting(m *machine) bool {
	response, err := (&http.Client{Timeout: connectTimeout}).Get(fmt.Sprintf("http://%s:%d/fleet/v1/holdings", m.ip, f.fleet.basePort))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }() // read only
	var holdings struct{ Votes bool }
	return json.NewDecoder(response.Body).Decode(&holdings) == nil && holdings.Votes
}

// killAllPeriodically kills all processes at once, whatever scenarios are running, and starts them again, until ctx ends.
func (f *faultInjector) killAllPeriodically(ctx context.Context) {
	for {
		sleep(ctx, f.drawDuration(meanKillAllInterval/2, meanKillAllInterval*3/2))
		if ctx.Err() != nil {
			return
		}
		f.killAll()
	}
}

// killAll kills all processes at once and starts them again. At times a control machine's disk is lost at the same moment.
func (f *faultInjector) killAll() {
	f.killAllCount.Add(1)
	lost := f.claimForLoss()
	f.forEachMachine((*machine).kill)
	if lost != nil {
		if err := f.removeDisk(lost); err != nil {
			f.checker.ReportViolation(ConfigurationConfirmed, "%s: %v", lost.name, err)
		}
	}
	time.Sleep(killAllDowntime)
	f.forEachMachine((*machine).start)
	if lost != nil {
		lost.release()
		f.running.Go(func() { f.awaitReturn(lost) })
	}
}

// claimForLoss claims a control machine whose disk is to be lost while all processes are killed. It returns nil where none is drawn, as many control
// machines as may be unavailable are, or the one that was drawn has a scenario.
func (f *faultInjector) claimForLoss() *machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	machines := f.fleet.controlMachines
	m := machines[f.rng.IntN(len(machines))]
	if f.rng.Float64() >= lostDiskFraction {
		return nil
	}
	select {
	case f.lostMachines <- struct{}{}:
	default:
		return nil
	}
	if !m.tryClaim() {
		<-f.lostMachines
		return nil
	}
	f.scenarioCounts[diskLostAtKillAll]++
	return m
}

// forEachMachine calls do for all machines at once and returns when all calls have.
func (f *faultInjector) forEachMachine(do func(m *machine)) {
	var running sync.WaitGroup
	for _, m := range f.fleet.machines() {
		running.Go(func() { do(m) })
	}
	running.Wait()
}
