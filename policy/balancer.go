package policy

import (
	"math"
	"math/rand/v2"
	"slices"
)

// initialRetryBudget is how many retries a new Balancer may make before any request has earned one.
const initialRetryBudget = 3

// Balancer makes the load balancing decisions of one proxy. Create it with New, Restore or RestoreSuccessor. It is not safe for
// concurrent use: all calls come from one goroutine, none from within an action, with times that never decrease. A field that is
// added here must also be added to checkpoint.go, with a new checkpointFormat.
type Balancer struct {
	settings Settings // Self and Replicas follow SetReplica
	actions  Actions
	pcg      *rand.PCG // state of rng, for checkpoints
	rng      *rand.Rand
	now      float64 // time of the event that is being handled

	// Timer.
	wakeAt      float64 // time of the armed wake-up
	isWakeArmed bool

	// Endpoint list.
	hosts              map[uint32]*host
	sortedHosts        []*host // the values of hosts, by ID
	isWatching         bool    // subscribed to changes of the list
	listRequestAt      float64 // time of the next list request, if the list is on demand
	listBackoffSeconds float64 // upper bound of the current backoff between list requests; 0 if none has failed since the last list

	// Subset.
	members            []*host // the hosts that this proxy uses; random selection changes their order
	wantedMembers      float64 // number of warm members that this proxy's traffic needs
	proxiesPerHost     float64 // estimate of how many proxies have a host in their subsets, at least 1
	configuredReplicas int     // number of proxies according to the settings
	isReplicaSet       bool    // SetReplica was called

	// Failure detector and probes.
	phiUpdatedAt       float64
	meanGap            float64 // moving average of the gaps of all members, in cadences
	probeRTTSeconds    float64 // moving average of probe delays
	idleProbeSeconds   float64 // probe delay at a host without a queue; 0 if not known yet
	usualQueueFraction float64 // moving average of queue delays, as a fraction of the tightest latency target

	// Load reports.
	pollsReports bool // probe answers carry reports, and reports are fetched for each pick
	loadField    int  // index of FieldInflight in a report; -1 if reports do not have it

	// Picks.
	groups           memberGroups
	nextScanAt       float64 // not all members are compared before this time
	lastScanned      *host   // result of the last comparison of all members
	warmCapacity     float64 // sum of the members' capacity fractions
	warmMemberSent   float64 // work that a warm member was sent on average in its last complete window
	meanLatencyRatio float64 // mean of the members' latency ratios

	// Estimates.
	tightestTargetSeconds float64 // the smallest latency target of all classes; +Inf without classes
	serviceSeconds        float64 // estimated seconds that each request of mean work at a host adds to the delay of a new one
	meanWorkSeconds       float64 // moving average of WorkSeconds; 0 if no request had it
	classMeanSeconds      []float64
	kindFactors           kindFactors
	clientTimeouts        []clientTimeout // by class
	errorFraction         float64         // moving average of the fraction of attempts that end with HostError, at any host
	sendRate              decayingRate    // work sent, in requests of mean work a second
	arrivalRate           decayingRate    // requests that arrive each second, sent or not
	tenantRequests        []float64       // exponentially decaying request count of each tenant
	tenantRequestsAt      float64         // time of the last decay of tenantRequests

	// Idle connections.
	idleConnLosses     float64 // consecutive attempts lost on idle connections; a success halves the number
	maxConnIdleSeconds float64 // until idleDistrustUntil, connections that are idle for longer are closed before a send
	idleDistrustUntil  float64

	// Requests.
	liveRequests []*request // without a final answer
	requestsByID map[uint32]*request
	queue        queue            // requests that wait for a host
	unserved     unservedRequests // recently answered without being served
	retryBudget  float64          // retries that may be made
}

// New returns a Balancer without hosts. seed determines all random numbers.
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
