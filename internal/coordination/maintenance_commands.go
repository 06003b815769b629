package coordination

import (
	"math"
	"slices"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/peers"
)

// order is a command on its way, or its answer.
type order struct {
	maintenance.Command
	reply   maintenance.Reply
	ended   bool
	askedAt float64 // here, at the door; -Inf: it was not
	passAt  float64
	heardAt float64
}

// Work takes a command at this sidecar's door.
func (w *worker) command(now float64, c *maintenance.Command) (reply maintenance.Reply, answered bool) {
	d := w.order(now, c)
	if d == nil {
		return maintenance.Reply{Err: "too many commands wait"}, true
	}
	if d.askedAt = now; d.ended {
		return d.reply, true
	}
	w.o.job(worksName).next = 0
	return maintenance.Reply{}, false
}

// order returns what is known of a command; nil: there is no room for one more.
func (w *worker) order(now float64, c *maintenance.Command) *order {
	for _, d := range w.orders {
		if d.Nonce == c.Nonce {
			d.heardAt = now
			return d
		}
	}
	w.forget(now)
	if len(w.orders) >= mostCommands {
		return nil
	}
	d := &order{Command: *c, askedAt: math.Inf(-1), passAt: math.Inf(-1), heardAt: now}
	w.orders = append(w.orders, d)
	return d
}

func (w *worker) forget(now float64) {
	w.orders = slices.DeleteFunc(w.orders, func(d *order) bool { return now-max(d.heardAt, d.askedAt) > repliedForS })
}

// ordered takes a command on its way to the owner.
func (w *worker) ordered(now float64, c *maintenance.Command, from *peers.Link) {
	d := w.order(now, c)
	switch {
	case d == nil:
	case w.held != 0:
		w.do(now, d)
	case now >= d.passAt+0.9*commandAgainS:
		w.pass(now, d, from)
	}
}

// pass passes a command on over all links but one.
func (w *worker) pass(now float64, d *order, except *peers.Link) {
	token := w.known()
	if token == 0 {
		return
	}
	d.passAt = now
	body := packed(&d.Command)
	for _, l := range slices.Clone(w.o.f.up) { // a link may end with what is sent over it
		if l != except {
			w.o.reply(l, worksName, token, kindCommand, body)
		}
	}
}

// do has the owner carry a command out, once, and answer it, as often as it comes.
func (w *worker) do(now float64, d *order) {
	switch {
	case d.ended:
		w.o.spread(worksName, kindReply, packed(&d.reply))
	case w.c != nil:
		if r, answered := w.c.Submit(now, d.Command); answered {
			r.Nonce = d.Nonce
			w.reply(now, &r)
		}
		w.o.job(worksName).next = 0
	}
}

// reply tells all of an answer: somebody waits for it.
func (w *worker) reply(now float64, r *maintenance.Reply) {
	if r.Token != 0 {
		atStep("handed")
	}
	if w.o.spread(worksName, kindReply, packed(r)) {
		w.replied(now, r)
	}
}

// replied takes an answer.
func (w *worker) replied(now float64, r *maintenance.Reply) {
	for _, d := range w.orders {
		if d.Nonce == r.Nonce && !d.ended {
			d.ended, d.reply, d.heardAt = true, *r, now
		}
	}
}
