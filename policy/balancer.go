package policy

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Balancer decides for one proxy.
type Balancer struct {
	s     Settings
	do    Actions
	pcg   *rand.PCG // the state of rng
	rng   *rand.Rand
	now   float64
	wake  float64 // the next wake-up, if armed
	armed bool

	hosts    map[uint32]*host
	order    []*host // all hosts, by id
	members  []*host
	need     float64 // warm members wanted
	peers    float64 // proxies that share a host
	watching bool
	askAt    float64 // when the list is asked for again
	askWait  float64 // the last wait after a call that failed, about; 0: none has since the list came

	aim       float64 // the tightest class's
	rtt       float64 // usual probe delay
	base      float64 // probe delay at an idle host, where reports are absent
	crowd     float64 // usual line, as a part of the tightest aim
	meanGap   float64
	slow      float64 // mean of the members' delays against what is usual
	phiAt     float64
	sets      sets
	scanAt    float64 // no look at all members before
	found     *host   // by the last one
	capacity  float64 // of the members, in warm hosts
	brisk     float64 // what a warm member was sent in the last whole window
	polls     bool    // reports come with probes and are fetched for a pick
	field     int     // of the report: requests held
	svc       float64 // usual service time for each place in a host's line
	meanWork  float64
	classMean []float64
	kinds     kinds
	tries     []try

	deadIdle  float64 // attempts in a row lost on idle connections
	dropAge   float64 // connections that are idle for longer are closed before a send
	dropUntil float64

	unserved unserved
	live     []*request
	queue    queue // of those that wait
	byID     map[uint32]*request
	budget   float64
	errors   float64   // part of the attempts that end with an error, at whatever host
	sends    fading    // units of work sent, a second
	told     int       // how many proxies there are by the settings; b.s has what is so now
	placed   bool      // b.s has what others' word says
	asks     fading    // requests a second, sent or not
	asked    []float64 // requests of each tenant, fading
	askedAt  float64
}

// New returns a Balancer that has not been told of any host yet.
func New(s Settings, seed uint64, do Actions) *Balancer {
	pcg := rand.NewPCG(seed, ^seed)
	b := &Balancer{s: s, told: s.Replicas, do: do, pcg: pcg, rng: rand.New(pcg),
		field: slices.Index(s.ReportFields, FieldInflight),
		hosts: map[uint32]*host{}, byID: map[uint32]*request{}, meanGap: 1, budget: 3,
		rtt: 2 * s.TickSeconds, aim: math.Inf(1), asked: make([]float64, len(s.Tenants))}
	b.polls = b.field >= 0 && s.ReportsOnProbe && s.ProbesEnabled && drawn*s.ProbePrice <= probeWorth
	b.classMean, b.tries = make([]float64, len(s.Classes)), make([]try, len(s.Classes))
	for i := len(s.Classes) - 1; i >= 0; i-- {
		b.classMean[i], b.svc, b.aim = s.Classes[i].LatencyTargetSeconds/5, s.Classes[i].LatencyTargetSeconds/4, min(b.aim, s.Classes[i].LatencyTargetSeconds)
	}
	return b
}
