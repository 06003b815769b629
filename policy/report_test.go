package policy

import "testing"

func TestLeastLoadedByFreshReports(t *testing.T) {
	r := newRecorder(t, polledSettings())
	r.updateHosts(ListFull, readyHosts(1, 2, 3)...)
	for r.now < 2 {
		r.advance(r.now + 0.001)
		r.answerProbes(OK, nil)
	}
	q := r.request(Request{ID: 1, Deadline: 3})
	if len(q.attempts) != 0 {
		t.Fatal("the request was sent before the reports arrived")
	}
	r.advance(r.now + 0.001)
	r.answerProbes(OK, func(h uint32) float32 { return map[uint32]float32{1: 3, 2: 0, 3: 1}[h] })
	if len(q.attempts) != 1 || q.attempts[0].host != 2 {
		t.Errorf("attempts %+v, want one at host 2", q.attempts)
	}
}

// serveAtFixedRate simulates a proxy that gets 40 requests a second, each served in 30 ms by hosts that report the given load. It
// returns how many requests were refused and the number of probes for each request.
func serveAtFixedRate(t *testing.T, s Settings, reported float32) (refused int, probes float64) {
	const requests, serviceSeconds = 800, 0.03
	r := newRecorder(t, s)
	r.updateHosts(ListFull, readyHosts(1, 2, 3)...)
	answered, sent := 0, 0
	for id := uint32(1); id <= requests; id++ {
		r.request(Request{ID: id, Class: int(id) % len(s.Classes), Deadline: r.now + 1})
		for step := 0; step < 25; step++ {
			r.advance(r.now + 0.001)
			sent += len(r.probes)
			r.answerProbes(OK, func(uint32) float32 { return reported })
			for answered < len(r.ids) {
				q := r.requests[r.ids[answered]]
				if q.answer == "" && (len(q.attempts) == 0 || r.now < q.attempts[0].sentAt+serviceSeconds) {
					break
				}
				if answered++; q.answer != "" {
					refused++
					continue
				}
				q.answer = "served"
				q.attempts[0].isDone = true
				r.balancer.AttemptDone(r.now, Result{ID: q.ID, Host: q.attempts[0].host, DelaySeconds: r.now - q.attempts[0].sentAt, Final: true,
					Report: Report{N: 1, Values: [4]float32{reported}}})
			}
		}
	}
	return refused, float64(sent) / requests
}

// Load reports that come with answers tell how many requests a host held some time ago, from all proxies, but not how many it can
// serve at once. When they were taken for a queue delay, nine in ten requests were refused at hosts that answered well within the
// target.
func TestReportsInAnswersCauseNoRefusal(t *testing.T) {
	for _, reported := range []float32{0, 4, 40} {
		s := baseSettings()
		s.ProbesEnabled, s.ReportFields = true, []ReportField{FieldInflight}
		if refused, _ := serveAtFixedRate(t, s, reported); refused > 0 {
			t.Errorf("%d requests refused where hosts report %v requests", refused, reported)
		}
	}
}

// Where probes have a price, reports are not polled for each request: at a price of 0.01 of a request's value per probe, polls
// cost four fifths of what was served.
func TestExpensiveReportsAreNotPolled(t *testing.T) {
	s := polledSettings()
	if _, probes := serveAtFixedRate(t, s, 1); probes < 2 {
		t.Errorf("%.2f probes for each request where they cost nothing, want at least 2", probes)
	}
	s.ProbePrice = 0.01
	if refused, probes := serveAtFixedRate(t, s, 4); refused > 0 || probes > 0.2 {
		t.Errorf("%d requests refused, %.2f probes for each request", refused, probes)
	}
}
