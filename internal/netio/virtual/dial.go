package virtual

import "net/netip"

// dial is a connection on its way up.
type dial struct {
	process           *Process
	address           netip.AddrPort
	target            *Machine // nil: there is none
	deadline          float64
	context           any
	done              func(error)
	conn              *Conn // this end
	synTimeoutSeconds float64
	finished          bool
	index             int // among the process's dials
}

// Dial opens a connection. See netio.EventLoop.
func (p *Process) Dial(address string, until float64, context any, done func(error)) (cancel func()) {
	d := &dial{process: p, deadline: p.clock.networkTime(until), context: context, done: done, synTimeoutSeconds: initialSynTimeoutSeconds}
	p.network.trace(Event{At: p.networkTime(), Kind: Dialed, Process: p.options.Name, Peer: address})
	var err error
	if d.target, d.address, err = p.network.parseAddress(address); err == nil && !p.acquireDescriptor() {
		err = errTooManyFiles
	}
	if err != nil {
		d.finished = true
		p.Post(func() { d.reportResult(err) })
		return func() {}
	}
	d.index = len(p.dials)
	p.dials = append(p.dials, d)
	p.network.connCount++
	d.conn = &Conn{network: p.network, process: p, machine: p.machine, id: p.network.connCount, dialed: true, context: context, remote: d.address,
		local: netip.AddrPortFrom(p.machine.ip, p.machine.nextPort()), receiveWindow: p.options.ReceiveBuffer}
	d.sendSyn()
	p.network.schedule(d.deadline, scheduledEvent{kind: dialTimeoutEvent, dial: d})
	return d.cancel
}

// sendSyn asks for the connection, and again after a while.
func (d *dial) sendSyn() {
	if d.finished {
		return
	}
	w := d.process.network
	if d.target == nil {
		d.target = w.byIP[d.address.Addr().String()] // it may have come up since
	}
	if d.target != nil {
		w.schedule(w.arrivalTime(d.process.machine, d.target, w.now+d.process.turnSeconds), scheduledEvent{kind: synEvent, dial: d})
	}
	if again := w.now + d.synTimeoutSeconds; again < d.deadline {
		w.schedule(again, scheduledEvent{kind: synRetryEvent, dial: d})
		d.synTimeoutSeconds *= 2
	}
}

// synArrives takes the question at the other machine.
func (d *dial) receiveSyn() {
	w, m, c := d.process.network, d.target, d.conn
	if !w.delivers(d.process.machine, m) || d.process.machine.down {
		return
	}
	if c.peer != nil { // the answer was lost, or is under way
		if c.peer.state != discarded && c.state == handshaking {
			w.schedule(w.arrivalTime(m, d.process.machine, 0), scheduledEvent{kind: synAckEvent, dial: d, conn: c.peer})
		}
		return
	}
	l := m.listeners[d.address.Port()]
	if l == nil {
		w.schedule(w.arrivalTime(m, d.process.machine, 0), scheduledEvent{kind: refusalEvent, dial: d})
		return
	}
	if len(l.queue) >= l.backlog {
		return
	}
	s := &Conn{network: w, process: l.owner, machine: m, peer: c, id: c.id, local: d.address, remote: c.local, listener: l,
		receiveWindow: l.owner.options.ReceiveBuffer, lastArrivalAt: w.now}
	c.peer = s
	w.schedule(w.arrivalTime(m, d.process.machine, 0)+m.handshakeDelay(), scheduledEvent{kind: synAckEvent, dial: d, conn: s})
}

// synAckArrives takes the answer: the connection is up.
func (d *dial) receiveSynAck(s *Conn) {
	c := d.conn
	if !d.process.network.delivers(s.machine, c.machine) || c.state != handshaking && c.state != discarded {
		return
	}
	if d.finished || c.state == discarded {
		c.sendReset()
		c.state = discarded
		return
	}
	d.remove()
	c.state, c.handshakeAckInFlight, c.lastArrivalAt = established, true, c.process.network.now
	c.sendSegment(0, false)
	p := d.process
	p.addConn(c)
	// The loop takes it up as a post: what has come on it until then waits behind.
	p.posts = append(p.posts, func() {
		if c.hasDescriptor {
			c.reportOpen(d.reportResult)
		}
	})
	p.scheduleTurn()
}

// establish ends the handshake at the end that was dialed.
func (c *Conn) establish() {
	c.state = established
	l := c.listener
	if l == nil {
		return
	}
	if l.closed {
		c.sendReset()
		c.state = discarded
		return
	}
	l.queue = append(l.queue, c)
	if !l.descriptorWanted {
		l.owner.ready = append(l.owner.ready, readyItem{listener: l})
		l.owner.scheduleTurn()
	}
}

// refusalArrives takes the word that nobody listens there.
func (d *dial) receiveRefusal() {
	if !d.finished && d.process.network.delivers(d.target, d.process.machine) {
		d.fail(errRefused)
	}
}

// fail ends the dial without a connection. The host is told in the loop's next turn.
func (d *dial) fail(err error) {
	if d.finished {
		return
	}
	d.remove()
	d.conn.state = discarded
	d.process.releaseDescriptor()
	d.process.Post(func() { d.reportResult(err) })
}

func (d *dial) cancel() { d.fail(errDialCancelled) }

// abort ends the dial of a process that ends.
func (d *dial) abort() {
	d.remove()
	d.conn.state = discarded
}

// finish takes the dial from those under way.
func (d *dial) remove() {
	p := d.process
	d.finished = true
	last := len(p.dials) - 1
	p.dials[d.index] = p.dials[last]
	p.dials[d.index].index = d.index
	p.dials[last] = nil
	p.dials = p.dials[:last]
}

func (d *dial) reportResult(err error) {
	if err != nil {
		d.process.network.trace(Event{At: d.process.networkTime(), Kind: DialFailed, Process: d.process.options.Name, Peer: d.address.String(), Err: err})
	}
	d.done(err)
}
