// Package process starts the laboratory's child processes on cores of their own and sees to it that none stays behind.
package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Spec is a process to be started.
type Spec struct {
	Name  string // what errors call it
	Path  string
	Args  []string
	Env   []string  // beside the laboratory's own
	Cores []int     // the cores it may run on; none: all
	Nice  int       // its priority, -20 (the highest) to 19; below 0 is for root
	Out   io.Writer // standard output; nil: dropped
	Log   io.Writer // standard error; nil: dropped
}

// Child is a process that was started.
type Child struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error // of Wait, once done is closed
}

// Group is the processes of one run.
type Group struct {
	mu       sync.Mutex
	children []*Child
}

// starts are carried out by one thread that lasts as long as the program. Danger: a child dies with the thread that
// started it (Pdeathsig), and the cores that it may use are its thread's.
var (
	starts    = make(chan func())
	startOnce sync.Once
)

func onStarter(f func()) {
	startOnce.Do(func() {
		go func() {
			runtime.LockOSThread()
			for g := range starts {
				g()
			}
		}()
	})
	done := make(chan struct{})
	starts <- func() { defer close(done); f() }
	<-done
}

// Start starts a process. It gets a group of its own, so that Ctrl-C at the terminal reaches the laboratory alone, which
// then ends it in order; and it is killed should the laboratory itself be killed.
func (g *Group) Start(s Spec) (*Child, error) {
	c := &Child{name: s.Name, cmd: exec.Command(s.Path, s.Args...), done: make(chan struct{})}
	c.cmd.Stdout, c.cmd.Stderr = s.Out, s.Log
	if len(s.Env) > 0 {
		c.cmd.Env = append(os.Environ(), s.Env...)
	}
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	var err error
	onStarter(func() {
		var before, set unix.CPUSet
		if len(s.Cores) > 0 {
			if err = unix.SchedGetaffinity(0, &before); err != nil {
				return
			}
			for _, core := range s.Cores {
				set.Set(core)
			}
			if err = unix.SchedSetaffinity(0, &set); err != nil {
				err = fmt.Errorf("cores %v: %w", s.Cores, err)
				return
			}
			defer func() { _ = unix.SchedSetaffinity(0, &before) }() // of this thread alone, which ends otherwise
		}
		if s.Nice != 0 {
			if err = unix.Setpriority(unix.PRIO_PROCESS, 0, s.Nice); err != nil { // of this thread, whose children inherit it
				err = fmt.Errorf("priority %d: %w", s.Nice, err)
				return
			}
			defer func() { _ = unix.Setpriority(unix.PRIO_PROCESS, 0, 0) }() // of this thread alone
		}
		err = c.cmd.Start()
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	go func() {
		c.err = c.cmd.Wait()
		close(c.done)
	}()
	g.mu.Lock()
	g.children = append(g.children, c)
	g.mu.Unlock()
	return c, nil
}

// End kills what still runs of the group and waits for it.
func (g *Group) End() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.children {
		select {
		case <-c.done:
		default:
			_ = c.cmd.Process.Kill() // fails only where it has ended
		}
	}
	for _, c := range g.children {
		<-c.done
	}
	g.children = nil
}

// PID returns the process's number.
func (c *Child) PID() int { return c.cmd.Process.Pid }

// Signal sends a signal to a process.
func (c *Child) Signal(s syscall.Signal) error { return c.cmd.Process.Signal(s) }

// Done is closed when the process has ended.
func (c *Child) Done() <-chan struct{} { return c.done }

// Err returns how the process ended, nil for exit code 0. It is for after Done.
func (c *Child) Err() error { return c.err }

// ErrStillRuns says that a process has not ended by the time it was given.
var ErrStillRuns = errors.New("still runs")

// Wait waits for the process's end and returns how it ended; ErrStillRuns at the given time, or ctx's error before.
func (c *Child) Wait(ctx context.Context, by time.Time) error {
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	select {
	case <-c.done:
	case <-timer.C:
		return fmt.Errorf("%s: %w", c.name, ErrStillRuns)
	case <-ctx.Done():
		return ctx.Err()
	}
	if c.err != nil {
		return fmt.Errorf("%s: %w", c.name, c.err)
	}
	return nil
}

// Usage is what a process has used.
type Usage struct {
	RSS, Peak int64         // bytes of memory now and at most
	CPU       time.Duration // by all its threads, user and system
}

// Usage returns what a running process has used; an error where it has ended.
func (c *Child) Usage() (u Usage, err error) {
	dir := "/proc/" + strconv.Itoa(c.cmd.Process.Pid) + "/"
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return u, fmt.Errorf("%s: %w", c.name, err)
	}
	for line := range strings.Lines(string(status)) {
		name, rest, _ := strings.Cut(line, ":")
		if name == "VmRSS" || name == "VmHWM" {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return u, err
			}
			if name == "VmRSS" {
				u.RSS = kb << 10
			} else {
				u.Peak = kb << 10
			}
		}
	}
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, fmt.Errorf("%s: %w", c.name, err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	for _, f := range fields[11:13] { // utime and stime, in hundredths of a second
		ticks, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return u, err
		}
		u.CPU += time.Duration(ticks) * 10 * time.Millisecond
	}
	return u, nil
}

// Ready waits until an address takes connections, until a process ends or until the given time.
func (c *Child) Ready(ctx context.Context, address string, by time.Time) error {
	for {
		conn, err := net.DialTimeout("tcp", address, time.Until(by))
		if err == nil {
			conn.Close()
			select {
			case <-c.done: // whoever listens there is somebody else
			default:
				return nil
			}
		}
		select {
		case <-c.done:
			return fmt.Errorf("%s ended before it listened at %s: %w", c.name, address, c.err)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
		if time.Now().After(by) {
			return fmt.Errorf("%s does not listen at %s: %w", c.name, address, err)
		}
	}
}

// Ports that are chosen here are below those that the system gives to connections. Danger: one of these would be taken by
// anybody's next connection, and who listens there then is not who was meant.
const (
	leastPort = 10000
	mostPort  = 32000
	portTries = 100
)

// FreePort returns a port that nobody listens at on a loopback address, and that no other call returns again, of this program or
// of another one, for as long as this program lives.
func FreePort(address string) (port int, err error) {
	for range portTries {
		port = leastPort + rand.IntN(mostPort-leastPort)
		at := net.JoinHostPort(address, strconv.Itoa(port))
		// Danger: whoever was given a port may not listen yet, and two programs that play side by side draw the same. The UDP
		// port of the same number stands for it: the system gives it to one alone, and takes it back with the program's end.
		var held net.PacketConn
		if held, err = net.ListenPacket("udp", at); err != nil {
			continue
		}
		var l net.Listener
		if l, err = net.Listen("tcp", at); err == nil {
			given.Lock()
			given.held = append(given.held, held)
			given.Unlock()
			return port, l.Close()
		}
		_ = held.Close() // the port is not used
	}
	return 0, err
}

// given holds what stands for the ports that FreePort has returned. Danger: out of sight it would be collected, and closed.
var given struct {
	sync.Mutex
	held []net.PacketConn
}
