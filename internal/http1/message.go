// Package http1 reads and writes HTTP/1.1 messages. Its parsers take bytes as they come and know no
// sockets.
package http1

import "hazelwheel/internal/buffer"

// Buffer is what the parsers read from.
type Buffer = buffer.Buffer

// body stages of a message.
type stage uint8

const (
	inHead stage = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	untilEnd // the body ends with the connection
	complete
)

// message is what requests and responses have in common.
type message struct {
	Header Header
	Body   []byte // for a stream the reader may take bytes off its front

	limits         Limits
	stage          stage
	scannedBytes   int // bytes of the present line that hold no end
	lineBytes      int // bytes of lines, against the limit
	startLine      string
	remaining      int // bytes of the body or chunk to come
	declaredLength int // of the body; -1: it is not told
	receivedBody   int // bytes of the body that have come
	isChunked      bool
	minorVersion   int
}

// reset makes ready for the next message; the body's memory is not used again, somebody may hold it.
func (m *message) reset() { *m = message{limits: m.limits} }

// next reads on; start takes a whole head and finds the stage after it, or that another head follows.
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

// Whole tells whether the message has come to its end.
func (m *message) IsComplete() bool { return m.stage == complete }

// keep tells whether the connection stays open after the message.
func (m *message) isPersistent() bool {
	return !m.Header.containsToken("Connection", "close") && (m.minorVersion > 0 || m.Header.containsToken("Connection", "keep-alive"))
}
