package environment

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/netio"
)

// Mischief is the clients beside one sidecar that may not be served: they send what nobody can use, or say nothing.
// They send at full speed and read what they are sent.
type HostileClients struct {
	number  int32
	day     *Day
	app     *Application
	witness checker.Observer
	rng     *rand.Rand
	net     netio.EventLoop
	due     agenda[mischiefTask]
	early   []*wave // told before the machine's program had begun
	armed   float64
	visits  uint64
	out     []byte
}

// wave is a time in which such clients come.
type wave struct {
	perS, until float64
	silent      bool
}

// The ways of clients that may not be served.
type malice uint8

const (
	sendsNoise malice = iota
	sendsEndlessHead
	sendsOddLength
	sendsNegativeLength
	sendsHugeBody
	asksNoClass
	asksOddDeadline
	asksWithoutID
	asksWithOthersID
	asksHalf
	hidesAnother
	asksAhead // several requests at once, which may be served, one after the other
	asksAgain // what it asks may be served; it is the same once more, at once, when it is refused
	malices
	saysNothing = malices
)

// What such a client does at most.
const (
	mostPieces   = 64   // of an endless head or body
	pieceEveryS  = 0.01 // between two
	mostAgain    = 20
	mostAhead    = 4 // that are sent at once
	owedS        = 3.0
	owedHugeS    = 6.0
	visitS       = 8.0 // then it goes by itself
	pieceBytes   = 16 << 10
	hugeBody     = 60_000_000
	visitRoundS  = 0.5 // how long it waits for a connection
	againPatient = 1.0 // seconds that it gives each try
)

// visit is one such client.
type visit struct {
	kind   malice
	conn   netio.Conn
	number uint64
	parser http1.ResponseParser
	buf    http1.Buffer
	pieces int
	id     uint64   // of its request, where that may be served
	ids    []uint64 // of those that were sent at once and are not answered yet, in their order
	tries  int
	heard  bool
	told   bool // the witness knows of it
}

type mischiefTask struct {
	wave  *wave  // one more is due
	visit *visit // goes on, or away
	leave bool
}

// NewMischief returns the clients beside a sidecar that may not be served. None comes before Come is called.
func NewHostileClients(d *Day, sidecar int, app *Application, w checker.Observer) *HostileClients {
	return &HostileClients{number: int32(sidecar), day: d, app: app, witness: w, rng: stream(d.Seed, "mischief", sidecar),
		armed: math.Inf(1)}
}

// Boot begins the machine's program.
func (m *HostileClients) Boot(net netio.EventLoop) netio.Handler {
	m.net = net
	return m
}

// Start begins the waves that Come was told of before.
func (m *HostileClients) Start() {
	for _, w := range m.early {
		m.beginWave(w)
	}
	m.early = nil
}

// Come has so many such clients a second come until a time; silent ones say nothing. Danger: in real time a trouble can begin
// before the machine has, and there is no loop to post to yet; its clients come from Start on.
func (m *HostileClients) Connect(perS, until float64, silent bool) {
	w := &wave{perS, until, silent}
	if m.net == nil {
		m.early = append(m.early, w)
		return
	}
	m.net.Post(func() { m.beginWave(w) })
}

// beginWave has the first client of a wave come at once.
func (m *HostileClients) beginWave(w *wave) {
	m.due.put(m.net.Now(), mischiefTask{wave: w})
	m.arm()
}

// Alarm does what is due.
func (m *HostileClients) Alarm() {
	m.armed = math.Inf(1)
	now := m.net.Now()
	for {
		t, _, ok := m.due.take(now)
		if !ok {
			break
		}
		switch {
		case t.wave != nil:
			if now < t.wave.until {
				m.visit(t.wave.silent, now)
				m.due.put(now+m.rng.ExpFloat64()/t.wave.perS, t)
			}
		case t.visit.conn == nil:
		case t.leave:
			m.net.Close(t.visit.conn)
		default:
			m.goOn(t.visit, now)
		}
	}
	m.arm()
}

func (m *HostileClients) arm() {
	if at := m.due.next(); at != m.armed && at < math.Inf(1) {
		m.armed = at
		m.net.SetAlarm(at)
	}
}

func (m *HostileClients) visit(silent bool, now float64) {
	m.visits++
	v := &visit{kind: malice(m.rng.IntN(int(malices))), number: uint64(m.number+1)<<48 | 1<<40 | m.visits, parser: http1.NewResponseParser(messageLimits)}
	if silent {
		v.kind = saysNothing
	}
	m.net.Dial(m.address(v), now+visitRoundS, v, func(error) {})
}

// address returns where a client comes to. Where there is a Thrift port, those that may never be served come there by turns.
func (m *HostileClients) address(v *visit) string {
	at := m.day.Sidecars[m.number].Address
	if m.day.Protocol.IsThrift() && !v.served() && v.kind != asksWithOthersID && v.number&1 == 0 {
		return ThriftAddress(at)
	}
	return at
}

// Open begins what a client has come for.
func (m *HostileClients) Open(c netio.Conn) bool {
	v := c.Context().(*visit)
	v.conn = c
	now := m.net.Now()
	m.due.put(now+visitS, mischiefTask{visit: v, leave: true})
	if v.kind == asksWithOthersID {
		var open bool
		if v.id, open = m.app.openID(); !open {
			return false // there is no id to use, so nothing to ask
		}
	}
	if !v.served() && v.kind != asksHalf {
		e := m.see(checker.HostileConnected, v)
		if e.Deadline = now + owedS; v.kind == sendsHugeBody {
			e.Deadline = now + owedHugeS
		}
		m.witness.Observe(e)
		v.told = true
	}
	m.begin(v, now)
	m.arm()
	return true
}

func (m *HostileClients) see(kind checker.Kind, v *visit) checker.Event {
	now := m.net.Now()
	return checker.Event{Kind: kind, At: now, FirstSent: now, Sent: now, Sidecar: m.number, Server: -1, Class: -1, Connection: v.number, Request: v.id}
}

func (m *HostileClients) begin(v *visit, now float64) {
	class, unsafe := m.classOf(checker.Safe), m.classOf(checker.Unsafe)
	out := m.out[:0]
	post := func() { out = append(append(append(out, "POST /"...), unsafe...), " HTTP/1.1\r\nHost: h\r\n"...) }
	get := func() { out = append(append(append(out, "GET /"...), class...), " HTTP/1.1\r\nHost: h\r\n"...) }
	id := func() {
		out = append(appendID(append(out, fieldID+": "...), m.rng.Uint64()|1), "\r\n"...)
	}
	if m.address(v) != m.day.Sidecars[m.number].Address && m.bad(v, now, unsafe) {
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
		m.due.put(now, mischiefTask{visit: v})
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
		m.due.put(now, mischiefTask{visit: v})
	case asksNoClass:
		out = append(out, "GET /no-such-class HTTP/1.1\r\nHost: h\r\n"...)
		id()
		out = append(out, "\r\n"...)
	case asksOddDeadline:
		get()
		id()
		out = append(out, fieldPatience+": soon\r\n\r\n"...)
	case asksWithoutID:
		get()
		out = append(out, "\r\n"...)
	case asksWithOthersID:
		get()
		out = append(appendID(append(out, fieldID+": "...), v.id), "\r\n\r\n"...)
	case asksHalf:
		post()
		id()
		out = append(out, "Content-Length: 100\r\n\r\nhalf"...)
		m.due.put(now+m.rng.Float64(), mischiefTask{visit: v, leave: true})
	case hidesAnother:
		post()
		id()
		out = append(out, "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"...)
		post()
		id()
		out = append(out, "Content-Length: 0\r\n\r\n"...)
	case asksAgain:
		m.ask(v, now)
		return
	case asksAhead:
		m.askAhead(v, now)
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

// ask asks for something that may be served.
func (m *HostileClients) ask(v *visit, now float64) {
	class := 0
	for class < len(m.day.Classes)-1 && m.day.Classes[class].Effect != checker.Safe {
		class++
	}
	v.tries++
	v.id = m.rng.Uint64() | 1
	// Danger: a parser that has read an answer takes the next one for the same answer's body.
	v.parser = http1.NewResponseParser(messageLimits)
	e := m.see(checker.RequestStarted, v)
	e.FirstRequest, e.Class, e.Deadline, e.Uncounted = v.id, int32(class), now+againPatient, true
	m.witness.Observe(e)
	out := append(append(append(m.out[:0], "GET /"...), m.day.Classes[class].Name...), " HTTP/1.1\r\nHost: h\r\nRequest-Id: "...)
	out = append(appendID(out, v.id), "\r\nRequest-Timeout: 1000m\r\n\r\n"...)
	m.out = out
	conn := v.conn
	if _, err := conn.Write(out); err == nil && v.conn == conn && conn.OutboundBuffered() == 0 {
		e.Kind, e.Reused = checker.RequestSent, v.tries > 1
		m.witness.Observe(e)
	}
}

// served tells whether what such a client asks may be served.
func (v *visit) served() bool { return v.kind == asksAgain || v.kind == asksAhead }

// askAhead sends several requests that may be served at once, without waiting for the answers between.
func (m *HostileClients) askAhead(v *visit, now float64) {
	class := m.classOf(checker.Safe)
	number := slices.IndexFunc(m.day.Classes, func(c ClassSpec) bool { return c.Name == class })
	var out []byte
	var asked []checker.Event
	for range 2 + m.rng.IntN(mostAhead-1) {
		v.id = m.rng.Uint64() | 1
		v.ids = append(v.ids, v.id)
		e := m.see(checker.RequestStarted, v)
		e.FirstRequest, e.Class, e.Deadline, e.Uncounted = v.id, int32(number), now+againPatient, true
		m.witness.Observe(e)
		asked = append(asked, e)
		out = append(append(append(out, "GET /"...), class...), " HTTP/1.1\r\nHost: h\r\nRequest-Id: "...)
		out = append(appendID(out, v.id), "\r\nRequest-Timeout: 1000m\r\n\r\n"...)
	}
	conn := v.conn
	if _, err := conn.Write(out); err != nil || v.conn != conn || conn.OutboundBuffered() > 0 {
		return
	}
	for i, e := range asked {
		e.Kind, e.Reused = checker.RequestSent, i > 0
		m.witness.Observe(e)
	}
}

// answeredAhead takes the answers of requests that were sent at once. One that says that the connection ends is the last: the client
// goes, and is owed nothing for the others.
func (m *HostileClients) answeredAhead(v *visit) {
	for v.conn != nil && len(v.ids) > 0 {
		done, err := v.parser.Next(&v.buf)
		switch {
		case err != nil:
			m.each(v, checker.ResponseTruncated)
			m.net.Close(v.conn)
		case !done:
			return
		default:
			v.id = v.ids[0]
			v.ids = v.ids[1:]
			v.tries++
			e := m.see(checker.ResponseReceived, v)
			e.Status, e.Digest = int32(v.parser.Status), checker.Digest(v.parser.Body)
			m.witness.Observe(e)
			if len(v.ids) == 0 || !v.parser.Keep() {
				m.net.Close(v.conn)
			}
			v.parser = http1.NewResponseParser(messageLimits)
		}
	}
}

// each tells the witness of all requests of a client that are not answered yet.
func (m *HostileClients) each(v *visit, kind checker.Kind) {
	for i, id := range v.ids {
		v.id = id
		e := m.see(kind, v)
		e.Reused = i > 0
		m.witness.Observe(e)
	}
	v.ids = nil
}

// endedAhead takes the end of the connection of requests that were sent at once.
func (m *HostileClients) endedAhead(c netio.Conn, v *visit, err error) {
	if err == nil {
		m.each(v, checker.RequestAbandoned)
		return
	}
	rest := v.ids
	if len(rest) > 0 && v.parser.Begun() {
		v.ids, rest = rest[:1], rest[1:]
		m.each(v, checker.ResponseTruncated)
	}
	for i, id := range rest {
		v.id = id
		e := m.see(checker.ConnectionDropped, v)
		e.Reused, e.WasRead = v.tries > 0 || i > 0, readByPeer(c)
		m.witness.Observe(e)
		m.witness.Observe(m.see(checker.RequestAbandoned, v)) // it does not come again
	}
	v.ids = nil
}

// goOn sends the next piece of what never ends.
func (m *HostileClients) goOn(v *visit, now float64) {
	if v.pieces++; v.pieces > mostPieces {
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
	m.due.put(now+pieceEveryS, mischiefTask{visit: v})
}

// Traffic takes what such a client is sent.
func (m *HostileClients) Traffic(c netio.Conn, data []byte) {
	v := c.Context().(*visit)
	if v.heard {
		return
	}
	v.buf.Write(data)
	if v.kind == asksAhead {
		m.answeredAhead(v)
		m.arm()
		return
	}
	done, err := v.parser.Next(&v.buf)
	if v.kind == asksAgain {
		if err != nil {
			m.witness.Observe(m.see(checker.ResponseTruncated, v))
			v.id = 0
			m.net.Close(c)
		} else if done {
			m.answeredAgain(v)
		}
		m.arm()
		return
	}
	if err != nil || done {
		e := m.see(checker.HostileAnswered, v)
		e.Status = int32(v.parser.Status)
		m.witness.Observe(e)
		v.heard = true
		m.net.Close(c)
	}
	m.arm()
}

func (m *HostileClients) answeredAgain(v *visit) {
	e := m.see(checker.ResponseReceived, v)
	e.Status, e.Digest = int32(v.parser.Status), checker.Digest(v.parser.Body)
	m.witness.Observe(e)
	v.id = 0
	refused := v.parser.Status == 429 || v.parser.Status == 503
	if !refused || v.tries >= mostAgain || !v.parser.Keep() {
		m.net.Close(v.conn)
		return
	}
	m.ask(v, m.net.Now())
}

// Closed takes the end of a connection.
func (m *HostileClients) Closed(c netio.Conn, err error) {
	v := c.Context().(*visit)
	v.conn = nil
	switch {
	case v.kind == asksAhead:
		m.endedAhead(c, v, err)
	case v.kind == asksAgain && v.id != 0 && err == nil:
		m.witness.Observe(m.see(checker.RequestAbandoned, v))
	case v.kind == asksAgain && v.id != 0 && v.parser.Begun():
		m.witness.Observe(m.see(checker.ResponseTruncated, v))
	case v.kind == asksAgain && v.id != 0:
		e := m.see(checker.ConnectionDropped, v)
		e.Reused, e.WasRead = v.tries > 1, readByPeer(c)
		m.witness.Observe(e)
	case v.kind != asksAgain && v.kind != asksHalf && err != nil && v.told:
		m.witness.Observe(m.see(checker.HostileClosed, v))
	}
	m.arm()
}
