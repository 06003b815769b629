package maintenance

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

// Out tells whether a box of a stage is banned.
func (g Stage) IsCordoned() bool { return g >= Draining && g <= InMaintenance || g == Lost }

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
