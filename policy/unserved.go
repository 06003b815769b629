package policy

import "slices"

// ended is a request that was not served, as far as its client's next try shares it.
type unservedRequest struct {
	class, tenant       int
	key                 uint64
	targetAt, expiresAt float64 // until when an answer had its worth, and the client's total wait
}

// mostUnserved bounds the requests whose clients' next tries are known. Danger: they are looked through at each repeat.
// Refusals by the thousand a second would make that the work of the whole program.
const maxUnserved = 1000

// unserved are requests that were not served, the oldest first.
type unservedRequests []unservedRequest

// find returns the place of the one that a request marked as a repeat belongs to, -1 if there is none.
func (u unservedRequests) indexOf(now float64, q *Request) int {
	if !q.Repeat {
		return -1
	}
	return slices.IndexFunc(u, func(e unservedRequest) bool {
		return now < e.expiresAt && e.class == q.Class && e.tenant == q.Tenant && e.key == q.Key
	})
}

// with returns them with one more, and without those whose time is over or for which there is no room.
func (u unservedRequests) appended(e unservedRequest, now float64) unservedRequests {
	for len(u) > 0 && (u[0].expiresAt <= now || len(u) >= maxUnserved) {
		u = u[1:]
	}
	return append(u, e)
}
