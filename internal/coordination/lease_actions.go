package coordination

import (
	"slices"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers/frames"
)

// leaseActions are the decisions' hands. What they ask for is done at once where it does not call back into them, and at the
// end of the present call otherwise.
type leaseActions struct{ roles *roleManager }

func (a leaseActions) Send(to swim.ID, m *lease.Message) {
	if l := a.roles.node.linkByMember[to]; l != nil {
		l.Send(frames.TopicLease, mustMarshal(m))
	}
}

func (a leaseActions) Broadcast(m *lease.Message, except swim.ID) {
	body := mustMarshal(m)
	for _, l := range slices.Clone(a.roles.node.upLinks) { // a link may end with what is sent over it
		if swim.ID(l.Hello.ID) != except {
			l.Send(frames.TopicLease, body)
		}
	}
}

func (a leaseActions) RequestLinks(ids []swim.ID) {
	f := a.roles.node
	f.runAfterCall(func() {
		if f.view != nil && !f.silenced {
			f.view.RequestLinks(f.net.Now(), ids)
		}
	})
}

func (a leaseActions) Persist(promised []byte) {
	f, t := a.roles.node, a.roles
	f.runAfterCall(func() {
		of := t.lease
		if of == nil {
			return
		}
		f.state.LeaseState = promised
		f.persist(func(err error) {
			if t.lease == of { // else it was another identity's
				of.HandlePersisted(f.net.Now(), err)
			}
		})
	})
}

func (a leaseActions) RecordCommitted(r lease.Record) {
	o, of := a.roles, a.roles.lease
	o.node.runAfterCall(func() {
		if w := o.maintenance; o.lease == of && w != nil && r.Role == maintenanceRoleName && w.heldToken != 0 {
			w.handleCommitted(&r)
		}
	})
}

func (a leaseActions) LeaseEnded(name string, token uint64, why lease.EndReason) {
	o := a.roles
	o.node.runAfterCall(func() {
		if j := o.state(name); j != nil && j.heldToken == token {
			o.stopRole(j, string(why))
			if l, ok := j.role.(lapseHandler); ok && why == lease.ReasonNotRenewed {
				l.HandleLapse(token)
			}
		}
	})
}

func (a leaseActions) Log(text string, args ...any) {
	if now := a.roles.node.net.Now(); a.roles.logs.allow(now) {
		a.roles.node.log.Info(text, args...)
	}
}

func (a leaseActions) LeaseStarted(name string, token uint64) {
	o, of := a.roles, a.roles.lease
	o.node.runAfterCall(func() {
		j := o.state(name)
		if o.lease != of || j == nil {
			return
		}
		o.stopRole(j, "it is granted anew")
		if ok, _ := o.fence.Admit(name, token); !ok {
			return // others have been heard under a greater one
		}
		j.heldToken, j.sequence = token, 0
		o.logInfo("owner of a job", "job", name, "token", token)
		if j.role != nil {
			j.role.Start(token)
			j.nextTick = 0
		}
	})
}

func (a leaseActions) ReplaceIdentity(why string) {
	f := a.roles.node
	f.runAfterCall(func() {
		f.view.RenounceIdentity(f.net.Now())
		membershipActions{f}.ReplaceIdentity(why)
	})
}
