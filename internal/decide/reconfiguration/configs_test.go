package reconfiguration_test

import (
	"fmt"
	"slices"

	"hazelwheel/internal/decide/register"
)

// This file simulates the bytes of configurations. A configuration is represented by its digest, and a machine has its bytes or lacks
// them. A voter accepts a value only if it has the bytes of its configuration, and a machine that catches up fetches them from voters.

// maxCachedConfigs is how many configurations a machine keeps; it drops the oldest ones.
const maxCachedConfigs = 2

// configCache is the configurations that a machine has, the newest at the end.
type configCache []register.Digest

func (c *configCache) clone() configCache { return slices.Clone(*c) }

// add adds a configuration as the newest one. The zero digest stands for none.
func (c *configCache) add(config register.Digest) {
	if config == (register.Digest{}) {
		return
	}
	kept := slices.DeleteFunc(c.clone(), func(other register.Digest) bool { return other == config })
	kept = append(kept, config)
	*c = kept[max(len(kept)-maxCachedConfigs, 0):]
}

// hasConfig reports whether a machine has the bytes of a value's configuration, or needs none.
func (s *simulation) hasConfig(n *node, value register.Value) bool {
	return !s.tracksConfigs || value.ConfigVersion == 0 || slices.Contains(n.configs, value.ConfigDigest)
}

// checkHasConfig checks that the bytes of a machine's value are on its disk.
func (s *simulation) checkHasConfig(n *node) {
	value := n.disk.Value
	if s.tracksConfigs && value.ConfigVersion > 0 && !slices.Contains(n.diskConfigs, value.ConfigDigest) {
		s.reportViolation("%s holds version %d without the bytes of its configuration", n.address, value.ConfigVersion)
	}
}

// inlineConfig returns the configuration whose bytes are sent with an accept request, or the zero digest. Bytes are sent if the
// configuration is small and is that of the proposed value. Configurations with an even first byte of the digest count as large.
func (s *simulation) inlineConfig(proposal *register.Proposal, config register.Digest) register.Digest {
	isLarge := config[0]%2 == 0
	if isLarge || config != proposal.Value.ConfigDigest && !s.faults.sendsOwnConfig {
		return register.Digest{}
	}
	return config
}

// sendAccept sends an accept request, with the bytes of a configuration unless its digest is zero.
func (s *simulation) sendAccept(n *node, voter register.Voter, proposal *register.Proposal, config register.Digest, replied func(register.Step)) {
	value := proposal.Value.Clone()
	var reply register.AcceptReply
	if s.tracksConfigs && config != (register.Digest{}) && config != value.ConfigDigest {
		s.reportViolation("%s sends the bytes of another configuration than the value's, which voters reject", n.address)
	}
	s.call(n, voter.Address, func(to *node) {
		hasConfig := s.hasConfig(to, value) || config != (register.Digest{}) || s.faults.acceptsWithoutConfig
		var next *register.State
		next, reply = to.acceptor.HandleAccept(register.AcceptRequest{To: voter.ID, Ballot: proposal.Ballot, Value: value}, hasConfig)
		s.store(to, next, config)
	}, func(answered bool) {
		if !answered {
			replied(proposal.HandleNoReply(voter, true))
			return
		}
		replied(proposal.HandleAcceptReply(voter, reply))
	})
}

// sendConfig sends an accept request with the bytes of the proposed value's configuration. It fetches them if they are not those of the
// change that the node itself proposes.
func (s *simulation) sendConfig(n *node, voter register.Voter, proposal *register.Proposal, config register.Digest, replied func(register.Step)) {
	value := proposal.Value
	if config == value.ConfigDigest {
		s.sendAccept(n, voter, proposal, config, replied)
		return
	}
	s.fetch(n, value, func(ok bool) {
		if !ok {
			replied(proposal.HandleNoReply(voter, true))
			return
		}
		s.sendAccept(n, voter, proposal, value.ConfigDigest, replied)
	})
}

// fetch fetches the bytes of a value's configuration from the first of its voters that has them.
func (s *simulation) fetch(n *node, value register.Value, done func(ok bool)) {
	if s.hasConfig(n, value) {
		done(true)
		return
	}
	sources := slices.DeleteFunc(value.AllVoters(), func(voter register.Voter) bool { return voter.Address == n.address })
	if !s.faults.fetchesInFixedOrder {
		sources = n.fetchOrder.Sort(sources)
	}
	s.fetchFrom(n, value, sources, done)
}

func (s *simulation) fetchFrom(n *node, value register.Value, sources []register.Voter, done func(ok bool)) {
	if len(sources) == 0 {
		done(false)
		return
	}
	found := false
	s.call(n, sources[0].Address, func(to *node) { found = s.hasConfig(to, value) }, func(answered bool) {
		n.fetchOrder.Record(sources[0], answered)
		if answered && found {
			s.after(transferSeconds, s.whileRunning(n, func() { done(true) }))
			return
		}
		s.fetchFrom(n, value, sources[1:], done)
	})
}

// catchUp has a machine store a value that was chosen, once it has the bytes of its configuration.
func (s *simulation) catchUp(n *node, value register.Value, at register.Ballot) {
	if !s.tracksConfigs {
		s.after(transferSeconds, s.whileRunning(n, func() { s.learn(n, value, at) }))
		return
	}
	s.fetch(n, value, func(ok bool) {
		if ok {
			s.learn(n, value, at)
		}
	})
}

// patchOf returns the identity of a patch on top of a version.
func patchOf(patch int, base uint64) register.Digest {
	return register.DigestOf(fmt.Appendf(nil, "patch %d on %d", patch, base))
}

// sentPatch is a patch that an operator has sent.
type sentPatch struct {
	number int
	base   uint64
}

// refetchSeconds is the delay before a value is read again after its configuration could not be fetched.
const refetchSeconds = 0.02

// maxPatchAge bounds how old a patch may be that is sent again: it is one of the last maxPatchAge patches.
const maxPatchAge = 5

// patchOutcome is what the sender of a patch learns.
type patchOutcome int

const (
	patchUnknown patchOutcome = iota // it may be applied or not
	patchApplied                     // by this call or an earlier one
	patchRefused                     // the version that it is based on is not current
)

// outcomeOf returns the outcome of a patch according to a chosen value.
func outcomeOf(value *register.Value, base uint64, identity register.Digest) patchOutcome {
	if value.CheckConfig(base+1, base, identity) == register.ConfigDuplicate {
		return patchApplied
	}
	return patchRefused
}

// applyPatch reads the value and its configuration, and proposes the patched configuration. done gets a chosen value and the outcome.
func (s *simulation) applyPatch(n *node, patch int, base uint64, until float64, done func(value register.Value, outcome patchOutcome)) {
	identity := patchOf(patch, base)
	s.read(n, until, func(value register.Value, _ register.Ballot, ok bool) {
		switch {
		case !ok:
			done(register.Value{}, patchUnknown)
			return
		case value.CheckConfig(base+1, base, identity) != register.ConfigApplicable:
			done(value, outcomeOf(&value, base, identity))
			return
		}
		s.fetch(n, value, func(ok bool) {
			if !ok {
				// The configuration may have been superseded meanwhile, and no voter has it any more. Read the value again.
				s.after(refetchSeconds, s.whileRunning(n, func() { s.applyPatch(n, patch, base, until, done) }))
				return
			}
			result := register.DigestOf(fmt.Appendf(nil, "%x patched by %x", value.ConfigDigest, identity))
			s.checkPatchResult(n, identity, result)
			s.changeConfig(n, register.SetConfigWithIdentity(base+1, base, result, identity), result, until, func(proposal *register.Proposal) {
				if proposal == nil {
					done(register.Value{}, patchUnknown)
					return
				}
				done(proposal.Value, outcomeOf(&proposal.Value, base, identity))
			})
		})
	})
}

// checkPatchResult checks that a patch leads to the same configuration on every machine.
func (s *simulation) checkPatchResult(n *node, identity, result register.Digest) {
	if other, isKnown := s.patchResults[identity]; isKnown && other != result {
		s.reportViolation("%s derives another configuration from a patch than before", n.address)
	}
	s.patchResults[identity] = result
}
