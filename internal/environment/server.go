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
func NewServer(day *Day, number int, discovery *Discovery, keys *keyMemory, observer checker.Observer) *Server {
	server := &Server{Spec: day.Servers[number], day: day, observer: observer, sidecars: newSidecarAddresses(day), classes: map[string]int{}, keyMemory: keys,
		discovery: discovery}
	server.rng = randomStream(day.Seed, "box "+server.Spec.Name, 0)
	server.requestCost = rand.New(&server.requestSource)
	for i, class := range day.Classes {
		server.classes[class.Name] = i
	}
	return server
}

// Boot begins a life at an address. The first life of a box that stands at the day's start has been warm for long.
func (s *Server) Boot(address string, net netio.EventLoop) netio.Handler {
	s.Address = address
	s.incarnations++
	process := &serverProcess{Server: s, net: net, alarmAt: math.Inf(1)}
	s.process = process
	return process
}

// Ended tells a box that its process has been ended, or its machine has vanished.
func (s *Server) Stopped(now float64) {
	if s.process != nil {
		s.process.isStopped = true
		s.process = nil
		s.observer.Observe(checker.Event{Kind: checker.ServerStopped, At: now, Sidecar: -1, Server: int32(s.Spec.Number)})
	}
}

// Hang has the box stand still with all that it holds, or go on.
func (s *Server) SetHung(enabled bool) {
	if process := s.process; process != nil {
		process.net.Post(func() {
			process.advance()
			process.engine.SetHung(process.net.Now(), enabled)
			process.updateAlarm()
		})
	}
}

// Drain has the box turn away all that is new.
func (s *Server) Drain() {
	if s.process != nil {
		s.process.isDraining = true
	}
}

// Alive tells whether the box has a process now.
func (s *Server) IsAlive() bool { return s.process != nil }
