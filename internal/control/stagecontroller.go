package control

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hazelwheel/internal/decide/stages"
	"hazelwheel/internal/gossip"
	"hazelwheel/internal/message"
	"hazelwheel/internal/routeconfig"
	"hazelwheel/internal/transport"
)

const (
	// stagesRole is the name of the singleton role in the register's lease grants.
	stagesRole = "stages"
	// stagesSpacing is the roleLease.spacing of the role.
	stagesSpacing = 50 * time.Millisecond
	// stageInterval is the time between two iterations of the controller's loop.
	stageInterval = 300 * time.Millisecond
)

// stageController orders model servers to change their stage while this process holds the lease of the role. Only the goroutine of
// run uses it.
type stageController struct {
	control       *Control
	lease         *roleLease
	adoptedToken  uint64 // of the lease under which the previous holder's plan was adopted
	planner       *stages.Planner
	httpClient    *http.Client
	startedAt     time.Time
	planSequence  uint64    // of the latest published plan
	loadsLoggedAt time.Time // when logServiceLoads last wrote its lines

	table      *routeconfig.Table // the configuration, unpacked
	instances  []message.Instance // the endpoint list, unpacked
	listDigest uint64             // of the endpoint list in instances
}

// newStageController returns a controller without a lease.
func newStageController(c *Control) *stageController {
	s := &stageController{control: c, planner: stages.New(), startedAt: time.Now(),
		httpClient: &http.Client{Transport: &http.Transport{DialContext: transport.NewDialer().DialContext, MaxIdleConnsPerHost: 1}}}
	s.lease = newRoleLease(c, stagesRole, stagesSpacing, true)
	return s
}

// now returns the time on the planner's clock, in seconds since the start.
func (s *stageController) now() float64 { return time.Since(s.startedAt).Seconds() }

// run advances the lease at each interval until the context ends, and issues orders while it holds the lease. It does nothing while there is
// no model server.
func (s *stageController) run(ctx context.Context) {
	for sleep(ctx, stageInterval) == nil {
		gossipState, _ := s.control.node.State()
		if !s.refreshInputs(gossipState) || !s.hasModelServers() {
			continue
		}
		if s.lease.advance(ctx, gossipState.Rank) {
			s.adoptPlan()
			s.issueOrders(ctx)
		}
	}
}

// adoptPlan adopts the plan of the previous lease holder, whose orders may still be in progress. It does so once under each lease.
func (s *stageController) adoptPlan() {
	token := s.lease.token()
	if token == s.adoptedToken {
		return
	}
	s.adoptedToken = token
	if gossipState, _ := s.control.node.State(); gossipState.Plan.Token < token {
		s.planner.AdoptPending(s.now(), gossipState.Plan.Stages)
	}
}

// refreshInputs fetches the configuration, and unpacks the endpoint list if it has changed. It returns false until both are known, and if
// one can't be unpacked.
func (s *stageController) refreshInputs(gossipState gossip.State) bool {
	if gossipState.Table == nil || gossipState.Endpoints.ReadAt.IsZero() {
		return false
	}
	if s.table = s.control.table.get(); s.table == nil {
		return false
	}
	if s.listDigest != gossipState.Endpoints.Digest {
		instances, err := gossipState.Endpoints.Unpack()
		if err != nil {
			s.control.log.WithError(err).Warn("unpacking the endpoint list failed")
			return false
		}
		s.instances, s.listDigest = instances, gossipState.Endpoints.Digest
	}
	return true
}

// hasModelServers reports whether any server has a stage.
func (s *stageController) hasModelServers() bool {
	return slices.ContainsFunc(s.instances, func(i message.Instance) bool { return i.Stage != "" })
}

// issueOrders plans the stages of each service with model servers and sends the orders. The plan is published before its orders are sent, so
// that proxies stop using a server before it changes.
func (s *stageController) issueOrders(ctx context.Context) {
	demands := s.totalDemands()
	s.logServiceLoads(demands)
	for _, service := range s.table.Services {
		if service.Engine == nil {
			continue
		}
		input := stages.Service{Name: service.Name, SwitchSeconds: service.Engine.StageSwitchSeconds, KVTokensPerServer: float64(service.Engine.KVTokens)}
		for _, instance := range s.instances {
			if instance.Service == service.Name {
				input.Instances = append(input.Instances, instance)
			}
		}
		changes := s.planner.PlanChanges(s.now(), input, demands[service.Name])
		if len(changes) == 0 {
			continue
		}
		demand := demands[service.Name]
		s.control.log.WithFields(logrus.Fields{"service": service.Name, "read_per_s": int(demand.PrefillTokensPerSecond), "streams": int(demand.DecodeStreams),
			"held": int(demand.KVTokens), "orders": len(changes)}).Info("stages")
		s.publishPlan()
		for _, change := range changes {
			s.sendOrder(ctx, change)
		}
	}
	// Danger: a plan that is never withdrawn keeps proxies from using a server whose order has failed.
	gossipState, _ := s.control.node.State()
	if !maps.Equal(s.planner.Pending(s.now()), gossipState.Plan.Stages) {
		s.publishPlan()
	}
}

// totalDemands returns, by service, the sum of the live proxies' demands together with the load of the prefill servers.
func (s *stageController) totalDemands() map[string]stages.Demand {
	totals := map[string]stages.Demand{}
	for _, member := range s.control.node.Members() {
		if !member.Alive {
			continue
		}
		for _, demand := range member.Demands {
			total := totals[demand.Service]
			total.PrefillTokensPerSecond += demand.PrefillTokensPerSecond
			total.DecodeStreams += demand.DecodeStreams
			total.KVTokens += demand.KVTokens
			total.Reports++
			totals[demand.Service] = total
		}
	}
	s.addPrefillLoad(totals)
	return totals
}

// addPrefillLoad adds the reported loads of the prefill servers.
func (s *stageController) addPrefillLoad(totals map[string]stages.Demand) {
	loads := s.recentLoads()
	for _, instance := range s.instances {
		load, reported := loads[message.InstanceKey(instance.ID)]
		if !reported || instance.Stage != message.Prefill {
			continue
		}
		total := totals[instance.Service]
		total.PrefillLoad.Add(int(load.Running), int(load.Waiting))
		totals[instance.Service] = total
	}
}

// recentLoads returns the loads that servers have reported recently, by instance key.
func (s *stageController) recentLoads() map[uint32]message.Load {
	loads := map[uint32]message.Load{}
	for _, load := range s.control.node.Loads() {
		loads[load.InstanceKey] = load
	}
	return loads
}

// publishPlan publishes which servers are changing their stage, as a plan with the next sequence number under this process's token.
func (s *stageController) publishPlan() {
	s.planSequence++
	s.control.node.SetPlan(message.StagePlan{Token: s.lease.token(), Sequence: s.planSequence, Stages: s.planner.Pending(s.now())})
}
