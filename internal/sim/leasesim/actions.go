package leasesim

import (
	"errors"
	"math"

	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
)

// leaseActions carries out what the lease.Node of one incarnation asks for.
type leaseActions struct {
	node        *node
	incarnation int
}

// Send implements lease.Actions.
func (a *leaseActions) Send(to swim.ID, m *lease.Message) {
	s := a.node.sim
	s.checkPersisted(a.node, m)
	for _, o := range s.nodes {
		if o.up && o.identity.id == to {
			s.send(a.node, o, encode(m))
			return
		}
	}
}

// Broadcast implements lease.Actions.
func (a *leaseActions) Broadcast(m *lease.Message, except swim.ID) {
	body := encode(m)
	for _, o := range a.node.sim.nodes {
		if o != a.node && o.up && o.identity.id != except {
			a.node.sim.send(a.node, o, body)
		}
	}
}

// encode returns a message as it is sent.
func encode(m *lease.Message) []byte {
	b, err := msgpack.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

// RequestLinks implements lease.Actions. All nodes have links to all others.
func (a *leaseActions) RequestLinks([]swim.ID) {}

var errDiskFull = errors.New("no space left on device")

// Persist implements lease.Actions. The state is on disk when the write ends, even if the process has not heard of it by then.
func (a *leaseActions) Persist(state []byte) {
	n, s, incarnation := a.node, a.node.sim, a.incarnation
	if n.persisting {
		s.breakRule(RuleOnePersist, "%d asks for a write during a write", n.number)
	}
	n.persisting = true
	n.persists++
	took := s.diskSeconds * (1 + s.rng.Float64())
	if s.Now() < s.slowDiskUntil {
		took = s.slowDiskSeconds * (1 + s.rng.Float64())
	}
	if n.incarnation != incarnation {
		return
	}
	s.After(took, func() {
		if n.incarnation != incarnation { // the process has ended and the write is lost
			return
		}
		full := n.diskFull
		if !full && n.durable {
			n.disk = state
		}
		n.call(incarnation, func() {
			n.persisting = false
			if full {
				n.lease.HandlePersisted(n.localTime(), errDiskFull)
			} else {
				n.lease.HandlePersisted(n.localTime(), nil)
			}
		})
	})
}

// LeaseStarted implements lease.Actions.
func (a *leaseActions) LeaseStarted(role string, token uint64) {
	a.node.sim.leaseStarted(a.node, role, token)
}

// RecordCommitted implements lease.Actions.
func (a *leaseActions) RecordCommitted(lease.Record) {}

// LeaseEnded implements lease.Actions.
func (a *leaseActions) LeaseEnded(role string, token uint64, why lease.EndReason) {
	a.node.sim.leaseEnded(a.node, role, token, string(why))
}

// ReplaceIdentity implements lease.Actions: the process goes on under another identity.
func (a *leaseActions) ReplaceIdentity(why string) {
	n, s := a.node, a.node.sim
	s.record("%d replaces its identity: %s", n.number, why)
	incarnation := n.incarnation
	s.After(0.01, func() {
		n.call(incarnation, func() {
			n.replaceIdentity()
			n.incarnation++
			n.persisting, n.timerAt = false, math.Inf(1)
			n.startProcess()
		})
	})
}

// Log implements lease.Actions.
func (a *leaseActions) Log(text string, args ...any) {
	a.node.sim.record("%d logs: %s %v", a.node.number, text, args)
}
