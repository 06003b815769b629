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
	k := &stageController{control: c, planner: stages.New(), startedAt: time.Now(),
		httpClient: &http.Client{Transport: &http.Transport{DialContext: transport.NewDialer().DialContext, MaxIdleConnsPerHost: 1}}}
	k.lease = election.NewCandidate(stagesRole, c.settings.NodeID, nodeconfig.FromMillis(c.settings.Bounds.LeaseMs).Seconds(), k.now())
	return k
}

func (k *stageController) now() float64 { return time.Since(k.startedAt).Seconds() }

func (k *stageController) run(ctx context.Context) {
	for sleep(ctx, stageInterval) == nil {
		facts, _ := k.control.node.State()
		if !k.refreshInputs(facts) || !k.hasModelServers() {
			continue
		}
		if token := k.lease.ReleaseIfUnconfirmed(k.now()); token != 0 {
			k.control.log.WithField("token", token).Info("role given up: stages")
			k.control.node.SetReleasedToken(token)
		}
		grant := (&register.Value{Grants: facts.Grants}).GrantFor(stagesRole)
		switch k.lease.NextAction(k.now(), grant, k.holderSilenceSeconds(grant), k.control.reachesMajority()) {
		case election.Acquire:
			k.acquireLease(ctx, grant)
		case election.Confirm:
			k.confirmLease(ctx)
		case election.Act:
			k.issueOrders(ctx)
		case election.Wait:
		}
	}
}

// view unpacks what has changed of the configuration and the list. It returns whether there are both.
func (k *stageController) refreshInputs(facts gossip.State) bool {
	if facts.Table == nil || facts.Endpoints.ReadAt.IsZero() {
		return false
	}
	if k.table == nil || k.table.Version != facts.Table.Version {
		table, err := facts.Table.Unpack()
		if err != nil {
			k.control.log.WithError(err).Warn("a configuration that can't be unpacked")
			return false
		}
		k.table = table
	}
	if k.listDigest != facts.Endpoints.Digest {
		instances, err := facts.Endpoints.Unpack()
		if err != nil {
			k.control.log.WithError(err).Warn("a list that can't be unpacked")
			return false
		}
		k.instances, k.listDigest = instances, facts.Endpoints.Digest
	}
	return true
}

func (k *stageController) hasModelServers() bool {
	return slices.ContainsFunc(k.instances, func(i message.Instance) bool { return i.Stage != "" })
}

// act gives the orders that the demand asks for.
func (k *stageController) issueOrders(ctx context.Context) {
	demands := k.totalDemands()
	k.logServiceLoads(demands)
	for _, service := range k.table.Services {
		if service.Engine == nil {
			continue
		}
		view := stages.Service{Name: service.Name, SwitchSeconds: service.Engine.StageSwitchSeconds, KVTokensPerServer: float64(service.Engine.KVTokens)}
		for _, instance := range k.instances {
			if instance.Service == service.Name {
				view.Instances = append(view.Instances, instance)
			}
		}
		orders := k.planner.PlanChanges(k.now(), view, demands[service.Name])
		if len(orders) == 0 {
			continue
		}
		demand := demands[service.Name]
		k.control.log.WithField("service", service.Name).WithField("read_per_s", int(demand.PrefillTokensPerSecond)).WithField("streams", int(demand.DecodeStreams)).
			WithField("held", int(demand.KVTokens)).WithField("orders", len(orders)).Info("stages")
		k.publishPlan()
		for _, order := range orders {
			k.sendOrder(ctx, order)
		}
	}
	// Danger: a plan that is never taken back keeps servers out whose order has come to nothing.
	facts, _ := k.control.node.State()
	if !maps.Equal(k.planner.Pending(k.now()), facts.Plan.Stages) {
		k.publishPlan()
	}
}

// demands sums what live proxies ask.
func (k *stageController) totalDemands() map[string]stages.Demand {
	totals := map[string]stages.Demand{}
	for _, member := range k.control.node.Members() {
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
	k.addPrefillLoad(totals)
	return totals
}

// addBusy adds what servers that read prompts have told of themselves.
func (k *stageController) addPrefillLoad(totals map[string]stages.Demand) {
	loads := k.recentLoads()
	for _, instance := range k.instances {
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
func (k *stageController) recentLoads() map[uint32]message.Load {
	loads := map[uint32]message.Load{}
	for _, load := range k.control.node.Loads() {
		loads[load.InstanceKey] = load
	}
	return loads
}

// publish tells all proxies which servers are changing.
func (k *stageController) publishPlan() {
	k.planSequence++
	k.control.node.SetPlan(message.StagePlan{Token: k.lease.Token(), Sequence: k.planSequence, Stages: k.planner.Pending(k.now())})
}
