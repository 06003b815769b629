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
type state struct {
	settings *nodeconfig.Settings
	start    time.Time
	begun    chan struct{} // closed once requests can be served

	mu       sync.Mutex
	table    *routeTable
	list     []message.Instance
	listed   bool // a list was told at all
	served   bool // begun is closed
	plan     message.StagePlan
	rank     int
	count    int
	pools    map[string]*placement.Pool
	planners map[string]*placement.Planner
}

func newState(settings *nodeconfig.Settings) *state {
	return &state{settings: settings, start: time.Now(), begun: make(chan struct{}), pools: map[string]*placement.Pool{}, planners: map[string]*placement.Planner{}}
}

// now is the time of the decisions: seconds on the steady clock.
func (s *state) now() float64 { return time.Since(s.start).Seconds() }

// ready tells whether requests can be served at all.
func (s *state) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table != nil && s.listed
}

// routes returns the table in force, nil before the first.
func (s *state) routes() *routeTable {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}

// take takes what the agent tells. Danger: an agent that has restarted may know an older configuration; versions never go back.
func (s *state) take(feed *message.Feed) error {
	table, instances, err := unpack(feed)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if table != nil && (s.table == nil || table.Version > s.table.version) {
		s.table = newRouteTable(table)
		s.openPools()
	}
	if feed.Plan != nil {
		s.plan = *feed.Plan
	}
	if feed.ProxyCount > 0 {
		s.rank, s.count = feed.ProxyRank, feed.ProxyCount
	}
	if feed.List != nil {
		s.list, s.listed = instances, true
	}
	now := s.now()
	for name, pool := range s.pools {
		pool.SetRank(s.rank, s.count)
		if feed.List != nil || feed.Plan != nil || table != nil {
			s.look(now, pool)
		}
		if service := s.table.services[name]; service != nil {
			pool.SetMaxConnections(service.MaxConnections)
		}
	}
	for _, pool := range s.pools {
		pool.MergeLoads(now, feed.Loads)
	}
	if s.table != nil && s.listed && !s.served {
		s.served = true
		close(s.begun)
	}
	return nil
}

// look has a pool go by the list and the plan that were told last.
func (s *state) look(now float64, pool *placement.Pool) {
	pool.UpdateInstances(now, s.list)
	pool.ApplyStagePlan(now, s.plan)
}

// revisit takes back servers that were kept out for a time that is over. Nothing new needs to be told for that.
func (s *state) revisit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, pool := range s.pools {
		pool.ExpireStageChanges(now)
		if pool.CanReadmit(now) {
			s.look(now, pool)
		}
	}
}

// unpack returns the configuration and the servers that a feed brings, nil for what it does not.
func unpack(feed *message.Feed) (table *routeconfig.Table, instances []message.Instance, err error) {
	if feed.Table != nil {
		if table, err = feed.Table.Unpack(); err != nil {
			return nil, nil, err
		}
	}
	if feed.List != nil {
		instances, err = message.UnpackInstances(feed.List.Data)
	}
	return table, instances, err
}

// openPools makes a pool for each service of the table that has none, and drops those of services that are gone.
func (s *state) openPools() {
	for name, service := range s.table.services {
		if s.pools[name] == nil {
			s.pools[name] = s.openPool(name)
			s.planners[name] = placement.NewPlanner(s.pools[name], s.settings.Bounds.PrefixCacheSeconds)
		}
		s.pools[name].Engine = engineOf(service)
	}
	for name := range s.pools {
		if s.table.services[name] == nil {
			delete(s.pools, name)
			delete(s.planners, name)
		}
	}
}

func (s *state) openPool(name string) *placement.Pool {
	bounds := s.settings.Bounds
	budget := placement.RetryBudget{WindowSeconds: bounds.BudgetWindowSeconds, Ratio: bounds.RetryBudgetRatio, Slack: bounds.BudgetSlack}
	pool := placement.NewPool(name, s.settings.Zone, budget, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	pool.SetRank(s.rank, s.count)
	pool.UpdateInstances(s.now(), s.list)
	return pool
}

func engineOf(service *routeconfig.Service) placement.Engine {
	if service.Engine == nil {
		return placement.Engine{}
	}
	return placement.Engine{IsPresent: true, KVTokenBytes: service.Engine.KVTokenBytes, KVTokens: float64(service.Engine.KVTokens),
		LinkMbps: service.Engine.LinkMbps, SwitchSeconds: service.Engine.StageSwitchSeconds}
}

// addresses returns those of all servers that are listed and not leaving.
func (s *state) addresses() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := map[string]bool{}
	for i := range s.list {
		wanted[s.list[i].Address] = true
	}
	return wanted
}

// report sums up what this proxy asks of model servers.
func (s *state) report() *message.ProxyReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &message.ProxyReport{}
	if s.table != nil {
		out.ConfigVersion = s.table.version
	}
	now := s.now()
	for name, planner := range s.planners {
		if s.pools[name].Engine.IsPresent {
			out.Demands = append(out.Demands, planner.Demand(now))
			out.Loads = append(out.Loads, s.pools[name].TakeNewLoads(now)...)
		}
	}
	return out
}

// do runs f on a service's pool and planner under the lock; f gets nil where the service is unknown.
func (s *state) do(service string, f func(now float64, pool *placement.Pool, planner *placement.Planner)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.now(), s.pools[service], s.planners[service])
}

// with runs f under the lock.
func (s *state) with(f func(now float64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.now())
}
