package environment

import (
	"math"

	"hazelwheel/internal/checker"
)

// repeats tells whether a class is tried again after a failure that may have run.
func (a *Application) mayRetryFailure(class int) bool {
	spec := &a.day.Classes[class]
	return spec.Effect == checker.Safe || spec.Effect == checker.Keyed && spec.Group == checker.GroupAll
}

// try begins the next try of a request.
func (a *Application) startRequest(op *operation, now float64) {
	op.request, op.requests, op.isResent, op.conn = a.ids.Uint64()|1, op.requests+1, false, nil
	if op.firstRequest == 0 {
		op.firstRequest = op.request
	}
	op.requestDeadline = op.deadline
	if op.requests <= a.spec.Retries && a.mayRetryFailure(op.class) {
		op.requestDeadline = min(op.deadline, now+a.spec.AttemptTimeoutShare*a.day.Classes[op.class].TotalTimeoutSeconds)
	}
	if a.behavior.Float64() < a.spec.ImpatientShare {
		op.requestDeadline = now + a.behavior.Float64()*(op.requestDeadline-now) // it goes away early
	}
	a.observe(checker.RequestStarted, op, nil)
	// An answer that comes a little late still counts.
	a.tasks.add(op.requestDeadline+answerSlackSeconds+socketSlackSeconds, clientTask{kind: taskTimeout, operation: op, request: op.request})
	if at, leaves := a.drawEarlyAbandon(op, now); leaves {
		a.tasks.add(at, clientTask{kind: taskAbandon, operation: op, request: op.request})
	}
	a.send(op, now)
}

// settle ends a request.
func (a *Application) finishOperation(op *operation) { op.isFinished = true }

// refused takes a refusal: trying again is harmless.
func (a *Application) retryRejected(op *operation, now, after float64) {
	pause := a.backoff(op)
	if after > 0 && a.behavior.Float64() < a.spec.RetryAfterShare {
		pause = max(pause, min(after, a.spec.MaxRetryAfterSeconds))
	}
	a.scheduleRetry(op, now+pause)
}

// failed takes a failure; unreached ones have not even been taken.
func (a *Application) retryFailed(op *operation, now float64, unreached bool) {
	if !unreached && !a.mayRetryFailure(op.class) {
		a.finishOperation(op)
		return
	}
	a.scheduleRetry(op, now+a.backoff(op))
}

func (a *Application) backoff(op *operation) float64 {
	return a.spec.BackoffSeconds * math.Ldexp(0.5+a.behavior.Float64(), min(op.requests-1, 8))
}

// again has a request tried once more, if it has tries and time left.
func (a *Application) scheduleRetry(op *operation, at float64) {
	op.request, op.conn = 0, nil
	if op.requests > a.spec.Retries || at >= op.deadline {
		a.finishOperation(op)
		return
	}
	a.tasks.add(at, clientTask{kind: taskRetry, operation: op})
}

// giveUp ends the wait for a try.
func (a *Application) abandon(op *operation, now float64) {
	a.observe(checker.RequestAbandoned, op, op.conn)
	if conn := op.conn; conn != nil {
		conn.operation = nil // a connection that still comes up serves another
		if conn.conn != nil {
			a.net.Close(conn.conn)
		}
	}
	a.retryFailed(op, now, false)
	a.sendWaiting()
}
