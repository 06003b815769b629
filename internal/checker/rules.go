package checker

// Effect tells what a second execution of a request does.
type Effect uint8

// The effects of a request class.
const (
	Safe   Effect = iota // idempotent: may be executed any number of times
	Keyed                // carries an idempotency key: the servers of one group drop a repeat within the window
	Unsafe               // must never be executed twice
)

// Group tells which servers share the idempotency keys that they have seen.
type Group uint8

// The groups of servers that drop each other's repeats.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is a class of requests with what the deployment promises for it.
type Class struct {
	Name                 string
	Effect               Effect
	Group                Group
	DedupWindowSeconds   float64 // for a keyed class: how long a repeat is dropped
	LatencyTargetSeconds float64 // an answer within this time has its full value
	PriorityWeight       float64 // value of an answer
	LateFraction         float64 // fraction of the value that an answer after the target has
}

// Rules are the settings of a Checker.
type Rules struct {
	Classes        []Class
	Sidecars       int
	SidecarZones   []int32 // by sidecar
	MaxDescriptors int     // that a sidecar may hold

	// AnswerSlackSeconds is how long after its deadline a request may still be answered.
	AnswerSlackSeconds float64
	// SocketSlackSeconds is added to each limit, for the delays of real or simulated sockets.
	SocketSlackSeconds float64
	// TermGraceSeconds is how long after SidecarTerminating a request that is sent must be answered even if the process is
	// killed.
	TermGraceSeconds float64
	// DrainGraceSeconds is how long after its notification a sidecar may still send to a server that drains or is gone.
	DrainGraceSeconds float64
	// PollTimeoutSeconds is the time without a watch and a call after which a sidecar counts as notified; four times as
	// long after a failed call.
	PollTimeoutSeconds float64
	// UpdateTimeoutSeconds is the time after which a change of the list counts as known to the sidecars that can reach
	// discovery.
	UpdateTimeoutSeconds float64
	// FleetCallsSeconds is the time in which discovery can serve a call of each sidecar. Queues at discovery excuse at most
	// as much.
	FleetCallsSeconds float64
	// ReloadGraceSeconds is the time after a reload before which no change counts as known.
	ReloadGraceSeconds float64
	// OverloadWindowSeconds is the window of work that overloads a cold server.
	OverloadWindowSeconds float64
	// ColdLoadShare is the share of that work by notified sidecars from which on ColdServer is violated.
	ColdLoadShare float64
	// FailFastSeconds is the time within which a request is answered that may not be retried.
	FailFastSeconds float64
	// MaxAttempts limits the attempts of a request; 0: no limit.
	MaxAttempts int
	// AllowsHedging: two attempts of a request may be in flight at once.
	AllowsHedging bool
	// MaxPollIntervalSeconds is the longest time between two calls to discovery that is accepted at the end of a day, if it
	// exceeds what PollTimeoutSeconds gives; +Inf: not all sidecars call, since they relay lists to each other.
	MaxPollIntervalSeconds float64

	// RequiresAnswerInTime makes a request without an answer at its deadline and slack a violation. Days with faults count
	// it as failed instead.
	RequiresAnswerInTime bool
	// IsFaultFree makes a connection that the sidecar closes before it has forwarded anything a violation even for the
	// first request on it.
	IsFaultFree bool
	// ObservesClientsOnly: no server reports events. What needs them is not checked.
	ObservesClientsOnly bool
}
