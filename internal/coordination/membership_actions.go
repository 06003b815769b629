package coordination

import (
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers/frames"
)

// membershipActions implements swim.Actions for a Node.
type membershipActions struct{ node *Node }

var _ swim.Actions = membershipActions{}

// Dial implements swim.Actions.
func (a membershipActions) Dial(address string) {
	a.node.runAfterCall(func() { a.node.peers.Dial(address) })
}

// Send implements swim.Actions.
func (a membershipActions) Send(number int, m *swim.Message) {
	if link := a.node.links[number]; link != nil {
		link.Send(frames.TopicMembership, mustMarshal(m))
	}
}

// Close implements swim.Actions: the link counts as closed at once.
func (a membershipActions) Close(number int) {
	if link := a.node.links[number]; link != nil {
		a.node.removeLink(link)
		a.node.runAfterCall(func() { a.node.peers.CloseLink(link) })
	}
}

// MemberChanged implements swim.Actions.
func (a membershipActions) MemberChanged(r swim.Record, previous swim.State, known bool) {
	a.node.memberLogs.logMemberChange(a.node.loop.Now(), a.node.log, r, previous, known)
}

// ReplaceIdentity implements swim.Actions.
func (a membershipActions) ReplaceIdentity(reason string) { a.node.replaceIdentity(reason) }
