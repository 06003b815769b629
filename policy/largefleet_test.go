package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// crowd drives a Balancer among many hosts, of which some can be bad.
type crowd struct {
	*silentActions
	b     *Balancer
	now   float64
	hosts []HostInfo
	hang  map[uint32]bool // they answer nothing
	asked []sentProbe
	id    uint32
}

func newCrowd(s Settings, n int) *crowd {
	c := &crowd{hosts: fleet(n), hang: map[uint32]bool{}}
	c.silentActions = newSilent(&c.now)
	s.ProbesEnabled = true
	c.b = New(s, 7, c)
	c.b.UpdateHosts(0, ListFull, c.hosts)
	return c
}

func (c *crowd) Probe(host uint32) { c.asked = append(c.asked, sentProbe{host, c.now}) }

// pass lets time pass, with probes answered by hosts that do not hang.
func (c *crowd) pass(seconds float64) {
	for end := c.now + seconds; c.now < end; {
		c.now += 0.01
		asked := c.asked
		c.asked = nil
		for _, p := range asked {
			if !c.hang[p.host] {
				c.b.ProbeDone(c.now, Result{Host: p.host, Outcome: OK, DelaySeconds: c.now - p.at})
			} else if c.now < p.at+0.4 {
				c.asked = append(c.asked, p)
			} else {
				c.b.ProbeDone(c.now, Result{Host: p.host, Outcome: TimedOut, DelaySeconds: c.now - p.at})
			}
		}
		c.b.Wake(c.now)
	}
}

// ask has a request come, and answered at once by a host that does not hang. It returns the host, 0 if there was none.
func (c *crowd) ask() uint32 {
	c.id++
	c.last = 0
	c.b.StartRequest(c.now, Request{ID: c.id, Deadline: c.now + 0.6})
	host := c.last
	switch {
	case host == 0:
		c.b.Abandoned(c.now, c.id)
	case c.hang[host]:
		c.b.AttemptDone(c.now, Result{ID: c.id, Host: host, Outcome: Cancelled, DelaySeconds: 0.6, Final: true})
	default:
		c.b.AttemptDone(c.now, Result{ID: c.id, Host: host, Outcome: OK, DelaySeconds: 0.02, Final: true})
	}
	return host
}

// Whatever is wrong with a third, nine tenths or all but one of a thousand hosts: requests find a good one.
func TestFewGoodHostsAmongMany(t *testing.T) {
	const n, asked = 1000, 2000
	kinds := map[string]func(c *crowd, i int){
		"hang":  func(c *crowd, i int) { c.hang[c.hosts[i].ID] = true },
		"drain": func(c *crowd, i int) { c.hosts[i].State = Draining },
		"cold":  func(c *crowd, i int) { c.hosts[i].Started = c.now },
		"full": func(c *crowd, i int) {
			h := c.b.hosts[c.hosts[i].ID]
			h.backoffUntil[0] = c.now + 1e6 // has turned requests away again and again
		},
	}
	for _, name := range []string{"hang", "drain", "cold", "full", "mixed"} {
		for _, bad := range []int{n / 3, n * 9 / 10, n - 1} {
			s := plain()
			s.Zone, s.CrossZonePrice = 1, 0.06
			c := newCrowd(s, n)
			for i := range c.hosts {
				c.hosts[i].Zone = i % 4
			}
			c.b.UpdateHosts(c.now, ListFull, c.hosts)
			c.pass(5)
			good := map[uint32]bool{}
			for i, place := range rand.New(rand.NewPCG(3, 3)).Perm(n) {
				if i >= bad {
					good[c.hosts[place].ID] = true
				} else if name == "mixed" {
					kinds[[]string{"hang", "drain", "cold", "full"}[i%4]](c, place)
				} else {
					kinds[name](c, place)
				}
			}
			c.b.UpdateHosts(c.now, ListDelta, c.hosts)
			c.pass(10)
			found, wasted := 0, 0
			for i := range asked {
				switch host := c.ask(); {
				case good[host]:
					found++
				case host != 0 && c.hang[host]:
					wasted++
				case host != 0: // a cold one, within its budget
					found++
				}
				if i%20 == 19 {
					c.pass(0.01)
				}
			}
			t.Logf("%s, %d of %d: %.1f %% found a host", name, bad, n, 100*float64(found)/asked)
			if wasted > 0 || found < asked*98/100 {
				t.Errorf("%s, %d of %d: %d of %d requests found a host, %d one that hangs", name, bad, n, found, asked, wasted)
			}
		}
	}
}

// A keyed request that may have run goes to the one host that its zone has left, however many others there are.
func TestOneHostOfAZoneAmongMany(t *testing.T) {
	s := plain()
	s.Classes = []Class{{Name: "k", Effect: Keyed, Group: GroupZone, DedupWindowSeconds: 10, LatencyTargetSeconds: 2, TotalTimeoutSeconds: 5}}
	s.MaxAttempts = 3
	c := newCrowd(s, 1000)
	for i := range c.hosts {
		c.hosts[i].Zone = 1
	}
	c.hosts[400].Zone, c.hosts[700].Zone = 2, 2
	c.b.UpdateHosts(c.now, ListFull, c.hosts)
	c.pass(3)
	for tries := 0; ; tries++ { // until one of the two is drawn
		if c.id++; tries > 20_000 {
			t.Fatal("neither host of the zone is ever drawn")
		}
		c.b.StartRequest(c.now, Request{ID: c.id, Deadline: c.now + 2})
		if first := c.last; first != c.hosts[400].ID && first != c.hosts[700].ID {
			c.b.AttemptDone(c.now, Result{ID: c.id, Host: first, Outcome: OK, DelaySeconds: 0.01, Final: true})
			continue
		}
		first := c.last
		c.b.AttemptDone(c.now, Result{ID: c.id, Host: first, Outcome: HostError, DelaySeconds: 0.01})
		if c.last == first || c.b.hosts[c.last].Zone != 2 {
			t.Fatalf("the repeat went to host %d", c.last)
		}
		return
	}
}

// A thousand hosts are replaced within ten seconds: requests go on, and nothing of the old ones is kept.
func TestAllHostsReplaced(t *testing.T) {
	c := newCrowd(plain(), 1000)
	c.pass(3)
	for step := range 100 {
		for i := range 10 {
			place := step*10 + i
			c.hosts[place].State = Gone
			c.b.UpdateHosts(c.now, ListDelta, []HostInfo{c.hosts[place], {ID: uint32(5000 + place), State: Ready, Started: c.now}})
		}
		c.pass(0.1)
		for range 5 {
			if c.ask() == 0 {
				t.Fatalf("no host in step %d", step)
			}
		}
	}
	c.pass(forgetHostSeconds + 10)
	c.b.UpdateHosts(c.now, ListDelta, nil)
	if len(c.b.hosts) != 1000 || len(c.b.sortedHosts) != 1000 {
		t.Errorf("%d hosts are remembered", len(c.b.hosts))
	}
}

// Hosts of unlike speed by up to 2.5 times: the slow ones get less, and none starves.
func TestUnlikeSpeedsAmongMany(t *testing.T) {
	c := newCrowd(plain(), 200)
	c.pass(3)
	type job struct {
		id, host uint32
		began    float64
	}
	var out []job
	for range 6000 { // 60 s of 1,000 a second, two thirds of what all can do one by one
		for range 10 {
			c.id++
			c.last = 0
			if c.b.StartRequest(c.now, Request{ID: c.id, Deadline: c.now + 2}); c.last != 0 {
				out = append(out, job{c.id, c.last, c.now})
			}
		}
		c.pass(0.01)
		kept := out[:0]
		for _, j := range out {
			if took := 0.08 * (1 + 1.5*float64(j.host%10)/9); c.now >= j.began+took {
				c.b.AttemptDone(c.now, Result{ID: j.id, Host: j.host, Outcome: OK, DelaySeconds: c.now - j.began, Final: true})
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
	t.Logf("sends by speed, the fastest first: %v; least %d", speeds, least)
	if float64(speeds[9]) > 0.8*float64(speeds[0]) || least < 60 {
		t.Errorf("sends by speed: %v; the least of a host is %d", speeds, least)
	}
}

// One heavy proxy among light ones, and all with the same index by mistake: the greatest load over the mean of hosts.
func TestSpreadOfManyProxies(t *testing.T) {
	const hosts = 200
	for _, c := range []struct {
		name    string
		proxies int
		same    bool
		heavy   float64 // part of all requests that comes from one
		most    float64
	}{{"3 alike", 3, false, 1.0 / 3, 1.6}, {"30 alike", 30, false, 1.0 / 30, 1.6}, {"300 alike", 300, false, 1.0 / 300, 1.8},
		{"one heavy of 30", 30, false, 0.9, 1.6}, {"30 with one index", 30, true, 1.0 / 30, 5.5}} {
		now, load := 0.0, map[uint32]int{}
		rng := rand.New(rand.NewPCG(1, 2))
		var all []*Balancer
		var acts []*silentActions
		for i := range c.proxies {
			s := plain()
			s.Replicas, s.Self = c.proxies, i
			if c.same {
				s.Self = 0
			}
			a := newSilent(&now)
			b := New(s, uint64(i), a)
			b.UpdateHosts(0, ListFull, fleet(hosts))
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
			acts[i].last = 0
			all[i].StartRequest(now, Request{ID: id, Deadline: now + 0.6})
			if host := acts[i].last; host != 0 {
				load[host]++
				all[i].AttemptDone(now, Result{ID: id, Host: host, Outcome: OK, DelaySeconds: 0.02, Final: true})
			}
		}
		most := 0
		for _, n := range load {
			most = max(most, n)
		}
		spread := float64(most) * hosts / total
		t.Logf("%s: the most loaded of %d hosts has %.2f times the mean, %d have something", c.name, hosts, spread, len(load))
		if spread > c.most || !c.same && len(load) < hosts {
			t.Errorf("%s: %.2f times the mean, %d hosts have something", c.name, spread, len(load))
		}
	}
}

// What a request with its outcome, a change of the list and a wake-up cost by the number of members.
func BenchmarkSize(b *testing.B) {
	for _, n := range []int{13, 200, 1000, 10_000} {
		c := newCrowd(plain(), n)
		c.pass(3)
		b.Run(fmt.Sprintf("request/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if c.now += 0.00005; c.ask() == 0 {
					b.Fatal("no host")
				}
			}
		})
		b.Run(fmt.Sprintf("list/%d", n), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				c.now += 0.01
				c.b.UpdateHosts(c.now, ListDelta, c.hosts[i%n:i%n+1])
			}
		})
		b.Run(fmt.Sprintf("wake/%d", n), func(b *testing.B) {
			for b.Loop() {
				c.pass(0.01)
			}
		})
		b.Run(fmt.Sprintf("checkpoint/%d", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				raw, _ := c.b.Checkpoint(nil, 1<<30)
				size = len(raw)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
