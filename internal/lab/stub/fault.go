package stub

import (
	"fmt"
	"slices"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// The kinds of faults.
const (
	Hang   = "hang"   // servers receive requests and answer nothing
	Crash  = "crash"  // connections are reset, open and new ones
	Slow   = "slow"   // answers are late by Fault.Delay
	Errors = "errors" // answers are 500
)

// FaultKinds are all kinds.
var FaultKinds = []string{Hang, Crash, Slow, Errors}

// Fault is a fault of some servers.
type Fault struct {
	Kind    string        `json:"kind"` // empty: the fault ends
	Servers []int         `json:"boxes"`
	Delay   time.Duration `json:"delay_ns"`
}

// Validate returns an error that names the first field that is wrong, for this number of servers.
func (t *Fault) Validate(servers int) error {
	if t.Kind != "" && !slices.Contains(FaultKinds, t.Kind) {
		return fmt.Errorf("kind: %q is none of %v", t.Kind, FaultKinds)
	}
	for _, i := range t.Servers {
		if i < 0 || i >= servers {
			return fmt.Errorf("boxes: there is no box %d among %d", i, servers)
		}
	}
	if t.Delay < 0 || t.Delay > time.Minute || (t.Kind == Slow) != (t.Delay > 0) {
		return fmt.Errorf("delay: %s; slow boxes alone have one, above 0 and at most a minute", t.Delay)
	}
	return nil
}

// SetFault starts a fault in place of the one before, or ends it.
func (b *Servers) SetFault(t Fault) error {
	if err := t.Validate(len(b.servers)); err != nil {
		return err
	}
	for _, i := range t.Servers {
		if t.Kind == "" {
			b.servers[i].fault.Store(nil)
			continue
		}
		b.servers[i].fault.Store(&t)
		if t.Kind == Crash {
			b.servers[i].conns.Range(func(c, _ any) bool {
				reset(c.(gnet.Conn))
				_ = c.(gnet.Conn).Close() // fails only where it has gone
				return true
			})
		}
	}
	return nil
}
