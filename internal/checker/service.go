package checker

// ClassService is what the clients had of a class.
type ClassService struct {
	Name     string  `json:"Name"`
	Asked    int     `json:"Asked"`    // requests; a client's retries belong to its first try
	InAim    int     `json:"InAim"`    // served by the aim, which counts from the first try
	Late     int     `json:"Late"`     // served after it
	Unserved int     `json:"Unserved"` // requests that no try has served
	Refused  int     `json:"Refused"`  // tries that were refused
	Failed   int     `json:"Failed"`   // tries that failed, or whose time was over
	Worth    float64 `json:"Worth"`    // asked for
	Earned   float64 `json:"Earned"`   // late answers earn part of it
	Service  float64 `json:"Service"`  // share of the requests that were served by the aim
}

// Prices are what the service cost.
type Prices struct {
	Executions  int     `json:"Executions"`
	CrossZone   int     `json:"CrossZone"` // of them in another zone than the sidecar's
	Probes      int     `json:"Probes"`
	Connections int     `json:"Connections"` // opened to boxes
	SlowRefusal float64 `json:"SlowRefusal"` // worth taken off for tries that no box was given and that were let go after half their time
	Hostile     int     `json:"Hostile"`     // clients that may not be served
	HostileOwed int     `json:"HostileOwed"` // of them that got neither an error nor an end in time
}

// Report is the figure of a day beside its findings.
type Report struct {
	Classes []ClassService `json:"Classes"`
	Service float64        `json:"Service"` // over all classes: worth answered within the aim over worth asked
	Prices  Prices         `json:"Prices"`
}

// Report returns the service and its prices so far.
func (j *Checker) Report() Report {
	r := Report{Prices: j.prices}
	inAim, asked := 0.0, 0.0
	for i, c := range j.classes {
		c.Unserved = c.Asked - c.InAim - c.Late
		if c.Asked > 0 {
			c.Service = float64(c.InAim) / float64(c.Asked)
		}
		inAim += float64(c.InAim) * j.rules.Classes[i].Worth
		asked += c.Worth
		r.Classes = append(r.Classes, c)
	}
	if asked > 0 {
		r.Service = inAim / asked
	}
	for _, h := range j.hostile { // a count: the order does not matter
		if !h.settled && h.until < j.now {
			r.Prices.HostileOwed++
		}
	}
	return r
}
