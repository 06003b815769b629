package environment

import (
	"math"

	"hazelwheel/internal/checker"
)

// mayRetryFailure reports whether a request of a class is retried after a failure that may have been executed.
func (a *Application) mayRetryFailure(class int) bool {
	spec := &a.day.Classes[class]
	return spec.Effect == checker.Safe || spec.Effect == checker.Keyed && spec.Group == checker.GroupAll
}

// startRequest starts the next request of an operation.
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
		op.requestDeadline = now + a.behavior.Float64()*(op.requestDeadline-now) // an impatient client
	}
	a.observe(checker.RequestStarted, op, nil)
	// An answer slightly after the deadline still counts.
	a.tasks.add(op.requestDeadline+answerSlackSeconds+socketSlackSeconds, clientTask{kind: taskTimeout, operation: op, request: op.request})
	if at, leaves := a.drawEarlyAbandon(op, now); leaves {
		a.tasks.add(at, clientTask{kind: taskAbandon, operation: op, request: op.request})
	}
	a.send(op, now)
}

// finishOperation ends an operation.
func (a *Application) finishOperation(op *operation) { op.isFinished = true }

// retryRejected handles a rejection, after which a retry is always safe. Some clients wait as long as the answer says.
func (a *Application) retryRejected(op *operation, now, retryAfter float64) {
	backoff := a.backoff(op)
	if retryAfter > 0 && a.behavior.Float64() < a.spec.RetryAfterShare {
		backoff = max(backoff, min(retryAfter, a.spec.MaxRetryAfterSeconds))
	}
	a.scheduleRetry(op, now+backoff)
}

// retryFailed handles a failure; unreached: the request did not reach the sidecar.
func (a *Application) retryFailed(op *operation, now float64, isUnsent bool) {
	if !isUnsent && !a.mayRetryFailure(op.class) {
		a.finishOperation(op)
		return
	}
	a.scheduleRetry(op, now+a.backoff(op))
}

// backoff returns the delay before an operation's next request.
func (a *Application) backoff(op *operation) float64 {
	return a.spec.BackoffSeconds * math.Ldexp(0.5+a.behavior.Float64(), min(op.requests-1, 8))
}

// scheduleRetry schedules the next request of an operation, if retries and time are left.
func (a *Application) scheduleRetry(op *operation, at float64) {
	op.request, op.conn = 0, nil
	if op.requests > a.spec.Retries || at >= op.deadline {
		a.finishOperation(op)
		return
	}
	a.tasks.add(at, clientTask{kind: taskRetry, operation: op})
}

// abandon ends the wait for a request and closes its connection.
func (a *Application) abandon(op *operation, now float64) {
	a.observe(checker.RequestAbandoned, op, op.conn)
	if conn := op.conn; conn != nil {
		conn.operation = nil // a connection that is still being dialed is used for another operation
		if conn.conn != nil {
			a.net.Close(conn.conn)
		}
	}
	a.retryFailed(op, now, false)
	a.sendWaiting()
}
