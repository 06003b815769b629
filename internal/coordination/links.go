package coordination

import (
	"slices"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

// Hello says who this sidecar is.
func (f *Node) Hello() frames.Hello {
	h := f.view.Hello()
	body, err := frames.Marshal(h)
	if err != nil { // numbers and names always pack
		panic(err)
	}
	return frames.Hello{Fleet: f.options.Name, Name: f.options.Sidecar, ID: uint64(h.Self.ID), Address: f.options.Advertise, Body: body}
}

// LinkUp takes a link.
func (f *Node) LinkUp(l *peers.Link, h frames.Hello) bool {
	var hello swim.Hello
	if h.ID == 0 {
		f.answerQuery(l)
		return false
	}
	if err := frames.Unmarshal(h.Body, &hello); err != nil || uint64(hello.Self.ID) != h.ID || f.leaving || f.view.HasLostIdentity() {
		if l.Address != "" { // Danger: a dial of which the decisions hear nothing is never made again
			f.view.DialFailed(f.net.Now(), l.Address)
		}
		return false
	}
	f.links[l.Number] = l
	f.view.LinkUp(f.net.Now(), l.Number, l.Address, hello)
	if f.links[l.Number] != l {
		return true // it ends with this call
	}
	f.linkByMember[hello.Self.ID] = l
	f.upLinks = append(f.upLinks, l)
	if o := f.roles; o != nil && o.lease != nil {
		o.lease.HandleLinkUp(f.net.Now(), hello.Self.ID)
	}
	if o := f.roles; o != nil && o.maintenance != nil {
		o.maintenance.handleLinkUp(l)
	}
	return true
}

// removeLink forgets a link.
func (f *Node) removeLink(l *peers.Link) {
	delete(f.links, l.Number)
	if id := swim.ID(l.Hello.ID); f.linkByMember[id] == l {
		delete(f.linkByMember, id)
	}
	if i := slices.Index(f.upLinks, l); i >= 0 {
		f.upLinks = slices.Delete(f.upLinks, i, i+1)
	}
}

// LinkDown takes a link's end.
func (f *Node) LinkDown(l *peers.Link, _ error) {
	f.removeLink(l)
	f.view.LinkDown(f.net.Now(), l.Number)
}

// DialFailed takes the end of a dial.
func (f *Node) DialFailed(address string, err error) {
	f.log.Debug("a peer can't be reached", "address", address, "error", err)
	f.run(func() { f.view.DialFailed(f.net.Now(), address) })
}

// HandleFrame takes a frame. A topic that is not known here is a later version's, and skipped.
func (f *Node) HandleFrame(l *peers.Link, topic frames.Topic, body []byte) error {
	switch topic {
	case frames.TopicMembership:
		var m swim.Message
		if err := frames.Unmarshal(body, &m); err != nil {
			return err
		}
		f.view.HandleMessage(f.net.Now(), l.Number, &m)
	case frames.TopicLease:
		if o := f.roles; o != nil && o.lease != nil && f.links[l.Number] == l {
			var m lease.Message
			if err := frames.Unmarshal(body, &m); err != nil {
				return err
			}
			o.lease.HandleMessage(f.net.Now(), swim.ID(l.Hello.ID), &m)
		}
	case frames.TopicRole:
		if o := f.roles; o != nil && f.links[l.Number] == l {
			var e frames.RoleMessage
			if err := frames.Unmarshal(body, &e); err != nil {
				return err
			}
			o.handleMessage(l, &e)
		}
	}
	return nil
}
