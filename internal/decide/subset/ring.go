package subset

import (
	"cmp"
	"slices"
)

// RingOrder returns the servers in their order on the ring, in a new slice. The servers of each zone are spread evenly over the
// ring, so that any arc has a fair share of the servers of each zone, to within one server, and servers of small zones are as
// busy as others.
func RingOrder(servers []Server) []Server {
	type slot struct {
		server Server
		hash   uint64
		at     float64
	}
	slots := make([]slot, len(servers))
	for i, b := range servers {
		slots[i] = slot{server: b, hash: mixBits(b.ID + goldenRatio)}
	}
	slices.SortFunc(slots, func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.server.Zone, b.server.Zone), cmp.Compare(a.hash, b.hash), cmp.Compare(a.server.ID, b.server.ID))
	})
	for from := 0; from < len(slots); {
		to := from
		for to < len(slots) && slots[to].server.Zone == slots[from].server.Zone {
			to++
		}
		for i := from; i < to; i++ {
			slots[i].at = (float64(i-from) + 0.5) / float64(to-from)
		}
		from = to
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Compare(a.at, b.at) })
	order := make([]Server, len(slots))
	for i, s := range slots {
		order[i] = s.server
	}
	return order
}

// Select returns the servers of the arc that begins at a position, in the order of the ring. order is a result of RingOrder. size
// is limited to the number of servers.
func Select(order []Server, position Position, size int) []Server {
	size = min(max(size, 0), len(order))
	selected := make([]Server, size)
	for i, first := 0, position.firstServer(max(len(order), 1)); i < size; i++ {
		selected[i] = order[(first+i)%len(order)]
	}
	return selected
}

// Reselect returns the servers for a sidecar whose arc has moved. previous contains the IDs of the servers that it was connected
// to before. The result contains all servers of the new arc, the previous servers at most slack steps away from the arc, and as
// many of the nearest other previous servers as are needed to keep half of those that are still listed. So a list that oscillates
// does not move connections back and forth, and reports of peers, which move the position, never replace more than half of the
// connections at once. Previous servers outside the arc are dropped by later calls, when the new connections have been in use for
// a while.
func Reselect(order []Server, position Position, size, slack int, previous map[uint64]bool) []Server {
	selected := Select(order, position, size)
	if len(previous) == 0 || len(selected) == len(order) {
		return selected
	}
	kept, listed := 0, 0
	for _, server := range order {
		if previous[server.ID] {
			listed++
		}
	}
	for _, server := range selected {
		if previous[server.ID] {
			kept++
		}
	}
	count, first := len(order), position.firstServer(len(order))
	others := count - len(selected)
	for i := range others { // outwards from the arc, alternately after its end and before its beginning
		steps := i/2 + 1
		server := order[(first+len(selected)+i/2)%count]
		if i%2 == 1 {
			server = order[(first-steps+count)%count]
		}
		if previous[server.ID] && (steps <= slack || 2*kept < listed) {
			selected, kept = append(selected, server), kept+1
		}
	}
	return selected
}
