package policy

// Actions is what a Balancer asks the host program to do. Calls take effect at the time of the event that is being handled, must
// return without blocking and must not call back into the Balancer.
type Actions interface {
	// Send starts the next attempt of a request; attempts are numbered from 0. AttemptDone must follow, with TimedOut at the
	// request's deadline at the latest.
	Send(request, host uint32)
	// Cancel cancels an attempt in flight. It is called only if Settings.CanCancel is set.
	Cancel(request uint32, attempt int)
	// Probe sends a health check. ProbeDone must follow.
	Probe(host uint32)
	// CloseIdle closes the idle connections to a host.
	CloseIdle(host uint32)
	// Refuse gives a request its final answer: it is refused, and a retry is harmless, best after the given seconds.
	Refuse(request uint32, retryAfterSeconds float64)
	// Fail gives a request its final answer: it failed, and may have been executed.
	Fail(request uint32)
	// WakeAfter arms the timer: Wake must be called after the given seconds. Wake-ups that were armed before may still come.
	WakeAfter(seconds float64)
	// Watch requests the endpoint list and subscribes to its changes. UpdateHosts must follow, with ListFailed if the request
	// fails.
	Watch()
	// Log writes a change of state to the operators' log.
	Log(text string)
}
