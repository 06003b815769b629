package coordination

import (
	"math"
	"slices"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
	"hazelwheel/internal/sidecar"
)

// The job "works": its owner settles in which order boxes are taken out for work on them. What is settled is a record that the electors
// keep; the owner tells all of each version, and who lacks one is told by a neighbour. A sidecar keeps the boxes out that the version
// by which it goes says are out, over a restart too. While a plan goes on the owner asks all, again and again, what they say of the
// boxes; the question goes over all links, and each answers over the link by which it first came, with what came from those behind it.
// Commands go over all links until they come to the owner, and its answers back the same way.
const (
	worksName = "works"

	kindAgreed  = 1 // agreedWord, to all, or over one link to who lacks it
	kindWorkAsk = 2 // worksQuestion, to all
	kindSum     = 3 // worksSum, over one link
	kindCommand = 4 // works.Command, over one link after the other to the owner
	kindReply   = 5 // works.Reply, to all
	kindHold    = 6 // heldWord, over one link

	// workRoundS is between the begins of two rounds, and workWithinS how long one takes at most.
	workRoundS, workWithinS = 0.5, 1.5
	workGatherS             = 0.06 // in which answers of others are waited for, to go on with one's own
	// signS is between two words of the owner while a plan goes on, restS while none does.
	signS, restS = 1.0, 10.0
	// writeAgainS is between two tries to have a version agreed, and commandAgainS between two of who has not been answered.
	writeAgainS, commandAgainS = 0.3, 0.4
	// askedForS is how long a command is passed on after it was asked for last, and repliedForS an answer kept for who asks again.
	askedForS, repliedForS = 3.0, 60.0
	mostCommands           = 256 // that are remembered
)

// agreedWord is what is agreed, or that it is so still.
type agreedWord struct {
	Epoch   uint64                `msgpack:"e"`
	Version uint64                `msgpack:"v"`
	Body    []byte                `msgpack:"b,omitempty"` // of the record; nil: who lacks the version asks for it
	Waits   []maintenance.Blocker `msgpack:"w,omitempty"`
	Ages    []planAge             `msgpack:"a,omitempty"`
	Owner   string                `msgpack:"o,omitempty"` // its name; empty: it is not the owner's word
}

// planAge is since when a plan was given, by the clocks that ran since.
type planAge struct {
	Plan uint64  `msgpack:"p"`
	AgeS float64 `msgpack:"s"`
}

// heldWord says by which version a sidecar goes.
type heldWord struct {
	Epoch   uint64 `msgpack:"e"`
	Version uint64 `msgpack:"v"`
}

type worksQuestion struct {
	Round   uint64 `msgpack:"r"`
	Epoch   uint64 `msgpack:"e"`
	Version uint64 `msgpack:"v"`
}

type worksSum struct {
	Round uint64             `msgpack:"r"`
	Sum   maintenance.Report `msgpack:"s"`
}

// MaintenanceRecord is what a sidecar goes by, as its disk keeps it and as others tell it.
type MaintenanceRecord struct {
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"`
	Token   uint64 `json:"token"` // the greatest that was seen of the job: a lower one must not undo what is kept
	Body    []byte `json:"body"`
}

// newer orders what is agreed: of two founders' groups the later one's, and within it by version.
func newer(epoch, version, epoch2, version2 uint64) bool {
	return epoch > epoch2 || epoch == epoch2 && version > version2
}

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

// order is a command on its way, or its answer.
type order struct {
	maintenance.Command
	reply   maintenance.Reply
	ended   bool
	askedAt float64 // here, at the door; -Inf: it was not
	passAt  float64
	heardAt float64
}

func newWorker(o *owners) *worker {
	now := o.f.net.Now()
	w := &worker{o: o, to: o.f.o.Servers, outAt: map[string]float64{}, wordAt: math.Inf(-1), bucket: budget{answersAtOnce, now}, endedAt: now,
		boxEnded: map[string]uint64{}}
	return w
}

var _ work = (*worker)(nil)

func (w *worker) Name() string { return worksName }

// AtStep, where a build for tests sets it, is called by the owner at named instants: "agreed", when a version is agreed and before
// anybody is told; "told", when all were; "empty", before a box that is empty is agreed to be; "handed", before a mechanic is told.
var OnMaintenanceStep func(step string)

func atStep(step string) {
	if OnMaintenanceStep != nil {
		OnMaintenanceStep(step)
	}
}

// restore takes what an earlier life went by, before anything is sent.
func (w *worker) restore(k *MaintenanceRecord) {
	if k == nil {
		return
	}
	w.o.greatest.Restore([]lease.Grant{{Role: worksName, Token: k.Token}})
	w.apply(k.Epoch, k.Version, k.Body, false)
}

// apply goes by a version from now on. One that is not newer than what is known changes nothing.
func (w *worker) apply(epoch, version uint64, body []byte, keep bool) {
	if !newer(epoch, version, w.epoch, w.version) {
		return
	}
	state, err := maintenance.Decode(body)
	if err != nil {
		w.o.senseless(worksName)
		return
	}
	w.epoch, w.version, w.body, w.state = epoch, version, body, state
	now := w.o.f.net.Now()
	var names []string
	for name := range state.Cordoned {
		if names = append(names, name); w.outAt[name] == 0 {
			w.outAt[name] = now
		}
	}
	slices.Sort(names)
	for name := range w.outAt {
		if _, out := slices.BinarySearch(names, name); !out {
			delete(w.outAt, name)
		}
	}
	w.to.TakeOut(slices.Compact(names))
	if keep {
		w.o.f.later(w.keep)
	}
}

// keep has what it goes by outlive the process. Where it can't be, a later process asks.
func (w *worker) keep() {
	f := w.o.f
	token := uint64(0)
	for _, g := range w.o.greatest.Highest() {
		if g.Role == worksName {
			token = g.Token
		}
	}
	f.state.Works = &MaintenanceRecord{w.epoch, w.version, token, w.body}
	if f.stored {
		f.save(func(error) {})
	}
}

// --- what comes ---

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

func (w *worker) heardAgreed(now float64, from *peers.Link, a *agreedWord) {
	if a.Owner != "" && len(a.Owner) <= 64 && len(a.Waits) <= 2*maintenance.MaxServers && len(a.Ages) <= maintenance.MaxPlans {
		w.owner, w.waits, w.wordAt, w.ages, w.agesAt = a.Owner, a.Waits, now, a.Ages, now
	}
	switch {
	case !newer(a.Epoch, a.Version, w.epoch, w.version):
	case a.Body == nil && a.Version > 0:
		w.hold(from)
	default:
		w.apply(a.Epoch, a.Version, a.Body, true)
	}
}

// heardHeld tells a neighbour what it lacks, or asks for what it has.
func (w *worker) heardHeld(from *peers.Link, h heldWord) {
	switch {
	case newer(w.epoch, w.version, h.Epoch, h.Version):
		w.o.reply(from, worksName, w.known(), kindAgreed, packed(&agreedWord{Epoch: w.epoch, Version: w.version, Body: w.body}))
	case newer(h.Epoch, h.Version, w.epoch, w.version):
		w.hold(from)
	}
}

// hold tells a neighbour by what this sidecar goes.
func (w *worker) hold(l *peers.Link) {
	if token := w.known(); token != 0 {
		w.o.reply(l, worksName, token, kindHold, packed(heldWord{w.epoch, w.version}))
	}
}

// known returns the greatest token that is known of the job; 0: none is.
func (w *worker) known() uint64 { return w.o.token(worksName) }

// linkUp takes a new link: who was cut off learns at once what it missed.
func (w *worker) linkUp(l *peers.Link) { w.hold(l) }

// --- what this sidecar says of boxes ---

// own returns what this sidecar says.
func (w *worker) own(now float64) *maintenance.Report {
	f := w.o.f
	spanS := max(now-w.endedAt, 0.001)
	w.endedAt = now
	all, refused := w.to.Ended()
	s := &maintenance.Report{CompletedPerSecond: float64(all-w.ended) / spanS, RejectedPerSecond: float64(refused-w.refused) / spanS}
	w.ended, w.refused = all, refused
	if w.to.ListLate() {
		s.StaleMembers = 1
	}
	s.Reporters = []maintenance.Reporter{{ID: f.state.ID, BootID: f.view.Self().Version.BootID, Version: w.version}}
	settle := map[string]float64{}
	for i := range w.state.Plans {
		p := &w.state.Plans[i]
		for _, b := range p.Servers {
			if b.Stage.IsCordoned() {
				settle[b.Name] = max(settle[b.Name], p.Spec.QuietPeriodSeconds())
			}
		}
	}
	for _, b := range w.to.Boxes() {
		seen := maintenance.ServerStatus{Server: b.Name, Site: b.Site, Type: b.Type, Capacity: b.Size, ListedBy: one(b.Listed), DrainingBy: one(b.Draining), CordonedBy: one(b.Hand),
			WarmingUpBy: one(b.Cold), UnresponsiveBy: one(b.Silent), InFlight: b.Out, Busy: b.Busy}
		if was, known := w.boxEnded[b.Name]; known {
			seen.CompletedPerSecond = float64(b.Ended-was) / spanS
		}
		w.boxEnded[b.Name] = b.Ended
		s.Servers = append(s.Servers, seen)
		if settleS, out := settle[b.Name]; out && (b.Kept || b.Out > 0 || now-w.outAt[b.Name] < settleS) {
			s.InUse = append(s.InUse, maintenance.InUse{Server: b.Name, Member: f.state.ID, Uncordoned: b.Kept, InFlight: b.Out})
		}
	}
	return s
}

func one(on bool) int {
	if on {
		return 1
	}
	return 0
}

// answer sends what has been gathered over the link by which the question came. Where there is no room for it, it waits.
func (w *worker) answer(now float64) {
	l := w.o.f.links[w.up]
	if l == nil {
		w.gathered = nil // the link has ended: those behind it are not heard in this round
		return
	}
	body := packed(worksSum{w.round, *w.gathered})
	b := &w.bucket
	b.left, b.at = min(b.left+(now-b.at)*answersPerS, answersAtOnce), now
	if need := float64(len(body)); b.left < need && b.left < answersAtOnce {
		w.sendAt = now + min((need-b.left)/answersPerS, workWithinS)
		return
	}
	b.left -= float64(len(body))
	w.o.reply(l, worksName, w.token, kindSum, body)
	w.gathered = nil
}

// --- commands ---

// Work takes a command at this sidecar's door.
func (w *worker) command(now float64, c *maintenance.Command) (reply maintenance.Reply, answered bool) {
	d := w.order(now, c)
	if d == nil {
		return maintenance.Reply{Err: "too many commands wait"}, true
	}
	if d.askedAt = now; d.ended {
		return d.reply, true
	}
	w.o.job(worksName).next = 0
	return maintenance.Reply{}, false
}

// order returns what is known of a command; nil: there is no room for one more.
func (w *worker) order(now float64, c *maintenance.Command) *order {
	for _, d := range w.orders {
		if d.Nonce == c.Nonce {
			d.heardAt = now
			return d
		}
	}
	w.forget(now)
	if len(w.orders) >= mostCommands {
		return nil
	}
	d := &order{Command: *c, askedAt: math.Inf(-1), passAt: math.Inf(-1), heardAt: now}
	w.orders = append(w.orders, d)
	return d
}

func (w *worker) forget(now float64) {
	w.orders = slices.DeleteFunc(w.orders, func(d *order) bool { return now-max(d.heardAt, d.askedAt) > repliedForS })
}

// ordered takes a command on its way to the owner.
func (w *worker) ordered(now float64, c *maintenance.Command, from *peers.Link) {
	d := w.order(now, c)
	switch {
	case d == nil:
	case w.held != 0:
		w.do(now, d)
	case now >= d.passAt+0.9*commandAgainS:
		w.pass(now, d, from)
	}
}

// pass passes a command on over all links but one.
func (w *worker) pass(now float64, d *order, except *peers.Link) {
	token := w.known()
	if token == 0 {
		return
	}
	d.passAt = now
	body := packed(&d.Command)
	for _, l := range slices.Clone(w.o.f.up) { // a link may end with what is sent over it
		if l != except {
			w.o.reply(l, worksName, token, kindCommand, body)
		}
	}
}

// do has the owner carry a command out, once, and answer it, as often as it comes.
func (w *worker) do(now float64, d *order) {
	switch {
	case d.ended:
		w.o.spread(worksName, kindReply, packed(&d.reply))
	case w.c != nil:
		if r, answered := w.c.Submit(now, d.Command); answered {
			r.Nonce = d.Nonce
			w.reply(now, &r)
		}
		w.o.job(worksName).next = 0
	}
}

// reply tells all of an answer: somebody waits for it.
func (w *worker) reply(now float64, r *maintenance.Reply) {
	if r.Token != 0 {
		atStep("handed")
	}
	if w.o.spread(worksName, kindReply, packed(r)) {
		w.replied(now, r)
	}
}

// replied takes an answer.
func (w *worker) replied(now float64, r *maintenance.Reply) {
	for _, d := range w.orders {
		if d.Nonce == r.Nonce && !d.ended {
			d.ended, d.reply, d.heardAt = true, *r, now
		}
	}
}

// --- the owner ---

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

// agreed takes what the electors keep, as the owner.
func (w *worker) agreed(r *lease.Record) {
	if w.held == 0 {
		return
	}
	now, epoch := w.o.f.net.Now(), w.held>>40
	state, err := maintenance.Decode(r.Body)
	if err != nil {
		w.o.note("what is agreed of work on boxes can't be read", "version", r.Version, "error", err)
		return
	}
	switch {
	case r.Version == 0 && w.version > 0 && w.epoch < epoch:
		// The electors were founded anew and know nothing. Danger: what was out is in a mechanic's hands still.
		w.first = renumbered(w.state)
		w.writeAt = 0
		return
	case r.Version > 0:
		w.first = nil
		atStep("agreed")
	}
	for i := range state.Plans {
		p := &state.Plans[i]
		for _, a := range w.ages {
			if a.Plan == p.Number {
				p.AgeSeconds = max(p.AgeSeconds, a.AgeS+now-w.agesAt)
			}
		}
	}
	a := maintenance.Committed{Epoch: epoch, Version: r.Version, State: state}
	if w.writing = nil; w.c == nil {
		w.c = maintenance.New(maintenance.Settings{WarmUpSeconds: w.to.ColdS(), Order: w.o.f.o.MaintenanceOrder})
		w.c.Start(now, a)
		for _, d := range w.orders { // what came while nobody owned the job
			if !d.ended {
				w.do(now, d)
			}
		}
	} else {
		w.c.ApplyCommitted(now, a)
	}
	w.apply(epoch, r.Version, r.Body, true)
	w.signAt, w.o.job(worksName).next = 0, 0
}

// renumbered returns a state as the first version of another founding.
func renumbered(s maintenance.State) []byte {
	for i := range s.Plans {
		for j := range s.Plans[i].Servers {
			if b := &s.Plans[i].Servers[j]; b.SinceVersion > 0 {
				b.SinceVersion = 1
			}
		}
	}
	body, err := s.Encode()
	if err != nil { // it was read a moment ago, and has become no longer
		panic(err)
	}
	return body
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

// tickOwner has things agreed, asks all, and tells them.
func (w *worker) tickOwner(now float64) (next float64) {
	if w.first != nil {
		if now >= w.writeAt {
			w.writeAt = now + writeAgainS
			w.write(1, w.first)
		}
		return w.writeAt
	}
	if w.c == nil {
		return now + renewAgainS
	}
	for _, d := range w.orders {
		if !d.ended && now-d.askedAt < askedForS && now >= d.passAt+commandAgainS {
			d.passAt = now
			w.do(now, d)
		}
	}
	w.rounds(now)
	w.settle(now)
	for _, r := range w.c.Replies() {
		w.reply(now, &r)
	}
	w.sign(now)
	next = min(w.c.StepDeadline(now), w.signAt)
	if w.writing != nil {
		next = min(next, w.writeAt)
	}
	if w.sum != nil {
		next = min(next, now+workGatherS/2)
	}
	if w.c.NeedsSnapshot() {
		next = min(next, w.askAt)
	}
	return next
}

// renewAgainS is about how long it takes until a new owner has been told what is agreed.
const renewAgainS = 0.35

// settle has what the decisions want be agreed.
func (w *worker) settle(now float64) {
	state := w.c.Step(now)
	if state == nil {
		return
	}
	body, err := state.Encode()
	if err != nil { // the decisions bound what they want
		w.o.note("what is wanted of work on boxes can't be agreed", "error", err)
		return
	}
	if w.writing != nil && now < w.writeAt {
		return
	}
	if w.writing == nil && emptied(&w.state, state) {
		atStep("empty")
	}
	w.writing, w.writeAt = body, now+writeAgainS
	w.write(w.c.Version()+1, body)
}

// emptied tells whether a box has come to be empty.
func emptied(was, is *maintenance.State) bool {
	ready := func(s *maintenance.State) (n int) {
		for i := range s.Plans {
			for _, b := range s.Plans[i].Servers {
				n += one(b.Stage == maintenance.Drained)
			}
		}
		return n
	}
	return ready(is) > ready(was)
}

// write asks the electors. Danger: the answer may come within the call.
func (w *worker) write(version uint64, body []byte) {
	o := w.o
	o.f.later(func() {
		if o.t != nil {
			o.t.WriteRecord(o.f.net.Now(), worksName, version, body)
		}
	})
}

// rounds has all be asked, again and again, as long as a plan goes on.
func (w *worker) rounds(now float64) {
	if w.sum != nil && (now >= w.by || w.whole()) {
		w.c.Observe(now, maintenance.FleetSnapshot{Members: w.asked, Report: *w.sum, Complete: w.whole()})
		w.sum = nil
	}
	if w.sum != nil || now < w.askAt || !w.c.NeedsSnapshot() {
		return
	}
	w.askAt = now + workRoundS
	w.round++
	if !w.o.spread(worksName, kindWorkAsk, packed(worksQuestion{w.round, w.epoch, w.version})) {
		return
	}
	w.asked = nil
	for m := range w.o.f.view.Members {
		w.asked = append(w.asked, maintenance.Member{ID: m.ID, Name: m.Name, BootID: m.Version.BootID, State: m.State, StateAgeSeconds: m.StateAgeSeconds})
	}
	w.sum, w.by = w.own(now), now+workWithinS
}

// whole tells whether all that live have answered.
func (w *worker) whole() bool {
	return !slices.ContainsFunc(w.asked, func(m maintenance.Member) bool {
		return m.State == swim.Alive && !w.sum.HasReporter(maintenance.Reporter{ID: m.ID})
	})
}

// sign tells all what is agreed, and what is waited for.
func (w *worker) sign(now float64) {
	if now < w.signAt {
		return
	}
	word := &agreedWord{Epoch: w.epoch, Version: w.version, Owner: w.o.f.o.Sidecar}
	if w.epoch != w.held>>40 { // nothing was agreed yet
		word.Epoch, word.Version = w.held>>40, 0
	}
	if w.c.NeedsSnapshot() {
		w.signAt = now + signS
		word.Waits = w.c.Blockers()
	} else {
		w.signAt = now + restS
	}
	for i := range w.state.Plans {
		p := &w.state.Plans[i]
		age := p.AgeSeconds
		for _, a := range w.ages {
			if a.Plan == p.Number {
				age = max(age, a.AgeS+now-w.agesAt)
			}
		}
		if !p.Ended {
			word.Ages = append(word.Ages, planAge{p.Number, age})
		}
	}
	w.owner, w.waits, w.wordAt, w.ages, w.agesAt = word.Owner, word.Waits, now, word.Ages, now
	if w.told != w.version || w.toldEpoch != w.epoch {
		word.Body = w.body
	}
	if w.o.spread(worksName, kindAgreed, packed(word)) && word.Body != nil {
		w.told, w.toldEpoch = w.version, w.epoch
		atStep("told")
	}
}
