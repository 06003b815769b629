package sidecar

import (
	"hazelwheel/internal/buffer"
	"hazelwheel/policy"
)

// Frontend is one protocol that clients and servers speak. The core knows nothing else of it.
type Frontend interface {
	// ListenAddress returns the host and port that clients connect to.
	ListenAddress() string
	// BackendAddress returns the address at which a server speaks the protocol, from the one that is listed. It is called for each dial.
	BackendAddress(listed string) string
	// NewClient returns the protocol's part of a client connection that has been accepted.
	NewClient() ClientCodec
	// NewProbe returns a probe in this protocol, nil if another frontend's probes are used.
	NewProbe() Exchange
}

// ClientCodec is the protocol's part of a client connection. It embeds a ClientConn, whose methods submit and answer what it reads.
type ClientCodec interface {
	Responder
	// Base returns the embedded ClientConn.
	Base() *ClientConn
	// ReadRequest reads received data and reports whether a message is ready to be handled: it is complete, or as much of it has arrived as
	// is buffered and the rest is forwarded as it arrives. After an error nothing more can be read.
	ReadRequest(buf *buffer.Buffer) (ready bool, err error)
	// HandleRequest answers the message that ReadRequest has reported, or submits it by ClientConn.Submit, and drops it if it is complete.
	HandleRequest()
	// ReadBody reads more of the body of a message that was submitted before it was complete.
	ReadBody(buf *buffer.Buffer) error
	// RejectMalformed answers a message that can't be read, with the error of ReadRequest or ErrRequestTimeout, as the last on its
	// connection.
	RejectMalformed(err error)
	// PartialRequest returns how many bytes of an incomplete message are held beside the unread ones, and whether there is one.
	PartialRequest() (held int, begun bool)
}

// Responder writes a request's response to its client, in the client's protocol. Each request gets one call, unless its client has closed.
type Responder interface {
	// ForwardResponse writes a server's response.
	ForwardResponse(x Exchange)
	// Throttle rejects the request: nothing has run, and a retry is best made after the given time.
	Throttle(retryAfterSeconds float64)
	// Fail reports that there is no response and that the request may have run; late says that its deadline has passed.
	Fail(late bool)
}

// Call is what a request asks for, in its protocol.
type Call interface {
	// NewExchange returns the protocol's side of a new attempt.
	NewExchange() Exchange
}

// Exchange is the protocol's side of one attempt: it writes the request to a backend connection and reads the response.
type Exchange interface {
	// AppendRequest appends the request's head, and as much of its body as is sent at once. The server is told the deadline.
	AppendRequest(dst []byte, now, deadline float64) []byte
	// AppendBody appends the next part of the body, about maxBytes at most; nothing if no more has arrived.
	AppendBody(dst []byte, maxBytes int) []byte
	// IsRequestAppended reports whether the request was appended completely.
	IsRequestAppended() bool
	// ReadResponse reads received data and reports whether the response is complete. After an error nothing more can be read.
	ReadResponse(buf *buffer.Buffer) (bool, error)
	// HasResponseBegun reports whether any of the response has arrived.
	HasResponseBegun() bool
	// IsOneWay reports whether there is no response: the attempt ends when its request is written.
	IsOneWay() bool
	// HandleEOF handles the end of the connection and reports whether that completes the response.
	HandleEOF() bool
	// Result returns what a complete response means, its load report, and whether the connection can be kept.
	Result() (outcome policy.Outcome, report policy.Report, keep bool)
}

// StreamingExchange is an Exchange whose response can be forwarded in parts, as it arrives.
type StreamingExchange interface {
	Exchange
	// ExceedsBuffer reports whether the response is too large to be buffered.
	ExceedsBuffer() bool
}

// StreamResponder is a Responder that can forward a response in parts: one ForwardHead and any number of ForwardBody take the place of
// ForwardResponse.
type StreamResponder interface {
	// ForwardHead writes a response's head, and what has arrived of its body.
	ForwardHead(x Exchange)
	// ForwardBody writes what has arrived since; last says that it is the end.
	ForwardBody(x Exchange, last bool)
}
