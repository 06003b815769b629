package coordination

import (
	"slices"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers/frames"
)

// leaseActions implements lease.Actions for a roleManager. Work that would call back into the lease node is postponed to the end of
// the present call, and skipped if the identity has been replaced by then.
type leaseActions struct{ roles *roleManager }

var _ lease.Actions = leaseActions{}

// Send implements lease.Actions.
func (a leaseActions) Send(to swim.ID, m *lease.Message) {
	if link := a.roles.node.linkByMember[to]; link != nil {
		link.Send(frames.TopicLease, mustMarshal(m))
	}
}

// Broadcast implements lease.Actions.
func (a leaseActions) Broadcast(m *lease.Message, except swim.ID) {
	body := mustMarshal(m)
	for _, link := range slices.Clone(a.roles.node.upLinks) { // sending may end a link
		if swim.ID(link.Hello.ID) != except {
			link.Send(frames.TopicLease, body)
		}
	}
}

// RequestLinks implements lease.Actions.
func (a leaseActions) RequestLinks(members []swim.ID) {
	n := a.roles.node
	n.runAfterCall(func() {
		if n.view != nil && !n.isReplaced {
			n.view.RequestLinks(n.loop.Now(), members)
		}
	})
}

// Persist implements lease.Actions.
func (a leaseActions) Persist(state []byte) {
	m, n := a.roles, a.roles.node
	n.runAfterCall(func() {
		node := m.lease
		if node == nil {
			return
		}
		n.state.LeaseState = state
		n.persist(func(err error) {
			if m.lease == node {
				node.HandlePersisted(n.loop.Now(), err)
			}
		})
	})
}

// LeaseStarted implements lease.Actions: it starts the role unless a message of a later holder was received.
func (a leaseActions) LeaseStarted(name string, token uint64) {
	m, node := a.roles, a.roles.lease
	m.node.runAfterCall(func() {
		s := m.state(name)
		if m.lease != node || s == nil {
			return
		}
		m.stopRole(s, "lease granted again")
		if ok, _ := m.fence.Admit(name, token); !ok {
			return // a message under a higher token was received: there is a later holder
		}
		s.heldToken, s.sequence = token, 0
		m.logInfo("owner of a job", "job", name, "token", token)
		if s.role != nil {
			s.role.Start(token)
			s.nextTick = 0
		}
	})
}

// RecordCommitted implements lease.Actions. The maintenance role is the only one with a record.
func (a leaseActions) RecordCommitted(record lease.Record) {
	m, node := a.roles, a.roles.lease
	m.node.runAfterCall(func() {
		if r := m.maintenance; m.lease == node && r != nil && record.Role == maintenanceRoleName && r.heldToken != 0 {
			r.handleCommitted(&record)
		}
	})
}

// LeaseEnded implements lease.Actions: it stops the role.
func (a leaseActions) LeaseEnded(name string, token uint64, reason lease.EndReason) {
	m := a.roles
	m.node.runAfterCall(func() {
		s := m.state(name)
		if s == nil || s.heldToken != token {
			return
		}
		m.stopRole(s, string(reason))
		if h, ok := s.role.(lapseHandler); ok && reason == lease.ReasonNotRenewed {
			h.HandleLapse(token)
		}
	})
}

// ReplaceIdentity implements lease.Actions: this sidecar leaves the fleet under the old identity and joins it under a new one.
func (a leaseActions) ReplaceIdentity(reason string) {
	n := a.roles.node
	n.runAfterCall(func() {
		n.view.RenounceIdentity(n.loop.Now())
		n.replaceIdentity(reason)
	})
}

// Log implements lease.Actions, within the rate limit of log lines.
func (a leaseActions) Log(text string, args ...any) { a.roles.logInfo(text, args...) }
