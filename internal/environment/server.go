package environment

import (
	"math"
	"math/rand/v2"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/netio"
)

// Server is a backend server over all incarnations of its process. Faults of its own are injected by its methods; Hosts
// stop and start its processes.
type Server struct {
	Spec    ServerSpec
	Address string // where the present process listens, or the last one did

	day            *Day
	observer       checker.Observer
	sidecars       sidecarAddresses
	classes        map[string]int // looked up, never walked
	keyMemory      *keyMemory     // shared by the servers of its site
	discovery      *Discovery
	rng            *rand.Rand
	requestSource  rand.PCG   // seeded by a request: its cost is the same at every server
	requestCost    *rand.Rand // draws from requestSource
	lastConnNumber uint64     // number of connections so far
	answers        int
	process        *serverProcess // the present one; nil: none
	incarnations   int

	// Misbehavior is what the server answers wrongly; it outlasts a process.
	Misbehavior Misbehavior
}

// Misbehavior holds the shares of its answers, from 0 to 1, in which a server violates the protocol.
type Misbehavior struct {
	Malformed        float64 // the answer can't be parsed completely
	TrailingBytes    float64 // bytes follow the answer
	InterimResponses float64 // 1xx responses precede the answer
	// EarlyClose is the share of the idle periods of a connection in which the server closes it early, and of those that
	// end with a request in which it closes it on that request.
	EarlyClose float64
}

// NewServer returns a server of a day that has not started yet.
func NewServer(day *Day, number int, discovery *Discovery, keys *keyMemory, observer checker.Observer) *Server {
	server := &Server{
		Spec:      day.Servers[number],
		day:       day,
		observer:  observer,
		sidecars:  newSidecarAddresses(day),
		classes:   map[string]int{},
		keyMemory: keys,
		discovery: discovery,
	}
	server.rng = randomStream(day.Seed, "box "+server.Spec.Name, 0)
	server.requestCost = rand.New(&server.requestSource)
	for i, class := range day.Classes {
		server.classes[class.Name] = i
	}
	return server
}

// Boot returns the server's next process, at an address. The first process of a server that runs at the day's start is warm.
func (s *Server) Boot(address string, net netio.EventLoop) netio.Handler {
	s.Address = address
	s.incarnations++
	process := &serverProcess{Server: s, net: net, alarmAt: math.Inf(1)}
	s.process = process
	return process
}

// Stopped notifies the server that its process was stopped, or that its machine has become unreachable.
func (s *Server) Stopped(now float64) {
	if s.process != nil {
		s.process.isStopped = true
		s.process = nil
		s.observer.Observe(checker.Event{Kind: checker.ServerStopped, At: now, Sidecar: -1, Server: int32(s.Spec.Number)})
	}
}

// SetHung has the server make no progress with its requests, or go on.
func (s *Server) SetHung(enabled bool) {
	if process := s.process; process != nil {
		process.net.Post(func() {
			process.advance()
			process.engine.SetHung(process.net.Now(), enabled)
			process.updateAlarm()
		})
	}
}

// Drain has the server reject all new requests.
func (s *Server) Drain() {
	if s.process != nil {
		s.process.isDraining = true
	}
}

// IsAlive reports whether the server has a process now.
func (s *Server) IsAlive() bool { return s.process != nil }
