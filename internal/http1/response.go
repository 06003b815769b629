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
	interimResponses int // responses that came before the final one
}

// maxInterimResponses bounds the interim (1xx) responses to one request.
const maxInterimResponses = 100

// NewResponseParser returns a parser that rejects responses beyond the limits.
func NewResponseParser(limits Limits) ResponseParser {
	return ResponseParser{message: message{limits: limits}}
}

// Next parses what buf has received and reports whether the response is complete. Interim responses are skipped. An error,
// which is an *Error, is final.
func (p *ResponseParser) Next(buf *Buffer) (bool, error) {
	done, err := p.advance(buf, p.parseHead)
	if err == nil && p.stage == inHead {
		err = p.checkPartialHead(buf)
	}
	return done, err
}

// checkPartialHead checks the part of a head that has been received. Danger: a backend that doesn't speak HTTP may never send a
// line end, and the response would be waited for until its time-out.
func (p *ResponseParser) checkPartialHead(buf *Buffer) error {
	if p.startLine != "" {
		_, err := p.parseStatusLine()
		return err
	}
	const prefix = "HTTP/1."
	received := bytes.TrimLeft(buf.Bytes(), "\r\n")
	if n := min(len(received), len(prefix)); string(received[:n]) != prefix[:n] {
		return malformed("no HTTP")
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
		return malformed("protocol switched unasked")
	case status < 200:
		if p.interimResponses++; p.interimResponses > maxInterimResponses {
			return malformed("interim responses without end")
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
		// Danger: a body delimited by the end of the connection looks complete wherever it is cut. It is accepted only with
		// "Connection: close", by which the server announces that end.
		return malformed("neither a length nor an end")
	}
	return nil
}

// HasBegun reports whether any of the response has been received.
func (p *ResponseParser) HasBegun() bool { return p.stage != inHead || p.startLine != "" }

// HandleEOF must be called when the backend has closed the connection. It reports whether the response is complete by that (RFC
// 9112, 6.3 and 8).
func (p *ResponseParser) HandleEOF() bool {
	if p.stage == untilEnd {
		p.stage = complete
	}
	return p.stage == complete
}

// IsPersistent reports whether the connection can carry another request.
func (p *ResponseParser) IsPersistent() bool { return p.isPersistent() }
