package checker

import "math"

// fate is how a try ended.
type fate uint8

const (
	unended  fate = iota
	served        // by an answer of status 200
	refused       // by 429 or 503
	failed        // by any other answer, or by part of one
	left          // the client has gone
	unsent        // its connection was closed, and nothing had been sent on for it
	lost          // and something had
	excused       // the sidecar was killed
	notTaken      // no connection came up
)

// record is a try of a client, as far as it has been seen.
type record struct {
	id       uint64
	want     *want
	sidecar  int32
	class    int32
	fate     fate
	askedAt  float64
	until    float64
	takenAt  float64
	endedAt  float64
	taken    bool
	dropped  bool // its connection was closed once, and it was sent again
	halved   bool // its client has ended its direction of the connection
	claimed  bool // a hostile client has used its id
	place    int  // among the sidecar's open ones; -1: it is none
	attempts []attempt
	room     [2]attempt
}

// want is a request over all tries of its client.
type want struct {
	askedAt float64
	class   int32
	counted bool
	served  bool
}

// mayBeOver tells whether the sidecar may have answered the try: its client may not have read the answer yet.
func (r *record) mayBeOver() bool {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.repliedAt > 0 || a.closedAt > 0 {
			return true
		}
	}
	return r.fate != unended
}

// attempt is an execution that came whole to a box.
type attempt struct {
	box, boxLife int32
	life         int // of the sidecar
	link         uint64
	firstSent    float64
	sent         float64
	repliedAt    float64 // 0: it has not been
	closedAt     float64 // when the sidecar or the box ended its connection; 0: neither has
	exact        bool    // closedAt is the sidecar's own time
	status       int32
	digest       uint64
	notStarted   bool
	spoilt       bool
}

// endedBy returns when the sidecar could know that the attempt was over, +Inf: not yet. boxEnded is when the box's life
// ended, +Inf: it goes on. A spoilt answer is none; the sidecar ends such an attempt itself.
func (a *attempt) endedBy(boxEnded float64) float64 {
	at := boxEnded
	if a.closedAt > 0 {
		at = min(at, a.closedAt)
	}
	if a.repliedAt > 0 && !a.spoilt {
		at = min(at, a.repliedAt)
	}
	return at
}

// provenUnrun tells whether the sidecar knew at a time that the attempt never ran.
func (a *attempt) provenUnrun(at float64) bool { return a.notStarted && a.repliedAt <= at }

// station is what the judge knows of a box.
type station struct {
	zone, cell int32
	address    string
	since      float64
	life       int32
	ends       []float64 // of its lives
	work       []work    // of a cold one, of the last window
	listed     []Event
}

type work struct {
	at, seconds float64
	knew        bool
}

// endOf returns when a life of the box ended, +Inf: it goes on.
func (s *station) endOf(life int32) float64 {
	if int(life) <= len(s.ends) && life > 0 {
		return s.ends[life-1]
	}
	return math.Inf(1)
}

// knowledge is what a sidecar's present process has been told of a box.
type knowledge struct {
	status int32 // 0: nothing
	at     float64
	since  float64 // of the entry that told it to serve, the last one
	said   Event
}

// party is a sidecar.
type party struct {
	out        map[int32]float64 // boxes that operators have taken out, since when
	life       int
	startedAt  float64
	killedAt   float64
	termedAt   float64 // 0: it was not told to end
	reloadedAt float64
	frozenAt   float64 // when it stood still last, until thawedAt
	thawedAt   float64
	watches    int
	silent     []uint64 // links of those to which nothing is written any more
	silentAt   float64  // since when it has had no watch that speaks, the last of which fell silent then; 0: it has one, or lost it otherwise
	askedAt    float64  // when it called discovery last
	askFailed  bool
	called     bool // since its last watch ended
	open       []*record
	told       []knowledge // by box
	index      uint64      // of the latest list that it was told of
}

// fellSilent notes that all watches that are open are silent, if they are.
func (p *party) fellSilent(at float64) {
	if p.watches > 0 && p.watches <= len(p.silent) && p.silentAt == 0 {
		p.silentAt = at
	}
}

// watched tells whether a watch is open that speaks.
func (p *party) watched() bool { return p.watches > len(p.silent) }

// take and drop keep the list of a sidecar's open tries. Its order is that of what happened, never that of a map.
func (p *party) take(r *record) {
	if r.place < 0 {
		r.place = len(p.open)
		p.open = append(p.open, r)
	}
}

func (p *party) drop(r *record) {
	if r.place < 0 {
		return
	}
	last := p.open[len(p.open)-1]
	p.open[r.place], last.place = last, r.place
	p.open = p.open[:len(p.open)-1]
	r.place = -1
}
