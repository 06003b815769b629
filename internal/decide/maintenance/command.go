package maintenance

import (
	"errors"
	"fmt"
)

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

// Check tells what is wrong with a command by itself; nil: nothing is.
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

// Reply is the answer to a command.
type Reply struct {
	Nonce  uint64 `msgpack:"n" json:"-"`
	Err    string `msgpack:"e,omitempty" json:"error,omitempty"` // empty: it was done, and is agreed
	Plan   uint64 `msgpack:"p,omitempty" json:"plan,omitempty"`
	Server string `msgpack:"b,omitempty" json:"box,omitempty"` // of Take; empty: there is none at the moment
	Token  uint64 `msgpack:"t,omitempty" json:"token,omitempty"`
	Text   string `msgpack:"x,omitempty" json:"text,omitempty"`
}
