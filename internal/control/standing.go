package control

import (
	"time"

	"hazelwheel/internal/decide/stages"
	"hazelwheel/internal/message"
)

const (
	// standingEvery is the time between log lines on how the model servers stand.
	standingEvery = 2 * time.Second
)

// standing counts the servers of a stage and what they tell of their load.
type standing struct {
	servers          int
	running, waiting int
}

// byStage is how the servers of one service stand.
type byStage struct {
	prefill, decode standing
}

// of returns the standing of a stage, nil for servers without a model.
func (b *byStage) of(stage message.Stage) *standing {
	switch stage {
	case message.Prefill:
		return &b.prefill
	case message.Decode:
		return &b.decode
	default:
		return nil
	}
}

// logStanding tells now and then how the model servers of each service stand, by their stage.
func (k *stageKeeper) logStanding(demands map[string]stages.Demand) {
	if time.Since(k.logged) < standingEvery {
		return
	}
	k.logged = time.Now()
	for service, sums := range k.standings() {
		demand := demands[service]
		k.control.log.WithField("service", service).WithField("read_per_s", int(demand.ReadPerS)).WithField("streams", int(demand.Streams)).
			WithField("held", int(demand.Held)).WithField("busy", int(demand.Busy.Servers)).WithField("changing", len(k.planner.Pending(k.now()))).
			WithField("prefill", sums.prefill.servers).WithField("prefill_running", sums.prefill.running).WithField("prefill_waiting", sums.prefill.waiting).
			WithField("decode", sums.decode.servers).WithField("decode_running", sums.decode.running).WithField("decode_waiting", sums.decode.waiting).
			Info("model servers")
	}
}

// standings counts the servers of each service that has models, but for those that are leaving.
func (k *stageKeeper) standings() map[string]*byStage {
	loads := k.loads()
	out := map[string]*byStage{}
	for _, instance := range k.instances {
		if instance.Stage == "" || instance.Draining {
			continue
		}
		if out[instance.Service] == nil {
			out[instance.Service] = &byStage{}
		}
		if sum := out[instance.Service].of(instance.Stage); sum != nil {
			sum.add(loads[message.InstanceKey(instance.ID)])
		}
	}
	return out
}

// add counts a server. One that has not told its load lately counts with nothing.
func (s *standing) add(load message.Load) {
	s.servers++
	s.running += int(load.Running)
	s.waiting += int(load.Waiting)
}
