package reconfiguration_test

import (
	"fmt"
	"slices"

	"hazelwheel/internal/decide/register"
)

// checkJoining checks that joining voters have on their disks what had been acknowledged when they started. Later changes reach them
// as they reach other voters.
func (s *simulation) checkJoining(value register.Value, next []register.Voter) {
	for _, voter := range next {
		n := s.nodeAt(voter.Address)
		if slices.Contains(value.Voters, voter) || n == nil || n.disk.ID != voter.ID {
			continue
		}
		if n.disk.Value.ConfigVersion < n.acknowledgedAtStart {
			s.reportViolation("%s votes with version %d, %d was acknowledged before it started", voter.ID, n.disk.Value.ConfigVersion, n.acknowledgedAtStart)
		}
	}
}

// checkHasJoined checks that a machine is a voter catchUpSeconds after its start, unless there was a fault in the meantime.
func (s *simulation) checkHasJoined(n *node, startedAt float64) {
	if n.isFrozen || n.isLeaving || s.faultsEndAt > startedAt {
		return
	}
	newest := n.knownVoters
	for _, other := range s.nodes {
		if other.isUp && other.knownVoters.Epoch > newest.Epoch {
			newest = other.knownVoters
		}
	}
	for _, voter := range newest.Voters {
		if voter.ID == n.disk.ID {
			return
		}
	}
	s.reportViolation("%s (%s) does not vote %.0f s after its start", n.address, n.disk.ID, catchUpSeconds)
}

// checkEnds checks that a proposal or read has ended once none of its calls is open.
func (s *simulation) checkEnds(round string, n *node, ended bool, open int) {
	if !ended && open == 0 {
		s.reportViolation("%s: a %s has no open call and has not ended", n.address, round)
	}
}

// operate sends a change or a read to a random machine, and schedules the next one.
func (s *simulation) operate() {
	s.after(s.operationSeconds*(0.5+s.rng.Float64()), s.operate)
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if !n.isUp || n.isFrozen {
		return
	}
	acknowledgedBefore, highestBefore := s.acknowledged[:len(s.acknowledged):len(s.acknowledged)], s.highestVersion
	check := func(value register.Value) {
		has := make(map[register.Digest]bool, len(value.AcceptedChanges))
		for _, digest := range value.AcceptedChanges {
			has[digest] = true
		}
		for _, digest := range acknowledgedBefore {
			if !has[digest] {
				s.reportViolation("%s returns version %d without an acknowledged change", n.address, value.ConfigVersion)
			}
		}
		if value.ConfigVersion < highestBefore {
			s.reportViolation("%s returns version %d after %d was returned", n.address, value.ConfigVersion, highestBefore)
		}
		s.highestVersion = max(s.highestVersion, value.ConfigVersion)
	}
	if s.rng.IntN(3) == 0 {
		s.read(n, s.now+1.5, func(value register.Value, _ register.Ballot, ok bool) {
			if ok {
				check(value)
			}
		})
		return
	}
	if s.tracksConfigs && s.rng.IntN(2) == 0 {
		s.operatePatch(n, check)
		return
	}
	base, startedAt := s.highestVersion, s.now
	digest := register.DigestOf(fmt.Append(nil, s.sequence))
	s.changeConfig(n, register.SetConfig(base+1, base, digest), digest, s.now+changeTimeoutSeconds, func(proposal *register.Proposal) {
		if proposal == nil {
			s.checkAnswered(n, startedAt)
			return
		}
		check(proposal.Value)
		if proposal.Outcome == register.Chosen {
			s.acknowledge(base, digest)
		}
	})
}

// operatePatch sends a patch to a machine. Half of the patches were sent before, and may have been applied.
func (s *simulation) operatePatch(n *node, check func(register.Value)) {
	sent := sentPatch{number: s.sequence, base: s.highestVersion}
	if len(s.sentPatches) > 0 && s.rng.IntN(2) == 0 {
		sent = s.sentPatches[max(0, len(s.sentPatches)-1-s.rng.IntN(maxPatchAge))]
	} else {
		s.sentPatches = append(s.sentPatches, sent)
	}
	startedAt := s.now
	s.applyPatch(n, sent.number, sent.base, s.now+changeTimeoutSeconds, func(value register.Value, outcome patchOutcome) {
		if outcome == patchUnknown {
			s.checkAnswered(n, startedAt)
			return
		}
		check(value)
		identity := patchOf(sent.number, sent.base)
		if outcome == patchApplied {
			s.acknowledge(sent.base, identity)
		} else if s.acknowledgedByBase[sent.base] == identity {
			s.reportViolation("%s rejects a patch that was acknowledged", n.address)
		}
	})
}

// acknowledge records that a change on top of a version was acknowledged to its sender.
func (s *simulation) acknowledge(base uint64, identity register.Digest) {
	other, isTaken := s.acknowledgedByBase[base]
	if isTaken && other != identity {
		s.reportViolation("two changes on top of version %d are acknowledged", base)
	}
	if !isTaken {
		s.acknowledgedByBase[base] = identity
		s.acknowledged = append(s.acknowledged, identity)
	}
}

// checkAnswered checks that a call without a reply has a cause: a recent fault, or a recent start of the machine that was called.
func (s *simulation) checkAnswered(n *node, startedAt float64) {
	if s.tracksConfigs && max(s.faultsEndAt, n.resumedAt)+catchUpSeconds < startedAt {
		s.reportViolation("%s does not reply to a change sent at %.2f s, without a fault", n.address, startedAt)
	}
}
