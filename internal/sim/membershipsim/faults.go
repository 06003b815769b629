package membershipsim

import (
	"fmt"

	"hazelwheel/internal/decide/swim"
)

// Troubled is what came of a fleet in drawn troubles.
type FaultResult struct {
	HoursPlayed   float64  `json:"hours"`
	Faults        int      `json:"troubles"`
	FalseDeaths   int      `json:"false_deaths"` // of members that lived, stood not still and that most could reach
	Discrepancies []string `json:"wrong,omitempty"`
	Trace         uint64   `json:"trace"` // the same for the same history
}

// reachS is how long one must have been well and in reach before its death is a false one.
const reachableSeconds = 1.0

// Trouble plays a fleet in drawn troubles: members stand still for up to 4 s again and again, ways are cut for moments or for
// long, links are reset, members are killed and come back, a third begins again within a second. After each lot of troubles
// there is calm, and ten seconds later all must hold what is so.
func PlayFaults(n int, seconds float64, seed uint64) (t FaultResult, err error) {
	c := New(seed)
	if _, ok := c.form(n, 50); !ok {
		return t, fmt.Errorf("%d members: not formed: %v", n, c.Discrepancies(3))
	}
	well := make([]float64, n) // since when each has been well; +Inf while it is not
	const ill = 1e18
	cuts := map[[2]int]int{} // by two members; looked up, never walked
	cutOff := make([]int, n) // how many others each is cut from, one way or both
	c.OnChange = func(now float64, by *Node, r swim.Record, was swim.State, known bool) {
		if r.State != swim.Dead || was == swim.Dead {
			return
		}
		for i, node := range c.Nodes {
			if node.IsRunning && node.View.Self().ID == r.ID && node.View.Self().Version == r.Version && now-well[i] > reachableSeconds && !by.IsFrozen && cutOff[by.Number] == 0 {
				t.FalseDeaths++
				if len(t.Discrepancies) < 10 {
					t.Discrepancies = append(t.Discrepancies, fmt.Sprintf("%.2f: s%d holds s%d for dead, by the word of %v", now, by.Number, i, r.Accusers))
				}
			}
		}
	}
	mark := func(i int) func() { // ill until what is returned is called
		well[i] = ill
		return func() { well[i] = c.Now() }
	}
	for end := c.Now() + seconds; c.Now() < end; {
		for range 1 + c.rng.IntN(5) {
			t.Faults++
			i := c.rng.IntN(n)
			node := c.Nodes[i]
			at := c.Now() + 10*c.rng.Float64()
			switch kind := c.rng.IntN(6); kind {
			case 0: // stands still again and again
				for k := range 1 + c.rng.IntN(4) {
					for_ := 4 * c.rng.Float64()
					from := at + 5*float64(k)
					c.At(from, func() {
						if node.IsRunning && !node.IsFrozen {
							heal := mark(i)
							node.Freeze()
							c.At(c.Now()+for_, func() { node.Thaw(); heal() })
						}
					})
				}
			case 1, 2: // cut from some others, one way or both
				some, for_, oneWay := c.rng.Perm(n)[:1+c.rng.IntN(max(n/2, 1))], 0.3+6*c.rng.Float64(), kind == 1
				c.At(at, func() {
					for _, j := range some {
						if j == i {
							continue
						}
						o := c.Nodes[j]
						for _, w := range [][2]int{{i, j}, {j, i}} {
							if w[0] == j && oneWay {
								continue
							}
							if cuts[w]++; cuts[w] == 1 {
								c.BlockPath(c.Nodes[w[0]], c.Nodes[w[1]])
							}
							c.At(c.Now()+for_, func() {
								if cuts[w]--; cuts[w] == 0 {
									c.RestorePath(c.Nodes[w[0]], c.Nodes[w[1]])
								}
							})
						}
						cutOff[i]++
						cutOff[j]++
						// Who is cut from half of the others or more is not reached by most.
						if cutOff[i]*2 >= n-1 {
							well[i] = ill
						}
						if cutOff[j]*2 >= n-1 {
							well[j] = ill
						}
						c.At(c.Now()+for_, func() {
							cutOff[i]--
							cutOff[j]--
							for _, k := range []int{i, j} {
								if well[k] == ill && cutOff[k]*2 < n-1 && !c.Nodes[k].IsFrozen {
									well[k] = c.Now()
								}
							}
						})
						_ = o
					}
				})
			case 3: // links are reset
				for k := range 1 + c.rng.IntN(20) {
					j := c.rng.IntN(n)
					c.At(at+0.2*float64(k), func() { c.ResetLinks(node, c.Nodes[j]) })
				}
			case 4: // killed, and back with its state or without
				for_, kept := 8*c.rng.Float64(), c.rng.IntN(3) > 0
				c.At(at, func() {
					heal := mark(i)
					node.Kill()
					c.At(c.Now()+for_, func() { node.Start(kept, c.Nodes[0].Address, c.Nodes[n/2].Address); heal() })
				})
			case 5: // a third begins again within a second
				for _, j := range c.rng.Perm(n)[:max(n/3, 1)] {
					o := c.Nodes[j]
					down := c.rng.Float64()
					c.At(at, func() {
						heal := mark(j)
						o.Kill()
						c.At(c.Now()+down, func() { o.Start(true, c.Nodes[0].Address, c.Nodes[n/2].Address); heal() })
					})
				}
			}
		}
		c.Until(c.Now() + 32) // the last trouble is over
		for _, node := range c.Nodes {
			node.Thaw()
		}
		c.Until(c.Now() + 10)
		if wrong := c.Discrepancies(3); len(wrong) > 0 {
			return t, fmt.Errorf("%d members, seed %d, 10 s after the last trouble: %v", n, seed, wrong)
		}
	}
	t.HoursPlayed, t.Trace = seconds/3600, c.Trace()
	return t, nil
}
