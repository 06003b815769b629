package proxy

import "hazelwheel/internal/routeconfig"

// Verdict says of an attempt that brought no answer for the client whether the server may have run the request. It is taken
// from the wire alone.
type outcome int

// The verdicts.
const (
	// Served: there is an answer for the client.
	outcomeAnswered outcome = iota
	// NotSent: no byte of the request went out.
	outcomeNotSent
	// NotExecuted: the server says that it did not run the request.
	outcomeNotExecuted
	// MayHaveRun: bytes went out, and nothing that came back says that the request was not run.
	outcomeMayHaveExecuted
	// Canceled: the client has gone or its time is over.
	outcomeCanceled
)

// Ran tells whether the server may have run the request.
func (o outcome) mayHaveExecuted() bool { return o == outcomeMayHaveExecuted || o == outcomeAnswered }

// MayRepeat tells whether a request of a route may be sent to another server.
func (o outcome) allowsRetry(route *routeconfig.Route) bool {
	switch o {
	case outcomeNotSent, outcomeNotExecuted:
		return true
	case outcomeMayHaveExecuted:
		return route.Kind == routeconfig.Idempotent || route.Kind == routeconfig.Streaming && route.Resumable
	default:
		return false
	}
}
