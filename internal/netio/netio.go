// Package netio defines the interfaces between a program and the network: a program is a Handler, called by one EventLoop, one call at a
// time, so that its state needs no locks. Package sockets implements the event loop on real sockets, package virtual on a simulated
// network; package multiplex shares one loop between two handlers. Code above these interfaces can't tell the implementations apart.
//
// A Handler must be deterministic: it starts no goroutine, reads no clock but EventLoop.Now, dials only by EventLoop.Dial and depends on
// the iteration order of no map. The same sequence of calls then causes the same sequence of calls back, which is what lets a simulated
// run be repeated from its seed.
package netio

import "net"

// Conn is a connection as a Handler uses it: the subset of gnet's Conn, so that gnet's own connections are used without a wrapper. It
// may be used on the event loop alone, and no more after Handler.Closed.
type Conn interface {
	// Write sends p and buffers what the socket does not accept. It never blocks. An error means that the connection has broken;
	// Handler.Closed has been called by then or is about to be.
	Write(p []byte) (n int, err error)
	// OutboundBuffered returns how many of the bytes written the socket has not accepted yet.
	OutboundBuffered() int
	// RemoteAddr returns the peer's address, a *net.TCPAddr.
	RemoteAddr() net.Addr
	// LocalAddr returns the local address, a *net.TCPAddr; for an accepted connection its port is the listener's.
	LocalAddr() net.Addr
	// Context returns the value of the last SetContext; before that the context given to Dial, or nil for an accepted connection.
	Context() any
	SetContext(context any)
}

// ClosePolicy determines when the orderly end (FIN) of a connection whose reading is paused is reported.
type ClosePolicy uint8

// The policies of PauseReading.
const (
	DeferClose  ClosePolicy = iota // reported after the unread bytes, once reading has been resumed
	ReportClose                    // closes the connection at once
)

// Handler is a program on an event loop, which makes all these calls one after another.
type Handler interface {
	// Start is the first call.
	Start()
	// Open is called for a connection that is established, accepted or dialed. False closes it at once with nothing of it read;
	// Closed is called for it as for any other.
	Open(c Conn) bool
	// Traffic is called with received bytes, which are valid until it returns.
	Traffic(c Conn, data []byte)
	// Closed is called when a connection has ended, and is the last call for it. err is nil after EventLoop.Close, wraps io.EOF
	// after the peer's FIN, and is the network's error otherwise.
	Closed(c Conn, err error)
	// Alarm is called at the time given to EventLoop.SetAlarm.
	Alarm()
}

// EventLoop calls a Handler, and gives it a clock and connections. Post may be called from any goroutine; all other methods are for the
// loop's own.
type EventLoop interface {
	// Now returns the time in seconds of Unix time. It never goes back.
	Now() float64
	// SetAlarm requests one call of Handler.Alarm at a time, or as soon afterwards as the loop can. It replaces any earlier request.
	SetAlarm(at float64)
	// Post has the loop call f after the present call, in the order of the posts. It may be called from any goroutine.
	Post(f func())
	// Yield has the loop call f once all events that were pending at the time of the call have been handled. An operation that is
	// past its deadline is failed only after a Yield: what it waited for may have arrived and be unread.
	Yield(f func())
	// Dial opens a connection to an address and port. Once it is established, Handler.Open is called with context as the connection's,
	// and done is called after that with nil; if it isn't established by the given time, done is called with an error and Open is not.
	// cancel gives up the dial: done is still called, once.
	Dial(address string, until float64, context any, done func(error)) (cancel func())
	// Close closes a connection in both directions at once; buffered bytes are offered to the socket once and then dropped.
	// Handler.Closed is called before it returns. It has no effect on a connection that has ended already.
	Close(c Conn)
	// CloseWrite sends a FIN. It may be called only when nothing is buffered for the connection.
	CloseWrite(c Conn)
	// NothingToRead reports whether a connection's socket holds neither unread bytes nor an end. Sockets are polled in turns; what has
	// arrived since this one's last turn can be seen here alone.
	NothingToRead(c Conn) bool
	// AllAcknowledged reports whether the peer's machine has acknowledged all that was written to a connection, as far as the system
	// can tell, and true where it can't. Danger: unacknowledged bytes are dropped if the peer writes to a connection whose process has
	// ended.
	AllAcknowledged(c Conn) bool
	// ReceiveDelaySeconds returns how long the bytes of the present or last Traffic call had been in the socket, to some milliseconds;
	// 0 where the system can't tell.
	ReceiveDelaySeconds(c Conn) float64
	// PauseReading leaves received bytes in the socket until ResumeReading, so that the peer's sending is held up by flow control. It
	// returns false, and reading continues, where the implementation can't do this. closing determines when the peer's FIN is
	// reported; with ReportClose the unread bytes before it are lost. A reset is reported under either policy, and never as an
	// orderly end.
	PauseReading(c Conn, closing ClosePolicy) bool
	ResumeReading(c Conn)
	// Listen opens a further listener, whose connections are passed to Handler.Open with its port as that of LocalAddr. stop closes
	// that listener alone; StopListening leaves it open. The loop must be running.
	Listen(address string) (stop func(), err error)
	// StopListening closes the listening sockets: further clients are refused at once, unless another process listens there too. done
	// is called once Handler.Open has been called for all connections accepted before.
	StopListening(done func())
	// Stop ends the loop after the present call. Connections that are still open are closed.
	Stop()
}
