package sidecar

import (
	"math"
	"slices"

	"hazelwheel/policy"
)

// A fleet can settle among its sidecars which boxes are out of use for work on them. To the decisions a box that is out drains, as
// one that is out by hand does; what operators say by hand at a sidecar goes before.

// MaintainedServers is what a fleet that settles work on boxes asks of the sidecar, and tells it. All but TakeOut before Start is for the loop.
type MaintainedServers interface {
	// SetUnderMaintenance has boxes be out of use that the fleet has agreed on: exactly these, in place of those before. A box that is not among
	// them any more is let back in as one that was started now, unless the list knows better.
	SetUnderMaintenance(names []string)
	// MaintainedServers returns what is known of each box that is listed or out, by name.
	Servers() []ServerStatus
	// RequestTotals returns how many requests have ended since the start, and how many of these got no server's answer.
	RequestTotals() (all, refused uint64)
	// IsListStale tells whether nothing has come of discovery for too long.
	IsListStale() bool
	// WarmUpSeconds is how long a box takes to warm up, by the settings, in seconds; 0: they do not say.
	WarmUpSeconds() float64
}

var _ MaintainedServers = (*Sidecar)(nil)

// ServerStatus is one box as a sidecar knows it.
type ServerStatus struct {
	Name, Zone, Type string
	Weight           float64
	IsListed         bool
	IsDraining       bool // by the list
	IsCordoned       bool // it is out by hand
	IsKeptInUse      bool // it is out by what is agreed, and was given back here by hand: it is in use
	IsWarmingUp      bool
	IsUnavailable    bool // it is not to be used by choice: silent, suspected, failing
	InFlight         int  // attempts that may be under way there
	AttemptsEnded    uint64
	IsBusy           bool // by its own last report, if that came within the last seconds
}

// boxWork is what a sidecar remembers for it.
type boxWork struct {
	field  int               // of reports; below 0: they do not tell what is under way
	mostS  float64           // for which an attempt that was given up may go on
	ended  map[uint32]uint64 // attempts, by box
	report map[uint32]boxReport
	given  map[uint32][]float64 // when attempts were given up that may go on, by box, the last ones
	hungUp map[uint32]hangUps
}

type boxReport struct{ at, inflight float64 }

// hangUps counts the attempts in a row whose link broke before an answer came, with when the last one did.
type hangUps struct {
	n  int
	at float64
}

const (
	// reportS is for how long a box's own report says anything.
	reportS = 3.0
	// mostGiven bounds the attempts of a box that were given up and are remembered.
	mostGiven = 64
	// lateListS is for how long nothing may come of discovery, which says something every 2 s.
	lateListS = 8.0
	// A box that hung up so often in a row is failing until it answers, or nothing was sent to it for so long.
	failsAfter, failsS = 2, 30.0
)

// EnableMaintenance has the sidecar remember what Boxes tells. It comes before Start.
func (s *Sidecar) EnableMaintenance() {
	w := &boxWork{field: slices.Index(s.cfg.Settings.Policy.ReportFields, policy.FieldInflight), ended: map[uint32]uint64{}, report: map[uint32]boxReport{},
		given: map[uint32][]float64{}, hungUp: map[uint32]hangUps{}}
	for _, c := range s.cfg.Settings.Policy.Classes {
		w.mostS = max(w.mostS, c.TotalTimeoutSeconds)
	}
	s.works = w
}

// note takes the end of an attempt. Danger: who gave up on one does not know that its box did; work on it would begin under a
// request that still runs.
func (w *boxWork) note(e *attempt, err *attemptError, result *policy.Result, now float64) {
	if e.request != nil {
		w.ended[e.serverID]++
		switch {
		case err == nil:
			delete(w.hungUp, e.serverID)
		case err.cause == connBroken:
			w.hungUp[e.serverID] = hangUps{w.hungUp[e.serverID].n + 1, now}
		}
	}
	if r := &result.Report; err == nil && w.field >= 0 && w.field < r.N && !math.IsNaN(float64(r.Values[w.field])) {
		w.report[e.serverID] = boxReport{now, float64(r.Values[w.field])}
	}
	if e.request != nil && err != nil && !result.Outcome.NeverRan() && err.cause != malformed {
		given := append(w.given[e.serverID], now)
		w.given[e.serverID] = given[max(len(given)-mostGiven, 0):]
	}
}

// fails tells whether a box hangs up on what it is sent. Danger: the decisions take a link that ends at once for one that died while idle,
// which says nothing against its box; they send less there, and a site that hangs up on everything would not count as lost.
func (w *boxWork) fails(host uint32, now float64) bool {
	h := w.hungUp[host]
	return h.n >= failsAfter && now-h.at < failsS
}

// open counts the attempts that were given up and may go on. A report that came after tells of all.
func (w *boxWork) open(host uint32, now float64) (n int) {
	given := w.given[host]
	if len(given) == 0 {
		return 0
	}
	r, told := w.report[host]
	given = slices.DeleteFunc(given, func(at float64) bool { return now-at > w.mostS || told && r.inflight <= 0 && r.at > at })
	if w.given[host] = given; len(given) == 0 {
		delete(w.given, host)
	}
	return len(given)
}

// TakeOut may be called before Start, with what was agreed in an earlier life.
func (s *Sidecar) SetUnderMaintenance(names []string) {
	infos := s.hosts.SetUnderMaintenance(names, s.net.Now())
	if len(infos) == 0 {
		return
	}
	s.log.Info("servers that are out by agreement", "servers", names)
	if s.timers.setAlarm == nil { // it has not begun: the decisions are told with the first event
		s.tellHosts(policy.ListCached, infos)
		return
	}
	s.runCallback(func() { s.retell(infos...) })
}

// MaintainedServers is for the loop.
func (s *Sidecar) Servers() (all []ServerStatus) {
	if s.works == nil {
		return nil
	}
	now := s.net.Now()
	out := map[uint32]int{}
	for _, r := range s.requests {
		for _, e := range r.attempts {
			out[e.serverID]++
		}
	}
	avoided, w, p := s.balancer.Ejected(now), s.works, &s.cfg.Settings.Policy
	for id := range s.hosts.Names {
		h := s.hosts.Host(id)
		k := h.Listing()
		agreed, kept := s.hosts.MaintenanceState(h.Name)
		b := ServerStatus{Name: h.Name, Zone: k.Zone, Type: k.Type, Weight: k.Weight, IsListed: k.IsListed, IsDraining: k.IsDraining, IsCordoned: s.hosts.IsCordoned(h.Name), IsKeptInUse: kept,
			InFlight: out[id] + w.open(id, now), AttemptsEnded: w.ended[id]}
		if !b.IsListed && !agreed && !b.IsCordoned && b.InFlight == 0 {
			continue
		}
		b.IsWarmingUp = p.SlowStartSeconds > 0 && k.StartedAt > 0 && now-k.StartedAt < p.SlowStartSeconds
		b.IsUnavailable = h.State == policy.Ready && (avoided(id) || w.fails(id, now))
		r, told := w.report[id]
		b.IsBusy = told && now-r.at < reportS && r.inflight > 0
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b ServerStatus) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}

// RequestTotals is for the loop.
func (s *Sidecar) RequestTotals() (all, refused uint64) {
	c := &s.counters
	return c.Served + c.Throttled + c.Failed + c.Abandoned, c.Throttled + c.Failed
}

// IsListStale is for the loop.
func (s *Sidecar) IsListStale() bool { return !s.watches() && s.net.Now()-s.listAt > lateListS }

// WarmUpSeconds is for the loop.
func (s *Sidecar) WarmUpSeconds() float64 { return s.cfg.Settings.Policy.SlowStartSeconds }
