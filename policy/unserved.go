package policy

import "slices"

// ended is a request that was not served, as far as its client's next try shares it.
type ended struct {
	class, tenant int
	key           uint64
	aim, until    float64 // until when an answer had its worth, and the client's total wait
}

// mostUnserved bounds the requests whose clients' next tries are known. Danger: they are looked through at each repeat.
// Refusals by the thousand a second would make that the work of the whole program.
const mostUnserved = 1000

// unserved are requests that were not served, the oldest first.
type unserved []ended

// find returns the place of the one that a request marked as a repeat belongs to, -1 if there is none.
func (u unserved) find(now float64, q *Request) int {
	if !q.Repeat {
		return -1
	}
	return slices.IndexFunc(u, func(e ended) bool {
		return now < e.until && e.class == q.Class && e.tenant == q.Tenant && e.key == q.Key
	})
}

// with returns them with one more, and without those whose time is over or for which there is no room.
func (u unserved) with(e ended, now float64) unserved {
	for len(u) > 0 && (u[0].until <= now || len(u) >= mostUnserved) {
		u = u[1:]
	}
	return append(u, e)
}
