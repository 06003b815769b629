package membershipsim

import (
	"fmt"

	"hazelwheel/internal/decide/swim"
)

// Discrepancies compares what the members that are up know with what is so: at most so many lines, one for each live member that is
// dead to one, each dead one that is alive to one, each wrong count and each rank that two have.
func (f *Fleet) Discrepancies(limit int) (lines []string) {
	report := func(format string, args ...any) {
		if len(lines) < limit {
			lines = append(lines, fmt.Sprintf(format, args...))
		}
	}
	up := map[swim.ID]bool{}
	for _, n := range f.Nodes {
		if n.isUp() {
			up[n.View.Self().ID] = true
		}
	}
	nodeByRank := map[int]int{}
	for _, n := range f.Nodes {
		if len(lines) >= limit {
			return lines
		}
		if !n.isUp() {
			continue
		}
		live := 0
		for m := range n.View.Members {
			switch {
			case m.State.IsDeadOrLeft():
				if up[m.ID] {
					report("s%d has %s as %s, which is up", n.Number, m.Name, m.State)
				}
			case !up[m.ID]:
				report("s%d has %s (%s) as %s, which is not up", n.Number, m.Name, m.ID, m.State)
			default:
				live++
			}
		}
		if live != len(up) {
			report("s%d knows %d live members of %d", n.Number, live, len(up))
		}
		rank, _ := n.View.Rank(0)
		if other, taken := nodeByRank[rank]; taken {
			report("s%d and s%d both have rank %d", other, n.Number, rank)
		}
		nodeByRank[rank] = n.Number
	}
	return lines
}

// isUp reports whether the process is running and not frozen.
func (n *Node) isUp() bool { return n.IsRunning && !n.IsFrozen }
