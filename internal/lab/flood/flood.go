// Package flood is the laboratory's clients that mean no good: each kind holds connections to a sidecar in a way that
// costs it something and brings it nothing. A flood is bounded in connections and in time.
package flood

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"hazelwheel/internal/lab/load"
	"hazelwheel/internal/lab/rawsocket"
)

// Plan is a flood.
type Plan struct {
	Kind      string
	Target    netip.AddrPort
	From      netip.Addr // the source; with Addresses above 1 the first of them
	Addresses int        // how many source addresses, in turns
	Threads   int
	Links     int           // held at once, by all threads together
	For       time.Duration // how long
	Cycle     bool          // beyond Links the oldest is closed for a new one; otherwise all are held until the sidecar ends them
	Ahead     int           // unread: requests that each link sends at once
	Within    time.Duration // slow-head: how long a head takes
	Class     load.Class    // what whole requests ask for
	Seed      uint64
}

const (
	mostLinks = 20000
	mostFor   = 10 * time.Minute
)

// Err returns what is wrong with the plan, in words that name the field.
func (p *Plan) Err() error {
	if _, ok := kinds[p.Kind]; !ok && p.Kind != Again {
		return fmt.Errorf("kind: %q is none of %v", p.Kind, Kinds())
	}
	switch {
	case !p.Target.IsValid():
		return fmt.Errorf("target: missing")
	case !p.From.IsLoopback():
		return fmt.Errorf("from: %s is not a loopback address", p.From)
	case p.Addresses < 1 || p.Addresses > 65000:
		return fmt.Errorf("addresses: %d, not 1 to 65000", p.Addresses)
	case p.Links < 1 || p.Links > mostLinks:
		return fmt.Errorf("links: %d, not 1 to %d", p.Links, mostLinks)
	case p.Threads < 1 || p.Threads > p.Links:
		return fmt.Errorf("threads: %d, not 1 to the number of links", p.Threads)
	case p.For <= 0 || p.For > mostFor:
		return fmt.Errorf("for: %s, not above 0 and at most %s", p.For, mostFor)
	case p.Ahead < 1 || p.Ahead > 10000:
		return fmt.Errorf("ahead: %d, not 1 to 10000", p.Ahead)
	case p.Within <= 0:
		return fmt.Errorf("within: not above 0")
	}
	return nil
}

// Figures are what a flood has done.
type Figures struct {
	Opened int64 `json:"opened"` // connections that came up
	Failed int64 `json:"failed"` // that did not
	Ended  int64 `json:"ended"`  // that the sidecar has closed, as far as was looked
	Whole  int64 `json:"whole"`  // requests that were sent whole
	Most   int64 `json:"most"`   // held at once
}

func (f *Figures) add(o Figures) {
	f.Opened, f.Failed, f.Ended, f.Whole, f.Most = f.Opened+o.Opened, f.Failed+o.Failed, f.Ended+o.Ended, f.Whole+o.Whole, f.Most+o.Most
}

// Run carries out a flood until its time is over or ctx ends.
func Run(ctx context.Context, p *Plan) (Figures, error) {
	if err := p.Err(); err != nil {
		return Figures{}, err
	}
	ctx, stop := context.WithTimeout(ctx, p.For)
	defer stop()
	if p.Kind == Again {
		return again(ctx, p)
	}
	var all sync.WaitGroup
	figures := make([]Figures, p.Threads)
	for i := range p.Threads {
		links := p.Links / p.Threads
		if i < p.Links%p.Threads {
			links++
		}
		f := &flooder{plan: p, kind: kinds[p.Kind], most: links, address: i, figures: &figures[i]}
		all.Go(func() { f.run(ctx) })
	}
	all.Wait()
	var sum Figures
	for _, f := range figures {
		sum.add(f)
	}
	return sum, nil
}

// again is the flood of whole requests that come back at once, whatever they were answered.
func again(ctx context.Context, p *Plan) (Figures, error) {
	l := load.Plan{Target: p.Target.String(), From: p.From, Classes: []load.Class{p.Class}, For: p.For, Links: p.Links,
		Body: 64, Patience: 2 * time.Second, Threads: p.Threads, Seed: p.Seed}
	r, err := load.Run(ctx, &l)
	if r == nil {
		return Figures{}, err
	}
	return Figures{Opened: r.Opened, Failed: r.OpenFailed, Whole: r.Offered, Ended: r.Broken, Most: int64(p.Links)}, nil
}

// held is a connection of a flood.
type held struct {
	fd     int
	opened time.Time
	sent   int // bytes of a slow head
}

// flooder is one thread of a flood.
type flooder struct {
	plan    *Plan
	kind    kind
	most    int
	address int
	links   []held
	figures *Figures
	ids     uint64
}

// stallMost bounds how long a call on a socket may block; the flood's time is looked at between calls.
var stallMost = unix.Timeval{Usec: 200_000}

func (f *flooder) run(ctx context.Context) {
	defer func() {
		for _, l := range f.links {
			f.drop(l)
		}
	}()
	for looked := time.Now(); ctx.Err() == nil; {
		if now := time.Now(); now.Sub(looked) > 50*time.Millisecond || len(f.links) >= f.most && !f.plan.Cycle {
			f.look()
			f.feed(now)
			looked = now
		}
		switch {
		case len(f.links) < f.most:
		case f.plan.Cycle:
			f.drop(f.links[0])
			f.links = f.links[1:]
		default:
			time.Sleep(5 * time.Millisecond)
			continue
		}
		if !f.open() {
			time.Sleep(time.Millisecond)
		}
	}
}

// open opens one more connection and says on it what the kind says at once.
func (f *flooder) open() bool {
	from := f.plan.From
	if n := f.plan.Addresses; n > 1 {
		b := from.As4()
		at := (int(b[2])<<8 | int(b[3])) + f.address%n + 1
		from = netip.AddrFrom4([4]byte{b[0], b[1], byte(at >> 8), byte(at)})
		f.address += f.plan.Threads
	}
	fd, err := rawsocket.DialBlocking(f.plan.Target, from, func(fd int) {
		_ = unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_SNDTIMEO, &stallMost) // of the dial, too
		if f.kind.unread {
			_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, 4096)
		}
	})
	if err != nil {
		f.figures.Failed++
		return false
	}
	f.figures.Opened++
	l := held{fd: fd, opened: time.Now()}
	if text := f.kind.text(f); len(text) > 0 && !f.kind.slow {
		_, _ = unix.SendmsgN(fd, text, nil, nil, unix.MSG_NOSIGNAL) // what the socket does not take in time is left out
	}
	if f.kind.brief {
		f.drop(l)
		return true
	}
	f.links = append(f.links, l)
	f.figures.Most = max(f.figures.Most, int64(len(f.links)))
	return true
}

// drop ends a connection with a reset. Danger: a plain close would leave each port waiting for a minute, and the flood
// would be over with the ports.
func (f *flooder) drop(l held) {
	_ = unix.SetsockoptLinger(l.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	_ = unix.Close(l.fd) // fails only on a descriptor that is not open
}

// look drops the connections that the sidecar has ended.
func (f *flooder) look() {
	fds := make([]unix.PollFd, len(f.links))
	for i, l := range f.links {
		fds[i] = unix.PollFd{Fd: int32(l.fd), Events: unix.POLLRDHUP}
	}
	if _, err := unix.Poll(fds, 0); err != nil {
		return
	}
	kept := f.links[:0]
	for i, l := range f.links {
		if fds[i].Revents != 0 {
			f.figures.Ended++
			f.drop(l)
			continue
		}
		kept = append(kept, l)
	}
	f.links = kept
}

// feed says on each connection what is due of a slow head. A head that is whole is answered and begun again.
func (f *flooder) feed(now time.Time) {
	if !f.kind.slow {
		return
	}
	var answer [4096]byte
	for i := range f.links {
		l := &f.links[i]
		text := f.kind.text(f)
		due := min(int(float64(len(text))*float64(now.Sub(l.opened))/float64(f.plan.Within)), len(text))
		for ; l.sent < due; l.sent++ {
			if _, err := unix.SendmsgN(l.fd, text[l.sent:l.sent+1], nil, nil, unix.MSG_NOSIGNAL|unix.MSG_DONTWAIT); err != nil {
				break
			}
		}
		if l.sent == len(text) {
			f.figures.Whole++
			_, _, _ = unix.Recvfrom(l.fd, answer[:], unix.MSG_DONTWAIT) // of the one before; the end is seen by look
			l.sent, l.opened = 0, now
		}
	}
}
