// Package netio is the seam between programs and the network they live in. A program is a Host: one event loop calls
// it, one call at a time, and it keeps all its state to itself. The loop, its connections and its clock are a Net.
// Package sockets has them real, package virtual simulates them; nothing above the seam can tell which.
//
// Above the seam there is no goroutine, no reading of the system's clock and no dialing of one's own, and nothing
// depends on the order of a map: the same calls give the same calls back.
package netio

import "net"

// Conn is what links use of a connection, a part of gnet's: a real one is handed out as it is, with nothing between.
// It belongs to the loop and must not be used after Closed.
type Conn interface {
	// Write sends p, and keeps what the socket does not take until it does. It never blocks. An error means that the
	// connection has broken; Closed has been called by then or is about to be.
	Write(p []byte) (n int, err error)
	// OutboundBuffered returns how many bytes of all that was written the socket has not taken yet.
	OutboundBuffered() int
	// RemoteAddr returns the peer's address, a *net.TCPAddr.
	RemoteAddr() net.Addr
	// LocalAddr returns this end's address, a *net.TCPAddr; of a connection that was accepted its port is the listener's.
	LocalAddr() net.Addr
	// Context returns what SetContext was given last; before that what Dial was given, or nil for a connection that
	// was accepted.
	Context() any
	SetContext(context any)
}

// PausedEnds says what becomes of the orderly end of a connection that is not read.
type PausedEnds uint8

// What PauseReading can be told of ends.
const (
	EndsWait PausedEnds = iota // it waits behind the unread bytes
	EndsShow                   // it ends the connection at once
)

// Host is a program on a loop.
type Host interface {
	// Start is the first call.
	Start()
	// Open takes a connection that is up, accepted or dialed. False has it closed at once, with nothing of it read;
	// Closed follows as for any other.
	Open(c Conn) bool
	// Traffic brings bytes that have been received. They are valid until it returns.
	Traffic(c Conn, data []byte)
	// Closed takes the end of a connection: err is nil where Close ended it, wraps io.EOF where the peer has said its
	// last, and is what the network says otherwise. Nothing more is called for c.
	Closed(c Conn, err error)
	// Alarm is the call that Net.Alarm has asked for.
	Alarm()
}

// Net is the loop that calls a Host, with its clock and connections. All but Post is for the loop alone.
type Net interface {
	// Now returns the time in seconds of Unix time. It never goes back.
	Now() float64
	// Alarm asks for one call of Host.Alarm at a time, or as soon after as the loop can. It takes the place of what
	// was asked for before.
	Alarm(at float64)
	// Post has the loop call f after the present call, in the order of the posts. It may be called from anywhere.
	Post(f func())
	// Yield has the loop call f once it has looked at all that had come for it when it was asked. What is late is done
	// after that: whatever it waited for may be there, unread.
	Yield(f func())
	// Dial opens a connection to an address and port. When it comes up Host.Open is called with context as the
	// connection's; done is called after that with nil, or alone with an error where the connection does not come up
	// until the given time. What it returns gives the dial up: done is still called, once.
	Dial(address string, until float64, context any, done func(error)) (cancel func())
	// Close ends a connection at once: both ways, and what has not been sent is tried once and then dropped. Closed
	// is called before it returns. One that has gone already is left alone.
	Close(c Conn)
	// CloseWrite tells the peer that nothing more will come. It is for a connection with nothing left to send.
	CloseWrite(c Conn)
	// Quiet tells whether nothing waits in a connection's socket: no bytes and no end. The loop learns of sockets in
	// turns; what has come since its last look shows here alone.
	Quiet(c Conn) bool
	// Delivered tells whether the peer's machine has confirmed all that was written to a connection, as far as the machine can
	// tell; true where it can't. Danger: what it has not is dropped if the peer writes to a connection whose process has ended.
	Delivered(c Conn) bool
	// Waited returns for how many seconds the bytes that Traffic brings, or has just brought, have lain in the socket,
	// as far as the machine can tell: to some milliseconds, and 0 where it can't.
	Waited(c Conn) float64
	// PauseReading leaves what comes from now on in the socket, so that the peer is held up, until ResumeReading. False
	// says that it can't be done here; the bytes go on coming. With EndsShow the connection is closed as soon as the peer has
	// said its last, with what lies unread before that; with EndsWait the end shows once reading is resumed. A reset shows in
	// either case, and never as an orderly end.
	PauseReading(c Conn, ends PausedEnds) bool
	ResumeReading(c Conn)
	// Listen opens a further listener, whose connections come to Host.Open as others do, with its port as that of LocalAddr.
	// What it returns closes that listener alone; StopListening leaves it. It is for a loop that turns.
	Listen(address string) (stop func(), err error)
	// StopListening closes the listening sockets: who dials from now on is refused at once, unless another process listens
	// there too. done is called once all who have been accepted here are open.
	StopListening(done func())
	// Stop ends the loop after the present call. Connections that are still open are closed.
	Stop()
}
