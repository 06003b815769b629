package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/coordination"
	"hazelwheel/internal/decide/maintenance"
)

// plans are a day's work on boxes: operators who give plans at sidecars' doors and meddle with them, and mechanics who take boxes,
// restart them and say that they are done. It judges from what boxes got and what mechanics have on record.
type plans struct {
	d         *day
	rng       *rand.Rand
	spec      maintenance.Spec // what the day's plans have in common
	mechanics []*mechanic
	boxes     []boxSeen
	links     map[uint64]sentTo // executions that are out, by link; looked up and swept by box
	record    []*boxWork
	token     uint64
	latest    maintenance.State // that any sidecar has gone by
	epoch     uint64
	version   uint64
	given     int
	weighed   *MaintenanceStrategy // nil: what is done is drawn
	coldS     float64
	endedAt   float64 // when all that is weighed was done
}

// boxSeen is what a box has got.
type boxSeen struct {
	name    string
	site    string
	at      float64 // when something new came last
	by      int32
	out     map[uint64]bool // links; counted, never walked
	worker  *boxWork        // who has it open
	excused bool            // an operator has said that it is to be worked on as it is, or to be given back
	hand    map[int32]bool  // sidecars at which it was given back by hand; looked up, never walked
}

type sentTo struct{ box, sidecar int32 }

// boxWork is what a mechanic has on record.
type boxWork struct {
	plan     uint64
	box      int
	mechanic string
	token    uint64
	ended    bool
	failed   bool
}

type mechanic struct {
	w        *plans
	name     string
	greatest uint64
	has      *boxWork
	steady   bool // it always takes as long, and neither fails nor dies
}

// Lengths of what operators and mechanics do, in seconds.
const (
	workPollS   = 0.25 // between two looks for an answer
	workDoorS   = 2.5  // at one door, until another is tried
	workGoneS   = 30.0
	workLateS   = 0.05 // a request may be under way for so long
	workTakesS  = 2.0
	workMeddles = 0.5 // of the days
)

// newPlans returns a day's work of which nothing is to be done yet.
func newPlans(d *day) *plans {
	w := &plans{d: d, rng: rand.New(rand.NewPCG(d.spec.Seed, 0x776f726b73)), links: map[uint64]sentTo{}}
	for _, b := range d.spec.Servers {
		w.boxes = append(w.boxes, boxSeen{name: b.Name, site: d.spec.Sites[b.Site], out: map[uint64]bool{}, hand: map[int32]bool{}})
	}
	return w
}

// draw draws who does what.
func (w *plans) draw() {
	between := func(least, most float64) float64 { return least + (most-least)*w.rng.Float64() }
	w.spec = maintenance.Spec{WorkSeconds: between(1, 8), QuietSeconds: between(0.5, 1.5), WarmUpSeconds: between(1, 4), DeadMemberSeconds: workGoneS, RejectionBudget: between(0.1, 1)}
	for i := range 1 + w.rng.IntN(2) {
		m := &mechanic{w: w, name: fmt.Sprint("mechanic-", i)}
		w.mechanics = append(w.mechanics, m)
		w.after(between(2, 6), m.poll)
	}
	w.after(between(5, 12), w.give)
	if w.rng.IntN(2) == 0 {
		w.after(between(8, 40), w.give)
	}
	if w.rng.Float64() < workMeddles {
		for range 1 + w.rng.IntN(4) {
			w.after(between(10, 70), w.meddle)
		}
	}
}

func (w *plans) after(s float64, do func()) { w.d.network.Schedule(w.d.network.Now()+s, do) }

// --- the door ---

// ask gives a command at one sidecar after the other until it is answered, or for a time.
func (w *plans) ask(cmd maintenance.Command, forS float64, then func(r maintenance.Reply, answered bool)) {
	cmd.Nonce = w.rng.Uint64() | 1
	until, over := w.d.network.Now()+forS, false
	var at func(door *instance, left float64)
	at = func(door *instance, left float64) {
		switch {
		case over:
			return
		case w.d.network.Now() > until:
			over = true
			then(maintenance.Reply{}, false)
			return
		case left <= 0 || door.process == nil || !door.process.IsRunning():
			door, left = w.d.sidecars[w.rng.IntN(len(w.d.sidecars))], workDoorS
		}
		if f := door.node; door.process != nil && door.process.IsRunning() && f != nil {
			door.process.Post(func() {
				if r, answered, err := f.SubmitMaintenance(cmd); err == nil && answered && !over {
					over = true
					w.after(0, func() { then(r, true) })
				}
			})
		}
		w.after(workPollS, func() { at(door, left-workPollS) })
	}
	at(w.d.sidecars[w.rng.IntN(len(w.d.sidecars))], workDoorS)
}

// give gives a plan over some of the boxes.
func (w *plans) give() {
	s := w.spec
	w.given++
	s.Name = fmt.Sprint("plan-", w.given)
	if w.rng.IntN(3) == 0 {
		s.Sites = []string{w.d.spec.Sites[w.rng.IntN(len(w.d.spec.Sites))]}
	} else {
		for _, i := range w.rng.Perm(w.d.spec.InitialServers)[:3+w.rng.IntN(8)] {
			s.Servers = append(s.Servers, w.boxes[i].name)
		}
	}
	s.MaxConcurrent, s.MaxPerSite = 1+w.rng.IntN(3), 1+w.rng.IntN(2)
	s.MinCapacity = 0.6 * w.rng.Float64()
	w.ask(maintenance.Command{Kind: maintenance.SubmitPlan, Spec: &s}, 25, func(r maintenance.Reply, answered bool) {
		w.tell("plan %s: %d %s %s, answered %t", s.Name, r.Plan, r.Err, r.Text, answered)
	})
}

// meddle has an operator turn a plan, or say something of one of its boxes.
func (w *plans) meddle() {
	kinds := []maintenance.Kind{maintenance.PausePlan, maintenance.ResumePlan, maintenance.SkipServer, maintenance.ForceDrained, maintenance.ForceDrained, maintenance.AbortPlan}
	cmd := maintenance.Command{Kind: kinds[w.rng.IntN(len(kinds))], Agent: "operator"}
	for i := range w.latest.Plans {
		p := &w.latest.Plans[i]
		if p.Ended {
			continue
		}
		cmd.Plan = p.Number
		for _, b := range p.Servers {
			if b.Stage == maintenance.Draining || cmd.Server == "" {
				cmd.Server = b.Name
			}
		}
	}
	if cmd.Plan == 0 {
		return
	}
	if cmd.Kind == maintenance.SkipServer || cmd.Kind == maintenance.ForceDrained {
		w.box(cmd.Server).excused = true
	}
	w.ask(cmd, 15, func(r maintenance.Reply, _ bool) {
		w.tell("%s %d %s: %s %s", cmd.Kind, cmd.Plan, cmd.Server, r.Err, r.Text)
		if cmd.Kind == maintenance.PausePlan {
			w.after(5+10*w.rng.Float64(), func() {
				w.ask(maintenance.Command{Kind: maintenance.ResumePlan, Plan: cmd.Plan, Agent: "operator"}, 20, func(maintenance.Reply, bool) {})
			})
		}
	})
}

func (w *plans) tell(format string, args ...any) {
	if w.d.trace != nil {
		w.d.trace(w.d.network.Now()-w.d.spec.Start, "work: "+fmt.Sprintf(format, args...))
	}
}

// --- mechanics ---

func (m *mechanic) poll() {
	w := m.w
	w.ask(maintenance.Command{Kind: maintenance.AcquireServer, Agent: m.name}, 6, func(r maintenance.Reply, answered bool) {
		switch {
		case !answered || r.Err != "" || r.Server == "" || r.Token < m.greatest:
			w.after(0.5+w.rng.Float64(), m.poll)
		case r.Token == m.greatest && m.has != nil && m.has.ended: // it was told nothing of its end
			m.finish()
		default:
			m.work(r)
		}
	})
}

func (m *mechanic) work(r maintenance.Reply) {
	w := m.w
	i := slices.IndexFunc(w.boxes, func(b boxSeen) bool { return b.name == r.Server })
	if i < 0 {
		w.wrong(checker.RepeatInvariant, "%s is handed over, which there is not", r.Server)
		return
	}
	m.greatest = r.Token
	if m.has == nil || m.has.token != r.Token {
		m.has = &boxWork{plan: r.Plan, box: i, mechanic: m.name, token: r.Token}
		w.started(m.has)
	}
	has, lasts := m.has, w.spec.WorkSeconds*(0.5+0.7*w.rng.Float64())
	if m.steady {
		lasts = w.spec.WorkSeconds
	}
	now := w.d.network.Now()
	if m.steady || w.rng.IntN(2) == 0 {
		w.d.faults.StopServer(i, now)
	}
	if !m.steady && w.rng.IntN(8) == 0 { // it dies, and asks again later
		w.after(lasts/2, func() { w.after(1+5*w.rng.Float64(), m.poll) })
		return
	}
	w.after(lasts, func() {
		w.d.faults.StartServer(i, w.d.network.Now())
		w.after(0.2, func() {
			has.ended, has.failed = true, !m.steady && w.rng.IntN(20) == 0
			w.boxes[i].worker = nil
			w.tell("%s has worked on %s under %d", m.name, w.boxes[i].name, has.token)
			m.finish()
		})
	})
}

// finish says that the work has ended until that is known.
func (m *mechanic) finish() {
	w, has := m.w, m.has
	cmd := maintenance.Command{Kind: maintenance.CompleteServer, Server: w.boxes[has.box].name, Token: has.token, Agent: m.name}
	if has.failed {
		cmd.Kind = maintenance.FailServer
	}
	w.ask(cmd, 10, func(r maintenance.Reply, answered bool) {
		if !answered {
			m.finish()
			return
		}
		w.tell("%s says %s of %s under %d: %s", m.name, cmd.Kind, cmd.Server, cmd.Token, r.Err)
		m.poll()
	})
}

// --- the judge ---

// wrong tells the judge of a break. Danger: what names no sidecar it does not take.
func (w *plans) wrong(what int32, format string, args ...any) {
	w.d.observeNow(checker.Event{Kind: checker.FleetInvariantBroken, Sidecar: 0, Status: what, Text: fmt.Sprintf(format, args...)})
}

func (w *plans) box(name string) *boxSeen {
	return &w.boxes[slices.IndexFunc(w.boxes, func(b boxSeen) bool { return b.name == name })]
}

// See takes what boxes get.
func (w *plans) Observe(e checker.Event) {
	switch e.Kind {
	case checker.AttemptReceived:
		b := &w.boxes[e.Server]
		b.at, b.by = e.At, e.Sidecar
		if e.Request != 0 {
			w.links[e.Connection] = sentTo{e.Server, e.Sidecar}
			b.out[e.Connection] = true
		}
		if b.worker != nil && !w.excused(b, e.Sidecar) {
			w.wrong(checker.OccupiedInvariant, "%s gets a request from sidecar %d while %s works on it", b.name, e.Sidecar, b.worker.mechanic)
		}
	case checker.ResponseSent, checker.ConnectionClosed:
		if to, out := w.links[e.Connection]; out {
			delete(w.boxes[to.box].out, e.Connection)
			delete(w.links, e.Connection)
		}
	case checker.ServerStopped:
		clear(w.boxes[e.Server].out)
	case checker.ServerUncordoned:
		w.boxes[e.Server].hand[e.Sidecar] = true
	case checker.ServerCordoned:
		w.boxes[e.Server].hand[e.Sidecar] = false
	}
}

// excused tells whether a sidecar may send to a box that is out: an operator has said so, it was held for gone, or it began with
// nothing on its disk and nobody whom it could ask.
func (w *plans) excused(b *boxSeen, sidecar int32) bool {
	if b.excused || sidecar < 0 || b.hand[sidecar] {
		return true
	}
	s := w.d.sidecars[sidecar]
	return s.startedBlind || s.isolatedSince > 0 && w.d.network.Now()-s.isolatedSince > 0.8*workGoneS
}

// started takes that a mechanic begins.
func (w *plans) started(k *boxWork) {
	b, now := &w.boxes[k.box], w.d.network.Now()
	w.tell("%s works on %s under %d", k.mechanic, b.name, k.token)
	for link := range b.out { // only counted
		if to := w.links[link]; !w.excused(b, to.sidecar) {
			w.wrong(checker.OccupiedInvariant, "%s is worked on with an execution out there", b.name)
			break
		}
	}
	if settle := w.spec.QuietSeconds; b.at > 0 && now-b.at < settle-workLateS && !w.excused(b, b.by) {
		w.wrong(checker.OccupiedInvariant, "%s got a request %.3f s before it is worked on, %.3f must be", b.name, now-b.at, settle)
	}
	if k.token <= w.token {
		w.wrong(checker.RepeatInvariant, "%s is handed over under %d after one under %d", b.name, k.token, w.token)
	}
	w.token = max(w.token, k.token)
	at, site := 1, 1
	for _, o := range w.record {
		if o.plan != k.plan {
			continue
		}
		if o.box == k.box {
			w.wrong(checker.RepeatInvariant, "%s is worked on twice for plan %d", b.name, k.plan)
		}
		if !o.ended {
			if at++; w.boxes[o.box].site == b.site {
				site++
			}
		}
	}
	if p := w.plan(k.plan); p != nil && (at > p.Spec.MaxConcurrent || site > max(p.Spec.MaxPerSite, 1)) {
		w.wrong(checker.BudgetInvariant, "%d boxes of plan %d are worked on, %d of site %s", at, k.plan, site, b.site)
	}
	w.record = append(w.record, k)
	b.worker = k
	if w.weighed == nil && w.rng.IntN(3) == 0 {
		w.after(w.spec.WorkSeconds*w.rng.Float64(), func() { w.restart(w.rng.IntN(len(w.d.sidecars))) })
	}
}

// restart has a sidecar begin again while boxes are out, late enough for nothing else to be in the way of plans.
func (w *plans) restart(sidecar int) {
	now := w.d.network.Now()
	if now < w.d.spec.Start+0.9*w.d.spec.LengthSeconds {
		w.d.faults.RestartSidecar(sidecar, 0.2+w.rng.Float64(), now)
	}
}

func (w *plans) plan(number uint64) *maintenance.Plan {
	if i := slices.IndexFunc(w.latest.Plans, func(p maintenance.Plan) bool { return p.Number == number }); i >= 0 {
		return &w.latest.Plans[i]
	}
	return nil
}

// began has a sidecar that begins ask the others what is agreed, as its process does before it listens.
func (w *plans) began(s *instance, f *coordination.Node) {
	var latest *coordination.MaintenanceRecord
	asked := false
	for i, o := range w.d.sidecars {
		if i >= 3 || o == s || o.process == nil || !o.process.IsRunning() || o.isSuspended || o.node == nil || w.cut(s, o) {
			continue
		}
		k := o.node.MaintenanceRecord()
		asked = true
		if k != nil && (latest == nil || k.Epoch > latest.Epoch || k.Epoch == latest.Epoch && k.Version > latest.Version) {
			latest = k
		}
	}
	if latest != nil {
		f.LearnMaintenance(latest)
	}
	s.startedBlind, s.isStateDamaged = !asked && (s.isStateDamaged || s.state.Data == nil), false
}

// cut tells whether two sidecars don't reach each other.
func (w *plans) cut(a, b *instance) bool {
	to, from := [2]string{a.spec.IP, b.spec.IP}, [2]string{b.spec.IP, a.spec.IP}
	return w.d.dropCounts[to] > 0 || w.d.dropCounts[from] > 0
}

// look takes what is agreed now, and who is not heard.
func (w *plans) look() {
	now := w.d.network.Now()
	for _, s := range w.d.sidecars {
		heard := 0
		for _, o := range w.d.sidecars {
			if o != s && o.process != nil && o.process.IsRunning() && !o.isSuspended && !w.cut(s, o) {
				heard++
			}
		}
		up := s.process != nil && s.process.IsRunning() && !s.isSuspended
		if up && 2*heard >= len(w.d.sidecars)-1 {
			s.isolatedSince = 0
		} else if s.isolatedSince == 0 {
			s.isolatedSince = now
		}
		if !up || s.node == nil {
			continue
		}
		if k := s.node.MaintenanceRecord(); k != nil && (k.Epoch > w.epoch || k.Epoch == w.epoch && k.Version > w.version) {
			if state, err := maintenance.Decode(k.Body); err == nil {
				w.epoch, w.version, w.latest = k.Epoch, k.Version, state
				w.counts()
			} else {
				w.wrong(checker.RecordInvariant, "version %d: %v", k.Version, err)
			}
		}
	}
}

// counts sees that no more is out than plans allow.
func (w *plans) counts() {
	if w.weighed == nil && w.rng.IntN(25) == 0 { // whoever settles the order ends at one of its steps
		for i, s := range w.d.sidecars {
			if s.process == nil || !s.process.IsRunning() || s.node == nil {
				continue
			}
			if seen, err := s.node.MaintenanceStatus(); err == nil && seen.Holder == s.spec.Name {
				w.restart(i)
				break
			}
		}
	}
	line := ""
	for i := range w.latest.Plans {
		p := &w.latest.Plans[i]
		if w.weighed != nil && p.Ended && w.endedAt == 0 {
			w.endedAt = w.d.network.Now()
		}
		at, sites := 0, map[string]int{}
		stages := make([]byte, 0, len(p.Servers))
		for _, b := range p.Servers {
			stages = append(stages, "wlrTcdsX"[b.Stage])
			if b.Stage >= maintenance.Draining && b.Stage <= maintenance.WarmingUp {
				at++
				sites[b.Site]++
				if sites[b.Site] > max(p.Spec.MaxPerSite, 1) {
					w.wrong(checker.BudgetInvariant, "%d of site %s are out for plan %d", sites[b.Site], b.Site, p.Number)
				}
			}
		}
		if at > p.Spec.MaxConcurrent {
			w.wrong(checker.BudgetInvariant, "%d boxes are out for plan %d", at, p.Number)
		}
		line += fmt.Sprintf(" %d:%s", p.Number, stages)
	}
	w.tell("version %d of %d:%s", w.version, w.epoch, line)
}

// over compares what was done with what is agreed.
func (w *plans) over() {
	for i := range w.latest.Plans {
		p := &w.latest.Plans[i]
		for _, b := range p.Servers {
			done := slices.ContainsFunc(w.record, func(k *boxWork) bool { return k.plan == p.Number && w.boxes[k.box].name == b.Name && k.ended })
			had := slices.ContainsFunc(w.record, func(k *boxWork) bool { return k.plan == p.Number && w.boxes[k.box].name == b.Name })
			switch {
			case b.Stage == maintenance.Done && !done, b.Stage < maintenance.InMaintenance && had, (b.Stage == maintenance.Skipped || b.Stage == maintenance.Lost) && b.Reason == "":
				w.wrong(checker.RecordInvariant, "%s of plan %d is at stage %d for %q; worked on: %t, to the end: %t", b.Name, p.Number, b.Stage, b.Reason, had, done)
			}
		}
	}
}

// worked counts boxes on which work has ended.
func (w *plans) worked() (n int) {
	for _, k := range w.record {
		if k.ended {
			n++
		}
	}
	return n
}
