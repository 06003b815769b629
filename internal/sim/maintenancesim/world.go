// Package maintenancesim plays work on boxes by itself: sidecars that send to boxes and go by what is agreed, owners of the job that carry
// plans out and are replaced at any instant, mechanics and operators, all drawn from a seed. What is decided is the program's own
// (internal/decide/maintenance); who is there, the electors and the links are played. It judges from outside: what boxes got, what
// mechanics did, and what was agreed.
package maintenancesim

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/sim/seeds"
)

// World is a fleet whose boxes are worked on. It belongs to one goroutine.
type Simulation struct {
	seeds.Queue
	rng   *rand.Rand
	trace func(at float64, line string)
	hash  uint64

	servers       []*server
	sidecars      []*sidecar
	agents        []*agent
	order         maintenance.Order
	warmUpSeconds float64 // by the settings
	specTemplate  maintenance.Spec

	// What the electors keep. A write is agreed if it is of the token granted last and of the version that there is.
	epoch              uint64
	version            uint64
	body               []byte
	previousBody       []byte // the version before
	token              uint64
	leaseHolder        *sidecar // that it was granted to, in that run
	leaseHolderProcess int
	hasNoQuorum        bool // no majority: nothing is agreed, nothing granted

	requestsPerSecond      float64 // requests a second, all together
	rejectedFraction       float64 // part that is refused
	staleLists             int     // sidecars whose lists are late
	lossProbability        float64 // of messages
	holderFaultProbability float64 // of the owner's steps at which it dies or stands still
	isCalm                 bool    // nothing happens any more but the work

	checker
	counts Counts
}

// Counts are what a day was about.
type Counts struct {
	Plans        int `json:"Plans"`  // that were agreed
	WorkStarted  int `json:"Worked"` // boxes on which work began
	Done         int `json:"Done"`
	Skipped      int `json:"Skipped"`
	Lost         int `json:"Lost"`
	Forced       int `json:"Forced"`
	GivenBack    int `json:"Backed"` // boxes that were given back before anybody had them
	Leases       int `json:"Owners"`
	HolderFaults int `json:"Stopped"` // owners that died or stood still at a step
	StaleWrites  int `json:"Refused"` // writes of owners that were replaced, or came late
}

type server struct {
	name, site, serverType string
	capacity               float64
	isDown                 bool // it answers nobody
	isUnlisted             bool
	isDraining             bool
	warmUntil              float64
	inFlight               int     // executions that are out there
	lastUsedAt             float64 // when something new came, or ended
	lastUser               *sidecar
	agent                  *agent // who works on it,
	token                  uint64 // under which
}

// node is a sidecar over all lives of its process.
type sidecar struct {
	sim                   *Simulation
	number                int
	id                    swim.ID
	bootID                uint64
	process               int // events of an earlier run are void
	isRunning             bool
	isFrozen              bool
	isIsolated            bool    // from its peers, not from boxes
	hasLeft               bool    // it said that it leaves
	reachabilityChangedAt float64 // since when it has been heard, or not
	startedAt             float64
	deferred              []func()

	version         uint64 // by which it goes; it lasts, with the state
	state           maintenance.State
	cordoned        map[string]bool    // banned
	uncordonedUntil map[string]float64 // boxes that were given back here by hand, until then
	inFlight        map[string]int     // executions
	lastUsedAt      map[string]float64

	coordinator        *maintenance.Coordinator // as an owner, by its own view
	leaseToken         uint64
	coordinatorVersion uint64 // the version that its coordinator goes by
	isWriting          bool
	nextStep           float64
}

func (w *Simulation) uniform(a, b float64) float64 { return a + (b-a)*w.rng.Float64() }
func (w *Simulation) chance(part float64) bool     { return part > 0 && w.rng.Float64() < part }

// note adds to the history.
func (w *Simulation) log(format string, args ...any) {
	h := fnv.New64a()
	line := fmt.Sprintf(format, args...)
	fmt.Fprintf(h, "%x %.9f %s", w.hash, w.Now(), line)
	w.hash = h.Sum64()
	if w.trace != nil {
		w.trace(w.Now(), line)
	}
}

func (w *Simulation) latency() float64 { return w.uniform(0.001, 0.03) }

// --- Sidecars ---

func (n *sidecar) name() string { return fmt.Sprint("n", n.number) }

// call has a process do something, now or when it goes on; one that has ended does nothing.
func (n *sidecar) run(run int, do func()) {
	switch {
	case n.process != run || !n.isRunning:
	case n.isFrozen:
		n.deferred = append(n.deferred, func() { n.run(run, do) })
	default:
		do()
	}
}

func (n *sidecar) start() {
	w := n.sim
	if n.isRunning {
		return
	}
	n.isRunning, n.isFrozen, n.hasLeft, n.deferred, n.reachabilityChangedAt, n.startedAt = true, false, false, nil, w.Now(), w.Now()
	n.process++
	n.bootID = w.rng.Uint64() | 1
	n.inFlight, n.lastUsedAt, n.uncordonedUntil = map[string]int{}, map[string]float64{}, map[string]float64{}
	if n.cordoned == nil {
		n.cordoned = map[string]bool{}
	}
	w.log("%s begins, version %d", n.name(), n.version)
	if !n.isIsolated { // it asks before it sends
		n.apply(w.version, w.body)
	}
	run := n.process
	w.After(w.uniform(0, 0.5), func() { n.sendRequests(run) })
}

func (n *sidecar) stop(word bool) {
	if !n.isRunning {
		return
	}
	n.sim.log("%s ends", n.name())
	n.isRunning, n.isFrozen, n.deferred, n.hasLeft, n.reachabilityChangedAt = false, false, nil, word, n.sim.Now()
	n.process++
	for name, k := range n.inFlight { // its links end, and what was out there with them
		b := n.sim.serverByName(name)
		b.inFlight -= k
	}
	n.inFlight = nil
	n.dropLease("its process has ended")
}

func (n *sidecar) freeze(forS float64) {
	if !n.isRunning || n.isFrozen {
		return
	}
	n.sim.log("%s stands still for %.2f s", n.name(), forS)
	n.isFrozen, n.reachabilityChangedAt = true, n.sim.Now()
	run := n.process
	n.sim.After(forS, func() {
		if n.process == run {
			n.thaw()
		}
	})
}

func (n *sidecar) thaw() {
	if !n.isFrozen {
		return
	}
	n.isFrozen = false
	waiting := n.deferred
	n.deferred = nil
	for _, do := range waiting {
		do()
	}
}

// take has a sidecar go by what is agreed.
func (n *sidecar) apply(version uint64, body []byte) {
	if version <= n.version {
		return
	}
	state, err := maintenance.Decode(body)
	if err != nil {
		n.sim.violated(RuleState, "%v", err)
		return
	}
	n.version, n.state, n.cordoned = version, state, map[string]bool{}
	for b := range state.Cordoned {
		n.cordoned[b] = true
	}
}

// banned tells whether a sidecar sends nothing new to a box.
func (n *sidecar) isCordoned(name string) bool {
	return n.cordoned[name] && n.uncordonedUntil[name] <= n.sim.Now()
}

// send sends to one of the boxes that it may send to, again and again.
func (n *sidecar) sendRequests(run int) {
	w := n.sim
	n.run(run, func() {
		b := w.servers[w.rng.IntN(len(w.servers))]
		if n.isCordoned(b.name) || b.isUnlisted || b.isDown && w.chance(0.9) {
			return
		}
		w.checkRequest(b, n)
		n.inFlight[b.name]++
		n.lastUsedAt[b.name], b.lastUsedAt, b.lastUser = w.Now(), w.Now(), n
		b.inFlight++
		lasts := w.uniform(0.01, 0.4)
		if w.chance(0.003) {
			lasts = w.uniform(5, 30)
		}
		w.After(lasts, func() {
			if n.process != run {
				return
			}
			b.inFlight--
			b.lastUsedAt, b.lastUser = w.Now(), n
			n.run(run, func() {
				n.inFlight[b.name]--
				n.lastUsedAt[b.name] = w.Now()
			})
		})
	})
	w.After(w.uniform(0.1, 0.9), func() {
		if n.process == run {
			n.sendRequests(run)
		}
	})
}

// reached tells whether two hear each other.
func (n *sidecar) reaches(by *sidecar) bool {
	return n == by || n.isRunning && by.isRunning && !n.isIsolated && !by.isIsolated && !n.isFrozen && !by.isFrozen
}

// says is what one sidecar says of itself and of the boxes.
func (n *sidecar) report() (from maintenance.Reporter, open []maintenance.InUse) {
	from = maintenance.Reporter{ID: n.id, BootID: n.bootID, Version: n.version}
	for _, b := range n.sim.servers {
		if !n.cordoned[b.name] {
			continue
		}
		settle := 1.0
		for _, p := range n.state.Plans {
			if slices.ContainsFunc(p.Servers, func(o maintenance.Server) bool { return o.Name == b.name && o.Stage.IsCordoned() }) {
				settle = p.Spec.QuietPeriodSeconds()
			}
		}
		hand := n.uncordonedUntil[b.name] > n.sim.Now()
		if last, sent := n.lastUsedAt[b.name]; hand || n.inFlight[b.name] > 0 || sent && n.sim.Now()-last < settle {
			open = append(open, maintenance.InUse{Server: b.name, Member: n.id, Uncordoned: hand, InFlight: n.inFlight[b.name]})
		}
	}
	return from, open
}

// members is who is there as one sidecar sees it.
func (w *Simulation) membersSeenBy(by *sidecar) (all []maintenance.Member) {
	for _, n := range w.sidecars {
		if n.bootID == 0 || n.process == 1 && n != by && w.Now()-n.startedAt < 0.3 {
			continue // nobody knows of it yet
		}
		m := maintenance.Member{ID: n.id, Name: n.name(), BootID: n.bootID, StateAgeSeconds: w.Now() - n.reachabilityChangedAt}
		switch {
		case n.hasLeft && !n.isRunning:
			m.State = swim.Left
		case n.reaches(by):
		case m.StateAgeSeconds < 1.5:
		case m.StateAgeSeconds < 4:
			m.State = swim.Suspect
		default:
			m.State = swim.Dead
		}
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b maintenance.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

func (w *Simulation) serverByName(name string) *server {
	return w.servers[slices.IndexFunc(w.servers, func(b *server) bool { return b.name == name })]
}

// --- The owner ---

// grant has the job go to a sidecar.
func (w *Simulation) grantLease(n *sidecar) {
	if w.hasNoQuorum || !n.isRunning || n.isFrozen || n.isIsolated {
		return
	}
	w.token++
	w.leaseHolder, w.leaseHolderProcess = n, n.process
	w.counts.Leases++
	w.log("%s owns the job under %d", n.name(), w.token)
	token, run := w.token, n.process
	a := w.committed()
	if w.version > 1 && w.chance(0.3) { // the last write comes late
		a.Version--
		a.State, _ = maintenance.Decode(w.previousBody)
		w.After(w.uniform(0.1, 2), func() {
			n.run(run, func() {
				if n.leaseToken == token && n.coordinator != nil {
					n.applyCommitted(w.version, w.body)
				}
			})
		})
	}
	n.dropLease("it is granted anew")
	w.After(w.latency(), func() {
		n.run(run, func() {
			if n.leaseToken >= token {
				return
			}
			n.leaseToken = token
			n.coordinator = maintenance.New(maintenance.Settings{WarmUpSeconds: w.warmUpSeconds, Order: w.order})
			n.coordinator.Start(w.Now(), a)
			n.coordinatorVersion, n.isWriting, n.nextStep = a.Version, false, 0
			n.pollFleet(run, token)
			n.step()
		})
	})
}

func (n *sidecar) dropLease(why string) {
	if n.coordinator != nil {
		n.sim.log("%s does not own the job any more: %s", n.name(), why)
	}
	n.coordinator, n.isWriting = nil, false
}

func (w *Simulation) committed() maintenance.Committed {
	state, err := maintenance.Decode(w.body)
	if err != nil {
		w.violated(RuleState, "%v", err)
	}
	return maintenance.Committed{Epoch: w.epoch, Version: w.version, State: state}
}

// ask asks all for their words, again and again.
func (n *sidecar) pollFleet(run int, token uint64) {
	w := n.sim
	if n.coordinator == nil || n.leaseToken != token || n.process != run {
		return
	}
	again := func() {
		w.After(w.uniform(0.4, 0.9), func() { n.run(run, func() { n.pollFleet(run, token) }) })
	}
	if !n.coordinator.NeedsSnapshot() {
		again()
		return
	}
	r := maintenance.FleetSnapshot{Complete: true}
	for _, o := range w.sidecars {
		if !o.isRunning || o.bootID == 0 {
			continue
		}
		if !o.reaches(n) || w.chance(w.lossProbability) {
			if o.isRunning {
				r.Complete = false
			}
			continue
		}
		life := o.process
		w.After(w.uniform(0.01, 0.2), func() {
			if o.process != life || !o.reaches(n) {
				return
			}
			from, open := o.report()
			r.Report.Reporters, r.Report.InUse = append(r.Report.Reporters, from), append(r.Report.InUse, open...)
		})
	}
	w.After(w.uniform(0.25, 0.4), func() {
		r.Members = w.membersSeenBy(n) // as it is known when all has come
		r.Report.Servers = w.serverStatuses()
		r.Report.CompletedPerSecond, r.Report.RejectedPerSecond, r.Report.StaleMembers = w.requestsPerSecond*w.uniform(0.95, 1.05), w.requestsPerSecond*w.rejectedFraction, w.staleLists
		n.run(run, func() {
			if n.coordinator == nil || n.leaseToken != token {
				return
			}
			n.coordinator.Observe(w.Now(), r)
			n.step()
			again()
		})
	})
}

// seen is what all say of the boxes.
func (w *Simulation) serverStatuses() (all []maintenance.ServerStatus) {
	up := 0
	for _, n := range w.sidecars {
		if n.isRunning {
			up++
		}
	}
	serve := 0
	for _, b := range w.servers {
		if !b.isDown && b.agent == nil {
			serve++
		}
	}
	for _, b := range w.servers {
		s := maintenance.ServerStatus{Server: b.name, Site: b.site, Type: b.serverType, Capacity: b.capacity, ListedBy: up, Busy: b.inFlight > 0}
		if b.isUnlisted {
			s.ListedBy = 0
		}
		if b.isDraining {
			s.DrainingBy = up
		}
		if b.isDown {
			s.UnresponsiveBy = up
		} else {
			s.CompletedPerSecond = w.requestsPerSecond / float64(max(serve, 1))
		}
		if b.warmUntil > w.Now() {
			s.WarmingUpBy = up
		}
		all = append(all, s)
	}
	return all
}

// drive has an owner's coordinator go on.
func (n *sidecar) step() {
	w, c, run, token := n.sim, n.coordinator, n.process, n.leaseToken
	if c == nil {
		return
	}
	next := c.Step(w.Now())
	for _, r := range c.Replies() {
		w.deliverReply(n, r)
	}
	if at := c.StepDeadline(w.Now()); n.nextStep <= w.Now() || at < n.nextStep-1e-9 {
		n.nextStep = max(at, w.Now()+0.05)
		w.After(n.nextStep-w.Now(), func() {
			n.run(run, func() {
				if n.coordinator == c {
					n.nextStep = 0
					n.step()
				}
			})
		})
	}
	if next == nil || n.isWriting {
		return
	}
	body, err := next.Encode()
	if err != nil {
		w.violated(RuleState, "%v", err)
		return
	}
	version := n.coordinatorVersion
	n.isWriting = true
	write := func() {
		w.After(w.uniform(0.003, 0.05), func() { w.commit(n, run, token, version, body) })
		w.After(1, func() { // it is repeated until something is learned
			n.run(run, func() {
				if n.coordinator == c && n.isWriting {
					n.isWriting = false
					n.step()
				}
			})
		})
	}
	if w.chance(w.holderFaultProbability) {
		w.counts.HolderFaults++
		switch w.rng.IntN(3) {
		case 0: // it dies before it has written
			n.stop(false)
			w.restartLater(n)
			return
		case 1: // it stands still before it writes
			n.freeze(w.uniform(0.3, 20))
			n.deferred = append(n.deferred, func() { n.run(run, write) })
			return
		default: // it has written, and dies before it learns of it
			write()
			w.After(w.uniform(0, 0.06), func() {
				if n.process == run {
					n.stop(false)
					w.restartLater(n)
				}
			})
			return
		}
	}
	write()
}

// write has the electors agree on a state, if it is the owner's and in place of the one that there is.
func (w *Simulation) commit(n *sidecar, run int, token, version uint64, body []byte) {
	if w.hasNoQuorum {
		return
	}
	ok := token == w.token && version == w.version
	if ok {
		w.checkCommit(body)
		w.version++
		w.previousBody, w.body = w.body, body
		w.disseminate()
	} else {
		w.counts.StaleWrites++
	}
	current, at, old := w.body, w.version, token < w.token
	if w.chance(w.lossProbability) {
		return
	}
	w.After(w.latency(), func() {
		n.run(run, func() {
			switch {
			case n.coordinator == nil || n.leaseToken != token:
			case old:
				n.dropLease("another one does")
			default:
				n.applyCommitted(at, current)
			}
		})
	})
}

// learn tells an owner's coordinator what is agreed.
func (n *sidecar) applyCommitted(version uint64, body []byte) {
	if version <= n.coordinatorVersion {
		return
	}
	state, err := maintenance.Decode(body)
	if err != nil {
		n.sim.violated(RuleState, "%v", err)
		return
	}
	n.coordinatorVersion, n.isWriting = version, false
	n.coordinator.ApplyCommitted(n.sim.Now(), maintenance.Committed{Epoch: n.sim.epoch, Version: version, State: state})
	n.step()
}

// spread has what is agreed go to all that can be reached, sooner or later.
func (w *Simulation) disseminate() {
	version, body := w.version, w.body
	for _, n := range w.sidecars {
		run := n.process
		var try func()
		try = func() {
			if n.process != run || n.version >= version {
				return
			}
			if n.isIsolated || w.chance(0.2) {
				w.After(w.uniform(0.2, 1), try)
				return
			}
			n.run(run, func() { n.apply(version, body) })
		}
		w.After(w.uniform(0.005, 0.3), try)
	}
}
