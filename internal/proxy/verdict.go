package proxy

import "hazelwheel/internal/routeconfig"

// Verdict says of an attempt that brought no answer for the client whether the server may have run the request. It is taken
// from the wire alone.
type Verdict int

// The verdicts.
const (
	// Served: there is an answer for the client.
	Served Verdict = iota
	// NotSent: no byte of the request went out.
	NotSent
	// NotExecuted: the server says that it did not run the request.
	NotExecuted
	// MayHaveRun: bytes went out, and nothing that came back says that the request was not run.
	MayHaveRun
	// Canceled: the client has gone or its time is over.
	Canceled
)

// Ran tells whether the server may have run the request.
func (v Verdict) Ran() bool { return v == MayHaveRun || v == Served }

// MayRepeat tells whether a request of a route may be sent to another server.
func (v Verdict) MayRepeat(route *routeconfig.Route) bool {
	switch v {
	case NotSent, NotExecuted:
		return true
	case MayHaveRun:
		return route.Kind == routeconfig.Idempotent || route.Kind == routeconfig.Streaming && route.Resumable
	default:
		return false
	}
}
