// Package environment is the model of what sidecars serve and depend on: boxes, discovery, the applications beside them, the
// sites and the times between these, and the script of troubles. Each actor is a pure state machine that is told the
// time, with a thin HTTP/1.1 front that is a netio.Handler: it uses its netio.EventLoop and nothing else, so the same actors run
// in simulated time and on real sockets. Nothing here starts a goroutine, reads a clock or depends on a map's order;
// chance comes from streams that a seed gives.
package environment

import (
	"cmp"

	"hazelwheel/internal/checker"
)

// Day is one draw of a world, all that is true of it at its start.
type Day struct {
	Seed          uint64
	Protocol      Protocol // empty: HTTP
	Start         float64  // Unix time in seconds at which it begins
	LengthSeconds float64  // arrivals end then

	Sites          []string
	Sidecars       []SidecarSpec
	Servers        []ServerSpec // those that stand at the start, and behind them the spare ones that troubles bring in
	InitialServers int          // how many stand at the start
	Discovery      DiscoverySpec
	Classes        []ClassSpec
	ServerKinds    []string
	Clients        ClientSpec
	Batch          *BatchSpec // nil: there is none

	MeanWorkSeconds       float64     // mean work of a request, in seconds of a standard core
	PathSeconds           [][]float64 // one way between two sites
	ClientPathSeconds     float64     // one way between an application and its sidecar
	Jitter                float64     // of a way's time, as a share of it
	ConnIdleSeconds       float64     // seconds
	ReportsInline         bool        // load reports come with answers; else with probes alone
	MaxDescriptors        int         // descriptors that each sidecar may hold
	MemoryMB              int
	OverloadWindowSeconds float64 // the window in which work brings a cold box down; 0: the usual one
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
	MarksRetries                                    bool // later tries say that they are
	MaxRetryAfterSeconds                            float64
}

// BatchSpec is a batch that comes beside the applications' requests.
type BatchSpec struct {
	RatePerSecond float64 // of all sidecars together, shared out among them as the applications' requests are
	Class         int     // of all its requests
	Organisation  string  // in whose name they come
}

// BoxSpec is a box as drawn.
type ServerSpec struct {
	Number               int
	Name                 string // ends in eight hexadecimal digits that tell nothing
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
	WarmupWorkSeconds    float64 // seconds of work on each slot that make it warm
	PauseIntervalSeconds float64 // mean time between two pauses; 0: none
	PauseSeconds         float64
	ErrorShare           float64

	Overload                                                                        OverloadSpec
	ReportIntervalSeconds, ReportLagSeconds, ReportNoise                            float64
	IdleTimeoutSeconds                                                              float64
	MaxConnections                                                                  int
	ConnectionOverhead, HandshakeSeconds, HealthCheckSeconds, HealthChecksPerSecond float64
	DropsCancelled                                                                  bool // whether waiting work is dropped where its connection ends
	Weight                                                                          float64
}

// FallSpec is when a cold box falls over: work beyond Multiple of its present capacity in any window of WindowS.
type OverloadSpec struct{ Multiple, WindowSeconds, SlackSeconds float64 }

// RegistrySpec is discovery as drawn.
type DiscoverySpec struct {
	IPs                                                                     []string // it moves from the first on; each has Port
	Addresses                                                               []string
	FailureNoticeSeconds, SilentNoticeSeconds, StartNoticeSeconds           float64
	PublishIntervalSeconds, DeliverySeconds, CallsPerSecond, EntriesPerCall float64
	CallTimeoutSeconds                                                      float64
	KeepAliveSeconds                                                        float64 // an empty line comes so often
	OldAddressSeconds                                                       float64 // an address that was left closes what is open after this
}

// callS returns how long discovery works on a call where there are so many boxes.
func (r *DiscoverySpec) callSeconds(boxes int) float64 {
	return (1 + float64(boxes)/r.EntriesPerCall) / r.CallsPerSecond
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
	minColdCapacity       = 0.14 // what sidecars are told: every box begins with this share or more
	maxWarmupSeconds      = 24.0
	maxAttempts           = 3
	// chanceRequests is how many mean requests beyond its budget a cold box bears in a window.
	overloadSlackRequests = 2
	connectTimeoutSeconds = 0.25
	maxRetryAfterSeconds  = 1.5
	tickSeconds           = 0.005
	// discoveryMoves is how many addresses discovery can move through in a day.
	maxDiscoveryAddresses = 4
	// startOfDays is 2027-01-15, so that a start of 0 means long ago.
	dayStart = 1.8e9
)

// Rules returns what the judge of this day checks by.
func (d *Day) Rules() checker.Rules {
	r := checker.Rules{
		Sidecars: len(d.Sidecars), MaxDescriptors: d.MaxDescriptors, AnswerSlackSeconds: answerSlackSeconds, SocketSlackSeconds: socketSlackSeconds,
		TermGraceSeconds: termGraceSeconds, DrainGraceSeconds: drainGraceSeconds, PollTimeoutSeconds: pollTimeoutSeconds, UpdateTimeoutSeconds: updateTimeoutSeconds, ReloadGraceSeconds: reloadGraceSeconds,
		OverloadWindowSeconds: cmp.Or(d.OverloadWindowSeconds, overloadWindowSeconds), ColdLoadShare: 2.0 / 3, FailFastSeconds: 0.25, MaxAttempts: maxAttempts,
	}
	r.FleetCallsSeconds = float64(len(d.Sidecars)) * d.Discovery.callSeconds(len(d.Servers))
	for _, class := range d.Classes {
		r.Classes = append(r.Classes, checker.Class{Name: class.Name, Effect: class.Effect, Group: class.Group, DedupWindowSeconds: class.DedupWindowSeconds,
			LatencyTargetSeconds: class.LatencyTargetSeconds, PriorityWeight: class.PriorityWeight, LateFraction: class.LateFraction})
	}
	for _, sidecar := range d.Sidecars {
		r.SidecarZones = append(r.SidecarZones, int32(sidecar.Site))
	}
	return r
}

// PathBetween returns how long bytes take one way between two sites, in seconds, before jitter.
func (d *Day) PathBetween(a, b int) float64 { return d.PathSeconds[a][b] }

// Shorten leaves out sidecars, boxes and time, for whoever looks for the smallest day that still shows something; 0
// keeps all. What stays is drawn as before.
func (d *Day) Shorten(sidecars, boxes int, lengthSeconds float64) {
	if sidecars > 0 && sidecars < len(d.Sidecars) {
		d.Sidecars = d.Sidecars[:sidecars]
	}
	if boxes > 0 && boxes < d.InitialServers {
		d.Servers = append(d.Servers[:boxes:boxes], d.Servers[d.InitialServers:]...)
		for i := range d.Servers {
			d.Servers[i].Number = i
		}
		d.InitialServers = boxes
	}
	if lengthSeconds > 0 {
		d.LengthSeconds = min(d.LengthSeconds, lengthSeconds)
	}
}
