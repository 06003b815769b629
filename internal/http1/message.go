// Package http1 parses and writes HTTP/1.1 messages (RFC 9112, with the semantics of RFC 9110). Its parsers are incremental: they read from a
// buffer as bytes are received, and do no I/O. They reject messages that two recipients could read differently, with an *Error.
package http1

import "hazelwheel/internal/buffer"

// Buffer holds the received bytes that a parser reads from.
type Buffer = buffer.Buffer

// stage is the position of a parser within a message.
type stage uint8

const (
	inHead stage = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd // at the CRLF after a chunk's data
	inTrailer
	untilEnd // the body ends with the connection
	complete
)

// message is the state that both parsers have in common. It is not safe for concurrent use.
type message struct {
	Header Header
	Body   []byte // the received body, except for the parts removed by TakeBody

	limits         Limits
	stage          stage
	scannedBytes   int // of the current line, in which no line feed was found
	lineBytes      int // of the complete lines of the head, chunk size or trailers so far; bounded by limits.HeadBytes
	startLine      string
	remaining      int // bytes of the body or chunk not received yet
	declaredLength int // Content-Length, or -1
	receivedBody   int // bytes of the body so far, including those removed by TakeBody
	isChunked      bool
	minorVersion   int
}

// reset prepares for the next message. The body's memory isn't reused, since a caller may still refer to it.
func (m *message) reset() { *m = message{limits: m.limits} }

// advance parses the received bytes and reports whether the message is complete. It calls parseHead for a complete head. parseHead
// sets the next stage, or leaves it at inHead if another head follows.
func (m *message) advance(buf *Buffer, parseHead func() error) (bool, error) {
	for m.stage == inHead {
		if done, err := m.readHead(buf); err != nil || !done {
			return false, err
		}
		if err := parseHead(); err != nil {
			return false, err
		}
	}
	err := m.readBody(buf)
	return m.stage == complete, err
}

// IsComplete reports whether the message has been received to its end.
func (m *message) IsComplete() bool { return m.stage == complete }

// isPersistent reports whether the connection persists after the message (RFC 9112, 9.3).
func (m *message) isPersistent() bool {
	return !m.Header.containsToken("Connection", "close") && (m.minorVersion > 0 || m.Header.containsToken("Connection", "keep-alive"))
}
