package policy

// Effect tells what happens if a request is executed more than once.
type Effect uint8

// The effects of a request class.
const (
	Safe   Effect = iota // idempotent: may be executed any number of times
	Keyed                // carries an idempotency key: hosts of one group drop repeats within a window
	Unsafe               // must never be executed twice
)

// Group tells which hosts share the idempotency keys that they have seen.
type Group uint8

// The groups of hosts that drop each other's repeats.
const (
	GroupAll  Group = iota // all hosts
	GroupZone              // hosts of the same zone
	GroupCell              // hosts of the same cell
)

// Class is a class of requests. The JSON names of Class, Tenant and Settings are part of captured records and must not change.
type Class struct {
	Name                 string  `json:"Name"`
	Effect               Effect  `json:"Effect"`
	Group                Group   `json:"Group"`    // for Keyed classes
	DedupWindowSeconds   float64 `json:"WindowS"`  // for Keyed classes: how long a repeat is recognized
	LatencyTargetSeconds float64 `json:"AimS"`     // latency target: an answer within this time has its full value
	TotalTimeoutSeconds  float64 `json:"GiveUpS"`  // the client's timeout over all its tries
	PriorityWeight       float64 `json:"Worth"`    // value of an answer
	LateFraction         float64 `json:"LateGain"` // an answer after the target has this fraction of its value
	TargetStretch        float64 `json:"Stretch"`  // seconds added to the target for each second of the request's work
	Stream               bool    `json:"Stream"`   // answers are streamed
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name           string  `json:"Name"`
	Share          float64 `json:"Share"`   // fraction of all requests
	QuotaPerSecond float64 `json:"QuotaPS"` // requests a second within its share, over all proxies
}

// ReportField is a kind of value in a host's load report.
type ReportField uint8

// The kinds of values in load reports. FieldOther is any that the Balancer does not use.
const (
	FieldOther    ReportField = iota
	FieldInflight             // requests that the host holds
	FieldQueue                // requests that wait at the host
)

// Settings configure a Balancer. The zero value is usable: a Balancer without classes, probes or load reports still answers every
// request. The order of the fields is their order in captured records.
type Settings struct {
	Classes  []Class  `json:"Classes"`
	Tenants  []Tenant `json:"Tenants"`
	Self     int      `json:"Self"`     // replica index of this proxy, from 0
	Replicas int      `json:"Replicas"` // number of proxies

	// Prices are fractions of the value of a request; 0 means free.
	Zone           int     `json:"Zone"`      // zone of this proxy, as in HostInfo
	CrossZonePrice float64 `json:"CrossZone"` // price of an attempt in another zone
	ProbePrice     float64 `json:"ProbeCost"` // price of a probe

	TickSeconds   float64 `json:"TickS"`  // resolution of the host program's timer; two events are at least that far apart
	RetriesMarked bool    `json:"Marked"` // clients mark retries, so a request without a mark is a first try

	// Attempts.
	ProbesEnabled          bool    `json:"Probes"`
	CanCancel              bool    `json:"Cancel"`         // attempts can be cancelled
	HedgingAllowed         bool    `json:"SecondCopies"`   // a second attempt may start while the first is in flight
	MaxAttempts            int     `json:"MaxAttempts"`    // for each request; 0 means 1
	MaxRetryAfterSeconds   float64 `json:"MaxRetryAfterS"` // longest retry-after that clients obey
	ConnIdleTimeoutSeconds float64 `json:"ConnIdleS"`      // the host program closes connections that are idle for longer

	// Load reports.
	ReportFields   []ReportField `json:"ReportFields"`   // the values in Report.Values, in this order
	ReportsOnProbe bool          `json:"ReportsOnProbe"` // reports come with probe answers only

	// Endpoint list.
	SizesComparable          bool    `json:"SizesKnown"`     // HostInfo.Size is comparable between hosts
	ListOnDemand             bool    `json:"AskForList"`     // the list comes only after Actions.Watch
	MaxListRequestGapSeconds float64 `json:"AskWithinS"`     // a proxy that has not requested the list for so long counts as notified of changes
	DrainGraceSeconds        float64 `json:"DrainGraceS"`    // for how long after it is listed as draining a host may get new attempts
	GoneHostsUsable          bool    `json:"OnlyDrainBinds"` // a host listed as gone may be used while it answers

	// Slow start. A warming host fails if all proxies together send it more than SlowStartMultiple times what its capacity allows
	// within SlowStartWindowSeconds.
	SlowStartFraction      float64 `json:"ColdFrom"` // fraction of the full capacity at the start
	SlowStartSeconds       float64 `json:"ColdS"`    // time to full capacity; 0: no slow start
	SlowStartMultiple      float64 `json:"ColdMultiple"`
	SlowStartWindowSeconds float64 `json:"ColdWindowS"`
}
