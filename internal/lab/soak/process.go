package soak

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one role on one machine, over all its incarnations: operating system processes that follow one another. Its methods are safe
// for concurrent use.
type process struct {
	role    role
	machine *machine
	fleet   *fleet

	mu            sync.Mutex    // guards the fields below
	cmd           *exec.Cmd     // nil while none is running
	exited        chan struct{} // closed once this incarnation has exited
	incarnations  int           // started so far
	startedAt     time.Time
	stopRequested bool      // it was sent SIGTERM or SIGKILL
	killRequested bool      // it was sent SIGKILL
	terminatedAt  time.Time // when it was sent SIGTERM, or went on after a stop since
	// cpuAtTermination is the processor time that it had taken when it was sent SIGTERM first.
	cpuAtTermination time.Duration
	hungUpEarly      bool // it was sent SIGHUP before its own code can have run
	// terminatedLate says that it was sent a SIGTERM, the first or a later one, when its own code can have run. Danger: judged by the first one
	// alone, a process that caught that and was ended by the next one would be excused.
	terminatedLate bool
	samples        []resourceSample // of this incarnation
}

// name is machine/role, as it stands in details of violations.
func (p *process) name() string { return p.machine.name + "/" + string(p.role) }

// incarnation returns how many incarnations were started so far, which is the number of the current one.
func (p *process) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnations
}

// start starts the next incarnation, if none is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(p.fleet.drawBinary(p.role), string(p.role))
	cmd.Env = []string{"HAZELWHEEL_CONFIG=" + p.machine.configFile, "HOME=" + p.fleet.dir, "PATH=" + os.Getenv("PATH")}
	// The output is copied here and not by package exec, whose Wait returns once all of it is copied: how long a process took to exit would then be
	// how long the log took to be written.
	output, processEnd, err := os.Pipe()
	if err != nil {
		return Error.Wrap(err)
	}
	cmd.Stdout, cmd.Stderr = processEnd, processEnd
	err = cmd.Start()
	_ = processEnd.Close() // the process has its own
	if err != nil {
		_ = output.Close() // nothing was written
		return Error.Wrap(err)
	}
	p.fleet.outputs.Go(func() {
		_, _ = io.Copy(p.fleet.log, output) // what can't be read any more is lost with the process
		_ = output.Close()                  // read to its end
	})
	p.cmd, p.exited, p.startedAt = cmd, make(chan struct{}), time.Now()
	p.terminatedLate = false
	p.stopRequested, p.killRequested, p.hungUpEarly, p.terminatedAt, p.cpuAtTermination, p.samples = false, false, false, time.Time{}, 0, nil
	p.incarnations++
	p.machine.recordIntervention(abrupt)
	go p.awaitExit(cmd, p.exited)
	return nil
}

// awaitExit waits for an incarnation to exit and reports an exit that nothing asked for, that failed or that came too late. It runs in a
// goroutine of its own and closes exited at the end.
func (p *process) awaitExit(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = nil
	p.machine.recordIntervention(abrupt)
	switch shutdown := time.Since(p.terminatedAt); {
	case !p.stopRequested && p.hungUpEarly && terminatingSignal(err) == syscall.SIGHUP:
		p.fleet.checker.ProcessEndedEarly()
	case !p.stopRequested:
		p.fleet.checker.ReportViolation(NoUnexpectedExit, "%s: %v", p.name(), err)
	case p.killRequested:
	case !p.terminatedLate && terminatingSignal(err) == syscall.SIGTERM, p.hungUpEarly && terminatingSignal(err) == syscall.SIGHUP:
		// Of two signals that have come before the process runs, the kernel delivers SIGHUP first.
		p.fleet.checker.ProcessEndedEarly()
	case err != nil:
		p.fleet.checker.ReportViolation(GracefulShutdown, "%s: %v, %v after SIGTERM, which came after %v of processor time", p.name(), err, shutdown,
			p.cpuAtTermination)
	case shutdown > durationOfSeconds(graceSeconds)+busyMachineSlack:
		p.fleet.checker.ReportViolation(GracefulShutdown, "%s took %v", p.name(), shutdown)
	}
	close(exited)
}

// signal sends a signal to the running incarnation, if there is one, and records what the checker must allow for because of it.
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
			p.terminatedAt, p.cpuAtTermination = time.Now(), cpuTime(p.cmd.Process.Pid)
		}
		p.terminatedLate = p.terminatedLate || cpuTime(p.cmd.Process.Pid) >= maxStartupCPUTime
		p.stopRequested = true
	case syscall.SIGKILL:
		p.machine.recordIntervention(abrupt)
		p.stopRequested, p.killRequested = true, true
	case syscall.SIGHUP:
		p.hungUpEarly = p.hungUpEarly || cpuTime(p.cmd.Process.Pid) < maxStartupCPUTime
	case syscall.SIGSTOP, syscall.SIGCONT:
		p.machine.recordIntervention(abrupt)
		if p.stopRequested {
			p.terminatedAt = time.Now() // the grace period counts from when it continues
		}
	}
	_ = p.cmd.Process.Signal(sent) // it may just have exited
}

// awaitShutdown waits until an incarnation that was sent SIGTERM or SIGKILL has exited. After the grace period and twice the slack it reports
// a violation and kills it. It does not wait for an incarnation that was started since, as after a kill of all processes.
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

// kill kills the running incarnation, if there is one, and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited, isRunning := p.exited, p.cmd != nil
	p.mu.Unlock()
	if isRunning {
		<-exited
	}
}

// terminatingSignal returns the signal that terminated a process, from the error of exec.Cmd.Wait; 0 if none did.
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

// maxStartupCPUTime is the processor time that a process may take before its own code runs and installs its signal handlers; 4 to 5 ms were
// measured. Until then SIGHUP and SIGTERM terminate it, as they do any program. Such an exit is counted in the report and is no violation.
const maxStartupCPUTime = 10 * time.Millisecond

// cpuTime returns the processor time that the threads of a process have taken so far, 0 if it has exited.
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
