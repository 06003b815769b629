package policy

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Sets of members for draws, figures of a member's window, and what clients may come back with. This file holds structure
// alone: who belongs where is decided in policy.go.

// part is a part of the members.
type part uint8

const (
	outside part = iota // nothing is drawn from it
	near
	far
	cold
)

// sets holds members in parts, in the order in which they were put there, and the mean of their sizes.
type sets struct {
	parts [cold + 1][]*host
	mean  float64
}

// measure takes the mean size of members, if sizes can be compared.
func (s *sets) measure(members []*host, known bool) {
	s.mean = 0
	for _, h := range members {
		if !known {
			return
		}
		s.mean += h.Size / float64(len(members))
	}
}

// part returns a host's size beside the mean, 1 where that is more or not known. Danger: a small host bears less than the
// others.
func (s *sets) part(h *host) float64 {
	if s.mean <= 0 || h.Size <= 0 {
		return 1
	}
	return min(h.Size/s.mean, 1)
}

func (s *sets) clear() {
	for i := range s.parts {
		s.parts[i] = s.parts[i][:0]
	}
}

func (s *sets) put(h *host, in part) {
	h.set = in
	s.parts[in] = append(s.parts[in], h)
}

// draw returns any member of a part, nil if it has none.
func (s *sets) draw(rng *rand.Rand, from int) *host {
	if n := len(s.parts[from]); n > 0 {
		return s.parts[from][rng.IntN(n)]
	}
	return nil
}

// Phi is the suspicion after a silence: -log10 of the probability that a gap is still longer.
func Phi(silence, mean, sigma float64) float64 {
	x := (silence - mean) / (sigma * math.Sqrt2)
	if x > 20 { // erfc underflows; its asymptote does not
		return (x*x + math.Log(2*x*math.Sqrt(math.Pi))) / math.Ln10
	}
	return -math.Log10(0.5 * math.Erfc(x))
}

// measure takes the mean and the sigma of the window.
func (h *host) measure() {
	var sum, sq float64
	for _, g := range h.gaps {
		sum += float64(g)
		sq += float64(g * g)
	}
	h.mean = sum / float64(len(h.gaps))
	h.sigma = math.Sqrt(max(sq/float64(len(h.gaps))-h.mean*h.mean, 0))
}

// mostUnserved bounds the requests whose clients' next tries are known. Danger: they are looked through at each repeat.
// Refusals by the thousand a second would make that the work of the whole program.
const mostUnserved = 1000

// unserved are requests that were not served, the oldest first.
type unserved []ended

// find returns the place of the one that a request marked as a repeat belongs to, -1 if there is none.
func (u unserved) find(now float64, q *Request) int {
	if !q.Repeat {
		return -1
	}
	return slices.IndexFunc(u, func(e ended) bool {
		return now < e.until && e.class == q.Class && e.tenant == q.Tenant && e.key == q.Key
	})
}

// with returns them with one more, and without those whose time is over or for which there is no room.
func (u unserved) with(e ended, now float64) unserved {
	for len(u) > 0 && (u[0].until <= now || len(u) >= mostUnserved) {
		u = u[1:]
	}
	return append(u, e)
}

// luck is a proxy's draw for a host's window, 0 to 1. Danger: draws that know nothing of each other add up on average only, and
// now and then all proxies win. One number that host and window give to all is spread by each proxy's place.
func luck(host uint32, window float64, self, replicas int) float64 {
	x := (uint64(host)<<32 ^ uint64(int64(1000*window))) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	own := float64(place(self, max(replicas, 1))) / float64(max(replicas, 1))
	return math.Mod(float64((x^x>>32)>>11)/(1<<53)+own, 1)
}

// place spreads proxies evenly over as many places, whatever part of them there is. Danger: numbers taken as they come put all
// proxies of a fleet that is smaller than it was told before the same few hosts.
func place(self, replicas int) int {
	step := int(float64(replicas) * (math.Phi - 1))
	for step = max(step, 1); gcd(step, replicas) != 1; step-- {
	}
	return self % replicas * step % replicas
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// fading is a rate of events that forgets what is long ago.
type fading struct{ rate, at float64 }

// now returns the rate, a second.
func (f *fading) now(now, memory float64) float64 { return f.rate * math.Exp(-(now-f.at)/memory) }

// add counts so many events.
func (f *fading) add(now, memory, n float64) { f.rate, f.at = f.now(now, memory)+n/memory, now }

// kinds are the times that hosts of each kind take beside what is usual, by the kind's number. Danger: a proxy with little
// traffic sees each host too rarely to know its speed, but it sees all hosts of a kind often enough.
type kinds []float64

// mostKinds bounds the kinds that are told apart.
const mostKinds = 64

// of returns a kind's time, 1 where nothing is known of it.
func (k kinds) of(kind int) float64 {
	if kind < 0 || kind >= len(k) {
		return 1
	}
	return k[kind]
}

// learn takes the time of one answer beside what is usual.
func (k *kinds) learn(kind int, x float64) {
	for kind >= len(*k) && kind < mostKinds {
		*k = append(*k, 1)
	}
	if kind >= 0 && kind < len(*k) {
		(*k)[kind] += 0.02 * (min(x, 4) - (*k)[kind])
	}
}
