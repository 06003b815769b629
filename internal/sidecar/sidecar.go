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

// Sidecar is the program's state. It belongs to the event loop.
type Sidecar struct {
	cfg             sidecarconfig.Config
	log             *slog.Logger
	net             netio.EventLoop
	timers          timers
	wakeTimer       timer // of the decisions
	counters        counters
	loopDelay       loopDelay
	timersScheduled bool // the timers that are due are fired soon

	balancer      *policy.Balancer
	endpoints     *endpointset.Set
	classes       map[string]int
	eventAt       float64 // the time of the event that the decisions handle
	events        []event
	callbackDepth int     // of callbacks within each other
	callbackAt    float64 // the time of the outermost

	pending              pendingRequests
	requests             map[uint32]*request
	requestsByClientID   map[string]*request // by their clients' ids
	nextID               uint32
	frontends            []Frontend
	prober               Frontend
	clients              []*ClientConn
	connAdmission        *admission.ConnTable
	isCheckingUnread     bool // answers are looked after that clients have not taken
	logLimiter           logLimiter
	idleConns            map[uint32][]*backendConn
	reuseDelay           reuseDelay
	waitingAttempts      []*attempt // that wait for a link or a descriptor
	watcher              *watcher
	listRelay            listRelay
	admissionConfig      featureconfig.Admission
	faults               *faultinjection.Injector
	faultObserver        FaultObserver  // is told of drills that are started here; nil: nobody is
	healthServer         *health.Server // nil: there is no side port
	listReadAt           float64        // when anything was last read from discovery
	isListRead           bool           // a list has been read from discovery
	lastListError        string         // of discovery's last object, which made no sense; empty: it did
	capture              *capture.Recorder
	quotas               *quotaEnforcer // nil: there are none
	reservedDescriptors  int            // descriptors that are kept for features
	responseSlackSeconds float64

	openConns           int // connections that gnet holds
	dialDescriptorsHeld int // descriptors that dials may hold
	writeBuffer         []byte
	streams             streams
	isShuttingDown      bool
	isDrained           bool // drained by the operators
	isReplaced          bool // another process serves in this one's place
	stateStore          StateStore
	fleetMetrics        MetricsSource // a fleet's figures; nil: there is none
	fleetStatus         func() any    // what a fleet says of itself; nil: there is none
	requestStats        *requestStats // nil: nobody asks for them
	fitness             fitness
	maintenance         *maintenanceTracker // nil: no work on boxes is settled
	cachedSettingsHash  string              // of the settings, once it was asked for
	processes           int                 // processes that live by the limits together
	snapshot            atomic.Pointer[StatusSnapshot]
	shutdownStartedAt   float64
	isStopping          bool

	// Limits, if it is set, is told of the limits at the start and at each change.
	OnLimitsChange func(sidecarconfig.Limits)
}

var _ netio.Handler = (*Sidecar)(nil)

// New returns a sidecar that has not begun, for clients and servers that speak what the fronts do and for the loop that is
// to call it. Of fronts that have a way to probe the last one's is used.
func New(cfg sidecarconfig.Config, on featureconfig.Features, fronts []Frontend, loop netio.EventLoop, log *slog.Logger) (*Sidecar, error) {
	s := &Sidecar{cfg: cfg, log: log, net: loop, classes: map[string]int{}, nextID: 1,
		requests: map[uint32]*request{}, requestsByClientID: map[string]*request{}, idleConns: map[uint32][]*backendConn{},
		endpoints: endpointset.New(cfg.Settings.Zones, cfg.Settings.HostTypes), responseSlackSeconds: cfg.Settings.AnswerSlackS,
		admissionConfig: on.Admission, logLimiter: logLimiter{}, faults: faultinjection.New(on.Drills), frontends: fronts, stateStore: noStateStore{}, processes: 1}
	s.timers.currentSlot = int64(s.now() / slotSeconds)
	for _, f := range fronts {
		if f.NewProbe() != nil {
			s.prober = f
		}
	}
	if s.listReadAt = s.now(); on.Health.IsEnabled() {
		s.healthServer = health.New(on.Health, loop.Now, log)
		s.reservedDescriptors += health.Descriptors
	}
	if cfg.Ops != "" {
		s.reservedDescriptors += AdminDescriptors
	}
	s.quotas = s.newQuotaEnforcer(on.Quotas)
	s.connAdmission = admission.NewConnTable(admission.Settings{})
	s.connAdmission = admission.NewConnTable(s.admissionSettings(0))
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
			s.reservedDescriptors += capture.WriterDescriptors
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
		if _, none := s.stateStore.(noStateStore); !none {
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
	s.counters.Descriptors = s.openConns + s.dialDescriptorsHeld
	s.counters.FaultHits, s.counters.Capture = s.faults.HitCounts(), s.capture.Stats()
	s.counters.Quotas = s.quotaCounters()
	if s.fleetStatus != nil {
		s.counters.Fleet = s.fleetStatus()
	}
	return s.counters.text()
}
