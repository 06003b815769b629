package proxy

import (
	"context"
	"sync"
)

// admittedRequests holds the requests in progress that were sent with a key, so that they can be ended when it is revoked. It is safe for concurrent
// use. A nil value is valid and stays empty.
type admittedRequests struct {
	mu       sync.Mutex // guards requests
	requests map[*proxyRequest]context.CancelFunc
}

// newAdmittedRequests returns an empty set.
func newAdmittedRequests() *admittedRequests {
	return &admittedRequests{requests: map[*proxyRequest]context.CancelFunc{}}
}

// add adds a request, whose route and credentials must not change afterwards. cancel ends the request and must not block.
func (a *admittedRequests) add(req *proxyRequest, cancel context.CancelFunc) {
	if a == nil || req.credentials.key.IsZero() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[req] = cancel
}

// remove removes a request that has ended.
func (a *admittedRequests) remove(req *proxyRequest) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.requests, req)
}

// endRevoked ends the requests that a configuration doesn't authorize, and returns their number.
func (a *admittedRequests) endRevoked(table *routeTable) (ended int) {
	if a == nil || table == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for req, cancel := range a.requests {
		if _, err := table.authorize(table.currentRoute(req), req.credentials); err != nil {
			cancel()
			ended++
		}
	}
	return ended
}

// count returns how many requests are in progress.
func (a *admittedRequests) count() int {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.requests)
}
