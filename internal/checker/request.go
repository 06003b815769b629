package checker

// outcome is how a request ended, as its client observed it.
type outcome uint8

const (
	pending      outcome = iota
	served               // by an answer of status 200
	rejected             // by 429 or 503
	failed               // by any other answer, or by part of one
	abandoned            // the client has stopped waiting or has gone
	closedUnsent         // its connection was closed before it was forwarded
	lost                 // its connection was closed without an answer, though it was read or forwarded
	excused              // the sidecar was killed
	notSent              // no connection was established
)

// request is what is known of one request of a client.
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
	wasDropped     bool // its connection was closed once, and the client has sent it again
	isHalfClosed   bool // its client has closed its direction of the connection
	isIDReused     bool // a hostile client has used its id
	pendingIndex   int  // index in the sidecar's pendingRequests; -1: it is not there
	attempts       []attempt
	attemptStorage [2]attempt // backs attempts of most requests
}

// operation is what a client wants over all its requests for it: the first one and its retries.
type operation struct {
	startedAt float64
	class     int32
	isCounted bool // the service is measured by it
	isServed  bool
}

// mayBeAnswered reports whether the sidecar may have answered the request: the client may not have read the answer yet.
func (r *request) mayBeAnswered() bool {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.repliedAt > 0 || a.closedAt > 0 {
			return true
		}
	}
	return r.outcome != pending
}

// hasResponse reports whether a server has made a complete, successful answer with this digest for the request.
func (r *request) hasResponse(digest uint64) bool {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.isServed() && a.digest == digest {
			return true
		}
	}
	return false
}
