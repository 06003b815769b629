package policy

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Balancer decides for one proxy.
type Balancer struct {
	settings    Settings
	actions     Actions
	pcg         *rand.PCG // the state of rng
	rng         *rand.Rand
	now         float64
	wakeAt      float64 // the next wake-up, if armed
	isWakeArmed bool

	hosts              map[uint32]*host
	sortedHosts        []*host // all hosts, by id
	members            []*host
	wantedMembers      float64 // warm members wanted
	proxiesPerHost     float64 // proxies that share a host
	isWatching         bool
	listRequestAt      float64 // when the list is asked for again
	listBackoffSeconds float64 // the last wait after a call that failed, about; 0: none has since the list came

	tightestTargetSeconds float64 // the tightest class's
	probeRTTSeconds       float64 // usual probe delay
	idleProbeSeconds      float64 // probe delay at an idle host, where reports are absent
	usualQueueFraction    float64 // usual line, as a part of the tightest aim
	meanGap               float64
	meanLatencyRatio      float64 // mean of the members' delays against what is usual
	phiUpdatedAt          float64
	groups                memberGroups
	nextScanAt            float64 // no look at all members before
	lastScanned           *host   // by the last one
	warmCapacity          float64 // of the members, in warm hosts
	warmMemberSent        float64 // what a warm member was sent in the last whole window
	pollsReports          bool    // reports come with probes and are fetched for a pick
	loadField             int     // of the report: requests held
	serviceSeconds        float64 // usual service time for each place in a host's line
	meanWorkSeconds       float64
	classMeanSeconds      []float64
	kindFactors           kindFactors
	clientTimeouts        []clientTimeout

	idleConnLosses     float64 // attempts in a row lost on idle connections
	maxConnIdleSeconds float64 // connections that are idle for longer are closed before a send
	idleDistrustUntil  float64

	unserved           unservedRequests
	liveRequests       []*request
	queue              queue // of those that wait
	requestsByID       map[uint32]*request
	retryBudget        float64
	errorFraction      float64      // part of the attempts that end with an error, at whatever host
	sendRate           decayingRate // units of work sent, a second
	configuredReplicas int          // how many proxies there are by the settings; b.s has what is so now
	isReplicaSet       bool         // b.s has what others' word says
	arrivalRate        decayingRate // requests a second, sent or not
	tenantRequests     []float64    // requests of each tenant, fading
	tenantRequestsAt   float64
}

// New returns a Balancer that has not been told of any host yet.
func New(s Settings, seed uint64, do Actions) *Balancer {
	pcg := rand.NewPCG(seed, ^seed)
	b := &Balancer{settings: s, configuredReplicas: s.Replicas, actions: do, pcg: pcg, rng: rand.New(pcg),
		loadField: slices.Index(s.ReportFields, FieldInflight),
		hosts:     map[uint32]*host{}, requestsByID: map[uint32]*request{}, meanGap: 1, retryBudget: 3,
		probeRTTSeconds: 2 * s.TickSeconds, tightestTargetSeconds: math.Inf(1), tenantRequests: make([]float64, len(s.Tenants))}
	b.pollsReports = b.loadField >= 0 && s.ReportsOnProbe && s.ProbesEnabled && pollSampleSize*s.ProbePrice <= probeBudgetFraction
	b.classMeanSeconds, b.clientTimeouts = make([]float64, len(s.Classes)), make([]clientTimeout, len(s.Classes))
	for i := len(s.Classes) - 1; i >= 0; i-- {
		b.classMeanSeconds[i], b.serviceSeconds, b.tightestTargetSeconds = s.Classes[i].LatencyTargetSeconds/5, s.Classes[i].LatencyTargetSeconds/4, min(b.tightestTargetSeconds, s.Classes[i].LatencyTargetSeconds)
	}
	return b
}
