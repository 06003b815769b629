package proxy

import (
	"math/rand/v2"
	"sync"
	"time"

	"hazelwheel/internal/decide/placement"
	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/routeconfig"
)

// routingState is the state from which servers are chosen: configuration, endpoint list, stage plan, and the pools and planners of package
// placement, which are not safe for concurrent use themselves. It is guarded by one lock, which is never held during I/O.
type routingState struct {
	settings  *nodeconfig.Settings
	startedAt time.Time
	servable  chan struct{} // closed once requests can be served

	mu         sync.Mutex  // guards what follows
	table      *routeTable // nil before the first configuration
	instances  []message.Instance
	hasList    bool // an endpoint list has been received
	isServable bool // the channel servable is closed
	stagePlan  message.StagePlan
	rank       int                           // of this proxy
	count      int                           // of proxies
	pools      map[string]*placement.Pool    // by service
	planners   map[string]*placement.Planner // by service
}

// newRoutingState returns a state without configuration and endpoint list.
func newRoutingState(settings *nodeconfig.Settings) *routingState {
	return &routingState{settings: settings, startedAt: time.Now(), servable: make(chan struct{}),
		pools: map[string]*placement.Pool{}, planners: map[string]*placement.Planner{}}
}

// now returns the time for pools and planners, in seconds since the start.
func (s *routingState) now() float64 { return time.Since(s.startedAt).Seconds() }

// isReady reports whether requests can be served.
func (s *routingState) isReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table != nil && s.hasList
}

// currentTable returns the table of the current configuration, or nil before the first one.
func (s *routingState) currentTable() *routeTable {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}

// limits returns the limits on clients in the current configuration, or the zero value before the first one.
func (s *routingState) limits() routeconfig.Limits {
	if table := s.currentTable(); table != nil {
		return table.limits
	}
	return routeconfig.Limits{}
}

// applyFeed applies an update from the agent. If the update can't be unpacked, it returns an error and changes nothing. Danger: an agent that has
// restarted may send an older configuration. It must not replace a newer one.
func (s *routingState) applyFeed(feed *message.Feed) error {
	table, instances, err := unpackFeed(feed)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if table != nil && (s.table == nil || message.IsNewerTable(table.Version, table.Form, s.table.version, s.table.form)) {
		s.table = newRouteTable(table)
		s.syncPools()
	}
	if feed.Plan != nil {
		s.stagePlan = *feed.Plan
	}
	if feed.ProxyCount > 0 {
		s.rank, s.count = feed.ProxyRank, feed.ProxyCount
	}
	if feed.List != nil {
		s.instances, s.hasList = instances, true
	}
	now := s.now()
	for name, pool := range s.pools {
		pool.SetRank(s.rank, s.count)
		if feed.List != nil || feed.Plan != nil || table != nil {
			s.updatePool(now, pool)
		}
		if service := s.table.services[name]; service != nil {
			pool.SetMaxConnections(service.MaxConnections)
		}
	}
	for _, pool := range s.pools {
		pool.MergeLoads(now, feed.Loads)
	}
	if s.table != nil && s.hasList && !s.isServable {
		s.isServable = true
		close(s.servable)
	}
	return nil
}

// updatePool applies the current endpoint list and stage plan to a pool. The caller holds the lock.
func (s *routingState) updatePool(now float64, pool *placement.Pool) {
	pool.UpdateInstances(now, s.instances)
	pool.ApplyStagePlan(now, s.stagePlan)
}

// refreshExpired readmits servers whose exclusion has expired, since no update from the agent announces that.
func (s *routingState) refreshExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, pool := range s.pools {
		pool.ExpireStageChanges(now)
		if pool.CanReadmit(now) {
			s.updatePool(now, pool)
		}
	}
}

// syncPools creates a pool and a planner for each service of the table that has none, and removes those of other services. The caller holds
// the lock.
func (s *routingState) syncPools() {
	for name, service := range s.table.services {
		if s.pools[name] == nil {
			s.pools[name] = s.newPool(name)
			s.planners[name] = placement.NewPlanner(s.pools[name], s.settings.Bounds.PrefixCacheSeconds)
		}
		s.pools[name].Engine = engineFor(service)
	}
	for name := range s.pools {
		if s.table.services[name] == nil {
			delete(s.pools, name)
			delete(s.planners, name)
		}
	}
}

// newPool returns a pool with the current endpoint list. The caller holds the lock.
func (s *routingState) newPool(name string) *placement.Pool {
	bounds := s.settings.Bounds
	budget := placement.RetryBudget{WindowSeconds: bounds.BudgetWindowSeconds, Ratio: bounds.RetryBudgetRatio, Slack: bounds.BudgetSlack}
	pool := placement.NewPool(name, s.settings.Zone, budget, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	pool.SetRank(s.rank, s.count)
	pool.UpdateInstances(s.now(), s.instances)
	return pool
}

// engineFor returns the parameters of a service's model servers, or the zero value if it has none.
func engineFor(service *routeconfig.Service) placement.Engine {
	if service.Engine == nil {
		return placement.Engine{}
	}
	return placement.Engine{IsPresent: true, KVTokenBytes: service.Engine.KVTokenBytes, KVTokens: float64(service.Engine.KVTokens),
		LinkMbps: service.Engine.LinkMbps, SwitchSeconds: service.Engine.StageSwitchSeconds}
}

// listedAddresses returns the addresses of the endpoint list.
func (s *routingState) listedAddresses() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := map[string]bool{}
	for i := range s.instances {
		wanted[s.instances[i].Address] = true
	}
	return wanted
}

// buildReport returns the next report to the agent. Each load is reported once.
func (s *routingState) buildReport() *message.ProxyReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := &message.ProxyReport{}
	if s.table != nil {
		report.ConfigVersion = s.table.version
	}
	now := s.now()
	for name, planner := range s.planners {
		if s.pools[name].Engine.IsPresent {
			report.Demands = append(report.Demands, planner.Demand(now))
			report.Loads = append(report.Loads, s.pools[name].TakeNewLoads(now)...)
		}
	}
	return report
}

// withService calls f under the lock with a service's pool and planner, which are nil if the service is unknown. f must not block.
func (s *routingState) withService(service string, f func(now float64, pool *placement.Pool, planner *placement.Planner)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.now(), s.pools[service], s.planners[service])
}

// withLock calls f under the lock. f must not block.
func (s *routingState) withLock(f func(now float64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.now())
}
