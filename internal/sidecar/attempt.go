package sidecar

import "hazelwheel/policy"

// progress is how far an attempt has come.
type progress uint8

const (
	notConnected progress = iota
	partlyWritten
	fullyWritten
	responding
)

func (p progress) String() string {
	return [...]string{"not connected", "partly written", "written whole", "answering"}[p]
}

// cause is what ended an attempt before its answer.
type cause uint8

const (
	connBroken cause = iota // the link did not come up, or broke
	timedOut                // the wait was over
	cancelled               // the decisions called it off
	superseded              // its request or its server was no longer to be served when the link was up
	malformed               // the server brought no sense
)

func (c cause) String() string {
	return [...]string{"broke", "timed out", "cancelled", "overtaken", "spoilt"}[c]
}

// attemptError is the end of an attempt without an answer, and how far it had come.
type attemptError struct {
	progress progress
	cause    cause
	err      error // what the network said, if anything
}

func (e *attemptError) Error() string {
	text := e.cause.String() + ", " + e.progress.String()
	if e.err != nil {
		text += ": " + e.err.Error()
	}
	return text
}

func (e *attemptError) Unwrap() error { return e.err }

// outcome tells the decisions how an attempt ended. Danger: an outcome that claims too much (that nothing
// can have run) makes a request run twice. A server begins a request with its last byte, so only what broke
// before that byte was written is known never to have run.
func (e *attemptError) outcome() policy.Outcome {
	if e.cause == malformed || e.cause == connBroken && e.progress == responding {
		// The server is there, it has come to the request and has said something: it erred, whatever it said.
		// Danger: taken for a server that died, two such answers in a row would shut a sound one out.
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

// attempt is one attempt of a request at a server, or a probe of it, which has no request. It ends with
// exactly one outcome.
type attempt struct {
	request       *request // nil for a probe
	number        int
	serverID      uint32
	requestedAt   float64 // when the decisions asked for it
	sentAt        float64
	deadline      float64 // when the wait is over
	exchange      Exchange
	frontend      Frontend
	backend       *backendConn
	progress      progress
	timer         timer // when the wait is over
	sidecar       *Sidecar
	isOver        bool
	isProbeRetry  bool    // a probe that has been begun again
	stream        *stream // of its answer, which is passed on as it comes
	unreadSeconds float64 // how long its answer lay in the socket
}

// finish ends an attempt. err is nil where a whole answer has come.
func (s *Sidecar) finishAttempt(a *attempt, err *attemptError) {
	if a.isOver || s.retryProbe(a, err) {
		return
	}
	a.isOver = true
	s.timers.stop(&a.timer)
	result := policy.Result{Host: a.serverID, Attempt: a.number}
	if err != nil {
		result.Outcome = err.outcome()
		s.log.Debug("attempt ended", "host", a.serverID, "probe", a.request == nil, "error", err)
	} else {
		result.Outcome, result.Report, _ = a.exchange.Result()
	}
	if s.maintenance != nil {
		s.maintenance.recordAttempt(a, err, &result, s.now())
	}
	if a.request == nil {
		// A server turns a probe away at once, or after it has waited in line for as long as probes may.
		// Danger: the first shows that it lives, and the second that its line is long; taken for one another,
		// or for an error, they shut out servers that are merely full.
		if result.Outcome == policy.Rejected && s.now()-a.sentAt > probeTimeoutSeconds/2 {
			result.Outcome = policy.TimedOut
		}
		// What nobody can read tells nothing of the load, but its server is there and has come to the probe.
		if err != nil && err.cause == malformed {
			result.Outcome = policy.OK
		}
		s.counters.probeOutcomes.count(result.Outcome)
		s.pushEvent(func(now float64) {
			result.DelaySeconds, result.LateSeconds = a.durations(now)
			s.capture.RecordProbe(now, result)
			s.balancer.ProbeDone(now, result)
		})
		return
	}
	succeeded := result.Outcome == policy.OK
	if succeeded && a.exchange.IsOneWay() {
		// Danger: that a request is written tells nothing of its server's time; taken for an answer it makes the server look
		// quicker than any.
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
	if r.isAtMostOnce && !r.isAnswered && !result.Outcome.NeverRan() {
		// Danger: the decisions go by the class, whose requests may run again because something drops their repeats.
		s.answerRequest(r, failed, func() { r.responder.Fail(result.Outcome == policy.TimedOut) })
	}
	if r.body != nil && r.body.HasDropped() && !r.isAnswered && result.Outcome != policy.OK {
		// What has been sent of its body is no longer there, so nobody else can get it.
		if r.firstRunAt == 0 {
			s.answerRequest(r, throttled, func() { r.responder.Throttle(s.cfg.Settings.Policy.MaxRetryAfterSeconds) })
		} else {
			s.answerRequest(r, failed, func() { r.responder.Fail(result.Outcome == policy.TimedOut) })
		}
	}
	result.Final = r.isAnswered
	s.turn.events = append(s.turn.events, event{endedAttempt: a, result: result})
}

// expire ends the wait.
func (a *attempt) expire() { a.sidecar.abandonAttempt(a, timedOut) }

// took returns how long an attempt that ends now took to its answer's arrival, and how long that lay unread.
func (a *attempt) durations(now float64) (delay, late float64) {
	late = min(a.unreadSeconds, now-a.sentAt)
	return now - a.sentAt - late, late
}

// probeAgain begins a probe once more, on a new link, where its link broke. Danger: a probe asks after the server;
// a link's end says nothing of it, and a sound server that seems silent is shut out and then taken for cold.
func (s *Sidecar) retryProbe(a *attempt, err *attemptError) bool {
	endpoint := s.endpoints.Host(a.serverID)
	if a.request != nil || a.isProbeRetry || endpoint == nil || err == nil || err.cause != connBroken || err.progress == notConnected {
		return false
	}
	a.isProbeRetry, a.progress, a.exchange = true, notConnected, s.prober.NewProbe()
	s.dial(endpoint, a)
	return true
}

// mayBegin tells whether an attempt may be written to its server now. Danger: while it waited for a connection or a descriptor its
// time may have run out, its client may have gone, its server may have been told to drain, and the servers that would drop it as a
// repeat may have forgotten the attempt before.
func (s *Sidecar) mayStart(a *attempt) bool {
	now, r := s.now(), a.request
	if a.deadline <= now {
		return false
	}
	return r == nil || !r.isAnswered && s.acceptsAttempts(a.serverID) && now < r.repeatWindowEnd(a)
}

// begin starts an attempt on an idle backend connection, or on a new one.
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

// abandon gives an attempt up. Its link is closed before the outcome is told: nothing may be sent again
// while a copy is still out on an open link, and no late answer may meet another request.
func (s *Sidecar) abandonAttempt(a *attempt, endCause cause) {
	if a.isOver {
		return
	}
	if s.backends.removeWaiting(a) { // it has never had a link, which is no fault of its server
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
