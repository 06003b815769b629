package coordination

import (
	"slices"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

// BeforeRoleMessage is a hook of tests, called between the check of a lease and the message that is sent under it; nil: none.
var BeforeRoleMessage func()

// replayWindowSize is how many messages behind the last one are told apart from duplicates.
const replayWindowSize = 64

// replayWindow recognizes duplicates among the messages for all of one role. They come over several links and in any order; one that
// is older than the window counts as a duplicate.
type replayWindow struct {
	token, last uint64 // greatest sequence number under the token
	bits        uint64 // which of last and those before it have come; bit 0 is last
}

// accept reports whether a message has not come before, and records it. Another token than the last one starts a new window.
func (w *replayWindow) accept(token, sequence uint64) bool {
	if token != w.token {
		*w = replayWindow{token: token}
	}
	switch {
	case sequence > w.last:
		if shift := sequence - w.last; shift < replayWindowSize {
			w.bits <<= shift
		} else {
			w.bits = 0
		}
		w.last, w.bits = sequence, w.bits|1
		return true
	case w.last-sequence >= replayWindowSize || w.bits>>(w.last-sequence)&1 == 1:
		return false
	}
	w.bits |= 1 << (w.last - sequence)
	return true
}

// activeToken returns the token under which this sidecar may act for a role right now, 0 if it may not. Danger: heldToken alone is
// not enough, since a process that stood still may be asked before its loop has ended a role whose lease has expired.
func (m *roleManager) activeToken(s *roleState) uint64 {
	if m.lease == nil || s.heldToken == 0 {
		return 0
	}
	if token, ok := m.lease.Holds(m.node.loop.Now(), s.name); !ok || token != s.heldToken {
		return 0
	}
	return s.heldToken
}

// broadcast sends a message to all under the lease of a role. It reports whether the lease is valid; otherwise nothing is sent.
func (m *roleManager) broadcast(name string, kind uint8, body []byte) bool {
	s := m.state(name)
	if s == nil || m.activeToken(s) == 0 {
		return false
	}
	if BeforeRoleMessage != nil {
		BeforeRoleMessage()
	}
	m.broadcastUnder(s, s.heldToken, kind, body)
	return true
}

// broadcastLapsed sends a message to all under a lease that was not renewed, unless a greater token is known; it reports whether it
// did. Danger: the role may have another holder meanwhile; who knows of that one rejects the message. It is only for roles that do no
// harm when two sidecars act at once.
func (m *roleManager) broadcastLapsed(name string, token uint64, kind uint8, body []byte) bool {
	s := m.state(name)
	if m.lease == nil || s == nil || s.heldToken != 0 {
		return false
	}
	if ok, _ := m.fence.Admit(name, token); !ok {
		return false
	}
	m.broadcastUnder(s, token, kind, body)
	return true
}

func (m *roleManager) broadcastUnder(s *roleState, token uint64, kind uint8, body []byte) {
	s.sequence++
	s.received.accept(token, s.sequence)
	m.flood(&frames.RoleMessage{Role: s.name, Token: token, Origin: uint64(m.node.state.ID), Sequence: s.sequence, Kind: kind, Body: body}, nil)
}

// sendReply sends a message over one link under the token of the message that it answers. Danger: once a greater token is known it
// is not sent, since it would count as a message of the earlier holder.
func (m *roleManager) sendReply(link *peers.Link, name string, token uint64, kind uint8, body []byte) {
	if ok, _ := m.fence.Admit(name, token); ok {
		m.send(link, &frames.RoleMessage{Role: name, Token: token, Origin: uint64(m.node.state.ID), Kind: kind, Body: body})
	}
}

// sendTowardsHolder sends a message over all links but one, for the holder of a role, which may be several links away; except may be
// nil. Receivers forward it.
func (m *roleManager) sendTowardsHolder(name string, token uint64, kind uint8, body []byte, except *peers.Link) {
	for _, link := range slices.Clone(m.node.upLinks) { // sending may end a link
		if link != except {
			m.sendReply(link, name, token, kind, body)
		}
	}
}

func (m *roleManager) send(link *peers.Link, msg *frames.RoleMessage) {
	link.Send(frames.TopicRole, mustMarshal(msg))
}

// flood sends a message for all over all links but one; except may be nil.
func (m *roleManager) flood(msg *frames.RoleMessage, except *peers.Link) {
	m.node.broadcastFrame(frames.TopicRole, mustMarshal(msg), except)
}

// handleMessage handles each role message that comes. Danger: the sender's lease may have ended while it stood still, or while the
// bytes were on their way. The token makes that harmless, so it is checked before anything else of the message is used.
func (m *roleManager) handleMessage(link *peers.Link, msg *frames.RoleMessage) {
	s := m.state(msg.Role)
	if s == nil || msg.Token == 0 {
		return
	}
	ok, greatest := m.fence.Admit(msg.Role, msg.Token)
	if !ok {
		m.reject(link, s, msg, greatest)
		return
	}
	if s.heldToken != 0 && msg.Token > s.heldToken {
		m.stopRole(s, "another owns it under a greater token")
	}
	isNewToken := msg.Token > s.maxToken
	s.maxToken = max(s.maxToken, msg.Token)
	if msg.Kind == frames.KindRejected {
		// It is sent back the way that the rejected message came by. Danger: forwarded more than once it could circulate for ever.
		if back := m.node.links[s.lastLink]; back != nil && isNewToken && back != link {
			m.send(back, msg)
		}
		return
	}
	if msg.Sequence > 0 {
		if !s.received.accept(msg.Token, msg.Sequence) {
			return
		}
		s.lastLink = link.Number
		m.flood(msg, link)
	}
	if s.acceptedTokens[s.acceptedTokensAt] != msg.Token {
		s.acceptedTokensAt = (s.acceptedTokensAt + 1) % len(s.acceptedTokens)
		s.acceptedTokens[s.acceptedTokensAt] = msg.Token
	}
	if s.accepted++; s.role != nil {
		s.role.HandleMessage(link, msg)
		s.nextTick = 0
	}
}

// reject drops a message whose token is too low, and answers with the greatest token and the table of leases.
func (m *roleManager) reject(link *peers.Link, s *roleState, msg *frames.RoleMessage, greatest uint64) {
	s.rejected++
	if m.rejectionLogs.allow(m.node.loop.Now()) {
		m.node.log.Warn("an old owner's effect is refused", "job", msg.Role, "token", msg.Token, "greatest", greatest, "origin", swim.ID(msg.Origin),
			"from", link.Hello.Name, "kind", msg.Kind)
	}
	if msg.Kind == frames.KindRejected {
		return
	}
	m.send(link, &frames.RoleMessage{Role: msg.Role, Token: greatest, Origin: uint64(m.node.state.ID), Kind: frames.KindRejected})
	if m.lease != nil {
		if table := m.lease.Table(); table.Epoch > 0 {
			link.Send(frames.TopicLease, mustMarshal(&lease.Message{Table: &table}))
		}
	}
}
