package sidecar

import "hazelwheel/policy"

// progress is how far an attempt has got.
type progress uint8

const (
	notConnected progress = iota
	partlyWritten
	fullyWritten
	responding
)

// String names the progress in log lines.
func (p progress) String() string {
	return [...]string{"not connected", "partly written", "fully written", "responding"}[p]
}

// cause is what ended an attempt before its response.
type cause uint8

const (
	connBroken cause = iota // the dial failed, or the connection broke
	timedOut                // the deadline passed
	cancelled               // the policy cancelled it
	superseded              // before it could start, its request or its server no longer allowed it
	malformed               // the response was malformed
)

// String names the cause in log lines.
func (c cause) String() string {
	return [...]string{"connection broken", "timed out", "cancelled", "superseded", "malformed response"}[c]
}

// attemptError describes an attempt that ended without a response.
type attemptError struct {
	progress progress
	cause    cause
	err      error // from the network or the protocol; may be nil
}

// Error returns the cause, the progress and the underlying error.
func (e *attemptError) Error() string {
	text := e.cause.String() + ", " + e.progress.String()
	if e.err != nil {
		text += ": " + e.err.Error()
	}
	return text
}

// Unwrap returns the error of the network or the protocol.
func (e *attemptError) Unwrap() error { return e.err }

// outcome returns the outcome that is reported to the policy. An outcome that wrongly says that the request has not run makes it run twice.
// A server starts a request when it has the last byte, so only an attempt that ended before that byte was written is known not to have run.
func (e *attemptError) outcome() policy.Outcome {
	if e.cause == malformed || e.cause == connBroken && e.progress == responding {
		// The server is reachable, has processed the request and has sent part of a response or a malformed one: that is an error of the host. If
		// it counted as a broken connection, two such responses in a row would eject a healthy server.
		return policy.HostError
	}
	unwritten := e.progress == notConnected || e.progress == partlyWritten
	switch {
	case e.cause == superseded && unwritten, e.cause == cancelled && e.progress == notConnected:
		return policy.NotSent
	case e.cause == cancelled:
		return policy.Cancelled
	case e.cause == timedOut && e.progress != notConnected:
		return policy.TimedOut
	case unwritten:
		return policy.ConnectFailed
	default:
		return policy.Reset
	}
}

// attempt is one attempt of a request at a server, or a probe, which has no request. Exactly one outcome is reported for
// it.
type attempt struct {
	request       *request // nil for a probe
	number        int
	serverID      uint32
	requestedAt   float64 // when the policy requested it
	sentAt        float64
	deadline      float64 // when it times out
	exchange      Exchange
	frontend      Frontend
	backend       *backendConn
	progress      progress
	timer         timer // of the deadline
	sidecar       *Sidecar
	isOver        bool
	isProbeRetry  bool    // second try of a probe
	stream        *stream // its response, if that is forwarded in parts
	unreadSeconds float64 // how long its response was in the socket before it was read
}

// finishAttempt ends an attempt and reports its outcome to the policy. err is nil if there is a complete response.
func (s *Sidecar) finishAttempt(a *attempt, err *attemptError) {
	if a.isOver || s.retryProbe(a, err) {
		return
	}
	a.isOver = true
	s.timers.stop(&a.timer)
	result := policy.Result{Host: a.serverID, Attempt: a.number}
	if err != nil {
		result.Outcome = err.outcome()
		s.log.Debug("attempt ended", "server_id", a.serverID, "probe", a.request == nil, "error", err)
	} else {
		result.Outcome, result.Report, _ = a.exchange.Result()
	}
	if s.maintenance != nil {
		s.maintenance.recordAttempt(a, err, &result, s.now())
	}
	if a.request == nil {
		s.finishProbe(a, err, result)
		return
	}
	succeeded := result.Outcome == policy.OK
	if succeeded && a.exchange.IsOneWay() {
		// Writing a one-way request says nothing about the server's latency; counted as a response, it would make the server look faster than all
		// others.
		result.Outcome = policy.Cancelled
	}
	s.counters.attemptOutcomes.count(result.Outcome)
	r := a.request
	r.removeAttempt(a)
	r.recordRun(a, result.Outcome)
	result.ID = r.id
	if succeeded && !r.isAnswered {
		s.recordResponseCost(a)
		s.answerRequest(r, served, func() { r.responder.ForwardResponse(a.exchange) })
	}
	s.failUnrepeatable(r, result.Outcome)
	result.Final = r.isAnswered
	s.turn.events = append(s.turn.events, event{endedAttempt: a, result: result})
}

// finishProbe reports the outcome of a probe to the policy.
func (s *Sidecar) finishProbe(a *attempt, err *attemptError, result policy.Result) {
	// A server rejects a probe at once, which shows that it is alive, or after the probe has queued for the longest permitted time, which
	// shows that its queue is long. If these were confused with each other or with an error, servers that are merely full would be ejected.
	if result.Outcome == policy.Rejected && s.now()-a.sentAt > probeTimeoutSeconds/2 {
		result.Outcome = policy.TimedOut
	}
	// A malformed response has no load report, but shows that the server is alive and has processed the probe.
	if err != nil && err.cause == malformed {
		result.Outcome = policy.OK
	}
	s.counters.probeOutcomes.count(result.Outcome)
	s.pushEvent(func(now float64) {
		result.DelaySeconds, result.LateSeconds = a.durations(now)
		s.capture.RecordProbe(now, result)
		s.balancer.ProbeDone(now, result)
	})
}

// failUnrepeatable ends a request after an unsuccessful attempt if it can't be sent again.
func (s *Sidecar) failUnrepeatable(r *request, outcome policy.Outcome) {
	fail := func() { r.responder.Fail(outcome == policy.TimedOut) }
	if r.isAtMostOnce && !r.isAnswered && !outcome.NeverRan() {
		// The policy goes by the class, whose requests may be sent again since servers drop duplicates. This request carries nothing by which a
		// server could detect a duplicate.
		s.answerRequest(r, failed, fail)
	}
	if r.body != nil && r.body.HasDropped() && !r.isAnswered && outcome != policy.OK {
		// The part of its body that was sent is no longer buffered, so it can't be sent to another server.
		if r.firstRunAt == 0 {
			s.answerRequest(r, throttled, func() { r.responder.Throttle(s.cfg.Settings.Policy.MaxRetryAfterSeconds) })
		} else {
			s.answerRequest(r, failed, fail)
		}
	}
}

// expire implements timerTarget: it times the attempt out.
func (a *attempt) expire() { a.sidecar.abandonAttempt(a, timedOut) }

// durations returns, for an attempt that ends now, the seconds until its response arrived and the seconds that the response was unread.
func (a *attempt) durations(now float64) (delay, late float64) {
	late = min(a.unreadSeconds, now-a.sentAt)
	return now - a.sentAt - late, late
}

// retryProbe repeats a probe once on a new connection if its connection broke, and reports whether it did. A broken connection says nothing
// about the server's state; if it failed the probe, a healthy server would be ejected and then treated as warming up.
func (s *Sidecar) retryProbe(a *attempt, err *attemptError) bool {
	endpoint := s.endpoints.Host(a.serverID)
	if a.request != nil || a.isProbeRetry || endpoint == nil || err == nil || err.cause != connBroken || err.progress == notConnected {
		return false
	}
	a.isProbeRetry, a.progress, a.exchange = true, notConnected, s.prober.NewProbe()
	s.dial(endpoint, a)
	return true
}

// mayStart reports whether an attempt may be written to its server now. While it waited for a connection or a descriptor, its deadline may
// have passed, its client may have disconnected, its server may have started to drain, and servers may have forgotten an earlier attempt,
// so that they would no longer drop this one as a duplicate.
func (s *Sidecar) mayStart(a *attempt) bool {
	now, r := s.now(), a.request
	if a.deadline <= now {
		return false
	}
	return r == nil || !r.isAnswered && s.acceptsAttempts(a.serverID) && now < r.repeatWindowEnd(a)
}

// startAttempt starts an attempt on an idle backend connection, or on a new one.
func (s *Sidecar) startAttempt(a *attempt) {
	endpoint := s.endpoints.Host(a.serverID)
	if endpoint == nil || !s.mayStart(a) {
		s.finishAttempt(a, &attemptError{notConnected, superseded, nil})
		return
	}
	a.sidecar = s
	s.timers.start(&a.timer, a.deadline, a)
	if b := s.takeIdleConn(endpoint, a.frontend); b != nil {
		b.send(a)
		return
	}
	s.dial(endpoint, a)
}

// abandonAttempt ends an attempt before its response. Its connection is closed before the outcome is reported, so that the request is not
// sent again while a copy is on an open connection, and a late response can't be taken for that of another request.
func (s *Sidecar) abandonAttempt(a *attempt, endCause cause) {
	if a.isOver {
		return
	}
	if s.backends.removeWaiting(a) { // it never had a connection, so its outcome must not count against the server
		s.finishAttempt(a, &attemptError{notConnected, superseded, nil})
		return
	}
	b, err := a.backend, &attemptError{a.progress, endCause, nil}
	b.attempt = nil
	if b.conn == nil {
		b.cancelDial()
	} else {
		err.progress = b.updateProgress(a)
		b.close()
	}
	s.finishAttempt(a, err)
}
