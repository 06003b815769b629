package control

import (
	"time"

	"github.com/sirupsen/logrus"

	"hazelwheel/internal/decide/stages"
	"hazelwheel/internal/message"
)

// loadLogInterval is the time between log lines on the load of model servers.
const loadLogInterval = 2 * time.Second

// stageLoad is the load of a service's servers of one stage: their number, and the requests running and waiting there.
type stageLoad struct {
	servers          int
	running, waiting int
}

// serviceLoad is the load of a service's model servers.
type serviceLoad struct {
	prefill, decode stageLoad
}

// stage returns the load of one stage, or nil if the stage is unknown.
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

// logServiceLoads logs the load of each service's model servers, at most once in loadLogInterval.
func (s *stageController) logServiceLoads(demands map[string]stages.Demand) {
	if time.Since(s.loadsLoggedAt) < loadLogInterval {
		return
	}
	s.loadsLoggedAt = time.Now()
	for service, load := range s.serviceLoads() {
		demand := demands[service]
		s.control.log.WithFields(logrus.Fields{
			"service":         service,
			"read_per_s":      int(demand.PrefillTokensPerSecond),
			"streams":         int(demand.DecodeStreams),
			"held":            int(demand.KVTokens),
			"busy":            int(demand.PrefillLoad.BusyServers),
			"changing":        len(s.planner.Pending(s.now())),
			"prefill":         load.prefill.servers,
			"prefill_running": load.prefill.running,
			"prefill_waiting": load.prefill.waiting,
			"decode":          load.decode.servers,
			"decode_running":  load.decode.running,
			"decode_waiting":  load.decode.waiting,
		}).Info("model servers")
	}
}

// serviceLoads returns the load of each service with model servers. Draining servers are left out.
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

// addServer adds a server with its load, which is the zero Load if it has not reported one recently.
func (s *stageLoad) addServer(load message.Load) {
	s.servers++
	s.running += int(load.Running)
	s.waiting += int(load.Waiting)
}
