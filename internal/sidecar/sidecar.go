// Package sidecar is the core of the sidecar process: it accepts requests from the application on the same host, forwards them to servers
// as package policy decides, and watches the endpoint list of the discovery service.
//
// One event loop owns all state: there are no locks, and the network and the clock are accessed only through package netio. Unless their
// comments say otherwise, exported methods must be called on the event loop or before Start; Do runs a function on the event loop.
//
// Package policy is called only for queued events, in the order in which they occurred, and never from within one of its own actions. It
// requests actions through policy.Actions, which Sidecar implements.
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
	// probeTimeoutSeconds is the timeout of a probe. A probe queues at its server like a request: if it takes longer, the queue is too long
	// for any request to be served in time.
	probeTimeoutSeconds = 0.4
	// maxResponseMarginSeconds bounds the time that is reserved before a deadline for writing the response.
	maxResponseMarginSeconds = 0.005
	// baseDescriptors are reserved for everything but connections: standard streams, the listener, the pollers.
	baseDescriptors = 24
)

// Sidecar is the state of one process. It belongs to the event loop: only callbacks of the loop, and functions given to Do, may access it.
type Sidecar struct {
	cfg sidecarconfig.Config
	log *slog.Logger
	net netio.EventLoop

	// The event loop.
	timers     timers
	wakeTimer  timer // the wake-up that the policy requested
	turn       loopTurn
	loopDelay  loopDelay
	fitness    fitness
	logLimiter logLimiter

	// The policy and its inputs.
	balancer  *policy.Balancer
	endpoints *endpointset.Set
	classes   map[string]int // index in the settings by name
	pending   pendingRequests

	// Requests and the connections that carry them.
	requests             requestTable
	frontends            []Frontend
	prober               Frontend // the frontend that provides probes
	clients              clientPool
	backends             backendPool
	streams              streams
	writeBuffer          []byte // reused by each write, see recycleWriteBuffer
	responseSlackSeconds float64

	// Limits.
	descriptors descriptorBudget
	processes   int // number of processes that share the limits: more than one during a hot restart
	// OnLimitsChange, if set, is called with the limits of this process at Start and whenever they change.
	OnLimitsChange func(sidecarconfig.Limits)

	// The source of the endpoint list, shutdown and drain, and hot restart.
	discovery discovery
	lifecycle lifecycle
	restart   restartState

	// Optional features; a nil pointer means that the feature is off.
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

// New returns a sidecar that is not started yet. It serves the protocols of the given frontends; loop is the event loop that will call it.
// Probes come from the last frontend that provides them. New fails if the endpoint list in cfg.Known is malformed or the capture can't be
// set up.
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
	} else { // the policy requests a list only after it has received one, which may be empty
		s.pushEndpoints(policy.ListCached, nil)
	}
	if s.endpoints.Len() == 0 {
		log.Warn("beginning without a list of servers: discovery is asked at once")
	}
	return s, nil
}

// responseMargin returns how many seconds before a request's deadline its attempts time out.
func (s *Sidecar) responseMargin() float64 {
	return min(maxResponseMarginSeconds, s.responseSlackSeconds)
}

// Start starts timers, snapshots and the watch. The event loop calls it once, before any other callback.
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

// Counters returns the counters as a line of JSON. It must be called on the event loop or after the loop has ended.
func (s *Sidecar) Counters() []byte {
	s.counters.Descriptors = s.descriptors.inUse()
	s.counters.FaultHits, s.counters.Capture = s.faults.HitCounts(), s.capture.Stats()
	s.counters.Quotas = s.quotaCounters()
	if s.fleet.status != nil {
		s.counters.Fleet = s.fleet.status()
	}
	return s.counters.text()
}
