package sidecar

import (
	"hazelwheel/internal/buffer"
	"hazelwheel/policy"
)

// Front is one protocol that clients and servers speak. The core knows no more of it than this.
type Front interface {
	// Listen returns the address and port at which its clients come.
	Listen() string
	// Address returns where a server speaks it that is listed at an address. It is asked for each dial.
	Address(listed string) string
	// Client returns the protocol's part of a client link that is about to come up.
	Client() Client
	// Probe returns its way to probe a server, nil where another front's is the deployment's.
	Probe() Exchange
}

// Client is a protocol's part of a client link; it holds a ClientLink, whose methods answer and hand on what it reads.
type Client interface {
	Origin
	// Shared returns the ClientLink that it holds.
	Shared() *ClientLink
	// Read reads on from what the link has received and tells whether a message is whole. After an error nothing more
	// can be read.
	Read(buf *buffer.Buffer) (whole bool, err error)
	// Take answers the message that is whole, or hands it on by ClientLink.HandOn, and drops it.
	Take()
	// Decline answers a message that can't be read, with what Read has said or ErrUnarrived, as the last on its link.
	Decline(err error)
	// Partial returns how many bytes are held of a message that is not whole, beside those that are not read; begun tells
	// whether there is one.
	Partial() (held int, begun bool)
}

// Origin is where a request's answer goes: a client link, in whatever protocol it speaks. Each request gets
// one call, unless its client has gone.
type Origin interface {
	// Serve passes on a server's answer.
	Serve(x Exchange)
	// Throttle refuses: trying again is harmless, best after the given time.
	Throttle(retryAfterS float64)
	// Fail says that there is no answer and that the request may have run; late, that time ran out.
	Fail(late bool)
}

// Call is what a request asks for, in its protocol.
type Call interface {
	// Exchange returns the call's side of one execution.
	Exchange() Exchange
}

// Exchange is one protocol's side of an execution: it writes the request to a server link and reads the
// answer off it. A request carries one for each execution, in the protocol that it came in.
type Exchange interface {
	// Append appends the request; the server is told until when anybody waits for its answer.
	Append(dst []byte, now, until float64) []byte
	// Read reads on from what the link has received and tells whether the answer is whole.
	Read(buf *buffer.Buffer) (bool, error)
	// Begun tells whether any of the answer has come.
	Begun() bool
	// Silent tells whether no answer ever comes: the execution is over once its request is written whole.
	Silent() bool
	// End takes the end of the link and tells whether that makes the answer whole.
	End() bool
	// Verdict tells what a whole answer means, the load report it holds, and whether the link can be kept.
	Verdict() (outcome policy.Outcome, report policy.Report, keep bool)
}
