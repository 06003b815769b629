package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"

	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/routeconfig"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply if the configuration sets no timeout, and before the first configuration.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// clientTimeoutMargin is added to both, to allow for network delay of a client that keeps within its timeout.
	clientTimeoutMargin = time.Second
	// maxHeaderBytes bounds the head of a request. The configuration can only lower it.
	maxHeaderBytes = 1 << 20
)

// clientWait is what a connection is waiting for its client to send.
type clientWait int

const (
	waitsForNothing clientWait = iota // a request is being served
	waitsForRequest                   // the connection is idle
	waitsForHead                      // a part of a request's head has been read
)

// clientListener accepts connections of clients and enforces the timeouts of the limits on them.
type clientListener struct {
	*net.TCPListener
	limits func() routeconfig.Limits
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &clientConn{TCPConn: conn, limits: l.limits}, nil
}

// clientConn is a client's connection. It is closed if the client is idle, or takes to send a request's head, for longer than the current limits
// allow.
//
// The timeouts of http.Server can't be used: they are fixed when it starts, while each configuration sets its own. With fixed timeouts the server
// would close connections that clients may still use, or wait longer than the operators allow.
type clientConn struct {
	*net.TCPConn
	limits func() routeconfig.Limits

	mutex    sync.Mutex
	wait     clientWait
	deadline time.Time   // of the current wait
	timer    *time.Timer // nil until the first wait
}

// Read implements net.Conn. The first bytes of a request start the timeout for its head.
func (c *clientConn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	if n > 0 {
		c.mutex.Lock()
		if c.wait == waitsForRequest {
			c.startWait(waitsForHead)
		}
		c.mutex.Unlock()
	}
	return n, err
}

// setState is called when http.Server changes the state of the connection.
func (c *clientConn) setState(state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.startWait(waitsForRequest)
	case http.StateActive, http.StateHijacked, http.StateClosed:
		c.wait = waitsForNothing
		if c.timer != nil {
			c.timer.Stop()
		}
	}
}

// startWait begins a wait. The caller holds the mutex.
func (c *clientConn) startWait(wait clientWait) {
	limits := c.limits()
	timeout := timeoutOr(limits.IdleTimeoutMs, defaultIdleTimeout)
	if wait == waitsForHead {
		timeout = timeoutOr(limits.HeaderTimeoutMs, defaultHeaderTimeout)
	}
	timeout += clientTimeoutMargin
	c.wait = wait
	c.deadline = time.Now().Add(timeout)
	if c.timer == nil {
		c.timer = time.AfterFunc(timeout, c.closeExpired)
		return
	}
	c.timer.Reset(timeout)
}

// closeExpired closes the connection, unless the wait for which the timer was set has ended meanwhile.
//
// Danger: in a process that was suspended, timers have expired while requests arrived and were not read. A client is late only if it has sent
// nothing.
func (c *clientConn) closeExpired() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.wait == waitsForNothing || time.Now().Before(c.deadline) {
		return
	}
	if c.hasUnread() {
		c.deadline = time.Now().Add(clientTimeoutMargin)
		c.timer.Reset(clientTimeoutMargin)
		return
	}
	_ = c.Close() // fails only if the connection is closed already
}

// hasUnread reports whether the client has sent bytes that have not been read yet.
func (c *clientConn) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	hasUnread := false
	err = raw.Control(func(fd uintptr) { // not raw.Read, which waits for the Read in progress
		received, failed := peekSocket(fd)
		hasUnread = failed == nil && received > 0
	})
	return err == nil && hasUnread
}

// timeoutOr returns a timeout of the configuration, or fallback if the configuration does not set it.
func timeoutOr(millis float64, fallback time.Duration) time.Duration {
	if millis <= 0 {
		return fallback
	}
	return nodeconfig.FromMillis(millis)
}

// newClientServer returns the server for clients' requests. It has to serve a clientListener, whose connections enforce the timeouts.
func newClientServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, MaxHeaderBytes: maxHeaderBytes, ConnState: func(conn net.Conn, state http.ConnState) {
		if client, ok := conn.(*clientConn); ok {
			client.setState(state)
		}
	}}
}

// headerBytes returns the size of a request's head as it was sent, apart from white space around values.
func headerBytes(r *http.Request) int64 {
	const separators, lineEnd = len(": "), len("\r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  ") + lineEnd
	size += len("Host") + separators + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + separators + len(value) + lineEnd
		}
	}
	return int64(size + lineEnd)
}
