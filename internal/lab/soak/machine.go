package soak

import (
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func (m *machine) signal(sent syscall.Signal) { m.forEachProcess(func(p *process) { p.signal(sent) }) }

func (m *machine) kill() { m.forEachProcess((*process).kill) }

// restart waits for the end of the machine's processes and starts them again.
func (m *machine) restart() {
	m.forEachProcess((*process).awaitShutdown)
	m.start()
}

func (m *machine) start() {
	m.forEachProcess(func(p *process) {
		if err := p.start(); err != nil {
			p.fleet.checker.ReportViolation(NoUnexpectedExit, "%s did not start: %v", p.name(), err)
		}
	})
}

// claim takes a machine for one series at a time.
func (m *machine) tryClaim() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isClaimed {
		return false
	}
	m.isClaimed = true
	return true
}

func (m *machine) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isClaimed = false
}

// effect says what an act on a machine may do to requests there.
type disruption int

const (
	graceful disruption = iota // what has been read is still to be answered
	abrupt                     // anything may be cut
)

// act is something that was done to a machine.
type intervention struct {
	at         time.Time
	disruption disruption
}

// machine is one of the fleet's machines.
type machine struct {
	name       string
	ip         string
	hasDisk    bool // it holds a part of the configuration
	configFile string
	processes  []*process

	mu            sync.Mutex
	interventions []intervention
	isClaimed     bool // a series is being played here
}

func (m *machine) recordIntervention(kind disruption) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interventions = append(m.interventions, intervention{time.Now(), kind})
}

// settled is for how long after an act a machine counts as troubled; crossed is how long a request is on its way to a process that has
// just been told to end.
const (
	disturbanceDuration = 4 * time.Second
	signalRaceWindow    = 150 * time.Millisecond
)

// troubled tells whether something was done to the machine that excuses how a request there ended.
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

// process returns the machine's process of a role.
func (m *machine) process(role string) *process {
	for _, p := range m.processes {
		if p.role == role {
			return p
		}
	}
	return nil
}

// each does something to all processes of the machine, and waits for it.
func (m *machine) forEachProcess(do func(p *process)) {
	var running sync.WaitGroup
	for _, p := range m.processes {
		running.Go(func() { do(p) })
	}
	running.Wait()
}

func (m *machine) dataDir(dir string) string { return filepath.Join(dir, "data-"+m.name) }
