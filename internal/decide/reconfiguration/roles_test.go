package reconfiguration_test

import (
	"fmt"
	"slices"

	"hazelwheel/internal/decide/election"
	"hazelwheel/internal/decide/register"
)

// This file simulates a singleton role: each machine is a candidate with its own clock, the register grants the lease, and a receiver
// accepts the orders of the lease holder. The machines' monotonic clocks drift, and their wall clocks are set from time to time.
const (
	roleName                 = "r"
	roleIntervalSeconds      = 0.3
	leaseSeconds             = 3.0
	confirmTimeoutSeconds    = 1.5
	maxClockDrift            = 0.02
	maxClockStepSeconds      = 6.0 // bound on the step by which a wall clock is set
	clockStepIntervalSeconds = 2.5 // mean time between steps
	// maxIdleSeconds is how long no machine may act in the role at the end of a period without faults.
	maxIdleSeconds = 3.0
)

// roleState is the state of a machine as a candidate for the role.
type roleState struct {
	candidate         *election.Candidate
	grant             register.Grant     // the newest that this machine knows
	releasedTokens    map[string]uint64  // by address: the token that a machine has released last
	lastHeartbeat     map[string]float64 // time of each machine's last known heartbeat
	isBusy            bool               // an acquisition or confirmation is in progress
	clockRate         float64
	wallOffsetSeconds float64 // deviation of the wall clock
}

// order is an order that the lease holder sends.
type order struct {
	at          float64
	address     string
	incarnation int
	token       uint64
}

// receiver accepts orders by their fencing tokens.
type receiver struct {
	highestToken uint64
	lastOrder    order
	firstByToken map[uint64]order // the first order under each token
}

func (s *simulation) bootRole(n *node) {
	if n.role.clockRate == 0 {
		n.role.clockRate = 1 + maxClockDrift*(2*s.rng.Float64()-1)
	}
	n.role = roleState{clockRate: n.role.clockRate, wallOffsetSeconds: n.role.wallOffsetSeconds, releasedTokens: map[string]uint64{}, lastHeartbeat: map[string]float64{}}
	n.role.candidate = election.NewCandidate(roleName, n.address, leaseSeconds, s.clock(n))
	s.every(n, roleIntervalSeconds, func() { s.runRole(n) })
}

// clock returns the time by which a machine measures its lease.
func (s *simulation) clock(n *node) float64 {
	steady := n.role.clockRate * (1000 + s.now)
	if s.faults.usesWallClock {
		return steady + n.role.wallOffsetSeconds
	}
	return steady
}

// stepClocks sets the wall clock of a random machine, and schedules the next step.
func (s *simulation) stepClocks() {
	s.after(2*clockStepIntervalSeconds*s.rng.Float64(), s.stepClocks)
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	n.role.wallOffsetSeconds = maxClockStepSeconds * (2*s.rng.Float64() - 1)
}

// mergeGrant merges a newer grant and the tokens that machines have released.
func (n *node) mergeGrant(grant register.Grant, released map[string]uint64) {
	if grant.Token > n.role.grant.Token {
		n.role.grant = grant
	}
	for address, token := range released {
		n.role.releasedTokens[address] = max(n.role.releasedTokens[address], token)
	}
}

// mergeHeartbeats adopts the later heartbeats that another machine knows.
func (n *node) mergeHeartbeats(heartbeats map[string]float64) {
	for address, at := range heartbeats {
		n.role.lastHeartbeat[address] = max(n.role.lastHeartbeat[address], at)
	}
}

func (s *simulation) runRole(n *node) {
	role := &n.role
	if role.isBusy {
		return
	}
	if token := role.candidate.ReleaseIfUnconfirmed(s.clock(n)); token != 0 {
		role.releasedTokens[n.address] = token
	}
	switch role.candidate.NextAction(s.clock(n), role.grant, s.heartbeatAge(n), s.quorumContact(n)) {
	case election.Acquire:
		s.acquireRole(n)
	case election.Confirm:
		s.confirmRole(n)
	case election.Act:
		s.sendOrder(n)
	case election.Wait:
	}
}

// quorumContact returns a machine's contact with the voters that it knows.
func (s *simulation) quorumContact(n *node) election.QuorumContact {
	reached := 0
	var ages []float64
	for _, voter := range n.knownVoters.Voters {
		if s.hasContact(n, voter.Address) {
			reached++
		}
		age := 0.0
		if voter.Address != n.address {
			age = n.role.clockRate * (s.now - n.lastReply[voter.Address])
		}
		ages = append(ages, age)
	}
	contact := election.QuorumContact{IsReachable: s.faults.acquiresWhilePartitioned || 2*reached > len(ages), ReplyAgeSeconds: 1e9}
	if len(ages) > 0 {
		slices.Sort(ages)
		contact.ReplyAgeSeconds = ages[len(ages)/2]
	}
	return contact
}

// heartbeatAge returns the age of the lease holder's last heartbeat by the machine's clock. It is very high if no heartbeat is known or
// the holder has released the role.
func (s *simulation) heartbeatAge(n *node) float64 {
	holder := n.role.grant.Holder
	heartbeat, known := n.role.lastHeartbeat[holder]
	if !known || n.role.releasedTokens[holder] == n.role.grant.Token {
		return 1e9
	}
	return n.role.clockRate * (s.now - heartbeat)
}

func (s *simulation) acquireRole(n *node) {
	n.role.isBusy = true
	startedAt, token := s.clock(n), n.role.grant.Token
	acquisition := register.NewRoleAcquisition(roleName, n.address, token)
	change := acquisition.Apply
	if s.faults.ignoresToken {
		change = func(current register.Value) (register.Value, bool) {
			acquisition = register.NewRoleAcquisition(roleName, n.address, current.GrantFor(roleName).Token)
			return acquisition.Apply(current)
		}
	}
	s.change(n, change, s.now+changeTimeoutSeconds, s.whileRunningProposal(n, func(proposal *register.Proposal) {
		n.role.isBusy = false
		if proposal == nil {
			return
		}
		grant := proposal.Value.GrantFor(roleName)
		n.mergeGrant(grant, nil)
		if token := acquisition.GrantedToken(&proposal.Value); token > 0 && proposal.Outcome != register.Undecided {
			n.role.candidate.HandleAcquired(startedAt, token)
		}
	}))
}

// whileRunningProposal returns a function that does nothing once the node has stopped.
func (s *simulation) whileRunningProposal(n *node, run func(*register.Proposal)) func(*register.Proposal) {
	incarnation := n.incarnation
	return func(proposal *register.Proposal) {
		if n.incarnation == incarnation && n.isUp {
			run(proposal)
		}
	}
}

func (s *simulation) confirmRole(n *node) {
	n.role.isBusy = true
	startedAt, incarnation := s.clock(n), n.incarnation
	s.read(n, s.now+confirmTimeoutSeconds, func(value register.Value, _ register.Ballot, ok bool) {
		if n.incarnation != incarnation || !n.isUp {
			return
		}
		n.role.isBusy = false
		if ok {
			n.mergeGrant(value.GrantFor(roleName), nil)
			n.role.candidate.HandleConfirmation(startedAt, value.GrantFor(roleName))
		}
	})
}

// sendOrder sends an order if the candidate may act. The receiver gets it a little later, and the sender resigns if it is rejected.
func (s *simulation) sendOrder(n *node) {
	if !n.role.candidate.CanAct(s.clock(n)) {
		return
	}
	order := order{s.now, n.address, n.incarnation, n.role.candidate.Token()}
	s.checkOrder(order)
	s.after(0.001+0.02*s.rng.Float64(), func() {
		if s.acceptsOrder(order) {
			return
		}
		if n.incarnation == order.incarnation && n.isUp {
			n.role.candidate.Resign()
		}
	})
}

// checkOrder checks that no other machine, or other run, acts under the same token, and that no other machine has acted within the last
// lease time.
func (s *simulation) checkOrder(order order) {
	r := &s.receiver
	if first, known := r.firstByToken[order.token]; known && (first.address != order.address || first.incarnation != order.incarnation) {
		s.reportViolation("%s and %s act under token %d", first.address, order.address, order.token)
	}
	if _, known := r.firstByToken[order.token]; !known {
		r.firstByToken[order.token] = order
	}
	hasChanged := r.lastOrder.address != "" && r.lastOrder.address != order.address
	if hasChanged && order.at-r.lastOrder.at < leaseSeconds*(1-2*maxClockDrift) {
		s.reportViolation("%s acts under token %d, %.2f s after %s under %d", order.address, order.token, order.at-r.lastOrder.at, r.lastOrder.address, r.lastOrder.token)
	}
	r.lastOrder = order
}

// acceptsOrder reports whether the receiver accepts an order, and checks that it accepts those under the highest token.
func (s *simulation) acceptsOrder(order order) bool {
	r := &s.receiver
	refused := order.token < r.highestToken
	if s.faults.rejectsEqualToken {
		refused = order.token <= r.highestToken
	}
	if refused && order.token == r.highestToken {
		s.reportViolation("an order under token %d is rejected without a newer grant", order.token)
	}
	r.highestToken = max(r.highestToken, order.token)
	return !refused
}

// checkNotIdle checks that a lease holder has acted recently. It is called after a period without faults.
func (s *simulation) checkNotIdle() {
	if idle := s.now - s.receiver.lastOrder.at; idle > maxIdleSeconds {
		s.reportViolation("no machine has acted in the role for %.1f s: %s", idle, s.describeRoles())
	}
}

func (s *simulation) describeRoles() (text string) {
	for _, n := range s.nodes {
		text += fmt.Sprintf("%s up %v token %d knows %d of %s; ", n.address, n.isUp, n.role.candidate.Token(), n.role.grant.Token, n.role.grant.Holder)
	}
	return text
}
