package environment

import (
	"math"

	"hazelwheel/internal/checker"
)

// repeats tells whether a class is tried again after a failure that may have run.
func (a *Application) mayRetryFailure(class int) bool {
	c := &a.day.Classes[class]
	return c.Effect == checker.Safe || c.Effect == checker.Keyed && c.Group == checker.GroupAll
}

// try begins the next try of a request.
func (a *Application) startRequest(k *operation, now float64) {
	k.request, k.requests, k.isResent, k.conn = a.ids.Uint64()|1, k.requests+1, false, nil
	if k.firstRequest == 0 {
		k.firstRequest = k.request
	}
	k.requestDeadline = k.deadline
	if k.requests <= a.spec.Retries && a.mayRetryFailure(k.class) {
		k.requestDeadline = min(k.deadline, now+a.spec.AttemptTimeoutShare*a.day.Classes[k.class].TotalTimeoutSeconds)
	}
	if a.behavior.Float64() < a.spec.ImpatientShare {
		k.requestDeadline = now + a.behavior.Float64()*(k.requestDeadline-now) // it goes away early
	}
	a.observe(checker.RequestStarted, k, nil)
	// An answer that comes a little late still counts.
	a.tasks.add(k.requestDeadline+answerSlackSeconds+socketSlackSeconds, clientTask{kind: taskTimeout, operation: k, request: k.request})
	if at, leaves := a.drawEarlyAbandon(k, now); leaves {
		a.tasks.add(at, clientTask{kind: taskAbandon, operation: k, request: k.request})
	}
	a.send(k, now)
}

// settle ends a request.
func (a *Application) finishOperation(k *operation) { k.isFinished = true }

// refused takes a refusal: trying again is harmless.
func (a *Application) retryRejected(k *operation, now, after float64) {
	pause := a.backoff(k)
	if after > 0 && a.behavior.Float64() < a.spec.RetryAfterShare {
		pause = max(pause, min(after, a.spec.MaxRetryAfterSeconds))
	}
	a.scheduleRetry(k, now+pause)
}

// failed takes a failure; unreached ones have not even been taken.
func (a *Application) retryFailed(k *operation, now float64, unreached bool) {
	if !unreached && !a.mayRetryFailure(k.class) {
		a.finishOperation(k)
		return
	}
	a.scheduleRetry(k, now+a.backoff(k))
}

func (a *Application) backoff(k *operation) float64 {
	return a.spec.BackoffSeconds * math.Ldexp(0.5+a.behavior.Float64(), min(k.requests-1, 8))
}

// again has a request tried once more, if it has tries and time left.
func (a *Application) scheduleRetry(k *operation, at float64) {
	k.request, k.conn = 0, nil
	if k.requests > a.spec.Retries || at >= k.deadline {
		a.finishOperation(k)
		return
	}
	a.tasks.add(at, clientTask{kind: taskRetry, operation: k})
}

// giveUp ends the wait for a try.
func (a *Application) abandon(k *operation, now float64) {
	a.observe(checker.RequestAbandoned, k, k.conn)
	if link := k.conn; link != nil {
		link.operation = nil // a connection that still comes up serves another
		if link.conn != nil {
			a.net.Close(link.conn)
		}
	}
	a.retryFailed(k, now, false)
	a.sendWaiting()
}
