package http1

import "strings"

// RequestParser parses a client's requests, one after another. After Next has returned true its fields hold a request, until
// the next call of Next or Release.
type RequestParser struct {
	message
	Method string
	Target string
}

// NewRequestParser returns a parser that rejects requests beyond the limits.
func NewRequestParser(limits Limits) RequestParser {
	return RequestParser{message: message{limits: limits}}
}

// Next parses what buf has received and reports whether a request is complete. An error, which is an *Error, is final: the
// parser can't go on.
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

// convertToOriginForm converts a target in absolute form, which every server must accept (RFC 9112, 3.2.2), into origin form.
// Its authority replaces the value of Host. A target in another form stays as it is; no route matches it.
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
	if authority == "" || strings.Contains(authority, "@") { // userinfo can disguise the host (RFC 9110, 4.2.4)
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

// Release drops a complete request, whose body may be large. It has no effect on one that is incomplete.
func (p *RequestParser) Release() {
	if p.stage == complete {
		p.reset()
		p.Method, p.Target = "", ""
	}
}

// HasBegun reports whether a part of a request has been received.
func (p *RequestParser) HasBegun() bool {
	return p.stage != complete && (p.stage != inHead || p.startLine != "")
}

// ExpectsContinue reports whether the client waits for a 100 (Continue) response before it sends the body (RFC 9110, 10.1.1).
func (p *RequestParser) ExpectsContinue() bool {
	return p.stage != inHead && p.stage != complete && len(p.Body) == 0 && p.Header.containsToken("Expect", "100-continue")
}

// MinorVersion returns the minor version of the request's HTTP/1.
func (p *RequestParser) MinorVersion() int { return p.minorVersion }

// IsPersistent reports whether the connection persists after the response. For HTTP/1.0 it is false, also with "Connection:
// keep-alive".
func (p *RequestParser) IsPersistent() bool { return p.minorVersion > 0 && p.isPersistent() }
