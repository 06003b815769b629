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
type maintenanceTracker struct {
	inflightField     int               // of reports; below 0: they do not tell what is under way
	maxAttemptSeconds float64           // for which an attempt that was given up may go on
	attemptsEnded     map[uint32]uint64 // attempts, by box
	reports           map[uint32]inflightReport
	abandonedAt       map[uint32][]float64 // when attempts were given up that may go on, by box, the last ones
	brokenConns       map[uint32]brokenConnCount
}

type inflightReport struct{ at, inflight float64 }

// hangUps counts the attempts in a row whose link broke before an answer came, with when the last one did.
type brokenConnCount struct {
	count  int
	lastAt float64
}

const (
	// reportS is for how long a box's own report says anything.
	reportValidSeconds = 3.0
	// mostGiven bounds the attempts of a box that were given up and are remembered.
	maxAbandonedAttempts = 64
	// lateListS is for how long nothing may come of discovery, which says something every 2 s.
	staleListSeconds = 8.0
	// A box that hung up so often in a row is failing until it answers, or nothing was sent to it for so long.
	failingAfter, failingSeconds = 2, 30.0
)

// EnableMaintenance has the sidecar remember what Boxes tells. It comes before Start.
func (s *Sidecar) EnableMaintenance() {
	w := &maintenanceTracker{inflightField: slices.Index(s.cfg.Settings.Policy.ReportFields, policy.FieldInflight), attemptsEnded: map[uint32]uint64{}, reports: map[uint32]inflightReport{},
		abandonedAt: map[uint32][]float64{}, brokenConns: map[uint32]brokenConnCount{}}
	for _, c := range s.cfg.Settings.Policy.Classes {
		w.maxAttemptSeconds = max(w.maxAttemptSeconds, c.TotalTimeoutSeconds)
	}
	s.maintenance = w
}

// note takes the end of an attempt. Danger: who gave up on one does not know that its box did; work on it would begin under a
// request that still runs.
func (t *maintenanceTracker) recordAttempt(a *attempt, err *attemptError, result *policy.Result, now float64) {
	if a.request != nil {
		t.attemptsEnded[a.serverID]++
		switch {
		case err == nil:
			delete(t.brokenConns, a.serverID)
		case err.cause == connBroken:
			t.brokenConns[a.serverID] = brokenConnCount{t.brokenConns[a.serverID].count + 1, now}
		}
	}
	if r := &result.Report; err == nil && t.inflightField >= 0 && t.inflightField < r.N && !math.IsNaN(float64(r.Values[t.inflightField])) {
		t.reports[a.serverID] = inflightReport{now, float64(r.Values[t.inflightField])}
	}
	if a.request != nil && err != nil && !result.Outcome.NeverRan() && err.cause != malformed {
		abandoned := append(t.abandonedAt[a.serverID], now)
		t.abandonedAt[a.serverID] = abandoned[max(len(abandoned)-maxAbandonedAttempts, 0):]
	}
}

// fails tells whether a box hangs up on what it is sent. Danger: the decisions take a link that ends at once for one that died while idle,
// which says nothing against its box; they send less there, and a site that hangs up on everything would not count as lost.
func (t *maintenanceTracker) isFailing(host uint32, now float64) bool {
	h := t.brokenConns[host]
	return h.count >= failingAfter && now-h.lastAt < failingSeconds
}

// open counts the attempts that were given up and may go on. A report that came after tells of all.
func (t *maintenanceTracker) openAttempts(host uint32, now float64) (n int) {
	abandoned := t.abandonedAt[host]
	if len(abandoned) == 0 {
		return 0
	}
	r, isReported := t.reports[host]
	abandoned = slices.DeleteFunc(abandoned, func(at float64) bool {
		return now-at > t.maxAttemptSeconds || isReported && r.inflight <= 0 && r.at > at
	})
	if t.abandonedAt[host] = abandoned; len(abandoned) == 0 {
		delete(t.abandonedAt, host)
	}
	return len(abandoned)
}

// TakeOut may be called before Start, with what was agreed in an earlier life.
func (s *Sidecar) SetUnderMaintenance(names []string) {
	changed := s.endpoints.SetUnderMaintenance(names, s.net.Now())
	if len(changed) == 0 {
		return
	}
	s.log.Info("servers that are out by agreement", "servers", names)
	if s.timers.setAlarm == nil { // it has not begun: the decisions are told with the first event
		s.pushEndpoints(policy.ListCached, changed)
		return
	}
	s.runCallback(func() { s.pushServerChange(changed...) })
}

// MaintainedServers is for the loop.
func (s *Sidecar) Servers() (all []ServerStatus) {
	if s.maintenance == nil {
		return nil
	}
	now := s.net.Now()
	inFlight := map[uint32]int{}
	for _, r := range s.requests.byID {
		for _, a := range r.attempts {
			inFlight[a.serverID]++
		}
	}
	avoided, tracker, settings := s.balancer.Ejected(now), s.maintenance, &s.cfg.Settings.Policy
	for id := range s.endpoints.Names {
		endpoint := s.endpoints.Host(id)
		known := endpoint.Listing()
		isOut, isKeptInUse := s.endpoints.MaintenanceState(endpoint.Name)
		status := ServerStatus{Name: endpoint.Name, Zone: known.Zone, Type: known.Type, Weight: known.Weight, IsListed: known.IsListed, IsDraining: known.IsDraining, IsCordoned: s.endpoints.IsCordoned(endpoint.Name), IsKeptInUse: isKeptInUse,
			InFlight: inFlight[id] + tracker.openAttempts(id, now), AttemptsEnded: tracker.attemptsEnded[id]}
		if !status.IsListed && !isOut && !status.IsCordoned && status.InFlight == 0 {
			continue
		}
		status.IsWarmingUp = settings.SlowStartSeconds > 0 && known.StartedAt > 0 && now-known.StartedAt < settings.SlowStartSeconds
		status.IsUnavailable = endpoint.State == policy.Ready && (avoided(id) || tracker.isFailing(id, now))
		r, isReported := tracker.reports[id]
		status.IsBusy = isReported && now-r.at < reportValidSeconds && r.inflight > 0
		all = append(all, status)
	}
	slices.SortFunc(all, func(a, status ServerStatus) int {
		if a.Name < status.Name {
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
func (s *Sidecar) IsListStale() bool {
	return !s.discovery.isWatchUp() && s.net.Now()-s.discovery.listReadAt > staleListSeconds
}

// WarmUpSeconds is for the loop.
func (s *Sidecar) WarmUpSeconds() float64 { return s.cfg.Settings.Policy.SlowStartSeconds }
