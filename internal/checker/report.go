package checker

// ClassService is the service that the clients received for a class. A request here is an operation: a client's retries
// belong to its first request. The JSON form of this type, Costs and Report is part of printed results and keeps its keys.
type ClassService struct {
	Name         string  `json:"Name"`
	Requests     int     `json:"Asked"`
	InTarget     int     `json:"InAim"`    // served within the latency target, which counts from the first request
	Late         int     `json:"Late"`     // served after it
	Unserved     int     `json:"Unserved"` // served by no request
	Rejected     int     `json:"Refused"`  // requests, including retries, that were rejected
	Failed       int     `json:"Failed"`   // requests, including retries, that failed or timed out
	Weight       float64 `json:"Worth"`    // sum of the priority weights
	EarnedWeight float64 `json:"Earned"`   // of what was served; late answers earn a fraction
	Service      float64 `json:"Service"`  // fraction served within the latency target
}

// Costs are what the service cost.
type Costs struct {
	Attempts            int     `json:"Executions"`
	CrossZoneAttempts   int     `json:"CrossZone"` // attempts in another zone than the sidecar's
	HealthChecks        int     `json:"Probes"`
	Connections         int     `json:"Connections"` // opened to servers
	SlowRejectionWeight float64 `json:"SlowRefusal"` // deducted for requests without an attempt that ended after half their time
	HostileClients      int     `json:"Hostile"`
	HostileUnclosed     int     `json:"HostileOwed"` // hostile clients that got neither an error nor a close in time
}

// Report is the service of a day and its costs.
type Report struct {
	Classes []ClassService `json:"Classes"`
	Service float64        `json:"Service"` // over all classes: weight served within the latency target over weight requested
	Costs   Costs          `json:"Prices"`
}

// Report returns the service and its costs so far.
func (c *Checker) Report() Report {
	report := Report{Costs: c.costs}
	inTarget, requested := 0.0, 0.0
	for i, service := range c.services {
		service.Unserved = service.Requests - service.InTarget - service.Late
		if service.Requests > 0 {
			service.Service = float64(service.InTarget) / float64(service.Requests)
		}
		inTarget += float64(service.InTarget) * c.rules.Classes[i].PriorityWeight
		requested += service.Weight
		report.Classes = append(report.Classes, service)
	}
	if requested > 0 {
		report.Service = inTarget / requested
	}
	for _, client := range c.hostileClients { // a count: the order does not matter
		if !client.isSettled && client.deadline < c.now {
			report.Costs.HostileUnclosed++
		}
	}
	return report
}

// countRequest counts a new operation in its class's service.
func (c *Checker) countRequest(operation *operation) {
	class := c.class(operation.class)
	if class == nil || !operation.isCounted {
		return
	}
	service := &c.services[operation.class]
	service.Requests++
	service.Weight += class.PriorityWeight
}

// countServed counts an operation that a request has served, once.
func (c *Checker) countServed(request *request, at float64) {
	operation := request.operation
	class := c.class(operation.class)
	if operation.isServed || !operation.isCounted || class == nil {
		return
	}
	operation.isServed = true
	service := &c.services[operation.class]
	if at-operation.startedAt <= class.LatencyTargetSeconds {
		service.InTarget++
		service.EarnedWeight += class.PriorityWeight
		return
	}
	service.Late++
	service.EarnedWeight += class.PriorityWeight * class.LateFraction
}

// slowRejectionFraction of a request's weight is deducted for a slow rejection.
const slowRejectionFraction = 0.3

// countEnded counts the outcome of a request that was not served.
func (c *Checker) countEnded(request *request) {
	class := c.class(request.class)
	if class == nil || !request.operation.isCounted {
		return
	}
	service := &c.services[request.class]
	switch request.outcome {
	case rejected:
		service.Rejected++
	case served, excused, notSent:
	default:
		service.Failed++
	}
	if len(request.attempts) > 0 || !request.isSent {
		return
	}
	isLate := request.endedAt-request.startedAt > (request.deadline-request.startedAt)/2
	if request.outcome == abandoned || isLate && (request.outcome == rejected || request.outcome == failed) {
		c.costs.SlowRejectionWeight += slowRejectionFraction * class.PriorityWeight
	}
}
