package checker

// serve counts a request that has been served, once.
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

// ClassService is what the clients had of a class.
type ClassService struct {
	Name         string  `json:"Name"`
	Requests     int     `json:"Asked"`    // requests; a client's retries belong to its first try
	InTarget     int     `json:"InAim"`    // served by the aim, which counts from the first try
	Late         int     `json:"Late"`     // served after it
	Unserved     int     `json:"Unserved"` // requests that no try has served
	Rejected     int     `json:"Refused"`  // tries that were refused
	Failed       int     `json:"Failed"`   // tries that failed, or whose time was over
	Weight       float64 `json:"Worth"`    // asked for
	EarnedWeight float64 `json:"Earned"`   // late answers earn part of it
	Service      float64 `json:"Service"`  // share of the requests that were served by the aim
}

// Prices are what the service cost.
type Costs struct {
	Attempts            int     `json:"Executions"`
	CrossZoneAttempts   int     `json:"CrossZone"` // of them in another zone than the sidecar's
	HealthChecks        int     `json:"Probes"`
	Connections         int     `json:"Connections"` // opened to boxes
	SlowRejectionWeight float64 `json:"SlowRefusal"` // worth taken off for tries that no box was given and that were let go after half their time
	HostileClients      int     `json:"Hostile"`     // clients that may not be served
	HostileUnclosed     int     `json:"HostileOwed"` // of them that got neither an error nor an end in time
}

// Report is the figure of a day beside its findings.
type Report struct {
	Classes []ClassService `json:"Classes"`
	Service float64        `json:"Service"` // over all classes: worth answered within the aim over worth asked
	Costs   Costs          `json:"Prices"`
}

// Report returns the service and its prices so far.
func (c *Checker) Report() Report {
	report := Report{Costs: c.costs}
	inAim, asked := 0.0, 0.0
	for i, service := range c.services {
		service.Unserved = service.Requests - service.InTarget - service.Late
		if service.Requests > 0 {
			service.Service = float64(service.InTarget) / float64(service.Requests)
		}
		inAim += float64(service.InTarget) * c.rules.Classes[i].PriorityWeight
		asked += service.Weight
		report.Classes = append(report.Classes, service)
	}
	if asked > 0 {
		report.Service = inAim / asked
	}
	for _, client := range c.hostileClients { // a count: the order does not matter
		if !client.isSettled && client.deadline < c.now {
			report.Costs.HostileUnclosed++
		}
	}
	return report
}
