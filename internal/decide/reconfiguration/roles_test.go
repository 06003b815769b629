package reconfiguration_test

import (
	"fmt"

	"hazelwheel/internal/decide/election"
	"hazelwheel/internal/decide/register"
)

// A role in the simulated control side: each machine stands for it with its own clock, the register grants it, and a receiver takes what its
// holder orders. The machines' steady clocks run apart, and their wall clocks are set now and then.
const (
	roleName  = "r"
	roleS     = 0.3 // between two looks at the role
	leaseS    = 3.0
	confirmS  = 1.5 // a confirmation may take
	clockPart = 0.02
	stepMost  = 6.0 // seconds by which a wall clock is set
	stepEvery = 2.5 // seconds between two such on the average
	// idleMost is how long nobody may act once there was no trouble for a while.
	idleMost = 3.0
)

// roleNode is a machine's part in the role.
type roleNode struct {
	holder   *election.Candidate
	grant    register.Grant // the newest that is known
	released map[string]uint64
	heard    map[string]float64 // when each machine has said last that it is there, as it was carried here
	busy     bool               // a take or a confirmation is under way
	rate     float64
	wallS    float64 // by how much its wall clock is off
}

// act is one order that a holder has decided to give.
type act struct {
	at      float64
	address string
	life    int
	token   uint64
}

// receiver takes the orders of the role's holders.
type receiver struct {
	greatest uint64
	last     act
	first    map[uint64]act // by token
}

func (w *world) bootRole(n *node) {
	if n.role.rate == 0 {
		n.role.rate = 1 + clockPart*(2*w.rng.Float64()-1)
	}
	n.role = roleNode{rate: n.role.rate, wallS: n.role.wallS, released: map[string]uint64{}, heard: map[string]float64{}}
	n.role.holder = election.NewCandidate(roleName, n.address, leaseS, w.clock(n))
	w.every(n, roleS, func() { w.lookRole(n) })
}

// clock is what a machine's leases go by.
func (w *world) clock(n *node) float64 {
	steady := n.role.rate * (1000 + w.now)
	if w.mistakes.wallLease {
		return steady + n.role.wallS
	}
	return steady
}

// stepClocks sets the wall clock of one machine after the other.
func (w *world) stepClocks() {
	w.after(2*stepEvery*w.rng.Float64(), w.stepClocks)
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	n.role.wallS = stepMost * (2*w.rng.Float64() - 1)
}

// hearGrant takes a newer grant, and that a holder has given its grant up.
func (n *node) hearGrant(grant register.Grant, released map[string]uint64) {
	if grant.Token > n.role.grant.Token {
		n.role.grant = grant
	}
	for address, token := range released {
		n.role.released[address] = max(n.role.released[address], token)
	}
}

// hearOf takes heartbeats that another machine has carried here.
func (n *node) hearOf(heard map[string]float64) {
	for address, at := range heard {
		n.role.heard[address] = max(n.role.heard[address], at)
	}
}

func (w *world) lookRole(n *node) {
	role := &n.role
	if role.busy {
		return
	}
	if token := role.holder.ReleaseIfUnconfirmed(w.clock(n)); token != 0 {
		role.released[n.address] = token
	}
	switch role.holder.NextAction(w.clock(n), role.grant, w.silence(n), w.mistakes.takesCutOff || w.reachesMajority(n)) {
	case election.Acquire:
		w.takeRole(n)
	case election.Confirm:
		w.confirmRole(n)
	case election.Act:
		w.actInRole(n)
	case election.Wait:
	}
}

// reachesMajority tells whether a machine is in touch with a majority of the voters that it knows of.
func (w *world) reachesMajority(n *node) bool {
	reached := 0
	for _, voter := range n.told.Voters {
		if w.inTouch(n, voter.Address) {
			reached++
		}
	}
	return 2*reached > len(n.told.Voters)
}

// silence is for how long the role's holder was not heard of, by the machine's clock.
func (w *world) silence(n *node) float64 {
	holder := n.role.grant.Holder
	heard, known := n.role.heard[holder]
	if !known || n.role.released[holder] == n.role.grant.Token {
		return 1e9
	}
	return n.role.rate * (w.now - heard)
}

func (w *world) takeRole(n *node) {
	n.role.busy = true
	began, token := w.clock(n), n.role.grant.Token
	take := register.AcquireRole(roleName, n.address, token)
	if w.mistakes.grabsRole {
		take = func(current register.Value) (register.Value, bool) {
			return register.AcquireRole(roleName, n.address, current.GrantFor(roleName).Token)(current)
		}
	}
	w.change(n, take, w.now+changeS, w.inLife(n, func(round *register.Proposal) {
		n.role.busy = false
		if round == nil {
			return
		}
		grant := round.Value.GrantFor(roleName)
		n.hearGrant(grant, nil)
		if round.Outcome == register.Chosen {
			n.role.holder.HandleAcquired(began, grant.Token)
		}
	}))
}

// inLife returns a function that does nothing once the life of a node is over.
func (w *world) inLife(n *node, run func(*register.Proposal)) func(*register.Proposal) {
	life := n.life
	return func(round *register.Proposal) {
		if n.life == life && n.up {
			run(round)
		}
	}
}

func (w *world) confirmRole(n *node) {
	n.role.busy = true
	began, life := w.clock(n), n.life
	w.read(n, w.now+confirmS, func(value register.Value, _ register.Ballot, ok bool) {
		if n.life != life || !n.up {
			return
		}
		n.role.busy = false
		if ok {
			n.hearGrant(value.GrantFor(roleName), nil)
			n.role.holder.HandleConfirmation(began, value.GrantFor(roleName))
		}
	})
}

// actInRole gives an order, which a receiver gets a moment later.
func (w *world) actInRole(n *node) {
	if !n.role.holder.CanAct(w.clock(n)) {
		return
	}
	order := act{w.now, n.address, n.life, n.role.holder.Token()}
	w.checkAct(order)
	w.after(0.001+0.02*w.rng.Float64(), func() {
		if w.receives(order) {
			return
		}
		if n.life == order.life && n.up {
			n.role.holder.Resign()
		}
	})
}

// checkAct looks whether another acts under the same token, or has acted within the lease.
func (w *world) checkAct(order act) {
	r := &w.receiver
	if first, known := r.first[order.token]; known && (first.address != order.address || first.life != order.life) {
		w.breakRule("%s and %s act under token %d", first.address, order.address, order.token)
	}
	if _, known := r.first[order.token]; !known {
		r.first[order.token] = order
	}
	turned := r.last.address != "" && r.last.address != order.address
	if turned && order.at-r.last.at < leaseS*(1-2*clockPart) {
		w.breakRule("%s acts under token %d, %.2f s after %s under %d", order.address, order.token, order.at-r.last.at, r.last.address, r.last.token)
	}
	r.last = order
}

// receives tells whether the receiver takes an order. One of the newest grant must be taken.
func (w *world) receives(order act) bool {
	r := &w.receiver
	refused := order.token < r.greatest
	if w.mistakes.refusesEqual {
		refused = order.token <= r.greatest
	}
	if refused && order.token == r.greatest {
		w.breakRule("an order under token %d is refused, which nobody has replaced", order.token)
	}
	r.greatest = max(r.greatest, order.token)
	return !refused
}

// checkRole looks whether somebody acts once there has been no trouble for a while.
func (w *world) checkRole() {
	if idle := w.now - w.receiver.last.at; idle > idleMost {
		w.breakRule("nobody has acted in the role for %.1f s: %s", idle, w.standing())
	}
}

func (w *world) standing() (text string) {
	for _, n := range w.nodes {
		text += fmt.Sprintf("%s up %v token %d knows %d of %s; ", n.address, n.up, n.role.holder.Token(), n.role.grant.Token, n.role.grant.Holder)
	}
	return text
}
