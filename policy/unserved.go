package policy

import "slices"

// maxUnserved bounds the unserved requests that are remembered. Each marked retry searches them linearly; with thousands of
// refusals a second, an unbounded search would take all of the CPU time.
const maxUnserved = 1000

// unservedRequest is a request that was answered without being served, kept for the client's next try.
type unservedRequest struct {
	class, tenant int
	key           uint64
	targetAt      float64 // target of the first try
	expiresAt     float64 // end of the client's total timeout
}

// unservedRequests holds unserved requests, the oldest first.
type unservedRequests []unservedRequest

// indexOf returns the index of the request of which q is a marked retry, -1 if there is none.
func (u unservedRequests) indexOf(now float64, q *Request) int {
	if !q.Repeat {
		return -1
	}
	return slices.IndexFunc(u, func(e unservedRequest) bool {
		return now < e.expiresAt && e.class == q.Class && e.tenant == q.Tenant && e.key == q.Key
	})
}

// appended returns u with one more request, without the oldest that have expired or exceed maxUnserved.
func (u unservedRequests) appended(e unservedRequest, now float64) unservedRequests {
	for len(u) > 0 && (u[0].expiresAt <= now || len(u) >= maxUnserved) {
		u = u[1:]
	}
	return append(u, e)
}
