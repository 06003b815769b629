package maintenancesim

import (
	"math"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/decide/swim"
)

// fault is a kind of fault. inject lets it begin, and last for some seconds if it lasts at all.
type fault struct {
	name   string
	inject func(s *Simulation, seconds float64)
}

// faults are all kinds; a run has some of them. Their order determines what a seed draws.
var faults = []fault{
	{"kill", func(s *Simulation, _ float64) {
		n := s.pickSidecar()
		if n.isRunning {
			n.stop(false)
			s.restartLater(n)
		}
	}},
	{"kill-for-good", func(s *Simulation, _ float64) {
		running := 0
		for _, n := range s.sidecars {
			if n.isRunning {
				running++
			}
		}
		if running > 2 {
			s.pickSidecar().stop(false)
		}
	}},
	{"term", func(s *Simulation, _ float64) {
		n := s.pickSidecar()
		if n.isRunning {
			n.stop(true)
			s.restartLater(n)
		}
	}},
	{"freeze", func(s *Simulation, seconds float64) { s.pickSidecar().freeze(seconds) }},
	{"partition", func(s *Simulation, seconds float64) { s.isolate(s.pickSidecar(), seconds) }},
	{"partition-half", func(s *Simulation, seconds float64) {
		for _, n := range s.sidecars {
			if s.chance(0.5) {
				s.isolate(n, seconds)
			}
		}
	}},
	{"move-lease", func(s *Simulation, _ float64) { s.grantLease(s.pickSidecar()) }},
	{"no-quorum", func(s *Simulation, seconds float64) {
		s.hasNoQuorum = true
		s.After(seconds, func() { s.hasNoQuorum = false })
	}},
	{"loss", func(s *Simulation, seconds float64) {
		before := s.lossProbability
		s.lossProbability = 0.4
		s.After(seconds, func() { s.lossProbability = before })
	}},
	{"server-down", func(s *Simulation, seconds float64) { s.failServer(s.pickServer(), seconds) }},
	{"site-down", func(s *Simulation, seconds float64) {
		site := s.pickServer().site
		for _, b := range s.servers {
			if b.site == site {
				s.failServer(b, seconds)
			}
		}
	}},
	{"unlisted", func(s *Simulation, seconds float64) {
		b := s.pickServer()
		b.isUnlisted, s.undisturbedSince = true, math.Inf(1)
		s.After(seconds, func() { b.isUnlisted, s.undisturbedSince = false, s.Now() })
	}},
	{"draining", func(s *Simulation, seconds float64) {
		b := s.pickServer()
		b.isDraining, s.undisturbedSince = true, math.Inf(1)
		s.After(seconds, func() { b.isDraining, s.undisturbedSince = false, s.Now() })
	}},
	{"load", func(s *Simulation, seconds float64) {
		before := s.requestsPerSecond
		s.requestsPerSecond *= s.uniform(1.5, 2.5)
		s.After(seconds, func() { s.requestsPerSecond = before })
	}},
	{"rejections", func(s *Simulation, seconds float64) {
		s.rejectedFraction = 0.2
		s.After(seconds, func() { s.rejectedFraction = 0 })
	}},
	{"stale-lists", func(s *Simulation, seconds float64) {
		s.staleLists = len(s.sidecars)
		s.After(seconds, func() { s.staleLists = 0 })
	}},
	{"uncordon", func(s *Simulation, seconds float64) {
		n, b := s.pickSidecar(), s.pickServer()
		if n.isRunning {
			n.uncordonedUntil[b.name] = s.Now() + seconds
		}
	}},
	{"operator-command", func(s *Simulation, _ float64) { s.issueOperatorCommand() }},
	{"agent-crash", func(s *Simulation, seconds float64) {
		if a := s.agents[s.rng.IntN(len(s.agents))]; !a.isDown {
			a.crash(seconds)
		}
	}},
	{"plan", func(s *Simulation, _ float64) { s.submitPlan(s.drawSpec(int(s.Scheduled())), 0) }},
	{"plan-twice", func(s *Simulation, _ float64) {
		spec := s.drawSpec(int(s.Scheduled()))
		nonce := uint64(0)
		if s.chance(0.5) { // the same command, not two for the same plan
			nonce = s.rng.Uint64() | 1
		}
		s.submitPlan(spec, nonce)
		s.submitPlan(spec, nonce)
	}},
}

// pickSidecar draws a running sidecar, the lease holder more often than others.
func (s *Simulation) pickSidecar() *sidecar {
	if s.leaseHolder != nil && s.chance(0.4) && s.leaseHolder.isRunning {
		return s.leaseHolder
	}
	for range 20 {
		if n := s.sidecars[s.rng.IntN(len(s.sidecars))]; n.isRunning {
			return n
		}
	}
	return s.sidecars[0]
}

func (s *Simulation) pickServer() *server { return s.servers[s.rng.IntN(len(s.servers))] }

// isolate partitions a sidecar from the others and the voters for some seconds.
func (s *Simulation) isolate(n *sidecar, seconds float64) {
	if n.isIsolated {
		return
	}
	s.log("%s isolated", n.name())
	n.isIsolated = true
	if n.isRunning && !n.isFrozen {
		n.reachabilityChangedAt = s.Now()
	}
	s.After(seconds, func() {
		s.log("%s reachable again", n.name())
		n.isIsolated = false
		process := n.process
		s.After(s.uniform(0.1, 1), func() { n.run(process, func() { n.apply(s.version, s.body) }) })
	})
}

// failServer lets a server answer nothing for some seconds, unless an agent works on it.
func (s *Simulation) failServer(b *server, seconds float64) {
	if b.agent != nil || b.isDown {
		return
	}
	b.isDown, s.undisturbedSince = true, math.Inf(1)
	s.After(seconds, func() { b.isDown, s.undisturbedSince = false, s.Now() })
}

// restartLater starts a new process of a sidecar after a while, mostly with its state. A sidecar without state that can't ask others
// knows of no cordon, which nothing can prevent; so an isolated one keeps its state.
func (s *Simulation) restartLater(n *sidecar) {
	s.After(s.uniform(0.5, 0.5*s.specTemplate.DeadMemberSeconds), func() {
		if s.chance(0.2) && !n.isIsolated {
			n.version, n.state, n.cordoned = 0, maintenance.State{}, nil
			n.id = swim.ID(s.rng.Uint64() | 1)
		}
		n.start()
	})
}
