package environment

import (
	"math"
	"math/rand/v2"
	"strconv"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/netio"
)

// Mischief is the clients beside one sidecar that may not be served: they send what nobody can use, or say nothing.
// They send at full speed and read what they are sent.
type HostileClients struct {
	number     int32
	day        *Day
	app        *Application
	observer   checker.Observer
	rng        *rand.Rand
	net        netio.EventLoop
	tasks      schedule[hostileTask]
	earlyWaves []*wave // told before the machine's program had begun
	armed      float64
	lastVisit  uint64
	out        []byte
}

// wave is a time in which such clients come.
type wave struct {
	ratePerSecond, until float64
	isSilent             bool
}

// The ways of clients that may not be served.
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
	pipelinesRequests // several requests at once, which may be served, one after the other
	retriesAtOnce     // what it asks may be served; it is the same once more, at once, when it is refused
	hostileKindCount
	staysSilent = hostileKindCount
)

// What such a client does at most.
const (
	maxPieces            = 64   // of an endless head or body
	pieceIntervalSeconds = 0.01 // between two
	maxImmediateRetries  = 20
	maxPipelined         = 4 // that are sent at once
	answerDueSeconds     = 3.0
	hugeAnswerDueSeconds = 6.0
	hostileConnSeconds   = 8.0 // then it goes by itself
	pieceBytes           = 16 << 10
	hugeBody             = 60_000_000
	hostileDialSeconds   = 0.5 // how long it waits for a connection
	retryTimeoutSeconds  = 1.0 // seconds that it gives each try
)

// visit is one such client.
type hostileConn struct {
	kind       hostileKind
	conn       netio.Conn
	number     uint64
	parser     http1.ResponseParser
	buf        http1.Buffer
	pieces     int
	id         uint64   // of its request, where that may be served
	pendingIDs []uint64 // of those that were sent at once and are not answered yet, in their order
	requests   int
	isAnswered bool
	isObserved bool // the witness knows of it
}

type hostileTask struct {
	wave   *wave        // one more is due
	conn   *hostileConn // goes on, or away
	closes bool
}

// NewMischief returns the clients beside a sidecar that may not be served. None comes before Come is called.
func NewHostileClients(d *Day, sidecar int, app *Application, w checker.Observer) *HostileClients {
	return &HostileClients{number: int32(sidecar), day: d, app: app, observer: w, rng: randomStream(d.Seed, "mischief", sidecar),
		armed: math.Inf(1)}
}

// Boot begins the machine's program.
func (m *HostileClients) Boot(net netio.EventLoop) netio.Handler {
	m.net = net
	return m
}

// Start begins the waves that Come was told of before.
func (m *HostileClients) Start() {
	for _, w := range m.earlyWaves {
		m.startWave(w)
	}
	m.earlyWaves = nil
}

// Come has so many such clients a second come until a time; silent ones say nothing. Danger: in real time a trouble can begin
// before the machine has, and there is no loop to post to yet; its clients come from Start on.
func (m *HostileClients) Connect(perS, until float64, silent bool) {
	w := &wave{perS, until, silent}
	if m.net == nil {
		m.earlyWaves = append(m.earlyWaves, w)
		return
	}
	m.net.Post(func() { m.startWave(w) })
}

// beginWave has the first client of a wave come at once.
func (m *HostileClients) startWave(w *wave) {
	m.tasks.add(m.net.Now(), hostileTask{wave: w})
	m.arm()
}

// Alarm does what is due.
func (m *HostileClients) Alarm() {
	m.armed = math.Inf(1)
	now := m.net.Now()
	for {
		t, _, ok := m.tasks.pop(now)
		if !ok {
			break
		}
		switch {
		case t.wave != nil:
			if now < t.wave.until {
				m.connect(t.wave.isSilent, now)
				m.tasks.add(now+m.rng.ExpFloat64()/t.wave.ratePerSecond, t)
			}
		case t.conn.conn == nil:
		case t.closes:
			m.net.Close(t.conn.conn)
		default:
			m.sendPiece(t.conn, now)
		}
	}
	m.arm()
}

func (m *HostileClients) arm() {
	if at := m.tasks.nextAt(); at != m.armed && at < math.Inf(1) {
		m.armed = at
		m.net.SetAlarm(at)
	}
}

func (m *HostileClients) connect(silent bool, now float64) {
	m.lastVisit++
	v := &hostileConn{kind: hostileKind(m.rng.IntN(int(hostileKindCount))), number: uint64(m.number+1)<<48 | 1<<40 | m.lastVisit, parser: http1.NewResponseParser(messageLimits)}
	if silent {
		v.kind = staysSilent
	}
	m.net.Dial(m.address(v), now+hostileDialSeconds, v, func(error) {})
}

// address returns where a client comes to. Where there is a Thrift port, those that may never be served come there by turns.
func (m *HostileClients) address(v *hostileConn) string {
	at := m.day.Sidecars[m.number].Address
	if m.day.Protocol.IsThrift() && !v.isServable() && v.kind != requestsWithOthersID && v.number&1 == 0 {
		return ThriftAddress(at)
	}
	return at
}

// Open begins what a client has come for.
func (m *HostileClients) Open(c netio.Conn) bool {
	v := c.Context().(*hostileConn)
	v.conn = c
	now := m.net.Now()
	m.tasks.add(now+hostileConnSeconds, hostileTask{conn: v, closes: true})
	if v.kind == requestsWithOthersID {
		var open bool
		if v.id, open = m.app.pendingRequestID(); !open {
			return false // there is no id to use, so nothing to ask
		}
	}
	if !v.isServable() && v.kind != requestsHalf {
		e := m.event(checker.HostileConnected, v)
		if e.Deadline = now + answerDueSeconds; v.kind == sendsHugeBody {
			e.Deadline = now + hugeAnswerDueSeconds
		}
		m.observer.Observe(e)
		v.isObserved = true
	}
	m.sendFirst(v, now)
	m.arm()
	return true
}

func (m *HostileClients) event(kind checker.Kind, v *hostileConn) checker.Event {
	now := m.net.Now()
	return checker.Event{Kind: kind, At: now, FirstSent: now, Sent: now, Sidecar: m.number, Server: -1, Class: -1, Connection: v.number, Request: v.id}
}

func (m *HostileClients) sendFirst(v *hostileConn, now float64) {
	class, unsafe := m.classOf(checker.Safe), m.classOf(checker.Unsafe)
	out := m.out[:0]
	post := func() { out = append(append(append(out, "POST /"...), unsafe...), " HTTP/1.1\r\nHost: h\r\n"...) }
	get := func() { out = append(append(append(out, "GET /"...), class...), " HTTP/1.1\r\nHost: h\r\n"...) }
	id := func() {
		out = append(appendID(append(out, fieldID+": "...), m.rng.Uint64()|1), "\r\n"...)
	}
	if m.address(v) != m.day.Sidecars[m.number].Address && m.sendMalformedCall(v, now, unsafe) {
		return
	}
	switch v.kind {
	case sendsNoise:
		for range 20 + m.rng.IntN(300) {
			out = append(out, byte(m.rng.Uint32()))
		}
		out = append(out, "\r\n\r\n"...)
	case sendsEndlessHead:
		get()
		m.tasks.add(now, hostileTask{conn: v})
	case sendsOddLength:
		post()
		id()
		out = append(out, "Content-Length: twelve\r\n\r\nabc"...)
	case sendsNegativeLength:
		post()
		id()
		out = append(out, "Content-Length: -12\r\n\r\nabc"...)
	case sendsHugeBody:
		post()
		id()
		out = append(strconv.AppendInt(append(out, "Content-Length: "...), hugeBody, 10), "\r\n\r\n"...)
		m.tasks.add(now, hostileTask{conn: v})
	case requestsUnknownClass:
		out = append(out, "GET /no-such-class HTTP/1.1\r\nHost: h\r\n"...)
		id()
		out = append(out, "\r\n"...)
	case requestsOddDeadline:
		get()
		id()
		out = append(out, fieldTimeout+": soon\r\n\r\n"...)
	case requestsWithoutID:
		get()
		out = append(out, "\r\n"...)
	case requestsWithOthersID:
		get()
		out = append(appendID(append(out, fieldID+": "...), v.id), "\r\n\r\n"...)
	case requestsHalf:
		post()
		id()
		out = append(out, "Content-Length: 100\r\n\r\nhalf"...)
		m.tasks.add(now+m.rng.Float64(), hostileTask{conn: v, closes: true})
	case smugglesRequest:
		post()
		id()
		out = append(out, "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"...)
		post()
		id()
		out = append(out, "Content-Length: 0\r\n\r\n"...)
	case retriesAtOnce:
		m.sendValid(v, now)
		return
	case pipelinesRequests:
		m.sendPipelined(v, now)
		return
	}
	m.out = out
	if len(out) > 0 {
		v.conn.Write(out) // a connection that breaks here is closed by the network
	}
}

func (m *HostileClients) classOf(effect checker.Effect) string {
	for _, c := range m.day.Classes {
		if c.Effect == effect {
			return c.Name
		}
	}
	return m.day.Classes[0].Name
}

// served tells whether what such a client asks may be served.
func (v *hostileConn) isServable() bool {
	return v.kind == retriesAtOnce || v.kind == pipelinesRequests
}

// goOn sends the next piece of what never ends.
func (m *HostileClients) sendPiece(v *hostileConn, now float64) {
	if v.pieces++; v.pieces > maxPieces {
		return
	}
	if v.conn.OutboundBuffered() == 0 {
		out := m.out[:0]
		if v.kind == sendsEndlessHead {
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
		m.out = out
		v.conn.Write(out)
	}
	m.tasks.add(now+pieceIntervalSeconds, hostileTask{conn: v})
}

// Traffic takes what such a client is sent.
func (m *HostileClients) Traffic(c netio.Conn, data []byte) {
	v := c.Context().(*hostileConn)
	if v.isAnswered {
		return
	}
	v.buf.Write(data)
	if v.kind == pipelinesRequests {
		m.readPipelined(v)
		m.arm()
		return
	}
	done, err := v.parser.Next(&v.buf)
	if v.kind == retriesAtOnce {
		if err != nil {
			m.observer.Observe(m.event(checker.ResponseTruncated, v))
			v.id = 0
			m.net.Close(c)
		} else if done {
			m.retryRejected(v)
		}
		m.arm()
		return
	}
	if err != nil || done {
		e := m.event(checker.HostileAnswered, v)
		e.Status = int32(v.parser.Status)
		m.observer.Observe(e)
		v.isAnswered = true
		m.net.Close(c)
	}
	m.arm()
}

// Closed takes the end of a connection.
func (m *HostileClients) Closed(c netio.Conn, err error) {
	v := c.Context().(*hostileConn)
	v.conn = nil
	switch {
	case v.kind == pipelinesRequests:
		m.pipelineClosed(c, v, err)
	case v.kind == retriesAtOnce && v.id != 0 && err == nil:
		m.observer.Observe(m.event(checker.RequestAbandoned, v))
	case v.kind == retriesAtOnce && v.id != 0 && v.parser.HasBegun():
		m.observer.Observe(m.event(checker.ResponseTruncated, v))
	case v.kind == retriesAtOnce && v.id != 0:
		e := m.event(checker.ConnectionDropped, v)
		e.Reused, e.WasRead = v.requests > 1, readByPeer(c)
		m.observer.Observe(e)
	case v.kind != retriesAtOnce && v.kind != requestsHalf && err != nil && v.isObserved:
		m.observer.Observe(m.event(checker.HostileClosed, v))
	}
	m.arm()
}
