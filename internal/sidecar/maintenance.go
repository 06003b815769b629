package sidecar

import (
	"math"
	"slices"

	"hazelwheel/policy"
)

// A fleet can agree among its sidecars which servers are out of use for maintenance. To the policy such a server drains, as a cordoned one
// does; what operators cordon or uncordon at a sidecar takes precedence.

// MaintainedServers is how a fleet that coordinates maintenance reads and changes the use of servers. The methods are for the event loop;
// SetUnderMaintenance may also come before Start.
type MaintainedServers interface {
	// SetUnderMaintenance takes exactly these servers out of use, in place of those before. A server that is no longer among them is used
	// again as one that has just started, unless the list says when it did.
	SetUnderMaintenance(names []string)
	// Servers returns the status of each server that is listed or out, by name.
	Servers() []ServerStatus
	// RequestTotals returns how many requests have ended since the start, and how many of these without a server's response.
	RequestTotals() (all, rejected uint64)
	// IsListStale reports whether nothing has arrived from discovery for staleListSeconds.
	IsListStale() bool
	// WarmUpSeconds returns how long a server warms up by the settings; 0: they do not say.
	WarmUpSeconds() float64
}

var _ MaintainedServers = (*Sidecar)(nil)

// ServerStatus is one server as a sidecar knows it.
type ServerStatus struct {
	Name, Zone, Type string
	Weight           float64
	IsListed         bool
	IsDraining       bool // by the list
	IsCordoned       bool // by an operator of this sidecar
	IsKeptInUse      bool // it is under maintenance, and was uncordoned here: it is in use
	IsWarmingUp      bool
	IsUnavailable    bool // avoided by the policy, or its connections break
	InFlight         int  // attempts that may be running there
	AttemptsEnded    uint64
	IsBusy           bool // by its own last report, if that is recent
}

// maintenanceTracker records what ServerStatus needs.
type maintenanceTracker struct {
	inflightField     int               // index in load reports; negative: they do not hold it
	maxAttemptSeconds float64           // for which an abandoned attempt may go on
	attemptsEnded     map[uint32]uint64 // by server
	reports           map[uint32]inflightReport
	abandonedAt       map[uint32][]float64 // times of abandoned attempts that may go on, the last ones, by server
	brokenConns       map[uint32]brokenConnCount
}

type inflightReport struct{ at, inflight float64 }

// brokenConnCount counts the attempts in a row whose connection broke before a response, with the time of the last.
type brokenConnCount struct {
	count  int
	lastAt float64
}

const (
	// reportValidSeconds is how long a server's load report counts.
	reportValidSeconds = 3.0
	// maxAbandonedAttempts bounds the abandoned attempts that are kept for a server.
	maxAbandonedAttempts = 64
	// staleListSeconds is how long discovery, which sends a heartbeat every 2 s, may be silent.
	staleListSeconds = 8.0
	// A server on which failingAfter attempts in a row broke is failing until it responds, or nothing was sent to it for failingSeconds.
	failingAfter, failingSeconds = 2, 30.0
)

// EnableMaintenance makes the sidecar record what MaintainedServers returns. It comes before Start.
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

// recordAttempt records the end of an attempt. Danger: a server does not know that an attempt was abandoned; maintenance would start under
// a request that still runs.
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

// isFailing reports whether a server's connections break before it responds. Danger: the policy takes a connection that ends at once for
// one that broke while idle, which says nothing about its server; it sends less there, and a site that breaks all connections would not
// count as lost.
func (t *maintenanceTracker) isFailing(serverID uint32, now float64) bool {
	broken := t.brokenConns[serverID]
	return broken.count >= failingAfter && now-broken.lastAt < failingSeconds
}

// openAttempts counts the abandoned attempts that may go on. A later load report without requests in flight ends all.
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

// SetUnderMaintenance implements MaintainedServers. Before Start it restores what was stored.
func (s *Sidecar) SetUnderMaintenance(names []string) {
	changed := s.endpoints.SetUnderMaintenance(names, s.net.Now())
	if len(changed) == 0 {
		return
	}
	s.log.Info("servers under maintenance changed", "servers", names)
	if s.timers.setAlarm == nil { // before Start: the policy is given the change with the first event
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
		known := endpoint.Listing()
		isOut, isKeptInUse := s.endpoints.MaintenanceState(endpoint.Name)
		status := ServerStatus{
			Name:          endpoint.Name,
			Zone:          known.Zone,
			Type:          known.Type,
			Weight:        known.Weight,
			IsListed:      known.IsListed,
			IsDraining:    known.IsDraining,
			IsCordoned:    s.endpoints.IsCordoned(endpoint.Name),
			IsKeptInUse:   isKeptInUse,
			InFlight:      inFlight[id] + tracker.openAttempts(id, now),
			AttemptsEnded: tracker.attemptsEnded[id],
		}
		if !status.IsListed && !isOut && !status.IsCordoned && status.InFlight == 0 {
			continue
		}
		status.IsWarmingUp = settings.SlowStartSeconds > 0 && known.StartedAt > 0 && now-known.StartedAt < settings.SlowStartSeconds
		status.IsUnavailable = endpoint.State == policy.Ready && (isAvoided(id) || tracker.isFailing(id, now))
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
