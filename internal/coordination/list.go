package coordination

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
	"hazelwheel/internal/sidecar"
)

// The job "list": up to three owners, each of a job of its own, keep watches at discovery and pass on what it writes, its signs of
// life too; the others go by that in place of a watch. Three watch, so that nobody's death makes the news old; nothing is lost where
// two of them are one, or say the same.
const (
	listName = "list"

	kindWord  = 1 // listWord, to all
	kindNeed  = 2 // listNeed, over one link
	kindWhole = 3 // listWhole, over the same

	// tryS after the last good news a sidecar begins a watch of its own, at most trySpreadS later: discovery says something every
	// 2 s. After silentS without news it counts as a watch that has broken, as a watch of its own does.
	tryS, trySpreadS, silentS = 3.0, 1.0, 5.0
	// distrustS is how long a sidecar goes by its own watch after what was passed on was not what it knew.
	distrustS = 30.0
	// deafS is how long an owner may hear nothing of discovery while others do.
	deafS = 10.0
	// lateS is how long an owner goes on whose lease was not renewed, while nobody else is known to have been granted the job.
	lateS = 60.0
	// needAgainS is between two calls for the whole list, and how long a call for one that is not there yet is remembered.
	needAgainS = 0.5
	// driftS is by how much more a second words may take that are none the older: clocks run 5 % apart.
	driftS = 0.1

	mostRaw  = 40 << 10 // packed bytes of changes that go to all; what is longer is asked for
	partSize = 32 << 10 // of a whole list
	mostList = 8 << 20  // a whole list, unpacked
	// mostAsking bounds who waits for a whole list.
	mostAsking = 64
)

// listNames are the jobs of the three.
var listNames = [...]string{listName, listName + "-2", listName + "-3"}

// withLists returns jobs with those that stand for "list".
func withLists(jobs []string) (all []string) {
	for _, name := range jobs {
		if name == listName {
			all = append(all, listNames[:]...)
		} else {
			all = append(all, name)
		}
	}
	return all
}

// listWord says what discovery has written, or that it has said that all is as it was.
type listWord struct {
	Discovery string  `msgpack:"d"` // its address: each counts its own versions
	Index     uint64  `msgpack:"i"` // of the list that its owner holds now
	Sum       uint64  `msgpack:"s"`
	From      uint64  `msgpack:"f,omitempty"` // Raw are the changes since this version
	Raw       []byte  `msgpack:"r,omitempty"` // what discovery has written, packed; nil: who lacks the version asks for it
	AtS       float64 `msgpack:"t"`           // since the grant, by the owner's clock
	Ended     bool    `msgpack:"e,omitempty"` // the owner's watch has ended: no more will come for now
}

type listNeed struct {
	Discovery string `msgpack:"d"`
	Index     uint64 `msgpack:"i"` // that is wanted at least
}

type listWhole struct {
	Discovery string `msgpack:"d"`
	Index     uint64 `msgpack:"i"`
	Sum       uint64 `msgpack:"s"`
	Part      int    `msgpack:"p"`
	Parts     int    `msgpack:"n"`
	Body      []byte `msgpack:"b"` // of the packed list
}

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

var _ work = (*listJob)(nil)

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

var _ sidecar.Passer = (*Node)(nil)

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

// ask asks for the whole list, over the link by which the word of it came.
func (f *feeder) ask(l *peers.Link, j *listJob, token uint64, w *listWord, now, newsAt float64) {
	if f.needAt > 0 && now < f.needAt+needAgainS {
		return
	}
	f.need, f.needAt, f.newsAt, f.link, f.parts = listNeed{w.Discovery, w.Index}, now, newsAt, l.Number, nil
	f.counts.SnapshotsRequested++
	f.o.reply(l, j.name, token, kindNeed, packed(f.need))
}

// answer sends the whole list to those who wait for a version that is held by now.
func (f *feeder) answer() {
	if len(f.asking) == 0 {
		return
	}
	now := f.o.f.net.Now()
	v, held := f.to.ListVersion()
	var body []byte
	wait := f.asking[:0:0]
	for _, a := range f.asking {
		l := f.o.f.links[a.link]
		switch {
		case l == nil || now > a.until:
		case !held || v.Index < a.index:
			wait = append(wait, a)
		default:
			if body == nil {
				body = deflate(f.to.WholeList())
			}
			f.counts.SnapshotsServed++
			parts := (len(body) + partSize - 1) / partSize
			for i := range parts {
				f.o.reply(l, a.job.name, a.token, kindWhole, packed(listWhole{v.Discovery, v.Index, v.Sum, i, parts, body[i*partSize : min((i+1)*partSize, len(body))]}))
			}
		}
	}
	f.asking = wait
}

// whole takes a part of the list that was asked for.
func (f *feeder) whole(from *peers.Link, w *listWhole) error {
	now := f.o.f.net.Now()
	if f.needAt == 0 || from.Number != f.link || now < f.doubt || w.Discovery != f.to.Discovery() || w.Index < f.need.Index {
		return nil // it was asked for once
	}
	if w.Part != len(f.parts) || w.Parts < 1 || w.Parts > mostList/partSize {
		return errList
	}
	if f.parts = append(f.parts, w.Body); len(f.parts) < w.Parts {
		return nil
	}
	raw, err := inflate(bytes.Join(f.parts, nil))
	f.needAt, f.parts = 0, nil
	if err != nil {
		return err
	}
	if v, held := f.to.ListVersion(); held && v.Index > w.Index {
		return nil
	}
	if err := f.take(raw, w.Index); err != nil {
		return err
	}
	if v, _ := f.to.ListVersion(); v.Sum != w.Sum {
		f.disagree(now, w.Index)
		return nil
	}
	for _, j := range f.jobs {
		if j.of != 0 && j.at < f.newsAt {
			j.at = f.newsAt
			break
		}
	}
	f.fed(now)
	return nil
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

// Tick looks at the age of the news, in one of the three.
func (j *listJob) Tick(now float64) (next float64) {
	if j != j.f.jobs[0] {
		return now + 60
	}
	return j.f.look(now)
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

func deflate(raw []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(raw)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil { // a buffer takes all, and the level is one that there is
		panic(err)
	}
	return b.Bytes()
}

// inflate unpacks what came from outside, of no more than mostList.
func inflate(b []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), mostList+1))
	if err == nil && len(raw) > mostList {
		err = errList
	}
	return raw, err
}
