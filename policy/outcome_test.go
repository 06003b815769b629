package policy

import "testing"

func TestRefusedConnectionsShutAHostOut(t *testing.T) {
	r := newRecorder(t, plain())
	r.list(ListFull, ready(1, 2)...)
	refused := 0
	for i := range uint32(7) { // what goes to the other host stays out, so that the dead one looks idle
		r.advance(float64(i) * 0.001)
		q := r.request(Request{ID: 1 + i, Class: 2, Deadline: 9})
		if q.sends[0].host == 1 {
			refused++
			r.finish(q, 0, ConnectFailed)
		}
	}
	if refused != 2 {
		t.Errorf("%d sends to a host that takes no connections, want 2", refused)
	}
	r.advance(4) // without probes the suspicion has to pass by itself
	for i := range uint32(30) {
		q := r.request(Request{ID: 100 + i, Deadline: r.now + 0.9})
		if len(q.sends) > 0 && q.sends[0].host == 1 {
			return
		}
	}
	t.Error("the host is never tried again")
}

// A host that turns everything away at once never holds a request, and so looks idle. It is tried now and then, and
// trusted again at its first answer.
func TestHostThatTurnsAwayIsLeftAlone(t *testing.T) {
	r := newRecorder(t, plain())
	r.list(ListFull, ready(1, 2)...)
	play := func(first uint32, how Outcome) (tried int) {
		for i := range uint32(400) {
			r.advance(r.now + 0.01)
			q := r.request(Request{ID: first + i, Deadline: r.now + 0.9})
			for n := 0; n < len(q.sends); n++ { // a repeat follows within the call
				if q.sends[n].host == 2 {
					r.finish(q, n, OK)
				} else {
					tried++
					r.finish(q, n, how)
				}
			}
		}
		return tried
	}
	if n := play(1, Rejected); n < 3 || n > 12 {
		t.Errorf("%d of 400 requests go to a host that takes none, want a few", n)
	}
	if n := play(1000, OK); n < 80 {
		t.Errorf("%d of 400 requests go to it once it answers, want about half", n)
	}
}

// A host that fails one class is left to the others, whose answers tell nothing of that class.
func TestHostThatFailsOneClass(t *testing.T) {
	for _, bad := range []Outcome{Rejected, HostError} {
		r := newRecorder(t, plain())
		r.list(ListFull, ready(1)...)
		id := uint32(0)
		sends := func(class int, how Outcome) int {
			id++
			q := r.request(Request{ID: id, Class: class, Deadline: r.now + 0.9})
			for n := 0; n < len(q.sends); n++ {
				r.finish(q, n, how)
			}
			return len(q.sends)
		}
		sends(0, bad)
		if n := sends(0, bad); n != 0 {
			t.Errorf("%v: %d sends of the class that has just failed", bad, n)
		}
		if n := sends(2, OK); n != 1 {
			t.Errorf("%v: %d sends of another class", bad, n)
		}
		for range 30 { // what was held is tried again
			r.advance(r.now + 0.1)
			for _, q := range r.requests {
				for n := range q.sends {
					if !q.sends[n].done {
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

// A connection that breaks sooner than any work is done says nothing against its host, nor against the request.
func TestQuickResetIsOfTheConnection(t *testing.T) {
	r := newRecorder(t, plain())
	r.list(ListFull, ready(1)...)
	for i := range uint32(3) {
		q := r.request(Request{ID: 1 + i, Deadline: r.now + 0.9})
		r.finish(q, 0, Reset)
		if len(q.sends) != 2 {
			t.Fatalf("request %d: %d sends, %q", i, len(q.sends), q.ended)
		}
		r.finish(q, 1, OK)
	}
	if h := r.b.hosts[1]; h.connFailures != 0 || h.latencyRatio > 1.1 {
		t.Errorf("the host is held to have failed %d times, ratio %v", h.connFailures, h.latencyRatio)
	}
}

func TestLimitsKeepLinesShort(t *testing.T) {
	for _, c := range []struct {
		delay     float64 // of an aim of 0.3
		low, high float64
	}{{0.03, 26, 200}, {0.12, 0, 8}} {
		r := newRecorder(t, plain())
		r.list(ListFull, ready(1)...)
		h := r.b.hosts[1]
		for i := range uint32(1500) {
			r.advance(r.now + 0.001)
			for _, id := range r.ids {
				q := r.requests[id]
				if n := len(q.sends); n > 0 && !q.sends[n-1].done && r.now >= q.sends[n-1].at+c.delay {
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

// Where a thousand proxies share few hosts, bad answers bring the limits of all together to a short line.
func TestLimitsOfManyProxiesAddUp(t *testing.T) {
	s := plain()
	s.Replicas = 1000
	r := newRecorder(t, s)
	r.list(ListFull, fleet(100)...)
	for i := range uint32(400) {
		r.advance(r.now + 0.1)
		r.request(Request{ID: 1 + i, Deadline: r.now + 0.9})
		for _, id := range r.ids[max(0, len(r.ids)-12):] {
			if q := r.requests[id]; len(q.sends) == 1 && q.ended == "" && r.now-q.sends[0].at > 0.25 {
				r.finish(q, 0, OK)
			}
		}
	}
	for _, h := range r.b.members {
		if all := h.concurrencyLimit * r.b.proxiesPerHost; all > 20 {
			t.Errorf("host %d: all proxies together may have %.0f requests out", h.ID, all)
		}
	}
}

// Requests that fail at any host do not condemn hosts; errors of one host do.
func TestErrorsEverywhereAccuseNoHost(t *testing.T) {
	ratio := func(bad func(id, host uint32) bool) (worst float64) {
		r := newRecorder(t, plain())
		r.list(ListFull, fleet(6)...)
		for id := range uint32(600) {
			r.advance(r.now + 0.02)
			q := r.request(Request{ID: 1 + id, Class: 2, Deadline: r.now + 0.6})
			if len(q.sends) == 0 {
				continue
			}
			how := OK
			if bad(id, q.sends[0].host) {
				how = HostError
			}
			r.finish(q, 0, how)
			for _, h := range r.b.members {
				if id > 300 {
					worst = max(worst, r.b.slowdown(h))
				}
			}
		}
		return worst
	}
	everywhere := ratio(func(id, _ uint32) bool { return id%3 == 0 })
	one := ratio(func(_, host uint32) bool { return host == 2 })
	if everywhere > 1.4 || one < 1.15 {
		t.Errorf("worst slowness with errors everywhere %.2f, at one host %.2f", everywhere, one)
	}
}
