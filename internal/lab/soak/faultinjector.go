package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// restPerMachine is the mean time between two series on one machine.
	meanRestPerMachine = 8 * time.Second
	// controlPart is the part of the series that meets control machines, where they may be lost.
	controlFraction = 0.3
	// allKilledEvery is the mean time between kills of all processes.
	meanKillAllInterval = 25 * time.Second
	killAllDowntime     = time.Second
	votePollInterval    = 100 * time.Millisecond
)

// player does things to machines. Series on different machines overlap, and so do the steps of one.
type faultInjector struct {
	fleet   *fleet
	checker *Checker
	dir     string

	voteTimeout time.Duration // a control machine that has come back must vote

	lostMachines chan struct{} // has room for the control machines that may be lost at once
	killAllCount atomic.Int64  // how often all processes were killed
	running      sync.WaitGroup

	mu             sync.Mutex
	rng            *rand.Rand
	scenarioCounts map[string]int // series by name
	slowestVote    time.Duration  // until a control machine voted again
}

func newFaultInjector(f *fleet, checker *Checker, seed uint64) *faultInjector {
	return &faultInjector{fleet: f, checker: checker, dir: f.dir, voteTimeout: durationOfSeconds(catchUpSeconds) + busyMachineSlack, lostMachines: make(chan struct{}, f.settings.tolerableLosses()),
		rng: rand.New(rand.NewPCG(seed, 3)), scenarioCounts: map[string]int{}}
}

// between draws a time.
func (p *faultInjector) drawDuration(least, most time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return least + time.Duration(p.rng.Int64N(int64(most-least)))
}

// reload writes the settings anew, with other seeds, and tells the machine's processes.
func (p *faultInjector) reload(m *machine) {
	p.mu.Lock()
	err := p.fleet.writeConfig(m, false, p.rng)
	p.mu.Unlock()
	if err != nil {
		p.checker.ReportViolation(NoUnexpectedExit, "%s: %v", m.name, err)
	}
	m.signal(syscall.SIGHUP)
}

// wipe ends a machine's processes, removes its disk and starts it again.
func (p *faultInjector) wipeDisk(m *machine) {
	m.kill()
	if err := p.removeDisk(m); err != nil {
		p.checker.ReportViolation(ConfigurationConfirmed, "%s: %v", m.name, err)
	}
	m.start()
}

// removeDisk removes what a machine has stored and has its settings say that this is no first start. Danger: with Bootstrap true an empty
// disk makes a founder, which votes under its old identity though it has forgotten what it accepted; an acknowledged configuration can
// then be lost. Operators set Bootstrap for the first start alone.
func (p *faultInjector) removeDisk(m *machine) error {
	p.mu.Lock()
	err := p.fleet.writeConfig(m, false, p.rng)
	p.mu.Unlock()
	return errors.Join(err, os.RemoveAll(m.dataDir(p.dir)))
}

// run draws series until the context ends, and returns once all are over.
func (p *faultInjector) run(ctx context.Context) {
	machines := len(p.fleet.machines())
	p.running.Go(func() { p.killAllPeriodically(ctx) })
	for ctx.Err() == nil {
		p.startScenario()
		sleep(ctx, p.drawDuration(0, 2*meanRestPerMachine/time.Duration(machines)))
	}
	p.running.Wait()
}

// begin begins a series on some machine, where that may be.
func (p *faultInjector) startScenario() {
	p.mu.Lock()
	control := p.rng.Float64() < controlFraction
	machines, choices := p.fleet.edgeMachines, append(append([]scenario(nil), commonScenarios...), edgeScenarios...)
	if control {
		machines, choices = p.fleet.controlMachines, append(append([]scenario(nil), commonScenarios...), controlScenarios...)
	}
	m, s := machines[p.rng.IntN(len(machines))], choices[p.rng.IntN(len(choices))]
	p.mu.Unlock()
	if control {
		select {
		case p.lostMachines <- struct{}{}:
		default:
			return // as many as may be lost are
		}
	}
	if !m.tryClaim() {
		if control {
			<-p.lostMachines
		}
		return
	}
	p.mu.Lock()
	p.scenarioCounts[s.name]++
	p.mu.Unlock()
	p.running.Go(func() {
		s.run(p, m)
		m.release()
		if control {
			p.awaitVote(m)
			time.Sleep(durationOfSeconds(catchUpSeconds)) // until then the machine counts as lost
			<-p.lostMachines
		}
	})
}

// awaitVote looks whether a control machine that has come back votes in its time. Where all were killed meanwhile its time begins anew.
func (p *faultInjector) awaitVote(m *machine) {
	restartedAt, killAllCount := time.Now(), p.killAllCount.Load()
	for !p.isVoting(m) {
		if now := p.killAllCount.Load(); now != killAllCount {
			restartedAt, killAllCount = time.Now().Add(killAllDowntime), now
		}
		if waited := time.Since(restartedAt); waited > p.voteTimeout {
			p.checker.ReportViolation(VotesAfterRestart, "%s does not vote %v after it has come back", m.name, waited.Round(time.Millisecond))
			return
		}
		time.Sleep(votePollInterval)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slowestVote = max(p.slowestVote, time.Since(restartedAt))
}

// votes asks a control process whether it votes.
func (p *faultInjector) isVoting(m *machine) bool {
	response, err := (&http.Client{Timeout: connectTimeout}).Get(fmt.Sprintf("http://%s:%d/fleet/v1/holdings", m.ip, p.fleet.basePort))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var holdings struct{ Votes bool }
	return json.NewDecoder(response.Body).Decode(&holdings) == nil && holdings.Votes
}

// killAllNowAndThen kills all processes at once, whatever is being done to them, and starts them again.
func (p *faultInjector) killAllPeriodically(ctx context.Context) {
	for {
		sleep(ctx, p.drawDuration(meanKillAllInterval/2, meanKillAllInterval*3/2))
		if ctx.Err() != nil {
			return
		}
		p.killAllCount.Add(1)
		p.forEachMachine((*machine).kill)
		time.Sleep(killAllDowntime)
		p.forEachMachine((*machine).start)
	}
}

func (p *faultInjector) forEachMachine(do func(m *machine)) {
	var running sync.WaitGroup
	for _, m := range p.fleet.machines() {
		running.Go(func() { do(m) })
	}
	running.Wait()
}
