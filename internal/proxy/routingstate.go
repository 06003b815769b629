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

// state holds what the decisions know. All of it is guarded by one lock, which is never held during I/O.
type routingState struct {
	settings  *nodeconfig.Settings
	startedAt time.Time
	servable  chan struct{} // closed once requests can be served

	mu         sync.Mutex
	table      *routeTable
	instances  []message.Instance
	hasList    bool // a list was told at all
	isServable bool // begun is closed
	stagePlan  message.StagePlan
	rank       int
	count      int
	pools      map[string]*placement.Pool
	planners   map[string]*placement.Planner
}

func newRoutingState(settings *nodeconfig.Settings) *routingState {
	return &routingState{settings: settings, startedAt: time.Now(), servable: make(chan struct{}), pools: map[string]*placement.Pool{}, planners: map[string]*placement.Planner{}}
}

// now is the time of the decisions: seconds on the steady clock.
func (s *routingState) now() float64 { return time.Since(s.startedAt).Seconds() }

// ready tells whether requests can be served at all.
func (s *routingState) isReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table != nil && s.hasList
}

// routes returns the table in force, nil before the first.
func (s *routingState) routes() *routeTable {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}

// take takes what the agent tells. Danger: an agent that has restarted may know an older configuration; versions never go back.
func (s *routingState) applyFeed(feed *message.Feed) error {
	table, instances, err := unpackFeed(feed)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if table != nil && (s.table == nil || table.Version > s.table.version) {
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

// look has a pool go by the list and the plan that were told last.
func (s *routingState) updatePool(now float64, pool *placement.Pool) {
	pool.UpdateInstances(now, s.instances)
	pool.ApplyStagePlan(now, s.stagePlan)
}

// revisit takes back servers that were kept out for a time that is over. Nothing new needs to be told for that.
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

// openPools makes a pool for each service of the table that has none, and drops those of services that are gone.
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

func (s *routingState) newPool(name string) *placement.Pool {
	bounds := s.settings.Bounds
	budget := placement.RetryBudget{WindowSeconds: bounds.BudgetWindowSeconds, Ratio: bounds.RetryBudgetRatio, Slack: bounds.BudgetSlack}
	pool := placement.NewPool(name, s.settings.Zone, budget, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	pool.SetRank(s.rank, s.count)
	pool.UpdateInstances(s.now(), s.instances)
	return pool
}

func engineFor(service *routeconfig.Service) placement.Engine {
	if service.Engine == nil {
		return placement.Engine{}
	}
	return placement.Engine{IsPresent: true, KVTokenBytes: service.Engine.KVTokenBytes, KVTokens: float64(service.Engine.KVTokens),
		LinkMbps: service.Engine.LinkMbps, SwitchSeconds: service.Engine.StageSwitchSeconds}
}

// addresses returns those of all servers that are listed and not leaving.
func (s *routingState) listedAddresses() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := map[string]bool{}
	for i := range s.instances {
		wanted[s.instances[i].Address] = true
	}
	return wanted
}

// report sums up what this proxy asks of model servers.
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

// do runs f on a service's pool and planner under the lock; f gets nil where the service is unknown.
func (s *routingState) withService(service string, f func(now float64, pool *placement.Pool, planner *placement.Planner)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.now(), s.pools[service], s.planners[service])
}

// with runs f under the lock.
func (s *routingState) withLock(f func(now float64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.now())
}
