package sidecar

import (
	"math"
	"slices"

	"hazelwheel/policy"
)

// The sidecars of a fleet can agree which servers are under maintenance and not used. The policy sees such a server as draining, like a
// cordoned one. Servers that an operator cordons or uncordons at this sidecar take precedence.

// MaintainedServers is the interface through which a fleet coordinates the maintenance of servers. The methods must be called on the event
// loop; SetUnderMaintenance may also be called before Start.
type MaintainedServers interface {
	// SetUnderMaintenance replaces the set of servers that are not used. A server that leaves the set is treated as just started, unless
	// the endpoint list gives its start time.
	SetUnderMaintenance(names []string)
	// Servers returns the status of each server that is listed, under maintenance, cordoned or has attempts in flight, sorted by name.
	Servers() []ServerStatus
	// RequestTotals returns how many requests have ended since the start, and how many of these were throttled or failed.
	RequestTotals() (all, rejected uint64)
	// IsListStale reports whether no watch is up and nothing has arrived from discovery for staleListSeconds.
	IsListStale() bool
	// WarmUpSeconds returns the warm-up time of a server in the settings, 0 if there is none.
	WarmUpSeconds() float64
}

var _ MaintainedServers = (*Sidecar)(nil)

// ServerStatus is the state of a server as seen by this sidecar.
type ServerStatus struct {
	Name, Zone, Type string
	Weight           float64
	IsListed         bool
	IsDraining       bool // according to the list
	IsCordoned       bool // by an operator at this sidecar
	IsKeptInUse      bool // under maintenance, but in use since an operator has uncordoned it here
	IsWarmingUp      bool
	IsUnavailable    bool // avoided by the policy, or its connections keep breaking
	InFlight         int  // attempts that may be running on the server
	AttemptsEnded    uint64
	IsBusy           bool // according to its last load report, if that is recent
}

// maintenanceTracker records data about attempts and load reports for ServerStatus.
type maintenanceTracker struct {
	inflightField     int               // index of the number of requests in flight in load reports; negative if it is absent
	maxAttemptSeconds float64           // how long an abandoned attempt may keep running on its server
	attemptsEnded     map[uint32]uint64 // by server
	reports           map[uint32]inflightReport
	abandonedAt       map[uint32][]float64 // when the latest attempts that may still run were abandoned, by server
	brokenConns       map[uint32]brokenConnCount
}

type inflightReport struct{ at, inflight float64 }

// brokenConnCount counts consecutive attempts whose connection broke before the response, with the time of the last.
type brokenConnCount struct {
	count  int
	lastAt float64
}

const (
	// reportValidSeconds is how long a server's load report is valid.
	reportValidSeconds = 3.0
	// maxAbandonedAttempts bounds the abandoned attempts that are recorded for each server.
	maxAbandonedAttempts = 64
	// staleListSeconds is how long discovery may be silent before the list counts as stale. It sends a heartbeat every 2 s.
	staleListSeconds = 8.0
	// After failingAfter consecutive attempts whose connection broke, a server counts as failing until it responds, or until
	// failingSeconds have passed since the last of them.
	failingAfter, failingSeconds = 2, 30.0
)

// EnableMaintenance makes the sidecar record what Servers returns. It must be called before Start.
func (s *Sidecar) EnableMaintenance() {
	t := &maintenanceTracker{
		inflightField: slices.Index(s.cfg.Settings.Policy.ReportFields, policy.FieldInflight),
		attemptsEnded: map[uint32]uint64{},
		reports:       map[uint32]inflightReport{},
		abandonedAt:   map[uint32][]float64{},
		brokenConns:   map[uint32]brokenConnCount{},
	}
	for _, c := range s.cfg.Settings.Policy.Classes {
		t.maxAttemptSeconds = max(t.maxAttemptSeconds, c.TotalTimeoutSeconds)
	}
	s.maintenance = t
}

// recordAttempt records the end of an attempt. A server does not know that an attempt was abandoned and may still run it; if it did not
// count as in flight, maintenance would start while the request runs.
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

// isFailing reports whether a server's connections keep breaking before it responds. The policy assumes that a connection which breaks at
// once was broken while idle, which says nothing about the server. It only sends less to such a server, so without this check a site that
// breaks all connections would not count as lost.
func (t *maintenanceTracker) isFailing(serverID uint32, now float64) bool {
	broken := t.brokenConns[serverID]
	return broken.count >= failingAfter && now-broken.lastAt < failingSeconds
}

// openAttempts counts the abandoned attempts that may still run on a server. A later load report with no requests in flight clears them.
func (t *maintenanceTracker) openAttempts(serverID uint32, now float64) (n int) {
	abandoned := t.abandonedAt[serverID]
	if len(abandoned) == 0 {
		return 0
	}
	r, isReported := t.reports[serverID]
	abandoned = slices.DeleteFunc(abandoned, func(at float64) bool {
		return now-at > t.maxAttemptSeconds || isReported && r.inflight <= 0 && r.at > at
	})
	if t.abandonedAt[serverID] = abandoned; len(abandoned) == 0 {
		delete(t.abandonedAt, serverID)
	}
	return len(abandoned)
}

// SetUnderMaintenance implements MaintainedServers. Before Start it is called to restore the stored set.
func (s *Sidecar) SetUnderMaintenance(names []string) {
	changed := s.endpoints.SetUnderMaintenance(names, s.net.Now())
	if len(changed) == 0 {
		return
	}
	s.log.Info("servers under maintenance changed", "servers", names)
	if s.timers.setAlarm == nil { // before Start: the policy receives the change with the first callback
		s.pushEndpoints(policy.ListCached, changed)
		return
	}
	s.runCallback(func() { s.pushServerChange(changed...) })
}

// Servers implements MaintainedServers.
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
	isAvoided, tracker, settings := s.balancer.Ejected(now), s.maintenance, &s.cfg.Settings.Policy
	for id := range s.endpoints.Names {
		endpoint := s.endpoints.Host(id)
		listing := endpoint.Listing()
		isOut, isKeptInUse := s.endpoints.MaintenanceState(endpoint.Name)
		status := ServerStatus{
			Name:          endpoint.Name,
			Zone:          listing.Zone,
			Type:          listing.Type,
			Weight:        listing.Weight,
			IsListed:      listing.IsListed,
			IsDraining:    listing.IsDraining,
			IsCordoned:    s.endpoints.IsCordoned(endpoint.Name),
			IsKeptInUse:   isKeptInUse,
			InFlight:      inFlight[id] + tracker.openAttempts(id, now),
			AttemptsEnded: tracker.attemptsEnded[id],
		}
		if !status.IsListed && !isOut && !status.IsCordoned && status.InFlight == 0 {
			continue
		}
		status.IsWarmingUp = settings.SlowStartSeconds > 0 && listing.StartedAt > 0 && now-listing.StartedAt < settings.SlowStartSeconds
		status.IsUnavailable = endpoint.State == policy.Ready && (isAvoided(id) || tracker.isFailing(id, now))
		r, isReported := tracker.reports[id]
		status.IsBusy = isReported && now-r.at < reportValidSeconds && r.inflight > 0
		all = append(all, status)
	}
	slices.SortFunc(all, func(a, b ServerStatus) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}

// RequestTotals implements MaintainedServers.
func (s *Sidecar) RequestTotals() (all, rejected uint64) {
	c := &s.counters
	return c.Served + c.Throttled + c.Failed + c.Abandoned, c.Throttled + c.Failed
}

// IsListStale implements MaintainedServers.
func (s *Sidecar) IsListStale() bool {
	return !s.discovery.isWatchUp() && s.net.Now()-s.discovery.listReadAt > staleListSeconds
}

// WarmUpSeconds implements MaintainedServers.
func (s *Sidecar) WarmUpSeconds() float64 { return s.cfg.Settings.Policy.SlowStartSeconds }
