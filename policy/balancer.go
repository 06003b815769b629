package policy

import (
	"math"
	"math/rand/v2"
	"slices"
)

// initialRetryBudget is how many retries a new Balancer may make before any request has earned one.
const initialRetryBudget = 3

// Balancer makes the decisions of one proxy. Create it with New, Restore or RestoreSuccessor. It is not safe for concurrent
// use: all calls come from one goroutine, none from within an action, with times that do not decrease. A field that is added
// here is added to checkpoint.go and raises checkpointForm.
type Balancer struct {
	settings Settings // Self and Replicas follow SetReplica
	actions  Actions
	pcg      *rand.PCG // state of rng, for checkpoints
	rng      *rand.Rand
	now      float64 // time of the event that is being handled

	// Timer.
	wakeAt      float64 // of the armed wake-up
	isWakeArmed bool

	// Endpoint list.
	hosts              map[uint32]*host
	sortedHosts        []*host // the values of hosts, by ID
	isWatching         bool    // list changes arrive without a request for them
	listRequestAt      float64 // time of the next list request, if the list is on demand
	listBackoffSeconds float64 // upper bound of the present backoff between list requests; 0: none has failed since the last list

	// Subset.
	members            []*host // the hosts that this proxy uses; the order changes with draws
	wantedMembers      float64 // warm members that the own traffic asks for
	proxiesPerHost     float64 // estimate of how many proxies have a host in their subsets, at least 1
	configuredReplicas int     // number of proxies by the settings, before SetReplica
	isReplicaSet       bool    // SetReplica was called

	// Failure detector and probes.
	phiUpdatedAt       float64
	meanGap            float64 // moving average of the gaps of all members, in cadences
	probeRTTSeconds    float64 // moving average of probe delays
	idleProbeSeconds   float64 // probe delay at a host without a queue; 0: not known yet
	usualQueueFraction float64 // moving average of queue delays, as a fraction of the tightest latency target

	// Load reports.
	pollsReports bool // probe answers carry reports, and reports are fetched for each pick
	loadField    int  // index of FieldInflight in a report; -1: reports do not have it

	// Picks.
	groups           memberGroups
	nextScanAt       float64 // no comparison of all members before
	lastScanned      *host   // result of the last comparison of all members
	warmCapacity     float64 // sum of the members' capacity fractions
	warmMemberSent   float64 // work that a warm member was sent on average in its last complete window
	meanLatencyRatio float64 // mean of the members' latency ratios

	// Estimates.
	tightestTargetSeconds float64 // the smallest latency target of all classes; +Inf without classes
	serviceSeconds        float64 // service time of a request of mean work, for each request that a host holds
	meanWorkSeconds       float64 // moving average of WorkSeconds; 0: no request had it
	classMeanSeconds      []float64
	kindFactors           kindFactors
	clientTimeouts        []clientTimeout // by class
	errorFraction         float64         // moving fraction of attempts that end with HostError, at any host
	sendRate              decayingRate    // work sent, in requests of mean work a second
	arrivalRate           decayingRate    // requests that arrive a second, sent or not
	tenantRequests        []float64       // exponentially decaying number of requests of each tenant
	tenantRequestsAt      float64         // time of the last decay of tenantRequests

	// Idle connections.
	idleConnLosses     float64 // attempts lost on idle connections in a row; a success halves it
	maxConnIdleSeconds float64 // connections that are idle for longer are closed before a send until idleDistrustUntil
	idleDistrustUntil  float64

	// Requests.
	liveRequests []*request // without a final answer
	requestsByID map[uint32]*request
	queue        queue            // of the requests that wait for a host
	unserved     unservedRequests // recently answered without being served
	retryBudget  float64          // retries that may be made
}

// New returns a Balancer without hosts. seed determines all random draws.
func New(s Settings, seed uint64, actions Actions) *Balancer {
	pcg := rand.NewPCG(seed, ^seed)
	b := &Balancer{
		settings:              s,
		configuredReplicas:    s.Replicas,
		actions:               actions,
		pcg:                   pcg,
		rng:                   rand.New(pcg),
		loadField:             slices.Index(s.ReportFields, FieldInflight),
		hosts:                 map[uint32]*host{},
		requestsByID:          map[uint32]*request{},
		meanGap:               1,
		retryBudget:           initialRetryBudget,
		probeRTTSeconds:       2 * s.TickSeconds,
		tightestTargetSeconds: math.Inf(1),
		tenantRequests:        make([]float64, len(s.Tenants)),
		classMeanSeconds:      make([]float64, len(s.Classes)),
		clientTimeouts:        make([]clientTimeout, len(s.Classes)),
	}
	b.pollsReports = b.loadField >= 0 && s.ReportsOnProbe && s.ProbesEnabled && pollSampleSize*s.ProbePrice <= probeBudgetFraction
	for i, class := range s.Classes {
		b.classMeanSeconds[i] = class.LatencyTargetSeconds / 5
		b.tightestTargetSeconds = min(b.tightestTargetSeconds, class.LatencyTargetSeconds)
	}
	if len(s.Classes) > 0 {
		b.serviceSeconds = s.Classes[0].LatencyTargetSeconds / 4
	}
	return b
}
