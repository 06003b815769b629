package processcluster

import "hazelwheel/internal/checker"

// execution is a request at a box. to is 0 while it is out.
type execution struct {
	from, to float64
	sidecar  int
}

type request struct {
	startedAt, weight, targetSeconds float64
	isServed                         bool
}

// See takes an event.
func (r *maintenanceRun) Observe(event checker.Event) {
	connection := [2]uint64{uint64(uint32(event.Server)), event.Connection}
	server := func() string { return r.day.Servers[event.Server].Name }
	endExecution := func() {
		if i, ok := r.openExecutions[connection]; ok {
			r.executions[server()][i].to = event.At
			delete(r.openExecutions, connection)
		}
	}
	switch event.Kind {
	case checker.AttemptReceived:
		endExecution()
		r.openExecutions[connection] = len(r.executions[server()])
		r.executions[server()] = append(r.executions[server()], execution{from: event.At, sidecar: int(event.Sidecar)})
	case checker.ResponseSent, checker.ConnectionClosed:
		endExecution()
	case checker.ServerStopped:
		for key, i := range r.openExecutions {
			if key[0] == connection[0] {
				r.executions[server()][i].to = event.At
				delete(r.openExecutions, key)
			}
		}
	case checker.RequestStarted:
		r.firstRequests[event.Request] = event.FirstRequest
		r.attemptTimes = append(r.attemptTimes, event.At)
		if r.requests[event.FirstRequest] == nil && int(event.Class) < len(r.day.Classes) && event.Class >= 0 && !event.Uncounted {
			class := &r.day.Classes[event.Class]
			r.requests[event.FirstRequest] = &request{startedAt: event.At, weight: class.PriorityWeight, targetSeconds: class.LatencyTargetSeconds}
		}
	case checker.ResponseReceived:
		request := r.requests[r.firstRequests[event.Request]]
		if event.Status == 200 && request != nil && event.At-request.startedAt <= request.targetSeconds {
			request.isServed = true
		}
		if event.Status == 429 || event.Status == 503 {
			r.rejectionTimes = append(r.rejectionTimes, event.At)
		}
	}
}
