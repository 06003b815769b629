package http1

import (
	"bytes"
	"strings"
)

// readLine removes a line from buf and returns it without its CRLF. ok is false if the line is incomplete. Danger: some recipients
// accept a bare line feed as the end of a line and others don't (RFC 9112, 2.2), so that they would see different messages; it is
// rejected.
func (m *message) readLine(buf *Buffer) (line []byte, ok bool, err error) {
	raw := buf.Bytes()
	end := bytes.IndexByte(raw[m.scannedBytes:], '\n')
	if end < 0 {
		m.scannedBytes = len(raw)
		if m.lineBytes+m.scannedBytes > m.limits.HeadBytes {
			return nil, false, &Error{431, "head too large"}
		}
		return nil, false, nil
	}
	end += m.scannedBytes
	if m.lineBytes += end + 1; m.lineBytes > m.limits.HeadBytes {
		return nil, false, &Error{431, "head too large"}
	}
	if end == 0 || raw[end-1] != '\r' {
		return nil, false, malformed("line without carriage return")
	}
	m.scannedBytes = 0
	buf.Discard(end + 1)
	return raw[:end-1], true, nil
}

// readHead reads the received lines of the head, and reports whether the head is complete.
func (m *message) readHead(buf *Buffer) (done bool, err error) {
	if done, err = m.readCompleteHead(buf); done || err != nil {
		return done, err
	}
	for {
		line, ok, err := m.readLine(buf)
		switch {
		case err != nil || !ok:
			return false, err
		case m.startLine != "" && len(line) == 0:
			m.lineBytes = 0
			return true, nil
		}
		if err := m.addHeadLine(string(line)); err != nil {
			return false, err
		}
	}
}

// readCompleteHead is the fast path for a head that has been received completely: its lines are substrings of one string. If done is
// false without an error, readHead has to go on line by line.
func (m *message) readCompleteHead(buf *Buffer) (done bool, err error) {
	raw := buf.Bytes()
	if m.startLine != "" || m.scannedBytes > 0 || m.lineBytes > 0 {
		return false, nil
	}
	end := bytes.Index(raw, headEnd)
	if end <= 0 || end+len(headEnd) > m.limits.HeadBytes {
		return false, nil
	}
	text := string(raw[:end+len("\r\n")])
	for rest := text; rest != ""; {
		i := strings.IndexByte(rest, '\n')
		if i == 0 || rest[i-1] != '\r' {
			return false, malformed("line without carriage return")
		}
		if err := m.addHeadLine(rest[:i-1]); err != nil {
			return false, err
		}
		rest = rest[i+1:]
	}
	if m.startLine == "" { // only empty lines
		buf.Discard(len(text))
		return false, nil
	}
	buf.Discard(end + len(headEnd))
	return true, nil
}

// headEnd is the end of the last line of a head and the empty line after it.
var headEnd = []byte("\r\n\r\n")

// typicalFieldCount is the initial capacity of a Header.
const typicalFieldCount = 8

// addHeadLine handles a line of the head other than the empty one that ends it: the start line or a field line. Empty lines before
// the start line are ignored (RFC 9112, 2.2).
func (m *message) addHeadLine(line string) error {
	switch {
	case m.startLine == "" && line == "":
		return nil
	case m.startLine == "":
		m.startLine = line
		return nil
	}
	f, err := parseField(line)
	if err != nil {
		return err
	}
	if m.Header == nil {
		m.Header = make(Header, 0, typicalFieldCount)
	}
	m.Header = append(m.Header, f)
	return nil
}

// parseField parses a field line (RFC 9112, 5). Whitespace before the colon is rejected, and so are control characters in the
// value.
func parseField(line string) (Field, error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return Field{}, malformed("bad header field")
	}
	value = strings.Trim(value, " \t")
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return Field{}, malformed("bad header value")
		}
	}
	return Field{name, value}, nil
}

// IsToken reports whether a name is a token, the syntax of field names and methods (RFC 9110, 5.6.2).
func IsToken(name string) bool { return isToken(name) }

// isToken reports whether b is a token (RFC 9110, 5.6.2).
func isToken[T ~string | ~[]byte](b T) bool {
	for i := range len(b) {
		c := b[i]
		isAlphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !isAlphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

// IsHeadComplete reports whether the start line and the header section have been received.
func (m *message) IsHeadComplete() bool { return m.stage != inHead }

// parseVersion parses the HTTP version of a start line; only 1.0 and 1.1 are supported.
func (m *message) parseVersion(text string) error {
	switch text {
	case "HTTP/1.1":
		m.minorVersion = 1
	case "HTTP/1.0":
	default:
		if strings.HasPrefix(text, "HTTP/") {
			return &Error{505, "version not supported"}
		}
		return malformed("bad first line")
	}
	return nil
}
