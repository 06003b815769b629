package maintenancesim

import (
	"hazelwheel/internal/decide/maintenance"
)

// lease has the job be granted to another when its owner is not heard, and sometimes to one more at random.
func (w *Simulation) superviseLease() {
	gone := func() bool {
		return w.leaseHolder == nil || !w.leaseHolder.isRunning || w.leaseHolder.isFrozen || w.leaseHolder.isIsolated || w.leaseHolder.process != w.leaseHolderProcess
	}
	if gone() {
		w.After(w.uniform(0.5, 3), func() {
			if gone() {
				w.grantLease(w.sidecars[w.rng.IntN(len(w.sidecars))])
			}
		})
	}
	w.After(w.uniform(1, 2), w.superviseLease)
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
