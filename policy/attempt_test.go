package policy

import "testing"

func TestAgainOnlyAsTheClassAllows(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		how   Outcome
		after float64
		sends int
		ended string
	}{
		{"safe, error", 0, HostError, 0.02, 2, ""},
		{"safe, rejected", 0, Rejected, 0.02, 2, ""},
		{"keyed, error, in its window", 1, HostError, 0.02, 2, ""},
		{"keyed, error, after its window", 1, HostError, 0.25, 1, "failed"},
		{"unsafe, error", 2, HostError, 0.02, 1, "failed"},
		{"unsafe, reset", 2, Reset, 0.02, 1, "failed"},
		{"unsafe, cancelled", 2, Cancelled, 0.02, 1, "failed"},
		{"unsafe, no connection", 2, ConnectFailed, 0.02, 2, ""},
		{"unsafe, rejected", 2, Rejected, 0.02, 2, ""},
		{"unsafe, rejected too late to be of use", 2, Rejected, 0.9, 1, "refused"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := plain()
			s.HedgingAllowed = false
			r := newRecorder(t, s)
			r.list(ListFull, ready(1, 2, 11, 12)...)
			q := r.request(Request{ID: 1, Class: c.class, Deadline: 1})
			r.advance(c.after)
			r.finish(q, 0, c.how)
			r.advance(c.after + 0.002)
			if len(q.sends) != c.sends || q.ended != c.ended {
				t.Errorf("%d sends, %q; want %d, %q", len(q.sends), q.ended, c.sends, c.ended)
			}
		})
	}
}

func TestTimeOutAtTheDeadlineIsAnswered(t *testing.T) {
	r := newRecorder(t, plain())
	r.list(ListFull, ready(1)...)
	q := r.request(Request{ID: 1, Class: 2, Deadline: 0.6})
	r.advance(0.6)
	r.finish(q, 0, TimedOut)
	if q.ended != "failed" {
		t.Errorf("ended %q", q.ended)
	}
}

func TestLateOutcomesOfAnEndedRequest(t *testing.T) {
	r := newRecorder(t, plain())
	r.list(ListFull, ready(1, 2, 3)...)
	q := r.request(Request{ID: 1, Class: 0, Deadline: 1})
	r.advance(0.29)
	if len(q.sends) != 1 {
		t.Fatalf("copies of a request that is only slow: %+v", q.sends)
	}
	r.b.Abandoned(r.now, q.ID)
	q.ended = "abandoned"
	if !q.sends[0].cancel {
		t.Error("the attempt of a departed client was not cancelled")
	}
	r.advance(0.4)
	r.finish(q, 0, OK)
	r.b.Abandoned(r.now, q.ID)
}

// A request that brings its host down is not sent again, nor are its client's marked repeats.
func TestWhatCrashesHostsIsNotResent(t *testing.T) {
	for _, c := range []struct {
		name   string
		how    Outcome
		after  float64 // how long the attempt was out
		second Request // the next try
		sent   bool
	}{
		{"crash, its repeat", Reset, 0.1, Request{Tenant: 1, Repeat: true}, false},
		{"hang, its repeat", TimedOut, 0.5, Request{Tenant: 1, Repeat: true}, false},
		{"crash, another customer's repeat", Reset, 0.1, Request{Tenant: 0, Repeat: true}, true},
		{"crash, a new request", Reset, 0.1, Request{Tenant: 1}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := plain()
			s.Tenants = []Tenant{{Name: "a", Share: 0.5}, {Name: "b", Share: 0.5}}
			r := newRecorder(t, s)
			r.list(ListFull, fleet(4)...)
			q := r.request(Request{ID: 1, Tenant: 1, Deadline: 0.5})
			r.advance(c.after)
			r.finish(q, 0, c.how)
			if len(q.sends) != 1 || q.ended != "refused" {
				t.Fatalf("%d sends, %q", len(q.sends), q.ended)
			}
			c.second.ID, c.second.Deadline = 2, r.now+0.5
			if k := r.request(c.second); len(k.sends) > 0 != c.sent {
				t.Errorf("next try: %d sends, %q", len(k.sends), k.ended)
			}
		})
	}
}

// A quick reset on an idle connection is tried again only where its host proves to be alive.
func TestQuickResetAsksTheHostFirst(t *testing.T) {
	for _, alive := range []bool{true, false} {
		s := polled()
		s.ConnIdleTimeoutSeconds = 15
		r := newRecorder(t, s)
		r.list(ListFull, fleet(4)...)
		ask := func(id uint32, dead uint32) {
			for until := r.now + 0.02; r.now < until; {
				out := r.probes
				r.probes = nil
				for _, p := range out {
					if p.host != dead {
						r.b.ProbeDone(r.now, Result{Host: p.host, Outcome: OK, DelaySeconds: r.now - p.at, Report: Report{N: 1}})
					}
				}
				r.advance(r.now + 0.001)
			}
		}
		for id := range uint32(20) {
			q := r.request(Request{ID: 1 + id, Deadline: r.now + 0.6})
			ask(id, 0)
			if len(q.sends) > 0 {
				r.finish(q, 0, OK)
			}
			r.advance(r.now + 0.3)
		}
		q := r.request(Request{ID: 99, Deadline: r.now + 0.6})
		ask(99, 0)
		if len(q.sends) != 1 {
			t.Fatal("not sent")
		}
		q.sends[0].at = r.now
		dead := q.sends[0].host
		q.sends[0].done, q.sends[0].outcome = true, Reset
		r.b.AttemptDone(r.now, Result{ID: 99, Host: dead, Outcome: Reset, DelaySeconds: 0.001})
		if alive {
			dead = 0
		}
		ask(99, dead)
		if again := len(q.sends) == 2; again != alive {
			t.Errorf("host alive: %v, sent again: %v, %q", alive, again, q.ended)
		}
	}
}
