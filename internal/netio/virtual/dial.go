package virtual

import "net/netip"

// dial is a connection on its way up.
type dial struct {
	p       *Process
	to      netip.AddrPort
	target  *Machine // nil: there is none
	until   float64
	context any
	done    func(error)
	conn    *Conn // this end
	waitS   float64
	over    bool
	place   int // among the process's dials
}

// Dial opens a connection. See netio.EventLoop.
func (p *Process) Dial(address string, until float64, context any, done func(error)) (cancel func()) {
	d := &dial{p: p, until: p.clock.when(until), context: context, done: done, waitS: firstSynS}
	p.w.trace(Event{At: p.real(), Kind: Dialed, Process: p.opt.Name, Peer: address})
	var err error
	if d.target, d.to, err = p.w.parse(address); err == nil && !p.take() {
		err = errFiles
	}
	if err != nil {
		d.over = true
		p.Post(func() { d.tell(err) })
		return func() {}
	}
	d.place = len(p.dials)
	p.dials = append(p.dials, d)
	p.w.conns++
	d.conn = &Conn{w: p.w, p: p, machine: p.machine, id: p.w.conns, dialed: true, context: context, remote: d.to,
		local: netip.AddrPortFrom(p.machine.ip, p.machine.nextPort()), window: p.opt.ReceiveBuffer}
	d.sendSyn()
	p.w.schedule(d.until, event{kind: doGiveUp, dial: d})
	return d.cancel
}

// sendSyn asks for the connection, and again after a while.
func (d *dial) sendSyn() {
	if d.over {
		return
	}
	w := d.p.w
	if d.target == nil {
		d.target = w.byIP[d.to.Addr().String()] // it may have come up since
	}
	if d.target != nil {
		w.schedule(w.travel(d.p.machine, d.target, w.now+d.p.spent), event{kind: doSyn, dial: d})
	}
	if again := w.now + d.waitS; again < d.until {
		w.schedule(again, event{kind: doSynAgain, dial: d})
		d.waitS *= 2
	}
}

// synArrives takes the question at the other machine.
func (d *dial) synArrives() {
	w, m, c := d.p.w, d.target, d.conn
	if !w.passes(d.p.machine, m) || d.p.machine.down {
		return
	}
	if c.peer != nil { // the answer was lost, or is under way
		if c.peer.state != dead && c.state == embryonic {
			w.schedule(w.travel(m, d.p.machine, 0), event{kind: doSynAck, dial: d, conn: c.peer})
		}
		return
	}
	l := m.listeners[d.to.Port()]
	if l == nil {
		w.schedule(w.travel(m, d.p.machine, 0), event{kind: doRefuse, dial: d})
		return
	}
	if len(l.queue) >= l.backlog {
		return
	}
	s := &Conn{w: w, p: l.owner, machine: m, peer: c, id: c.id, local: d.to, remote: c.local, listen: l,
		window: l.owner.opt.ReceiveBuffer, lastAt: w.now}
	c.peer = s
	w.schedule(w.travel(m, d.p.machine, 0)+m.late(), event{kind: doSynAck, dial: d, conn: s})
}

// synAckArrives takes the answer: the connection is up.
func (d *dial) synAckArrives(s *Conn) {
	c := d.conn
	if !d.p.w.passes(s.machine, c.machine) || c.state != embryonic && c.state != dead {
		return
	}
	if d.over || c.state == dead {
		c.sendReset()
		c.state = dead
		return
	}
	d.finish()
	c.state, c.ackDue, c.lastAt = up, true, c.p.w.now
	c.sendSegment(0, false)
	p := d.p
	p.hold(c)
	// The loop takes it up as a post: what has come on it until then waits behind.
	p.posts = append(p.posts, func() {
		if c.fd {
			c.open(d.tell)
		}
	})
	p.wake()
}

// establish ends the handshake at the end that was dialed.
func (c *Conn) establish() {
	c.state = up
	l := c.listen
	if l == nil {
		return
	}
	if l.closed {
		c.sendReset()
		c.state = dead
		return
	}
	l.queue = append(l.queue, c)
	if !l.starved {
		l.owner.ready = append(l.owner.ready, item{listen: l})
		l.owner.wake()
	}
}

// refusalArrives takes the word that nobody listens there.
func (d *dial) refusalArrives() {
	if !d.over && d.p.w.passes(d.target, d.p.machine) {
		d.fail(errRefused)
	}
}

// fail ends the dial without a connection. The host is told in the loop's next turn.
func (d *dial) fail(err error) {
	if d.over {
		return
	}
	d.finish()
	d.conn.state = dead
	d.p.release()
	d.p.Post(func() { d.tell(err) })
}

func (d *dial) cancel() { d.fail(errGivenUp) }

// abort ends the dial of a process that ends.
func (d *dial) abort() {
	d.finish()
	d.conn.state = dead
}

// finish takes the dial from those under way.
func (d *dial) finish() {
	p := d.p
	d.over = true
	last := len(p.dials) - 1
	p.dials[d.place] = p.dials[last]
	p.dials[d.place].place = d.place
	p.dials[last] = nil
	p.dials = p.dials[:last]
}

func (d *dial) tell(err error) {
	if err != nil {
		d.p.w.trace(Event{At: d.p.real(), Kind: DialFailed, Process: d.p.opt.Name, Peer: d.to.String(), Err: err})
	}
	d.done(err)
}
