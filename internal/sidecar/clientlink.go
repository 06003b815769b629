package sidecar

import (
	"errors"
	"strconv"
	"strings"

	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/netio"
	"hazelwheel/policy"
)

const (
	// mostAhead is what a client may send while its request is out; one that sends more is cut off.
	mostAhead = mostHead + mostBody
	// lingerS is how long a link that said its last is read on after the last bytes: closing it on bytes that
	// nobody has read would reset it, and the client could lose the answer. lingerMostS bounds it in all.
	lingerS     = 1.0
	lingerMostS = 4.0
	// arrivalS is how long a request may take to arrive once it has begun; a client that never ends one
	// would hold a descriptor for ever. The first on a link has arrived firstS after the link was opened.
	arrivalS = 2.5
	firstS   = 2.8
	// longestS bounds what a client may ask us to wait.
	longestS = 3600.0
)

// clientLink is a connection from the application. It speaks HTTP/1.1, one request at a time.
type clientLink struct {
	s        *Sidecar
	conn     netio.Conn
	index    int // in Sidecar.clients
	place    *admission.Link
	buf      http1.Buffer
	parser   http1.RequestParser
	request  *request // the one that is out
	keep     bool     // the client wants the link kept after it
	told     bool     // 100 Continue is sent
	last     bool     // the last answer is written
	shut     bool     // and no byte is left to send
	throng   bool     // the link is beyond the limit on descriptors
	linger   *timer
	arrival  *timer // of the request that is on its way in
	openedAt float64
	answered bool    // it has brought a request
	heardAt  float64 // when bytes last came after it was shut

	unreadFrom float64 // since when an answer waits for the client
	tookAt     float64 // when the client last took a byte of it
	untaken    int     // what it has not taken
	held       int     // bytes of the request that is out
	paused     bool    // what comes stays in the socket
}

// leaveClients takes the link from the sidecar's.
func (l *clientLink) leaveClients() {
	all := l.s.clients
	last := all[len(all)-1]
	all[l.index], last.index = last, l.index
	all[len(all)-1] = nil
	l.s.clients = all[:len(all)-1]
	l.s.room.Close(l.place)
}

func (l *clientLink) opened(netio.Conn) {}

// traffic reads what the client says.
func (l *clientLink) traffic(data []byte) {
	if l.last {
		l.heardAt = l.s.now()
		return
	}
	l.buf.Write(data)
	if l.request != nil || l.untaken > 0 {
		switch {
		case l.buf.Len() > mostAhead: // reading can't be paused here
			l.s.closeConn(l.conn)
		case l.buf.Len() > aheadBytes:
			l.pause()
			l.hold(l.buf.Len() + l.held + l.untaken)
		}
		return
	}
	if l.next(); l.conn != nil && l.request == nil && !l.last {
		if state, _ := l.place.State(); state == admission.Silent || state == admission.Resting {
			l.s.room.Move(l.s.now(), l.place, admission.Partial)
		}
		l.hold(l.buf.Len() + len(l.parser.Body))
	}
}

// next takes up the requests that have come, until one is out.
func (l *clientLink) next() {
	for l.conn != nil && l.request == nil && !l.last && l.untaken == 0 { // a link may have gone since this was queued
		whole, err := l.parser.Next(&l.buf)
		if err != nil {
			l.malformed(err)
			return
		}
		if !whole {
			l.resume()
			if l.arrival == nil && (l.buf.Len() > 0 || l.parser.Begun()) {
				by := l.s.now() + arrivalS
				if !l.answered {
					by = min(by, l.openedAt+firstS)
				}
				l.arrival = l.s.timers.at(by, func() {
					l.s.room.Wasted(l.place)
					l.malformed(&http1.Error{Status: 408, Reason: "request did not arrive"})
				})
			}
			if !l.told && l.parser.WantsContinue() {
				l.told = true
				l.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			return
		}
		l.endArrival()
		l.keep, l.told = l.parser.Keep(), false
		l.route()
		l.parser.Rest()
	}
}

// endArrival notes that no request is on its way in.
func (l *clientLink) endArrival() {
	l.s.timers.stop(l.arrival)
	l.arrival = nil
}

func (l *clientLink) malformed(err error) {
	l.endArrival()
	var e *http1.Error
	if !errors.As(err, &e) {
		e = &http1.Error{Status: 400, Reason: err.Error()}
	}
	l.keep = false
	l.decline(e.Status, e.Reason)
}

// decline answers a message that is no request to decide on.
func (l *clientLink) decline(status int, why string, more ...http1.Field) {
	l.s.counters.Malformed++
	l.respond(status, append(more, textPlain), []byte(why+"\n"))
}

var textPlain = http1.Field{Name: "Content-Type", Value: "text/plain"}

// route answers what concerns the sidecar itself, and hands on the rest.
func (l *clientLink) route() {
	p := &l.parser
	path, _, _ := strings.Cut(p.Target, "?")
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, ok := l.s.classes[name]
	drill, armed := l.s.drillName(path)
	switch {
	case ok:
		l.take(class)
	case path == "/ready" && p.Method == "GET":
		l.respond(200, http1.Header{textPlain}, []byte("ready\n"))
	case path == "/clients" && p.Method == "GET":
		l.respond(200, http1.Header{{Name: "Content-Type", Value: "application/json"}}, l.s.clientsText())
	case path == "/counters" && p.Method == "GET":
		l.respond(200, http1.Header{{Name: "Content-Type", Value: "application/json"}}, l.s.Counters())
	case path == QuotaPath && p.Method == "GET" && l.s.quotas != nil:
		l.showQuotas()
	case armed:
		l.startDrill(drill)
	default:
		l.decline(404, "no such class of requests")
	}
}

// take checks a request of a class and hands it to the decisions.
func (l *clientLink) take(class int) {
	p, c := &l.parser, &l.s.cfg.Settings.Policy.Classes[class]
	method := "POST"
	if c.Effect == policy.Safe {
		method = "GET"
	}
	id := p.Header.Get(fieldID)
	patience, ok := c.GiveUpS, true
	if text := p.Header.Get(fieldPatience); text != "" {
		patience, ok = parsePatience(text)
	}
	switch {
	case p.Method != method:
		l.decline(405, "class "+c.Name+" takes "+method, http1.Field{Name: "Allow", Value: method})
		return
	case id == "":
		l.decline(400, fieldID+" is missing")
		return
	case l.s.named[id] != nil:
		// Danger: two executions with one id look like a second copy to a server, which may drop the wrong one.
		l.decline(409, fieldID+" is that of an open request")
		return
	case c.Effect == policy.Keyed && p.Header.Get(fieldKey) == "":
		l.decline(400, fieldKey+" is missing")
		return
	case !ok:
		l.decline(400, fieldPatience+" is not a number with m or u")
		return
	case l.throng && !l.s.hasRoom(serverRoom), l.s.room.Full(l.place):
		l.turnAway("there is no room for them")
		return
	case l.s.short() && l.s.room.Greedy(l.place):
		l.s.room.Wasted(l.place)
		l.turnAway("their client has more out than its part, and there is not enough for all")
		return
	}
	ticket, within := l.withinQuota(class)
	if !within {
		return
	}
	l.s.room.Move(l.s.now(), l.place, admission.Asking)
	l.held = len(p.Body)
	l.s.room.Hold(l.place, l.held+l.buf.Len())
	waited := l.s.waited(l.conn)
	r := &request{name: id, class: c.Name, deadline: l.s.now() - waited + min(patience, longestS), call: newHTTPCall(l.s, p, c.Name, l.conn.RemoteAddr()), origin: l, quota: ticket}
	l.request = r
	l.s.take(r, policy.Request{Class: class, Held: waited, Repeat: p.Header.Get(fieldRetry) == "1"})
}

// turnAway throttles a request that is not taken up: there is no room for it, or its client has more out than its part.
func (l *clientLink) turnAway(why string) {
	l.s.counters.Requests++
	l.s.counters.Throttled++
	l.s.counters.TurnedAway++
	l.s.notice("requests are turned away: " + why)
	l.s.log.Debug("request turned away", "client", l.conn.RemoteAddr(), "why", why)
	l.keep = false
	l.throttle(l.s.cfg.Settings.Policy.MaxRetryAfterS)
}

// serve passes on a server's answer.
func (l *clientLink) serve(x exchange) {
	h := x.(*httpExchange)
	l.s.room.Served(l.place)
	l.respond(h.parser.Status, h.header(), h.parser.Body)
}

// throttle refuses.
func (l *clientLink) throttle(retryAfterS float64) {
	h := http1.Header{textPlain}
	if l.s.cfg.Settings.RetryAfter {
		after := strconv.FormatFloat(max(retryAfterS, 0), 'f', 3, 64)
		h = append(h, http1.Field{Name: fieldRetryAfter, Value: after})
	}
	l.respond(503, h, []byte("throttled\n"))
}

// fail says that there is no answer.
func (l *clientLink) fail(late bool) {
	if late {
		l.respond(504, http1.Header{textPlain}, []byte("no answer in time\n"))
		return
	}
	l.respond(502, http1.Header{textPlain}, []byte("no answer\n"))
}

// respond writes an answer and makes ready for the next request.
func (l *clientLink) respond(status int, h http1.Header, body []byte) {
	if l.request = nil; l.conn == nil {
		return
	}
	// Danger: what has come behind the request is taken, and is owed its answer here.
	if !l.keep || l.s.draining || l.s.crowded() && l.buf.Len() == 0 {
		l.last = true
		h = append(h[:len(h):len(h)], http1.Field{Name: "Connection", Value: "close"})
	}
	l.s.scratch = http1.AppendResponse(l.s.scratch[:0], status, h, body)
	l.answered = true
	if l.write(l.s.scratch); l.conn == nil {
		return
	}
	if l.conn.OutboundBuffered() > 0 {
		l.unread()
		return
	}
	l.afterAnswer()
}

// afterAnswer goes on once the client's socket has taken an answer.
func (l *clientLink) afterAnswer() {
	l.untaken, l.held = 0, 0
	if l.last {
		l.resume()
		l.finish()
		return
	}
	l.s.room.Move(l.s.now(), l.place, admission.Resting)
	l.buf.Rest()
	l.hold(l.buf.Len())
	// The next request may be in the buffer already; it is taken up as an event of its own.
	if l.conn == nil {
		return
	}
	if l.buf.Len() > 0 {
		l.s.push(func(float64) { l.next() })
	} else {
		l.resume()
	}
}

func (l *clientLink) write(b []byte) {
	l.conn.Write(b) // gnet keeps what the socket does not take, and closes the link on an error
}

// finish ends the link after its last answer, which the socket has taken: no more is sent, and what comes is read and
// dropped until the client has closed or the time is over.
func (l *clientLink) finish() {
	if l.conn == nil || l.shut {
		return
	}
	now := l.s.now()
	l.shut = true
	l.s.room.Move(now, l.place, admission.Ending)
	l.s.room.Hold(l.place, 0)
	l.linger = l.s.timers.at(now+lingerS, func() { l.leave(now + lingerMostS) })
	l.s.net.CloseWrite(l.conn)
}

// leave closes a link that lingers once its client has been silent for a while, at the latest at the given time.
func (l *clientLink) leave(latest float64) {
	if at := min(l.heardAt+lingerS, latest); at > l.s.now() {
		l.linger = l.s.timers.at(at, func() { l.leave(latest) })
		return
	}
	l.s.closeConn(l.conn)
}

// idle tells whether nothing of a request has come and none is out.
func (l *clientLink) idle() bool {
	return l.request == nil && !l.last && l.untaken == 0 && l.buf.Len() == 0 && !l.parser.Begun()
}

// ended takes the client's departure.
func (l *clientLink) ended(error) {
	l.conn = nil
	l.s.timers.stop(l.linger)
	l.endArrival()
	l.leaveClients()
	if r := l.request; r != nil {
		l.request = nil
		l.s.abandoned(r)
	}
}
