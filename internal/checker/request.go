package checker

// made tells whether a box has made this answer for the try.
func (r *request) hasResponse(digest uint64) bool {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.repliedAt > 0 && a.status == 200 && !a.malformed && a.digest == digest {
			return true
		}
	}
	return false
}

// fate is how a try ended.
type outcome uint8

const (
	pending      outcome = iota
	served               // by an answer of status 200
	rejected             // by 429 or 503
	failed               // by any other answer, or by part of one
	abandoned            // the client has gone
	closedUnsent         // its connection was closed, and nothing had been sent on for it
	lost                 // and something had
	excused              // the sidecar was killed
	notSent              // no connection came up
)

// record is a try of a client, as far as it has been seen.
type request struct {
	id             uint64
	operation      *operation
	sidecar        int32
	class          int32
	outcome        outcome
	startedAt      float64
	deadline       float64
	sentAt         float64
	endedAt        float64
	isSent         bool
	wasDropped     bool // its connection was closed once, and it was sent again
	isHalfClosed   bool // its client has ended its direction of the connection
	isIDReused     bool // a hostile client has used its id
	pendingIndex   int  // among the sidecar's open ones; -1: it is none
	attempts       []attempt
	attemptStorage [2]attempt
}

// want is a request over all tries of its client.
type operation struct {
	startedAt float64
	class     int32
	isCounted bool
	isServed  bool
}

// mayBeOver tells whether the sidecar may have answered the try: its client may not have read the answer yet.
func (r *request) mayBeAnswered() bool {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.repliedAt > 0 || a.closedAt > 0 {
			return true
		}
	}
	return r.outcome != pending
}
