package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// ResponseParser reads the response to one request that was not HEAD.
type ResponseParser struct {
	message
	Status           int
	interimResponses int // responses that came before the final one
}

// mostInterim bounds the interim responses to one request.
const maxInterimResponses = 100

// NewResponseParser returns a parser of responses within limits.
func NewResponseParser(limits Limits) ResponseParser {
	return ResponseParser{message: message{limits: limits}}
}

// Next reads on from buf and tells whether the response is whole. Interim responses are skipped.
func (p *ResponseParser) Next(buf *Buffer) (bool, error) {
	done, err := p.advance(buf, p.parseHead)
	if err == nil && p.stage == inHead {
		err = p.checkPartialHead(buf)
	}
	return done, err
}

// early looks at a head that is not whole. Danger: noise may hold no line's end for as long as anybody waits.
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

// status reads the status line.
func (p *ResponseParser) parseStatusLine() (int, error) {
	version, rest, _ := strings.Cut(p.startLine, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 16)
	if err != nil || len(code) != 3 || status < 100 {
		return 0, malformed("bad status line")
	}
	return int(status), p.parseVersion(version)
}

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
		// Danger: a body that ends with the connection looks whole wherever it is cut. It is taken only from a
		// server that has said that it will end it so.
		return malformed("neither a length nor an end")
	}
	return nil
}

// Begun tells whether anything of the response has come.
func (p *ResponseParser) HasBegun() bool { return p.stage != inHead || p.startLine != "" }

// End tells the parser that the connection has ended, and returns whether that makes the response whole.
func (p *ResponseParser) HandleEOF() bool {
	if p.stage == untilEnd {
		p.stage = complete
	}
	return p.stage == complete
}

// Keep tells whether the connection can carry another request.
func (p *ResponseParser) IsPersistent() bool { return p.isPersistent() }
