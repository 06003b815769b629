package soak

import (
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// machine is one machine of the fleet: a loopback address with a configuration file, its processes and, on control machines, a disk.
type machine struct {
	name       string
	ip         string
	hasDisk    bool // it stores a replica of the configuration
	configFile string
	processes  []*process

	mu            sync.Mutex // guards the fields below
	interventions []intervention
	isClaimed     bool // a scenario is running here
}

// disruption classifies what an intervention may do to requests at its machine.
type disruption int

// intervention is a signal, a start or an exit at a machine, as the checker takes it into account.
type intervention struct {
	at         time.Time
	disruption disruption
}

// disturbanceDuration is how long after an intervention a machine counts as disturbed. signalRaceWindow is how long a request may be under
// way to a process that has just received SIGTERM, so that the two cross.
const (
	disturbanceDuration = 4 * time.Second
	signalRaceWindow    = 150 * time.Millisecond
)

// recordIntervention notes an intervention of the given kind at the present time.
func (m *machine) recordIntervention(kind disruption) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interventions = append(m.interventions, intervention{time.Now(), kind})
}

// wasDisturbed reports whether an intervention excuses the outcome of a request that was sent to the machine and ended at the given times.
func (m *machine) wasDisturbed(sentAt, endedAt time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, done := range m.interventions {
		until := endedAt
		if done.disruption == graceful {
			until = sentAt.Add(signalRaceWindow)
		}
		if done.at.After(sentAt.Add(-disturbanceDuration)) && done.at.Before(until.Add(signalRaceWindow)) {
			return true
		}
	}
	return false
}

// process returns the machine's process of a role, nil if it has none.
func (m *machine) process(role role) *process {
	for _, p := range m.processes {
		if p.role == role {
			return p
		}
	}
	return nil
}

// forEachProcess calls do for all processes of the machine at once and returns when all calls have.
func (m *machine) forEachProcess(do func(p *process)) {
	var running sync.WaitGroup
	for _, p := range m.processes {
		running.Go(func() { do(p) })
	}
	running.Wait()
}

// start starts the processes that are not running. A failure to start is a violation.
func (m *machine) start() {
	m.forEachProcess(func(p *process) {
		if err := p.start(); err != nil {
			p.fleet.checker.ReportViolation(NoUnexpectedExit, "%s did not start: %v", p.name(), err)
		}
	})
}

// signal sends a signal to all running processes.
func (m *machine) signal(sent syscall.Signal) { m.forEachProcess(func(p *process) { p.signal(sent) }) }

// kill kills all processes and waits until they have exited.
func (m *machine) kill() { m.forEachProcess((*process).kill) }

// restart waits for processes that have received SIGTERM to exit, and starts all that are not running.
func (m *machine) restart() {
	m.forEachProcess((*process).awaitShutdown)
	m.start()
}

// tryClaim reserves the machine for one scenario and reports whether it was free. The caller calls release after the scenario.
func (m *machine) tryClaim() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isClaimed {
		return false
	}
	m.isClaimed = true
	return true
}

// release ends the claim.
func (m *machine) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isClaimed = false
}

const (
	graceful disruption = iota // requests that were read before it must still be answered
	abrupt                     // any request may be cut off
)

// dataDir is the folder below dir in which the machine stores its state.
func (m *machine) dataDir(dir string) string { return filepath.Join(dir, "data-"+m.name) }
