package processcluster

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/lab/maintenanceagent"
)

// Work is what is to be done to boxes while a fleet is played.
type Maintenance struct {
	Spec     maintenance.Spec
	Scripted bool // by a script that calls at every door, box by box, with fixed waits; nobody is asked for an order
}

// Fixed waits of who calls at every door by hand: as long as a request may take, until a box is taken for empty; and as long as boxes may
// be cold, before the next one leaves.
const (
	handEmptyS = 10.0
	handColdS  = 24.0
)

// Worked is what came of it.
type MaintenanceReport struct {
	Servers         int                       `json:"boxes"`
	Done            int                       `json:"done"`
	Skipped         int                       `json:"skipped"`
	Lost            int                       `json:"lost"`
	Ended           bool                      `json:"ended"`
	StartedSeconds  float64                   `json:"began_s"`
	TotalSeconds    float64                   `json:"total_s"`          // from when it was given to its end, or until the day's
	WorstTenSeconds float64                   `json:"worst_10_s"`       // least part of the worth that was served in time, of ten seconds
	WorstAtSeconds  float64                   `json:"worst_10_s_at"`    // when they began
	Attempts        int                       `json:"asked"`            // tries, while it went on
	Rejected        int                       `json:"refused"`          // of these
	SentByReturning int                       `json:"gone_sent"`        // requests to a box that was worked on, of sidecars that had counted as gone
	FailedCalls     int                       `json:"unheeded"`         // calls by hand that a door did not take
	Error           string                    `json:"error,omitempty"`  // why it was not taken
	Records         []maintenanceagent.Record `json:"records"`          // by whom it was worked on
	Stages          []StageChange             `json:"stages,omitempty"` // of boxes, as doors told of them
	Violations      []string                  `json:"wrong,omitempty"`
	Blockers        []maintenance.Blocker     `json:"waits,omitempty"`  // what was waited for at the end
	BlockedSeconds  map[string]float64        `json:"held_s,omitempty"` // for how long the plan, or a box, waited for what
	FailedPolls     int                       `json:"untold"`           // looks at the doors at which nobody said anything
	violationCount  int
}

// StageChange is a box that has come to a stage.
type StageChange struct {
	AtSeconds float64           `json:"at_s"`
	Server    string            `json:"box"`
	Stage     maintenance.Stage `json:"stage"`
}

// workPlay has boxes be worked on and watches all of it. Its witness is for the play's loop.
type workPlay struct {
	t    *Cluster
	work Maintenance
	day  *environment.Day

	// What the boxes and clients tell.
	came    map[string][]execution // by box
	open    map[[2]uint64]int      // of each box and link, the place of the execution that is out there
	asked   map[uint64]*want       // by the first try
	first   map[uint64]uint64
	tries   []float64
	refused []float64

	mu        sync.Mutex
	w         MaintenanceReport
	stages    map[string]maintenance.Stage
	given     float64 // Unix time; 0: not yet
	over      float64
	last      *workState
	lookedAt  time.Time
	mechanics []*maintenanceagent.Agent
	byHand    []maintenanceagent.Record
}

// execution is a request at a box. to is 0 while it is out.
type execution struct {
	from, to float64
	sidecar  int
}

type want struct {
	at, worth, aimS float64
	served          bool
}

// workState is what a door tells of plans, as far as it is looked at here.
type workState struct {
	Version uint64                `json:"version"`
	Plans   []maintenance.Plan    `json:"plans"`
	Waits   []maintenance.Blocker `json:"waits"`
}

func newWorkPlay(t *Cluster, work Maintenance, day *environment.Day) *workPlay {
	return &workPlay{t: t, work: work, day: day, came: map[string][]execution{}, open: map[[2]uint64]int{}, asked: map[uint64]*want{}, first: map[uint64]uint64{},
		stages: map[string]maintenance.Stage{}}
}

// See takes an event.
func (p *workPlay) Observe(e checker.Event) {
	link := [2]uint64{uint64(uint32(e.Server)), e.Connection}
	name := func() string { return p.day.Servers[e.Server].Name }
	end := func() {
		if i, ok := p.open[link]; ok {
			p.came[name()][i].to = e.At
			delete(p.open, link)
		}
	}
	switch e.Kind {
	case checker.AttemptReceived:
		end()
		p.open[link] = len(p.came[name()])
		p.came[name()] = append(p.came[name()], execution{from: e.At, sidecar: int(e.Sidecar)})
	case checker.ResponseSent, checker.ConnectionClosed:
		end()
	case checker.ServerStopped:
		for k, i := range p.open {
			if k[0] == link[0] {
				p.came[name()][i].to = e.At
				delete(p.open, k)
			}
		}
	case checker.RequestStarted:
		p.first[e.Request] = e.FirstRequest
		p.tries = append(p.tries, e.At)
		if p.asked[e.FirstRequest] == nil && int(e.Class) < len(p.day.Classes) && e.Class >= 0 && !e.Uncounted {
			c := &p.day.Classes[e.Class]
			p.asked[e.FirstRequest] = &want{at: e.At, worth: c.PriorityWeight, aimS: c.LatencyTargetSeconds}
		}
	case checker.ResponseReceived:
		w := p.asked[p.first[e.Request]]
		if e.Status == 200 && w != nil && e.At-w.at <= w.aimS {
			w.served = true
		}
		if e.Status == 429 || e.Status == 503 {
			p.refused = append(p.refused, e.At)
		}
	}
}

func (t *Cluster) doors() (all []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.mates {
		if m.up {
			all = append(all, m.ops)
		}
	}
	return all
}

func now() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// run has the work done from some time after the fleet has begun, until it is over or ctx ends.
func (p *workPlay) run(ctx context.Context) {
	for rest(ctx, 100*time.Millisecond) && !p.t.agreedOnce() {
	}
	if ctx.Err() != nil {
		return
	}
	if p.work.Scripted {
		p.hand(ctx)
		return
	}
	give := maintenance.Command{Nonce: p.t.s.Seed<<1 | 1, Kind: maintenance.SubmitPlan, Spec: &p.work.Spec}
	for ctx.Err() == nil {
		r, err := maintenanceagent.Execute(ctx, p.t.doors, give)
		if err == nil && r.Err != "" {
			p.mu.Lock()
			p.w.Error = r.Err
			p.mu.Unlock()
			return
		}
		if err == nil {
			break
		}
	}
	p.mu.Lock()
	p.given = now()
	p.mu.Unlock()
	var working sync.WaitGroup
	defer working.Wait()
	for i := range p.work.Spec.MaxConcurrent {
		m := &maintenanceagent.Agent{Name: fmt.Sprintf("mechanic-%d", i), AdminEndpoints: p.t.doors, WorkDuration: func(string) time.Duration { return inS(p.work.Spec.WorkSeconds) }}
		p.mechanics = append(p.mechanics, m)
		working.Go(func() { m.Run(ctx) })
	}
	for n := 0; rest(ctx, 100*time.Millisecond); n++ {
		if doors := p.t.doors(); len(doors) > 0 {
			p.look(ctx, doors[n%len(doors)])
		}
	}
}

func inS(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// rest waits for a while, and tells whether the play went on until then.
func rest(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// look asks a door how far it is.
func (p *workPlay) look(ctx context.Context, door string) {
	raw, err := maintenanceagent.SendLine(ctx, door, "WORKS")
	var s workState
	if err != nil || json.Unmarshal(raw, &s) != nil {
		p.w.FailedPolls++
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last != nil && s.Version < p.last.Version {
		return
	}
	if p.last = &s; len(s.Plans) == 0 {
		return
	}
	if p.w.BlockedSeconds == nil {
		p.w.BlockedSeconds, p.lookedAt = map[string]float64{}, time.Now()
	}
	for _, w := range s.Waits {
		p.w.BlockedSeconds[strings.TrimLeft(w.Reason, "0123456789. ")] += time.Since(p.lookedAt).Seconds()
	}
	p.lookedAt = time.Now()
	plan := &s.Plans[len(s.Plans)-1]
	for _, b := range plan.Servers {
		p.stage(b.Name, b.Stage)
	}
	if plan.Ended && p.over == 0 {
		p.over = now()
	}
}

// stage notes a stage that a box has come to. p.mu is held.
func (p *workPlay) stage(box string, s maintenance.Stage) {
	if was, known := p.stages[box]; !known || was != s {
		p.stages[box] = s
		p.w.Stages = append(p.w.Stages, StageChange{time.Since(p.t.began).Seconds(), box, s})
	}
}

// hand calls at all doors for one box after the other, and waits for fixed times.
func (p *workPlay) hand(ctx context.Context) {
	say := func(line string) {
		for _, door := range p.t.doors() {
			if raw, err := maintenanceagent.SendLine(ctx, door, line); err != nil || string(raw[:min(2, len(raw))]) != "OK" {
				p.w.FailedCalls++
			}
		}
	}
	come := func(box string, s maintenance.Stage) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.stage(box, s)
	}
	p.mu.Lock()
	p.given = now()
	p.mu.Unlock()
	for _, box := range p.named() {
		come(box, maintenance.Pending)
	}
	for _, box := range p.named() {
		come(box, maintenance.Draining)
		say("OFFLINE " + box)
		if !rest(ctx, inS(handEmptyS)) {
			return
		}
		come(box, maintenance.InMaintenance)
		p.mu.Lock()
		p.byHand = append(p.byHand, maintenanceagent.Record{Agent: "script", Server: box, StartedAt: time.Now()})
		p.mu.Unlock()
		if !rest(ctx, inS(p.work.Spec.WorkSeconds)) {
			return
		}
		p.mu.Lock()
		p.byHand[len(p.byHand)-1].EndedAt = time.Now()
		p.mu.Unlock()
		come(box, maintenance.WarmingUp)
		say("ONLINE " + box)
		if !rest(ctx, inS(handColdS)) {
			return
		}
		come(box, maintenance.Done)
	}
	p.mu.Lock()
	p.over = now()
	p.mu.Unlock()
}

// named returns the boxes that the plan names, of those that stand.
func (p *workPlay) named() (all []string) {
	s := &p.work.Spec
	for _, b := range p.day.Servers[:p.day.InitialServers] {
		group := len(s.Sites)+len(s.Types) > 0 && (len(s.Sites) == 0 || slices.Contains(s.Sites, p.day.Sites[b.Site])) &&
			(len(s.Types) == 0 || slices.Contains(s.Types, p.day.ServerKinds[b.Kind]))
		if group || slices.Contains(s.Servers, b.Name) {
			all = append(all, b.Name)
		}
	}
	return all
}

// away is for how long each sidecar was not there before it came back, by when it did.
type away struct {
	sidecar  int
	from, to float64
}

// result judges, after the play is over.
func (p *workPlay) result() *MaintenanceReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := &p.w
	w.Records = slices.Clone(p.byHand)
	for _, m := range p.mechanics {
		w.Records = append(w.Records, m.Records()...)
	}
	slices.SortFunc(w.Records, func(a, b maintenanceagent.Record) int { return a.StartedAt.Compare(b.StartedAt) })
	w.Servers = len(p.named())
	if p.last != nil && len(p.last.Plans) > 0 {
		w.Blockers = p.last.Waits
		w.Servers = len(p.last.Plans[len(p.last.Plans)-1].Servers)
	}
	for _, s := range p.stages {
		switch s {
		case maintenance.Done:
			w.Done++
		case maintenance.Skipped:
			w.Skipped++
		case maintenance.Lost:
			w.Lost++
		}
	}
	end := cmp.Or(p.over, now())
	w.Ended = p.over > 0
	if p.given > 0 {
		w.StartedSeconds, w.TotalSeconds = p.given-p.day.Start, end-p.given
		p.service(w, max(p.given, p.day.Start+firstS), min(end, p.day.Start+p.day.LengthSeconds))
		p.occupied(w)
		p.many(w)
		p.accounts(w)
	}
	return w
}

// firstS is how long after the day's start the service says nothing yet: all is cold then.
const firstS = 5.0

// service finds the worst ten seconds of a time.
func (p *workPlay) service(w *MaintenanceReport, from, to float64) {
	within := func(all []float64) (n int) {
		for _, at := range all {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	w.Attempts, w.Rejected, w.WorstTenSeconds = within(p.tries), within(p.refused), 1
	all := slices.SortedFunc(maps.Values(p.asked), func(a, b *want) int { return cmp.Compare(a.at, b.at) })
	for at := from; at+10 <= to; at += 0.5 {
		served, asked := 0.0, 0.0
		i, _ := slices.BinarySearchFunc(all, at, func(x *want, at float64) int { return cmp.Compare(x.at, at) })
		for ; i < len(all) && all[i].at < at+10; i++ {
			if asked += all[i].worth; all[i].served {
				served += all[i].worth
			}
		}
		if asked > 0 && served/asked < w.WorstTenSeconds {
			w.WorstTenSeconds, w.WorstAtSeconds = served/asked, at-p.day.Start
		}
	}
}

func (w *MaintenanceReport) find(rule checker.Rule, format string, args ...any) {
	if len(w.Violations) < 30 {
		w.Violations = append(w.Violations, string(rule)+": "+fmt.Sprintf(format, args...))
	}
	w.violationCount++
}

func unix(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

// span returns when a piece of work began and ended; what goes on ends with the day.
func span(r *maintenanceagent.Record) (from, to float64) {
	if from, to = unix(r.StartedAt), unix(r.EndedAt); r.EndedAt.IsZero() {
		to = now()
	}
	return from, to
}

// occupied finds boxes that are worked on while something is out there, or came less than the settle time before.
func (p *workPlay) occupied(w *MaintenanceReport) {
	for i := range w.Records {
		r := &w.Records[i]
		from, to := span(r)
		if r.ForcedReason != "" {
			continue
		}
		for _, x := range p.came[r.Server] {
			late := x.from > from-p.work.Spec.QuietPeriodSeconds() && x.from < to
			out := x.from < to && (x.to == 0 || x.to > from)
			switch {
			case !late && !out:
			case p.t.wasGone(x.sidecar, x.from, cmp.Or(p.work.Spec.DeadMemberSeconds, 300)):
				w.SentByReturning++
			default:
				w.find(checker.MaintenanceOccupied, "%s is worked on by %s at %.3f s; a request of %s came %.3f s after the work began", r.Server, r.Agent, from-p.day.Start,
					p.t.mates[x.sidecar].name, x.from-from)
			}
		}
	}
}

// wasGone tells whether a sidecar had been away for longer than it takes to count as gone, and had come back just before a time.
func (t *Cluster) wasGone(sidecar int, at, goneS float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.aways, func(a away) bool {
		return a.sidecar == sidecar && a.to-a.from > goneS && at >= a.from && at < a.to+goneAwakeS
	})
}

// goneAwakeS is how long a sidecar that had counted as gone may take to hear what was agreed meanwhile.
const goneAwakeS = 3.0

// many finds more boxes out or cold at once than the plan allows, whoever has handed them over. Danger: mechanics alone tell of it, and
// the coordinator's wait for a cold box begins after the mechanic has spoken.
func (p *workPlay) many(w *MaintenanceReport) {
	sites := map[string]string{}
	for _, b := range p.day.Servers {
		sites[b.Name] = p.day.Sites[b.Site]
	}
	cold := cmp.Or(p.work.Spec.WarmUpSeconds, handColdS)
	for i := range w.Records {
		from, _ := span(&w.Records[i])
		out, bySite := map[string]bool{}, map[string]int{}
		for j := range w.Records {
			f, t := span(&w.Records[j])
			if f <= from && t+cold > from && p.stages[w.Records[j].Server] != maintenance.Lost {
				out[w.Records[j].Server] = true
			}
		}
		for box := range out {
			bySite[sites[box]]++
		}
		if len(out) > p.work.Spec.MaxConcurrent {
			w.find(checker.MaintenanceBudget, "%d boxes are worked on or cold at %.3f s, of %d that may be", len(out), from-p.day.Start, p.work.Spec.MaxConcurrent)
		}
		for site, n := range bySite {
			if n > cmp.Or(p.work.Spec.MaxPerSite, 1) {
				w.find(checker.MaintenanceBudget, "%d boxes of %s are worked on or cold at %.3f s", n, site, from-p.day.Start)
			}
		}
	}
}

// accounts holds what mechanics did beside what is agreed of it.
func (p *workPlay) accounts(w *MaintenanceReport) {
	if p.work.Scripted {
		return
	}
	tokens := map[string][]uint64{}
	done := map[string]bool{}
	for _, r := range w.Records {
		if !slices.Contains(tokens[r.Server], r.Token) {
			tokens[r.Server] = append(tokens[r.Server], r.Token)
		}
		done[r.Server] = done[r.Server] || !r.EndedAt.IsZero()
	}
	for box, of := range tokens {
		if len(of) > 1 {
			w.find(checker.MaintenanceRepeated, "%s is worked on under %v", box, of)
		}
	}
	if p.last == nil || len(p.last.Plans) == 0 {
		w.find(checker.MaintenanceRecorded, "no door tells of the plan")
		return
	}
	for _, b := range p.last.Plans[len(p.last.Plans)-1].Servers {
		switch n := len(tokens[b.Name]); {
		case (b.Stage == maintenance.WarmingUp || b.Stage == maintenance.Done) && !done[b.Name]:
			w.find(checker.MaintenanceRecorded, "%s is said to be done, and nobody has worked on it to the end", b.Name)
		case b.Stage < maintenance.InMaintenance && n > 0:
			w.find(checker.MaintenanceRecorded, "%s was worked on, and is said to wait", b.Name)
		case (b.Stage == maintenance.Skipped || b.Stage == maintenance.Lost) && b.Reason == "":
			w.find(checker.MaintenanceRecorded, "%s was skipped or lost for no cause", b.Name)
		}
	}
}
