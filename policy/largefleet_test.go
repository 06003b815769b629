package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// largeFleet drives a Balancer with many hosts, some of which can hang.
type largeFleet struct {
	*silentActions
	balancer       *Balancer
	now            float64
	hosts          []HostInfo
	hangs          map[uint32]bool // hosts that answer neither probes nor requests
	probesInFlight []probeInFlight
	lastID         uint32
}

func newLargeFleet(s Settings, n int) *largeFleet {
	c := &largeFleet{hosts: manyHosts(n), hangs: map[uint32]bool{}}
	c.silentActions = newSilentActions(&c.now)
	s.ProbesEnabled = true
	c.balancer = New(s, 7, c)
	c.balancer.UpdateHosts(0, ListFull, c.hosts)
	return c
}

func (c *largeFleet) Probe(host uint32) {
	c.probesInFlight = append(c.probesInFlight, probeInFlight{host, c.now})
}

// advance moves the clock. Hosts that don't hang answer their probes.
func (c *largeFleet) advance(seconds float64) {
	for end := c.now + seconds; c.now < end; {
		c.now += 0.01
		asked := c.probesInFlight
		c.probesInFlight = nil
		for _, p := range asked {
			if !c.hangs[p.host] {
				c.balancer.ProbeDone(c.now, Result{Host: p.host, Outcome: OK, DelaySeconds: c.now - p.sentAt})
			} else if c.now < p.sentAt+0.4 {
				c.probesInFlight = append(c.probesInFlight, p)
			} else {
				c.balancer.ProbeDone(c.now, Result{Host: p.host, Outcome: TimedOut, DelaySeconds: c.now - p.sentAt})
			}
		}
		c.balancer.Wake(c.now)
	}
}

// request starts a request, which is answered at once unless its host hangs. It returns the host, or 0 if there was none.
func (c *largeFleet) request() uint32 {
	c.lastID++
	c.lastHost = 0
	c.balancer.StartRequest(c.now, Request{ID: c.lastID, Deadline: c.now + 0.6})
	host := c.lastHost
	switch {
	case host == 0:
		c.balancer.Abandoned(c.now, c.lastID)
	case c.hangs[host]:
		c.balancer.AttemptDone(c.now, Result{ID: c.lastID, Host: host, Outcome: Cancelled, DelaySeconds: 0.6, Final: true})
	default:
		c.balancer.AttemptDone(c.now, Result{ID: c.lastID, Host: host, Outcome: OK, DelaySeconds: 0.02, Final: true})
	}
	return host
}

// Requests find a usable host among a thousand even if a third, nine tenths or all but one of them are unusable, for any reason.
func TestFewUsableHostsAmongMany(t *testing.T) {
	const n, asked = 1000, 2000
	kinds := map[string]func(c *largeFleet, i int){
		"hang":    func(c *largeFleet, i int) { c.hangs[c.hosts[i].ID] = true },
		"drain":   func(c *largeFleet, i int) { c.hosts[i].State = Draining },
		"warming": func(c *largeFleet, i int) { c.hosts[i].Started = c.now },
		"full": func(c *largeFleet, i int) {
			h := c.balancer.hosts[c.hosts[i].ID]
			h.backoffUntil[0] = c.now + 1e6 // as after many rejections
		},
	}
	for _, name := range []string{"hang", "drain", "warming", "full", "mixed"} {
		for _, bad := range []int{n / 3, n * 9 / 10, n - 1} {
			s := baseSettings()
			s.Zone, s.CrossZonePrice = 1, 0.06
			c := newLargeFleet(s, n)
			for i := range c.hosts {
				c.hosts[i].Zone = i % 4
			}
			c.balancer.UpdateHosts(c.now, ListFull, c.hosts)
			c.advance(5)
			good := map[uint32]bool{}
			for i, place := range rand.New(rand.NewPCG(3, 3)).Perm(n) {
				if i >= bad {
					good[c.hosts[place].ID] = true
				} else if name == "mixed" {
					kinds[[]string{"hang", "drain", "warming", "full"}[i%4]](c, place)
				} else {
					kinds[name](c, place)
				}
			}
			c.balancer.UpdateHosts(c.now, ListDelta, c.hosts)
			c.advance(10)
			found, wasted := 0, 0
			for i := range asked {
				switch host := c.request(); {
				case good[host]:
					found++
				case host != 0 && c.hangs[host]:
					wasted++
				case host != 0: // a warming host, within its budget
					found++
				}
				if i%20 == 19 {
					c.advance(0.01)
				}
			}
			t.Logf("%s, %d of %d hosts unusable: %.1f %% of the requests found a host", name, bad, n, 100*float64(found)/asked)
			if wasted > 0 || found < asked*98/100 {
				t.Errorf("%s, %d of %d hosts unusable: %d of %d requests found a host, %d were sent to one that hangs", name, bad, n, found, asked, wasted)
			}
		}
	}
}

// A keyed request that may have run is retried at the only other host of its zone, however many hosts there are in other zones.
func TestOneHostOfAZoneAmongMany(t *testing.T) {
	s := baseSettings()
	s.Classes = []Class{{Name: "k", Effect: Keyed, Group: GroupZone, DedupWindowSeconds: 10, LatencyTargetSeconds: 2, TotalTimeoutSeconds: 5}}
	s.MaxAttempts = 3
	c := newLargeFleet(s, 1000)
	for i := range c.hosts {
		c.hosts[i].Zone = 1
	}
	c.hosts[400].Zone, c.hosts[700].Zone = 2, 2
	c.balancer.UpdateHosts(c.now, ListFull, c.hosts)
	c.advance(3)
	for tries := 0; ; tries++ { // until one of the two hosts of zone 2 is picked
		if c.lastID++; tries > 20_000 {
			t.Fatal("neither host of zone 2 is ever picked")
		}
		c.balancer.StartRequest(c.now, Request{ID: c.lastID, Deadline: c.now + 2})
		if first := c.lastHost; first != c.hosts[400].ID && first != c.hosts[700].ID {
			c.balancer.AttemptDone(c.now, Result{ID: c.lastID, Host: first, Outcome: OK, DelaySeconds: 0.01, Final: true})
			continue
		}
		first := c.lastHost
		c.balancer.AttemptDone(c.now, Result{ID: c.lastID, Host: first, Outcome: HostError, DelaySeconds: 0.01})
		if c.lastHost == first || c.balancer.hosts[c.lastHost].Zone != 2 {
			t.Fatalf("the retry went to host %d", c.lastHost)
		}
		return
	}
}

// A thousand hosts are replaced within ten seconds. Requests are served throughout, and the old hosts are forgotten.
func TestAllHostsReplaced(t *testing.T) {
	c := newLargeFleet(baseSettings(), 1000)
	c.advance(3)
	for step := range 100 {
		for i := range 10 {
			place := step*10 + i
			c.hosts[place].State = Gone
			c.balancer.UpdateHosts(c.now, ListDelta, []HostInfo{c.hosts[place], {ID: uint32(5000 + place), State: Ready, Started: c.now}})
		}
		c.advance(0.1)
		for range 5 {
			if c.request() == 0 {
				t.Fatalf("step %d: no host for a request", step)
			}
		}
	}
	c.advance(forgetHostSeconds + 10)
	c.balancer.UpdateHosts(c.now, ListDelta, nil)
	if len(c.balancer.hosts) != 1000 || len(c.balancer.sortedHosts) != 1000 {
		t.Errorf("%d hosts are remembered", len(c.balancer.hosts))
	}
}

// Among hosts whose speeds differ by a factor of up to 2.5, the slow ones get less traffic, but none gets too little.
func TestHostsOfDifferentSpeeds(t *testing.T) {
	c := newLargeFleet(baseSettings(), 200)
	c.advance(3)
	type job struct {
		id, host uint32
		began    float64
	}
	var out []job
	for range 6000 { // 60 s with 1,000 requests a second, two thirds of what the hosts could serve one by one
		for range 10 {
			c.lastID++
			c.lastHost = 0
			if c.balancer.StartRequest(c.now, Request{ID: c.lastID, Deadline: c.now + 2}); c.lastHost != 0 {
				out = append(out, job{c.lastID, c.lastHost, c.now})
			}
		}
		c.advance(0.01)
		kept := out[:0]
		for _, j := range out {
			if took := 0.08 * (1 + 1.5*float64(j.host%10)/9); c.now >= j.began+took {
				c.balancer.AttemptDone(c.now, Result{ID: j.id, Host: j.host, Outcome: OK, DelaySeconds: c.now - j.began, Final: true})
			} else {
				kept = append(kept, j)
			}
		}
		out = kept
	}
	var speeds [10]int
	least := 1 << 30
	for host := uint32(1); host <= 200; host++ {
		speeds[host%10] += c.sent[host]
		least = min(least, c.sent[host])
	}
	t.Logf("sends by speed, the fastest first: %v; fewest at one host: %d", speeds, least)
	if float64(speeds[9]) > 0.8*float64(speeds[0]) || least < 60 {
		t.Errorf("sends by speed, the fastest first: %v; fewest at one host: %d", speeds, least)
	}
}

// The highest load of a host stays within a multiple of the mean, also with one busy proxy among quiet ones, or with all proxies
// at the same replica index by mistake.
func TestSpreadOfManyProxies(t *testing.T) {
	const hosts = 200
	for _, c := range []struct {
		name    string
		proxies int
		same    bool
		heavy   float64 // fraction of all requests that one proxy gets
		most    float64
	}{{"3 alike", 3, false, 1.0 / 3, 1.6}, {"30 alike", 30, false, 1.0 / 30, 1.6}, {"300 alike", 300, false, 1.0 / 300, 1.8},
		{"one heavy of 30", 30, false, 0.9, 1.6}, {"30 with one index", 30, true, 1.0 / 30, 5.5}} {
		now, load := 0.0, map[uint32]int{}
		rng := rand.New(rand.NewPCG(1, 2))
		var all []*Balancer
		var acts []*silentActions
		for i := range c.proxies {
			s := baseSettings()
			s.Replicas, s.Self = c.proxies, i
			if c.same {
				s.Self = 0
			}
			a := newSilentActions(&now)
			b := New(s, uint64(i), a)
			b.UpdateHosts(0, ListFull, manyHosts(hosts))
			all, acts = append(all, b), append(acts, a)
		}
		var id uint32
		const total = 60_000
		for n := range total {
			if now += 0.0005; n%20 == 0 {
				for _, b := range all {
					b.Wake(now)
				}
			}
			i := rng.IntN(c.proxies)
			if rng.Float64() < c.heavy {
				i = 0
			}
			id++
			acts[i].lastHost = 0
			all[i].StartRequest(now, Request{ID: id, Deadline: now + 0.6})
			if host := acts[i].lastHost; host != 0 {
				load[host]++
				all[i].AttemptDone(now, Result{ID: id, Host: host, Outcome: OK, DelaySeconds: 0.02, Final: true})
			}
		}
		most := 0
		for _, n := range load {
			most = max(most, n)
		}
		spread := float64(most) * hosts / total
		t.Logf("%s: the most loaded of %d hosts has %.2f times the mean load, %d have any", c.name, hosts, spread, len(load))
		if spread > c.most || !c.same && len(load) < hosts {
			t.Errorf("%s: the most loaded host has %.2f times the mean load, %d hosts have any", c.name, spread, len(load))
		}
	}
}

// BenchmarkSize measures a request with its outcome, a list change, a wake-up and a checkpoint for different numbers of members.
func BenchmarkSize(b *testing.B) {
	for _, n := range []int{13, 200, 1000, 10_000} {
		c := newLargeFleet(baseSettings(), n)
		c.advance(3)
		b.Run(fmt.Sprintf("request/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if c.now += 0.00005; c.request() == 0 {
					b.Fatal("no host for a request")
				}
			}
		})
		b.Run(fmt.Sprintf("list/%d", n), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				c.now += 0.01
				c.balancer.UpdateHosts(c.now, ListDelta, c.hosts[i%n:i%n+1])
			}
		})
		b.Run(fmt.Sprintf("wake/%d", n), func(b *testing.B) {
			for b.Loop() {
				c.advance(0.01)
			}
		})
		b.Run(fmt.Sprintf("checkpoint/%d", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				raw, _ := c.balancer.Checkpoint(nil, 1<<30)
				size = len(raw)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
