package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// ResponseParser parses the response to one request, whose method was not HEAD.
type ResponseParser struct {
	message
	Status           int
	interimResponses int // interim responses received so far
}

// maxInterimResponses bounds the number of interim (1xx) responses to one request.
const maxInterimResponses = 100

// NewResponseParser returns a parser that rejects responses beyond the limits.
func NewResponseParser(limits Limits) ResponseParser {
	return ResponseParser{message: message{limits: limits}}
}

// Next parses the bytes in buf and reports whether the response is complete. Interim responses are skipped. After an error, which is
// an *Error, the parser must not be used any more.
func (p *ResponseParser) Next(buf *Buffer) (bool, error) {
	done, err := p.advance(buf, p.parseHead)
	if err == nil && p.stage == inHead {
		err = p.checkPartialHead(buf)
	}
	return done, err
}

// checkPartialHead checks the received part of an incomplete head. Danger: a backend that doesn't speak HTTP may never send the end of
// a line; without this check its response would be awaited until the timeout.
func (p *ResponseParser) checkPartialHead(buf *Buffer) error {
	if p.startLine != "" {
		_, err := p.parseStatusLine()
		return err
	}
	const prefix = "HTTP/1."
	received := bytes.TrimLeft(buf.Bytes(), "\r\n")
	if n := min(len(received), len(prefix)); string(received[:n]) != prefix[:n] {
		return malformed("not an HTTP response")
	}
	return nil
}

// parseStatusLine parses the status line (RFC 9112, 4).
func (p *ResponseParser) parseStatusLine() (int, error) {
	version, rest, _ := strings.Cut(p.startLine, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 16)
	if err != nil || len(code) != 3 || status < 100 {
		return 0, malformed("bad status line")
	}
	return int(status), p.parseVersion(version)
}

// parseHead parses the status line, skips an interim response, and determines the framing.
func (p *ResponseParser) parseHead() error {
	status, err := p.parseStatusLine()
	if err != nil {
		return err
	}
	switch p.Status = status; {
	case status == 101:
		return malformed("unexpected protocol switch")
	case status < 200:
		if p.interimResponses++; p.interimResponses > maxInterimResponses {
			return malformed("too many interim responses")
		}
		p.reset()
		return nil
	case status == 204 || status == 304:
		p.stage = complete
		return nil
	}
	if err := p.determineFraming(untilEnd); err != nil {
		return err
	}
	if p.stage == untilEnd && p.isPersistent() {
		// Danger: a body that is delimited by the end of the connection looks complete wherever it is truncated. It is accepted only if
		// the server announces the end with "Connection: close".
		return malformed("response without a length on a persistent connection")
	}
	return nil
}

// HasBegun reports whether a part of the response has been received, at least its status line.
func (p *ResponseParser) HasBegun() bool { return p.stage != inHead || p.startLine != "" }

// HandleEOF must be called when the backend has closed the connection. It reports whether the response is then complete (RFC 9112, 6.3
// and 8).
func (p *ResponseParser) HandleEOF() bool {
	if p.stage == untilEnd {
		p.stage = complete
	}
	return p.stage == complete
}

// IsPersistent reports whether the connection can carry another request.
func (p *ResponseParser) IsPersistent() bool { return p.isPersistent() }
