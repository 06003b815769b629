package policy

import (
	"math"
	"testing"
)

// recorder carries out actions by keeping account of them, and checks the rules at each one.
type recorder struct {
	t        *testing.T
	s        Settings
	b        *Balancer
	now      float64
	hosts    map[uint32]HostInfo
	told     map[uint32]float64 // when a host was told to be draining or gone
	requests map[uint32]*tracked
	ids      []uint32
	probes   []sentProbe
	wakes    []float64
	watches  int
	askedAt  float64 // when the last of them began
	logs     []string
	closed   []uint32
}

type tracked struct {
	Request
	ended string // the final answer
	sends []tried
}

type tried struct {
	host    uint32
	at      float64
	done    bool
	outcome Outcome
	cancel  bool
}

type sentProbe struct {
	host uint32
	at   float64
}

func newRecorder(t *testing.T, s Settings) *recorder {
	r := &recorder{t: t, s: s, hosts: map[uint32]HostInfo{}, told: map[uint32]float64{}, requests: map[uint32]*tracked{}}
	r.b = New(s, 7, r)
	return r
}

func (a tried) mayHaveRun() bool { return !a.done || !a.outcome.NeverRan() }

func (r *recorder) Send(id, host uint32) {
	r.t.Helper()
	q := r.requests[id]
	switch {
	case q == nil:
		r.t.Fatalf("%.3f: send of unknown request %d", r.now, id)
	case q.ended != "":
		r.t.Fatalf("%.3f: send of request %d after it was %s", r.now, id, q.ended)
	case r.now > q.Deadline:
		r.t.Fatalf("%.3f: send of request %d after its deadline", r.now, id)
	case len(q.sends) >= max(r.s.MaxAttempts, 1):
		r.t.Fatalf("%.3f: attempt %d of request %d", r.now, len(q.sends), id)
	}
	h, named := r.hosts[host]
	if !named {
		r.t.Fatalf("%.3f: send to host %d, never named", r.now, host)
	}
	if at, told := r.told[host]; told && r.now > at+r.s.DrainGraceSeconds {
		r.t.Fatalf("%.3f: send to host %d, told to stop at %.3f", r.now, host, at)
	}
	for _, a := range q.sends {
		if a.mayHaveRun() {
			r.checkRepeat(q, a, h)
		}
	}
	q.sends = append(q.sends, tried{host: host, at: r.now})
}

func (r *recorder) checkRepeat(q *tracked, a tried, h HostInfo) {
	r.t.Helper()
	c, first := r.s.Classes[q.Class], r.hosts[a.host]
	if !a.done && !r.s.HedgingAllowed {
		r.t.Fatalf("%.3f: second copy of request %d", r.now, q.ID)
	}
	switch c.Effect {
	case Unsafe:
		r.t.Fatalf("%.3f: unsafe request %d sent again", r.now, q.ID)
	case Keyed:
		if r.now > a.at+c.DedupWindowSeconds || c.Group == GroupCell && first.Cell != h.Cell ||
			c.Group == GroupZone && first.Zone != h.Zone {
			r.t.Fatalf("%.3f: keyed request %d sent again outside its window or group", r.now, q.ID)
		}
	}
}

func (r *recorder) Cancel(id uint32, n int) {
	q := r.requests[id]
	if q == nil || n >= len(q.sends) || !r.s.CanCancel {
		r.t.Fatalf("%.3f: cancel of attempt %d of request %d", r.now, n, id)
	}
	q.sends[n].cancel = true
}

func (r *recorder) Probe(host uint32) {
	if _, named := r.hosts[host]; !named || !r.s.ProbesEnabled {
		r.t.Fatalf("%.3f: probe of host %d", r.now, host)
	}
	r.probes = append(r.probes, sentProbe{host, r.now})
}

func (r *recorder) CloseIdle(host uint32) { r.closed = append(r.closed, host) }

func (r *recorder) Refuse(id uint32, after float64) {
	r.t.Helper()
	if after < 0 || after > r.s.MaxRetryAfterSeconds {
		r.t.Fatalf("%.3f: advice of %v", r.now, after)
	}
	if q := r.requests[id]; q != nil && q.Class < len(r.s.Classes) && q.Class >= 0 {
		c := r.s.Classes[q.Class]
		for _, a := range q.sends {
			if a.mayHaveRun() && c.Effect != Safe && !(c.Effect == Keyed && c.Group == GroupAll) {
				r.t.Fatalf("%.3f: request %d refused though it may have run", r.now, id)
			}
		}
	}
	r.end(id, "refused")
}

func (r *recorder) Fail(id uint32) { r.t.Helper(); r.end(id, "failed") }

func (r *recorder) end(id uint32, how string) {
	r.t.Helper()
	q := r.requests[id]
	if q == nil || q.ended != "" {
		r.t.Fatalf("%.3f: request %d %s: unknown or ended before", r.now, id, how)
	}
	q.ended = how
}

func (r *recorder) WakeAfter(s float64) {
	if s < 0 || math.IsNaN(s) {
		r.t.Fatalf("%.3f: wake after %v", r.now, s)
	}
	r.wakes = append(r.wakes, r.now+s)
}

func (r *recorder) Watch()          { r.watches, r.askedAt = r.watches+1, r.now }
func (r *recorder) Log(text string) { r.logs = append(r.logs, text) }

// advance moves the clock to a time and delivers the wake-ups on the way.
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
		r.b.Wake(r.now)
		r.overdue()
	}
	r.now = to
	r.overdue()
}

// overdue checks that nothing without an attempt out is past its deadline.
func (r *recorder) overdue() {
	r.t.Helper()
	for _, id := range r.ids {
		q := r.requests[id]
		if q.ended == "" && r.now > q.Deadline+0.005 {
			r.t.Fatalf("%.3f: request %d has no final answer; its deadline was %.3f", r.now, id, q.Deadline)
		}
	}
}

func (r *recorder) list(kind ListKind, hosts ...HostInfo) {
	r.t.Helper()
	if kind == ListFull {
		for id := range r.hosts {
			r.tell(id, Gone)
		}
	}
	for _, h := range hosts {
		r.hosts[h.ID] = h
		r.tell(h.ID, h.State)
	}
	r.b.UpdateHosts(r.now, kind, hosts)
}

func (r *recorder) tell(id uint32, state HostState) {
	_, before := r.told[id]
	switch {
	case state == Ready:
		delete(r.told, id)
	case !before && (state == Draining || !r.s.GoneHostsUsable):
		r.told[id] = r.now
	}
}

func (r *recorder) request(q Request) *tracked {
	r.t.Helper()
	k := &tracked{Request: q}
	r.requests[q.ID] = k
	r.ids = append(r.ids, q.ID)
	r.b.StartRequest(r.now, q)
	return k
}

// finish ends attempt n of a request.
func (r *recorder) finish(q *tracked, n int, how Outcome) {
	r.t.Helper()
	a := &q.sends[n]
	a.done, a.outcome = true, how
	if how == OK && q.ended == "" {
		q.ended = "served"
	}
	r.b.AttemptDone(r.now, Result{ID: q.ID, Attempt: n, Host: a.host, Outcome: how, DelaySeconds: r.now - a.at,
		Final: q.ended != ""})
}

// answer answers all probes that are out.
func (r *recorder) answer(how Outcome, held func(host uint32) float32) {
	r.t.Helper()
	out := r.probes
	r.probes = nil
	for _, p := range out {
		res := Result{Host: p.host, Outcome: how, DelaySeconds: r.now - p.at}
		if held != nil {
			res.Report = Report{N: 1, Values: [4]float32{held(p.host)}}
		}
		r.b.ProbeDone(r.now, res)
	}
}
