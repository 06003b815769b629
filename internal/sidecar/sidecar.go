// Package sidecar is the core of the sidecar in service: it accepts requests from the application beside it, forwards them to servers as
// package policy decides, and follows the endpoint list of discovery.
//
// One event loop owns all state: nothing here is locked, and the network and the time are reached only through package netio. Exported
// methods are for the event loop, or come before Start, unless they say otherwise; Do runs a function there.
//
// Package policy is called from the queue of events alone, in the order in which they happened, and never from within one of its own
// actions. It asks for actions through policy.Actions, which Sidecar implements.
package sidecar

import (
	"fmt"
	"log/slog"
	"sync/atomic"

	"hazelwheel/internal/capture"
	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/endpointset"
	"hazelwheel/internal/faultinjection"
	"hazelwheel/internal/featureconfig"
	"hazelwheel/internal/health"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/sidecarconfig"
	"hazelwheel/policy"
)

const (
	// probeTimeoutSeconds is how long a probe's response is waited for. A probe queues at its server like a request: one that takes longer
	// reports a queue that no request would pass in time.
	probeTimeoutSeconds = 0.4
	// maxResponseMarginSeconds bounds the part of a deadline that is kept for writing the response.
	maxResponseMarginSeconds = 0.005
	// baseDescriptors are kept for what is no connection: standard streams, the listener, the pollers.
	baseDescriptors = 24
)

// Sidecar is the state of one process. It belongs to the event loop: only its callbacks, and what Do runs, may touch it.
type Sidecar struct {
	cfg sidecarconfig.Config
	log *slog.Logger
	net netio.EventLoop

	// The event loop.
	timers     timers
	wakeTimer  timer // the wake-up that the policy asked for
	turn       loopTurn
	loopDelay  loopDelay
	fitness    fitness
	logLimiter logLimiter

	// The policy, and what it is given.
	balancer  *policy.Balancer
	endpoints *endpointset.Set
	classes   map[string]int // index in the settings, by name
	pending   pendingRequests

	// Requests and the connections that carry them.
	requests             requestTable
	frontends            []Frontend
	prober               Frontend // whose probes are used
	clients              clientPool
	backends             backendPool
	streams              streams
	writeBuffer          []byte // memory for the next write, see recycleWriteBuffer
	responseSlackSeconds float64

	// Limits.
	descriptors descriptorBudget
	processes   int // that share the limits: this one, and others of its kind during a hot restart
	// OnLimitsChange, if it is set, is called with the limits at the start and at each change.
	OnLimitsChange func(sidecarconfig.Limits)

	// Where the endpoint list comes from, and how far the process is on its way to its end.
	discovery discovery
	lifecycle lifecycle
	restart   restartState

	// Features; a nil pointer is a feature that is off.
	faults       *faultinjection.Injector
	healthServer *health.Server
	capture      *capture.Recorder
	quotas       *quotaEnforcer
	maintenance  *maintenanceTracker
	requestStats *requestStats
	fleet        fleetHooks

	counters counters
	snapshot atomic.Pointer[StatusSnapshot]
}

var _ netio.Handler = (*Sidecar)(nil)

// New returns a sidecar that is not started, for the protocols of the given frontends and the event loop that will call it. Probes are
// those of the last frontend that has any. The error is that of a malformed endpoint list in cfg.Known, or of a capture that can't be
// recorded.
func New(cfg sidecarconfig.Config, features featureconfig.Features, frontends []Frontend, loop netio.EventLoop, log *slog.Logger) (*Sidecar, error) {
	s := &Sidecar{
		cfg:                  cfg,
		log:                  log,
		net:                  loop,
		logLimiter:           logLimiter{},
		processes:            1,
		endpoints:            endpointset.New(cfg.Settings.Zones, cfg.Settings.HostTypes),
		classes:              map[string]int{},
		requests:             newRequestTable(),
		frontends:            frontends,
		responseSlackSeconds: cfg.Settings.AnswerSlackS,
		faults:               faultinjection.New(features.Drills),
	}
	s.clients.config = features.Admission
	s.backends.idle = map[uint32][]*backendConn{}
	s.restart.store = noStateStore{}
	s.timers.currentSlot = int64(s.now() / slotSeconds)
	for _, f := range frontends {
		if f.NewProbe() != nil {
			s.prober = f
		}
	}
	if s.discovery.listReadAt = s.now(); features.Health.IsEnabled() {
		s.healthServer = health.New(features.Health, loop.Now, log)
		s.descriptors.reserved += health.Descriptors
	}
	if cfg.Ops != "" {
		s.descriptors.reserved += AdminDescriptors
	}
	s.quotas = s.newQuotaEnforcer(features.Quotas)
	s.clients.admission = admission.NewConnTable(admission.Settings{})
	s.clients.admission = admission.NewConnTable(s.admissionSettings(0))
	var classes []admission.Class
	for i, c := range cfg.Settings.Policy.Classes {
		s.classes[c.Name] = i
		s.counters.Classes = append(s.counters.Classes, classCounts{Class: c.Name})
		classes = append(classes, admission.Class{PriorityWeight: c.PriorityWeight, LatencyTargetSeconds: c.LatencyTargetSeconds})
	}
	s.pending.queue = admission.NewQueue[pendingRequest](classes)
	s.balancer = policy.New(cfg.Settings.Policy, cfg.Seed, s)
	if features.Capture.Enabled {
		var err error
		if s.capture, err = capture.New(features.Capture, cfg.Settings.Policy, cfg.Seed, s.now(), captureSource{s}, log); err != nil {
			return nil, err
		}
		if features.Capture.Dir != "" {
			s.descriptors.reserved += capture.WriterDescriptors
		}
	}
	if len(cfg.Known) > 0 {
		if err := s.applyKnownList(cfg.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	} else { // Danger: the policy asks for a list only after it was given one
		s.pushEndpoints(policy.ListCached, nil)
	}
	if s.endpoints.Len() == 0 {
		log.Warn("beginning without a list of servers: discovery is asked at once")
	}
	return s, nil
}

// responseMargin returns how many seconds before its deadline a request's attempts end.
func (s *Sidecar) responseMargin() float64 {
	return min(maxResponseMarginSeconds, s.responseSlackSeconds)
}

// Start starts timers, snapshots and the watch, and marks the sidecar as serving. The event loop calls it once, before any other callback.
func (s *Sidecar) Start() {
	s.timers.setAlarm = s.net.SetAlarm
	s.runCallback(func() {
		s.applyLimits()
		s.closeStaleClients()
		if s.healthServer != nil {
			s.publishHealth()
		}
		if s.cfg.Ops != "" {
			s.publishSnapshot()
		}
		if _, none := s.restart.store.(noStateStore); !none {
			s.ReconcileOperatorState()
			s.pushEvent(func(float64) { s.saveRestartState() })
		}
		if !s.cfg.Settings.Policy.ListOnDemand {
			s.ensureWatch()
		}
		s.startQuotas()
		if s.capture.WritesFiles() {
			s.flushCapture()
		}
		s.log.Info("serving", "name", s.cfg.Name, "listen", s.cfg.Listen)
	})
}

// Counters returns the counters as a line of JSON. After the event loop has ended it may be called from any goroutine.
func (s *Sidecar) Counters() []byte {
	s.counters.Descriptors = s.descriptors.inUse()
	s.counters.FaultHits, s.counters.Capture = s.faults.HitCounts(), s.capture.Stats()
	s.counters.Quotas = s.quotaCounters()
	if s.fleet.status != nil {
		s.counters.Fleet = s.fleet.status()
	}
	return s.counters.text()
}
