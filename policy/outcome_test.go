package policy

import "testing"

func TestFailedConnectionsMakeHostUnavailable(t *testing.T) {
	r := newRecorder(t, baseSettings())
	r.updateHosts(ListFull, readyHosts(1, 2)...)
	refused := 0
	for i := range uint32(7) { // attempts at the other host stay in flight, so that the failing one looks idle
		r.advance(float64(i) * 0.001)
		q := r.request(Request{ID: 1 + i, Class: 2, Deadline: 9})
		if q.attempts[0].host == 1 {
			refused++
			r.finish(q, 0, ConnectFailed)
		}
	}
	if refused != 2 {
		t.Errorf("%d sends to a host that accepts no connections, want 2", refused)
	}
	r.advance(4) // without probes the host becomes available again after some time
	for i := range uint32(30) {
		q := r.request(Request{ID: 100 + i, Deadline: r.now + 0.9})
		if len(q.attempts) > 0 && q.attempts[0].host == 1 {
			return
		}
	}
	t.Error("the host is never tried again")
}

// A host that rejects every request at once holds none and so looks idle. It is tried only now and then, and gets its full
// traffic again after its first answer.
func TestBackoffFromRejectingHost(t *testing.T) {
	r := newRecorder(t, baseSettings())
	r.updateHosts(ListFull, readyHosts(1, 2)...)
	play := func(first uint32, outcome Outcome) (tried int) {
		for i := range uint32(400) {
			r.advance(r.now + 0.01)
			q := r.request(Request{ID: first + i, Deadline: r.now + 0.9})
			for n := 0; n < len(q.attempts); n++ { // a retry follows within the call
				if q.attempts[n].host == 2 {
					r.finish(q, n, OK)
				} else {
					tried++
					r.finish(q, n, outcome)
				}
			}
		}
		return tried
	}
	if n := play(1, Rejected); n < 3 || n > 12 {
		t.Errorf("%d of 400 requests go to a host that rejects all, want a few", n)
	}
	if n := play(1000, OK); n < 80 {
		t.Errorf("%d of 400 requests go to it once it answers, want about half", n)
	}
}

// A host that fails requests of one class still gets other classes, and their answers do not end the backoff of the failed class.
func TestBackoffIsPerClass(t *testing.T) {
	for _, bad := range []Outcome{Rejected, HostError} {
		r := newRecorder(t, baseSettings())
		r.updateHosts(ListFull, readyHosts(1)...)
		id := uint32(0)
		sends := func(class int, outcome Outcome) int {
			id++
			q := r.request(Request{ID: id, Class: class, Deadline: r.now + 0.9})
			for n := 0; n < len(q.attempts); n++ {
				r.finish(q, n, outcome)
			}
			return len(q.attempts)
		}
		sends(0, bad)
		if n := sends(0, bad); n != 0 {
			t.Errorf("%v: %d sends of the class that has just failed, want none", bad, n)
		}
		if n := sends(2, OK); n != 1 {
			t.Errorf("%v: %d sends of another class, want one", bad, n)
		}
		for range 30 { // held requests are dispatched again
			r.advance(r.now + 0.1)
			for _, q := range r.requests {
				for n := range q.attempts {
					if !q.attempts[n].isDone {
						r.finish(q, n, OK)
					}
				}
			}
		}
		if n := sends(0, OK); n != 1 {
			t.Errorf("%v: the host is not tried again", bad)
		}
	}
}

// A reset that comes sooner than a request could be executed tells nothing about the host or the request.
func TestFastResetDoesNotCountAgainstHost(t *testing.T) {
	r := newRecorder(t, baseSettings())
	r.updateHosts(ListFull, readyHosts(1)...)
	for i := range uint32(3) {
		q := r.request(Request{ID: 1 + i, Deadline: r.now + 0.9})
		r.finish(q, 0, Reset)
		if len(q.attempts) != 2 {
			t.Fatalf("request %d: %d sends, answer %q; want two sends", i, len(q.attempts), q.answer)
		}
		r.finish(q, 1, OK)
	}
	if h := r.balancer.hosts[1]; h.connFailures != 0 || h.latencyRatio > 1.1 {
		t.Errorf("the host has %d failed connections and latency ratio %v", h.connFailures, h.latencyRatio)
	}
}

func TestConcurrencyLimitFollowsDelays(t *testing.T) {
	for _, c := range []struct {
		delay     float64 // of each answer, in seconds; the target is 0.3
		low, high float64
	}{{0.03, 26, 200}, {0.12, 0, 8}} {
		r := newRecorder(t, baseSettings())
		r.updateHosts(ListFull, readyHosts(1)...)
		h := r.balancer.hosts[1]
		for i := range uint32(1500) {
			r.advance(r.now + 0.001)
			for _, id := range r.ids {
				q := r.requests[id]
				if n := len(q.attempts); n > 0 && !q.attempts[n-1].isDone && r.now >= q.attempts[n-1].sentAt+c.delay {
					r.finish(q, n-1, OK)
				}
			}
			r.request(Request{ID: 1 + i, Deadline: r.now + 1})
		}
		if h.concurrencyLimit < c.low || h.concurrencyLimit > c.high {
			t.Errorf("answers after %v: limit %v", c.delay, h.concurrencyLimit)
		}
	}
}

// Where a thousand proxies share few hosts, slow answers lower the sum of their concurrency limits until the queue is short.
func TestConcurrencyLimitsOfManyProxiesAddUp(t *testing.T) {
	s := baseSettings()
	s.Replicas = 1000
	r := newRecorder(t, s)
	r.updateHosts(ListFull, manyHosts(100)...)
	for i := range uint32(400) {
		r.advance(r.now + 0.1)
		r.request(Request{ID: 1 + i, Deadline: r.now + 0.9})
		for _, id := range r.ids[max(0, len(r.ids)-12):] {
			if q := r.requests[id]; len(q.attempts) == 1 && q.answer == "" && r.now-q.attempts[0].sentAt > 0.25 {
				r.finish(q, 0, OK)
			}
		}
	}
	for _, h := range r.balancer.members {
		if all := h.concurrencyLimit * r.balancer.proxiesPerHost; all > 20 {
			t.Errorf("host %d: all proxies together may have %.0f requests in flight, want at most 20", h.ID, all)
		}
	}
}

// Requests that fail at any host don't make hosts look slow; errors of a single host do.
func TestCommonErrorsCountAgainstNoHost(t *testing.T) {
	ratio := func(bad func(id, host uint32) bool) (worst float64) {
		r := newRecorder(t, baseSettings())
		r.updateHosts(ListFull, manyHosts(6)...)
		for id := range uint32(600) {
			r.advance(r.now + 0.02)
			q := r.request(Request{ID: 1 + id, Class: 2, Deadline: r.now + 0.6})
			if len(q.attempts) == 0 {
				continue
			}
			outcome := OK
			if bad(id, q.attempts[0].host) {
				outcome = HostError
			}
			r.finish(q, 0, outcome)
			for _, h := range r.balancer.members {
				if id > 300 {
					worst = max(worst, r.balancer.slowdown(h))
				}
			}
		}
		return worst
	}
	everywhere := ratio(func(id, _ uint32) bool { return id%3 == 0 })
	one := ratio(func(_, host uint32) bool { return host == 2 })
	if everywhere > 1.4 || one < 1.15 {
		t.Errorf("worst slowdown with errors at all hosts %.2f, with errors at one host %.2f", everywhere, one)
	}
}
