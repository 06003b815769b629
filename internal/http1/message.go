// Package http1 reads and writes HTTP/1.1 messages. Its parsers take bytes as they come and know no
// sockets.
package http1

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"hazelwheel/internal/buffer"
)

// Buffer is what the parsers read from.
type Buffer = buffer.Buffer

// Error says why a message can't be read, with the status that tells a client so.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("http: %s (%d)", e.Reason, e.Status) }

func malformed(reason string) error { return &Error{400, reason} }

// Limits bound what a message may take.
type Limits struct {
	HeadBytes         int // bytes of the first line and the header fields; also of a chunked body's trailers
	BufferedBodyBytes int // bytes of the body that are held
	// Total is how long a body may be that the reader takes off by TakeBody as it comes; 0: no longer than Body.
	StreamedBodyBytes int
}

// most is how long a body may be.
func (l *Limits) maxBodyBytes() int { return max(l.BufferedBodyBytes, l.StreamedBodyBytes) }

// Field is one header field.
type Field struct{ Name, Value string }

// Header holds header fields in their order.
type Header []Field

// Get returns the first value of a field, "" if it is absent.
func (h Header) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Twice tells whether a field comes more than once.
func (h Header) IsRepeated(name string) bool {
	n := 0
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			n++
		}
	}
	return n > 1
}

// has tells whether a comma-separated field holds a token.
func (h Header) containsToken(name, token string) bool {
	for _, f := range h {
		if !strings.EqualFold(f.Name, name) {
			continue
		}
		for part := range strings.SplitSeq(f.Value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// hopByHop are the fields that concern one connection alone, and those that framing writes anew, by the length of their
// names.
var hopByHopFields = func() (by [32][]string) {
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"} {
		by[len(name)] = append(by[len(name)], name)
	}
	return by
}()

// HopByHop tells whether a field is of one connection or its framing, whatever Connection says.
func IsHopByHop(name string) bool {
	if len(name) >= len(hopByHopFields) {
		return false
	}
	for _, other := range hopByHopFields[len(name)] {
		if strings.EqualFold(name, other) {
			return true
		}
	}
	return false
}

// EndToEnd returns the fields that a proxy passes on; of those that Connection names, only the ones in spite. The result
// is the caller's.
func (h Header) EndToEnd(except ...string) Header {
	kept := make(Header, 0, len(h)+1)
	hasConnection := h.Get("Connection") != ""
	for _, f := range h {
		named := func(name string) bool { return strings.EqualFold(name, f.Name) }
		if !IsHopByHop(f.Name) && (!hasConnection || !h.containsToken("Connection", f.Name) || slices.ContainsFunc(except, named)) {
			kept = append(kept, f)
		}
	}
	return kept
}

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

// nextLine takes one line off buf, without its end.
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
	// A bare line feed is an end to some readers and not to others: two that disagree see two messages.
	if end == 0 || raw[end-1] != '\r' {
		return nil, false, malformed("line without carriage return")
	}
	m.scannedBytes = 0
	buf.Discard(end + 1)
	return raw[:end-1], true, nil
}

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

// readHead takes lines until the head is whole.
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

// readWholeHead takes a head that is there whole, as most are, off the buffer at once: its lines are parts of one text.
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
	if m.startLine == "" { // empty lines alone
		buf.Discard(len(text))
		return false, nil
	}
	buf.Discard(end + len(headEnd))
	return true, nil
}

var headEnd = []byte("\r\n\r\n")

// usualFields is the room for header fields that most messages need.
const typicalFieldCount = 8

// headLine takes a line of the head, but for the one that ends it.
func (m *message) addHeadLine(line string) error {
	switch {
	case m.startLine == "" && line == "": // an empty line before a message means nothing
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

// Token tells whether a name is one that a header field can have.
func IsToken(name string) bool { return isToken(name) }

// token tells whether b is a token as RFC 9110 has it.
func isToken[T ~string | ~[]byte](b T) bool {
	for i := range len(b) {
		c := b[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

// frame finds how the body is delimited; none is the stage of a message that names no length.
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
		return malformed("length and chunks") // where readers choose differently a request can be smuggled
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

// readBody takes what has come of the body.
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

func (m *message) appendBody(buf *Buffer, limit int) int {
	n := min(limit, buf.Len())
	m.Body = append(m.Body, buf.Bytes()[:n]...)
	m.receivedBody += n
	buf.Discard(n)
	return n
}

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

// HeadRead tells whether the first line and the header fields are there.
func (m *message) IsHeadComplete() bool { return m.stage != inHead }

// Whole tells whether the message has come to its end.
func (m *message) IsComplete() bool { return m.stage == complete }

// Length returns how long the body is in all; -1: that is not told beforehand.
func (m *message) BodyLength() int { return m.declaredLength }

// Came returns how many bytes of the body have come.
func (m *message) ReceivedBodyBytes() int { return m.receivedBody }

// TakeBody returns what has come of the body since it was called last. It is valid until the next call of Next.
func (m *message) TakeBody() []byte {
	body := m.Body
	m.Body = m.Body[:0]
	return body
}

// keep tells whether the connection stays open after the message.
func (m *message) isPersistent() bool {
	return !m.Header.containsToken("Connection", "close") && (m.minorVersion > 0 || m.Header.containsToken("Connection", "keep-alive"))
}

// version reads HTTP/1.x.
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

// AppendFields appends header fields.
func AppendFields(dst []byte, h Header) []byte {
	for _, f := range h {
		dst = append(append(append(append(dst, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	return dst
}

// AppendHeader appends header fields and the empty line after them, with the length of a body.
func AppendHeader(dst []byte, h Header, length int) []byte {
	return appendHeadEnd(AppendFields(dst, h), length)
}

// appendEnd appends the length of a body, if it is not negative, and the empty line.
func appendHeadEnd(dst []byte, length int) []byte {
	if length >= 0 {
		dst = append(dst, "Content-Length: "...)
		dst = append(strconv.AppendInt(dst, int64(length), 10), "\r\n"...)
	}
	return append(dst, "\r\n"...)
}

// AppendRequest appends a request. Without a body its length is not written.
func AppendRequest(dst []byte, method, target string, h Header, body []byte) []byte {
	return AppendRequestEnd(AppendFields(AppendRequestLine(dst, method, target), h), method, body)
}

// AppendFirst appends a request's first line; header fields follow.
func AppendRequestLine(dst []byte, method, target string) []byte {
	return append(append(append(append(dst, method...), ' '), target...), " HTTP/1.1\r\n"...)
}

// AppendRest appends what follows the header fields of a request.
func AppendRequestEnd(dst []byte, method string, body []byte) []byte {
	length := len(body)
	if length == 0 && method == "GET" {
		length = -1
	}
	return append(appendHeadEnd(dst, length), body...)
}

// AppendResponse appends a response; its reason phrase is left empty.
func AppendResponse(dst []byte, status int, h Header, body []byte) []byte {
	return append(AppendResponseHead(dst, status, h, len(body)), body...)
}

// AppendResponseHead appends what comes before a response's body. Without a length, which is negative then, the header must
// tell how the body ends.
func AppendResponseHead(dst []byte, status int, h Header, length int) []byte {
	dst = strconv.AppendInt(append(dst, "HTTP/1.1 "...), int64(status), 10)
	return AppendHeader(append(dst, " \r\n"...), h, length)
}

// Chunked is the field that says that a body comes in chunks.
var ChunkedField = Field{Name: "Transfer-Encoding", Value: "chunked"}

// AppendChunk appends a part of a body as a chunk; an empty part is none.
func AppendChunk(dst, data []byte) []byte {
	if len(data) == 0 {
		return dst
	}
	dst = append(strconv.AppendInt(dst, int64(len(data)), 16), "\r\n"...)
	return append(append(dst, data...), "\r\n"...)
}

// AppendLastChunk appends the end of a body in chunks.
func AppendLastChunk(dst []byte) []byte { return append(dst, "0\r\n\r\n"...) }
