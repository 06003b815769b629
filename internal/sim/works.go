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
type maintenanceDriver struct {
	day              *day
	rng              *rand.Rand
	spec             maintenance.Spec // what the day's plans have in common
	agents           []*simulatedAgent
	servers          []serverState
	attempts         map[uint64]attemptRoute // executions that are out, by link; looked up and swept by box
	works            []*workRecord
	lastToken        uint64
	latest           maintenance.State // that any sidecar has gone by
	epoch            uint64
	version          uint64
	submittedPlans   int
	strategy         *MaintenanceStrategy // nil: what is done is drawn
	slowStartSeconds float64
	endedAt          float64 // when all that is weighed was done
}

// boxSeen is what a box has got.
type serverState struct {
	name          string
	site          string
	lastAttemptAt float64 // when something new came last
	lastAttemptBy int32
	inFlight      map[uint64]bool // links; counted, never walked
	work          *workRecord     // who has it open
	isExcused     bool            // an operator has said that it is to be worked on as it is, or to be given back
	uncordonedBy  map[int32]bool  // sidecars at which it was given back by hand; looked up, never walked
}

type attemptRoute struct{ server, sidecar int32 }

// boxWork is what a mechanic has on record.
type workRecord struct {
	plan      uint64
	server    int
	agent     string
	token     uint64
	isDone    bool
	hasFailed bool
}

type simulatedAgent struct {
	driver     *maintenanceDriver
	name       string
	maxToken   uint64
	current    *workRecord
	isReliable bool // it always takes as long, and neither fails nor dies
}

// Lengths of what operators and mechanics do, in seconds.
const (
	commandRetrySeconds   = 0.25 // between two looks for an answer
	commandTimeoutSeconds = 2.5  // at one door, until another is tried
	deadMemberSeconds     = 30.0
	requestTransitSeconds = 0.05 // a request may be under way for so long
	operatorDayShare      = 0.5  // of the days
)

// newPlans returns a day's work of which nothing is to be done yet.
func newMaintenanceDriver(d *day) *maintenanceDriver {
	w := &maintenanceDriver{day: d, rng: rand.New(rand.NewPCG(d.spec.Seed, 0x776f726b73)), attempts: map[uint64]attemptRoute{}}
	for _, b := range d.spec.Servers {
		w.servers = append(w.servers, serverState{name: b.Name, site: d.spec.Sites[b.Site], inFlight: map[uint64]bool{}, uncordonedBy: map[int32]bool{}})
	}
	return w
}

// draw draws who does what.
func (d *maintenanceDriver) scheduleRandom() {
	between := func(least, most float64) float64 { return least + (most-least)*d.rng.Float64() }
	d.spec = maintenance.Spec{WorkSeconds: between(1, 8), QuietSeconds: between(0.5, 1.5), WarmUpSeconds: between(1, 4), DeadMemberSeconds: deadMemberSeconds, RejectionBudget: between(0.1, 1)}
	for i := range 1 + d.rng.IntN(2) {
		m := &simulatedAgent{driver: d, name: fmt.Sprint("mechanic-", i)}
		d.agents = append(d.agents, m)
		d.after(between(2, 6), m.poll)
	}
	d.after(between(5, 12), d.submitRandomPlan)
	if d.rng.IntN(2) == 0 {
		d.after(between(8, 40), d.submitRandomPlan)
	}
	if d.rng.Float64() < operatorDayShare {
		for range 1 + d.rng.IntN(4) {
			d.after(between(10, 70), d.submitRandomCommand)
		}
	}
}

func (d *maintenanceDriver) after(s float64, do func()) {
	d.day.network.Schedule(d.day.network.Now()+s, do)
}

// --- the door ---

// ask gives a command at one sidecar after the other until it is answered, or for a time.
func (d *maintenanceDriver) submit(cmd maintenance.Command, timeoutSeconds float64, done func(r maintenance.Reply, answered bool)) {
	cmd.Nonce = d.rng.Uint64() | 1
	until, finished := d.day.network.Now()+timeoutSeconds, false
	var attempt func(target *instance, left float64)
	attempt = func(target *instance, left float64) {
		switch {
		case finished:
			return
		case d.day.network.Now() > until:
			finished = true
			done(maintenance.Reply{}, false)
			return
		case left <= 0 || target.process == nil || !target.process.IsRunning():
			target, left = d.day.sidecars[d.rng.IntN(len(d.day.sidecars))], commandTimeoutSeconds
		}
		if f := target.node; target.process != nil && target.process.IsRunning() && f != nil {
			target.process.Post(func() {
				if r, answered, err := f.SubmitMaintenance(cmd); err == nil && answered && !finished {
					finished = true
					d.after(0, func() { done(r, true) })
				}
			})
		}
		d.after(commandRetrySeconds, func() { attempt(target, left-commandRetrySeconds) })
	}
	attempt(d.day.sidecars[d.rng.IntN(len(d.day.sidecars))], commandTimeoutSeconds)
}

// give gives a plan over some of the boxes.
func (d *maintenanceDriver) submitRandomPlan() {
	s := d.spec
	d.submittedPlans++
	s.Name = fmt.Sprint("plan-", d.submittedPlans)
	if d.rng.IntN(3) == 0 {
		s.Sites = []string{d.day.spec.Sites[d.rng.IntN(len(d.day.spec.Sites))]}
	} else {
		for _, i := range d.rng.Perm(d.day.spec.InitialServers)[:3+d.rng.IntN(8)] {
			s.Servers = append(s.Servers, d.servers[i].name)
		}
	}
	s.MaxConcurrent, s.MaxPerSite = 1+d.rng.IntN(3), 1+d.rng.IntN(2)
	s.MinCapacity = 0.6 * d.rng.Float64()
	d.submit(maintenance.Command{Kind: maintenance.SubmitPlan, Spec: &s}, 25, func(r maintenance.Reply, answered bool) {
		d.trace("plan %s: %d %s %s, answered %t", s.Name, r.Plan, r.Err, r.Text, answered)
	})
}

// meddle has an operator turn a plan, or say something of one of its boxes.
func (d *maintenanceDriver) submitRandomCommand() {
	kinds := []maintenance.Kind{maintenance.PausePlan, maintenance.ResumePlan, maintenance.SkipServer, maintenance.ForceDrained, maintenance.ForceDrained, maintenance.AbortPlan}
	cmd := maintenance.Command{Kind: kinds[d.rng.IntN(len(kinds))], Agent: "operator"}
	for i := range d.latest.Plans {
		p := &d.latest.Plans[i]
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
		d.serverNamed(cmd.Server).isExcused = true
	}
	d.submit(cmd, 15, func(r maintenance.Reply, _ bool) {
		d.trace("%s %d %s: %s %s", cmd.Kind, cmd.Plan, cmd.Server, r.Err, r.Text)
		if cmd.Kind == maintenance.PausePlan {
			d.after(5+10*d.rng.Float64(), func() {
				d.submit(maintenance.Command{Kind: maintenance.ResumePlan, Plan: cmd.Plan, Agent: "operator"}, 20, func(maintenance.Reply, bool) {})
			})
		}
	})
}

func (d *maintenanceDriver) trace(format string, args ...any) {
	if d.day.trace != nil {
		d.day.trace(d.day.network.Now()-d.day.spec.Start, "work: "+fmt.Sprintf(format, args...))
	}
}

// --- mechanics ---

func (a *simulatedAgent) poll() {
	d := a.driver
	d.submit(maintenance.Command{Kind: maintenance.AcquireServer, Agent: a.name}, 6, func(r maintenance.Reply, answered bool) {
		switch {
		case !answered || r.Err != "" || r.Server == "" || r.Token < a.maxToken:
			d.after(0.5+d.rng.Float64(), a.poll)
		case r.Token == a.maxToken && a.current != nil && a.current.isDone: // it was told nothing of its end
			a.reportCompletion()
		default:
			a.handleGrant(r)
		}
	})
}

func (a *simulatedAgent) handleGrant(r maintenance.Reply) {
	d := a.driver
	i := slices.IndexFunc(d.servers, func(b serverState) bool { return b.name == r.Server })
	if i < 0 {
		d.reportViolation(checker.RepeatInvariant, "%s is handed over, which there is not", r.Server)
		return
	}
	a.maxToken = r.Token
	if a.current == nil || a.current.token != r.Token {
		a.current = &workRecord{plan: r.Plan, server: i, agent: a.name, token: r.Token}
		d.startWork(a.current)
	}
	has, lasts := a.current, d.spec.WorkSeconds*(0.5+0.7*d.rng.Float64())
	if a.isReliable {
		lasts = d.spec.WorkSeconds
	}
	now := d.day.network.Now()
	if a.isReliable || d.rng.IntN(2) == 0 {
		d.day.faults.StopServer(i, now)
	}
	if !a.isReliable && d.rng.IntN(8) == 0 { // it dies, and asks again later
		d.after(lasts/2, func() { d.after(1+5*d.rng.Float64(), a.poll) })
		return
	}
	d.after(lasts, func() {
		d.day.faults.StartServer(i, d.day.network.Now())
		d.after(0.2, func() {
			has.isDone, has.hasFailed = true, !a.isReliable && d.rng.IntN(20) == 0
			d.servers[i].work = nil
			d.trace("%s has worked on %s under %d", a.name, d.servers[i].name, has.token)
			a.reportCompletion()
		})
	})
}

// finish says that the work has ended until that is known.
func (a *simulatedAgent) reportCompletion() {
	d, has := a.driver, a.current
	cmd := maintenance.Command{Kind: maintenance.CompleteServer, Server: d.servers[has.server].name, Token: has.token, Agent: a.name}
	if has.hasFailed {
		cmd.Kind = maintenance.FailServer
	}
	d.submit(cmd, 10, func(r maintenance.Reply, answered bool) {
		if !answered {
			a.reportCompletion()
			return
		}
		d.trace("%s says %s of %s under %d: %s", a.name, cmd.Kind, cmd.Server, cmd.Token, r.Err)
		a.poll()
	})
}

// --- the judge ---

// wrong tells the judge of a break. Danger: what names no sidecar it does not take.
func (d *maintenanceDriver) reportViolation(what int32, format string, args ...any) {
	d.day.observeNow(checker.Event{Kind: checker.FleetInvariantBroken, Sidecar: 0, Status: what, Text: fmt.Sprintf(format, args...)})
}

func (d *maintenanceDriver) serverNamed(name string) *serverState {
	return &d.servers[slices.IndexFunc(d.servers, func(b serverState) bool { return b.name == name })]
}

// See takes what boxes get.
func (d *maintenanceDriver) Observe(e checker.Event) {
	switch e.Kind {
	case checker.AttemptReceived:
		b := &d.servers[e.Server]
		b.lastAttemptAt, b.lastAttemptBy = e.At, e.Sidecar
		if e.Request != 0 {
			d.attempts[e.Connection] = attemptRoute{e.Server, e.Sidecar}
			b.inFlight[e.Connection] = true
		}
		if b.work != nil && !d.mayReceive(b, e.Sidecar) {
			d.reportViolation(checker.OccupiedInvariant, "%s gets a request from sidecar %d while %s works on it", b.name, e.Sidecar, b.work.agent)
		}
	case checker.ResponseSent, checker.ConnectionClosed:
		if to, out := d.attempts[e.Connection]; out {
			delete(d.servers[to.server].inFlight, e.Connection)
			delete(d.attempts, e.Connection)
		}
	case checker.ServerStopped:
		clear(d.servers[e.Server].inFlight)
	case checker.ServerUncordoned:
		d.servers[e.Server].uncordonedBy[e.Sidecar] = true
	case checker.ServerCordoned:
		d.servers[e.Server].uncordonedBy[e.Sidecar] = false
	}
}

// excused tells whether a sidecar may send to a box that is out: an operator has said so, it was held for gone, or it began with
// nothing on its disk and nobody whom it could ask.
func (d *maintenanceDriver) mayReceive(b *serverState, sidecar int32) bool {
	if b.isExcused || sidecar < 0 || b.uncordonedBy[sidecar] {
		return true
	}
	s := d.day.sidecars[sidecar]
	return s.startedBlind || s.isolatedSince > 0 && d.day.network.Now()-s.isolatedSince > 0.8*deadMemberSeconds
}

// started takes that a mechanic begins.
func (d *maintenanceDriver) startWork(k *workRecord) {
	b, now := &d.servers[k.server], d.day.network.Now()
	d.trace("%s works on %s under %d", k.agent, b.name, k.token)
	for link := range b.inFlight { // only counted
		if to := d.attempts[link]; !d.mayReceive(b, to.sidecar) {
			d.reportViolation(checker.OccupiedInvariant, "%s is worked on with an execution out there", b.name)
			break
		}
	}
	if settle := d.spec.QuietSeconds; b.lastAttemptAt > 0 && now-b.lastAttemptAt < settle-requestTransitSeconds && !d.mayReceive(b, b.lastAttemptBy) {
		d.reportViolation(checker.OccupiedInvariant, "%s got a request %.3f s before it is worked on, %.3f must be", b.name, now-b.lastAttemptAt, settle)
	}
	if k.token <= d.lastToken {
		d.reportViolation(checker.RepeatInvariant, "%s is handed over under %d after one under %d", b.name, k.token, d.lastToken)
	}
	d.lastToken = max(d.lastToken, k.token)
	at, site := 1, 1
	for _, o := range d.works {
		if o.plan != k.plan {
			continue
		}
		if o.server == k.server {
			d.reportViolation(checker.RepeatInvariant, "%s is worked on twice for plan %d", b.name, k.plan)
		}
		if !o.isDone {
			if at++; d.servers[o.server].site == b.site {
				site++
			}
		}
	}
	if p := d.planNumbered(k.plan); p != nil && (at > p.Spec.MaxConcurrent || site > max(p.Spec.MaxPerSite, 1)) {
		d.reportViolation(checker.BudgetInvariant, "%d boxes of plan %d are worked on, %d of site %s", at, k.plan, site, b.site)
	}
	d.works = append(d.works, k)
	b.work = k
	if d.strategy == nil && d.rng.IntN(3) == 0 {
		d.after(d.spec.WorkSeconds*d.rng.Float64(), func() { d.restartSidecar(d.rng.IntN(len(d.day.sidecars))) })
	}
}

// restart has a sidecar begin again while boxes are out, late enough for nothing else to be in the way of plans.
func (d *maintenanceDriver) restartSidecar(sidecar int) {
	now := d.day.network.Now()
	if now < d.day.spec.Start+0.9*d.day.spec.LengthSeconds {
		d.day.faults.RestartSidecar(sidecar, 0.2+d.rng.Float64(), now)
	}
}

func (d *maintenanceDriver) planNumbered(number uint64) *maintenance.Plan {
	if i := slices.IndexFunc(d.latest.Plans, func(p maintenance.Plan) bool { return p.Number == number }); i >= 0 {
		return &d.latest.Plans[i]
	}
	return nil
}

// began has a sidecar that begins ask the others what is agreed, as its process does before it listens.
func (d *maintenanceDriver) restoreRecord(s *instance, f *coordination.Node) {
	var latest *coordination.MaintenanceRecord
	asked := false
	for i, o := range d.day.sidecars {
		if i >= 3 || o == s || o.process == nil || !o.process.IsRunning() || o.isSuspended || o.node == nil || d.isPartitioned(s, o) {
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
func (d *maintenanceDriver) isPartitioned(a, b *instance) bool {
	to, from := [2]string{a.spec.IP, b.spec.IP}, [2]string{b.spec.IP, a.spec.IP}
	return d.day.dropCounts[to] > 0 || d.day.dropCounts[from] > 0
}

// look takes what is agreed now, and who is not heard.
func (d *maintenanceDriver) observeFleet() {
	now := d.day.network.Now()
	for _, s := range d.day.sidecars {
		heard := 0
		for _, o := range d.day.sidecars {
			if o != s && o.process != nil && o.process.IsRunning() && !o.isSuspended && !d.isPartitioned(s, o) {
				heard++
			}
		}
		up := s.process != nil && s.process.IsRunning() && !s.isSuspended
		if up && 2*heard >= len(d.day.sidecars)-1 {
			s.isolatedSince = 0
		} else if s.isolatedSince == 0 {
			s.isolatedSince = now
		}
		if !up || s.node == nil {
			continue
		}
		if k := s.node.MaintenanceRecord(); k != nil && (k.Epoch > d.epoch || k.Epoch == d.epoch && k.Version > d.version) {
			if state, err := maintenance.Decode(k.Body); err == nil {
				d.epoch, d.version, d.latest = k.Epoch, k.Version, state
				d.checkBudgets()
			} else {
				d.reportViolation(checker.RecordInvariant, "version %d: %v", k.Version, err)
			}
		}
	}
}

// counts sees that no more is out than plans allow.
func (d *maintenanceDriver) checkBudgets() {
	if d.strategy == nil && d.rng.IntN(25) == 0 { // whoever settles the order ends at one of its steps
		for i, s := range d.day.sidecars {
			if s.process == nil || !s.process.IsRunning() || s.node == nil {
				continue
			}
			if seen, err := s.node.MaintenanceStatus(); err == nil && seen.Holder == s.spec.Name {
				d.restartSidecar(i)
				break
			}
		}
	}
	line := ""
	for i := range d.latest.Plans {
		p := &d.latest.Plans[i]
		if d.strategy != nil && p.Ended && d.endedAt == 0 {
			d.endedAt = d.day.network.Now()
		}
		at, sites := 0, map[string]int{}
		stages := make([]byte, 0, len(p.Servers))
		for _, b := range p.Servers {
			stages = append(stages, "wlrTcdsX"[b.Stage])
			if b.Stage >= maintenance.Draining && b.Stage <= maintenance.WarmingUp {
				at++
				sites[b.Site]++
				if sites[b.Site] > max(p.Spec.MaxPerSite, 1) {
					d.reportViolation(checker.BudgetInvariant, "%d of site %s are out for plan %d", sites[b.Site], b.Site, p.Number)
				}
			}
		}
		if at > p.Spec.MaxConcurrent {
			d.reportViolation(checker.BudgetInvariant, "%d boxes are out for plan %d", at, p.Number)
		}
		line += fmt.Sprintf(" %d:%s", p.Number, stages)
	}
	d.trace("version %d of %d:%s", d.version, d.epoch, line)
}

// over compares what was done with what is agreed.
func (d *maintenanceDriver) checkRecords() {
	for i := range d.latest.Plans {
		p := &d.latest.Plans[i]
		for _, b := range p.Servers {
			done := slices.ContainsFunc(d.works, func(k *workRecord) bool { return k.plan == p.Number && d.servers[k.server].name == b.Name && k.isDone })
			had := slices.ContainsFunc(d.works, func(k *workRecord) bool { return k.plan == p.Number && d.servers[k.server].name == b.Name })
			switch {
			case b.Stage == maintenance.Done && !done, b.Stage < maintenance.InMaintenance && had, (b.Stage == maintenance.Skipped || b.Stage == maintenance.Lost) && b.Reason == "":
				d.reportViolation(checker.RecordInvariant, "%s of plan %d is at stage %d for %q; worked on: %t, to the end: %t", b.Name, p.Number, b.Stage, b.Reason, had, done)
			}
		}
	}
}

// worked counts boxes on which work has ended.
func (d *maintenanceDriver) completedWorks() (n int) {
	for _, k := range d.works {
		if k.isDone {
			n++
		}
	}
	return n
}
