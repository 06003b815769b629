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

// window tells which effects for all were heard. They come over several links, in any order; what is older than the window is
// taken for heard.
type window struct {
	token, last uint64
	bits        uint64 // of last and the 63 before it
}

// first tells whether an effect is heard for the first time.
func (w *window) first(token, number uint64) bool {
	if token != w.token {
		*w = window{token: token}
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

// actsUnder returns the token under which this sidecar may act for a job now, 0 if there is none. Danger: a process that stood still may be
// asked before its loop has come to end what its lease no longer covers.
func (o *owners) actsUnder(j *job) uint64 {
	if o.t == nil || j.held == 0 {
		return 0
	}
	if token, ok := o.t.Holds(o.f.net.Now(), j.name); !ok || token != j.held {
		return 0
	}
	return j.held
}

// spread says something to all under the grant of a job, and tells whether it was said: not without a lease that is valid now.
func (o *owners) spread(name string, kind uint8, body []byte) bool {
	j := o.job(name)
	if j == nil || o.actsUnder(j) == 0 {
		return false
	}
	if BeforeRoleMessage != nil {
		BeforeRoleMessage()
	}
	j.number++
	j.heard.first(j.held, j.number)
	o.flood(&frames.RoleMessage{Role: name, Token: j.held, Origin: uint64(o.f.state.ID), Sequence: j.number, Kind: kind, Body: body}, nil)
	return true
}

// spreadOn says something to all under a grant whose lease was not renewed, unless a greater token is known. Danger: another may be
// granted the job meanwhile; who has heard of that refuses this. It is for work that does no harm when two do it at once.
func (o *owners) spreadOn(name string, token uint64, kind uint8, body []byte) bool {
	j := o.job(name)
	if o.t == nil || j == nil || j.held != 0 {
		return false
	}
	if ok, _ := o.greatest.Admit(name, token); !ok {
		return false
	}
	j.number++
	j.heard.first(token, j.number)
	o.flood(&frames.RoleMessage{Role: name, Token: token, Origin: uint64(o.f.state.ID), Sequence: j.number, Kind: kind, Body: body}, nil)
	return true
}

// reply says something over one link, to what was said under a token. Danger: after a greater one it would be an old owner's word.
func (o *owners) reply(l *peers.Link, name string, token uint64, kind uint8, body []byte) {
	if ok, _ := o.greatest.Admit(name, token); ok {
		o.send(l, &frames.RoleMessage{Role: name, Token: token, Origin: uint64(o.f.state.ID), Kind: kind, Body: body})
	}
}

func (o *owners) send(l *peers.Link, e *frames.RoleMessage) { l.Send(frames.TopicRole, packed(e)) }

// flood sends an effect over all links but one.
func (o *owners) flood(e *frames.RoleMessage, except *peers.Link) {
	body := packed(e)
	for _, l := range slices.Clone(o.f.up) { // a link may end with what is sent over it
		if l != except {
			l.Send(frames.TopicRole, body)
		}
	}
}

// take is where every effect comes in. Danger: the lease of who sent it may have ended while it stood still, or while the bytes
// lay in the network; the token is what makes that harmless, so nothing of an effect is looked at before.
func (o *owners) take(l *peers.Link, e *frames.RoleMessage) {
	j := o.job(e.Role)
	if j == nil || e.Token == 0 {
		return
	}
	ok, greatest := o.greatest.Admit(e.Role, e.Token)
	if !ok {
		o.refuse(l, j, e, greatest)
		return
	}
	if j.held != 0 && e.Token > j.held {
		o.end(j, "another owns it under a greater token")
	}
	news := e.Token > j.seen
	j.seen = max(j.seen, e.Token)
	if e.Kind == frames.KindRejected {
		// It goes on the way that what was refused came by. Danger: told again and again it could go in circles.
		if from := o.f.links[j.from]; from != nil && news && from != l {
			o.send(from, e)
		}
		return
	}
	if e.Sequence > 0 {
		if !j.heard.first(e.Token, e.Sequence) {
			return
		}
		j.from = l.Number
		o.flood(e, l)
	}
	if j.tokens[j.tokensAt] != e.Token {
		j.tokensAt = (j.tokensAt + 1) % len(j.tokens)
		j.tokens[j.tokensAt] = e.Token
	}
	if j.taken++; j.work != nil {
		j.work.Heard(l, e)
		j.next = 0
	}
}

// refuse turns an effect away, and tells who sent it of the greater token.
func (o *owners) refuse(l *peers.Link, j *job, e *frames.RoleMessage, greatest uint64) {
	j.refused++
	if now := o.f.net.Now(); o.refusals.room(now) {
		o.f.log.Warn("an old owner's effect is refused", "job", e.Role, "token", e.Token, "greatest", greatest, "origin", swim.ID(e.Origin),
			"from", l.Hello.Name, "kind", e.Kind)
	}
	if e.Kind == frames.KindRejected {
		return
	}
	o.send(l, &frames.RoleMessage{Role: e.Role, Token: greatest, Origin: uint64(o.f.state.ID), Kind: frames.KindRejected})
	if o.t != nil {
		if table := o.t.Table(); table.Epoch > 0 {
			l.Send(frames.TopicLease, packed(&lease.Message{Table: &table}))
		}
	}
}
