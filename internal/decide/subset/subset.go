// Package subset decides which boxes a sidecar holds, so that the choices of many add up: every box is held by about as many, by
// two at least, and few are moved when a sidecar or a box comes or goes. It is pure: no clock, no state, no I/O; the same
// arguments give the same answer, in whatever order the list of boxes comes.
//
// The boxes lie on a circle, in an order that all sidecars compute alike. Each sidecar holds an arc of it, which begins at its
// place. Three ways give a place: Spread by number alone, Dense by rank among those that are known to live, ByTraffic by
// rank among those with as much traffic as one's own. docs/design/share.md weighs them.
package subset

// Server is a box as the list tells it.
type Server struct {
	ID   uint64 // the same at all sidecars
	Zone int    // any number; the same for all boxes where no zones are told
}

// Size is how many of so many boxes a sidecar holds that wants need of them for its own traffic, by the formula that policy.Subset has:
// more where there are more boxes for each sidecar, and as many as give every box two sidecars. Count is how many sidecars there are by what
// peers tell, told by the settings. Danger: a count that is wrong or a lie must not leave too few, so peers' word takes no more
// than half of what the settings give.
func Size(boxes, count, told int, need float64) int {
	by := func(count int) int {
		count = max(count, 1)
		return min(boxes, max(int(min(max(need, 0), 1e6)+6*float64(boxes)/float64(count)), 2*((boxes+count-1)/count)))
	}
	return max(by(count), (by(told)+1)/2)
}
