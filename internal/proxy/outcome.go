package proxy

import "hazelwheel/internal/routeconfig"

// outcome is the outcome of an attempt. It is determined only by what was sent and received, and says whether the server may have executed the
// request.
type outcome int

// The outcomes of an attempt.
const (
	outcomeAnswered        outcome = iota // there is a response for the client
	outcomeNotSent                        // no byte of the request was sent
	outcomeNotExecuted                    // the server says that it has not executed the request
	outcomeMayHaveExecuted                // bytes were sent, and no response has ruled out that the request was executed
	outcomeCanceled                       // the client has disconnected or its deadline has passed
	outcomeWithoutTokens                  // the tenant's limit has no tokens for it; nothing was sent
)

// mayHaveExecuted reports whether the server may have executed the request.
func (o outcome) mayHaveExecuted() bool { return o == outcomeMayHaveExecuted || o == outcomeAnswered }

// allowsRetry reports whether a request of a route may be sent to another server after this outcome: always if it was not executed, otherwise
// only if executing it twice does no harm.
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
