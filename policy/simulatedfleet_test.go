package policy

import (
	"container/heap"
	"math/rand/v2"
	"testing"
)

// simulatedFleet simulates many proxies in front of hosts that serve one request at a time.
type simulatedFleet struct {
	now                       float64
	events                    eventHeap
	idleAt                    []float64 // by host ID: when it has worked off its queue
	workSeconds               []float64 // by host ID: seconds that a request takes
	rng                       *rand.Rand
	proxies                   []*simulatedProxy
	lastID                    uint32
	requests, served, refused int
	probes                    int
	sends                     []int // by host ID
}

// simulatedProxy is one proxy of a simulatedFleet; it carries out the actions of its Balancer.
type simulatedProxy struct {
	*simulatedFleet
	*silentActions
	balancer  *Balancer
	arrivedAt map[uint32]float64
	attempts  map[uint32]int
}

type scheduledEvent struct {
	at  float64
	run func()
}

type eventHeap []scheduledEvent

func (a eventHeap) Len() int { return len(a) }

func (a eventHeap) Less(i, j int) bool { return a[i].at < a[j].at }

func (a eventHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *eventHeap) Push(x any) { *a = append(*a, x.(scheduledEvent)) }

func (a *eventHeap) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

func (t *simulatedFleet) schedule(when float64, do func()) {
	heap.Push(&t.events, scheduledEvent{when, do})
}

// newSimulatedFleet returns a fleet whose proxies are configured with s.Replicas, or with their real number if that is 1. A
// request takes a host work seconds on average.
func newSimulatedFleet(s Settings, proxies, hosts int, work float64) *simulatedFleet {
	t := &simulatedFleet{rng: rand.New(rand.NewPCG(3, 9)), idleAt: make([]float64, hosts+1), workSeconds: make([]float64, hosts+1), sends: make([]int, hosts+1)}
	s.ProbesEnabled = true
	if s.Replicas == 1 {
		s.Replicas = proxies
	}
	for i := range t.workSeconds {
		t.workSeconds[i] = work
	}
	for i := range proxies {
		s.Self = i
		c := &simulatedProxy{simulatedFleet: t, silentActions: newSilentActions(&t.now), arrivedAt: map[uint32]float64{}, attempts: map[uint32]int{}}
		c.balancer = New(s, uint64(i), c)
		c.balancer.UpdateHosts(0, ListFull, manyHosts(hosts))
		t.proxies = append(t.proxies, c)
	}
	return t
}

// run lets requests arrive at random proxies for some time, with a mean rate per second.
func (t *simulatedFleet) run(seconds, rate float64) {
	end := t.now + seconds
	var next func()
	next = func() {
		t.startRequest(t.proxies[t.rng.IntN(len(t.proxies))])
		t.schedule(t.now+t.rng.ExpFloat64()/rate, next)
	}
	t.schedule(t.now, next)
	for t.events[0].at < end {
		e := heap.Pop(&t.events).(scheduledEvent)
		t.now = e.at
		e.run()
	}
	t.events = nil // the remaining events are dropped
}

func (t *simulatedFleet) startRequest(c *simulatedProxy) {
	t.lastID++
	t.requests++
	c.arrivedAt[t.lastID] = t.now
	c.balancer.StartRequest(t.now, Request{ID: t.lastID, Deadline: t.now + 0.9})
}

// serve queues work at a host and returns the time when it is done.
func (t *simulatedFleet) serve(host uint32, work float64) float64 {
	t.idleAt[host] = max(t.idleAt[host], t.now) + work
	return t.idleAt[host]
}

func (c *simulatedProxy) Send(id, host uint32) {
	c.sends[host]++
	began, number := c.simulatedFleet.now, c.attempts[id]
	c.attempts[id]++
	c.schedule(c.serve(host, c.workSeconds[host]*(0.5+c.rng.Float64())), func() {
		if c.simulatedFleet.now-c.arrivedAt[id] <= 0.3 {
			c.served++
		}
		c.balancer.AttemptDone(c.simulatedFleet.now, Result{ID: id, Attempt: number, Host: host, Outcome: OK, DelaySeconds: c.simulatedFleet.now - began, Final: true})
	})
}

func (c *simulatedProxy) Probe(host uint32) {
	c.simulatedFleet.probes++
	began := c.simulatedFleet.now
	c.schedule(c.serve(host, 0.0002), func() {
		c.balancer.ProbeDone(c.simulatedFleet.now, Result{Host: host, Outcome: OK, DelaySeconds: c.simulatedFleet.now - began})
	})
}

func (c *simulatedProxy) WakeAfter(after float64) {
	c.schedule(c.simulatedFleet.now+after, func() { c.balancer.Wake(c.simulatedFleet.now) })
}

func (c *simulatedProxy) Refuse(uint32, float64) { c.refused++ }

func (c *simulatedProxy) Fail(uint32) { c.refused++ }

// Each of many proxies gets only about one answer a second from each host. So few samples must not make healthy hosts
// unavailable. In overload, the proxies must neither fill the hosts' queues nor refuse everything, since an estimate that lets no
// request through would never be corrected.
func TestFleetUnderLoad(t *testing.T) {
	const seeds = 3 // averaged, since a single run varies too much
	for _, c := range []struct {
		proxies, configured, hosts int
		load, served, most         float64 // load and least served fraction relative to the hosts' capacity; largest refused fraction
	}{{60, 60, 40, 0.66, 0.95, 0.03}, {60, 60, 40, 1.15, 0.65, 1}, {60, 60, 40, 2, 0.6, 1}, {5, 5, 40, 0.9, 0.93, 0.03}, {5, 5, 40, 1.3, 0.75, 1},
		{5, 5, 13, 2, 0.7, 1}, {60, 600, 40, 0.66, 0.9, 0.05}, {60, 6, 40, 0.66, 0.85, 0.1}} {
		served, refused := 0.0, 0.0
		for seed := range uint64(seeds) {
			s := baseSettings()
			s.ProbePrice, s.Replicas = 0.08, c.configured
			fleet := newSimulatedFleet(s, c.proxies, c.hosts, 0.07)
			fleet.rng = rand.New(rand.NewPCG(seed, 9))
			fleet.run(20, c.load*float64(c.hosts)/0.07)
			served += float64(fleet.served) / float64(fleet.requests) * max(c.load, 1) / seeds
			refused += float64(fleet.refused) / float64(fleet.requests) / seeds
		}
		t.Logf("%d proxies, %d configured, %d hosts, load %.2f: %.3f served in time, %.3f refused", c.proxies, c.configured, c.hosts, c.load, served, refused)
		if served < c.served || refused > c.most {
			t.Errorf("%d proxies, %d configured, %d hosts, load %.2f: %.3f served in time, %.3f refused", c.proxies, c.configured, c.hosts, c.load, served, refused)
		}
	}
}

// The number of probes at a host stays about constant while the number of proxies grows, and the more a probe costs, the fewer
// probes there are for each request.
func TestProbeRateFollowsPrice(t *testing.T) {
	for _, c := range []struct {
		price, most float64 // probes for each request
	}{{0.0081, 0.6}, {0.08, 0.25}} {
		s := baseSettings()
		s.ProbePrice = c.price
		for _, proxies := range []int{5, 50, 300} {
			fleet := newSimulatedFleet(s, proxies, 200, 0.03)
			fleet.run(20, 0.63*200/0.03)
			perHost, perRequest := float64(fleet.probes)/200/20, float64(fleet.probes)/float64(fleet.requests)
			t.Logf("price %.4f, %3d proxies: %.2f probes a second at a host, %.2f for each request", c.price, proxies, perHost, perRequest)
			if perRequest > c.most {
				t.Errorf("price %.4f, %d proxies: %.2f probes for each request", c.price, proxies, perRequest)
			}
		}
	}
}

// Half of the hosts are three times slower than the others because of their machine type, and an even distribution would overload
// them. A proxy sees enough answers of each machine type to learn this and sends the slow hosts less load.
func TestHostKindsGetLoadBySpeed(t *testing.T) {
	fleet := newSimulatedFleet(baseSettings(), 300, 200, 0.03)
	hosts := manyHosts(200)
	for i := range hosts {
		if hosts[i].Kind = i % 2; i%2 == 1 {
			fleet.workSeconds[hosts[i].ID] = 0.09
		}
	}
	for _, c := range fleet.proxies {
		c.balancer.UpdateHosts(0, ListFull, hosts)
	}
	fleet.run(20, 0.7*100*(1/0.03+1/0.09))
	slow := 0
	for id := 2; id <= 200; id += 2 {
		slow += fleet.sends[id]
	}
	served, part := float64(fleet.served)/float64(fleet.requests), float64(slow)/float64(fleet.requests)
	t.Logf("%.3f served in time, %.3f by the slow half", served, part)
	if served < 0.985 || part > 0.2 {
		t.Errorf("%.3f of the requests are served in time, %.3f by the slow half", served, part)
	}
}
