package maintenance

import (
	"errors"
	"fmt"
)

// Command is a request of an operator or a maintenance agent. Commands with the same Nonce are the same command, submitted several
// times.
type Command struct {
	Nonce  uint64 `msgpack:"n" json:"nonce,omitempty"`
	Kind   Kind   `msgpack:"k" json:"kind"`
	Spec   *Spec  `msgpack:"s,omitempty" json:"spec,omitempty"`     // of SubmitPlan
	Plan   uint64 `msgpack:"p,omitempty" json:"plan,omitempty"`     // number of the plan; 0 in PausePlan, ResumePlan and AbortPlan: the only one that has not ended
	Server string `msgpack:"b,omitempty" json:"box,omitempty"`      // of SkipServer, ForceDrained, CompleteServer, FailServer
	Token  uint64 `msgpack:"t,omitempty" json:"token,omitempty"`    // of CompleteServer and FailServer: the token that AcquireServer returned
	Agent  string `msgpack:"m,omitempty" json:"mechanic,omitempty"` // of AcquireServer: the agent's name; of others: who issues the command, for status texts
	Reason string `msgpack:"w,omitempty" json:"why,omitempty"`      // of FailServer
}

// Kind is the kind of a command. Its text is sent and stored.
type Kind string

// The kinds of commands.
const (
	SubmitPlan     Kind = "plan"   // start a plan
	PausePlan      Kind = "pause"  // drain no more servers, and put those that are Draining or Drained back in service
	ResumePlan     Kind = "resume" // continue after PausePlan; the rejection baseline is measured again
	SkipServer     Kind = "skip"   // don't work on a server; a Lost one serves again; rejected for one that is InMaintenance
	AbortPlan      Kind = "abort"  // as PausePlan, but it can't be resumed
	ForceDrained   Kind = "force"  // treat a Draining server as Drained although some sidecars have not reported it empty
	AcquireServer  Kind = "next"   // hand a Drained server to an agent; an agent that works on one gets that one again
	CompleteServer Kind = "done"   // the work on a server is complete
	FailServer     Kind = "failed" // the work on a server failed: the server becomes Lost
)

// Validate checks what can be checked without the State.
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
	Server string `msgpack:"b,omitempty" json:"box,omitempty"` // to AcquireServer: empty if none is available now, for the reason in Text
	Token  uint64 `msgpack:"t,omitempty" json:"token,omitempty"`
	Text   string `msgpack:"x,omitempty" json:"text,omitempty"`
}
