package coordination

import (
	"slices"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

// BeforeRoleMessage is a hook for tests. It is called after the lease was checked and before the message is sent under it; nil: none.
var BeforeRoleMessage func()

// replayWindowSize is how many of the last sequence numbers a replayWindow tracks.
const replayWindowSize = 64

// replayWindow recognizes duplicates among the broadcasts of one role. They arrive over several links and in any order; one that is
// older than the window counts as a duplicate.
type replayWindow struct {
	token, last uint64 // last is the highest sequence number received under token
	bits        uint64 // bit i is set if the message with sequence number last-i was received
}

// accept reports whether a message was not received before, and records it. A message with another token starts a new window.
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

// activeToken returns the token under which this sidecar may act for a role right now, 0 if it may not. Danger: checking heldToken is
// not enough, since after a pause of the process this may be called before the loop has stopped a role whose lease has expired.
func (m *roleManager) activeToken(s *roleState) uint64 {
	if m.lease == nil || s.heldToken == 0 {
		return 0
	}
	if token, ok := m.lease.Holds(m.node.loop.Now(), s.name); !ok || token != s.heldToken {
		return 0
	}
	return s.heldToken
}

// broadcast sends a message to all members under the lease of a role, and reports whether it did. Without a valid lease nothing is
// sent.
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

// broadcastLapsed sends a message to all members under a lease that was not renewed, unless a higher token is known, and reports
// whether it did. Danger: the role may have another holder by now, and only members that know its token reject the message. So it is
// only for roles that do no harm when two sidecars act as the holder.
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

// sendReply sends a message over one link, under the token of the message that it replies to. Once a higher token is known it is not
// sent, since it would count as a message of the former holder.
func (m *roleManager) sendReply(link *peers.Link, name string, token uint64, kind uint8, body []byte) {
	if ok, _ := m.fence.Admit(name, token); ok {
		m.send(link, &frames.RoleMessage{Role: name, Token: token, Origin: uint64(m.node.state.ID), Kind: kind, Body: body})
	}
}

// sendTowardsHolder sends a message for the holder of a role, which may be several links away, over all links except the link except,
// which may be nil. Receivers forward it.
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

// flood sends a broadcast over all links except the link except, which may be nil.
func (m *roleManager) flood(msg *frames.RoleMessage, except *peers.Link) {
	m.node.broadcastFrame(frames.TopicRole, mustMarshal(msg), except)
}

// handleMessage handles each received role message. Danger: the sender's lease may have ended while its process was paused or the
// message was in transit. The token makes that harmless, so it is checked before anything else in the message is used.
func (m *roleManager) handleMessage(link *peers.Link, msg *frames.RoleMessage) {
	s := m.state(msg.Role)
	if s == nil || msg.Token == 0 {
		return
	}
	ok, highest := m.fence.Admit(msg.Role, msg.Token)
	if !ok {
		m.reject(link, s, msg, highest)
		return
	}
	if s.heldToken != 0 && msg.Token > s.heldToken {
		m.stopRole(s, "message under a higher token received")
	}
	isNewToken := msg.Token > s.maxToken
	s.maxToken = max(s.maxToken, msg.Token)
	if msg.Kind == frames.KindRejected {
		// A rejection is sent back over the link by which the rejected message came. It is forwarded only if its token is new here:
		// forwarded more than once it could circulate for ever.
		if back := m.node.links[s.lastBroadcastLink]; back != nil && isNewToken && back != link {
			m.send(back, msg)
		}
		return
	}
	if msg.Sequence > 0 {
		if !s.received.accept(msg.Token, msg.Sequence) {
			return
		}
		s.lastBroadcastLink = link.Number
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

// reject drops a message whose token is too low, and replies with the highest token and the table of leases.
func (m *roleManager) reject(link *peers.Link, s *roleState, msg *frames.RoleMessage, highest uint64) {
	s.rejected++
	if m.rejectionLogs.allow(m.node.loop.Now()) {
		m.node.log.Warn("an old owner's effect is refused", "job", msg.Role, "token", msg.Token, "greatest", highest, "origin", swim.ID(msg.Origin),
			"from", link.Hello.Name, "kind", msg.Kind)
	}
	if msg.Kind == frames.KindRejected {
		return
	}
	m.send(link, &frames.RoleMessage{Role: msg.Role, Token: highest, Origin: uint64(m.node.state.ID), Kind: frames.KindRejected})
	if m.lease != nil {
		if table := m.lease.Table(); table.Epoch > 0 {
			link.Send(frames.TopicLease, mustMarshal(&lease.Message{Table: &table}))
		}
	}
}
