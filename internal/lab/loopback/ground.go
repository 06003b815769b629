// Package loopback has simulated programs live on real sockets: any number of machines on loopback addresses, each with a
// netio.Handler, all called by one loop. Machines can be killed, vanish and return, and the ways between them be cut, reset
// or slow, as a network does it. It is for tens of machines and some thousand requests a second: each connection has
// goroutines of its own.
//
// The programs on it may share state, since all are called by the same loop.
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
	Name   string
	IP     string // a loopback address
	Listen string // address and port; empty: it dials only
	Boot   func(netio.EventLoop) netio.Handler
	Late   bool // it begins when it is told to Return
}

// Ground holds the machines and their loop.
type Ground struct {
	// Delay returns how long bytes take one way between a machine and another address; nil: no time. It is called from
	// many goroutines.
	Delay func(machine, other string) time.Duration
	// Who returns the address that counts as a peer's at a connection that was accepted, for programs that can't speak
	// from their own; nil: the one it speaks from. The zero one has
	// the connection closed. It is called from many goroutines.
	Who func(peer, own netip.AddrPort) netip.AddrPort

	began   time.Time
	start   float64
	order   []*machine
	cuts    map[way]bool // loop only
	watched bool         // loop only
	late    float64      // loop only
	errs    chan error

	mu    sync.Mutex
	tasks []func()
	more  chan struct{}
	over  chan struct{}
}

type way struct{ from, to string }

// New returns a ground whose clock begins now.
func New() *Ground {
	now := time.Now()
	return &Ground{began: now, start: float64(now.UnixNano()) / 1e9, cuts: map[way]bool{},
		more: make(chan struct{}, 1), over: make(chan struct{}), errs: make(chan error, 1)}
}

// Now returns the time in seconds of Unix time. It never goes back.
func (g *Ground) Now() float64 { return g.start + time.Since(g.began).Seconds() }

// Add puts machines on the ground, before Run. Several may share an IP; what befalls it befalls all of them.
func (g *Ground) Add(all ...Machine) error {
	for _, m := range all {
		if ip, err := netip.ParseAddr(m.IP); err != nil || !ip.IsLoopback() {
			return fmt.Errorf("%s: %q is not a loopback address", m.Name, m.IP)
		}
		g.order = append(g.order, &machine{Machine: m, g: g})
	}
	return nil
}

// Run begins the machines that are not late and turns the loop until ctx ends. An error says which machine could not
// listen.
func (g *Ground) Run(ctx context.Context) error {
	defer close(g.over)
	defer func() {
		for _, m := range g.order {
			m.kill()
		}
	}()
	for _, m := range g.order {
		if m.Late {
			continue
		}
		if err := m.begin(); err != nil {
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
		case <-g.more:
		case err := <-g.errs:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}

// Post has the loop call f. It may be called from anywhere.
func (g *Ground) Post(f func()) {
	g.mu.Lock()
	g.tasks = append(g.tasks, f)
	g.mu.Unlock()
	select {
	case g.more <- struct{}{}:
	default:
	}
}

// At has the loop call f at a time, in seconds of Unix time.
func (g *Ground) At(at float64, f func()) {
	time.AfterFunc(max(g.until(at), 0), func() { g.Post(func() { g.noteLate(at); f() }) })
}

// Late returns how late the loop has been at most, in seconds. Where it is not far below the times that are looked at, the
// machine was too busy for real time. It is for the loop, or for after Run.
func (g *Ground) Late() float64 { return g.late }

func (g *Ground) noteLate(due float64) {
	if g.watched {
		g.late = max(g.late, g.Now()-due)
	}
}

// WatchLate begins to look how late the loop is. It is for the loop.
func (g *Ground) WatchLate() {
	g.watched = true
	g.tick(g.Now() + lateEveryS)
}

// lateEveryS is the time between two looks.
const lateEveryS = 0.01

func (g *Ground) tick(at float64) {
	g.At(at, func() {
		select {
		case <-g.over:
		default:
			g.tick(g.Now() + lateEveryS)
		}
	})
}

// until returns how long it is until a time; a time that is far off is no more than an hour away.
func (g *Ground) until(at float64) time.Duration {
	return time.Duration(min(at-g.Now(), 3600) * float64(time.Second))
}

// each calls f with the machines of an IP.
func (g *Ground) each(ip string, f func(*machine)) {
	for _, m := range g.order {
		if m.IP == ip {
			f(m)
		}
	}
}

// The calls below are for the loop.

// Kill ends a machine's process: its connections are reset, new ones are refused.
func (g *Ground) Kill(ip string) { g.each(ip, (*machine).kill) }

// Vanish takes a machine away without a word: open connections stay open and silent, new ones never come up.
func (g *Ground) Vanish(ip string) { g.each(ip, (*machine).vanish) }

// Return begins a process on a machine that was killed or has vanished, or is late.
func (g *Ground) Return(ip string) {
	g.each(ip, func(m *machine) {
		if err := m.begin(); err != nil {
			select {
			case g.errs <- err:
			default:
			}
		}
	})
}

// Cut holds back what one address sends to another, in this direction alone, until Mend.
func (g *Ground) Cut(from, to string) { g.setCut(from, to, true) }

// Mend ends a Cut.
func (g *Ground) Mend(from, to string) { g.setCut(from, to, false) }

func (g *Ground) setCut(from, to string, on bool) {
	g.cuts[way{from, to}] = on
	for _, m := range g.order {
		for c := range m.conns {
			switch {
			case m.IP == to && c.peer == from:
				c.in.hold(on)
			case m.IP == from && c.peer == to:
				c.out.hold(on)
			}
		}
	}
}

// Reset breaks all connections between two addresses.
func (g *Ground) Reset(a, b string) {
	for _, m := range g.order {
		for c := range m.conns {
			if m.IP == a && c.peer == b || m.IP == b && c.peer == a {
				c.abort()
				c.ended(unix.ECONNRESET)
			}
		}
	}
}

// Stall slows what a machine's program reads to a share of its time, 0 to 1; 1 ends it. It is named by its Name, since
// others on its address read as before.
func (g *Ground) Stall(name string, share float64) {
	for _, m := range g.order {
		if m.Name == name {
			m.share.Store(int64(share * 1000))
		}
	}
}
