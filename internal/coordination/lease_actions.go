package coordination

import (
	"slices"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers/frames"
)

// tenureActions are the decisions' hands. What they ask for is done at once where it does not call back into them, and at the
// end of the present call otherwise.
type tenureActions struct{ o *owners }

func (a tenureActions) Send(to swim.ID, m *lease.Message) {
	if l := a.o.f.byID[to]; l != nil {
		l.Send(frames.TopicLease, packed(m))
	}
}

func (a tenureActions) Broadcast(m *lease.Message, except swim.ID) {
	body := packed(m)
	for _, l := range slices.Clone(a.o.f.up) { // a link may end with what is sent over it
		if swim.ID(l.Hello.ID) != except {
			l.Send(frames.TopicLease, body)
		}
	}
}

func (a tenureActions) RequestLinks(ids []swim.ID) {
	f := a.o.f
	f.later(func() {
		if f.view != nil && !f.hushed {
			f.view.RequestLinks(f.net.Now(), ids)
		}
	})
}

func (a tenureActions) Persist(promised []byte) {
	f, t := a.o.f, a.o
	f.later(func() {
		of := t.t
		if of == nil {
			return
		}
		f.state.Tenure = promised
		f.save(func(err error) {
			if t.t == of { // else it was another identity's
				of.HandlePersisted(f.net.Now(), err)
			}
		})
	})
}

func (a tenureActions) RecordCommitted(r lease.Record) {
	o, of := a.o, a.o.t
	o.f.later(func() {
		if w := o.works; o.t == of && w != nil && r.Role == worksName && w.held != 0 {
			w.agreed(&r)
		}
	})
}

func (a tenureActions) LeaseEnded(name string, token uint64, why lease.EndReason) {
	o := a.o
	o.f.later(func() {
		if j := o.job(name); j != nil && j.held == token {
			o.end(j, string(why))
			if l, ok := j.work.(lapser); ok && why == lease.ReasonNotRenewed {
				l.Lapsed(token)
			}
		}
	})
}

func (a tenureActions) Log(text string, args ...any) {
	if now := a.o.f.net.Now(); a.o.notes.room(now) {
		a.o.f.log.Info(text, args...)
	}
}

func (a tenureActions) LeaseStarted(name string, token uint64) {
	o, of := a.o, a.o.t
	o.f.later(func() {
		j := o.job(name)
		if o.t != of || j == nil {
			return
		}
		o.end(j, "it is granted anew")
		if ok, _ := o.greatest.Admit(name, token); !ok {
			return // others have been heard under a greater one
		}
		j.held, j.number = token, 0
		o.note("owner of a job", "job", name, "token", token)
		if j.work != nil {
			j.work.Begin(token)
			j.next = 0
		}
	})
}

func (a tenureActions) ReplaceIdentity(why string) {
	f := a.o.f
	f.later(func() {
		f.view.RenounceIdentity(f.net.Now())
		actions{f}.ReplaceIdentity(why)
	})
}
