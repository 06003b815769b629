package http1

import (
	"errors"
	"strconv"
	"strings"

	"hazelwheel/internal/buffer"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/sidecar"
	"hazelwheel/policy"
)

// clientConn is a client connection that speaks HTTP/1.1.
type clientConn struct {
	sidecar.ClientConn
	front  *Frontend
	parser http1.RequestParser
	told   bool  // 100 Continue is sent
	call   *call // whose body is still on its way in; nil: none
	chunks bool  // the answer that flows goes in chunks
	minor  int   // the version of HTTP/1 that the present request came in
}

// ReadRequest sends word to a client that waits for it before it sends the body.
func (l *clientConn) ReadRequest(buf *buffer.Buffer) (bool, error) {
	if b := buf.Bytes(); !l.parser.Begun() && looksLikeThrift(b) {
		return false, errThrift
	}
	whole, err := l.parser.Next(buf)
	if !whole && err == nil && !l.told && l.parser.WantsContinue() {
		l.told = true
		l.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	ready := whole || err == nil && l.parser.HeadRead() && len(l.parser.Body) >= l.BodyBufferLimit()
	return ready, err
}

// ReadBody reads on in a body that flows.
func (l *clientConn) ReadBody(buf *buffer.Buffer) error {
	whole, err := l.parser.Next(buf)
	b := &l.call.body
	b.Buffered, b.IsComplete = append(b.Buffered, l.parser.TakeBody()...), whole
	if whole {
		l.call = nil
		l.SetKeepAlive(l.parser.Keep())
		l.parser.Rest()
	}
	return err
}

// PartialRequest counts the body, which is taken off the buffer as it comes.
func (l *clientConn) PartialRequest() (held int, begun bool) {
	return len(l.parser.Body), l.parser.Begun()
}

// Take routes a request.
func (l *clientConn) HandleRequest() {
	l.told, l.minor = false, l.parser.Minor()
	// Danger: what follows a message that is answered before it has come whole is its rest, and no request.
	l.SetKeepAlive(l.parser.Keep() && l.parser.Whole())
	l.route()
	l.parser.Rest()
}

// errThrift is the end of a link whose client has come to the wrong port. Danger: nothing that it sends need ever end a line,
// and what it is answered it can't read.
var errThrift = errors.New("connections at the HTTP port are closed that speak Thrift")

// looksLikeThrift tells whether bytes begin as Thrift's do, framed or not, and as no request of HTTP can.
func looksLikeThrift(b []byte) bool {
	if len(b) > 4 && b[0] == 0 {
		if b = b[4:]; b[0] == 0 { // the old binary protocol
			return true
		}
	}
	return len(b) > 1 && (b[0] == 0x80 && b[1] == 1 || b[0] == 0x82 && b[1]&0x1f == 1)
}

// RejectMalformed names the status of what is wrong.
func (l *clientConn) RejectMalformed(err error) {
	if errors.Is(err, errThrift) {
		l.CloseUnanswered(err.Error())
		return
	}
	var e *http1.Error
	switch {
	case errors.Is(err, sidecar.ErrRequestTimeout):
		e = &http1.Error{Status: 408, Reason: err.Error()}
	case !errors.As(err, &e):
		e = &http1.Error{Status: 400, Reason: err.Error()}
	}
	l.decline(e.Status, e.Reason)
}

// decline answers a message that is no request to decide on.
func (l *clientConn) decline(status int, why string, more ...http1.Field) {
	l.CountMalformed()
	l.respond(status, append(more, textPlain), []byte(why+"\n"))
}

// spoilt does so to a request of a class that is none to decide on.
func (l *clientConn) spoilt(class, status int, why string, more ...http1.Field) {
	l.CountInvalid(class)
	l.decline(status, why, more...)
}

var textPlain = http1.Field{Name: "Content-Type", Value: "text/plain"}

// route answers what concerns the sidecar itself, and hands on the rest.
func (l *clientConn) route() {
	p := &l.parser
	path, query, _ := strings.Cut(p.Target, "?")
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, ok := l.front.classes[name]
	drill, armed := l.drillName(path)
	switch {
	case ok:
		l.take(class)
	case path == "/ready" && p.Method == "GET" && l.Sidecar().IsDrainedByOperator():
		l.respond(503, http1.Header{textPlain}, []byte("drained by the operators\n"))
	case path == "/ready" && p.Method == "GET":
		l.respond(200, http1.Header{textPlain}, []byte("ready\n"))
	case path == "/clients" && p.Method == "GET":
		l.respond(200, http1.Header{{Name: "Content-Type", Value: "application/json"}}, l.Sidecar().ClientStatus())
	case path == "/counters" && p.Method == "GET":
		l.respond(200, http1.Header{{Name: "Content-Type", Value: "application/json"}}, l.Sidecar().Counters())
	case path == QuotaPath && p.Method == "GET":
		l.showQuotas(query)
	case armed:
		l.startDrill(drill)
	default:
		l.decline(404, "no such class of requests")
	}
}

// take checks a request of a class and hands it to the decisions.
func (l *clientConn) take(class int) {
	p, c := &l.parser, &l.front.settings.Policy.Classes[class]
	method := "POST"
	if c.Effect == policy.Safe {
		method = "GET"
	}
	id := p.Header.Get(fieldID)
	patience, ok := c.TotalTimeoutSeconds, true
	if text := p.Header.Get(fieldPatience); text != "" {
		patience, ok = parsePatience(text)
	}
	switch {
	case p.Method != method:
		l.spoilt(class, 405, "class "+c.Name+" takes "+method, http1.Field{Name: "Allow", Value: method})
	case id == "":
		l.spoilt(class, 400, fieldID+" is missing")
	case p.Header.Twice(fieldID), p.Header.Twice(fieldKey):
		l.spoilt(class, 400, fieldID+" or "+fieldKey+" comes twice: which one counts is a guess")
	case l.Sidecar().IsRequestOpen(id):
		l.spoilt(class, 409, fieldID+" is that of an open request")
	case c.Effect == policy.Keyed && p.Header.Get(fieldKey) == "":
		l.spoilt(class, 400, fieldKey+" is missing")
	case !ok:
		l.spoilt(class, 400, fieldPatience+" is not a number with m or u")
	case l.Admit(class):
		call := newCall(l.front, p, c.Name, l.RemoteAddr())
		ask := sidecar.IncomingRequest{ID: id, Class: class, Tenant: l.front.tenant(p.Header.Get(fieldTenant)), TimeoutSeconds: patience, IsRetry: p.Header.Get(fieldRetry) == "1", HeldBytes: len(p.Body), Call: call}
		if !p.Whole() {
			l.call, ask.Body = call, &call.body
			p.Body = nil // the call's from now on
		}
		l.Submit(ask)
	}
}

// ForwardResponse passes on a server's answer.
func (l *clientConn) ForwardResponse(x sidecar.Exchange) {
	h := x.(*exchange)
	l.MarkServed()
	l.respond(h.parser.Status, h.header(), h.parser.Body)
}

var _ sidecar.StreamResponder = (*clientConn)(nil)

// ForwardHead passes on the begin of an answer whose end has not come.
func (l *clientConn) ForwardHead(x sidecar.Exchange) {
	p, h := &x.(*exchange).parser, x.(*exchange).header()
	l.MarkServed()
	length := p.Length()
	l.chunks = length < 0 && l.minor > 0
	if l.chunks {
		h = append(h[:len(h):len(h)], http1.Chunked)
	}
	dst, last, there := l.BeginStream(length < 0 && !l.chunks)
	if !there {
		return
	}
	if last {
		h = append(h[:len(h):len(h)], http1.Field{Name: "Connection", Value: "close"})
	}
	l.WriteStream(l.appendPart(http1.AppendResponseHead(dst, p.Status, h, length), p.TakeBody()))
}

// ForwardBody passes on what has come since.
func (l *clientConn) ForwardBody(x sidecar.Exchange, last bool) {
	dst := l.appendPart(l.ScratchBuffer(), x.(*exchange).parser.TakeBody())
	if last && l.chunks {
		dst = http1.AppendLastChunk(dst)
	}
	l.WriteStream(dst)
}

func (l *clientConn) appendPart(dst, part []byte) []byte {
	if l.chunks {
		return http1.AppendChunk(dst, part)
	}
	return append(dst, part...)
}

// Throttle refuses.
func (l *clientConn) Throttle(retryAfterS float64) {
	h := http1.Header{textPlain}
	if l.front.settings.RetryAfter {
		after := strconv.FormatFloat(max(retryAfterS, 0), 'f', 3, 64)
		h = append(h, http1.Field{Name: fieldRetryAfter, Value: after})
	}
	l.respond(503, h, []byte("throttled\n"))
}

// Fail says that there is no answer.
func (l *clientConn) Fail(late bool) {
	if late {
		l.respond(504, http1.Header{textPlain}, []byte("no answer in time\n"))
		return
	}
	l.respond(502, http1.Header{textPlain}, []byte("no answer\n"))
}

// respond answers, and tells the client where the answer is the last.
func (l *clientConn) respond(status int, h http1.Header, body []byte) {
	dst, last, there := l.BeginResponse(true)
	if !there {
		return
	}
	if last {
		h = append(h[:len(h):len(h)], http1.Field{Name: "Connection", Value: "close"})
	}
	l.EndResponse(http1.AppendResponse(dst, status, h, body))
}
