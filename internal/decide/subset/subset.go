// Package subset decides which servers a sidecar connects to, so that the choices of many sidecars add up: each server gets about
// as many sidecars, at least two, and few connections move when a sidecar or a server comes or goes.
//
// Servers lie on a ring, in an order that all sidecars compute alike (RingOrder). Each sidecar selects an arc of the ring that
// begins at its position (Select). Three rules give the position: PositionByNumber by the configured number alone, PositionByRank
// by the rank among live sidecars, PositionByTraffic by the rank among those with similar traffic. Reselect moves an arc without
// dropping too many connections at once. The functions are pure, and their results do not depend on the order of the list of
// servers. docs/design/share.md compares the rules.
package subset

// Server is a server as a list of endpoints names it.
type Server struct {
	ID   uint64 // the same on all sidecars
	Zone int    // any number; the same for all servers if zones are not known
}

// Size returns how many of the servers a sidecar selects that needs so many for its own traffic, by the formula of policy.Subset:
// more where there are more servers for each sidecar, and enough to give each server two sidecars. count is the number of sidecars
// as peers report it, configuredCount as the settings have it. Danger: a reported count may be wrong or false, so it shrinks the
// subset to no less than half of what the settings give.
func Size(servers, count, configuredCount int, need float64) int {
	sizeFor := func(count int) int {
		count = max(count, 1)
		return min(servers, max(int(min(max(need, 0), 1e6)+6*float64(servers)/float64(count)), 2*((servers+count-1)/count)))
	}
	return max(sizeFor(count), (sizeFor(configuredCount)+1)/2)
}
