package environment

import (
	"math"
	"math/rand/v2"
	"strconv"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/netio"
)

// Box is a server over all lives of its process. Troubles are done to it directly; Ground ends and begins lives.
type Server struct {
	Spec    ServerSpec
	Address string // where the present life listens, or the last one did

	day            *Day
	observer       checker.Observer
	sidecars       sidecarAddresses
	classes        map[string]int // looked up, never walked
	keyMemory      *keyMemory     // of its site
	discovery      *Discovery
	rng            *rand.Rand
	requestSource  rand.PCG   // seeded by a request: what it costs is the same at every box
	requestCost    *rand.Rand // on same
	lastConnNumber uint64     // connections so far
	answers        int
	process        *serverProcess // the present one; nil: none
	incarnations   int

	// Manners are how the box speaks; they outlast a life.
	Misbehavior Misbehavior
}

// Manners are the shares of its answers in which a box says what it should not, from 0 to 1.
type Misbehavior struct {
	Malformed        float64 // nobody can read the answer to its end
	TrailingBytes    float64 // bytes come behind it
	InterimResponses float64 // 1xx answers come in front
	// EarlyClose is the share of the times that a connection is at rest in which the box closes it soon, and of those that end with
	// a request in which it closes it on that.
	EarlyClose float64
}

// NewBox returns a box of a day that has never run.
func NewServer(d *Day, number int, list *Discovery, keys *keyMemory, w checker.Observer) *Server {
	b := &Server{Spec: d.Servers[number], day: d, observer: w, sidecars: newSidecarAddresses(d), classes: map[string]int{}, keyMemory: keys,
		discovery: list}
	b.rng = randomStream(d.Seed, "box "+b.Spec.Name, 0)
	b.requestCost = rand.New(&b.requestSource)
	for i, c := range d.Classes {
		b.classes[c.Name] = i
	}
	return b
}

// keyMemory is what the boxes of a site remember of keys: a repeat within the window is dropped.
type keyMemory struct {
	seen  map[string]float64 // when a key's first execution began; looked up and swept as a whole
	order []seenKey          // in their order
}

type seenKey struct {
	key string
	at  float64
}

// repeat tells whether a key was seen in the window before now, and notes it if not.
func (m *keyMemory) isRepeat(key string, now, windowS float64) bool {
	for len(m.order) > 0 && m.order[0].at < now-windowS {
		delete(m.seen, m.order[0].key)
		m.order = m.order[1:]
	}
	if _, ok := m.seen[key]; ok {
		return true
	}
	if m.seen == nil {
		m.seen = map[string]float64{}
	}
	m.seen[key] = now
	m.order = append(m.order, seenKey{key, now})
	return false
}

// life is one life of a box's process: its front and its engine.
type serverProcess struct {
	*Server
	net               netio.EventLoop
	engine            *Engine
	servingSince      float64
	isDraining        bool
	isStopped         bool
	openConns         int
	firstIdle         *serverConn // of the idle ones, the one that has been idle for longest
	lastIdle          *serverConn
	earlyCloses       schedule[earlyClose]
	loadReports       loadReports
	healthChecks      int // since probesAt
	healthChecksSince float64
	buffer            []byte
	alarmAt           float64
}

// earlyClose is a connection that is to be closed if it is still at rest as it was.
type earlyClose struct {
	conn   *serverConn
	idleAt float64
}

// boxLink is a connection from a sidecar.
type serverConn struct {
	conn        netio.Conn
	number      uint64
	sidecar     int32
	buf         http1.Buffer
	parser      http1.RequestParser
	request     receivedRequest // the request that was read last
	firstByteAt float64         // when the first byte of what is being read was sent; 0: there is none
	job         *serverJob      // that is out
	isUsed      bool
	isUnusable  bool // of no further use: a spoilt answer has gone out on it
	isOverLimit bool // more connections than the box takes
	isIdle      bool
	idleAt      float64
	prev, next  *serverConn // among the idle ones
}

// boxJob is a request or a probe with what its answer needs.
type serverJob struct {
	Job
	conn       *serverConn // nil: nobody waits any more
	request    uint64
	class      int
	isLiveness bool
	fails      bool // its answer will be 500
}

// Boot begins a life at an address. The first life of a box that stands at the day's start has been warm for long.
func (b *Server) Boot(address string, net netio.EventLoop) netio.Handler {
	b.Address = address
	b.incarnations++
	l := &serverProcess{Server: b, net: net, alarmAt: math.Inf(1)}
	b.process = l
	return l
}

func (l *serverProcess) Start() {
	now := l.net.Now()
	cold := l.incarnations > 1 || l.Spec.Number >= l.day.InitialServers
	l.engine = NewEngine(&l.Spec, l.rng, now, cold)
	if cold {
		l.servingSince = now
	}
	l.loadReports.start(&l.Spec, now)
	l.observer.Observe(checker.Event{Kind: checker.ServerStarted, At: now, Sidecar: -1, Server: int32(l.Spec.Number), Zone: int32(l.Spec.Site),
		Cell: int32(l.Spec.Cell), ServingSince: l.servingSince, Address: l.Address})
	if cold {
		l.discovery.ServerStarted(l.Spec.Number, l.Address, l.servingSince, now)
	}
	l.updateAlarm()
}

// Ended tells a box that its process has been ended, or its machine has vanished.
func (b *Server) Stopped(now float64) {
	if b.process != nil {
		b.process.isStopped = true
		b.process = nil
		b.observer.Observe(checker.Event{Kind: checker.ServerStopped, At: now, Sidecar: -1, Server: int32(b.Spec.Number)})
	}
}

// Hang has the box stand still with all that it holds, or go on.
func (b *Server) SetHung(on bool) {
	if l := b.process; l != nil {
		l.net.Post(func() {
			l.advance()
			l.engine.SetHung(l.net.Now(), on)
			l.updateAlarm()
		})
	}
}

// Drain has the box turn away all that is new.
func (b *Server) Drain() {
	if b.process != nil {
		b.process.isDraining = true
	}
}

// Alive tells whether the box has a process now.
func (b *Server) IsAlive() bool { return b.process != nil }

func (l *serverProcess) event(kind checker.Kind, k *serverConn) checker.Event {
	now := l.net.Now()
	return checker.Event{Kind: kind, At: now, FirstSent: now, Sent: now, Sidecar: k.sidecar, Server: int32(l.Spec.Number), Connection: k.number}
}

func (l *serverProcess) Open(c netio.Conn) bool {
	l.lastConnNumber++
	k := &serverConn{conn: c, number: uint64(l.Spec.Number+1)<<32 | l.lastConnNumber, sidecar: l.sidecars.number(c.RemoteAddr()),
		parser: http1.NewRequestParser(messageLimits)}
	c.SetContext(k)
	l.openConns++
	l.engine.SetConnections(l.openConns)
	e := l.event(checker.ConnectionOpened, k)
	e.Work = l.Spec.HandshakeSeconds / l.Spec.Speed
	l.observer.Observe(e)
	l.countWork(e.Work)
	k.isOverLimit = l.openConns > l.Spec.MaxConnections
	l.markIdle(k)
	l.updateAlarm()
	return l.openConns <= l.Spec.MaxConnections+l.Spec.MaxConnections/4
}

func (l *serverProcess) Closed(c netio.Conn, err error) {
	k, ok := c.Context().(*serverConn)
	if !ok {
		return
	}
	k.conn = nil
	l.markBusy(k)
	l.openConns--
	l.engine.SetConnections(l.openConns)
	if k.job != nil {
		k.job.conn = nil
		l.engine.Cancel(&k.job.Job)
		k.job = nil
	}
	if l.isStopped {
		return // the machine is gone: nobody sees this
	}
	e := l.event(checker.ConnectionClosed, k)
	if e.ByServer = err == nil; !e.ByServer {
		e.Sent = endedAt(c, e.At)
	}
	l.observer.Observe(e)
}

// rest notes that a link has nothing to do, unrest that it does.
func (l *serverProcess) markIdle(k *serverConn) {
	k.isIdle, k.idleAt = true, l.net.Now()
	k.prev, k.next = l.lastIdle, nil
	if l.lastIdle != nil {
		l.lastIdle.next = k
	} else {
		l.firstIdle = k
	}
	l.lastIdle = k
	if m := &l.Misbehavior; m.EarlyClose > 0 && k.isUsed && l.rng.Float64() < m.EarlyClose {
		l.earlyCloses.add(k.idleAt+maxEarlyCloseSeconds*l.rng.Float64(), earlyClose{k, k.idleAt})
	}
}

// mostEarlyS is how long a box that closes connections early lets them rest at most.
const maxEarlyCloseSeconds = 1.0

func (l *serverProcess) markBusy(k *serverConn) {
	if !k.isIdle {
		return
	}
	k.isIdle = false
	if k.prev != nil {
		k.prev.next = k.next
	} else {
		l.firstIdle = k.next
	}
	if k.next != nil {
		k.next.prev = k.prev
	} else {
		l.lastIdle = k.prev
	}
	k.prev, k.next = nil, nil
}

func (l *serverProcess) Traffic(c netio.Conn, data []byte) {
	k, ok := c.Context().(*serverConn)
	if !ok || k.isUnusable {
		return
	}
	if m := &l.Misbehavior; m.EarlyClose > 0 && k.isIdle && k.isUsed && l.rng.Float64() < m.EarlyClose {
		l.net.Close(c) // as the request comes: it is not read
		l.updateAlarm()
		return
	}
	if k.firstByteAt == 0 {
		k.firstByteAt = sentAt(c, l.net.Now())
	}
	k.buf.Write(data)
	l.readRequests(k)
	l.updateAlarm()
}

// read takes up the next request of a link that has come whole.
func (l *serverProcess) readRequests(k *serverConn) {
	for k.conn != nil && k.job == nil && k.buf.Len() > 0 && !k.isUnusable {
		whole, err := k.nextRequest()
		if err != nil {
			l.net.Close(k.conn) // what it cannot read is nothing to answer
			return
		}
		if !whole {
			return
		}
		l.markBusy(k)
		l.handleRequest(k)
		k.parser.Release()
		if k.firstByteAt = 0; k.conn != nil && k.buf.Len() > 0 {
			k.firstByteAt = sentAt(k.conn, l.net.Now())
		}
		if k.conn != nil && k.job == nil && !k.isUnusable {
			l.markIdle(k)
		}
	}
}

// request answers what has come, or gives it to the engine.
func (l *serverProcess) handleRequest(k *serverConn) {
	whole := k.request.path
	class, ok := l.classes[k.request.class]
	switch {
	case whole == "/health" || whole == "/status/load":
		l.handleHealthCheck(k, whole == "/health")
	case !ok:
		l.writeResponse(k, 404, nil)
	case k.request.id == "":
		l.writeResponse(k, 404, nil)
	default:
		l.execute(k, class)
	}
}

func (l *serverProcess) execute(k *serverConn, class int) {
	now := l.net.Now()
	j := &serverJob{conn: k, request: parseID(k.request.id), class: class}
	c := &l.day.Classes[class]
	l.requestSource.Seed(l.day.Seed, j.request)
	work := c.MeanWorkSeconds * logNormalFactor(l.requestCost, c.WorkCV) * logNormalFactor(l.rng, 0.3) / l.Spec.Speed
	if key := k.request.key; c.Effect == checker.Keyed && l.keyMemory.isRepeat(key, now, c.DedupWindowSeconds) {
		work *= 0.05 // the key is looked up, and nothing more
	}
	if j.Seconds = work; !k.isUsed { // the connection's cost is paid by its first request
		j.Seconds += l.Spec.HandshakeSeconds / l.Spec.Speed
	}
	k.isUsed = true
	j.fails = l.rng.Float64() < l.Spec.ErrorShare
	e := l.event(checker.AttemptReceived, k)
	e.Request, e.Class, e.Work, e.FirstSent, e.Sent = j.request, int32(class), min(work, maxCountedRequests*c.MeanWorkSeconds/l.Spec.Speed), k.firstByteAt, sentAt(k.conn, now)
	e.FirstSent = min(e.FirstSent, e.Sent)
	l.observer.Observe(e)
	if j.request == 0 {
		l.writeResponse(k, 400, nil)
		return
	}
	// Danger: who sends a request can't know that it is a heavy one; nobody is to be blamed for the weight of it.
	l.countWork(e.Work)
	if l.isDraining || k.isOverLimit || !l.engine.Enqueue(now, &j.Job) {
		k.job = j
		l.reject(k)
		return
	}
	j.Owner = j
	k.job = j
}

// mostCounted is how many mean requests of its class one request counts for against a cold box.
const maxCountedRequests = 2

// bear counts work against a cold box.
func (l *serverProcess) countWork(seconds float64) {
	if now := l.net.Now(); l.engine.CountWork(now, seconds) {
		l.observer.Observe(checker.Event{Kind: checker.ServerOverloaded, At: now, Sidecar: -1, Server: int32(l.Spec.Number)})
	}
}

// turnAway answers that a request has not begun and never will.
func (l *serverProcess) reject(k *serverConn) {
	l.observeResponse(k, 503, true, false, nil)
	k.job = nil
	h := [2]http1.Field{{Name: fieldNotStarted, Value: "1"}, {Name: "Connection", Value: "close"}}
	header := h[:1]
	if k.isOverLimit {
		header = h[:2]
	}
	l.write(k, k.appendResponse(l.buffer[:0], 503, header, nil))
	if k.isOverLimit && k.conn != nil {
		l.net.Close(k.conn)
	}
}

// probe answers a probe, or has it wait in turn as a request does.
func (l *serverProcess) handleHealthCheck(k *serverConn, health bool) {
	now := l.net.Now()
	j := &serverJob{conn: k, isLiveness: health, class: -1}
	j.IsHealthCheck, j.Seconds = true, l.Spec.HealthCheckSeconds/l.Spec.Speed
	e := l.event(checker.HealthCheckReceived, k)
	e.Work = j.Seconds
	l.observer.Observe(e)
	l.countWork(j.Seconds)
	if now >= l.healthChecksSince+1 {
		l.healthChecksSince, l.healthChecks = now, 0
	}
	if l.healthChecks++; float64(l.healthChecks) > l.Spec.HealthChecksPerSecond || health && l.isDraining || !l.engine.Enqueue(now, &j.Job) {
		l.writeResponse(k, 503, nil)
		return
	}
	j.Owner = j
	k.job = j
}

// probeWaitS is how long a probe may wait in line.
const healthCheckQueueSeconds = 0.4

// work has the engine do what is due, and answers what is done.
func (l *serverProcess) advance() {
	now := l.net.Now()
	for _, done := range l.engine.Advance(now) {
		j := done.Owner.(*serverJob)
		k := j.conn
		if !j.IsHealthCheck {
			l.loadReports.countExecution(j.fails)
		}
		if k == nil || k.conn == nil {
			continue
		}
		switch {
		case j.IsHealthCheck && done.EnqueuedAt < now-healthCheckQueueSeconds:
			k.job = nil
			l.writeResponse(k, 503, nil)
		case j.IsHealthCheck && j.isLiveness:
			k.job = nil
			l.writeResponse(k, 200, []byte("ok\n"))
		case j.IsHealthCheck:
			k.job = nil
			l.writeResponse(k, 200, l.loadReports.published)
		default:
			l.respond(k, j)
		}
		if k.conn != nil && !k.isUnusable && k.job == nil {
			l.markIdle(k)
			l.readRequests(k)
		}
	}
}

// answer writes the answer of a request that has run.
func (l *serverProcess) respond(k *serverConn, j *serverJob) {
	l.answers++
	body := append(make([]byte, 0, 160), `{"box":"`...)
	body = append(append(body, l.Spec.Name...), `","request":"`...)
	body = append(appendID(body, j.request), `","n":`...)
	body = append(strconv.AppendInt(body, int64(l.answers), 10), "}\n"...)
	if m := &l.Misbehavior; m.Malformed > 0 && l.rng.Float64() < m.Malformed {
		l.writeMalformed(k, body)
		return
	}
	status := 200
	if j.fails {
		status = 500
	}
	l.observeResponse(k, status, false, false, body)
	k.job = nil
	out := l.buffer[:0]
	if m := &l.Misbehavior; m.InterimResponses > 0 && !k.request.isThrift && l.rng.Float64() < m.InterimResponses {
		for range 1 + l.rng.IntN(3) {
			out = append(out, "HTTP/1.1 103 Early Hints\r\nLink: </style>; rel=preload\r\n\r\n"...)
		}
	}
	misbehaves := l.Misbehavior.TrailingBytes > 0 && l.rng.Float64() < l.Misbehavior.TrailingBytes
	out = k.appendResponse(out, status, l.loadField(misbehaves), body)
	if misbehaves {
		whole := len(out)
		var copied bool
		if out, copied = l.appendTrailing(out); !copied && l.rng.IntN(2) == 0 {
			// What comes a moment later meets a connection that seems to be at rest. A copy comes at once: one that meets
			// the next request can't be told from its answer, by nobody who uses a connection twice.
			l.write(k, out[:whole])
			out = out[whole:]
		}
	}
	if k.conn != nil {
		l.write(k, out)
	}
}

// loadField returns the load report of an answer, where answers have one; a box that misbehaves may say what nobody can
// read.
func (l *serverProcess) loadField(misbehaves bool) http1.Header {
	if !l.day.ReportsInline {
		return nil
	}
	text := string(l.loadReports.published[:len(l.loadReports.published)-1]) // without its line's end
	if misbehaves && l.rng.IntN(2) == 0 {
		text = "util=many,,queue;=\t-1e999"
	}
	return http1.Header{{Name: fieldLoad, Value: text}}
}

// say writes an answer that no execution stands behind.
func (l *serverProcess) writeResponse(k *serverConn, status int, body []byte) {
	l.write(k, k.appendResponse(l.buffer[:0], status, nil, body))
}

func (l *serverProcess) write(k *serverConn, out []byte) {
	l.buffer = out
	if k.conn != nil {
		k.conn.Write(out) // a connection that breaks here is closed by the network
	}
}

func (l *serverProcess) observeResponse(k *serverConn, status int, notStarted, spoilt bool, body []byte) {
	e := l.event(checker.ResponseSent, k)
	e.Request, e.Status, e.NotStarted, e.Malformed = k.job.request, int32(status), notStarted, spoilt
	e.Class, e.Digest = int32(k.job.class), checker.Digest(body)
	l.observer.Observe(e)
}

func (l *serverProcess) Alarm() {
	l.alarmAt = math.Inf(1)
	now := l.net.Now()
	l.advance()
	l.loadReports.refresh(l.engine, l.rng, now)
	for l.firstIdle != nil && l.firstIdle.idleAt+l.Spec.IdleTimeoutSeconds <= now {
		k := l.firstIdle
		l.markBusy(k)
		l.net.Close(k.conn)
	}
	for {
		e, _, ok := l.earlyCloses.pop(now)
		if !ok {
			break
		}
		if k := e.conn; k.conn != nil && k.isIdle && k.idleAt == e.idleAt {
			l.net.Close(k.conn)
		}
	}
	l.updateAlarm()
}

// arm asks for the next alarm.
func (l *serverProcess) updateAlarm() {
	at := min(l.engine.NextAt(), l.loadReports.nextAt, l.earlyCloses.nextAt())
	if l.firstIdle != nil {
		at = min(at, l.firstIdle.idleAt+l.Spec.IdleTimeoutSeconds)
	}
	if at != l.alarmAt {
		l.alarmAt = at
		l.net.SetAlarm(at)
	}
}
