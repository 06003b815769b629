package maintenance

import (
	"errors"
	"fmt"
)

// Command is a request of an operator or a maintenance agent. Commands with the same Nonce are one command, however often it is
// submitted.
type Command struct {
	Nonce  uint64 `msgpack:"n" json:"nonce,omitempty"`
	Kind   Kind   `msgpack:"k" json:"kind"`
	Spec   *Spec  `msgpack:"s,omitempty" json:"spec,omitempty"`     // of SubmitPlan
	Plan   uint64 `msgpack:"p,omitempty" json:"plan,omitempty"`     // number of the plan; 0: for PausePlan, ResumePlan and AbortPlan the only one that goes on
	Server string `msgpack:"b,omitempty" json:"box,omitempty"`      // of SkipServer, ForceDrained, CompleteServer, FailServer
	Token  uint64 `msgpack:"t,omitempty" json:"token,omitempty"`    // of CompleteServer and FailServer: the one that AcquireServer returned
	Agent  string `msgpack:"m,omitempty" json:"mechanic,omitempty"` // of AcquireServer: the agent; else who issues the command, for the record
	Reason string `msgpack:"w,omitempty" json:"why,omitempty"`      // of FailServer
}

// Kind is the kind of a command, as it is sent.
type Kind string

// The kinds of commands.
const (
	SubmitPlan     Kind = "plan"   // carry a plan out
	PausePlan      Kind = "pause"  // drain nothing more, and put back in service what is Draining or Drained
	ResumePlan     Kind = "resume" // end PausePlan; the rejection baseline is measured anew
	SkipServer     Kind = "skip"   // don't work on a server; one that is Lost serves again; refused while it is InMaintenance
	AbortPlan      Kind = "abort"  // as PausePlan, for good
	ForceDrained   Kind = "force"  // treat a Draining server as Drained, whichever sidecars have not reported it empty
	AcquireServer  Kind = "next"   // hand a Drained server to an agent; the agent that has one gets the same again
	CompleteServer Kind = "done"   // the work on a server is complete
	FailServer     Kind = "failed" // the work on a server failed: it is Lost
)

// Validate checks the command by itself, without the State.
func (c *Command) Validate() error {
	if len(c.Server) > maxNameLen || len(c.Agent) > maxNameLen {
		return fmt.Errorf("box, mechanic: a name has at most %d bytes", maxNameLen)
	}
	switch c.Kind {
	case SubmitPlan:
		if c.Spec == nil {
			return errors.New("spec: there is no plan")
		}
		return c.Spec.Validate()
	case PausePlan, ResumePlan, AbortPlan:
	case SkipServer, ForceDrained, CompleteServer, FailServer:
		if c.Server == "" {
			return errors.New("box: none is named")
		}
		if c.Token == 0 && (c.Kind == CompleteServer || c.Kind == FailServer) {
			return errors.New("token: the one that the box was handed over with is needed")
		}
	case AcquireServer:
		if c.Agent == "" {
			return errors.New("mechanic: no name is told")
		}
	default:
		return fmt.Errorf("kind: there is no %.40q", c.Kind)
	}
	return nil
}

// Reply is the answer to a command. With an empty Err the command's effect is committed.
type Reply struct {
	Nonce  uint64 `msgpack:"n" json:"-"`
	Err    string `msgpack:"e,omitempty" json:"error,omitempty"`
	Plan   uint64 `msgpack:"p,omitempty" json:"plan,omitempty"`
	Server string `msgpack:"b,omitempty" json:"box,omitempty"` // to AcquireServer: empty if none is available now, for Text
	Token  uint64 `msgpack:"t,omitempty" json:"token,omitempty"`
	Text   string `msgpack:"x,omitempty" json:"text,omitempty"`
}
