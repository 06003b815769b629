package judge

// ClassService is what the clients had of a class.
type ClassService struct {
	Name     string
	Asked    int     // requests; a client's retries belong to its first try
	InAim    int     // served by the aim
	Late     int     // served after it
	Refused  int     // tries that were refused
	Failed   int     // tries that failed
	Worth    float64 // asked for
	Earned   float64
	Service  float64 // earned by answers within the aim, over worth asked
	Unserved int     // requests that no try served
}

// Prices are what the service cost.
type Prices struct {
	Executions  int
	CrossZone   int // of them in another zone than the sidecar's
	Probes      int
	Connections int
	SlowRefusal float64 // worth taken off for requests that no box was given and that were let go after half their time
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
func (j *Judge) Report() Report { return Report{} }
