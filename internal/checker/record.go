package checker

import "math"

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

// attempt is an execution that came whole to a box.
type attempt struct {
	server, serverIncarnation int32
	sidecarIncarnation        int // of the sidecar
	connection                uint64
	firstByteSentAt           float64
	sentAt                    float64
	repliedAt                 float64 // 0: it has not been
	closedAt                  float64 // when the sidecar or the box ended its connection; 0: neither has
	isClosedAtExact           bool    // closedAt is the sidecar's own time
	status                    int32
	digest                    uint64
	notStarted                bool
	malformed                 bool
}

// endedBy returns when the sidecar could know that the attempt was over, +Inf: not yet. boxEnded is when the box's life
// ended, +Inf: it goes on. A spoilt answer is none; the sidecar ends such an attempt itself.
func (a *attempt) endKnownAt(serverEndedAt float64) float64 {
	at := serverEndedAt
	if a.closedAt > 0 {
		at = min(at, a.closedAt)
	}
	if a.repliedAt > 0 && !a.malformed {
		at = min(at, a.repliedAt)
	}
	return at
}

// provenUnrun tells whether the sidecar knew at a time that the attempt never ran.
func (a *attempt) isProvenNotRun(at float64) bool { return a.notStarted && a.repliedAt <= at }

// station is what the judge knows of a box.
type serverState struct {
	zone, cell      int32
	address         string
	servingSince    float64
	incarnation     int32
	incarnationEnds []float64  // of its lives
	recentWork      []coldWork // of a cold one, of the last window
	listChanges     []Event
}

type coldWork struct {
	at, seconds    float64
	isFromNotified bool
}

// endOf returns when a life of the box ended, +Inf: it goes on.
func (s *serverState) incarnationEnd(incarnation int32) float64 {
	if int(incarnation) <= len(s.incarnationEnds) && incarnation > 0 {
		return s.incarnationEnds[incarnation-1]
	}
	return math.Inf(1)
}

// knowledge is what a sidecar's present process has been told of a box.
type notifiedEntry struct {
	status       int32 // 0: nothing
	changedAt    float64
	servingSince float64 // of the entry that told it to serve, the last one
	event        Event
}

// party is a sidecar.
type sidecarState struct {
	cordons            map[int32]float64 // boxes that operators have taken out, since when
	incarnation        int
	startedAt          float64
	killedAt           float64
	terminatingAt      float64 // 0: it was not told to end
	reloadedAt         float64
	suspendedAt        float64 // when it stood still last, until thawedAt
	resumedAt          float64
	openWatches        int
	stalledWatches     []uint64 // links of those to which nothing is written any more
	stalledAt          float64  // since when it has had no watch that speaks, the last of which fell silent then; 0: it has one, or lost it otherwise
	polledAt           float64  // when it called discovery last
	pollFailed         bool
	isPolledSinceWatch bool // since its last watch ended
	pendingRequests    []*request
	entries            []notifiedEntry // by box
	listIndex          uint64          // of the latest list that it was told of
}

// fellSilent notes that all watches that are open are silent, if they are.
func (p *sidecarState) noteStalledWatches(at float64) {
	if p.openWatches > 0 && p.openWatches <= len(p.stalledWatches) && p.stalledAt == 0 {
		p.stalledAt = at
	}
}

// watched tells whether a watch is open that speaks.
func (p *sidecarState) hasLiveWatch() bool { return p.openWatches > len(p.stalledWatches) }

// take and drop keep the list of a sidecar's open tries. Its order is that of what happened, never that of a map.
func (p *sidecarState) addPending(request *request) {
	if request.pendingIndex < 0 {
		request.pendingIndex = len(p.pendingRequests)
		p.pendingRequests = append(p.pendingRequests, request)
	}
}

func (p *sidecarState) removePending(request *request) {
	if request.pendingIndex < 0 {
		return
	}
	last := p.pendingRequests[len(p.pendingRequests)-1]
	p.pendingRequests[request.pendingIndex], last.pendingIndex = last, request.pendingIndex
	p.pendingRequests = p.pendingRequests[:len(p.pendingRequests)-1]
	request.pendingIndex = -1
}
