// Package sidecar carries out the decisions of package policy on real sockets: it takes requests from the
// application beside it, sends them to servers, and watches discovery's list.
//
// One event loop owns all state, so nothing here is locked, and all that it knows of the network and of time comes
// through package netio. The decisions are called from the queue of events alone, never from within one of their
// own actions.
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
	// probeWaitS is how long a probe is waited for. A probe queues at its server like a request; one that
	// takes longer tells the decisions of a line that no request would get through in time.
	probeTimeoutSeconds = 0.4
	// mostAnswerRoomS is kept of a deadline for writing the answer, so that it is in time.
	maxResponseMarginSeconds = 0.005
	// spareDescriptors are left for what is no link: standard streams, the listener, the pollers.
	baseDescriptors = 24
)

// Sidecar is the state of one process. It belongs to the event loop: only its callbacks, and what Do runs, may touch it.
type Sidecar struct {
	cfg sidecarconfig.Config
	log *slog.Logger
	net netio.EventLoop

	// The event loop.
	timers     timers
	wakeTimer  timer // of the decisions
	turn       loopTurn
	loopDelay  loopDelay
	fitness    fitness
	logLimiter logLimiter

	// The decisions, and what they are given.
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

// New returns a sidecar that has not begun, for clients and servers that speak what the fronts do and for the loop that is
// to call it. Of fronts that have a way to probe the last one's is used.
func New(cfg sidecarconfig.Config, on featureconfig.Features, fronts []Frontend, loop netio.EventLoop, log *slog.Logger) (*Sidecar, error) {
	s := &Sidecar{cfg: cfg, log: log, net: loop, logLimiter: logLimiter{}, processes: 1,
		endpoints: endpointset.New(cfg.Settings.Zones, cfg.Settings.HostTypes), classes: map[string]int{},
		requests: newRequestTable(), frontends: fronts, responseSlackSeconds: cfg.Settings.AnswerSlackS,
		faults: faultinjection.New(on.Drills)}
	s.clients.config = on.Admission
	s.backends.idle = map[uint32][]*backendConn{}
	s.restart.store = noStateStore{}
	s.timers.currentSlot = int64(s.now() / slotSeconds)
	for _, f := range fronts {
		if f.NewProbe() != nil {
			s.prober = f
		}
	}
	if s.discovery.listReadAt = s.now(); on.Health.IsEnabled() {
		s.healthServer = health.New(on.Health, loop.Now, log)
		s.descriptors.reserved += health.Descriptors
	}
	if cfg.Ops != "" {
		s.descriptors.reserved += AdminDescriptors
	}
	s.quotas = s.newQuotaEnforcer(on.Quotas)
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
	if on.Capture.Enabled {
		var err error
		if s.capture, err = capture.New(on.Capture, cfg.Settings.Policy, cfg.Seed, s.now(), captureSource{s}, log); err != nil {
			return nil, err
		}
		if on.Capture.Dir != "" {
			s.descriptors.reserved += capture.WriterDescriptors
		}
	}
	if len(cfg.Known) > 0 {
		if err := s.applyKnownList(cfg.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	} else { // Danger: the decisions ask for a list only once they have heard of one
		s.pushEndpoints(policy.ListCached, nil)
	}
	if s.endpoints.Len() == 0 {
		log.Warn("beginning without a list of servers: discovery is asked at once")
	}
	return s, nil
}

// answerRoom is how long before its deadline a request's wait ends.
func (s *Sidecar) responseMargin() float64 {
	return min(maxResponseMarginSeconds, s.responseSlackSeconds)
}

// Start begins work.
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

// Counters returns the counters as JSON. Once the loop has ended it may be called from outside.
func (s *Sidecar) Counters() []byte {
	s.counters.Descriptors = s.descriptors.inUse()
	s.counters.FaultHits, s.counters.Capture = s.faults.HitCounts(), s.capture.Stats()
	s.counters.Quotas = s.quotaCounters()
	if s.fleet.status != nil {
		s.counters.Fleet = s.fleet.status()
	}
	return s.counters.text()
}
