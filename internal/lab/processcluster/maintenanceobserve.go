package processcluster

import (
	"net/http"

	"hazelwheel/internal/checker"
)

// execution is the execution of an attempt at a server, in the time of events; to is 0 while it lasts.
type execution struct {
	from, to float64
	sidecar  int
}

// request is a request of a client with all its attempts.
type request struct {
	startedAt, weight, targetSeconds float64
	isServed                         bool
}

// Observe records an event of a server or a client. It is called from the play's loop.
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
		if event.Status == http.StatusOK && request != nil && event.At-request.startedAt <= request.targetSeconds {
			request.isServed = true
		}
		if event.Status == http.StatusTooManyRequests || event.Status == http.StatusServiceUnavailable {
			r.rejectionTimes = append(r.rejectionTimes, event.At)
		}
	}
}
