package policy

import "testing"

func TestLeastLoadedByFreshReports(t *testing.T) {
	r := newRecorder(t, polled())
	r.list(ListFull, ready(1, 2, 3)...)
	for r.now < 2 {
		r.advance(r.now + 0.001)
		r.answer(OK, nil)
	}
	q := r.request(Request{ID: 1, Deadline: 3})
	if len(q.sends) != 0 {
		t.Fatal("sent before the reports came")
	}
	r.advance(r.now + 0.001)
	r.answer(OK, func(h uint32) float32 { return map[uint32]float32{1: 3, 2: 0, 3: 1}[h] })
	if len(q.sends) != 1 || q.sends[0].host != 2 {
		t.Errorf("sends %+v", q.sends)
	}
}

// play has a proxy serve 40 requests a second, each in 30 ms, at hosts that report so many requests held, and returns how many it
// turned away and the probes that it sent for each request.
func play(t *testing.T, s Settings, reported float32) (refused int, probes float64) {
	const requests, servedS = 800, 0.03
	r := newRecorder(t, s)
	r.list(ListFull, ready(1, 2, 3)...)
	answered, sent := 0, 0
	for id := uint32(1); id <= requests; id++ {
		r.request(Request{ID: id, Class: int(id) % len(s.Classes), Deadline: r.now + 1})
		for step := 0; step < 25; step++ {
			r.advance(r.now + 0.001)
			sent += len(r.probes)
			r.answer(OK, func(uint32) float32 { return reported })
			for answered < len(r.ids) {
				q := r.requests[r.ids[answered]]
				if q.ended == "" && (len(q.sends) == 0 || r.now < q.sends[0].at+servedS) {
					break
				}
				if answered++; q.ended != "" {
					refused++
					continue
				}
				q.ended = "served"
				q.sends[0].done = true
				r.b.AttemptDone(r.now, Result{ID: q.ID, Host: q.sends[0].host, DelaySeconds: r.now - q.sends[0].at, Final: true,
					Report: Report{N: 1, Values: [4]float32{reported}}})
			}
		}
	}
	return refused, float64(sent) / requests
}

// Reports in answers tell how many requests a host held a while ago, from all proxies, and nothing of its cores. Danger: as time that
// a request would wait they had nine in ten refused at hosts that answer well within the aim.
func TestReportsInAnswersRefuseNothing(t *testing.T) {
	for _, reported := range []float32{0, 4, 40} {
		s := plain()
		s.ProbesEnabled, s.ReportFields = true, []ReportField{FieldInflight}
		if refused, _ := play(t, s, reported); refused > 0 {
			t.Errorf("%d requests refused where hosts report %v requests", refused, reported)
		}
	}
}

// Where probes have a price, reports are not fetched for each request. Danger: at 0.01 of a request's worth each they cost four
// fifths of what was served.
func TestPricedReportsAreNotFetchedForEachRequest(t *testing.T) {
	s := polled()
	if _, probes := play(t, s, 1); probes < 2 {
		t.Errorf("%.2f probes a request where they cost nothing", probes)
	}
	s.ProbePrice = 0.01
	if refused, probes := play(t, s, 4); refused > 0 || probes > 0.2 {
		t.Errorf("%d requests refused, %.2f probes each", refused, probes)
	}
}
