package coordination

import (
	"slices"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

var _ peers.Handler = (*Node)(nil)

// Hello implements peers.Handler.
func (n *Node) Hello() frames.Hello {
	hello := n.view.Hello()
	return frames.Hello{Fleet: n.options.Name, Name: n.options.Sidecar, ID: uint64(hello.Self.ID), Address: n.options.Advertise, Body: mustMarshal(hello)}
}

// LinkUp implements peers.Handler. A peer without an ID is not a member yet; it is sent the maintenance record, see QueryMaintenance.
func (n *Node) LinkUp(link *peers.Link, h frames.Hello) bool {
	var hello swim.Hello
	if h.ID == 0 {
		n.answerQuery(link)
		return false
	}
	if err := frames.Unmarshal(h.Body, &hello); err != nil || uint64(hello.Self.ID) != h.ID || n.isLeaving || n.view.HasLostIdentity() {
		if link.Address != "" { // the membership dials an address again only after its last dial has a result
			n.view.DialFailed(n.loop.Now(), link.Address)
		}
		return false
	}
	n.links[link.Number] = link
	n.view.LinkUp(n.loop.Now(), link.Number, link.Address, hello)
	if n.links[link.Number] != link {
		return true // the membership has asked to close the link, which happens at the end of this call
	}
	n.linkByMember[hello.Self.ID] = link
	n.upLinks = append(n.upLinks, link)
	if n.roles != nil && n.roles.lease != nil {
		n.roles.lease.HandleLinkUp(n.loop.Now(), hello.Self.ID)
	}
	if n.roles != nil && n.roles.maintenance != nil {
		n.roles.maintenance.handleLinkUp(link)
	}
	return true
}

// LinkDown implements peers.Handler.
func (n *Node) LinkDown(link *peers.Link, _ error) {
	n.removeLink(link)
	n.view.LinkDown(n.loop.Now(), link.Number)
}

// removeLink removes a link from all indexes.
func (n *Node) removeLink(link *peers.Link) {
	delete(n.links, link.Number)
	if id := swim.ID(link.Hello.ID); n.linkByMember[id] == link {
		delete(n.linkByMember, id)
	}
	if i := slices.Index(n.upLinks, link); i >= 0 {
		n.upLinks = slices.Delete(n.upLinks, i, i+1)
	}
}

// DialFailed implements peers.Handler.
func (n *Node) DialFailed(address string, err error) {
	n.log.Debug("peer unreachable", "address", address, "error", err)
	n.run(func() { n.view.DialFailed(n.loop.Now(), address) })
}

// HandleFrame implements peers.Handler. Unknown topics belong to later versions and are ignored.
func (n *Node) HandleFrame(link *peers.Link, topic frames.Topic, body []byte) error {
	switch topic {
	case frames.TopicMembership:
		var m swim.Message
		if err := frames.Unmarshal(body, &m); err != nil {
			return err
		}
		n.view.HandleMessage(n.loop.Now(), link.Number, &m)
	case frames.TopicLease:
		if n.roles != nil && n.roles.lease != nil && n.links[link.Number] == link {
			var m lease.Message
			if err := frames.Unmarshal(body, &m); err != nil {
				return err
			}
			n.roles.lease.HandleMessage(n.loop.Now(), swim.ID(link.Hello.ID), &m)
		}
	case frames.TopicRole:
		if n.roles != nil && n.links[link.Number] == link {
			var m frames.RoleMessage
			if err := frames.Unmarshal(body, &m); err != nil {
				return err
			}
			n.roles.handleMessage(link, &m)
		}
	}
	return nil
}

// broadcastFrame sends a frame over all links that are up, except over the link except, which may be nil.
func (n *Node) broadcastFrame(topic frames.Topic, body []byte, except *peers.Link) {
	for _, link := range slices.Clone(n.upLinks) { // sending may end a link
		if link != except {
			link.Send(topic, body)
		}
	}
}

// mustMarshal encodes a message. Messages consist of numbers, strings and bytes, so encoding can't fail.
func mustMarshal(v any) []byte {
	body, err := frames.Marshal(v)
	if err != nil {
		panic(err)
	}
	return body
}
