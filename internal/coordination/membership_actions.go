package coordination

import (
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers/frames"
)

type membershipActions struct{ node *Node }

func (a membershipActions) Dial(address string) {
	a.node.runAfterCall(func() { a.node.peers.Dial(address) })
}

func (a membershipActions) Send(link int, m *swim.Message) {
	l := a.node.links[link]
	if l == nil {
		return
	}
	body, err := frames.Marshal(m)
	if err != nil { // numbers and names always pack
		panic(err)
	}
	l.Send(frames.TopicMembership, body)
}

func (a membershipActions) Close(link int) {
	if l := a.node.links[link]; l != nil {
		a.node.removeLink(l)
		a.node.runAfterCall(func() { a.node.peers.CloseLink(l) })
	}
}

func (a membershipActions) MemberChanged(r swim.Record, was swim.State, known bool) {
	a.node.memberLogs.logMemberChange(a.node.net.Now(), a.node.log, r, was, known)
}

// Renew draws another identity and speaks under it once it is on disk.
func (a membershipActions) ReplaceIdentity(why string) {
	f := a.node
	f.log.Warn("this sidecar goes on under another identity", "why", why, "was", f.view.Self().ID)
	f.runAfterCall(func() {
		if f.roles != nil {
			f.roles.stop("the identity is given up")
		}
		f.newIdentity(func() {
			f.view.AdoptIdentity(f.net.Now(), f.state.ID, swim.Version{Incarnation: 1 << 32, BootID: f.randomNonZero()}, f.identityStored && f.roles != nil)
			if f.roles == nil {
				return
			}
			if err := f.roles.start(f.state.ID, nil); err != nil { // there is nothing that could be wrong
				panic(err)
			}
		})
	})
}
