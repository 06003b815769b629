package policy

import "testing"

func TestRetryOnlyAsTheClassAllows(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		outcome Outcome
		after   float64
		sends   int
		ended   string
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
			s := baseSettings()
			s.HedgingAllowed = false
			r := newRecorder(t, s)
			r.updateHosts(ListFull, readyHosts(1, 2, 11, 12)...)
			q := r.request(Request{ID: 1, Class: c.class, Deadline: 1})
			r.advance(c.after)
			r.finish(q, 0, c.outcome)
			r.advance(c.after + 0.002)
			if len(q.attempts) != c.sends || q.answer != c.ended {
				t.Errorf("%d sends, answer %q; want %d, %q", len(q.attempts), q.answer, c.sends, c.ended)
			}
		})
	}
}

func TestTimeoutAtTheDeadlineIsAnswered(t *testing.T) {
	r := newRecorder(t, baseSettings())
	r.updateHosts(ListFull, readyHosts(1)...)
	q := r.request(Request{ID: 1, Class: 2, Deadline: 0.6})
	r.advance(0.6)
	r.finish(q, 0, TimedOut)
	if q.answer != "failed" {
		t.Errorf("answer %q, want failed", q.answer)
	}
}

func TestOutcomeAfterTheFinalAnswer(t *testing.T) {
	r := newRecorder(t, baseSettings())
	r.updateHosts(ListFull, readyHosts(1, 2, 3)...)
	q := r.request(Request{ID: 1, Class: 0, Deadline: 1})
	r.advance(0.29)
	if len(q.attempts) != 1 {
		t.Fatalf("a request that is only slow was sent again: %+v", q.attempts)
	}
	r.balancer.Abandoned(r.now, q.ID)
	q.answer = "abandoned"
	if !q.attempts[0].isCancelled {
		t.Error("the attempt for a client that has disconnected was not cancelled")
	}
	r.advance(0.4)
	r.finish(q, 0, OK)
	r.balancer.Abandoned(r.now, q.ID)
}

// A request that crashes its host is not retried, nor are marked retries of its client.
func TestRequestThatCrashesHostsIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome Outcome
		after   float64 // when the attempt ends
		second  Request // the next try
		sent    bool
	}{
		{"crash, its repeat", Reset, 0.1, Request{Tenant: 1, Repeat: true}, false},
		{"hang, its repeat", TimedOut, 0.5, Request{Tenant: 1, Repeat: true}, false},
		{"crash, another customer's repeat", Reset, 0.1, Request{Tenant: 0, Repeat: true}, true},
		{"crash, a new request", Reset, 0.1, Request{Tenant: 1}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := baseSettings()
			s.Tenants = []Tenant{{Name: "a", Share: 0.5}, {Name: "b", Share: 0.5}}
			r := newRecorder(t, s)
			r.updateHosts(ListFull, manyHosts(4)...)
			q := r.request(Request{ID: 1, Tenant: 1, Deadline: 0.5})
			r.advance(c.after)
			r.finish(q, 0, c.outcome)
			if len(q.attempts) != 1 || q.answer != "refused" {
				t.Fatalf("%d sends, answer %q; want one send, refused", len(q.attempts), q.answer)
			}
			c.second.ID, c.second.Deadline = 2, r.now+0.5
			if k := r.request(c.second); len(k.attempts) > 0 != c.sent {
				t.Errorf("next try: %d sends, answer %q", len(k.attempts), k.answer)
			}
		})
	}
}

// A fast reset on an idle connection is retried only after the host has answered a probe.
func TestFastResetPollsHostBeforeRetry(t *testing.T) {
	for _, alive := range []bool{true, false} {
		s := polledSettings()
		s.ConnIdleTimeoutSeconds = 15
		r := newRecorder(t, s)
		r.updateHosts(ListFull, manyHosts(4)...)
		ask := func(id uint32, dead uint32) {
			for until := r.now + 0.02; r.now < until; {
				out := r.probes
				r.probes = nil
				for _, p := range out {
					if p.host != dead {
						r.balancer.ProbeDone(r.now, Result{Host: p.host, Outcome: OK, DelaySeconds: r.now - p.sentAt, Report: Report{N: 1}})
					}
				}
				r.advance(r.now + 0.001)
			}
		}
		for id := range uint32(20) {
			q := r.request(Request{ID: 1 + id, Deadline: r.now + 0.6})
			ask(id, 0)
			if len(q.attempts) > 0 {
				r.finish(q, 0, OK)
			}
			r.advance(r.now + 0.3)
		}
		q := r.request(Request{ID: 99, Deadline: r.now + 0.6})
		ask(99, 0)
		if len(q.attempts) != 1 {
			t.Fatal("the request was not sent")
		}
		q.attempts[0].sentAt = r.now
		dead := q.attempts[0].host
		q.attempts[0].isDone, q.attempts[0].outcome = true, Reset
		r.balancer.AttemptDone(r.now, Result{ID: 99, Host: dead, Outcome: Reset, DelaySeconds: 0.001})
		if alive {
			dead = 0
		}
		ask(99, dead)
		if again := len(q.attempts) == 2; again != alive {
			t.Errorf("host alive: %v, sent again: %v, answer %q", alive, again, q.answer)
		}
	}
}
