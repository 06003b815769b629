// Package environment models what sidecars serve and depend on: servers, discovery, the applications beside the sidecars,
// the sites and the latencies between them, and the script of faults.
//
// Each actor is a state machine that gets the time from its caller, behind a netio.Handler which uses its netio.EventLoop and
// nothing else. The same actors therefore run in simulated time and on real sockets. The package starts no goroutine, reads
// no clock and depends on no map's order; random numbers come from streams derived from a seed. A [Day] is drawn from
// [Ranges]; a [Script] adds [Fault] values, which a [FaultInjector] injects into the actors and [Hosts].
package environment

import (
	"cmp"

	"hazelwheel/internal/checker"
)

// Day is one draw of an environment: its complete state at the start.
type Day struct {
	Seed          uint64
	Protocol      Protocol // empty: HTTP
	Start         float64  // Unix time in seconds
	LengthSeconds float64  // arrivals end with it

	Sites          []string
	Sidecars       []SidecarSpec
	Servers        []ServerSpec // those that run at the start, followed by the spare ones that faults start
	InitialServers int          // how many run at the start
	Discovery      DiscoverySpec
	Classes        []ClassSpec
	ServerKinds    []string
	Clients        ClientSpec
	Batch          *BatchSpec // nil: there is none

	MeanWorkSeconds       float64     // mean work of a request, in seconds of a standard core
	PathSeconds           [][]float64 // one way, by the two sites
	ClientPathSeconds     float64     // one way between an application and its sidecar
	Jitter                float64     // of a path's time, as a share of it
	ConnIdleSeconds       float64     // idle time-out of servers' connections
	ReportsInline         bool        // load reports are sent with answers, too; otherwise by health checks alone
	MaxDescriptors        int         // that each sidecar may hold
	MemoryMB              int
	OverloadWindowSeconds float64 // the window of work that overloads a cold server; 0: the standard one
}

// SidecarSpec is a sidecar and the application beside it, which share a machine.
type SidecarSpec struct {
	Name    string
	IP      string
	Address string // where the application reaches it
	Site    int
	Share   float64 // of all requests
	Seed    uint64
}

// ClassSpec is a class of requests as drawn.
type ClassSpec struct {
	ClassRanges
	Effect               checker.Effect
	Group                checker.Group
	Share                float64
	MeanWorkSeconds      float64 // mean, in seconds of a standard core
	WorkCV               float64
	LatencyTargetSeconds float64
	TotalTimeoutSeconds  float64
	BodyBytes            int
}

// ClientSpec is how applications behave.
type ClientSpec struct {
	RatePerSecond, Swing, SwingPeriodSeconds        float64
	BurstFactor, BurstSeconds, BurstIntervalSeconds float64
	Retries                                         int
	AttemptTimeoutShare, BackoffSeconds             float64
	RetryAfterShare, ImpatientShare                 float64
	MaxConnections                                  int  // of one application
	FlagsRetries                                    bool // retries carry a header field
	MaxRetryAfterSeconds                            float64
}

// BatchSpec is a batch job beside the applications.
type BatchSpec struct {
	RatePerSecond float64 // of all sidecars together, distributed as the applications' operations are
	Class         int     // of all its requests
	Organisation  string  // in whose name they are sent
}

// ServerSpec is a server as drawn.
type ServerSpec struct {
	Number               int
	Name                 string // ends in eight random hexadecimal digits
	IP                   string
	Address              string
	Site                 int
	Cell                 int
	Kind                 int
	Speed                float64 // of one slot, in standard cores
	Slots                int
	QueueLimit           int // requests that may wait, beyond the slots
	ThrashFactor         float64
	ThrashThreshold      float64
	ColdCapacity         float64
	WarmupSeconds        float64
	WarmupWorkSeconds    float64 // work on each slot that warms it up
	PauseIntervalSeconds float64 // mean time between two pauses; 0: none
	PauseSeconds         float64
	ErrorShare           float64

	Overload                                                                        OverloadSpec
	ReportIntervalSeconds, ReportLagSeconds, ReportNoise                            float64
	IdleTimeoutSeconds                                                              float64
	MaxConnections                                                                  int
	ConnectionOverhead, HandshakeSeconds, HealthCheckSeconds, HealthChecksPerSecond float64
	DropsCancelled                                                                  bool // whether a queued job is dropped when its connection is closed
	Weight                                                                          float64
}

// OverloadSpec is when a cold server is overloaded: by work beyond Multiple of its present capacity, plus SlackSeconds, in a
// window of WindowSeconds.
type OverloadSpec struct{ Multiple, WindowSeconds, SlackSeconds float64 }

// DiscoverySpec is discovery as drawn.
type DiscoverySpec struct {
	IPs                                                                     []string // it moves from one to the next
	Addresses                                                               []string
	FailureNoticeSeconds, SilentNoticeSeconds, StartNoticeSeconds           float64
	PublishIntervalSeconds, DeliverySeconds, CallsPerSecond, EntriesPerCall float64
	CallTimeoutSeconds                                                      float64
	KeepAliveSeconds                                                        float64 // an empty line is written to a watch so often
	OldAddressSeconds                                                       float64 // a retired address closes its connections after this
}

// callSeconds returns how long discovery takes to serve a call, by the number of servers.
func (r *DiscoverySpec) callSeconds(servers int) float64 {
	return (1 + float64(servers)/r.EntriesPerCall) / r.CallsPerSecond
}

// Figures of the deployment that are not drawn.
const (
	overloadMultiple      = 2.5
	overloadWindowSeconds = 1.0
	drainGraceSeconds     = 0.75
	termGraceSeconds      = 0.7
	pollTimeoutSeconds    = 10.0
	answerSlackSeconds    = 0.02
	socketSlackSeconds    = 0.05
	updateTimeoutSeconds  = 6.0
	reloadGraceSeconds    = 4.0
	minColdCapacity       = 0.14 // as configured at sidecars: every server starts with this share of its capacity or more
	maxWarmupSeconds      = 24.0
	maxAttempts           = 3
	// overloadSlackRequests is how many mean requests beyond its budget a cold server can take in a window.
	overloadSlackRequests = 2
	connectTimeoutSeconds = 0.25
	maxRetryAfterSeconds  = 1.5
	tickSeconds           = 0.005
	// maxDiscoveryAddresses is how many addresses discovery can have in a day.
	maxDiscoveryAddresses = 4
	// dayStart is 2027-01-15, so that a ServingSince of 0 means long ago.
	dayStart = 1.8e9
)

// Rules returns the rules by which a checker checks the day.
func (d *Day) Rules() checker.Rules {
	r := checker.Rules{
		Sidecars:              len(d.Sidecars),
		MaxDescriptors:        d.MaxDescriptors,
		AnswerSlackSeconds:    answerSlackSeconds,
		SocketSlackSeconds:    socketSlackSeconds,
		TermGraceSeconds:      termGraceSeconds,
		DrainGraceSeconds:     drainGraceSeconds,
		PollTimeoutSeconds:    pollTimeoutSeconds,
		UpdateTimeoutSeconds:  updateTimeoutSeconds,
		ReloadGraceSeconds:    reloadGraceSeconds,
		OverloadWindowSeconds: cmp.Or(d.OverloadWindowSeconds, overloadWindowSeconds),
		ColdLoadShare:         2.0 / 3,
		FailFastSeconds:       0.25,
		MaxAttempts:           maxAttempts,
	}
	r.FleetCallsSeconds = float64(len(d.Sidecars)) * d.Discovery.callSeconds(len(d.Servers))
	for _, class := range d.Classes {
		r.Classes = append(r.Classes, checker.Class{
			Name:                 class.Name,
			Effect:               class.Effect,
			Group:                class.Group,
			DedupWindowSeconds:   class.DedupWindowSeconds,
			LatencyTargetSeconds: class.LatencyTargetSeconds,
			PriorityWeight:       class.PriorityWeight,
			LateFraction:         class.LateFraction,
		})
	}
	for _, sidecar := range d.Sidecars {
		r.SidecarZones = append(r.SidecarZones, int32(sidecar.Site))
	}
	return r
}

// PathBetween returns the one-way latency between two sites, in seconds, before jitter.
func (d *Day) PathBetween(a, b int) float64 { return d.PathSeconds[a][b] }

// Shorten reduces the sidecars, servers and length of the day; 0 keeps all. What stays is as drawn. Shrinking a script uses
// it to find the smallest day that still shows a violation.
func (d *Day) Shorten(sidecars, servers int, lengthSeconds float64) {
	if sidecars > 0 && sidecars < len(d.Sidecars) {
		d.Sidecars = d.Sidecars[:sidecars]
	}
	if servers > 0 && servers < d.InitialServers {
		d.Servers = append(d.Servers[:servers:servers], d.Servers[d.InitialServers:]...)
		for i := range d.Servers {
			d.Servers[i].Number = i
		}
		d.InitialServers = servers
	}
	if lengthSeconds > 0 {
		d.LengthSeconds = min(d.LengthSeconds, lengthSeconds)
	}
}
