package virtual

import (
	"fmt"
	"net/netip"
	"slices"
)

// listener is a listening socket of a process.
type listener struct {
	owner            *Process
	backlog          int
	queue            []*Conn // accept queue: connections that are established but not accepted yet
	descriptorWanted bool    // the last accept failed for lack of a descriptor
	closed           bool
	port             uint16
	addedLater       bool // opened by Process.Listen
}

// listenAt opens a listener. The caller has checked that the port is free.
func (p *Process) listenAt(port uint16, addedLater bool) *listener {
	l := &listener{owner: p, backlog: p.options.Backlog, port: port, addedLater: addedLater}
	p.machine.listeners[port] = l
	p.listeners = append(p.listeners, l)
	return l
}

// Listen implements netio.EventLoop.
func (p *Process) Listen(address string) (stop func(), err error) {
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return nil, fmt.Errorf("listen %s: %w", address, err)
	case a.Addr() != p.machine.ip:
		return nil, fmt.Errorf("listen %s: not the address of machine %s", address, p.machine.ipText)
	case p.machine.listeners[a.Port()] != nil:
		return nil, fmt.Errorf("listen %s: %w", address, errAddressInUse)
	case !p.acquireDescriptor():
		return nil, fmt.Errorf("listen %s: %w", address, errTooManyFiles)
	}
	l := p.listenAt(a.Port(), true)
	return func() {
		if !l.closed {
			p.descriptors--
			p.closeListenersIf(true, func(o *listener) bool { return o == l })
		}
	}, nil
}

// accept accepts one connection of a listener. If no descriptor is free (EMFILE), the connection stays in the accept queue.
func (p *Process) accept(l *listener) {
	if len(l.queue) == 0 || l.closed {
		return
	}
	if !p.acquireDescriptor() {
		l.descriptorWanted = true
		return
	}
	c := l.queue[0]
	copy(l.queue, l.queue[1:])
	l.queue[len(l.queue)-1] = nil
	l.queue = l.queue[:len(l.queue)-1]
	c.listener = nil
	p.addConn(c)
	c.reportOpen(nil)
}

// StopListening closes the listeners of ProcessOptions.Listen and resets the connections in their accept queues.
func (p *Process) StopListening(done func()) {
	for _, l := range p.listeners {
		if !l.addedLater {
			p.descriptors--
		}
	}
	p.closeListenersIf(true, func(l *listener) bool { return !l.addedLater })
	done()
}

// closeListeners closes all listeners and resets the connections in their accept queues.
func (p *Process) closeListeners() {
	p.descriptors -= len(p.listeners)
	p.closeListenersIf(true, anyListener)
}

func anyListener(*listener) bool { return true }

// closeListenersIf closes the listeners that match. Connections in their accept queues are discarded; with sendResets their peers are
// sent resets.
func (p *Process) closeListenersIf(sendResets bool, matches func(*listener) bool) {
	p.listeners = slices.DeleteFunc(p.listeners, func(l *listener) bool {
		if !matches(l) {
			return false
		}
		l.closed = true
		for _, c := range l.queue {
			if sendResets {
				c.sendReset()
			}
			c.state = discarded
		}
		l.queue = nil
		if p.machine.listeners[l.port] == l {
			delete(p.machine.listeners, l.port)
		}
		return true
	})
}
