package sidecar

import (
	"hazelwheel/internal/buffer"
	"hazelwheel/policy"
)

// Frontend implements one protocol that clients and servers speak. This package has no other knowledge of protocols.
type Frontend interface {
	// ListenAddress returns the host and port that clients connect to.
	ListenAddress() string
	// BackendAddress returns the address at which a server speaks this protocol, given its listed address. It is called for each dial.
	BackendAddress(listed string) string
	// NewClient returns the codec for a new client connection.
	NewClient() ClientCodec
	// NewProbe returns a probe in this protocol, nil if another frontend's probes are used.
	NewProbe() Exchange
}

// ClientCodec is the protocol-specific part of a client connection. It embeds a ClientConn, through which it submits requests and writes
// responses.
type ClientCodec interface {
	Responder
	// Base returns the embedded ClientConn.
	Base() *ClientConn
	// ReadRequest reads received data and reports whether a message is ready to be handled: it is complete, or it is larger than the buffer
	// limit and the rest will be forwarded as it arrives. After an error nothing more can be read.
	ReadRequest(buf *buffer.Buffer) (ready bool, err error)
	// HandleRequest answers the message that ReadRequest has reported, or submits it with ClientConn.Submit. A complete message is then
	// released.
	HandleRequest()
	// ReadBody reads more of the body of a message that was submitted before it was complete.
	ReadBody(buf *buffer.Buffer) error
	// RejectMalformed answers a message that can't be read, with the error of ReadRequest or ErrRequestTimeout, as the last on its
	// connection.
	RejectMalformed(err error)
	// PartialRequest reports whether a message has partly arrived, and how many of its bytes the codec holds, not counting those in the
	// input buffer.
	PartialRequest() (held int, begun bool)
}

// Responder writes a request's response to its client, in the client's protocol. For each request, exactly one method is called
// once, unless the client has disconnected.
type Responder interface {
	// ForwardResponse writes a server's response.
	ForwardResponse(x Exchange)
	// Throttle rejects the request: it has not run, and may be retried after the given time.
	Throttle(retryAfterSeconds float64)
	// Fail reports that there is no server response and that the request may have run; late says that its deadline has passed.
	Fail(late bool)
}

// Call is the protocol-specific content of a request.
type Call interface {
	// NewExchange returns the Exchange of a new attempt.
	NewExchange() Exchange
}

// Exchange is the protocol-specific part of one attempt: it encodes the request and reads the response.
type Exchange interface {
	// AppendRequest appends the request's head, which tells the server the deadline, and the part of its body that is sent immediately.
	AppendRequest(dst []byte, now, deadline float64) []byte
	// AppendBody appends the next part of the body, at most about maxBytes, or nothing if no more has arrived.
	AppendBody(dst []byte, maxBytes int) []byte
	// IsRequestAppended reports whether all of the request was appended.
	IsRequestAppended() bool
	// ReadResponse reads received data and reports whether the response is complete. After an error nothing more can be read.
	ReadResponse(buf *buffer.Buffer) (bool, error)
	// HasResponseBegun reports whether any part of the response has arrived.
	HasResponseBegun() bool
	// IsOneWay reports whether the request has no response, so that the attempt ends when the request is written.
	IsOneWay() bool
	// HandleEOF handles the end of the connection and reports whether that completes the response.
	HandleEOF() bool
	// Result returns the outcome and load report of a complete response, and whether the connection can be kept.
	Result() (outcome policy.Outcome, report policy.Report, keep bool)
}

// StreamingExchange is an Exchange whose response can be forwarded in parts, as it arrives.
type StreamingExchange interface {
	Exchange
	// ExceedsBuffer reports whether the response is too large to be buffered.
	ExceedsBuffer() bool
}

// StreamResponder is implemented by a Responder that can forward a response in parts: one call of ForwardHead and any number of calls of
// ForwardBody replace ForwardResponse.
type StreamResponder interface {
	// ForwardHead writes the head of a response, and the part of its body that has arrived.
	ForwardHead(x Exchange)
	// ForwardBody writes what has arrived of the body since the last call; last marks the end of the response.
	ForwardBody(x Exchange, last bool)
}
