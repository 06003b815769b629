package http1

import "strings"

// RequestParser parses a client's requests, one after another. After Next has returned true, its fields contain a request until the
// next call of Next or Release.
type RequestParser struct {
	message
	Method string
	Target string
}

// NewRequestParser returns a parser that rejects requests beyond the limits.
func NewRequestParser(limits Limits) RequestParser {
	return RequestParser{message: message{limits: limits}}
}

// Next parses the bytes in buf and reports whether a request is complete. After an error, which is an *Error, the parser must not be
// used any more.
func (p *RequestParser) Next(buf *Buffer) (bool, error) {
	if p.stage == complete {
		p.reset()
	}
	return p.advance(buf, p.parseHead)
}

// parseHead parses the request line (RFC 9112, 3), checks Host (RFC 9112, 3.2) and determines the framing.
func (p *RequestParser) parseHead() error {
	method, rest, _ := strings.Cut(p.startLine, " ")
	target, version, ok := strings.Cut(rest, " ")
	if !ok || !isToken(method) || target == "" {
		return malformed("bad request line")
	}
	for i := range len(target) {
		if target[i] <= ' ' || target[i] >= 0x7f {
			return malformed("bad target")
		}
	}
	if err := p.parseVersion(version); err != nil {
		return err
	}
	hosts := 0
	for _, f := range p.Header {
		if strings.EqualFold(f.Name, "Host") {
			hosts++
		}
	}
	if hosts > 1 || hosts == 0 && p.minorVersion > 0 {
		return malformed("one Host is needed")
	}
	p.Method, p.Target = method, target
	if target[0] != '/' && target != "*" {
		if err := p.convertToOriginForm(); err != nil {
			return err
		}
	}
	return p.determineFraming(complete)
}

// convertToOriginForm converts a target in absolute form, which every server must accept (RFC 9112, 3.2.2), to origin form. Its
// authority replaces the value of Host. A target in any other form is left unchanged; no route matches it.
func (p *RequestParser) convertToOriginForm() error {
	const scheme = "http://"
	if len(p.Target) < len(scheme) || !strings.EqualFold(p.Target[:len(scheme)], scheme) {
		return nil
	}
	rest := p.Target[len(scheme):]
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	authority := rest[:end]
	if authority == "" || strings.Contains(authority, "@") { // userinfo can be used to disguise the host (RFC 9110, 4.2.4)
		return malformed("bad target")
	}
	for i, f := range p.Header {
		if strings.EqualFold(f.Name, "Host") {
			p.Header[i].Value = authority
		}
	}
	if p.Target = rest[end:]; !strings.HasPrefix(p.Target, "/") {
		p.Target = "/" + p.Target
	}
	return nil
}

// Release drops a complete request, to free the memory of its body. It has no effect on an incomplete request.
func (p *RequestParser) Release() {
	if p.stage == complete {
		p.reset()
		p.Method, p.Target = "", ""
	}
}

// HasBegun reports whether a request has been received in part, at least its request line.
func (p *RequestParser) HasBegun() bool {
	return p.stage != complete && (p.stage != inHead || p.startLine != "")
}

// ExpectsContinue reports whether the client waits for a 100 (Continue) response before it sends the body (RFC 9110, 10.1.1).
func (p *RequestParser) ExpectsContinue() bool {
	return p.stage != inHead && p.stage != complete && len(p.Body) == 0 && p.Header.containsToken("Expect", "100-continue")
}

// MinorVersion returns the minor HTTP version of the request, 0 or 1.
func (p *RequestParser) MinorVersion() int { return p.minorVersion }

// IsPersistent reports whether the connection persists after the response. For HTTP/1.0 it is always false, even with "Connection:
// keep-alive".
func (p *RequestParser) IsPersistent() bool { return p.minorVersion > 0 && p.isPersistent() }
