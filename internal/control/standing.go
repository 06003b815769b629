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
	servers, told    int // told: those whose word is young
	running, waiting int
}

// logStanding tells now and then how the model servers of each service stand, by their stage.
func (k *stageKeeper) logStanding(demands map[string]stages.Demand) {
	if time.Since(k.logged) < standingEvery {
		return
	}
	k.logged = time.Now()
	loads := k.loads()
	byStage := map[string]map[message.Stage]*standing{}
	for _, instance := range k.instances {
		if instance.Stage == "" || instance.Draining {
			continue
		}
		if byStage[instance.Service] == nil {
			byStage[instance.Service] = map[message.Stage]*standing{message.Prefill: {}, message.Decode: {}}
		}
		sum := byStage[instance.Service][instance.Stage]
		if sum == nil {
			continue
		}
		sum.servers++
		if load, ok := loads[message.LoadKey(instance.ID)]; ok {
			sum.told++
			sum.running += int(load.Running)
			sum.waiting += int(load.Waiting)
		}
	}
	for service, sums := range byStage {
		demand := demands[service]
		entry := k.control.log.WithField("service", service).WithField("read_per_s", int(demand.ReadPerS)).WithField("streams", int(demand.Streams)).
			WithField("held", int(demand.Held)).WithField("busy", int(demand.Busy.Servers)).WithField("changing", len(k.planner.Pending(k.now())))
		for stage, sum := range sums {
			entry = entry.WithField(string(stage), sum.servers).WithField(string(stage)+"_running", sum.running).WithField(string(stage)+"_waiting", sum.waiting)
		}
		entry.Info("model servers")
	}
}
