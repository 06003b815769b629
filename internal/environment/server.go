package environment

import (
	"math"
	"math/rand/v2"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/netio"
)

// Box is a server over all lives of its process. Troubles are done to it directly; Ground ends and begins lives.
type Server struct {
	Spec    ServerSpec
	Address string // where the present life listens, or the last one did

	day            *Day
	observer       checker.Observer
	sidecars       sidecarAddresses
	classes        map[string]int // looked up, never walked
	keyMemory      *keyMemory     // of its site
	discovery      *Discovery
	rng            *rand.Rand
	requestSource  rand.PCG   // seeded by a request: what it costs is the same at every box
	requestCost    *rand.Rand // on same
	lastConnNumber uint64     // connections so far
	answers        int
	process        *serverProcess // the present one; nil: none
	incarnations   int

	// Manners are how the box speaks; they outlast a life.
	Misbehavior Misbehavior
}

// Manners are the shares of its answers in which a box says what it should not, from 0 to 1.
type Misbehavior struct {
	Malformed        float64 // nobody can read the answer to its end
	TrailingBytes    float64 // bytes come behind it
	InterimResponses float64 // 1xx answers come in front
	// EarlyClose is the share of the times that a connection is at rest in which the box closes it soon, and of those that end with
	// a request in which it closes it on that.
	EarlyClose float64
}

// NewBox returns a box of a day that has never run.
func NewServer(d *Day, number int, list *Discovery, keys *keyMemory, w checker.Observer) *Server {
	b := &Server{Spec: d.Servers[number], day: d, observer: w, sidecars: newSidecarAddresses(d), classes: map[string]int{}, keyMemory: keys,
		discovery: list}
	b.rng = randomStream(d.Seed, "box "+b.Spec.Name, 0)
	b.requestCost = rand.New(&b.requestSource)
	for i, c := range d.Classes {
		b.classes[c.Name] = i
	}
	return b
}

// Boot begins a life at an address. The first life of a box that stands at the day's start has been warm for long.
func (b *Server) Boot(address string, net netio.EventLoop) netio.Handler {
	b.Address = address
	b.incarnations++
	l := &serverProcess{Server: b, net: net, alarmAt: math.Inf(1)}
	b.process = l
	return l
}

// Ended tells a box that its process has been ended, or its machine has vanished.
func (b *Server) Stopped(now float64) {
	if b.process != nil {
		b.process.isStopped = true
		b.process = nil
		b.observer.Observe(checker.Event{Kind: checker.ServerStopped, At: now, Sidecar: -1, Server: int32(b.Spec.Number)})
	}
}

// Hang has the box stand still with all that it holds, or go on.
func (b *Server) SetHung(on bool) {
	if l := b.process; l != nil {
		l.net.Post(func() {
			l.advance()
			l.engine.SetHung(l.net.Now(), on)
			l.updateAlarm()
		})
	}
}

// Drain has the box turn away all that is new.
func (b *Server) Drain() {
	if b.process != nil {
		b.process.isDraining = true
	}
}

// Alive tells whether the box has a process now.
func (b *Server) IsAlive() bool { return b.process != nil }
