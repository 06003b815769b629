package policy

import (
	"container/heap"
	"math/rand/v2"
	"testing"
)

// town is many proxies before hosts that serve one request after the other, in simulated time.
type town struct {
	now                    float64
	events                 agenda
	free                   []float64 // when each host, by id, has worked off its line
	work                   []float64 // seconds that a request takes at each
	rng                    *rand.Rand
	proxies                []*citizen
	id                     uint32
	asked, served, refused int
	probes                 int
	sends                  []int // at each host
}

type citizen struct {
	*town
	*silentActions
	b       *Balancer
	arrived map[uint32]float64
	tries   map[uint32]int
}

type happening struct {
	at float64
	do func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *agenda) Push(x any) { *a = append(*a, x.(happening)) }

func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

func (t *town) at(when float64, do func()) { heap.Push(&t.events, happening{when, do}) }

// newTown returns one whose proxies are told that there are s.Replicas of them, or how many there are where that is 1.
func newTown(s Settings, proxies, hosts int, work float64) *town {
	t := &town{rng: rand.New(rand.NewPCG(3, 9)), free: make([]float64, hosts+1), work: make([]float64, hosts+1), sends: make([]int, hosts+1)}
	s.ProbesEnabled = true
	if s.Replicas == 1 {
		s.Replicas = proxies
	}
	for i := range t.work {
		t.work[i] = work
	}
	for i := range proxies {
		s.Self = i
		c := &citizen{town: t, silentActions: newSilent(&t.now), arrived: map[uint32]float64{}, tries: map[uint32]int{}}
		c.b = New(s, uint64(i), c)
		c.b.UpdateHosts(0, ListFull, fleet(hosts))
		t.proxies = append(t.proxies, c)
	}
	return t
}

// play has requests come at a rate, in a second, from all proxies alike.
func (t *town) play(seconds, rate float64) {
	end := t.now + seconds
	var next func()
	next = func() {
		t.request(t.proxies[t.rng.IntN(len(t.proxies))])
		t.at(t.now+t.rng.ExpFloat64()/rate, next)
	}
	t.at(t.now, next)
	for t.events[0].at < end {
		e := heap.Pop(&t.events).(happening)
		t.now = e.at
		e.do()
	}
	t.events = nil // what is left of it is not waited for
}

func (t *town) request(c *citizen) {
	t.id++
	t.asked++
	c.arrived[t.id] = t.now
	c.b.StartRequest(t.now, Request{ID: t.id, Deadline: t.now + 0.9})
}

// serve has a host work, and returns when it is done.
func (t *town) serve(host uint32, work float64) float64 {
	t.free[host] = max(t.free[host], t.now) + work
	return t.free[host]
}

func (c *citizen) Send(id, host uint32) {
	c.sends[host]++
	began, number := c.town.now, c.tries[id]
	c.tries[id]++
	c.at(c.serve(host, c.work[host]*(0.5+c.rng.Float64())), func() {
		if c.town.now-c.arrived[id] <= 0.3 {
			c.served++
		}
		c.b.AttemptDone(c.town.now, Result{ID: id, Attempt: number, Host: host, Outcome: OK, DelaySeconds: c.town.now - began, Final: true})
	})
}

func (c *citizen) Probe(host uint32) {
	c.town.probes++
	began := c.town.now
	c.at(c.serve(host, 0.0002), func() {
		c.b.ProbeDone(c.town.now, Result{Host: host, Outcome: OK, DelaySeconds: c.town.now - began})
	})
}

func (c *citizen) WakeAfter(after float64) { c.at(c.town.now+after, func() { c.b.Wake(c.town.now) }) }

func (c *citizen) Refuse(uint32, float64) { c.refused++ }

func (c *citizen) Fail(uint32) { c.refused++ }

// Many proxies see an answer of each host once in a second. What little is known must not shut sound hosts, and beyond what
// all can do it must neither fill their lines nor refuse everything: an estimate that lets nothing through is never corrected.
func TestLoadsOfAFleet(t *testing.T) {
	const seeds = 3 // one alone says little of so few proxies
	for _, c := range []struct {
		proxies, told, hosts int
		load, served, most   float64 // load and the least that is served, as parts of what the hosts can do; the most that is refused
	}{{60, 60, 40, 0.66, 0.95, 0.03}, {60, 60, 40, 1.15, 0.65, 1}, {60, 60, 40, 2, 0.6, 1}, {5, 5, 40, 0.9, 0.93, 0.03}, {5, 5, 40, 1.3, 0.75, 1},
		{5, 5, 13, 2, 0.7, 1}, {60, 600, 40, 0.66, 0.9, 0.05}, {60, 6, 40, 0.66, 0.85, 0.1}} {
		served, refused := 0.0, 0.0
		for seed := range uint64(seeds) {
			s := plain()
			s.ProbePrice, s.Replicas = 0.08, c.told
			town := newTown(s, c.proxies, c.hosts, 0.07)
			town.rng = rand.New(rand.NewPCG(seed, 9))
			town.play(20, c.load*float64(c.hosts)/0.07)
			served += float64(town.served) / float64(town.asked) * max(c.load, 1) / seeds
			refused += float64(town.refused) / float64(town.asked) / seeds
		}
		t.Logf("%d proxies, %d told, %d hosts, load %.2f: %.3f served in time, %.3f refused", c.proxies, c.told, c.hosts, c.load, served, refused)
		if served < c.served || refused > c.most {
			t.Errorf("%d proxies, %d told, %d hosts, load %.2f: %.3f served in time, %.3f refused", c.proxies, c.told, c.hosts, c.load, served, refused)
		}
	}
}

// What probes cost a host stays flat while proxies grow, and where they are dear there are fewer for each request.
func TestProbesByTheirPrice(t *testing.T) {
	for _, c := range []struct {
		price, most float64 // probes for each request
	}{{0.0081, 0.6}, {0.08, 0.25}} {
		s := plain()
		s.ProbePrice = c.price
		for _, proxies := range []int{5, 50, 300} {
			town := newTown(s, proxies, 200, 0.03)
			town.play(20, 0.63*200/0.03)
			perHost, perRequest := float64(town.probes)/200/20, float64(town.probes)/float64(town.asked)
			t.Logf("price %.4f, %3d proxies: %.2f probes a second at a host, %.2f for each request", c.price, proxies, perHost, perRequest)
			if perRequest > c.most {
				t.Errorf("price %.4f, %d proxies: %.2f probes for each request", c.price, proxies, perRequest)
			}
		}
	}
}

// Machines differ by kind more than within one, and a proxy sees all of a kind often enough to know: where half of the hosts
// take three times as long, they get less, in a fleet that could not serve them evenly.
func TestKindsGetWhatTheyBear(t *testing.T) {
	town := newTown(plain(), 300, 200, 0.03)
	hosts := fleet(200)
	for i := range hosts {
		if hosts[i].Kind = i % 2; i%2 == 1 {
			town.work[hosts[i].ID] = 0.09
		}
	}
	for _, c := range town.proxies {
		c.b.UpdateHosts(0, ListFull, hosts)
	}
	town.play(20, 0.7*100*(1/0.03+1/0.09))
	slow := 0
	for id := 2; id <= 200; id += 2 {
		slow += town.sends[id]
	}
	served, part := float64(town.served)/float64(town.asked), float64(slow)/float64(town.asked)
	t.Logf("%.3f served in time, %.3f by the slow half", served, part)
	if served < 0.985 || part > 0.2 {
		t.Errorf("%.3f of the requests are served in time, %.3f by the slow half", served, part)
	}
}
