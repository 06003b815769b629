package stub

import (
	"fmt"
	"slices"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Kinds of trouble.
const (
	Hang   = "hang"   // boxes take requests and answer nothing
	Crash  = "crash"  // their connections are reset, those that are open and new ones
	Slow   = "slow"   // they answer later by Trouble.Delay
	Errors = "errors" // they answer 500
)

// TroubleKinds are all kinds.
var TroubleKinds = []string{Hang, Crash, Slow, Errors}

// Trouble is what is wrong with some boxes.
type Trouble struct {
	Kind  string        `json:"kind"` // empty: nothing any more
	Boxes []int         `json:"boxes"`
	Delay time.Duration `json:"delay_ns"`
}

// Err returns what is wrong with a trouble at so many boxes, in words that name the field.
func (t *Trouble) Err(boxes int) error {
	if t.Kind != "" && !slices.Contains(TroubleKinds, t.Kind) {
		return fmt.Errorf("kind: %q is none of %v", t.Kind, TroubleKinds)
	}
	for _, i := range t.Boxes {
		if i < 0 || i >= boxes {
			return fmt.Errorf("boxes: there is no box %d among %d", i, boxes)
		}
	}
	if t.Delay < 0 || t.Delay > time.Minute || (t.Kind == Slow) != (t.Delay > 0) {
		return fmt.Errorf("delay: %s; slow boxes alone have one, above 0 and at most a minute", t.Delay)
	}
	return nil
}

// Trouble has a trouble begin, in place of the one before; with an empty kind it ends.
func (b *Boxes) Trouble(t Trouble) error {
	if err := t.Err(len(b.boxes)); err != nil {
		return err
	}
	for _, i := range t.Boxes {
		if t.Kind == "" {
			b.boxes[i].trouble.Store(nil)
			continue
		}
		b.boxes[i].trouble.Store(&t)
		if t.Kind == Crash {
			b.boxes[i].conns.Range(func(c, _ any) bool {
				reset(c.(gnet.Conn))
				_ = c.(gnet.Conn).Close() // fails only where it has gone
				return true
			})
		}
	}
	return nil
}
