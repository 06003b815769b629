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

// Rule names a rule.
type Rule string

// The rules.
const (
	OneAnswer            Rule = "one-answer"   // each request taken gets one final answer
	NoInvention          Rule = "no-invention" // none that no box made for it
	NoRepeat             Rule = "no-repeat"    // no resend and no refusal beyond the class's right
	NoConcurrentAttempts Rule = "one-copy"     // never two executions of a request out at once
	SafeDrain            Rule = "safe-drain"   // nothing new to a box known to drain or to be gone
	ColdServer           Rule = "cold-box"     // no cold box pushed over by sidecars that knew
	FailFast             Rule = "at-once"      // what is given up is answered at once
	DescriptorLimit      Rule = "in-limits"    // descriptors
	NoLeftovers          Rule = "at-rest"      // nothing is left when the day is over
	ListPolled           Rule = "list-asked"   // who has no watch at the end of the day has asked for the list within the time of the settings
	NoCrash              Rule = "no-crash"     // no panic and no exit unasked
	ClientGone           Rule = "gone-client"  // no attempt begins for a client that has closed its connection

	FleetView        Rule = "fleet-view"  // some time after the last trouble all know who is there
	FalseDeath       Rule = "false-death" // nobody is called dead that lives and that most can reach
	FleetIncarnation Rule = "fleet-risen" // who is gone comes back by a greater incarnation alone
	FleetQueue       Rule = "fleet-queue" // what waits for a peer that does not read is bounded
	FleetRank        Rule = "fleet-rank"  // ranks are dense, and each is one's alone
	StaleOwner       Rule = "old-owner"   // no effect is taken under a token lower than one that was taken before

	MaintenanceOccupied Rule = "work-occupied"  // a box that is worked on has nothing out, and has got nothing for a while
	MaintenanceBudget   Rule = "work-many"      // no more boxes are out than a plan allows
	MaintenanceRepeated Rule = "work-twice"     // each box is worked on once for a plan, under a token that has grown
	MaintenanceRecorded Rule = "work-forgotten" // what mechanics did is what is agreed
)

// Finding is one break of a rule.
type Violation struct {
	Rule    Rule    `json:"Rule"`
	At      float64 `json:"At"`
	Sidecar int32   `json:"Sidecar"`
	Server  int32   `json:"Box"` // -1: none
	Request uint64  `json:"Request"`
	Reason  string  `json:"Why"`
	Events  []Event `json:"Events"` // those that show it, oldest first
}
