package checker

// Effect tells what running a request of a class twice does.
type Effect uint8

// The effects.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // the boxes of one group drop a repeat within the window
	Unsafe               // must never run twice
)

// Group tells which boxes drop the repeats of a keyed request.
type Group uint8

// The groups.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is a class of requests as the deployment promises it.
type Class struct {
	Name                 string
	Effect               Effect
	Group                Group
	DedupWindowSeconds   float64 // for a keyed class: how long a repeat is dropped
	LatencyTargetSeconds float64 // an answer by then has its whole worth
	PriorityWeight       float64
	LateFraction         float64 // part of the worth of an answer after the aim
}

// Rules are the figures that the rules are checked by.
type Rules struct {
	Classes        []Class
	Sidecars       int
	SidecarZones   []int32 // of each sidecar
	MaxDescriptors int     // descriptors that a sidecar may hold

	AnswerSlackSeconds    float64 // after its time is over a request may still be answered
	SocketSlackSeconds    float64 // added to each limit on real or simulated sockets
	TermGraceSeconds      float64 // what is taken so long after an order to end must be answered even if the process is killed
	DrainGraceSeconds     float64 // after it was told a sidecar sends nothing new to a box that drains or is gone
	PollTimeoutSeconds    float64 // without a watch and a call for so long a sidecar counts as told; four times after a failure
	UpdateTimeoutSeconds  float64 // what the list has taken counts as told then
	FleetCallsSeconds     float64 // in which discovery can work through a call of each sidecar; a line lasts no longer, as far as it excuses
	ReloadGraceSeconds    float64 // and not before this long after a reload
	OverloadWindowSeconds float64 // the window in which work brings a cold box down
	ColdLoadShare         float64 // the share of that work by sidecars that knew, from which the rule is broken
	FailFastSeconds       float64 // what can't be tried again is answered within this
	MaxAttempts           int     // for one request; 0: any number
	AllowsHedging         bool    // two executions of a request may be out at once
	// MostAskS is the longest time between two calls for the list that is none too long at the end of a day, if it is more than what
	// AskWithinS gives; +Inf: not all ask, since they pass lists on.
	MaxPollIntervalSeconds float64

	// Unanswered makes a request lost that has no answer when its time and slack are over. Troubled days count it as
	// failed instead.
	RequiresAnswerInTime bool
	// Calm makes the first request on a connection lost, too, where the sidecar closes without having sent anything on.
	IsFaultFree bool
	// ClientsAlone says that no box tells what it did. What needs its word is not judged then.
	ObservesClientsOnly bool
}
