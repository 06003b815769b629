package control

import (
	"time"

	"hazelwheel/internal/decide/stages"
	"hazelwheel/internal/message"
)

const (
	// standingEvery is the time between log lines on how the model servers stand.
	loadLogInterval = 2 * time.Second
)

// standing counts the servers of a stage and what they tell of their load.
type stageLoad struct {
	servers          int
	running, waiting int
}

// byStage is how the servers of one service stand.
type serviceLoad struct {
	prefill, decode stageLoad
}

// of returns the standing of a stage, nil for servers without a model.
func (l *serviceLoad) stage(stage message.Stage) *stageLoad {
	switch stage {
	case message.Prefill:
		return &l.prefill
	case message.Decode:
		return &l.decode
	default:
		return nil
	}
}

// logStanding tells now and then how the model servers of each service stand, by their stage.
func (s *stageController) logServiceLoads(demands map[string]stages.Demand) {
	if time.Since(s.loadsLoggedAt) < loadLogInterval {
		return
	}
	s.loadsLoggedAt = time.Now()
	for service, load := range s.serviceLoads() {
		demand := demands[service]
		s.control.log.WithField("service", service).WithField("read_per_s", int(demand.PrefillTokensPerSecond)).WithField("streams", int(demand.DecodeStreams)).
			WithField("held", int(demand.KVTokens)).WithField("busy", int(demand.PrefillLoad.BusyServers)).WithField("changing", len(s.planner.Pending(s.now()))).
			WithField("prefill", load.prefill.servers).WithField("prefill_running", load.prefill.running).WithField("prefill_waiting", load.prefill.waiting).
			WithField("decode", load.decode.servers).WithField("decode_running", load.decode.running).WithField("decode_waiting", load.decode.waiting).
			Info("model servers")
	}
}

// standings counts the servers of each service that has models, but for those that are leaving.
func (s *stageController) serviceLoads() map[string]*serviceLoad {
	loads := s.recentLoads()
	out := map[string]*serviceLoad{}
	for _, instance := range s.instances {
		if instance.Stage == "" || instance.Draining {
			continue
		}
		if out[instance.Service] == nil {
			out[instance.Service] = &serviceLoad{}
		}
		if load := out[instance.Service].stage(instance.Stage); load != nil {
			load.addServer(loads[message.InstanceKey(instance.ID)])
		}
	}
	return out
}

// add counts a server. One that has not told its load lately counts with nothing.
func (s *stageLoad) addServer(load message.Load) {
	s.servers++
	s.running += int(load.Running)
	s.waiting += int(load.Waiting)
}
