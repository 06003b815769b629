package maintenancesim

import (
	"fmt"
	"slices"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/decide/swim"
)

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
