package policy

import (
	"math"
	"testing"
)

// recorder records the actions of its Balancer and checks the rules at each one.
type recorder struct {
	t           *testing.T
	settings    Settings
	balancer    *Balancer
	now         float64
	hosts       map[uint32]HostInfo
	withdrawnAt map[uint32]float64 // when a host was listed as draining or gone, by ID
	requests    map[uint32]*trackedRequest
	ids         []uint32
	probes      []probeInFlight
	wakes       []float64
	watches     int
	lastWatchAt float64 // time of the last list request
	logs        []string
	idleClosed  []uint32
}

type trackedRequest struct {
	Request
	answer   string // the final answer
	attempts []trackedAttempt
}

type trackedAttempt struct {
	host        uint32
	sentAt      float64
	isDone      bool
	outcome     Outcome
	isCancelled bool
}

type probeInFlight struct {
	host   uint32
	sentAt float64
}

func newRecorder(t *testing.T, s Settings) *recorder {
	r := &recorder{t: t, settings: s, hosts: map[uint32]HostInfo{}, withdrawnAt: map[uint32]float64{}, requests: map[uint32]*trackedRequest{}}
	r.balancer = New(s, 7, r)
	return r
}

func (a trackedAttempt) mayHaveRun() bool { return !a.isDone || !a.outcome.NeverRan() }

func (r *recorder) Send(id, host uint32) {
	r.t.Helper()
	q := r.requests[id]
	switch {
	case q == nil:
		r.t.Fatalf("%.3f: send of unknown request %d", r.now, id)
	case q.answer != "":
		r.t.Fatalf("%.3f: send of request %d after it was %s", r.now, id, q.answer)
	case r.now > q.Deadline:
		r.t.Fatalf("%.3f: send of request %d after its deadline", r.now, id)
	case len(q.attempts) >= max(r.settings.MaxAttempts, 1):
		r.t.Fatalf("%.3f: attempt %d of request %d is beyond MaxAttempts", r.now, len(q.attempts), id)
	}
	h, named := r.hosts[host]
	if !named {
		r.t.Fatalf("%.3f: send to host %d, which was never listed", r.now, host)
	}
	if at, ok := r.withdrawnAt[host]; ok && r.now > at+r.settings.DrainGraceSeconds {
		r.t.Fatalf("%.3f: send to host %d, which was withdrawn at %.3f", r.now, host, at)
	}
	for _, a := range q.attempts {
		if a.mayHaveRun() {
			r.checkRepeat(q, a, h)
		}
	}
	q.attempts = append(q.attempts, trackedAttempt{host: host, sentAt: r.now})
}

func (r *recorder) checkRepeat(q *trackedRequest, a trackedAttempt, h HostInfo) {
	r.t.Helper()
	c, first := r.settings.Classes[q.Class], r.hosts[a.host]
	if !a.isDone && !r.settings.HedgingAllowed {
		r.t.Fatalf("%.3f: hedge of request %d, which is not allowed", r.now, q.ID)
	}
	switch c.Effect {
	case Unsafe:
		r.t.Fatalf("%.3f: unsafe request %d sent again", r.now, q.ID)
	case Keyed:
		if r.now > a.sentAt+c.DedupWindowSeconds || c.Group == GroupCell && first.Cell != h.Cell ||
			c.Group == GroupZone && first.Zone != h.Zone {
			r.t.Fatalf("%.3f: keyed request %d sent again outside its window or group", r.now, q.ID)
		}
	}
}

func (r *recorder) Cancel(id uint32, n int) {
	q := r.requests[id]
	if q == nil || n >= len(q.attempts) || !r.settings.CanCancel {
		r.t.Fatalf("%.3f: cancelling attempt %d of request %d is not possible", r.now, n, id)
	}
	q.attempts[n].isCancelled = true
}

func (r *recorder) Probe(host uint32) {
	if _, named := r.hosts[host]; !named || !r.settings.ProbesEnabled {
		r.t.Fatalf("%.3f: unexpected probe of host %d", r.now, host)
	}
	r.probes = append(r.probes, probeInFlight{host, r.now})
}

func (r *recorder) CloseIdle(host uint32) { r.idleClosed = append(r.idleClosed, host) }

func (r *recorder) Refuse(id uint32, after float64) {
	r.t.Helper()
	if after < 0 || after > r.settings.MaxRetryAfterSeconds {
		r.t.Fatalf("%.3f: retry-after of %v s", r.now, after)
	}
	if q := r.requests[id]; q != nil && q.Class < len(r.settings.Classes) && q.Class >= 0 {
		c := r.settings.Classes[q.Class]
		for _, a := range q.attempts {
			if a.mayHaveRun() && c.Effect != Safe && !(c.Effect == Keyed && c.Group == GroupAll) {
				r.t.Fatalf("%.3f: request %d refused though it may have run", r.now, id)
			}
		}
	}
	r.recordAnswer(id, "refused")
}

func (r *recorder) Fail(id uint32) { r.t.Helper(); r.recordAnswer(id, "failed") }

func (r *recorder) recordAnswer(id uint32, answer string) {
	r.t.Helper()
	q := r.requests[id]
	if q == nil || q.answer != "" {
		r.t.Fatalf("%.3f: request %d %s: unknown or answered before", r.now, id, answer)
	}
	q.answer = answer
}

func (r *recorder) WakeAfter(s float64) {
	if s < 0 || math.IsNaN(s) {
		r.t.Fatalf("%.3f: invalid wake-up after %v s", r.now, s)
	}
	r.wakes = append(r.wakes, r.now+s)
}

func (r *recorder) Watch()          { r.watches, r.lastWatchAt = r.watches+1, r.now }
func (r *recorder) Log(text string) { r.logs = append(r.logs, text) }

// advance moves the clock to a time and calls Wake at each armed time on the way.
func (r *recorder) advance(to float64) {
	r.t.Helper()
	for {
		next := -1
		for i, at := range r.wakes {
			if at <= to && (next < 0 || at < r.wakes[next]) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		r.now = max(r.now, r.wakes[next])
		r.wakes = append(r.wakes[:next], r.wakes[next+1:]...)
		r.balancer.Wake(r.now)
		r.checkDeadlines()
	}
	r.now = to
	r.checkDeadlines()
}

// checkDeadlines checks that no request is past its deadline without a final answer.
func (r *recorder) checkDeadlines() {
	r.t.Helper()
	for _, id := range r.ids {
		q := r.requests[id]
		if q.answer == "" && r.now > q.Deadline+0.005 {
			r.t.Fatalf("%.3f: request %d has no final answer; its deadline was %.3f", r.now, id, q.Deadline)
		}
	}
}

func (r *recorder) updateHosts(kind ListKind, hosts ...HostInfo) {
	r.t.Helper()
	if kind == ListFull {
		for id := range r.hosts {
			r.recordState(id, Gone)
		}
	}
	for _, h := range hosts {
		r.hosts[h.ID] = h
		r.recordState(h.ID, h.State)
	}
	r.balancer.UpdateHosts(r.now, kind, hosts)
}

func (r *recorder) recordState(id uint32, state HostState) {
	_, before := r.withdrawnAt[id]
	switch {
	case state == Ready:
		delete(r.withdrawnAt, id)
	case !before && (state == Draining || !r.settings.GoneHostsUsable):
		r.withdrawnAt[id] = r.now
	}
}

func (r *recorder) request(q Request) *trackedRequest {
	r.t.Helper()
	k := &trackedRequest{Request: q}
	r.requests[q.ID] = k
	r.ids = append(r.ids, q.ID)
	r.balancer.StartRequest(r.now, q)
	return k
}

// finish ends attempt n of a request with an outcome.
func (r *recorder) finish(q *trackedRequest, n int, outcome Outcome) {
	r.t.Helper()
	a := &q.attempts[n]
	a.isDone, a.outcome = true, outcome
	if outcome == OK && q.answer == "" {
		q.answer = "served"
	}
	r.balancer.AttemptDone(r.now, Result{ID: q.ID, Attempt: n, Host: a.host, Outcome: outcome, DelaySeconds: r.now - a.sentAt,
		Final: q.answer != ""})
}

// answerProbes answers all probes in flight. load gives the reported load of each host; if it is nil, there are no reports.
func (r *recorder) answerProbes(outcome Outcome, load func(host uint32) float32) {
	r.t.Helper()
	out := r.probes
	r.probes = nil
	for _, p := range out {
		res := Result{Host: p.host, Outcome: outcome, DelaySeconds: r.now - p.sentAt}
		if load != nil {
			res.Report = Report{N: 1, Values: [4]float32{load(p.host)}}
		}
		r.balancer.ProbeDone(r.now, res)
	}
}
