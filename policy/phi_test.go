package policy

import (
	"math"
	"testing"
)

func TestPhiKnownValues(t *testing.T) {
	for _, c := range []struct{ silence, want float64 }{
		{1, 0.30103}, {1.1, 0.79955}, {1.3, 2.86970}, {1.5612, 8.0}, {3, 88.5601},
	} {
		if got := Phi(c.silence, 1, 0.1); math.Abs(got-c.want) > 0.002*c.want+0.001 {
			t.Errorf("phi after %v: %v, want %v", c.silence, got, c.want)
		}
	}
	last := 0.0
	for d := 1.0; d < 100; d += 0.05 {
		phi := Phi(d, 1, 0.1)
		if phi <= last || math.IsInf(phi, 0) {
			t.Fatalf("phi after a silence of %v is %v, not above the previous %v", d, phi, last)
		}
		last = phi
	}
}

func TestGapOfAnOutageIsNotLearned(t *testing.T) {
	s := baseSettings()
	s.ProbesEnabled = true
	r := newRecorder(t, s)
	r.balancer.sendRate.rate = 1e6 // high enough to keep the cadence at its shortest
	r.updateHosts(ListFull, readyHosts(1, 2, 3)...)
	run := func(until float64, silent uint32) {
		for r.now < until {
			r.advance(r.now + 0.01)
			out := r.probes
			r.probes = nil
			for _, p := range out {
				if p.host != silent {
					r.balancer.ProbeDone(r.now, Result{Host: p.host, Outcome: OK, DelaySeconds: r.now - p.sentAt})
				}
			}
		}
	}
	run(20, 0)
	h := r.balancer.hosts[1]
	r.balancer.now = r.now
	if phi := r.balancer.silencePhi(h); phi > phiSuspect {
		t.Fatalf("phi of a healthy host is %v", phi)
	}
	run(28, 1)
	r.balancer.now = r.now
	if phi := r.balancer.silencePhi(h); phi < phiUnavailable {
		t.Fatalf("phi after 8 s of silence is %v", phi)
	}
	for i := range uint32(20) {
		q := r.request(Request{ID: 100 + i, Deadline: r.now + 0.2})
		if len(q.attempts) > 0 && q.attempts[0].host == 1 {
			t.Fatal("sent to an unavailable host")
		}
		r.finish(q, 0, OK)
	}
	run(31, 0)
	if r.balancer.capacityFraction(h) > 0.6 {
		t.Errorf("the host does not warm up after the outage: capacity fraction %v", r.balancer.capacityFraction(h))
	}
	run(34, 1)
	r.balancer.now = r.now
	if phi := r.balancer.silencePhi(h); phi < phiUnavailable {
		t.Errorf("the second outage is detected late: phi %v", phi)
	}
}

// Silence while the host program did not run is no evidence against hosts; silence beyond that is.
func TestStallDoesNotCountAsSilence(t *testing.T) {
	s := baseSettings()
	s.ProbesEnabled = true
	r := newRecorder(t, s)
	r.balancer.sendRate.rate = 1e6
	r.updateHosts(ListFull, readyHosts(1, 2, 3)...)
	for r.now < 20 {
		r.advance(r.now + 0.01)
		r.answerProbes(OK, nil)
	}
	for _, stallSeconds := range []float64{10, 0} {
		r.now += 10
		if stallSeconds > 0 {
			r.balancer.ObserveStall(r.now, stallSeconds)
		}
		for _, h := range r.balancer.members {
			if r.balancer.now = r.now; (r.balancer.silencePhi(h) < phiSuspect) != (stallSeconds > 0) {
				t.Fatalf("phi %v after 10 s of which %v s were a stall", r.balancer.silencePhi(h), stallSeconds)
			}
		}
	}
}

func TestTimeToFirstAnswerIsNotAGap(t *testing.T) {
	s := baseSettings()
	s.ProbesEnabled = true
	r := newRecorder(t, s)
	r.updateHosts(ListFull, readyHosts(1, 2, 3)...)
	for r.now < 5 {
		r.advance(r.now + 0.01)
		r.answerProbes(OK, nil)
		for _, h := range r.balancer.members {
			r.balancer.now = r.now
			if phi := r.balancer.silencePhi(h); phi > phiSuspect {
				t.Fatalf("%.2f s: phi %v of a healthy host", r.now, phi)
			}
		}
	}
}

func TestLeastSuspectedHostGetsTrafficWhenAllAreSilent(t *testing.T) {
	s := baseSettings()
	s.ProbesEnabled = true
	r := newRecorder(t, s)
	r.updateHosts(ListFull, readyHosts(1, 2, 3)...)
	r.advance(20)
	if q := r.request(Request{ID: 1, Deadline: 21}); len(q.attempts) != 1 {
		t.Errorf("request not sent though hosts are listed: answer %q", q.answer)
	}
}

func TestSuspectAndUnavailableLevels(t *testing.T) {
	b := New(baseSettings(), 3, newRecorder(t, baseSettings()))
	for _, c := range []struct {
		phi       float64
		low, high int
	}{{2.9, 1000, 1000}, {5, 420, 580}, {8.1, 0, 0}} {
		n := 0
		for range 1000 {
			if b.isCandidate(&host{phi: c.phi}) {
				n++
			}
		}
		if n < c.low || n > c.high {
			t.Errorf("phi %v: candidate in %d of 1000 picks", c.phi, n)
		}
	}
}

func TestSigmaIsClamped(t *testing.T) {
	for name, c := range map[string]struct {
		gaps  [2]float32
		sigma float64
	}{"steady": {[2]float32{1, 1}, 0.1}, "irregular": {[2]float32{0.2, 1.8}, 0.2}, "between": {[2]float32{0.85, 1.15}, 0.15}} {
		b := New(baseSettings(), 3, newRecorder(t, baseSettings()))
		b.now = 1.4
		h := &host{gaps: c.gaps[:], currentCadence: 1}
		h.updateGapStats()
		if got, want := b.silencePhi(h), Phi(1.4, 1, c.sigma); math.Abs(got-want) > 1e-6 {
			t.Errorf("%s gaps: phi %v, want %v", name, got, want)
		}
	}
}

// A change of the probe cadence does not count as silence: phi of a healthy host stays low.
func TestCadenceChangeRaisesNoSuspicion(t *testing.T) {
	s := baseSettings()
	s.ProbesEnabled, s.Replicas = true, 1000
	r := newRecorder(t, s)
	r.updateHosts(ListFull, manyHosts(160)...)
	id := uint32(0)
	for r.now < 120 {
		r.advance(r.now + 0.005)
		r.answerProbes(OK, nil)
		if int(r.now/20)%2 == 1 && int(r.now*200)%2 == 0 {
			id++
			if q := r.request(Request{ID: id, Deadline: r.now + 0.6}); len(q.attempts) > 0 {
				r.finish(q, 0, OK)
			}
		}
		for _, h := range r.balancer.members {
			r.balancer.now = r.now
			if phi := r.balancer.silencePhi(h); phi > phiUnavailable {
				t.Fatalf("%.2f s: phi %.1f of a healthy host", r.now, phi)
			}
		}
	}
}
