package overload

import (
	"errors"
	"fmt"
	"strconv"
	"syscall"
	"time"

	"hazelwheel/internal/lab/load"
	"hazelwheel/internal/lab/process"
	"hazelwheel/internal/lab/stub"
)

// measurement is one kind of pressure.
type measurement struct {
	name    string
	plain   bool // plain balancers are measured, too
	world   world
	measure func(*bench) ([]Figure, error)
}

var (
	tight = world{boxes: 3, delay: 20 * time.Millisecond, body: 16, memoryMB: 64, sockets: 512}
	fat   = world{boxes: 3, body: 60 << 10, memoryMB: 64, sockets: 512}
	wide  = world{boxes: 13, body: 16, memoryMB: 192, sockets: 20000}
)

// half is the flood that the issue on pressure measured: three threads that hold 700 connections each.
var half = []string{"--threads", "3", "--links", "2100"}

var measurements = []measurement{
	flooded("half-head", tight, half...),
	flooded("silent", tight, half...),
	flooded("half-head, links cycled", tight, append([]string{"--cycle"}, half...)...),
	flooded("slow-head", tight, half...),
	flooded("half-body", tight, half...),
	flooded("brief", tight, half...),
	flooded("again", tight, half...),
	flooded("half-head, 1,000 addresses", tight, "--threads", "3", "--links", "2100", "--addresses", "1000", "--from", "127.1.0.0"),
	flooded("half-head, 1,000 addresses, a link each", tight, "--threads", "3", "--links", "1000", "--addresses", "1000", "--from", "127.1.0.0"),
	unread(20), unread(200), unread(512),
	open(10000, 256), open(20000, 256), open(10000, 1000), open(20000, 1000), open(10000, 4000), open(20000, 4000),
	closed(512), closed(1000),
	{name: "over the peak, 1,000 links", plain: true, world: wide, measure: beyond},
	{name: "drain, 16 clients in a closed loop", world: world{boxes: 3, delay: 20 * time.Millisecond, body: 16, memoryMB: 192, sockets: 1024}, measure: drain},
	{name: "drain, 16 clients, boxes at once", world: world{boxes: 3, body: 16, memoryMB: 192, sockets: 1024}, measure: drain},
	{name: "cost", plain: true, world: wide, measure: cost},
}

// The addresses of clients; the flood has 127.0.0.2 or 127.1.0.0 and on.
const (
	knownAddress = "127.0.0.3"
	thirdAddress = "127.0.0.4"
)

// flooded has a client that was there before the flood, with kept links and with new ones, and one that comes while it
// lasts: 40 alerts a second each, for 6 s.
func flooded(name string, w world, args ...string) measurement {
	return measurement{name: "flood: " + name, world: w, measure: func(b *bench) ([]Figure, error) {
		return underFlood(b, append([]string{"--kind", kindOf(name)}, args...))
	}}
}

// unread is the flood of requests whose answers of 60 KB are never read.
func unread(links int) measurement {
	args := []string{"--kind", "unread", "--ahead", "500", "--threads", strconv.Itoa(min(links, 3)), "--links", strconv.Itoa(links)}
	return measurement{name: fmt.Sprintf("unread answers: %d links", links), world: fat, measure: func(b *bench) ([]Figure, error) {
		return underFlood(b, args)
	}}
}

// kindOf returns the flood that a measurement's name begins with.
func kindOf(name string) string {
	for i, c := range name {
		if c == ',' {
			return name[:i]
		}
	}
	return name
}

const (
	floodFor = 6 * time.Second
	before   = 2 * time.Second
)

func underFlood(b *bench, args []string) ([]Figure, error) {
	alert := []string{"--class", stub.KeyedClass, "--patience", "2s"}
	kept, err := b.load(before+floodFor, append(alert, "--from", knownAddress, "--rate", "40", "--links", "8")...)
	if err != nil {
		return nil, err
	}
	fresh, err := b.load(before+floodFor, append(alert, "--from", knownAddress, "--rate", "40", "--links", "1", "--new", "1")...)
	if err != nil {
		return nil, err
	}
	if err := b.pause(before); err != nil {
		return nil, err
	}
	flood, err := b.flood(floodFor+500*time.Millisecond, args...)
	if err != nil {
		return nil, err
	}
	if err := b.pause(time.Second); err != nil {
		return nil, err
	}
	third, err := b.load(floodFor-time.Second, append(alert, "--from", thirdAddress, "--rate", "40", "--links", "4", "--new", "0.5")...)
	if err != nil {
		return nil, err
	}
	var figures []Figure
	for _, c := range []struct {
		name string
		*client
		from int // the first second that counts
	}{{"known client, kept links", kept, 3}, {"known client, new links", fresh, 3}, {"third address", third, 0}} {
		r, err := b.result(c.client)
		if err != nil {
			return figures, err
		}
		n := since(r, c.from)
		figures = append(figures, Figure{c.name + ": served %", 100 * n.Share(load.Served)},
			Figure{c.name + ": asked", float64(n.Offered)})
	}
	if err := b.alive(); err != nil {
		return figures, err
	}
	peak, err := b.peakMB()
	figures = append(figures, Figure{"peak memory MB", peak})
	if err == nil {
		err = flood.Wait(b.ctx, time.Now().Add(slack))
	}
	return figures, err
}

// since adds up the seconds of a result from one on.
func since(r *load.Result, from int) load.Counts {
	var n load.Counts
	for i, s := range r.Steps {
		if i >= from {
			n.Add(&s.Counts)
		}
	}
	return n
}

func (b *bench) pause(d time.Duration) error {
	select {
	case <-b.ctx.Done():
		return b.ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// open is an open loop on one core.
func open(rate, links int) measurement {
	return measurement{name: fmt.Sprintf("open loop, %d/s, %d links", rate, links), plain: true, world: wide,
		measure: func(b *bench) ([]Figure, error) {
			before, err := b.sidecar.Usage()
			if err != nil {
				return nil, err
			}
			r, err := b.ask(10*time.Second, "--rate", strconv.Itoa(rate), "--links", strconv.Itoa(links), "--threads", "2")
			if err != nil {
				return nil, err
			}
			after, err := b.sidecar.Usage()
			late := since(r, 1)
			return []Figure{
				{"served/s", r.ServedPS}, {"refused %", 100 * r.Share(load.Refused)},
				{"refused after the first second %", 100 * late.Share(load.Refused)},
				{"neither %", 100 * (1 - r.Share(load.Refused) - r.Share(load.Served))},
				{"p50 ms", r.P50}, {"p99 ms", r.P99}, {"p99.9 ms", r.P999}, {"max ms", r.Max},
				{"CPU µs a request", float64((after.CPU-before.CPU)/time.Microsecond) / float64(max(r.Served, 1))},
			}, err
		}}
}

// closed is a closed loop on one core.
func closed(links int) measurement {
	return measurement{name: fmt.Sprintf("closed loop, %d links", links), plain: true, world: wide,
		measure: func(b *bench) ([]Figure, error) {
			r, err := b.ask(6*time.Second, "--links", strconv.Itoa(links), "--threads", "2")
			if err != nil {
				return nil, err
			}
			return []Figure{{"served/s", r.ServedPS}, {"refused %", 100 * r.Share(load.Refused)},
				{"p50 ms", r.P50}, {"p99 ms", r.P99}, {"p99.9 ms", r.P999}}, nil
		}}
}

// beyond finds the peak in a closed loop of 64 links, and then offers it once, twice and four times.
func beyond(b *bench) ([]Figure, error) {
	r, err := b.ask(5*time.Second, "--links", "64", "--threads", "2")
	if err != nil {
		return nil, err
	}
	peak := r.ServedPS
	figures := []Figure{{"peak served/s", peak}}
	for _, times := range []float64{1, 2, 4} {
		r, err := b.ask(6*time.Second, "--rate", strconv.FormatFloat(peak*times, 'f', 0, 64), "--links", "1000", "--threads", "2")
		if err != nil {
			return figures, err
		}
		name := fmt.Sprintf("at %g times the peak: ", times)
		figures = append(figures, Figure{name + "served/s", r.ServedPS}, Figure{name + "refused %", 100 * r.Share(load.Refused)},
			Figure{name + "p99 ms of served", r.P99})
	}
	return figures, nil
}

// drainMost is how long a program has to end after the word to.
const drainMost = 30 * time.Second

// drain says the word to end while 16 clients ask, and come back on a new connection whenever they are told to close.
func drain(b *bench) ([]Figure, error) {
	clients, err := b.load(before+drainMost+time.Second, "--class", stub.SafeClass, "--links", "16", "--threads", "2")
	if err != nil {
		return nil, err
	}
	if err := b.pause(before); err != nil {
		return nil, err
	}
	if err := b.sidecar.Signal(syscall.SIGTERM); err != nil {
		return nil, err
	}
	said := time.Now()
	err = b.sidecar.Wait(b.ctx, said.Add(drainMost))
	took := time.Since(said).Seconds()
	if errors.Is(err, process.ErrStillRuns) {
		if err := b.sidecar.Signal(syscall.SIGKILL); err != nil {
			return nil, err
		}
	} else if err != nil {
		return nil, err
	}
	if err := b.pause(200 * time.Millisecond); err != nil {
		return nil, err
	}
	if err := clients.child.Signal(syscall.SIGTERM); err != nil {
		return nil, err
	}
	r, err := b.result(clients)
	if err != nil {
		return nil, err
	}
	return []Figure{{"s until it ends (30: it was killed)", took}, {"requests sent in all", float64(r.Offered - r.Unsent)},
		{"ended without an answer", float64(r.Broken)}, {"ended without an answer %", 100 * float64(r.Broken) / float64(max(r.Offered-r.Unsent, 1))}}, nil
}

// cost is what a request and a link take.
func cost(b *bench) ([]Figure, error) {
	r, err := b.ask(6*time.Second, "--links", "64", "--threads", "2")
	if err != nil {
		return nil, err
	}
	few, err := b.sidecar.Usage()
	if err != nil {
		return nil, err
	}
	figures := []Figure{{"closed loop, 64 links: served/s", r.ServedPS}, {"closed loop, 64 links: p99 ms", r.P99},
		{"closed loop, 64 links: CPU µs a request", float64(few.CPU/time.Microsecond) / float64(max(r.Served, 1))}}
	c, err := b.load(4*time.Second, "--links", "4000", "--threads", "2")
	if err != nil {
		return figures, err
	}
	if err := b.pause(3500 * time.Millisecond); err != nil {
		return figures, err
	}
	many, err := b.sidecar.Usage()
	if err != nil {
		return figures, err
	}
	if r, err = b.result(c); err != nil {
		return figures, err
	}
	return append(figures, Figure{"4,000 links asking: KB of memory a link more", float64(many.RSS-few.RSS) / 1024 / 3936},
		Figure{"4,000 links asking: served/s", r.ServedPS}), nil
}
