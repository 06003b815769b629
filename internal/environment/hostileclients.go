package environment

import (
	"math"
	"math/rand/v2"
	"strconv"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/netio"
)

// HostileClients are the clients beside one sidecar that must not be served: they send malformed requests, or nothing. They
// send at full speed and read what they are sent. Some kinds send valid requests in unusual ways, which may be served. It
// implements netio.Handler.
type HostileClients struct {
	number      int32
	day         *Day
	application *Application
	observer    checker.Observer
	rng         *rand.Rand
	net         netio.EventLoop
	tasks       schedule[hostileTask]
	earlyWaves  []*wave // of Connect calls before Start
	alarmAt     float64
	lastVisit   uint64
	buffer      []byte
}

// wave is a period in which hostile clients connect.
type wave struct {
	ratePerSecond, until float64
	isSilent             bool
}

// hostileKind is what a hostile client does.
type hostileKind uint8

const (
	sendsNoise hostileKind = iota
	sendsEndlessHead
	sendsOddLength
	sendsNegativeLength
	sendsHugeBody
	requestsUnknownClass
	requestsOddDeadline
	requestsWithoutID
	requestsWithOthersID
	requestsHalf
	smugglesRequest
	pipelinesRequests // several valid requests at once
	retriesAtOnce     // a valid request, sent again at once when it is rejected
	hostileKindCount
	staysSilent = hostileKindCount
)

// Limits of what a hostile client does.
const (
	maxPieces            = 64   // of an endless head or body
	pieceIntervalSeconds = 0.01 // between two
	maxImmediateRetries  = 20
	maxPipelined         = 4 // requests sent at once
	answerDueSeconds     = 3.0
	hugeAnswerDueSeconds = 6.0
	hostileConnSeconds   = 8.0 // then it closes its connection
	pieceBytes           = 16 << 10
	hugeBody             = 60_000_000
	hostileDialSeconds   = 0.5 // dial time-out
	retryTimeoutSeconds  = 1.0 // time-out of each request
)

// hostileConn is one hostile client with its connection.
type hostileConn struct {
	kind       hostileKind
	conn       netio.Conn
	number     uint64
	parser     http1.ResponseParser
	buf        http1.Buffer
	sentPieces int
	id         uint64   // of its request, if that is valid
	pendingIDs []uint64 // of pipelined requests without an answer, in their order
	requests   int
	isAnswered bool
	isObserved bool // HostileConnected was reported
}

type hostileTask struct {
	wave   *wave        // its next client is due
	conn   *hostileConn // sends its next piece, or closes
	closes bool
}

// NewHostileClients returns the hostile clients beside a sidecar. None connects before Connect is called.
func NewHostileClients(day *Day, sidecar int, app *Application, observer checker.Observer) *HostileClients {
	return &HostileClients{
		number:      int32(sidecar),
		day:         day,
		application: app,
		observer:    observer,
		rng:         randomStream(day.Seed, "mischief", sidecar),
		alarmAt:     math.Inf(1),
	}
}

// Boot returns the clients' process.
func (h *HostileClients) Boot(net netio.EventLoop) netio.Handler {
	h.net = net
	return h
}

// Start starts the waves of earlier Connect calls.
func (h *HostileClients) Start() {
	for _, w := range h.earlyWaves {
		h.startWave(w)
	}
	h.earlyWaves = nil
}

// Connect has so many hostile clients a second connect until a time; silent ones send nothing.
//
// Danger: in real time a fault can start before the machine has, and there is no event loop to post to yet; its clients
// connect from Start on.
func (h *HostileClients) Connect(ratePerSecond, until float64, isSilent bool) {
	w := &wave{ratePerSecond, until, isSilent}
	if h.net == nil {
		h.earlyWaves = append(h.earlyWaves, w)
		return
	}
	h.net.Post(func() { h.startWave(w) })
}

// startWave has the first client of a wave connect at once.
func (h *HostileClients) startWave(w *wave) {
	h.tasks.add(h.net.Now(), hostileTask{wave: w})
	h.updateAlarm()
}

// Alarm does what is due.
func (h *HostileClients) Alarm() {
	h.alarmAt = math.Inf(1)
	now := h.net.Now()
	for {
		task, _, ok := h.tasks.pop(now)
		if !ok {
			break
		}
		switch {
		case task.wave != nil:
			if now < task.wave.until {
				h.connect(task.wave.isSilent, now)
				h.tasks.add(now+h.rng.ExpFloat64()/task.wave.ratePerSecond, task)
			}
		case task.conn.conn == nil:
		case task.closes:
			h.net.Close(task.conn.conn)
		default:
			h.sendPiece(task.conn, now)
		}
	}
	h.updateAlarm()
}

// updateAlarm sets the alarm for what is due next.
func (h *HostileClients) updateAlarm() {
	if at := h.tasks.nextAt(); at != h.alarmAt && at < math.Inf(1) {
		h.alarmAt = at
		h.net.SetAlarm(at)
	}
}

// connect dials a connection for a client of a drawn kind.
func (h *HostileClients) connect(isSilent bool, now float64) {
	h.lastVisit++
	conn := &hostileConn{kind: hostileKind(h.rng.IntN(int(hostileKindCount))), number: uint64(h.number+1)<<48 | 1<<40 | h.lastVisit, parser: http1.NewResponseParser(messageLimits)}
	if isSilent {
		conn.kind = staysSilent
	}
	h.net.Dial(h.address(conn), now+hostileDialSeconds, conn, func(error) {})
}

// address returns the address that a client dials. Where there is a Thrift port, every other client without a valid request
// dials that.
func (h *HostileClients) address(conn *hostileConn) string {
	at := h.day.Sidecars[h.number].Address
	if h.day.Protocol.IsThrift() && !conn.isServable() && conn.kind != requestsWithOthersID && conn.number&1 == 0 {
		return ThriftAddress(at)
	}
	return at
}

// Open reports a hostile client and sends its first bytes.
func (h *HostileClients) Open(c netio.Conn) bool {
	conn := c.Context().(*hostileConn)
	conn.conn = c
	now := h.net.Now()
	h.tasks.add(now+hostileConnSeconds, hostileTask{conn: conn, closes: true})
	if conn.kind == requestsWithOthersID {
		var open bool
		if conn.id, open = h.application.pendingRequestID(); !open {
			return false // there is no id to use
		}
	}
	if !conn.isServable() && conn.kind != requestsHalf {
		e := h.event(checker.HostileConnected, conn)
		if e.Deadline = now + answerDueSeconds; conn.kind == sendsHugeBody {
			e.Deadline = now + hugeAnswerDueSeconds
		}
		h.observer.Observe(e)
		conn.isObserved = true
	}
	h.sendFirst(conn, now)
	h.updateAlarm()
	return true
}

// event returns an event of a connection and its request.
func (h *HostileClients) event(kind checker.Kind, conn *hostileConn) checker.Event {
	now := h.net.Now()
	return checker.Event{Kind: kind, At: now, FirstSent: now, Sent: now, Sidecar: h.number, Server: -1, Class: -1, Connection: conn.number, Request: conn.id}
}

// sendFirst sends what a client has connected for.
func (h *HostileClients) sendFirst(conn *hostileConn, now float64) {
	usesThrift := h.address(conn) != h.day.Sidecars[h.number].Address
	if usesThrift && h.sendMalformedCall(conn, now, h.classOf(checker.Unsafe)) {
		return
	}
	switch conn.kind {
	case retriesAtOnce:
		h.sendValid(conn, now)
		return
	case pipelinesRequests:
		h.sendPipelined(conn, now)
		return
	}
	h.buffer = h.appendHostileRequest(h.buffer[:0], conn)
	switch conn.kind {
	case sendsEndlessHead, sendsHugeBody:
		h.tasks.add(now, hostileTask{conn: conn})
	case requestsHalf:
		h.tasks.add(now+h.rng.Float64(), hostileTask{conn: conn, closes: true})
	}
	if len(h.buffer) > 0 {
		conn.conn.Write(h.buffer) // a connection that breaks here is closed by the network
	}
}

// appendHostileRequest appends the first bytes of a client that must not be served.
func (h *HostileClients) appendHostileRequest(out []byte, conn *hostileConn) []byte {
	switch conn.kind {
	case sendsNoise:
		for range 20 + h.rng.IntN(300) {
			out = append(out, byte(h.rng.Uint32()))
		}
		return append(out, "\r\n\r\n"...)
	case sendsEndlessHead:
		return h.appendGet(out)
	case sendsOddLength:
		return append(h.appendPost(out), "Content-Length: twelve\r\n\r\nabc"...)
	case sendsNegativeLength:
		return append(h.appendPost(out), "Content-Length: -12\r\n\r\nabc"...)
	case sendsHugeBody:
		out = append(h.appendPost(out), "Content-Length: "...)
		return append(strconv.AppendInt(out, hugeBody, 10), "\r\n\r\n"...)
	case requestsUnknownClass:
		out = append(out, "GET /no-such-class HTTP/1.1\r\nHost: h\r\n"...)
		return append(h.appendNewID(out), "\r\n"...)
	case requestsOddDeadline:
		return append(h.appendNewID(h.appendGet(out)), fieldTimeout+": soon\r\n\r\n"...)
	case requestsWithoutID:
		return append(h.appendGet(out), "\r\n"...)
	case requestsWithOthersID:
		out = append(h.appendGet(out), fieldID+": "...)
		return append(appendID(out, conn.id), "\r\n\r\n"...)
	case requestsHalf:
		return append(h.appendPost(out), "Content-Length: 100\r\n\r\nhalf"...)
	case smugglesRequest:
		out = append(h.appendPost(out), "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"...)
		return append(h.appendPost(out), "Content-Length: 0\r\n\r\n"...)
	}
	return out
}

// appendGet appends the start of a request of a safe class, without an id.
func (h *HostileClients) appendGet(out []byte) []byte {
	return append(append(append(out, "GET /"...), h.classOf(checker.Safe)...), " HTTP/1.1\r\nHost: h\r\n"...)
}

// appendPost appends the start of a request of an unsafe class, with a new id.
func (h *HostileClients) appendPost(out []byte) []byte {
	out = append(append(append(out, "POST /"...), h.classOf(checker.Unsafe)...), " HTTP/1.1\r\nHost: h\r\n"...)
	return h.appendNewID(out)
}

// appendNewID appends an id that no client uses.
func (h *HostileClients) appendNewID(out []byte) []byte {
	return append(appendID(append(out, fieldID+": "...), h.rng.Uint64()|1), "\r\n"...)
}

// classOf returns the first class with an effect, or the first of all.
func (h *HostileClients) classOf(effect checker.Effect) string {
	for _, class := range h.day.Classes {
		if class.Effect == effect {
			return class.Name
		}
	}
	return h.day.Classes[0].Name
}

// isServable reports whether the client's requests are valid and may be served.
func (c *hostileConn) isServable() bool {
	return c.kind == retriesAtOnce || c.kind == pipelinesRequests
}

// sendPiece sends the next piece of an endless head or body.
func (h *HostileClients) sendPiece(conn *hostileConn, now float64) {
	if conn.sentPieces++; conn.sentPieces > maxPieces {
		return
	}
	if conn.conn.OutboundBuffered() == 0 {
		out := h.buffer[:0]
		if conn.kind == sendsEndlessHead {
			out = append(append(out, "X-Fill-"...), bodyText[:500]...)
			for i := range out {
				if out[i] == '=' || out[i] == ';' {
					out[i] = 'a'
				}
			}
			out = append(out, ": a\r\n"...)
		} else {
			for len(out) < pieceBytes {
				out = append(out, bodyText...)
			}
		}
		h.buffer = out
		conn.conn.Write(out)
	}
	h.tasks.add(now+pieceIntervalSeconds, hostileTask{conn: conn})
}

// Traffic reads what the sidecar sends to a hostile client.
func (h *HostileClients) Traffic(c netio.Conn, data []byte) {
	conn := c.Context().(*hostileConn)
	if conn.isAnswered {
		return
	}
	conn.buf.Write(data)
	if conn.kind == pipelinesRequests {
		h.readPipelined(conn)
		h.updateAlarm()
		return
	}
	done, err := conn.parser.Next(&conn.buf)
	if conn.kind == retriesAtOnce {
		if err != nil {
			h.observer.Observe(h.event(checker.ResponseTruncated, conn))
			conn.id = 0
			h.net.Close(c)
		} else if done {
			h.retryRejected(conn)
		}
		h.updateAlarm()
		return
	}
	if err != nil || done {
		e := h.event(checker.HostileAnswered, conn)
		e.Status = int32(conn.parser.Status)
		h.observer.Observe(e)
		conn.isAnswered = true
		h.net.Close(c)
	}
	h.updateAlarm()
}

// Closed reports the end of a hostile client's connection.
func (h *HostileClients) Closed(c netio.Conn, err error) {
	conn := c.Context().(*hostileConn)
	conn.conn = nil
	switch {
	case conn.kind == pipelinesRequests:
		h.pipelineClosed(c, conn, err)
	case conn.kind == retriesAtOnce && conn.id != 0 && err == nil:
		h.observer.Observe(h.event(checker.RequestAbandoned, conn))
	case conn.kind == retriesAtOnce && conn.id != 0 && conn.parser.HasBegun():
		h.observer.Observe(h.event(checker.ResponseTruncated, conn))
	case conn.kind == retriesAtOnce && conn.id != 0:
		e := h.event(checker.ConnectionDropped, conn)
		e.Reused, e.WasRead = conn.requests > 1, readByPeer(c)
		h.observer.Observe(e)
	case conn.kind != retriesAtOnce && conn.kind != requestsHalf && err != nil && conn.isObserved:
		h.observer.Observe(h.event(checker.HostileClosed, conn))
	}
	h.updateAlarm()
}
