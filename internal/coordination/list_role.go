package coordination

import (
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

// listJob is one of the three jobs.
type listJob struct {
	f        *feeder
	name     string
	token    uint64 // under which it is owned here; 0: it is not
	late     uint64 // under which it was, whose lease was not renewed; 0: none
	lateBy   float64
	beganAt  float64
	movedAt  float64 // when it was asked to go to another
	of       uint64  // the token of the words that come
	at       float64 // when the last good news was made; 0: there is none
	floor    float64 // what a word that was not held up shows between its owner's clock and this one's
	flooredS float64
}

func (j *listJob) Name() string { return j.name }

// Begin has the sidecar watch for all.
func (j *listJob) Begin(token uint64) {
	j.token, j.late, j.beganAt = token, 0, j.f.o.f.net.Now()
	j.f.tries = false
	j.f.to.WatchOwn(true)
}

// End leaves the watch up until what others pass on takes its place.
func (j *listJob) End() {
	j.token = 0
	j.f.release()
}

// Lapsed has it go on: where the leader of the electors is lost, all leases end at once, and nobody would pass anything on. What
// discovery has written is so whoever says it.
func (j *listJob) Lapsed(token uint64) {
	j.late, j.lateBy = token, j.f.o.f.net.Now()+lateS
	j.f.to.WatchOwn(true)
}

// isLate tells whether a job goes on whose lease was not renewed: for a while, unless another is known to have been granted it.
func (j *listJob) isLate() bool {
	if j.late == 0 {
		return false
	}
	ok, _ := j.f.o.greatest.Admit(j.name, j.late)
	if !ok || j.f.o.f.net.Now() > j.lateBy || j.f.o.why != "" {
		j.late = 0
	}
	return j.late != 0
}

// Heard takes a word, a call for the whole list, or a part of that.
func (j *listJob) Heard(from *peers.Link, e *frames.RoleMessage) {
	f := j.f
	switch e.Kind {
	case kindWord:
		var w listWord
		if frames.Unmarshal(e.Body, &w) != nil || f.word(from, j, e, &w) != nil {
			f.o.senseless(j.name)
		}
	case kindNeed:
		var n listNeed
		f.answer() // which forgets who has waited too long
		if frames.Unmarshal(e.Body, &n) != nil {
			f.o.senseless(j.name)
		} else if n.Discovery == f.to.Discovery() && len(f.asking) < mostAsking {
			f.asking = append(f.asking, asking{from.Number, e.Token, j, n.Index, f.o.f.net.Now() + needAgainS})
			f.answer()
		}
	case kindWhole:
		var w listWhole
		if frames.Unmarshal(e.Body, &w) != nil || f.whole(from, &w) != nil {
			f.o.senseless(j.name)
		}
	}
}

// Tick looks at the age of the news, in one of the three.
func (j *listJob) Tick(now float64) (next float64) {
	if j != j.f.jobs[0] {
		return now + 60
	}
	return j.f.look(now)
}

var _ work = (*listJob)(nil)
