// Package netio defines the interfaces between a program and the network. A program is a Handler that is called by one EventLoop, one call
// at a time, so that its state needs no locks. Package sockets implements the event loop with real sockets, package virtual with a
// simulated network; package multiplex shares one loop between two handlers. A Handler runs unchanged on each implementation.
//
// A Handler must be deterministic: it starts no goroutines, reads no clock other than EventLoop.Now, dials only with EventLoop.Dial and
// does not depend on the iteration order of maps. It then responds to the same sequence of calls with the same sequence of calls, so that
// a simulated run can be repeated from its seed.
package netio

import "net"

// Conn is a connection of a Handler. Its methods are a subset of gnet.Conn, so that gnet's connections need no wrapper. It may be used
// only on the event loop, and not after Handler.Closed.
type Conn interface {
	// Write sends p and buffers the bytes that the socket does not accept. It never blocks. An error means that the connection has failed;
	// Handler.Closed has been called already or will be called.
	Write(p []byte) (n int, err error)
	// OutboundBuffered returns how many written bytes the socket has not accepted yet.
	OutboundBuffered() int
	// RemoteAddr returns the peer's address, a *net.TCPAddr.
	RemoteAddr() net.Addr
	// LocalAddr returns the local address, a *net.TCPAddr; for an accepted connection its port is the listener's.
	LocalAddr() net.Addr
	// Context returns the value given to the last SetContext. Before that it returns the context given to Dial, or nil for an accepted
	// connection.
	Context() any
	SetContext(context any)
}

// ClosePolicy determines when the peer's FIN is reported for a connection whose reading is paused.
type ClosePolicy uint8

// The policies of PauseReading.
const (
	DeferClose  ClosePolicy = iota // reported after the unread bytes, once reading has been resumed
	ReportClose                    // reported at once; the unread bytes are lost
)

// Handler is a program on an event loop. The loop makes all these calls one after another.
type Handler interface {
	// Start is the first call.
	Start()
	// Open is called for an established connection, accepted or dialed. If it returns false, the connection is closed at once without
	// reading from it; Closed is called for it as for any other.
	Open(c Conn) bool
	// Traffic is called with received bytes. data is valid until it returns.
	Traffic(c Conn, data []byte)
	// Closed is called when a connection has ended, and is the last call for it. err is nil after EventLoop.Close, wraps io.EOF
	// after the peer's FIN, and is the error of the network otherwise.
	Closed(c Conn, err error)
	// Alarm is called at the time given to EventLoop.SetAlarm.
	Alarm()
}

// EventLoop calls a Handler, and provides its clock, alarm and connections. Post may be called from any goroutine; all other methods may
// be called only from the goroutine of the loop.
type EventLoop interface {
	// Now returns the time in seconds of Unix time. It never goes backwards.
	Now() float64
	// SetAlarm requests one call of Handler.Alarm at a time, or as soon as possible after it. It replaces any earlier request.
	SetAlarm(at float64)
	// Post has the loop call f after the current call, in the order of the posts. It may be called from any goroutine.
	Post(f func())
	// Yield has the loop call f once all events that were pending at the time of the call have been handled. An operation that is past
	// its deadline should fail only after a Yield, since the bytes that it waits for may have arrived but not been read yet.
	Yield(f func())
	// Dial opens a connection to an address and port. Once it is established, Handler.Open is called, with context as the context of the
	// connection, and then done with nil. If it isn't established by the time until, only done is called, with an error. cancel aborts
	// the dial; done is still called once.
	Dial(address string, until float64, context any, done func(error)) (cancel func())
	// Close closes a connection in both directions at once. Buffered bytes are written to the socket as far as it accepts them, and the
	// rest is dropped. Handler.Closed is called before Close returns. It has no effect on a connection that has ended already.
	Close(c Conn)
	// CloseWrite sends a FIN. It may be called only when nothing is buffered for the connection.
	CloseWrite(c Conn)
	// NothingToRead reports whether a connection's socket has neither unread bytes nor an unread end of the stream. It looks at the socket
	// itself, and so detects what has arrived since the loop last polled it.
	NothingToRead(c Conn) bool
	// AllAcknowledged reports whether the peer's machine has acknowledged all bytes written to a connection. It returns true if the system
	// can't tell. Danger: if this process ends with unacknowledged bytes and the peer then writes to the connection, they are lost.
	AllAcknowledged(c Conn) bool
	// ReceiveDelaySeconds returns how long the bytes of the current or last Traffic call had been in the socket, with a resolution of some
	// milliseconds. It returns 0 if the system can't tell.
	ReceiveDelaySeconds(c Conn) float64
	// PauseReading leaves received bytes in the socket until ResumeReading, so that flow control stops the peer from sending. If the
	// implementation does not support this, it returns false and reading continues. closing determines when the peer's FIN is reported;
	// with ReportClose the unread bytes before it are lost. A reset is reported under either policy, and never as io.EOF.
	PauseReading(c Conn, closing ClosePolicy) bool
	ResumeReading(c Conn)
	// Listen opens an additional listener. Its connections are passed to Handler.Open, and have its port in LocalAddr. stop closes this
	// listener only; StopListening leaves it open. The loop must be running.
	Listen(address string) (stop func(), err error)
	// StopListening closes the listening sockets: further clients are refused at once, unless another process listens at the address too.
	// done is called once Handler.Open has been called for all connections accepted before.
	StopListening(done func())
	// Stop ends the loop after the current call. Connections that are still open are closed.
	Stop()
}
