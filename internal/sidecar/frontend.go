package sidecar

import (
	"hazelwheel/internal/buffer"
	"hazelwheel/policy"
)

// Frontend is one protocol that clients and servers speak. The core knows no more of it than this.
type Frontend interface {
	// ListenAddress returns the address and port at which its clients come.
	ListenAddress() string
	// BackendAddress returns where a server speaks it that is listed at an address. It is asked for each dial.
	BackendAddress(listed string) string
	// NewClient returns the protocol's part of a client connection that is about to come up.
	NewClient() ClientCodec
	// NewProbe returns its way to probe a server, nil where another front's is the deployment's.
	NewProbe() Exchange
}

// NewClient is a protocol's part of a client connection; it holds a ClientConn, whose methods answer and hand on what it reads.
type ClientCodec interface {
	Responder
	// Base returns the ClientConn that it holds.
	Base() *ClientConn
	// ReadRequest reads on from what the link has received and tells whether a message can be taken: it is whole, or as much of
	// it has come as is held, and the rest is to flow. After an error nothing more can be read.
	ReadRequest(buf *buffer.Buffer) (ready bool, err error)
	// HandleRequest answers the message that Read has told of, or hands it on by ClientConn.HandOn, and drops it if it is whole.
	HandleRequest()
	// ReadBody reads on in the body of a message that was handed on before it was whole.
	ReadBody(buf *buffer.Buffer) error
	// RejectMalformed answers a message that can't be read, with what Read has said or ErrUnarrived, as the last on its link.
	RejectMalformed(err error)
	// PartialRequest returns how many bytes are held of a message that is not whole, beside those that are not read; begun tells
	// whether there is one.
	PartialRequest() (held int, begun bool)
}

// Responder is where a request's answer goes: a client connection, in whatever protocol it speaks. Each request gets
// one call, unless its client has gone.
type Responder interface {
	// ForwardResponse passes on a server's answer.
	ForwardResponse(x Exchange)
	// Throttle refuses: trying again is harmless, best after the given time.
	Throttle(retryAfterS float64)
	// Fail says that there is no answer and that the request may have run; late, that time ran out.
	Fail(late bool)
}

// Call is what a request asks for, in its protocol.
type Call interface {
	// NewExchange returns the call's side of one attempt.
	NewExchange() Exchange
}

// NewExchange is one protocol's side of an attempt: it writes the request to a backend connection and reads the
// answer off it. A request carries one for each attempt, in the protocol that it came in.
type Exchange interface {
	// AppendRequest appends the request's head, and of its body as much as is sent at once; the server is told until when anybody
	// waits for its answer.
	AppendRequest(dst []byte, now, until float64) []byte
	// ReadBody appends what follows of the request, about so many bytes at most; nothing where no more has come.
	AppendBody(dst []byte, most int) []byte
	// IsRequestAppended tells whether all of the request has been appended.
	IsRequestAppended() bool
	// ReadRequest reads on from what the link has received and tells whether the answer is whole.
	ReadResponse(buf *buffer.Buffer) (bool, error)
	// HasResponseBegun tells whether any of the answer has come.
	HasResponseBegun() bool
	// IsOneWay tells whether no answer ever comes: the attempt is over once its request is written whole.
	IsOneWay() bool
	// HandleEOF takes the end of the link and tells whether that makes the answer whole.
	HandleEOF() bool
	// Result tells what a whole answer means, the load report it holds, and whether the link can be kept.
	Result() (outcome policy.Outcome, report policy.Report, keep bool)
}

// StreamingExchange is an Exchange whose answer can be passed on in pieces, as they come.
type StreamingExchange interface {
	Exchange
	// ExceedsBuffer tells whether what has come of the answer is the begin of one that is not held whole.
	ExceedsBuffer() bool
}

// StreamResponder is an Origin that can pass on an answer in pieces: Begin and then Pass take the place of Serve.
type StreamResponder interface {
	// ForwardHead passes on an answer's head, and what has come of its body.
	ForwardHead(x Exchange)
	// ForwardBody passes on what has come since; last says that it is the end.
	ForwardBody(x Exchange, last bool)
}
