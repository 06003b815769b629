// Package maintenance decides in which order boxes are taken out of use for work on them, on behalf of all sidecars: which box leaves
// next, when it is empty, who may work on it, when it comes back. It is a pure state machine: it is told the time, what is agreed,
// what the sidecars say, and what operators and mechanics want, and returns what is to be agreed next. Nothing is done before it is
// agreed: State is what the electors keep (a tenure.Record), and a sidecar bans a box because the State that it goes by says so.
// docs/design/works.md weighs the ways.
//
// Danger: the owner of the job may stand still or be another one at any instant. So each step is a new State in place of one
// version, and what a mechanic is given carries that version as its token: it only grows.
package maintenance

import "hazelwheel/internal/decide/swim"

// Stage is how far the work on a box of a plan has come.
type Stage uint8

// The stages. From Leaving up to and with Taken, and when Lost, a box is banned at all sidecars.
const (
	Pending       Stage = iota // it serves until its turn
	Draining                   // nothing new goes there; it is not known to be empty
	Drained                    // empty: a mechanic may take it
	InMaintenance              // a mechanic works on it under Box.Token
	WarmingUp                  // given back: it warms up
	Done
	Skipped // it is not worked on, for Box.Why
	Lost    // it was given up while it was out, for Box.Why: it stays out until ONLINE or a later plan
)

// Spec is a plan as an operator gives it. Times are in seconds.
type Spec struct {
	Name              string   `msgpack:"n" json:"name"`
	Servers           []string `msgpack:"b,omitempty" json:"boxes,omitempty"` // by name
	Sites             []string `msgpack:"s,omitempty" json:"sites,omitempty"` // all boxes of these sites, if Types are given of these types alone
	Types             []string `msgpack:"y,omitempty" json:"types,omitempty"`
	WorkSeconds       float64  `msgpack:"t" json:"takes_s"`                           // the work on one box
	OverdueSeconds    float64  `msgpack:"l,omitempty" json:"late_s,omitempty"`        // after which it is late; 0: twice TakesS
	AbandonOverdue    bool     `msgpack:"g,omitempty" json:"give_up,omitempty"`       // a box that is late is Lost, and the plan goes on; else all wait for it
	MaxConcurrent     int      `msgpack:"a" json:"at_once"`                           // boxes that are out or cold, in all
	MaxPerSite        int      `msgpack:"i,omitempty" json:"by_site,omitempty"`       // of one site; 0: 1
	MinCapacity       float64  `msgpack:"k" json:"keep"`                              // part of the capacity that must stay, from 0 to below 1
	RejectionBudget   float64  `msgpack:"r,omitempty" json:"refusing,omitempty"`      // part of the requests that may be refused beyond what the fleet refuses by itself; 0: 0.02
	MaxRejection      float64  `msgpack:"m,omitempty" json:"refusing_most,omitempty"` // part that may be refused at all, by itself or not; 0: 0.25, or Refusing if that is more
	QuietSeconds      float64  `msgpack:"e,omitempty" json:"settle_s,omitempty"`      // without a new request before a box is empty; 0: 1
	WarmUpSeconds     float64  `msgpack:"c,omitempty" json:"cold_s,omitempty"`        // a box takes to warm up; 0: what the settings say, 5 at least
	DeadMemberSeconds float64  `msgpack:"o,omitempty" json:"gone_s,omitempty"`        // after which a sidecar that is dead counts as gone; 0: 300
	StartAfterSeconds float64  `msgpack:"f,omitempty" json:"start_in_s,omitempty"`    // from when it is given; nothing leaves before
	EndAfterSeconds   float64  `msgpack:"u,omitempty" json:"end_in_s,omitempty"`      // nothing leaves after; 0: at any time
}

// Box is a box of a plan.
type Server struct {
	Name         string   `msgpack:"n" json:"box"`
	Site         string   `msgpack:"s,omitempty" json:"site,omitempty"`
	Stage        Stage    `msgpack:"g,omitempty" json:"stage"`
	SinceVersion uint64   `msgpack:"v,omitempty" json:"since,omitempty"`       // the version with which the stage began
	Token        uint64   `msgpack:"t,omitempty" json:"token,omitempty"`       // of who works on it: epoch << 40 | version
	Agent        string   `msgpack:"m,omitempty" json:"mechanic,omitempty"`    // by name
	Reason       string   `msgpack:"w,omitempty" json:"why,omitempty"`         // it was skipped or lost, or by whose word it was forced
	ForcedPast   []string `msgpack:"f,omitempty" json:"forced_past,omitempty"` // who had not said that it is empty when it was forced
	Overdue      bool     `msgpack:"l,omitempty" json:"late,omitempty"`
}

// Plan is a plan that is or was carried out.
type Plan struct {
	Number            uint64   `msgpack:"n" json:"plan"`
	Nonce             uint64   `msgpack:"o" json:"-"` // of the command that gave it: one that comes twice is the same
	Spec              Spec     `msgpack:"s" json:"spec"`
	PausedBy          string   `msgpack:"p,omitempty" json:"paused,omitempty"` // by whom; empty: it goes on
	Aborted           bool     `msgpack:"a,omitempty" json:"aborted,omitempty"`
	BaselineRejection float64  `msgpack:"w,omitempty" json:"refused_before,omitempty"` // part that the fleet refused before the first box left; 0: none has
	Ended             bool     `msgpack:"e,omitempty" json:"ended,omitempty"`          // nothing of it is out any more, nothing is to leave
	AgeSeconds        float64  `msgpack:"t,omitempty" json:"age_s"`                    // since it was given, by the clocks that ran since
	Servers           []Server `msgpack:"b" json:"boxes"`
}

// State is what is agreed. Its version is that of the record that holds it.
type State struct {
	LastNumber uint64 `msgpack:"l"` // number of the last plan
	Plans      []Plan `msgpack:"p,omitempty"`
}

// Agreed is a State with what the electors know of it.
type Committed struct {
	Epoch   uint64 // of their founding
	Version uint64 // grows with each State; 0: there was none yet
	State   State
}

// Command is what an operator or a mechanic wants. The same Nonce is the same command, however often it comes.
type Command struct {
	Nonce  uint64 `msgpack:"n" json:"nonce,omitempty"`
	Kind   Kind   `msgpack:"k" json:"kind"`
	Spec   *Spec  `msgpack:"s,omitempty" json:"spec,omitempty"`     // Give
	Plan   uint64 `msgpack:"p,omitempty" json:"plan,omitempty"`     // Pause, Resume, Abort; 0: the only one that has not ended
	Server string `msgpack:"b,omitempty" json:"box,omitempty"`      // Skip, Force, Finish, Fail
	Token  uint64 `msgpack:"t,omitempty" json:"token,omitempty"`    // Finish, Fail
	Agent  string `msgpack:"m,omitempty" json:"mechanic,omitempty"` // Take; who says so elsewhere
	Reason string `msgpack:"w,omitempty" json:"why,omitempty"`      // Fail
}

// Kind is that of a command.
type Kind string

// The kinds.
const (
	SubmitPlan     Kind = "plan"   // a plan is to be carried out
	PausePlan      Kind = "pause"  // nothing more leaves, what is Leaving or Ready is given back
	ResumePlan     Kind = "resume" //
	SkipServer     Kind = "skip"   // a box is not worked on; one that is Taken can't be skipped, one that is Lost is given back
	AbortPlan      Kind = "abort"  // as Pause, for good
	ForceDrained   Kind = "force"  // a box that is Leaving is Ready, whoever has not said that it is empty
	AcquireServer  Kind = "next"   // a mechanic takes a box that is Ready, or is told of the one that it has
	CompleteServer Kind = "done"   // the work on a box has ended
	FailServer     Kind = "failed" // it has ended without success: the box is Lost
)

// Reply is the answer to a command.
type Reply struct {
	Nonce  uint64 `msgpack:"n" json:"-"`
	Err    string `msgpack:"e,omitempty" json:"error,omitempty"` // empty: it was done, and is agreed
	Plan   uint64 `msgpack:"p,omitempty" json:"plan,omitempty"`
	Server string `msgpack:"b,omitempty" json:"box,omitempty"` // of Take; empty: there is none at the moment
	Token  uint64 `msgpack:"t,omitempty" json:"token,omitempty"`
	Text   string `msgpack:"x,omitempty" json:"text,omitempty"`
}

// From is one sidecar that has spoken.
type Reporter struct {
	ID      swim.ID `msgpack:"d"`
	BootID  uint64  `msgpack:"l"` // of its process, as in member.Version
	Version uint64  `msgpack:"v"` // of the State by which it goes: what that bans gets nothing new there, and has not for SettleS
}

// Open says that a sidecar does not hold a box for empty.
type InUse struct {
	Server     string  `msgpack:"b"`
	Member     swim.ID `msgpack:"d"`
	Uncordoned bool    `msgpack:"h,omitempty"` // it was given back there by hand: it is in use
	InFlight   int     `msgpack:"n,omitempty"` // executions that are out; 0: the ban has held there for less than SettleS
}

// Seen is what sidecars say of a box, summed.
type ServerStatus struct {
	Server             string  `msgpack:"b"`
	Site               string  `msgpack:"s,omitempty"`
	Type               string  `msgpack:"y,omitempty"`
	Capacity           float64 `msgpack:"z,omitempty"` // as listed; 0: not told. Of sums the greatest
	ListedBy           int     `msgpack:"l,omitempty"` // sidecars that have it on their list
	DrainingBy         int     `msgpack:"d,omitempty"` // whose list says that it drains
	CordonedBy         int     `msgpack:"h,omitempty"` // where it is out by hand
	WarmingUpBy        int     `msgpack:"c,omitempty"` // that hold it for cold
	UnresponsiveBy     int     `msgpack:"q,omitempty"` // that hold it for silent, suspected or failing
	CompletedPerSecond float64 `msgpack:"p,omitempty"` // executions a second that ended
	InFlight           int     `msgpack:"o,omitempty"` // executions that are out
	Busy               bool    `msgpack:"u,omitempty"` // its own report says that it works or has a line
}

// Sum is what some sidecars say, of which each says its own. It goes the way of the question back, summed.
type Report struct {
	Reporters          []Reporter     `msgpack:"f,omitempty"` // by ID
	InUse              []InUse        `msgpack:"o,omitempty"` // by box and ID
	Servers            []ServerStatus `msgpack:"s,omitempty"` // by box
	CompletedPerSecond float64        `msgpack:"p,omitempty"` // requests a second that ended
	RejectedPerSecond  float64        `msgpack:"r,omitempty"` // of these refused or failed, a second
	StaleMembers       int            `msgpack:"l,omitempty"` // sidecars whose list is late
}

// Member is who must have said that a box is empty, as far as they are there.
type Member struct {
	ID              swim.ID
	Name            string
	BootID          uint64
	State           swim.State
	StateAgeSeconds float64 // for how long the state has held
}

// Round is what is known of the fleet after all were asked.
type FleetSnapshot struct {
	Members  []Member // all that are there, or were within the last ten minutes, by ID
	Report   Report
	Complete bool // all that live have answered
}

// Wait says what a box or a plan waits for.
type Blocker struct {
	Plan    uint64   `msgpack:"p" json:"plan"`
	Server  string   `msgpack:"b,omitempty" json:"box,omitempty"`
	Reason  string   `msgpack:"w" json:"why"`
	Members []string `msgpack:"o,omitempty" json:"who,omitempty"` // names of sidecars, at most ten
}

// Bounds of what is agreed. Danger: it is one entry of the electors' log and goes over links in one frame.
const (
	MaxServers    = 250 // of all plans that have not ended
	MaxPlans      = 16  // with those that have ended
	MaxStateBytes = 40 << 10
)
