package http1

import "strings"

// RequestParser reads requests from a client. After Next has returned true the fields hold one request,
// until the next call.
type RequestParser struct {
	message
	Method string
	Target string
}

// NewRequestParser returns a parser of requests within limits.
func NewRequestParser(limits Limits) RequestParser {
	return RequestParser{message: message{limits: limits}}
}

// Next reads on from buf and tells whether a request is whole. After an error nothing more can be read.
func (p *RequestParser) Next(buf *Buffer) (bool, error) {
	if p.stage == complete {
		p.reset()
	}
	return p.advance(buf, p.parseHead)
}

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

// relative turns a target in absolute form, which any server has to take (RFC 9112, 3.2.2), into one in origin form. Its
// authority takes the place of what Host says. What is in no form that is known stays as it is: nobody serves it.
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
	if authority == "" || strings.Contains(authority, "@") { // who the latter leads astray is anybody's guess
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

// Rest drops the request that was read last, which may hold a large body.
func (p *RequestParser) Release() {
	if p.stage == complete {
		p.reset()
		p.Method, p.Target = "", ""
	}
}

// Begun tells whether part of a request has been read.
func (p *RequestParser) HasBegun() bool {
	return p.stage != complete && (p.stage != inHead || p.startLine != "")
}

// WantsContinue tells whether the client waits for word before it sends the body.
func (p *RequestParser) ExpectsContinue() bool {
	return p.stage != inHead && p.stage != complete && len(p.Body) == 0 && p.Header.containsToken("Expect", "100-continue")
}

// Minor returns the minor version of HTTP/1 that the client speaks.
func (p *RequestParser) MinorVersion() int { return p.minorVersion }

// Keep tells whether the client wants the connection kept and speaks a version that keeps it unasked.
func (p *RequestParser) IsPersistent() bool { return p.minorVersion > 0 && p.isPersistent() }
