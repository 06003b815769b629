// Package policy decides for a sidecar balancer: which host gets a request, when a request is tried
// again, held or refused, and which hosts are trusted. It is a pure state machine. The host program
// feeds it events with the time at which they happened and carries out the actions it asks for. It
// starts no goroutines, reads no clock and does no I/O; the same events give the same actions.
//
// The interface is in api.go, what is remembered in state.go, what can be asked in usable.go, decisions in policy.go.
//
// A Balancer serves one proxy and is not safe for concurrent use.
package policy

// Effect tells what running a request twice would do.
type Effect uint8

// The effects of a request class.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // hosts of one group drop a repeat within a window
	Unsafe               // must never run twice
)

// Group tells which hosts drop the repeats of a keyed request.
type Group uint8

// The groups of hosts that share the keys they have seen.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one kind of request.
type Class struct {
	Name                 string  `json:"Name"`
	Effect               Effect  `json:"Effect"`
	Group                Group   `json:"Group"`   // for keyed classes
	DedupWindowSeconds   float64 `json:"WindowS"` // for keyed classes: how long a repeat is remembered
	LatencyTargetSeconds float64 `json:"AimS"`    // an answer within this time has its full worth
	TotalTimeoutSeconds  float64 `json:"GiveUpS"` // the client's total wait over all its tries
	PriorityWeight       float64 `json:"Worth"`
	LateFraction         float64 `json:"LateGain"` // part of the worth kept after the aim
	TargetStretch        float64 `json:"Stretch"`  // the aim grows by this many times the request's work
	Stream               bool    `json:"Stream"`
}

// Tenant is a customer with a stated part of the service.
type Tenant struct {
	Name           string  `json:"Name"`
	Share          float64 `json:"Share"`
	QuotaPerSecond float64 `json:"QuotaPS"` // requests a second within its share, over all proxies
}

// ReportField names one value of a host's load report.
type ReportField uint8

// The values that a load report can hold. Those that the module does not know are FieldOther.
const (
	FieldOther ReportField = iota
	FieldInflight
	FieldQueue
)

// Settings are the facts an instance is told at its start. The zero value is usable: an instance
// without classes, probes or reports still answers everything it is given.
type Settings struct {
	Classes  []Class  `json:"Classes"`
	Tenants  []Tenant `json:"Tenants"`
	Self     int      `json:"Self"`     // this proxy's number, from 0
	Replicas int      `json:"Replicas"` // how many proxies there are

	Zone           int     `json:"Zone"`      // this proxy's own, as in HostInfo
	CrossZonePrice float64 `json:"CrossZone"` // price of an attempt in another zone, in parts of a request's worth; 0: none

	ProbePrice float64 `json:"ProbeCost"` // price of a probe for each request, in parts of its worth; 0: none

	TickSeconds              float64       `json:"TickS"`  // least time between two events
	RetriesMarked            bool          `json:"Marked"` // clients mark their retries: what has no mark is a first try
	ProbesEnabled            bool          `json:"Probes"`
	CanCancel                bool          `json:"Cancel"`
	HedgingAllowed           bool          `json:"SecondCopies"`
	MaxAttempts              int           `json:"MaxAttempts"`    // for one request; 0 means 1
	MaxRetryAfterSeconds     float64       `json:"MaxRetryAfterS"` // longest advice that clients follow
	ConnIdleTimeoutSeconds   float64       `json:"ConnIdleS"`      // connections that are idle for longer close by themselves
	ReportFields             []ReportField `json:"ReportFields"`
	ReportsOnProbe           bool          `json:"ReportsOnProbe"` // reports come with probe answers alone
	SizesComparable          bool          `json:"SizesKnown"`     // HostInfo.Size may be compared between hosts
	ListOnDemand             bool          `json:"AskForList"`     // the list comes only when asked for
	MaxListRequestGapSeconds float64       `json:"AskWithinS"`
	DrainGraceSeconds        float64       `json:"DrainGraceS"`
	GoneHostsUsable          bool          `json:"OnlyDrainBinds"` // a host that is gone may be used while it answers
	SlowStartFraction        float64       `json:"ColdFrom"`
	SlowStartSeconds         float64       `json:"ColdS"`
	SlowStartMultiple        float64       `json:"ColdMultiple"`
	SlowStartWindowSeconds   float64       `json:"ColdWindowS"`
}

// HostState is what the list says of a host.
type HostState uint8

// The states of a host in the list.
const (
	Gone HostState = iota
	Ready
	Draining
)

// HostInfo is one entry of the list of hosts.
type HostInfo struct {
	ID      uint32
	Zone    int
	Kind    int
	Cell    int
	State   HostState
	Size    float64
	Started float64 // time of the last start; 0 means long ago
}

// ListKind tells how a list of hosts is to be read.
type ListKind uint8

// The kinds of list.
const (
	ListFull   ListKind = iota // a host that is missing is gone
	ListDelta                  // changed entries only
	ListFailed                 // a call failed or the watch broke; no entries
	ListCached                 // what was last held, possibly stale
)

// Request is one try of a client.
type Request struct {
	ID              uint32
	Class           int
	Tenant          int
	Key             uint64
	Deadline        float64 // when the client stops waiting
	WorkSeconds     float64 // expected work in seconds of a standard core, if HasWork
	HasWork         bool
	Repeat          bool
	HeldBackSeconds float64 // seconds that the host program has held it back; they are no sign of an earlier try
}

// Outcome tells how an attempt or a probe ended.
type Outcome uint8

// The outcomes. NeverRan tells which of them prove that nothing happened.
const (
	OK            Outcome = iota
	HostError             // the host returned an error
	Rejected              // turned away unseen
	TimedOut              // no answer in time
	ConnectFailed         // no connection
	Reset                 // the connection broke
	Cancelled
	NotSent
)

// NeverRan reports whether the outcome proves that the attempt was never executed.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// Report is a host's load report: the first N of Values, in the order of Settings.ReportFields.
type Report struct {
	N      int
	Values [4]float32
}

// Result is the end of an attempt.
type Result struct {
	ID           uint32
	Attempt      int
	Host         uint32
	Outcome      Outcome
	DelaySeconds float64 // from the send to the answer's arrival
	LateSeconds  float64 // for how long the answer had arrived and nobody had looked; then it is this event's time
	Final        bool    // the request has had its final answer
	Report       Report
}

// Actions is what the host program does for a Balancer. Calls take effect at the time of the event
// being handled and must not call back into the Balancer.
type Actions interface {
	// Send starts the next attempt of a request; attempts are numbered from 0. It waits for the
	// answer until the client's deadline.
	Send(request, host uint32)
	// Cancel ends the wait for one attempt.
	Cancel(request uint32, attempt int)
	// Probe asks a host for a sign of life.
	Probe(host uint32)
	// CloseIdle closes the idle connections to a host.
	CloseIdle(host uint32)
	// Refuse is a final answer: trying again is harmless, best after the given time.
	Refuse(request uint32, retryAfterS float64)
	// Fail is a final answer that promises nothing about the effect.
	Fail(request uint32)
	// WakeAfter asks for a call of Wake.
	WakeAfter(seconds float64)
	// Watch subscribes to changes of the list.
	Watch()
	// Log records a change of state for the operators.
	Log(text string)
}
