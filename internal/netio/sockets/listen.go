package sockets

import (
	"context"
	"errors"
	"net"
	"time"
)

// Listen accepts beside the loop: gnet has its listeners from the start alone. Connections are handed over one at a time, so
// that each can be turned away before the next takes a descriptor.
func (n *Net) Listen(address string) (stop func(), err error) {
	l, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil:
				time.Sleep(pause)
				continue
			}
			result, err := n.loop.Enroll(context.Background(), c)
			if err != nil {
				c.Close()
				continue
			}
			<-result
		}
	}()
	return func() { l.Close() }, nil
}
