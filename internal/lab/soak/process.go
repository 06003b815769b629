package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// life counts the lives of a process.
func (p *process) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnations
}

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
