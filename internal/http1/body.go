package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// determineFraming determines how the body is delimited (RFC 9112, 6.3) and sets the stage after the head. withoutLength is the
// stage for a message with neither Content-Length nor Transfer-Encoding. Danger: a message with both, or with two different
// lengths, can be read in two ways by two recipients and smuggle a request; it is rejected.
func (m *message) determineFraming(withoutLength stage) error {
	length := -1
	for _, f := range m.Header {
		switch {
		case strings.EqualFold(f.Name, "Transfer-Encoding"):
			if !strings.EqualFold(f.Value, "chunked") || m.isChunked {
				return &Error{501, "transfer coding not supported"}
			}
			m.isChunked = true
		case strings.EqualFold(f.Name, "Content-Length"):
			n, err := strconv.ParseUint(f.Value, 10, 62)
			if err != nil || length >= 0 && length != int(n) {
				return malformed("bad Content-Length")
			}
			length = int(n)
		}
	}
	m.declaredLength = length
	switch {
	case m.isChunked && (length >= 0 || m.minorVersion == 0):
		return malformed("length and chunks")
	case m.isChunked:
		m.stage = inChunkSize
	case length > m.limits.maxBodyBytes():
		return &Error{413, "body too large"}
	case length >= 0:
		m.stage, m.remaining = inBody, length
	default:
		m.stage = withoutLength
	}
	return nil
}

// readBody parses the received part of the body.
func (m *message) readBody(buf *Buffer) error {
	for {
		switch m.stage {
		case inBody, inChunk:
			if m.remaining -= m.appendBody(buf, m.remaining); m.remaining > 0 {
				return nil
			}
			if m.stage == inBody {
				m.stage = complete
			} else {
				m.stage = inChunkEnd
			}
		case inChunkSize:
			if err := m.readChunkSize(buf); err != nil || m.stage == inChunkSize {
				return err
			}
		case inChunkEnd:
			line, ok, err := m.readLine(buf)
			if err != nil || !ok {
				return err
			}
			if len(line) > 0 {
				return malformed("chunk longer than its size")
			}
			m.stage, m.lineBytes = inChunkSize, 0
		case inTrailer:
			line, ok, err := m.readLine(buf)
			if err != nil || !ok {
				return err
			}
			if len(line) == 0 {
				m.stage = complete
			} else if _, err := parseField(string(line)); err != nil {
				return err
			}
		case untilEnd:
			if m.receivedBody+buf.Len() > m.limits.maxBodyBytes() {
				return &Error{413, "body too large"}
			}
			m.appendBody(buf, buf.Len())
			return nil
		default:
			return nil
		}
	}
}

// appendBody moves up to limit bytes from buf to the body and returns their number.
func (m *message) appendBody(buf *Buffer, limit int) int {
	n := min(limit, buf.Len())
	m.Body = append(m.Body, buf.Bytes()[:n]...)
	m.receivedBody += n
	buf.Discard(n)
	return n
}

// readChunkSize parses the line with a chunk's size (RFC 9112, 7.1). Chunk extensions are ignored.
func (m *message) readChunkSize(buf *Buffer) error {
	line, ok, err := m.readLine(buf)
	if err != nil || !ok {
		return err
	}
	digits, _, _ := bytes.Cut(line, []byte{';'})
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 31)
	switch {
	case err != nil:
		return malformed("bad chunk size")
	case m.receivedBody+int(size) > m.limits.maxBodyBytes():
		return &Error{413, "body too large"}
	case size == 0:
		m.stage, m.lineBytes = inTrailer, 0
	default:
		m.stage, m.remaining, m.lineBytes = inChunk, int(size), 0
	}
	return nil
}

// BodyLength returns the value of Content-Length, or -1 if there is none.
func (m *message) BodyLength() int { return m.declaredLength }

// ReceivedBodyBytes returns how many bytes of the body have been received.
func (m *message) ReceivedBodyBytes() int { return m.receivedBody }

// TakeBody removes and returns the part of the body received since the last call. The slice is valid until the next call of Next.
func (m *message) TakeBody() []byte {
	body := m.Body
	m.Body = m.Body[:0]
	return body
}
