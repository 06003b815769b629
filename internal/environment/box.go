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

	day     *Day
	witness checker.Observer
	who     neighbours
	classes map[string]int // looked up, never walked
	keys    *keyMemory     // of its site
	list    *Discovery
	rng     *rand.Rand
	same    rand.PCG   // seeded by a request: what it costs is the same at every box
	cost    *rand.Rand // on same
	links   uint64     // connections so far
	answers int
	life    *life // the present one; nil: none
	lives   int

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
	b := &Server{Spec: d.Servers[number], day: d, witness: w, who: newNeighbours(d), classes: map[string]int{}, keys: keys,
		list: list}
	b.rng = stream(d.Seed, "box "+b.Spec.Name, 0)
	b.cost = rand.New(&b.same)
	for i, c := range d.Classes {
		b.classes[c.Name] = i
	}
	return b
}

// keyMemory is what the boxes of a site remember of keys: a repeat within the window is dropped.
type keyMemory struct {
	seen map[string]float64 // when a key's first execution began; looked up and swept as a whole
	old  []keyAt            // in their order
}

type keyAt struct {
	key string
	at  float64
}

// repeat tells whether a key was seen in the window before now, and notes it if not.
func (m *keyMemory) repeat(key string, now, windowS float64) bool {
	for len(m.old) > 0 && m.old[0].at < now-windowS {
		delete(m.seen, m.old[0].key)
		m.old = m.old[1:]
	}
	if _, ok := m.seen[key]; ok {
		return true
	}
	if m.seen == nil {
		m.seen = map[string]float64{}
	}
	m.seen[key] = now
	m.old = append(m.old, keyAt{key, now})
	return false
}

// life is one life of a box's process: its front and its engine.
type life struct {
	*Server
	net      netio.EventLoop
	engine   *Engine
	since    float64
	draining bool
	over     bool
	open     int
	first    *boxLink // of the idle ones, the one that has been idle for longest
	last     *boxLink
	early    agenda[earlyClose]
	reports  loadReports
	probes   int // since probesAt
	probesAt float64
	out      []byte
	armed    float64
}

// earlyClose is a connection that is to be closed if it is still at rest as it was.
type earlyClose struct {
	link   *boxLink
	idleAt float64
}

// boxLink is a connection from a sidecar.
type boxLink struct {
	conn       netio.Conn
	number     uint64
	sidecar    int32
	buf        http1.Buffer
	parser     http1.RequestParser
	heard      heard   // the request that was read last
	firstAt    float64 // when the first byte of what is being read was sent; 0: there is none
	job        *boxJob // that is out
	used       bool
	spent      bool // of no further use: a spoilt answer has gone out on it
	over       bool // more connections than the box takes
	idle       bool
	idleAt     float64
	prev, next *boxLink // among the idle ones
}

// boxJob is a request or a probe with what its answer needs.
type boxJob struct {
	Job
	link    *boxLink // nil: nobody waits any more
	id      uint64
	class   int
	health  bool
	failing bool // its answer will be 500
}

// Boot begins a life at an address. The first life of a box that stands at the day's start has been warm for long.
func (b *Server) Boot(address string, net netio.EventLoop) netio.Handler {
	b.Address = address
	b.lives++
	l := &life{Server: b, net: net, armed: math.Inf(1)}
	b.life = l
	return l
}

func (l *life) Start() {
	now := l.net.Now()
	cold := l.lives > 1 || l.Spec.Number >= l.day.InitialServers
	l.engine = NewEngine(&l.Spec, l.rng, now, cold)
	if cold {
		l.since = now
	}
	l.reports.begin(&l.Spec, now)
	l.witness.Observe(checker.Event{Kind: checker.ServerStarted, At: now, Sidecar: -1, Server: int32(l.Spec.Number), Zone: int32(l.Spec.Site),
		Cell: int32(l.Spec.Cell), ServingSince: l.since, Address: l.Address})
	if cold {
		l.list.ServerStarted(l.Spec.Number, l.Address, l.since, now)
	}
	l.arm()
}

// Ended tells a box that its process has been ended, or its machine has vanished.
func (b *Server) Stopped(now float64) {
	if b.life != nil {
		b.life.over = true
		b.life = nil
		b.witness.Observe(checker.Event{Kind: checker.ServerStopped, At: now, Sidecar: -1, Server: int32(b.Spec.Number)})
	}
}

// Hang has the box stand still with all that it holds, or go on.
func (b *Server) SetHung(on bool) {
	if l := b.life; l != nil {
		l.net.Post(func() {
			l.work()
			l.engine.SetHung(l.net.Now(), on)
			l.arm()
		})
	}
}

// Drain has the box turn away all that is new.
func (b *Server) Drain() {
	if b.life != nil {
		b.life.draining = true
	}
}

// Alive tells whether the box has a process now.
func (b *Server) IsAlive() bool { return b.life != nil }

func (l *life) event(kind checker.Kind, k *boxLink) checker.Event {
	now := l.net.Now()
	return checker.Event{Kind: kind, At: now, FirstSent: now, Sent: now, Sidecar: k.sidecar, Server: int32(l.Spec.Number), Connection: k.number}
}

func (l *life) Open(c netio.Conn) bool {
	l.links++
	k := &boxLink{conn: c, number: uint64(l.Spec.Number+1)<<32 | l.links, sidecar: l.who.number(c.RemoteAddr()),
		parser: http1.NewRequestParser(messageLimits)}
	c.SetContext(k)
	l.open++
	l.engine.SetConnections(l.open)
	e := l.event(checker.ConnectionOpened, k)
	e.Work = l.Spec.HandshakeSeconds / l.Spec.Speed
	l.witness.Observe(e)
	l.bear(e.Work)
	k.over = l.open > l.Spec.MaxConnections
	l.rest(k)
	l.arm()
	return l.open <= l.Spec.MaxConnections+l.Spec.MaxConnections/4
}

func (l *life) Closed(c netio.Conn, err error) {
	k, ok := c.Context().(*boxLink)
	if !ok {
		return
	}
	k.conn = nil
	l.unrest(k)
	l.open--
	l.engine.SetConnections(l.open)
	if k.job != nil {
		k.job.link = nil
		l.engine.Cancel(&k.job.Job)
		k.job = nil
	}
	if l.over {
		return // the machine is gone: nobody sees this
	}
	e := l.event(checker.ConnectionClosed, k)
	if e.ByServer = err == nil; !e.ByServer {
		e.Sent = endedAt(c, e.At)
	}
	l.witness.Observe(e)
}

// rest notes that a link has nothing to do, unrest that it does.
func (l *life) rest(k *boxLink) {
	k.idle, k.idleAt = true, l.net.Now()
	k.prev, k.next = l.last, nil
	if l.last != nil {
		l.last.next = k
	} else {
		l.first = k
	}
	l.last = k
	if m := &l.Misbehavior; m.EarlyClose > 0 && k.used && l.rng.Float64() < m.EarlyClose {
		l.early.put(k.idleAt+mostEarlyS*l.rng.Float64(), earlyClose{k, k.idleAt})
	}
}

// mostEarlyS is how long a box that closes connections early lets them rest at most.
const mostEarlyS = 1.0

func (l *life) unrest(k *boxLink) {
	if !k.idle {
		return
	}
	k.idle = false
	if k.prev != nil {
		k.prev.next = k.next
	} else {
		l.first = k.next
	}
	if k.next != nil {
		k.next.prev = k.prev
	} else {
		l.last = k.prev
	}
	k.prev, k.next = nil, nil
}

func (l *life) Traffic(c netio.Conn, data []byte) {
	k, ok := c.Context().(*boxLink)
	if !ok || k.spent {
		return
	}
	if m := &l.Misbehavior; m.EarlyClose > 0 && k.idle && k.used && l.rng.Float64() < m.EarlyClose {
		l.net.Close(c) // as the request comes: it is not read
		l.arm()
		return
	}
	if k.firstAt == 0 {
		k.firstAt = sentAt(c, l.net.Now())
	}
	k.buf.Write(data)
	l.read(k)
	l.arm()
}

// read takes up the next request of a link that has come whole.
func (l *life) read(k *boxLink) {
	for k.conn != nil && k.job == nil && k.buf.Len() > 0 && !k.spent {
		whole, err := k.hear()
		if err != nil {
			l.net.Close(k.conn) // what it cannot read is nothing to answer
			return
		}
		if !whole {
			return
		}
		l.unrest(k)
		l.request(k)
		k.parser.Rest()
		if k.firstAt = 0; k.conn != nil && k.buf.Len() > 0 {
			k.firstAt = sentAt(k.conn, l.net.Now())
		}
		if k.conn != nil && k.job == nil && !k.spent {
			l.rest(k)
		}
	}
}

// request answers what has come, or gives it to the engine.
func (l *life) request(k *boxLink) {
	whole := k.heard.path
	class, ok := l.classes[k.heard.class]
	switch {
	case whole == "/health" || whole == "/status/load":
		l.probe(k, whole == "/health")
	case !ok:
		l.say(k, 404, nil)
	case k.heard.id == "":
		l.say(k, 404, nil)
	default:
		l.execute(k, class)
	}
}

func (l *life) execute(k *boxLink, class int) {
	now := l.net.Now()
	j := &boxJob{link: k, id: parseID(k.heard.id), class: class}
	c := &l.day.Classes[class]
	l.same.Seed(l.day.Seed, j.id)
	work := c.MeanWorkSeconds * spread(l.cost, c.WorkCV) * spread(l.rng, 0.3) / l.Spec.Speed
	if key := k.heard.key; c.Effect == checker.Keyed && l.keys.repeat(key, now, c.DedupWindowSeconds) {
		work *= 0.05 // the key is looked up, and nothing more
	}
	if j.Seconds = work; !k.used { // the connection's cost is paid by its first request
		j.Seconds += l.Spec.HandshakeSeconds / l.Spec.Speed
	}
	k.used = true
	j.failing = l.rng.Float64() < l.Spec.ErrorShare
	e := l.event(checker.AttemptReceived, k)
	e.Request, e.Class, e.Work, e.FirstSent, e.Sent = j.id, int32(class), min(work, mostCounted*c.MeanWorkSeconds/l.Spec.Speed), k.firstAt, sentAt(k.conn, now)
	e.FirstSent = min(e.FirstSent, e.Sent)
	l.witness.Observe(e)
	if j.id == 0 {
		l.say(k, 400, nil)
		return
	}
	// Danger: who sends a request can't know that it is a heavy one; nobody is to be blamed for the weight of it.
	l.bear(e.Work)
	if l.draining || k.over || !l.engine.Enqueue(now, &j.Job) {
		k.job = j
		l.turnAway(k)
		return
	}
	j.Owner = j
	k.job = j
}

// mostCounted is how many mean requests of its class one request counts for against a cold box.
const mostCounted = 2

// bear counts work against a cold box.
func (l *life) bear(seconds float64) {
	if now := l.net.Now(); l.engine.CountWork(now, seconds) {
		l.witness.Observe(checker.Event{Kind: checker.ServerOverloaded, At: now, Sidecar: -1, Server: int32(l.Spec.Number)})
	}
}

// turnAway answers that a request has not begun and never will.
func (l *life) turnAway(k *boxLink) {
	l.replied(k, 503, true, false, nil)
	k.job = nil
	h := [2]http1.Field{{Name: fieldNotStarted, Value: "1"}, {Name: "Connection", Value: "close"}}
	header := h[:1]
	if k.over {
		header = h[:2]
	}
	l.write(k, k.appendAnswer(l.out[:0], 503, header, nil))
	if k.over && k.conn != nil {
		l.net.Close(k.conn)
	}
}

// probe answers a probe, or has it wait in turn as a request does.
func (l *life) probe(k *boxLink, health bool) {
	now := l.net.Now()
	j := &boxJob{link: k, health: health, class: -1}
	j.IsHealthCheck, j.Seconds = true, l.Spec.HealthCheckSeconds/l.Spec.Speed
	e := l.event(checker.HealthCheckReceived, k)
	e.Work = j.Seconds
	l.witness.Observe(e)
	l.bear(j.Seconds)
	if now >= l.probesAt+1 {
		l.probesAt, l.probes = now, 0
	}
	if l.probes++; float64(l.probes) > l.Spec.HealthChecksPerSecond || health && l.draining || !l.engine.Enqueue(now, &j.Job) {
		l.say(k, 503, nil)
		return
	}
	j.Owner = j
	k.job = j
}

// probeWaitS is how long a probe may wait in line.
const probeWaitS = 0.4

// work has the engine do what is due, and answers what is done.
func (l *life) work() {
	now := l.net.Now()
	for _, done := range l.engine.Advance(now) {
		j := done.Owner.(*boxJob)
		k := j.link
		if !j.IsHealthCheck {
			l.reports.note(j.failing)
		}
		if k == nil || k.conn == nil {
			continue
		}
		switch {
		case j.IsHealthCheck && done.EnqueuedAt < now-probeWaitS:
			k.job = nil
			l.say(k, 503, nil)
		case j.IsHealthCheck && j.health:
			k.job = nil
			l.say(k, 200, []byte("ok\n"))
		case j.IsHealthCheck:
			k.job = nil
			l.say(k, 200, l.reports.shown)
		default:
			l.answer(k, j)
		}
		if k.conn != nil && !k.spent && k.job == nil {
			l.rest(k)
			l.read(k)
		}
	}
}

// answer writes the answer of a request that has run.
func (l *life) answer(k *boxLink, j *boxJob) {
	l.answers++
	body := append(make([]byte, 0, 160), `{"box":"`...)
	body = append(append(body, l.Spec.Name...), `","request":"`...)
	body = append(appendID(body, j.id), `","n":`...)
	body = append(strconv.AppendInt(body, int64(l.answers), 10), "}\n"...)
	if m := &l.Misbehavior; m.Malformed > 0 && l.rng.Float64() < m.Malformed {
		l.spoil(k, body)
		return
	}
	status := 200
	if j.failing {
		status = 500
	}
	l.replied(k, status, false, false, body)
	k.job = nil
	out := l.out[:0]
	if m := &l.Misbehavior; m.InterimResponses > 0 && !k.heard.thrift && l.rng.Float64() < m.InterimResponses {
		for range 1 + l.rng.IntN(3) {
			out = append(out, "HTTP/1.1 103 Early Hints\r\nLink: </style>; rel=preload\r\n\r\n"...)
		}
	}
	misbehaves := l.Misbehavior.TrailingBytes > 0 && l.rng.Float64() < l.Misbehavior.TrailingBytes
	out = k.appendAnswer(out, status, l.loadField(misbehaves), body)
	if misbehaves {
		whole := len(out)
		var copied bool
		if out, copied = l.behind(out); !copied && l.rng.IntN(2) == 0 {
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
func (l *life) loadField(misbehaves bool) http1.Header {
	if !l.day.ReportsInline {
		return nil
	}
	text := string(l.reports.shown[:len(l.reports.shown)-1]) // without its line's end
	if misbehaves && l.rng.IntN(2) == 0 {
		text = "util=many,,queue;=\t-1e999"
	}
	return http1.Header{{Name: fieldLoad, Value: text}}
}

// say writes an answer that no execution stands behind.
func (l *life) say(k *boxLink, status int, body []byte) {
	l.write(k, k.appendAnswer(l.out[:0], status, nil, body))
}

func (l *life) write(k *boxLink, out []byte) {
	l.out = out
	if k.conn != nil {
		k.conn.Write(out) // a connection that breaks here is closed by the network
	}
}

func (l *life) replied(k *boxLink, status int, notStarted, spoilt bool, body []byte) {
	e := l.event(checker.ResponseSent, k)
	e.Request, e.Status, e.NotStarted, e.Malformed = k.job.id, int32(status), notStarted, spoilt
	e.Class, e.Digest = int32(k.job.class), checker.Digest(body)
	l.witness.Observe(e)
}

func (l *life) Alarm() {
	l.armed = math.Inf(1)
	now := l.net.Now()
	l.work()
	l.reports.refresh(l.engine, l.rng, now)
	for l.first != nil && l.first.idleAt+l.Spec.IdleTimeoutSeconds <= now {
		k := l.first
		l.unrest(k)
		l.net.Close(k.conn)
	}
	for {
		e, _, ok := l.early.take(now)
		if !ok {
			break
		}
		if k := e.link; k.conn != nil && k.idle && k.idleAt == e.idleAt {
			l.net.Close(k.conn)
		}
	}
	l.arm()
}

// arm asks for the next alarm.
func (l *life) arm() {
	at := min(l.engine.NextAt(), l.reports.next, l.early.next())
	if l.first != nil {
		at = min(at, l.first.idleAt+l.Spec.IdleTimeoutSeconds)
	}
	if at != l.armed {
		l.armed = at
		l.net.SetAlarm(at)
	}
}
