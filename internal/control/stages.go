package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"hazelwheel/internal/decide/election"
	"hazelwheel/internal/decide/membership"
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
	stagesRole  = "stages"
	stagesEvery = 300 * time.Millisecond
	orderWithin = 800 * time.Millisecond
	maxReply    = 64 << 10
	orderStage  = "Stage"
)

// stageKeeper orders model servers to change their stage while this process holds the role.
type stageKeeper struct {
	control  *Control
	holder   *election.Holder
	planner  *stages.Planner
	http     *http.Client
	start    time.Time
	sequence uint64
	logged   time.Time // when the model servers' standing was

	table     *routeconfig.Table // as unpacked last
	instances []message.Instance
	digest    uint64 // of instances
}

func newStageKeeper(c *Control) *stageKeeper {
	k := &stageKeeper{control: c, planner: stages.New(), start: time.Now(),
		http: &http.Client{Transport: &http.Transport{DialContext: transport.NewDialer().DialContext, MaxIdleConnsPerHost: 1}}}
	k.holder = election.New(stagesRole, c.settings.NodeID, nodeconfig.Millis(c.settings.Bounds.LeaseMs).Seconds(), k.now())
	return k
}

func (k *stageKeeper) now() float64 { return time.Since(k.start).Seconds() }

func (k *stageKeeper) run(ctx context.Context) {
	for sleep(ctx, stagesEvery) == nil {
		facts, _ := k.control.node.Facts()
		if !k.view(facts) || !k.hasEngines() {
			continue
		}
		if token := k.holder.Release(k.now()); token != 0 {
			k.control.log.WithField("token", token).Info("role given up: stages")
			k.control.node.SetReleased(token)
		}
		grant := (&register.Value{Grants: facts.Grants}).Grant(stagesRole)
		switch k.holder.Look(k.now(), grant, k.silence(grant), k.control.reachesMajority()) {
		case election.Take:
			k.take(ctx, grant)
		case election.Confirm:
			k.confirm(ctx)
		case election.Act:
			k.act(ctx)
		case election.Wait:
		}
	}
}

// view unpacks what has changed of the configuration and the list. It returns whether there are both.
func (k *stageKeeper) view(facts gossip.Facts) bool {
	if facts.Table == nil || facts.List.ReadAt.IsZero() {
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
	if k.digest != facts.List.Digest {
		instances, err := facts.List.Unpack()
		if err != nil {
			k.control.log.WithError(err).Warn("a list that can't be unpacked")
			return false
		}
		k.instances, k.digest = instances, facts.List.Digest
	}
	return true
}

func (k *stageKeeper) hasEngines() bool {
	return slices.ContainsFunc(k.instances, func(i message.Instance) bool { return i.Stage != "" })
}

// silence returns for how long the holder of a grant was not heard of. One that has given the grant up counts as never heard of.
func (k *stageKeeper) silence(grant register.Grant) float64 {
	for _, member := range k.control.node.Members() {
		if member.Kind == membership.Control && member.Name == grant.Holder+"/"+string(membership.Control) && member.Released != grant.Token {
			return member.SilentS
		}
	}
	const forever = 1e9
	return forever
}

// take tries to take the role with the token after the one that is known. Processes try in turns by rank.
func (k *stageKeeper) take(ctx context.Context, grant register.Grant) {
	facts, _ := k.control.node.Facts()
	if sleep(ctx, time.Duration(facts.Rank+1)*50*time.Millisecond) != nil {
		return
	}
	began := k.now()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	name := k.control.settings.NodeID
	value, outcome, err := k.control.proposer.propose(ctx, register.Take(stagesRole, name, grant.Token), nil)
	if err != nil || outcome != register.Chosen {
		return
	}
	k.holder.Took(began, value.Grant(stagesRole).Token)
	if facts, _ := k.control.node.Facts(); facts.Plan.Token < k.holder.Token() {
		k.planner.Adopt(k.now(), facts.Plan.Stages)
	}
	k.control.log.WithField("token", k.holder.Token()).Info("role taken: stages")
}

// confirm reads the grant at a majority.
func (k *stageKeeper) confirm(ctx context.Context) {
	began := k.now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	value, err := k.control.proposer.read(ctx)
	if err == nil {
		k.holder.Granted(began, value.Grant(stagesRole))
	}
}

// act gives the orders that the demand asks for.
func (k *stageKeeper) act(ctx context.Context) {
	demands := k.demands()
	k.logStanding(demands)
	for _, service := range k.table.Services {
		if service.Engine == nil {
			continue
		}
		view := stages.Service{Name: service.Name, SwitchS: service.Engine.SwitchS, Memory: float64(service.Engine.KVTokens)}
		for _, instance := range k.instances {
			if instance.Service == service.Name {
				view.Instances = append(view.Instances, instance)
			}
		}
		orders := k.planner.Plan(k.now(), view, demands[service.Name])
		if len(orders) == 0 {
			continue
		}
		demand := demands[service.Name]
		k.control.log.WithField("service", service.Name).WithField("read_per_s", int(demand.ReadPerS)).WithField("streams", int(demand.Streams)).
			WithField("held", int(demand.Held)).WithField("orders", len(orders)).Info("stages")
		k.publish()
		for _, order := range orders {
			k.order(ctx, order)
		}
	}
	// Danger: a plan that is never taken back keeps servers out whose order has come to nothing.
	facts, _ := k.control.node.Facts()
	if !maps.Equal(k.planner.Pending(k.now()), facts.Plan.Stages) {
		k.publish()
	}
}

// demands sums what live proxies ask.
func (k *stageKeeper) demands() map[string]stages.Demand {
	sums := map[string]stages.Demand{}
	for _, member := range k.control.node.Members() {
		if !member.Alive {
			continue
		}
		for _, demand := range member.Demands {
			sum := sums[demand.Service]
			sum.ReadPerS += demand.ReadPerS
			sum.Streams += demand.Streams
			sum.Held += demand.Held
			sum.Reports++
			sums[demand.Service] = sum
		}
	}
	k.addBusy(sums)
	return sums
}

// addBusy adds what servers that read prompts have told of themselves.
func (k *stageKeeper) addBusy(sums map[string]stages.Demand) {
	loads := k.loads()
	for _, instance := range k.instances {
		load, told := loads[message.InstanceKey(instance.ID)]
		if !told || instance.Stage != message.Prefill {
			continue
		}
		sum := sums[instance.Service]
		sum.Busy.Add(int(load.Running), int(load.Waiting))
		sums[instance.Service] = sum
	}
}

// loads returns what servers have told lately.
func (k *stageKeeper) loads() map[uint32]message.Load {
	loads := map[uint32]message.Load{}
	for _, load := range k.control.node.Loads() {
		loads[load.InstanceKey] = load
	}
	return loads
}

// publish tells all proxies which servers are changing.
func (k *stageKeeper) publish() {
	k.sequence++
	k.control.node.SetPlan(message.StagePlan{Token: k.holder.Token(), Sequence: k.sequence, Stages: k.planner.Pending(k.now())})
}

type orderBody struct {
	Op         string        `json:"Op"`
	Stage      message.Stage `json:"Stage"`
	Holder     string        `json:"Holder"`
	FenceToken uint64        `json:"FenceToken"`
}

// order sends one order. An order without an answer may have been taken and counts as such.
func (k *stageKeeper) order(ctx context.Context, order stages.Order) {
	if !k.holder.MayAct(k.now()) {
		k.planner.Refused(order)
		return
	}
	body, err := json.Marshal(orderBody{orderStage, order.Stage, k.control.settings.NodeID, k.holder.Token()})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderWithin)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Instance.Address+"/order", bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", jsonType)
	request.Header.Set("Hazelwheel-Expect-Instance", order.Instance.ID)
	// Danger: the library must not send an order again by itself.
	request.GetBody = nil
	answer, err := k.http.Do(request)
	if err != nil {
		return
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxReply))
	k.control.log.WithField("server", order.Instance.ID).WithField("stage", order.Stage).WithField("status", answer.StatusCode).Info("order")
	switch answer.StatusCode {
	case http.StatusAccepted, http.StatusOK:
	case http.StatusPreconditionFailed:
		k.holder.Lost()
		k.planner.Refused(order)
	default:
		k.planner.Refused(order)
	}
}
