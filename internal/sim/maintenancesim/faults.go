package maintenancesim

import (
	"math"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/decide/swim"
)

type fault struct {
	name   string
	inject func(w *Simulation, forS float64)
}

// troubles are all kinds; a day has some of them.
var faults = []fault{
	{"kill", func(w *Simulation, _ float64) {
		n := w.pickSidecar()
		if n.isRunning {
			n.stop(false)
			w.restartLater(n)
		}
	}},
	{"kill-for-good", func(w *Simulation, _ float64) {
		live := 0
		for _, n := range w.sidecars {
			if n.isRunning {
				live++
			}
		}
		if live > 2 {
			w.pickSidecar().stop(false)
		}
	}},
	{"term", func(w *Simulation, _ float64) {
		n := w.pickSidecar()
		if n.isRunning {
			n.stop(true)
			w.restartLater(n)
		}
	}},
	{"freeze", func(w *Simulation, forS float64) { w.pickSidecar().freeze(forS) }},
	{"cut", func(w *Simulation, forS float64) { w.isolate(w.pickSidecar(), forS) }},
	{"cut-half", func(w *Simulation, forS float64) {
		for _, n := range w.sidecars {
			if w.chance(0.5) {
				w.isolate(n, forS)
			}
		}
	}},
	{"move", func(w *Simulation, _ float64) { w.grantLease(w.pickSidecar()) }},
	{"majority", func(w *Simulation, forS float64) {
		w.hasNoQuorum = true
		w.After(forS, func() { w.hasNoQuorum = false })
	}},
	{"loss", func(w *Simulation, forS float64) {
		was := w.lossProbability
		w.lossProbability = 0.4
		w.After(forS, func() { w.lossProbability = was })
	}},
	{"silent", func(w *Simulation, forS float64) { w.servers[w.rng.IntN(len(w.servers))].fail(w, forS) }},
	{"site", func(w *Simulation, forS float64) {
		site := w.servers[w.rng.IntN(len(w.servers))].site
		for _, b := range w.servers {
			if b.site == site {
				b.fail(w, forS)
			}
		}
	}},
	{"unlisted", func(w *Simulation, forS float64) {
		b := w.servers[w.rng.IntN(len(w.servers))]
		b.isUnlisted, w.undisturbedSince = true, math.Inf(1)
		w.After(forS, func() { b.isUnlisted, w.undisturbedSince = false, w.Now() })
	}},
	{"drained", func(w *Simulation, forS float64) {
		b := w.servers[w.rng.IntN(len(w.servers))]
		b.isDraining, w.undisturbedSince = true, math.Inf(1)
		w.After(forS, func() { b.isDraining, w.undisturbedSince = false, w.Now() })
	}},
	{"load", func(w *Simulation, forS float64) {
		was := w.requestsPerSecond
		w.requestsPerSecond *= w.uniform(1.5, 2.5)
		w.After(forS, func() { w.requestsPerSecond = was })
	}},
	{"refusing", func(w *Simulation, forS float64) {
		w.rejectedFraction = 0.2
		w.After(forS, func() { w.rejectedFraction = 0 })
	}},
	{"late", func(w *Simulation, forS float64) {
		w.staleLists = len(w.sidecars)
		w.After(forS, func() { w.staleLists = 0 })
	}},
	{"by-hand", func(w *Simulation, forS float64) {
		n, b := w.pickSidecar(), w.servers[w.rng.IntN(len(w.servers))]
		if n.isRunning {
			n.uncordonedUntil[b.name] = w.Now() + forS
		}
	}},
	{"meddle", func(w *Simulation, _ float64) { w.issueOperatorCommand() }},
	{"mechanic", func(w *Simulation, forS float64) {
		if m := w.agents[w.rng.IntN(len(w.agents))]; !m.isDown {
			m.crash(forS)
		}
	}},
	{"plan", func(w *Simulation, _ float64) { w.submitPlan(w.drawSpec(int(w.Asked())), 0) }},
	{"plan-twice", func(w *Simulation, _ float64) {
		s := w.drawSpec(int(w.Asked()))
		nonce := uint64(0)
		if w.chance(0.5) { // the same command
			nonce = w.rng.Uint64() | 1
		}
		w.submitPlan(s, nonce)
		w.submitPlan(s, nonce)
	}},
}

// some is a sidecar that lives, the owner more often than others.
func (w *Simulation) pickSidecar() *sidecar {
	if w.leaseHolder != nil && w.chance(0.4) && w.leaseHolder.isRunning {
		return w.leaseHolder
	}
	for range 20 {
		if n := w.sidecars[w.rng.IntN(len(w.sidecars))]; n.isRunning {
			return n
		}
	}
	return w.sidecars[0]
}

func (w *Simulation) isolate(n *sidecar, forS float64) {
	if n.isIsolated {
		return
	}
	w.log("%s is cut off", n.name())
	n.isIsolated = true
	if n.isRunning && !n.isFrozen {
		n.reachabilityChangedAt = w.Now()
	}
	w.After(forS, func() {
		w.log("%s is back", n.name())
		n.isIsolated = false
		run := n.process
		w.After(w.uniform(0.1, 1), func() { n.run(run, func() { n.apply(w.version, w.body) }) })
	})
}

// fails has a box be silent for a while, unless somebody works on it.
func (b *server) fail(w *Simulation, forS float64) {
	if b.agent != nil || b.isDown {
		return
	}
	b.isDown, w.undisturbedSince = true, math.Inf(1)
	w.After(forS, func() {
		b.isDown, w.undisturbedSince = false, w.Now()
	})
}

// back has a process begin again, mostly with what it had on disk.
func (w *Simulation) restartLater(n *sidecar) {
	w.After(w.uniform(0.5, 0.5*w.specTemplate.DeadMemberSeconds), func() {
		if w.chance(0.2) && !n.isIsolated { // danger: one that is new and can't ask knows of no ban; nobody can help that
			n.version, n.state, n.cordoned = 0, maintenance.State{}, nil
			n.id = swim.ID(w.rng.Uint64() | 1)
		}
		n.start()
	})
}
