package coordination

import (
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers/frames"
)

type actions struct{ f *Node }

func (a actions) Dial(address string) { a.f.later(func() { a.f.peers.Dial(address) }) }

func (a actions) Send(link int, m *swim.Message) {
	l := a.f.links[link]
	if l == nil {
		return
	}
	body, err := frames.Marshal(m)
	if err != nil { // numbers and names always pack
		panic(err)
	}
	l.Send(frames.TopicMembership, body)
}

func (a actions) Close(link int) {
	if l := a.f.links[link]; l != nil {
		a.f.drop(l)
		a.f.later(func() { a.f.peers.CloseLink(l) })
	}
}

func (a actions) MemberChanged(r swim.Record, was swim.State, known bool) {
	a.f.notes.changed(a.f.net.Now(), a.f.log, r, was, known)
}

// Renew draws another identity and speaks under it once it is on disk.
func (a actions) ReplaceIdentity(why string) {
	f := a.f
	f.log.Warn("this sidecar goes on under another identity", "why", why, "was", f.view.Self().ID)
	f.later(func() {
		if f.owners != nil {
			f.owners.stop("the identity is given up")
		}
		f.anew(func() {
			f.view.AdoptIdentity(f.net.Now(), f.state.ID, swim.Version{Incarnation: 1 << 32, BootID: f.drawn()}, f.stored && f.owners != nil)
			if f.owners == nil {
				return
			}
			if err := f.owners.begin(f.state.ID, nil); err != nil { // there is nothing that could be wrong
				panic(err)
			}
		})
	})
}
