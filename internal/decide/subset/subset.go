// Package subset decides which servers each sidecar connects to, so that together the sidecars spread their connections evenly:
// each server is used by about the same number of sidecars, at least two, and few connections move when a sidecar or a server is
// added or removed.
//
// The servers form a ring, in an order that all sidecars compute alike (RingOrder). Each sidecar selects a consecutive part of
// the ring, an arc, that begins at its position (Select). There are three rules for the position: PositionByNumber uses only the
// configured number, PositionByRank the rank among live sidecars, and PositionByTraffic the rank among those with similar
// traffic. Reselect moves an arc without dropping too many connections at once. The functions are pure, and their results do not
// depend on the order of the given list of servers. docs/design/share.md compares the rules.
package subset

// Server is a server in the list of endpoints.
type Server struct {
	ID   uint64 // the same at all sidecars
	Zone int    // any number; the same for all servers if zones are unknown
}

// Size returns how many of the servers a sidecar selects if its own traffic needs the given number, by the formula of
// policy.Subset: more if there are more servers for each sidecar, and enough to give each server two sidecars. count is the
// number of sidecars that peers report, configuredCount the one in the settings. A reported count may be wrong or forged, so it
// shrinks the subset to no less than half of the size that the settings give.
func Size(servers, count, configuredCount int, need float64) int {
	sizeFor := func(count int) int {
		count = max(count, 1)
		return min(servers, max(int(min(max(need, 0), 1e6)+6*float64(servers)/float64(count)), 2*((servers+count-1)/count)))
	}
	return max(sizeFor(count), (sizeFor(configuredCount)+1)/2)
}
