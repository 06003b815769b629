package coordination

import (
	"slices"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

// Between, where a build for tests sets it, is called between the check of a lease and what is done under it.
var BeforeRoleMessage func()

// replayWindow tells which effects for all were heard. They come over several links, in any order; what is older than the window is
// taken for heard.
type replayWindow struct {
	token, last uint64
	bits        uint64 // of last and the 63 before it
}

// accept tells whether an effect is heard for the first time.
func (w *replayWindow) accept(token, number uint64) bool {
	if token != w.token {
		*w = replayWindow{token: token}
	}
	switch {
	case number > w.last:
		if by := number - w.last; by < 64 {
			w.bits <<= by
		} else {
			w.bits = 0
		}
		w.last, w.bits = number, w.bits|1
		return true
	case w.last-number >= 64 || w.bits>>(w.last-number)&1 == 1:
		return false
	}
	w.bits |= 1 << (w.last - number)
	return true
}

// activeToken returns the token under which this sidecar may act for a job now, 0 if there is none. Danger: a process that stood still may be
// asked before its loop has come to end what its lease no longer covers.
func (o *roleManager) activeToken(j *roleState) uint64 {
	if o.lease == nil || j.heldToken == 0 {
		return 0
	}
	if token, ok := o.lease.Holds(o.node.net.Now(), j.name); !ok || token != j.heldToken {
		return 0
	}
	return j.heldToken
}

// broadcast says something to all under the grant of a job, and tells whether it was said: not without a lease that is valid now.
func (o *roleManager) broadcast(name string, kind uint8, body []byte) bool {
	j := o.state(name)
	if j == nil || o.activeToken(j) == 0 {
		return false
	}
	if BeforeRoleMessage != nil {
		BeforeRoleMessage()
	}
	j.sequence++
	j.received.accept(j.heldToken, j.sequence)
	o.flood(&frames.RoleMessage{Role: name, Token: j.heldToken, Origin: uint64(o.node.state.ID), Sequence: j.sequence, Kind: kind, Body: body}, nil)
	return true
}

// broadcastLapsed says something to all under a grant whose lease was not renewed, unless a greater token is known. Danger: another may be
// granted the job meanwhile; who has heard of that refuses this. It is for work that does no harm when two do it at once.
func (o *roleManager) broadcastLapsed(name string, token uint64, kind uint8, body []byte) bool {
	j := o.state(name)
	if o.lease == nil || j == nil || j.heldToken != 0 {
		return false
	}
	if ok, _ := o.fence.Admit(name, token); !ok {
		return false
	}
	j.sequence++
	j.received.accept(token, j.sequence)
	o.flood(&frames.RoleMessage{Role: name, Token: token, Origin: uint64(o.node.state.ID), Sequence: j.sequence, Kind: kind, Body: body}, nil)
	return true
}

// sendReply says something over one link, to what was said under a token. Danger: after a greater one it would be an old owner's word.
func (o *roleManager) sendReply(l *peers.Link, name string, token uint64, kind uint8, body []byte) {
	if ok, _ := o.fence.Admit(name, token); ok {
		o.send(l, &frames.RoleMessage{Role: name, Token: token, Origin: uint64(o.node.state.ID), Kind: kind, Body: body})
	}
}

func (o *roleManager) send(l *peers.Link, e *frames.RoleMessage) {
	l.Send(frames.TopicRole, mustMarshal(e))
}

// flood sends an effect over all links but one.
func (o *roleManager) flood(e *frames.RoleMessage, except *peers.Link) {
	body := mustMarshal(e)
	for _, l := range slices.Clone(o.node.upLinks) { // a link may end with what is sent over it
		if l != except {
			l.Send(frames.TopicRole, body)
		}
	}
}

// handleMessage is where every effect comes in. Danger: the lease of who sent it may have ended while it stood still, or while the bytes
// lay in the network; the token is what makes that harmless, so nothing of an effect is looked at before.
func (o *roleManager) handleMessage(l *peers.Link, e *frames.RoleMessage) {
	j := o.state(e.Role)
	if j == nil || e.Token == 0 {
		return
	}
	ok, greatest := o.fence.Admit(e.Role, e.Token)
	if !ok {
		o.reject(l, j, e, greatest)
		return
	}
	if j.heldToken != 0 && e.Token > j.heldToken {
		o.stopRole(j, "another owns it under a greater token")
	}
	news := e.Token > j.maxToken
	j.maxToken = max(j.maxToken, e.Token)
	if e.Kind == frames.KindRejected {
		// It goes on the way that what was refused came by. Danger: told again and again it could go in circles.
		if from := o.node.links[j.lastLink]; from != nil && news && from != l {
			o.send(from, e)
		}
		return
	}
	if e.Sequence > 0 {
		if !j.received.accept(e.Token, e.Sequence) {
			return
		}
		j.lastLink = l.Number
		o.flood(e, l)
	}
	if j.acceptedTokens[j.acceptedTokensAt] != e.Token {
		j.acceptedTokensAt = (j.acceptedTokensAt + 1) % len(j.acceptedTokens)
		j.acceptedTokens[j.acceptedTokensAt] = e.Token
	}
	if j.accepted++; j.role != nil {
		j.role.HandleMessage(l, e)
		j.nextTick = 0
	}
}

// reject turns an effect away, and tells who sent it of the greater token.
func (o *roleManager) reject(l *peers.Link, j *roleState, e *frames.RoleMessage, greatest uint64) {
	j.rejected++
	if now := o.node.net.Now(); o.rejectionLogs.allow(now) {
		o.node.log.Warn("an old owner's effect is refused", "job", e.Role, "token", e.Token, "greatest", greatest, "origin", swim.ID(e.Origin),
			"from", l.Hello.Name, "kind", e.Kind)
	}
	if e.Kind == frames.KindRejected {
		return
	}
	o.send(l, &frames.RoleMessage{Role: e.Role, Token: greatest, Origin: uint64(o.node.state.ID), Kind: frames.KindRejected})
	if o.lease != nil {
		if table := o.lease.Table(); table.Epoch > 0 {
			l.Send(frames.TopicLease, mustMarshal(&lease.Message{Table: &table}))
		}
	}
}
