package sockets

import (
	"context"
	"errors"
	"net"
	"time"
)

// Listen accepts beside the loop: gnet has its listeners from the start alone.
func (n *EventLoop) Listen(address string) (stop func(), err error) {
	l, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	go n.acceptLoop(l, func() {})
	return func() { l.Close() }, nil
}

// pause is waited when no descriptor is to be had for a connection.
const acceptRetryInterval = 5 * time.Millisecond

// accept hands connections to the loop until the listener is closed, one at a time, so that each can be turned away before the
// next takes a descriptor. before is called ahead of each.
func (n *EventLoop) acceptLoop(l net.Listener, beforeAccept func()) {
	for {
		beforeAccept()
		c, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryInterval)
			continue
		}
		result, err := n.loop.Enroll(context.Background(), c)
		if err != nil {
			c.Close()
			continue
		}
		<-result
	}
}
