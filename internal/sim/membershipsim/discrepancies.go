package membershipsim

import (
	"fmt"

	"hazelwheel/internal/decide/swim"
)

// Wrong returns what members that live hold otherwise than it is, a line each, at most so many: who lives and is not held for
// alive, who does not and is, and ranks that two share.
func (c *Fleet) Discrepancies(most int) (wrong []string) {
	say := func(format string, args ...any) {
		if len(wrong) < most {
			wrong = append(wrong, fmt.Sprintf(format, args...))
		}
	}
	up := 0
	truth := map[swim.ID]bool{}
	for _, n := range c.Nodes {
		if n.IsRunning && !n.IsFrozen {
			up++
			truth[n.View.Self().ID] = true
		}
	}
	ranks := map[int]int{}
	for _, n := range c.Nodes {
		if len(wrong) >= most {
			return wrong
		}
		if !n.IsRunning || n.IsFrozen {
			continue
		}
		live := 0
		for m := range n.View.Members {
			switch {
			case m.State.IsDeadOrLeft():
				if truth[m.ID] {
					say("s%d holds %s for %s, which lives", n.Number, m.Name, m.State)
				}
			case !truth[m.ID]:
				say("s%d holds %s (%s) for %s, which does not live", n.Number, m.Name, m.ID, m.State)
			default:
				live++
			}
		}
		if live != up {
			say("s%d knows %d that live, of %d", n.Number, live, up)
		}
		rank, _ := n.View.Rank(0)
		if other, twice := ranks[rank]; twice {
			say("s%d and s%d both have rank %d", other, n.Number, rank)
		}
		ranks[rank] = n.Number
	}
	return wrong
}
