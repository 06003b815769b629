package coordination

import (
	"math"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
	"hazelwheel/internal/sidecar"
)

// worker is a sidecar's part in the job.
type worker struct {
	o  *owners
	to sidecar.Boxes

	// Of every sidecar.
	epoch, version uint64 // of what it goes by
	body           []byte
	state          maintenance.State
	outAt          map[string]float64 // since when a box is out here
	waits          []maintenance.Blocker
	owner          string
	wordAt         float64 // of the owner's last word; -Inf: there was none
	ages           []planAge
	agesAt         float64
	up             int // the link over which the question has come
	token          uint64
	round          uint64
	gathered       *maintenance.Report // that is to go there; nil: nothing is
	sendAt         float64
	bucket         budget
	ended, refused uint64 // requests, when it was asked last
	endedAt        float64
	boxEnded       map[string]uint64
	orders         []*order // in the order in which they came

	// Of the owner.
	held    uint64
	c       *maintenance.Coordinator // nil: what is agreed is not known yet
	first   []byte                   // what was agreed under an earlier founding, and is to be kept again before all else
	writing []byte                   // the body that is being agreed; nil: none
	writeAt float64
	signAt  float64
	askAt   float64
	by      float64
	asked   []maintenance.Member
	sum     *maintenance.Report // nil: no round is on

	told, toldEpoch uint64 // what all were told of whole
}

func newWorker(o *owners) *worker {
	now := o.f.net.Now()
	w := &worker{o: o, to: o.f.o.Servers, outAt: map[string]float64{}, wordAt: math.Inf(-1), bucket: budget{answersAtOnce, now}, endedAt: now,
		boxEnded: map[string]uint64{}}
	return w
}

func (w *worker) Name() string { return worksName }

// AtStep, where a build for tests sets it, is called by the owner at named instants: "agreed", when a version is agreed and before
// anybody is told; "told", when all were; "empty", before a box that is empty is agreed to be; "handed", before a mechanic is told.
var OnMaintenanceStep func(step string)

func atStep(step string) {
	if OnMaintenanceStep != nil {
		OnMaintenanceStep(step)
	}
}

// Heard takes an effect.
func (w *worker) Heard(from *peers.Link, e *frames.RoleMessage) {
	now := w.o.f.net.Now()
	switch e.Kind {
	case kindAgreed:
		var a agreedWord
		if frames.Unmarshal(e.Body, &a) == nil {
			w.heardAgreed(now, from, &a)
		}
	case kindHold:
		var h heldWord
		if frames.Unmarshal(e.Body, &h) == nil {
			w.heardHeld(from, h)
		}
	case kindWorkAsk:
		var q worksQuestion
		if frames.Unmarshal(e.Body, &q) == nil {
			w.up, w.token, w.round = from.Number, e.Token, q.Round
			w.gathered, w.sendAt = w.own(now), now+workGatherS
			if newer(q.Epoch, q.Version, w.epoch, w.version) {
				w.hold(from)
			}
		}
	case kindSum:
		var s worksSum
		if frames.Unmarshal(e.Body, &s) != nil || s.Round != w.round {
			return
		}
		switch {
		case w.held != 0 && e.Token == w.held:
			if w.sum != nil {
				_ = w.sum.Merge(&s.Sum) // what makes no sense is not in the round, nor those that it is from
			}
		case e.Token == w.token:
			if w.gathered == nil {
				w.gathered, w.sendAt = &maintenance.Report{}, now+workGatherS
			}
			_ = w.gathered.Merge(&s.Sum) // the same
		}
	case kindCommand:
		var c maintenance.Command
		if frames.Unmarshal(e.Body, &c) == nil && c.Nonce != 0 {
			w.ordered(now, &c, from)
		}
	case kindReply:
		var r maintenance.Reply
		if frames.Unmarshal(e.Body, &r) == nil {
			w.replied(now, &r)
		}
	}
}

func one(on bool) int {
	if on {
		return 1
	}
	return 0
}

func (w *worker) Begin(token uint64) {
	w.held, w.c, w.first, w.writing, w.sum = token, nil, nil, nil, nil
	w.signAt, w.askAt, w.told, w.toldEpoch = 0, 0, 0, 0
}

func (w *worker) End() {
	w.held, w.c, w.first, w.writing, w.sum = 0, nil, nil, nil, nil
	for _, d := range w.orders { // the next owner says what came of them
		d.passAt = math.Inf(-1)
	}
}

// Tick does what is due, and says when to be called next.
func (w *worker) Tick(now float64) (next float64) {
	next = now + restS
	if w.gathered != nil {
		if now >= w.sendAt {
			w.answer(now)
		}
		if w.gathered != nil {
			next = min(next, w.sendAt)
		}
	}
	for _, d := range w.orders {
		if d.ended || now-d.askedAt > askedForS || w.held != 0 {
			continue
		}
		if now >= d.passAt+commandAgainS {
			w.pass(now, d, nil)
		}
		next = min(next, now+commandAgainS)
	}
	if w.held == 0 {
		return next
	}
	return min(next, w.tickOwner(now))
}

var _ work = (*worker)(nil)
