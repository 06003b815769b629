package virtual

import "net/netip"

// dial is an outgoing connection that isn't established yet.
type dial struct {
	process           *Process
	address           netip.AddrPort // the dialed address
	target            *Machine       // the machine with that address; nil: none
	deadline          float64
	context           any
	done              func(error)
	conn              *Conn   // the dialing end
	synTimeoutSeconds float64 // until the next SYN
	finished          bool
	index             int // in Process.dials
}

// Dial implements netio.EventLoop.
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
	p.network.enqueueEvent(d.deadline, scheduledEvent{kind: dialTimeoutEvent, dial: d})
	return d.cancel
}

// sendSyn sends a SYN and schedules its retransmission, with exponential backoff.
func (d *dial) sendSyn() {
	if d.finished {
		return
	}
	n := d.process.network
	if d.target == nil {
		d.target = n.byIP[d.address.Addr().String()] // the machine may have been created meanwhile
	}
	if d.target != nil {
		n.enqueueEvent(n.arrivalTime(d.process.machine, d.target, n.now+d.process.turnSeconds), scheduledEvent{kind: synEvent, dial: d})
	}
	if retryAt := n.now + d.synTimeoutSeconds; retryAt < d.deadline {
		n.enqueueEvent(retryAt, scheduledEvent{kind: synRetryEvent, dial: d})
		d.synTimeoutSeconds *= 2
	}
}

// receiveSyn handles a synEvent at the dialed machine. A SYN for a full accept queue is dropped, as on Linux.
func (d *dial) receiveSyn() {
	n, machine, c := d.process.network, d.target, d.conn
	if !n.delivers(d.process.machine, machine) || d.process.machine.down {
		return
	}
	if c.peer != nil { // a repeated SYN: the SYN-ACK was lost, or is in flight
		if c.peer.state != discarded && c.state == handshaking {
			n.enqueueEvent(n.arrivalTime(machine, d.process.machine, 0), scheduledEvent{kind: synAckEvent, dial: d, conn: c.peer})
		}
		return
	}
	l := machine.listeners[d.address.Port()]
	if l == nil {
		n.enqueueEvent(n.arrivalTime(machine, d.process.machine, 0), scheduledEvent{kind: refusalEvent, dial: d})
		return
	}
	if len(l.queue) >= l.backlog {
		return
	}
	accepted := &Conn{network: n, process: l.owner, machine: machine, peer: c, id: c.id, local: d.address, remote: c.local, listener: l,
		receiveWindow: l.owner.options.ReceiveBuffer, lastArrivalAt: n.now}
	c.peer = accepted
	n.enqueueEvent(n.arrivalTime(machine, d.process.machine, 0)+machine.handshakeDelay(), scheduledEvent{kind: synAckEvent, dial: d, conn: accepted})
}

// receiveSynAck handles a synAckEvent at the dialing machine: the connection is established.
func (d *dial) receiveSynAck(accepted *Conn) {
	c := d.conn
	if !d.process.network.delivers(accepted.machine, c.machine) || c.state != handshaking && c.state != discarded {
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
	// Open is called from a post, which runs at the end of the turn. Bytes that arrive before are handled after it.
	p.posts = append(p.posts, func() {
		if c.hasDescriptor {
			c.reportOpen(d.reportResult)
		}
	})
	p.scheduleTurn()
}

// establish ends the handshake at the dialed end and puts the connection into the listener's accept queue.
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

// receiveRefusal handles a refusalEvent, which means that no process listens at the address.
func (d *dial) receiveRefusal() {
	if !d.finished && d.process.network.delivers(d.target, d.process.machine) {
		d.fail(errRefused)
	}
}

// fail ends the dial without a connection. The handler is notified by a post.
func (d *dial) fail(err error) {
	if d.finished {
		return
	}
	d.remove()
	d.conn.state = discarded
	d.process.releaseDescriptor()
	d.process.Post(func() { d.reportResult(err) })
}

// cancel aborts the dial and has the handler notified.
func (d *dial) cancel() { d.fail(errDialCancelled) }

// abort ends the dial of a process that exits, without notifying the handler.
func (d *dial) abort() {
	d.remove()
	d.conn.state = discarded
}

// remove marks the dial as finished and removes it from the process's list.
func (d *dial) remove() {
	p := d.process
	d.finished = true
	last := len(p.dials) - 1
	p.dials[d.index] = p.dials[last]
	p.dials[d.index].index = d.index
	p.dials[last] = nil
	p.dials = p.dials[:last]
}

// reportResult calls the function given to Dial.
func (d *dial) reportResult(err error) {
	if err != nil {
		d.process.network.trace(Event{At: d.process.networkTime(), Kind: DialFailed, Process: d.process.options.Name, Peer: d.address.String(), Err: err})
	}
	d.done(err)
}
