package sim

import (
	"fmt"
	"math/rand/v2"

	"hazelwheel/internal/coordination"
	"hazelwheel/internal/decide/maintenance"
)

// maintenanceDriver is the maintenance of a day: operators who submit plans and other commands at sidecars' admin endpoints,
// and agents that maintain servers. It checks the fleet's records against what servers received and agents did.
type maintenanceDriver struct {
	day              *day
	rng              *rand.Rand
	spec             maintenance.Spec // common settings of the day's plans
	agents           []*simulatedAgent
	servers          []serverState
	attempts         map[uint64]attemptRoute // in flight, by connection; for lookups, never iterated
	records          []*workRecord           // by agents so far
	lastToken        uint64                  // of the last grant
	latest           maintenance.State       // the latest record of any sidecar
	epoch            uint64
	version          uint64
	submittedPlans   int
	strategy         *MaintenanceStrategy // nil: plans and commands are drawn
	slowStartSeconds float64
	endedAt          float64 // when the strategy's last server was completed
}

// serverState is what the driver knows of a server.
type serverState struct {
	name          string
	site          string
	lastAttemptAt float64 // of any sidecar
	lastAttemptBy int32
	inFlight      map[uint64]bool // connections with an attempt; iterated only where the order has no effect
	work          *workRecord     // in progress on the server; nil: none
	isExcused     bool            // an operator has forced its maintenance, or skipped it
	uncordonedBy  map[int32]bool  // sidecars at which an operator has uncordoned it; for lookups, never iterated
}

// attemptRoute is where an attempt went, and which sidecar sent it.
type attemptRoute struct{ server, sidecar int32 }

// workRecord is an agent's maintenance of one server.
type workRecord struct {
	plan      uint64
	server    int
	agent     string
	token     uint64
	isDone    bool
	hasFailed bool
}

// Durations of operators' and agents' actions.
const (
	commandRetrySeconds   = 0.25 // between two attempts of a command
	commandTimeoutSeconds = 2.5  // of a command at one sidecar, before another is tried
	deadMemberSeconds     = 30.0
	requestTransitSeconds = 0.05 // a request may be under way for so long
	operatorDayShare      = 0.5  // of the days have an operator who intervenes
)

// newMaintenanceDriver returns a driver without any maintenance scheduled.
func newMaintenanceDriver(d *day) *maintenanceDriver {
	w := &maintenanceDriver{day: d, rng: rand.New(rand.NewPCG(d.spec.Seed, 0x776f726b73)), attempts: map[uint64]attemptRoute{}}
	for _, b := range d.spec.Servers {
		w.servers = append(w.servers, serverState{name: b.Name, site: d.spec.Sites[b.Site], inFlight: map[uint64]bool{}, uncordonedBy: map[int32]bool{}})
	}
	return w
}

// scheduleRandom draws the day's agents, plans and commands.
func (d *maintenanceDriver) scheduleRandom() {
	uniform := func(low, high float64) float64 { return low + (high-low)*d.rng.Float64() }
	d.spec = maintenance.Spec{WorkSeconds: uniform(1, 8), QuietSeconds: uniform(0.5, 1.5), WarmUpSeconds: uniform(1, 4), DeadMemberSeconds: deadMemberSeconds, RejectionBudget: uniform(0.1, 1)}
	for i := range 1 + d.rng.IntN(2) {
		agent := &simulatedAgent{driver: d, name: fmt.Sprint("mechanic-", i)}
		d.agents = append(d.agents, agent)
		d.after(uniform(2, 6), agent.poll)
	}
	d.after(uniform(5, 12), d.submitRandomPlan)
	if d.rng.IntN(2) == 0 {
		d.after(uniform(8, 40), d.submitRandomPlan)
	}
	if d.rng.Float64() < operatorDayShare {
		for range 1 + d.rng.IntN(4) {
			d.after(uniform(10, 70), d.submitRandomCommand)
		}
	}
}

// after calls do after some seconds.
func (d *maintenanceDriver) after(s float64, do func()) {
	d.day.network.Schedule(d.day.network.Now()+s, do)
}

// submit submits a command at one sidecar after another until it is answered or the time-out is over, and calls done once. All
// attempts have the same nonce.
func (d *maintenanceDriver) submit(cmd maintenance.Command, timeoutSeconds float64, done func(r maintenance.Reply, answered bool)) {
	cmd.Nonce = d.rng.Uint64() | 1
	until, finished := d.day.network.Now()+timeoutSeconds, false
	var attempt func(target *simulatedSidecar, left float64)
	attempt = func(target *simulatedSidecar, left float64) {
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

// submitRandomPlan submits a plan for some of the servers.
func (d *maintenanceDriver) submitRandomPlan() {
	spec := d.spec
	d.submittedPlans++
	spec.Name = fmt.Sprint("plan-", d.submittedPlans)
	if d.rng.IntN(3) == 0 {
		spec.Sites = []string{d.day.spec.Sites[d.rng.IntN(len(d.day.spec.Sites))]}
	} else {
		for _, i := range d.rng.Perm(d.day.spec.InitialServers)[:3+d.rng.IntN(8)] {
			spec.Servers = append(spec.Servers, d.servers[i].name)
		}
	}
	spec.MaxConcurrent, spec.MaxPerSite = 1+d.rng.IntN(3), 1+d.rng.IntN(2)
	spec.MinCapacity = 0.6 * d.rng.Float64()
	d.submit(maintenance.Command{Kind: maintenance.SubmitPlan, Spec: &spec}, 25, func(r maintenance.Reply, answered bool) {
		d.trace("plan %s: %d %s %s, answered %t", spec.Name, r.Plan, r.Err, r.Text, answered)
	})
}

// submitRandomCommand submits an operator's command for a plan in progress, or for one of its servers.
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

// trace adds a line to the trace.
func (d *maintenanceDriver) trace(format string, args ...any) {
	if d.day.trace != nil {
		d.day.trace(d.day.network.Now()-d.day.spec.Start, "work: "+fmt.Sprintf(format, args...))
	}
}

// restartSidecar restarts a sidecar while servers are under maintenance, unless it is so late that the plans could not go on
// after it.
func (d *maintenanceDriver) restartSidecar(sidecar int) {
	now := d.day.network.Now()
	if now < d.day.spec.Start+0.9*d.day.spec.LengthSeconds {
		d.day.faults.RestartSidecar(sidecar, 0.2+d.rng.Float64(), now)
	}
}

// restoreRecord gives a starting sidecar the latest record of its peers, as its process queries it before it listens.
func (d *maintenanceDriver) restoreRecord(s *simulatedSidecar, node *coordination.Node) {
	var latest *coordination.MaintenanceRecord
	queried := false
	for i, peer := range d.day.sidecars {
		if i >= 3 || peer == s || peer.process == nil || !peer.process.IsRunning() || peer.isSuspended || peer.node == nil || d.isPartitioned(s, peer) {
			continue
		}
		record := peer.node.MaintenanceRecord()
		queried = true
		if record != nil && (latest == nil || record.Epoch > latest.Epoch || record.Epoch == latest.Epoch && record.Version > latest.Version) {
			latest = record
		}
	}
	if latest != nil {
		node.LearnMaintenance(latest)
	}
	s.startedBlind, s.isStateDamaged = !queried && (s.isStateDamaged || s.state.Data == nil), false
}
