package maintenance

// Stage is the progress of one server of a plan.
type Stage uint8

// The stages, in the order in which a server passes through them. Their numbers are stored and sent. A server is cordoned at all
// sidecars from Draining to InMaintenance, and while it is Lost.
const (
	Pending       Stage = iota // in service; it has not been drained yet
	Draining                   // gets no new requests; not known to be empty yet
	Drained                    // empty: an agent may acquire it
	InMaintenance              // an agent works on it under Server.Token
	WarmingUp                  // in service again, in slow start
	Done
	Skipped // no work was done on it, for Server.Reason
	Lost    // the work was abandoned or failed, for Server.Reason; cordoned until the admin command ONLINE, SkipServer or a later plan
)

// IsCordoned reports whether sidecars send no new requests to a server in this stage.
func (s Stage) IsCordoned() bool { return s >= Draining && s <= InMaintenance || s == Lost }

// isOut reports whether a server in this stage counts against the limits on concurrent maintenance.
func (s Stage) isOut() bool { return s >= Draining && s <= WarmingUp }

// Server is the state of one server of a plan.
type Server struct {
	Name         string   `msgpack:"n" json:"box"`
	Site         string   `msgpack:"s,omitempty" json:"site,omitempty"`
	Stage        Stage    `msgpack:"g,omitempty" json:"stage"`
	SinceVersion uint64   `msgpack:"v,omitempty" json:"since,omitempty"`       // version of the State in which the stage began
	Token        uint64   `msgpack:"t,omitempty" json:"token,omitempty"`       // fencing token of the agent: epoch << 40 | version
	Agent        string   `msgpack:"m,omitempty" json:"mechanic,omitempty"`    // name of the maintenance agent
	Reason       string   `msgpack:"w,omitempty" json:"why,omitempty"`         // why the server was skipped or lost, or who forced it to be Drained
	ForcedPast   []string `msgpack:"f,omitempty" json:"forced_past,omitempty"` // sidecars that had not reported it empty when it was forced
	Overdue      bool     `msgpack:"l,omitempty" json:"late,omitempty"`
}

// Plan is a submitted plan with its progress.
type Plan struct {
	Number            uint64   `msgpack:"n" json:"plan"`
	Nonce             uint64   `msgpack:"o" json:"-"` // of the command that submitted it; makes SubmitPlan idempotent
	Spec              Spec     `msgpack:"s" json:"spec"`
	PausedBy          string   `msgpack:"p,omitempty" json:"paused,omitempty"` // empty: not paused
	Aborted           bool     `msgpack:"a,omitempty" json:"aborted,omitempty"`
	BaselineRejection float64  `msgpack:"w,omitempty" json:"refused_before,omitempty"` // fraction of requests rejected before the first server drained; 0: none has drained
	Ended             bool     `msgpack:"e,omitempty" json:"ended,omitempty"`          // every server is Done, Skipped or Lost
	AgeSeconds        float64  `msgpack:"t,omitempty" json:"age_s"`                    // since it was submitted, by the clocks of the lease holders so far
	Servers           []Server `msgpack:"b" json:"boxes"`
}

// hasEnded reports whether every server of the plan has reached a final stage.
func (p *Plan) hasEnded() bool {
	for i := range p.Servers {
		if p.Servers[i].Stage < Done {
			return false
		}
	}
	return true
}
