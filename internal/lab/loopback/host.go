// Package loopback runs simulated programs on real sockets: any number of machines on loopback addresses, each with a netio.Handler, all called by one
// event loop. Machines can be killed, vanish and return, and the network between them can be partitioned, reset or slow. It is meant for tens of
// machines and some thousand requests a second: each connection has goroutines of its own.
//
// The programs may share state, since the same loop calls all of them.
package loopback

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"hazelwheel/internal/netio"
)

// Machine is an address on which a program runs.
type Machine struct {
	Name        string
	IP          string // a loopback address
	Listen      string // address and port; empty: it dials only
	Boot        func(netio.EventLoop) netio.Handler
	StartsLater bool // it starts with the first Return
}

// Host runs the machines and their event loop.
type Host struct {
	// Delay returns the one-way delay between a machine and another address; nil: none. It is called from many goroutines.
	Delay func(machine, other string) time.Duration
	// ResolvePeer returns the address of the peer of an accepted connection, for programs that can't connect from their own; nil: the address that it
	// connects from. The zero address has the connection closed. It is called from many goroutines.
	ResolvePeer func(peer, own netip.AddrPort) netip.AddrPort

	began            time.Time
	start            float64
	order            []*machine
	partitioned      map[direction]bool // loop only
	measuresLateness bool               // loop only
	lateness         float64            // loop only
	errs             chan error

	mu         sync.Mutex
	tasks      []func()
	tasksAdded chan struct{}
	done       chan struct{}
}

type direction struct{ from, to string }

// New returns a host whose clock starts now.
func New() *Host {
	now := time.Now()
	return &Host{began: now, start: float64(now.UnixNano()) / 1e9, partitioned: map[direction]bool{},
		tasksAdded: make(chan struct{}, 1), done: make(chan struct{}), errs: make(chan error, 1)}
}

// Now returns the Unix time in seconds. It never goes back.
func (g *Host) Now() float64 { return g.start + time.Since(g.began).Seconds() }

// Add adds machines, before Run. Several may share an IP, and then the faults of it.
func (g *Host) Add(all ...Machine) error {
	for _, m := range all {
		if ip, err := netip.ParseAddr(m.IP); err != nil || !ip.IsLoopback() {
			return fmt.Errorf("%s: %q is not a loopback address", m.Name, m.IP)
		}
		g.order = append(g.order, &machine{Machine: m, g: g})
	}
	return nil
}

// Run starts the machines, but for those that start later, and runs the event loop until ctx ends. Its error names the machine that can't listen.
func (g *Host) Run(ctx context.Context) error {
	defer close(g.done)
	defer func() {
		for _, m := range g.order {
			m.kill()
		}
	}()
	for _, m := range g.order {
		if m.StartsLater {
			continue
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	for {
		g.mu.Lock()
		tasks := g.tasks
		g.tasks = nil
		g.mu.Unlock()
		for _, f := range tasks {
			f()
		}
		if len(tasks) > 0 {
			continue
		}
		select {
		case <-g.tasksAdded:
		case err := <-g.errs:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}

// Post has the loop call f. It may be called from anywhere.
func (g *Host) Post(f func()) {
	g.mu.Lock()
	g.tasks = append(g.tasks, f)
	g.mu.Unlock()
	select {
	case g.tasksAdded <- struct{}{}:
	default:
	}
}

// At has the loop call f at a Unix time in seconds.
func (g *Host) At(at float64, f func()) {
	time.AfterFunc(max(g.until(at), 0), func() { g.Post(func() { g.recordLateness(at); f() }) })
}

// Lateness returns the longest delay of the loop, in seconds. Measurements of times that are not far above it are worth nothing: the machine was too busy. It
// is for the loop, or for after Run.
func (g *Host) Lateness() float64 { return g.lateness }

func (g *Host) recordLateness(due float64) {
	if g.measuresLateness {
		g.lateness = max(g.lateness, g.Now()-due)
	}
}

// MeasureLateness starts to measure the delay of the loop. It is for the loop.
func (g *Host) MeasureLateness() {
	g.measuresLateness = true
	g.measureAt(g.Now() + latenessIntervalSeconds)
}

// latenessIntervalSeconds is the time between two measurements.
const latenessIntervalSeconds = 0.01

func (g *Host) measureAt(at float64) {
	g.At(at, func() {
		select {
		case <-g.done:
		default:
			g.measureAt(g.Now() + latenessIntervalSeconds)
		}
	})
}

// until returns the duration until a time, at most an hour.
func (g *Host) until(at float64) time.Duration {
	return time.Duration(min(at-g.Now(), 3600) * float64(time.Second))
}

// forEachAt calls f with the machines of an IP.
func (g *Host) forEachAt(ip string, f func(*machine)) {
	for _, m := range g.order {
		if m.IP == ip {
			f(m)
		}
	}
}

// The methods below are for the loop.

// Kill kills a machine's process: its connections are reset, new ones are refused.
func (g *Host) Kill(ip string) { g.forEachAt(ip, (*machine).kill) }

// Vanish takes a machine off the network: open connections stay open and silent, and new ones are neither accepted nor refused.
func (g *Host) Vanish(ip string) { g.forEachAt(ip, (*machine).vanish) }

// Return starts a process on a machine that was killed, has vanished or was not started yet.
func (g *Host) Return(ip string) {
	g.forEachAt(ip, func(m *machine) {
		if err := m.start(); err != nil {
			select {
			case g.errs <- err:
			default:
			}
		}
	})
}

// Partition holds back what one address sends to another, in this direction alone, until Heal.
func (g *Host) Partition(from, to string) { g.setPartitioned(from, to, true) }

// Heal ends a Partition.
func (g *Host) Heal(from, to string) { g.setPartitioned(from, to, false) }

func (g *Host) setPartitioned(from, to string, on bool) {
	g.partitioned[direction{from, to}] = on
	for _, m := range g.order {
		for c := range m.conns {
			switch {
			case m.IP == to && c.peer == from:
				c.in.setHeld(on)
			case m.IP == from && c.peer == to:
				c.out.setHeld(on)
			}
		}
	}
}

// Reset resets all connections between two addresses.
func (g *Host) Reset(a, b string) {
	for _, m := range g.order {
		for c := range m.conns {
			if m.IP == a && c.peer == b || m.IP == b && c.peer == a {
				c.reset()
				c.notifyClosed(unix.ECONNRESET)
			}
		}
	}
}

// LimitReading has the program of a machine read for a fraction of the time only, 0 to 1; 1 ends that. The machine is given by its name: others at its
// address are not affected.
func (g *Host) LimitReading(name string, share float64) {
	for _, m := range g.order {
		if m.Name == name {
			m.share.Store(int64(share * 1000))
		}
	}
}
