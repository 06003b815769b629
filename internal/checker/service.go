package checker

// ClassService is what the clients had of a class.
type ClassService struct {
	Name     string
	Asked    int     // requests; a client's retries belong to its first try
	InAim    int     // served by the aim, which counts from the first try
	Late     int     // served after it
	Unserved int     // requests that no try has served
	Refused  int     // tries that were refused
	Failed   int     // tries that failed, or whose time was over
	Worth    float64 // asked for
	Earned   float64 // late answers earn part of it
	Service  float64 // share of the requests that were served by the aim
}

// Prices are what the service cost.
type Prices struct {
	Executions  int
	CrossZone   int // of them in another zone than the sidecar's
	Probes      int
	Connections int     // opened to boxes
	SlowRefusal float64 // worth taken off for tries that no box was given and that were let go after half their time
	Hostile     int     // clients that may not be served
	HostileOwed int     // of them that got neither an error nor an end in time
}

// Report is the figure of a day beside its findings.
type Report struct {
	Classes []ClassService
	Service float64 // over all classes: worth answered within the aim over worth asked
	Prices  Prices
}

// Report returns the service and its prices so far.
func (j *Judge) Report() Report {
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
