package control

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"hazelwheel/internal/decide/election"
	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/decide/stages"
	"hazelwheel/internal/gossip"
	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/routeconfig"
	"hazelwheel/internal/transport"
)

const (
	// stagesRole is the role of the process that orders servers to change their stage.
	stagesRole    = "stages"
	stageInterval = 300 * time.Millisecond
	orderTimeout  = 800 * time.Millisecond
	maxReplyBytes = 64 << 10
	stageOrderOp  = "Stage"
)

// stageKeeper orders model servers to change their stage while this process holds the role.
type stageController struct {
	control       *Control
	lease         *election.Candidate
	planner       *stages.Planner
	httpClient    *http.Client
	startedAt     time.Time
	planSequence  uint64
	loadsLoggedAt time.Time // when the model servers' standing was

	table      *routeconfig.Table // as unpacked last
	instances  []message.Instance
	listDigest uint64 // of instances
}

func newStageController(c *Control) *stageController {
	s := &stageController{control: c, planner: stages.New(), startedAt: time.Now(),
		httpClient: &http.Client{Transport: &http.Transport{DialContext: transport.NewDialer().DialContext, MaxIdleConnsPerHost: 1}}}
	s.lease = election.NewCandidate(stagesRole, c.settings.NodeID, nodeconfig.FromMillis(c.settings.Bounds.LeaseMs).Seconds(), s.now())
	return s
}

func (s *stageController) now() float64 { return time.Since(s.startedAt).Seconds() }

func (s *stageController) run(ctx context.Context) {
	for sleep(ctx, stageInterval) == nil {
		facts, _ := s.control.node.State()
		if !s.refreshInputs(facts) || !s.hasModelServers() {
			continue
		}
		if token := s.lease.ReleaseIfUnconfirmed(s.now()); token != 0 {
			s.control.log.WithField("token", token).Info("role given up: stages")
			s.control.node.SetReleasedToken(token)
		}
		grant := (&register.Value{Grants: facts.Grants}).GrantFor(stagesRole)
		switch s.lease.NextAction(s.now(), grant, s.holderSilenceSeconds(grant), s.control.reachesMajority()) {
		case election.Acquire:
			s.acquireLease(ctx, grant)
		case election.Confirm:
			s.confirmLease(ctx)
		case election.Act:
			s.issueOrders(ctx)
		case election.Wait:
		}
	}
}

// view unpacks what has changed of the configuration and the list. It returns whether there are both.
func (s *stageController) refreshInputs(facts gossip.State) bool {
	if facts.Table == nil || facts.Endpoints.ReadAt.IsZero() {
		return false
	}
	if s.table == nil || s.table.Version != facts.Table.Version {
		table, err := facts.Table.Unpack()
		if err != nil {
			s.control.log.WithError(err).Warn("a configuration that can't be unpacked")
			return false
		}
		s.table = table
	}
	if s.listDigest != facts.Endpoints.Digest {
		instances, err := facts.Endpoints.Unpack()
		if err != nil {
			s.control.log.WithError(err).Warn("a list that can't be unpacked")
			return false
		}
		s.instances, s.listDigest = instances, facts.Endpoints.Digest
	}
	return true
}

func (s *stageController) hasModelServers() bool {
	return slices.ContainsFunc(s.instances, func(i message.Instance) bool { return i.Stage != "" })
}

// act gives the orders that the demand asks for.
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
		orders := s.planner.PlanChanges(s.now(), input, demands[service.Name])
		if len(orders) == 0 {
			continue
		}
		demand := demands[service.Name]
		s.control.log.WithField("service", service.Name).WithField("read_per_s", int(demand.PrefillTokensPerSecond)).WithField("streams", int(demand.DecodeStreams)).
			WithField("held", int(demand.KVTokens)).WithField("orders", len(orders)).Info("stages")
		s.publishPlan()
		for _, order := range orders {
			s.sendOrder(ctx, order)
		}
	}
	// Danger: a plan that is never taken back keeps servers out whose order has come to nothing.
	facts, _ := s.control.node.State()
	if !maps.Equal(s.planner.Pending(s.now()), facts.Plan.Stages) {
		s.publishPlan()
	}
}

// demands sums what live proxies ask.
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

// addBusy adds what servers that read prompts have told of themselves.
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

// loads returns what servers have told lately.
func (s *stageController) recentLoads() map[uint32]message.Load {
	loads := map[uint32]message.Load{}
	for _, load := range s.control.node.Loads() {
		loads[load.InstanceKey] = load
	}
	return loads
}

// publish tells all proxies which servers are changing.
func (s *stageController) publishPlan() {
	s.planSequence++
	s.control.node.SetPlan(message.StagePlan{Token: s.lease.Token(), Sequence: s.planSequence, Stages: s.planner.Pending(s.now())})
}
