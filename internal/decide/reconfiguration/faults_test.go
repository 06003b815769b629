package reconfiguration_test

import (
	"container/heap"
	"fmt"

	"hazelwheel/internal/decide/register"
)

// pickHealthy returns a random machine that may be lost now, or nil if as many machines count as lost as the voters tolerate.
func (s *simulation) pickHealthy() *node {
	count := 0
	for _, until := range s.lostUntil {
		if until > s.now {
			count++
		}
	}
	if count >= s.tolerated {
		return nil
	}
	var free []*node
	for _, n := range s.nodes {
		if s.lostUntil[n] <= s.now && n.isUp && !n.isLeaving {
			free = append(free, n)
		}
	}
	if len(free) == 0 {
		return nil
	}
	return free[s.rng.IntN(len(free))]
}

// injectFault injects a random fault and schedules the next one. A machine counts as lost until catchUpSeconds after its return.
func (s *simulation) injectFault() {
	if s.now > faultPeriodSeconds {
		return
	}
	s.after(0.3+4*s.rng.Float64()*s.rng.Float64(), s.injectFault)
	switch s.rng.IntN(10) {
	case 0, 1, 2:
		s.wipeDisk()
	case 3:
		s.powerOff()
	case 4:
		s.isolate(3 + 17*s.rng.Float64())
	case 5:
		s.partitionHalves(1 + 4*s.rng.Float64())
	case 6:
		s.freeze(1 + 11*s.rng.Float64())
	case 7:
		s.replace()
	case 8:
		s.replacePlanned()
	case 9:
		s.powerOffAll()
	}
}

// extendFaults records that a fault lasts for durationSeconds from now.
func (s *simulation) extendFaults(durationSeconds float64) {
	s.faultsEndAt = max(s.faultsEndAt, s.now+durationSeconds)
}

func (s *simulation) stop(n *node) {
	n.isUp = false
	n.incarnation++
}

// restartAfter starts a stopped machine again after downSeconds.
func (s *simulation) restartAfter(n *node, downSeconds float64) {
	s.lostUntil[n] = max(s.lostUntil[n], s.now+downSeconds+catchUpSeconds)
	s.extendFaults(downSeconds)
	s.after(downSeconds, func() {
		if !n.isRemoved && !n.isUp {
			s.boot(n)
		}
	})
}

func (s *simulation) loseDisk(n *node) {
	n.disk, n.diskConfigs = register.State{ID: fmt.Sprintf("%s#%d", n.address, s.sequence)}, nil
}

// wipeDisk stops a machine and loses its disk.
func (s *simulation) wipeDisk() {
	if n := s.pickHealthy(); n != nil {
		s.stop(n)
		s.loseDisk(n)
		s.restartAfter(n, 0.3+1.2*s.rng.Float64())
	}
}

func (s *simulation) powerOff() {
	if n := s.pickHealthy(); n != nil {
		s.stop(n)
		s.restartAfter(n, 0.3+4*s.rng.Float64())
	}
}

func (s *simulation) block(a, b *node, durationSeconds float64) {
	s.partitionedUntil[[2]string{a.address, b.address}] = s.now + durationSeconds
}

// isolate partitions one machine from the others, in a third of the cases only for the messages that it sends.
func (s *simulation) isolate(durationSeconds float64) {
	n := s.pickHealthy()
	if n == nil {
		return
	}
	s.lostUntil[n] = s.now + durationSeconds + catchUpSeconds
	s.extendFaults(durationSeconds)
	isBidirectional := s.rng.IntN(3) > 0
	for _, other := range s.nodes {
		s.block(n, other, durationSeconds)
		if isBidirectional {
			s.block(other, n, durationSeconds)
		}
	}
}

// partitionHalves partitions half of the machines from the others, regardless of how many losses are tolerated. Earlier losses can't
// be repaired meanwhile, so all machines count as lost until catchUpSeconds after the partition.
func (s *simulation) partitionHalves(durationSeconds float64) {
	s.extendFaults(durationSeconds)
	for _, n := range s.nodes {
		s.lostUntil[n] = max(s.lostUntil[n], s.now+durationSeconds+catchUpSeconds)
	}
	for i, n := range s.nodes {
		for j, other := range s.nodes {
			if i < len(s.nodes)/2 != (j < len(s.nodes)/2) {
				s.block(n, other, durationSeconds)
			}
		}
	}
}

func (s *simulation) freeze(durationSeconds float64) {
	n := s.pickHealthy()
	if n == nil {
		return
	}
	s.lostUntil[n] = s.now + durationSeconds + catchUpSeconds
	s.extendFaults(durationSeconds)
	n.isFrozen = true
	s.after(durationSeconds, s.whileRunning(n, func() { n.isFrozen, n.resumedAt = false, s.now }))
}

// takeSpare removes a machine from the list of spares and returns it.
func (s *simulation) takeSpare() *node {
	spare := s.spares[0]
	s.spares = s.spares[1:]
	return spare
}

// addMachine starts a spare machine with an empty disk.
func (s *simulation) addMachine(spare *node) {
	spare.disk = register.State{ID: spare.address}
	s.nodes = append(s.nodes, spare)
	s.boot(spare)
}

func (s *simulation) removeMachine(n *node) {
	s.stop(n)
	n.isRemoved = true
	for i, other := range s.nodes {
		if other == n {
			s.nodes = append(s.nodes[:i:i], s.nodes[i+1:]...)
		}
	}
}

// replace removes a machine and starts an empty one later. The removed machine counts as lost until the new one has caught up.
func (s *simulation) replace() {
	n := s.pickHealthy()
	if n == nil || len(s.spares) == 0 {
		return
	}
	s.removeMachine(n)
	delaySeconds := 0.3 + 2.7*s.rng.Float64()
	s.lostUntil[n] = s.now + delaySeconds + catchUpSeconds
	s.extendFaults(delaySeconds)
	spare := s.takeSpare()
	s.lostUntil[spare] = s.lostUntil[n] - 0.001
	s.after(delaySeconds, func() { s.addMachine(spare) })
}

// replacePlanned starts the new machine first. Then the old one shuts down gracefully: it waits until it is no longer a voter.
func (s *simulation) replacePlanned() {
	n := s.pickHealthy()
	if n == nil || len(s.spares) == 0 {
		return
	}
	startedAt := s.now
	spare := s.takeSpare()
	s.addMachine(spare)
	s.lostUntil[spare] = startedAt + catchUpSeconds
	s.after(0.3+2.7*s.rng.Float64(), func() {
		if !n.isUp {
			return
		}
		n.isLeaving = true
		s.extendFaults(leaveTimeoutSeconds)
		s.lostUntil[n] = max(s.lostUntil[n], startedAt+catchUpSeconds)
		s.awaitReplacement(n, n.incarnation, s.now+leaveTimeoutSeconds)
	})
}

func (s *simulation) awaitReplacement(n *node, incarnation int, deadline float64) {
	if n.incarnation != incarnation || !n.isUp {
		return
	}
	votes := false
	for _, voter := range n.knownVoters.AllVoters() {
		votes = votes || voter.ID == n.disk.ID
	}
	if votes && s.now < deadline {
		s.after(0.05, func() { s.awaitReplacement(n, incarnation, deadline) })
		return
	}
	s.removeMachine(n)
}

// powerOffAll restarts all machines. If no machine counts as lost, as many disks are lost as the voters tolerate.
func (s *simulation) powerOffAll() {
	disks := s.tolerated
	for _, until := range s.lostUntil {
		if until > s.now {
			disks = 0
		}
	}
	downSeconds := 0.5 + s.rng.Float64()
	first := s.rng.IntN(len(s.nodes))
	for i, n := range s.nodes {
		if n.isLeaving {
			continue
		}
		s.stop(n)
		if (i+len(s.nodes)-first)%len(s.nodes) < disks {
			s.loseDisk(n)
		}
		s.restartAfter(n, downSeconds)
	}
}

// simulate runs a simulation and checks its state at the end of the quiet period.
func simulate(seed uint64, machines, spares int, operationSeconds float64, faults hostFaults) *simulation {
	s := newSimulation(seed, machines, spares, operationSeconds, faults)
	s.hasFixedDelays = true
	return s.run()
}

// simulateConfigs is simulate with configurations that have bytes, and with patches. It is a function of its own so that the histories
// of simulate don't change: tests repeat seeds of these that once violated an invariant.
func simulateConfigs(seed uint64, machines, spares int, operationSeconds float64, faults hostFaults) *simulation {
	s := newSimulation(seed, machines, spares, operationSeconds, faults)
	s.tracksConfigs = true
	return s.run()
}

func (s *simulation) run() *simulation {
	s.after(0.5, s.operate)
	s.after(2, s.injectFault)
	s.after(2, s.stepClocks)
	const end = faultPeriodSeconds + 24 + quietPeriodSeconds
	s.after(end-1, s.checkFinalState)
	for len(s.queue) > 0 && s.violation == "" && s.now < end {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	return s
}

// checkFinalState checks that all machines vote and hold the newest value after a period without faults.
func (s *simulation) checkFinalState() {
	s.checkNotIdle()
	for _, n := range s.nodes {
		if !n.isUp {
			continue
		}
		votes := false
		for _, voter := range n.knownVoters.Voters {
			votes = votes || voter.ID == n.disk.ID
		}
		if !votes || len(n.knownVoters.OutgoingVoters) > 0 {
			s.reportViolation("%s (%s) does not vote at the end: epoch %d, %v", n.address, n.disk.ID, n.knownVoters.Epoch, n.knownVoters.Voters)
		}
		if n.disk.Value.ConfigVersion+20 < s.highestVersion {
			s.reportViolation("%s is at version %d at the end, %d is current", n.address, n.disk.Value.ConfigVersion, s.highestVersion)
		}
	}
}
