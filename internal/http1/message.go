// Package http1 parses and writes HTTP/1.1 messages (RFC 9112, with the semantics of RFC 9110). Its parsers are fed from a buffer as bytes
// are received and do no I/O. They are strict where two recipients could read a message differently: such a message is rejected with an
// *Error.
package http1

import "hazelwheel/internal/buffer"

// Buffer holds the received bytes that a parser reads from.
type Buffer = buffer.Buffer

// stage is where a parser is within a message.
type stage uint8

const (
	inHead stage = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd // at the line end after a chunk's data
	inTrailer
	untilEnd // the body ends with the connection
	complete
)

// message is the state that both parsers share. Its methods are for the goroutine of the connection.
type message struct {
	Header Header
	Body   []byte // buffered body; TakeBody takes from it

	limits         Limits
	stage          stage
	scannedBytes   int // of the present line, without its end so far
	lineBytes      int // of the head, chunk header or trailers so far; bounded by limits.HeadBytes
	startLine      string
	remaining      int // bytes of the body or chunk to come
	declaredLength int // Content-Length; -1 without one
	receivedBody   int // bytes of the body so far, also those taken by TakeBody
	isChunked      bool
	minorVersion   int
}

// reset prepares for the next message. The body's memory isn't reused: a caller may hold it.
func (m *message) reset() { *m = message{limits: m.limits} }

// advance parses what has been received. parseHead is called for a complete head and sets the stage after it, or leaves it at
// inHead if another head follows.
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
