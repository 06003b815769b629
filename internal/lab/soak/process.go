package soak

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one role on one machine, over all its lives.
type process struct {
	role    string
	machine *machine
	fleet   *fleet

	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{} // closed once this life is over
	incarnations  int
	startedAt     time.Time
	stopRequested bool      // it was told to end, or was killed
	killRequested bool      // it was killed
	terminatedAt  time.Time // when it was told to end
	hungUpEarly   bool      // it was hung up before it can have begun
	samples       []resourceSample
}

// sample is what a process takes at a moment.
type resourceSample struct {
	at          time.Time
	megabytes   float64
	descriptors int
}

func (p *process) name() string { return p.machine.name + "/" + p.role }

// start begins a life. It does nothing where one is under way.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(p.fleet.settings.Binary, p.role)
	cmd.Env = []string{"HAZELWHEEL_CONFIG=" + p.machine.configFile, "HOME=" + p.fleet.dir, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = p.fleet.log, p.fleet.log
	if err := cmd.Start(); err != nil {
		return Error.Wrap(err)
	}
	p.cmd, p.exited, p.startedAt = cmd, make(chan struct{}), time.Now()
	p.stopRequested, p.killRequested, p.hungUpEarly, p.terminatedAt, p.samples = false, false, false, time.Time{}, nil
	p.incarnations++
	p.machine.recordIntervention(abrupt)
	go p.awaitExit(cmd, p.exited)
	return nil
}

// await notes how a life ends.
func (p *process) awaitExit(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = nil
	p.machine.recordIntervention(abrupt)
	switch shutdown := time.Since(p.terminatedAt); {
	case !p.stopRequested && p.hungUpEarly && terminatingSignal(err) == syscall.SIGHUP:
		p.fleet.checker.ProcessHungUpEarly()
	case !p.stopRequested:
		p.fleet.checker.ReportViolation(NoUnexpectedExit, "%s: %v", p.name(), err)
	case p.killRequested:
	case err != nil:
		p.fleet.checker.ReportViolation(GracefulShutdown, "%s: %v", p.name(), err)
	case shutdown > durationOfSeconds(graceSeconds)+busyMachineSlack:
		p.fleet.checker.ReportViolation(GracefulShutdown, "%s took %v", p.name(), shutdown)
	}
	close(exited)
}

// beginsWithin is the processor time that a process may take before its own code runs: 4 to 5 ms were measured. Until then SIGHUP ends it,
// as it ends any program; what is ended so is counted and told, and started again.
const maxStartupCPUTime = 10 * time.Millisecond

// processorTime is what the threads of a process have taken so far. One that has just ended has taken none.
func cpuTime(pid int) (sum time.Duration) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0
	}
	for _, thread := range threads {
		data, err := os.ReadFile(thread)
		var nanoseconds int64
		if _, scanErr := fmt.Sscan(string(data), &nanoseconds); err == nil && scanErr == nil {
			sum += time.Duration(nanoseconds)
		}
	}
	return sum
}

// endedBy returns the signal that ended a process, 0 where none did.
func terminatingSignal(err error) syscall.Signal {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return 0
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	if !ok || !status.Signaled() {
		return 0
	}
	return status.Signal()
}

// signal sends a signal to the life that is under way, if there is one.
func (p *process) signal(sent syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch sent {
	case syscall.SIGTERM:
		p.machine.recordIntervention(graceful)
		if p.terminatedAt.IsZero() {
			p.terminatedAt = time.Now()
		}
		p.stopRequested = true
	case syscall.SIGKILL:
		p.machine.recordIntervention(abrupt)
		p.stopRequested, p.killRequested = true, true
	case syscall.SIGHUP:
		p.hungUpEarly = p.hungUpEarly || cpuTime(p.cmd.Process.Pid) < maxStartupCPUTime
	case syscall.SIGSTOP, syscall.SIGCONT:
		p.machine.recordIntervention(abrupt)
		if p.stopRequested {
			p.terminatedAt = time.Now() // it has its time from when it goes on
		}
	}
	_ = p.cmd.Process.Signal(sent) // it may just have ended
}

// awaitEnd waits until the life that was told to end is over, and kills it once its time is. It does not wait for a life that has begun
// since, where all were killed meanwhile.
func (p *process) awaitShutdown() {
	p.mu.Lock()
	exited, isStopping := p.exited, p.cmd != nil && p.stopRequested
	p.mu.Unlock()
	if !isStopping {
		return
	}
	select {
	case <-exited:
	case <-time.After(durationOfSeconds(graceSeconds) + 2*busyMachineSlack):
		p.fleet.checker.ReportViolation(GracefulShutdown, "%s has not ended", p.name())
		p.signal(syscall.SIGKILL)
		<-exited
	}
}

// look takes a sample.
func (p *process) sampleResources() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	pid := p.cmd.Process.Pid
	megabytes, err := residentMegabytes(pid)
	entries, listErr := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil || listErr != nil {
		return // it has just ended
	}
	p.samples = append(p.samples, resourceSample{time.Now(), megabytes, len(entries)})
}

func residentMegabytes(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, Error.New("statm: %q", data)
	}
	pages, err := strconv.Atoi(fields[1])
	return float64(pages*os.Getpagesize()) / (1 << 20), err
}

// Bounds of growth between the first and the last third of a life.
const (
	growthFactor      = 1.5
	growthMegabytes   = 12.0
	growthDescriptors = 64
)

// checkGrowth compares the first third of a long life with its last.
func (p *process) checkGrowth(minAge time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || time.Since(p.startedAt) < minAge || len(p.samples) < 9 {
		return
	}
	third := len(p.samples) / 3
	first, last := meanSample(p.samples[:third]), meanSample(p.samples[len(p.samples)-third:])
	if last.megabytes > growthFactor*first.megabytes+growthMegabytes {
		p.fleet.checker.ReportViolation(ResourcesBounded, "%s: %.0f MB, then %.0f MB", p.name(), first.megabytes, last.megabytes)
	}
	if float64(last.descriptors) > growthFactor*float64(first.descriptors)+growthDescriptors {
		p.fleet.checker.ReportViolation(ResourcesBounded, "%s: %d descriptors, then %d", p.name(), first.descriptors, last.descriptors)
	}
}

func meanSample(samples []resourceSample) (out resourceSample) {
	for _, s := range samples {
		out.megabytes += s.megabytes / float64(len(samples))
		out.descriptors += s.descriptors
	}
	out.descriptors /= max(len(samples), 1)
	return out
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

func durationOfSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// lockedWriter lets processes write to one place.
type lockedWriter struct {
	mu  sync.Mutex
	out interface{ Write([]byte) (int, error) }
}

func (w *lockedWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(bytes.Clone(data))
}

// kill ends the life that is under way and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited, isRunning := p.exited, p.cmd != nil
	p.mu.Unlock()
	if isRunning {
		<-exited
	}
}
