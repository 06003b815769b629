package coordination

import (
	"errors"

	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
	"hazelwheel/internal/sidecar"
)

// feeder is a sidecar's part in the three jobs.
type feeder struct {
	o      *owners
	to     sidecar.Lists
	jobs   [len(listNames)]*listJob
	on     bool    // what others pass on takes the place of a watch
	tries  bool    // a watch of its own was begun for want of news
	tryAt  float64 // when
	doubt  float64 // until when nothing that is passed on counts
	said   uint64  // the greatest version of which changes have come
	need   listNeed
	needAt float64 // 0: nothing is wanted
	newsAt float64 // when what is wanted was news
	ownAt  float64 // when its own watch brought anything last
	link   int     // that it was asked of
	parts  [][]byte
	asking []asking

	counts ListStats
}

// asking is who waits for a whole list.
type asking struct {
	link  int
	token uint64
	job   *listJob
	index uint64
	until float64
}

// ListStats say how the lists fare that are passed on.
type ListStats struct {
	Relayed            bool    `json:"fed"`               // what others pass on takes the place of a watch
	AgeSeconds         float64 `json:"age_s,omitempty"`   // since the last good news
	Index              uint64  `json:"index"`             // of the list that is held
	UpdatesReceived    uint64  `json:"words"`             // heard
	Applied            uint64  `json:"taken"`             // lists and changes that were applied
	UpdatesSent        uint64  `json:"passed"`            // words said as an owner
	SnapshotsRequested uint64  `json:"asked"`             // for the whole list
	SnapshotsServed    uint64  `json:"answered"`          // such calls
	Mismatches         uint64  `json:"disagreed"`         // with what was held
	Stale              uint64  `json:"starved"`           // times that the news was too old
	ForeignUpdates     uint64  `json:"foreign,omitempty"` // words of another discovery service
}

func newFeeder(o *owners) *feeder {
	f := &feeder{o: o, to: o.f.o.Lists}
	for i, name := range listNames {
		f.jobs[i] = &listJob{f: f, name: name}
	}
	return f
}

// release ends the watch that is held for others where none is owned.
func (f *feeder) release() {
	if f.owner() == nil {
		f.to.WatchOwn(false)
	}
}

// owner returns the job under which this sidecar speaks, nil: none.
func (f *feeder) owner() *listJob {
	for _, j := range f.jobs {
		if j.token != 0 || j.isLate() {
			return j
		}
	}
	return nil
}

// Listed passes on what discovery has written.
func (f *Node) Listed(before uint64, held bool, raw []byte) {
	f.enter(func() {
		if f.owners != nil && f.owners.lists != nil {
			f.owners.lists.listed(before, held, raw)
		}
	})
}

// Unlisted passes on that it says no more.
func (f *Node) Unlisted() {
	f.enter(func() {
		if f.owners != nil && f.owners.lists != nil {
			f.owners.lists.unlisted()
		}
	})
}

func (f *feeder) listed(before uint64, held bool, raw []byte) {
	defer f.answer()
	f.ownAt = f.o.f.net.Now()
	j := f.owner()
	v, ok := f.to.ListVersion()
	if j == nil || !ok {
		return
	}
	w := listWord{Discovery: v.Discovery, Index: v.Index, Sum: v.Sum}
	if raw != nil && held && v.Index > f.said { // else all have it, or have been told of it
		if packed := deflate(raw); len(packed) <= mostRaw {
			w.From, w.Raw = before, packed
		}
	}
	f.say(j, w)
}

func (f *feeder) unlisted() {
	if j := f.owner(); j != nil {
		f.say(j, listWord{Discovery: f.to.Discovery(), Ended: true})
	}
}

func (f *feeder) say(j *listJob, w listWord) {
	w.AtS = f.o.f.net.Now() - j.beganAt
	said := false
	if j.token != 0 {
		said = f.o.spread(j.name, kindWord, packed(w))
	} else {
		said = f.o.spreadOn(j.name, j.late, kindWord, packed(w))
	}
	if said {
		f.counts.UpdatesSent++
		f.said = max(f.said, w.Index)
	}
}

// word takes a word. Danger: a list of a lower version never takes the place of a later one, whoever passes it on.
func (f *feeder) word(from *peers.Link, j *listJob, e *frames.RoleMessage, w *listWord) error {
	now := f.o.f.net.Now()
	f.counts.UpdatesReceived++
	if e.Token != j.of {
		j.of, j.floor, j.flooredS = e.Token, now-w.AtS, now
	}
	if w.Discovery != f.to.Discovery() {
		f.counts.ForeignUpdates++
		return nil
	}
	if w.Ended {
		j.at = 0
		f.look(now)
		return nil
	}
	// Danger: what waits in a queue is as old as the queue is long, and it would count as news.
	j.floor, j.flooredS = min(j.floor+driftS*(now-j.flooredS), now-w.AtS), now
	age := max(now-w.AtS-j.floor, 0)
	if now < f.doubt || age > silentS {
		return nil
	}
	v, held := f.to.ListVersion()
	switch {
	case held && w.Index < v.Index:
		return nil
	case held && w.Index == v.Index:
	case held && len(w.Raw) > 0 && w.From <= v.Index:
		raw, err := inflate(w.Raw)
		if err == nil {
			err = f.take(raw, w.Index)
		}
		if err != nil {
			return err
		}
		f.said = max(f.said, w.Index)
	default:
		f.ask(from, j, e.Token, w, now, now-age)
		return nil
	}
	if v, held = f.to.ListVersion(); !held || v.Sum != w.Sum {
		f.disagree(now, w.Index)
		return nil
	}
	j.at = now - age
	f.fed(now)
	return nil
}

var errList = errors.New("what was passed on is not the version that it is said to be")

// take applies what discovery has written.
func (f *feeder) take(raw []byte, index uint64) error {
	if err := f.to.TakeList(raw); err != nil {
		return err
	}
	f.counts.Applied++
	if v, held := f.to.ListVersion(); !held || v.Index != index {
		f.disagree(f.o.f.net.Now(), index)
		return errList
	}
	f.answer()
	return nil
}

// fed goes by what is passed on.
func (f *feeder) fed(now float64) {
	f.on, f.tryAt = true, 0
	f.tries = false
	f.release()
	f.to.Fed()
}

// newest returns when the last good news was made.
func (f *feeder) newest() (at float64) {
	for _, j := range f.jobs {
		at = max(at, j.at)
	}
	return at
}

// disagree has the sidecar watch for itself: two words that can't both be discovery's.
func (f *feeder) disagree(now float64, index uint64) {
	f.counts.Mismatches++
	f.o.note("a list that was passed on is not the one that is held: watching for oneself", "index", index)
	f.forget()
	f.doubt = now + distrustS
	f.to.Distrust()
}

// forget has nothing count that was passed on.
func (f *feeder) forget() {
	f.on, f.tryAt, f.needAt, f.parts = false, 0, 0, nil
	for _, j := range f.jobs {
		j.at = 0
	}
	f.tries = false
	f.release()
}

// look tells the sidecar when the news is too old.
func (f *feeder) look(now float64) (next float64) {
	if !f.on {
		return now + silentS
	}
	newest := f.newest()
	switch {
	case newest == 0 || now >= newest+silentS:
		f.counts.Stale++
		f.forget()
		f.to.Starved()
		return now + silentS
	case now < newest+tryS:
		f.giveUp(now)
		return newest + tryS
	case f.tryAt == 0:
		f.tryAt = now + trySpreadS*f.o.f.o.Rand.Float64()
	}
	if !f.tries && now >= f.tryAt && f.owner() == nil {
		f.tries = true
		f.to.WatchOwn(true)
	}
	if f.tries || f.owner() != nil {
		return newest + silentS
	}
	return min(f.tryAt, newest+silentS)
}

// giveUp has the jobs go to others where others hear of discovery and this sidecar does not.
func (f *feeder) giveUp(now float64) {
	for _, j := range f.jobs {
		if j.token != 0 && now > max(j.beganAt, f.ownAt, j.movedAt)+deafS {
			j.movedAt = now
			f.o.note("discovery can't be reached from here: the job is to go to another", "job", j.name)
			f.o.t.RequestStepDown(now, j.name)
		}
	}
}

// seen returns the counts.
func (f *feeder) seen() *ListStats {
	c := f.counts
	if v, held := f.to.ListVersion(); held {
		c.Index = v.Index
	}
	if c.Relayed = f.on; f.on {
		c.AgeSeconds = f.o.f.net.Now() - f.newest()
	}
	return &c
}

var _ sidecar.Passer = (*Node)(nil)
