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

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{} // closed once this life is over
	lives   int
	began   time.Time
	asked   bool      // it was told to end, or was killed
	killed  bool      // it was killed
	termAt  time.Time // when it was told to end
	early   bool      // it was hung up before it can have begun
	samples []sample
}

// sample is what a process takes at a moment.
type sample struct {
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
	cmd.Env = []string{"HAZELWHEEL_CONFIG=" + p.machine.file, "HOME=" + p.fleet.dir, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = p.fleet.log, p.fleet.log
	if err := cmd.Start(); err != nil {
		return Error.Wrap(err)
	}
	p.cmd, p.ended, p.began = cmd, make(chan struct{}), time.Now()
	p.asked, p.killed, p.early, p.termAt, p.samples = false, false, false, time.Time{}, nil
	p.lives++
	p.machine.note(hard)
	go p.await(cmd, p.ended)
	return nil
}

// await notes how a life ends.
func (p *process) await(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = nil
	p.machine.note(hard)
	switch took := time.Since(p.termAt); {
	case !p.asked && p.early && endedBy(err) == syscall.SIGHUP:
		p.fleet.checker.HungUpEarly()
	case !p.asked:
		p.fleet.checker.Break(EndsByItself, "%s: %v", p.name(), err)
	case p.killed:
	case err != nil:
		p.fleet.checker.Break(EndsInGrace, "%s: %v", p.name(), err)
	case took > seconds(graceS)+machineSlack:
		p.fleet.checker.Break(EndsInGrace, "%s took %v", p.name(), took)
	}
	close(ended)
}

// beginsWithin is the processor time that a process may take before its own code runs: 4 to 5 ms were measured. Until then SIGHUP ends it,
// as it ends any program; what is ended so is counted and told, and started again.
const beginsWithin = 10 * time.Millisecond

// processorTime is what the threads of a process have taken so far. One that has just ended has taken none.
func processorTime(pid int) (sum time.Duration) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0
	}
	for _, thread := range threads {
		data, err := os.ReadFile(thread)
		var taken int64
		if _, failed := fmt.Sscan(string(data), &taken); err == nil && failed == nil {
			sum += time.Duration(taken)
		}
	}
	return sum
}

// endedBy returns the signal that ended a process, 0 where none did.
func endedBy(err error) syscall.Signal {
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
		p.machine.note(gentle)
		if p.termAt.IsZero() {
			p.termAt = time.Now()
		}
		p.asked = true
	case syscall.SIGKILL:
		p.machine.note(hard)
		p.asked, p.killed = true, true
	case syscall.SIGHUP:
		p.early = p.early || processorTime(p.cmd.Process.Pid) < beginsWithin
	case syscall.SIGSTOP, syscall.SIGCONT:
		p.machine.note(hard)
		if p.asked {
			p.termAt = time.Now() // it has its time from when it goes on
		}
	}
	_ = p.cmd.Process.Signal(sent) // it may just have ended
}

// awaitEnd waits until the life that was told to end is over, and kills it once its time is. It does not wait for a life that has begun
// since, where all were killed meanwhile.
func (p *process) awaitEnd() {
	p.mu.Lock()
	ended, ending := p.ended, p.cmd != nil && p.asked
	p.mu.Unlock()
	if !ending {
		return
	}
	select {
	case <-ended:
	case <-time.After(seconds(graceS) + 2*machineSlack):
		p.fleet.checker.Break(EndsInGrace, "%s has not ended", p.name())
		p.signal(syscall.SIGKILL)
		<-ended
	}
}

// look takes a sample.
func (p *process) look() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	pid := p.cmd.Process.Pid
	megabytes, err := residentMB(pid)
	entries, failed := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil || failed != nil {
		return // it has just ended
	}
	p.samples = append(p.samples, sample{time.Now(), megabytes, len(entries)})
}

func residentMB(pid int) (float64, error) {
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
	growthMB          = 12.0
	growthDescriptors = 64
)

// checkGrowth compares the first third of a long life with its last.
func (p *process) checkGrowth(long time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || time.Since(p.began) < long || len(p.samples) < 9 {
		return
	}
	third := len(p.samples) / 3
	first, last := mean(p.samples[:third]), mean(p.samples[len(p.samples)-third:])
	if last.megabytes > growthFactor*first.megabytes+growthMB {
		p.fleet.checker.Break(Growth, "%s: %.0f MB, then %.0f MB", p.name(), first.megabytes, last.megabytes)
	}
	if float64(last.descriptors) > growthFactor*float64(first.descriptors)+growthDescriptors {
		p.fleet.checker.Break(Growth, "%s: %d descriptors, then %d", p.name(), first.descriptors, last.descriptors)
	}
}

func mean(samples []sample) (out sample) {
	for _, s := range samples {
		out.megabytes += s.megabytes / float64(len(samples))
		out.descriptors += s.descriptors
	}
	out.descriptors /= max(len(samples), 1)
	return out
}

// effect says what an act on a machine may do to requests there.
type effect int

const (
	gentle effect = iota // what has been read is still to be answered
	hard                 // anything may be cut
)

// act is something that was done to a machine.
type act struct {
	at     time.Time
	effect effect
}

// machine is one of the fleet's machines.
type machine struct {
	name      string
	ip        string
	disk      bool // it holds a part of the configuration
	file      string
	processes []*process

	mu      sync.Mutex
	acts    []act
	claimed bool // a series is being played here
}

func (m *machine) note(e effect) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.acts = append(m.acts, act{time.Now(), e})
}

// settled is for how long after an act a machine counts as troubled; crossed is how long a request is on its way to a process that has
// just been told to end.
const (
	settled = 4 * time.Second
	crossed = 150 * time.Millisecond
)

// troubled tells whether something was done to the machine that excuses how a request there ended.
func (m *machine) troubled(sent, ended time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.acts {
		until := ended
		if a.effect == gentle {
			until = sent.Add(crossed)
		}
		if a.at.After(sent.Add(-settled)) && a.at.Before(until.Add(crossed)) {
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
func (m *machine) each(do func(p *process)) {
	var doing sync.WaitGroup
	for _, p := range m.processes {
		doing.Go(func() { do(p) })
	}
	doing.Wait()
}

func (m *machine) dataDir(dir string) string { return filepath.Join(dir, "data-"+m.name) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

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
	ended, running := p.ended, p.cmd != nil
	p.mu.Unlock()
	if running {
		<-ended
	}
}
