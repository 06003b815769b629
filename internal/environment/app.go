package environment

import (
	"math"
	"math/rand/v2"
	"strconv"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/netio"
)

// Application is the client beside one sidecar: requests come to it whether earlier ones are answered or not, and it
// tries them again as its kind of client does. It begins once the sidecar says that it is ready.
type Application struct {
	number  int32
	day     *Day
	spec    *ClientSpec
	witness checker.Observer
	rng     *rand.Rand // arrivals
	ids     *rand.Rand
	chance  *rand.Rand // what a request does
	net     netio.EventLoop
	due     agenda[appTask]
	armed   float64
	ready   bool

	leaveAt float64 // from then on no connection is opened; +Inf: it stays

	early      *rand.Rand // which clients leave early, and when
	earlyShare float64    // of the tries whose client leaves before its time is over
	earlyUntil float64
	burstsAt   float64 // the next instant at which many leave together

	burstAt, burstEnd float64
	idle              []*appLink // the one that was used last at the end
	waiting           []*ask     // for a connection
	links             int        // open, or coming up
	linkNumber        uint64
	batch             *BatchSpec // it is the batch beside the application; nil: it is the application
	recent            *ask       // that was written last
	out               []byte
	body              []byte
}

// ask is a request of the application, over all its tries.
type ask struct {
	first  uint64
	class  int
	endAt  float64 // its whole time
	tries  int
	key    uint64
	size   int // of the body
	id     uint64
	until  float64 // of the present try
	link   *appLink
	resent bool
	over   bool
	sentAt float64 // when the present try was written
}

// appLink is a connection to the sidecar, or one that is coming up.
type appLink struct {
	app    *Application
	conn   netio.Conn
	number uint64
	buf    http1.Buffer
	parser answerReader
	ask    *ask // that is out, or waits for the connection
	used   int
	asking bool // whether the sidecar is ready
	taken  bool
	halved bool // the client has ended its direction of it
}

type appTask struct {
	kind appTaskKind
	ask  *ask
	id   uint64 // of the try that is meant
}

type appTaskKind uint8

const (
	taskArrival appTaskKind = iota
	taskRetry
	taskOver  // the wait for a try
	taskLeave // a try's client closes its connection early, or its direction of it
	taskReady // asks whether the sidecar is
	taskEnd
)

// readyEveryS is the time between two questions whether the sidecar is ready.
const readyEveryS = 0.05

// NewApplication returns the application beside a sidecar.
func NewApplication(d *Day, sidecar int, w checker.Observer) *Application {
	return &Application{number: int32(sidecar), day: d, spec: &d.Clients, witness: w, rng: stream(d.Seed, "arrivals", sidecar),
		ids: stream(d.Seed, "ids", sidecar), chance: stream(d.Seed, "clients", sidecar), early: stream(d.Seed, "early", sidecar), armed: math.Inf(1), leaveAt: math.Inf(1),
		body: []byte(bodyText)}
}

// NewBatch returns the batch beside a sidecar: it sends requests of one class in the name of an organisation, whatever
// becomes of the applications. It tries again as they do. The service is not measured by it.
func NewBatch(d *Day, sidecar int, w checker.Observer) *Application {
	a := NewApplication(d, sidecar, w)
	a.batch, a.linkNumber = d.Batch, batchLinks
	a.rng, a.ids, a.chance = stream(d.Seed, "batch arrivals", sidecar), stream(d.Seed, "batch ids", sidecar), stream(d.Seed, "batch", sidecar)
	spec := d.Clients
	spec.RatePerSecond = d.Batch.RatePerSecond
	a.spec = &spec
	return a
}

// batchLinks is where the numbers of a batch's connections begin, beyond those of the application beside it.
const batchLinks = 1 << 47

// Boot begins the application.
func (a *Application) Boot(net netio.EventLoop) netio.Handler {
	a.net = net
	return a
}

// Start asks whether the sidecar is ready.
func (a *Application) Start() {
	a.due.put(a.net.Now(), appTask{kind: taskReady})
	a.arm()
}

// see tells the witness of a try.
func (a *Application) see(kind checker.Kind, k *ask, link *appLink) checker.Event {
	now := a.net.Now()
	e := checker.Event{Kind: kind, At: now, FirstSent: now, Sent: now, Sidecar: a.number, Server: -1, Class: -1}
	if k != nil {
		e.Request, e.FirstRequest, e.Class, e.Deadline, e.Uncounted = k.id, k.first, int32(k.class), k.until, a.batch != nil
	}
	if link != nil {
		e.Connection, e.Reused = link.number, link.used > 1
	}
	return e
}

func (a *Application) tell(kind checker.Kind, k *ask, link *appLink) {
	a.witness.Observe(a.see(kind, k, link))
}

// Alarm does what is due.
func (a *Application) Alarm() {
	a.armed = math.Inf(1)
	now := a.net.Now()
	for {
		t, due, ok := a.due.take(now)
		if !ok {
			break
		}
		k := t.ask
		switch t.kind {
		case taskReady:
			if !a.ready {
				a.askReady(now)
			}
		case taskArrival:
			a.arrive(due, now)
		case taskRetry:
			if !k.over && !a.alone(now) {
				a.try(k, now)
			}
		case taskOver:
			if !k.over && k.id == t.id {
				a.giveUp(k, now)
			}
		case taskLeave:
			if !k.over && k.id == t.id {
				a.departEarly(k, now)
			}
		case taskEnd:
			a.finish()
		}
	}
	a.arm()
}

func (a *Application) arm() {
	if at := a.due.next(); at != a.armed && at < math.Inf(1) {
		a.armed = at
		a.net.SetAlarm(at)
	}
}

func (a *Application) askReady(now float64) {
	a.linkNumber++
	link := &appLink{app: a, number: uint64(a.number+1)<<48 | a.linkNumber, asking: true, parser: newAnswerReader(HTTP)}
	a.links++
	a.net.Dial(a.day.Sidecars[a.number].Address, now+1, link, func(err error) {
		if err != nil {
			a.links--
		}
	})
	a.due.put(now+readyEveryS, appTask{kind: taskReady})
}

// rate returns how many requests a second come at a time.
func (a *Application) rate(at float64) float64 {
	s := a.spec
	r := s.RatePerSecond * a.day.Sidecars[a.number].Share * (1 + s.Swing*math.Sin(2*math.Pi*(at-a.day.Start)/s.SwingPeriodSeconds))
	for at >= a.burstEnd {
		a.burstAt = max(a.burstEnd, a.day.Start) + s.BurstIntervalSeconds*a.rng.ExpFloat64()
		a.burstEnd = a.burstAt + s.BurstSeconds*(0.5+a.rng.Float64())
	}
	if at >= a.burstAt {
		r *= s.BurstFactor
	}
	return r
}

// nextArrival returns when the next request comes after a time.
func (a *Application) nextArrival(at float64) float64 {
	most := a.spec.RatePerSecond * a.day.Sidecars[a.number].Share * (1 + a.spec.Swing) * a.spec.BurstFactor
	for {
		at += a.rng.ExpFloat64() / most
		if a.rng.Float64()*most <= a.rate(at) {
			return at
		}
	}
}

// arrive takes up a new request.
func (a *Application) arrive(due, now float64) {
	// Danger: the next one counted from now, a late loop would have fewer come.
	if at := a.nextArrival(due); at < a.day.Start+a.day.LengthSeconds {
		a.due.put(at, appTask{kind: taskArrival})
	} else {
		a.due.put(now+a.longest()+2, appTask{kind: taskEnd})
	}
	if a.alone(now) {
		return
	}
	class, at := 0, a.rng.Float64()
	if a.batch != nil {
		class, at = a.batch.Class, 0
	}
	for a.batch == nil && class < len(a.day.Classes)-1 && at >= a.day.Classes[class].Share {
		at -= a.day.Classes[class].Share
		class++
	}
	c := &a.day.Classes[class]
	k := &ask{class: class, endAt: now + c.TotalTimeoutSeconds}
	if c.BodyBytes > 0 {
		k.size = 1 + a.rng.IntN(2*c.BodyBytes)
	}
	if c.Effect == checker.Keyed {
		k.key = a.ids.Uint64()
	}
	a.try(k, now)
}

// Leave tells the application that its sidecar has been told to end: connections are opened for a short while yet, and
// those that there are used for as long as they stay open.
func (a *Application) SidecarDraining(now float64) { a.leaveAt = now + 0.2 + 0.2*a.chance.Float64() }

// Stay tells it that there is another sidecar.
func (a *Application) SidecarReplaced() { a.leaveAt = math.Inf(1) }

// alone tells whether the application has no way to a sidecar any more.
func (a *Application) alone(now float64) bool { return now >= a.leaveAt && len(a.idle) == 0 }

// longest returns the longest time that a request may have.
func (a *Application) longest() float64 {
	most := 0.0
	for _, c := range a.day.Classes {
		most = max(most, c.TotalTimeoutSeconds)
	}
	return most
}

// repeats tells whether a class is tried again after a failure that may have run.
func (a *Application) repeats(class int) bool {
	c := &a.day.Classes[class]
	return c.Effect == checker.Safe || c.Effect == checker.Keyed && c.Group == checker.GroupAll
}

// try begins the next try of a request.
func (a *Application) try(k *ask, now float64) {
	k.id, k.tries, k.resent, k.link = a.ids.Uint64()|1, k.tries+1, false, nil
	if k.first == 0 {
		k.first = k.id
	}
	k.until = k.endAt
	if k.tries <= a.spec.Retries && a.repeats(k.class) {
		k.until = min(k.endAt, now+a.spec.AttemptTimeoutShare*a.day.Classes[k.class].TotalTimeoutSeconds)
	}
	if a.chance.Float64() < a.spec.ImpatientShare {
		k.until = now + a.chance.Float64()*(k.until-now) // it goes away early
	}
	a.tell(checker.RequestStarted, k, nil)
	// An answer that comes a little late still counts.
	a.due.put(k.until+answerSlackS+socketSlackS, appTask{kind: taskOver, ask: k, id: k.id})
	if at, leaves := a.leavesEarly(k, now); leaves {
		a.due.put(at, appTask{kind: taskLeave, ask: k, id: k.id})
	}
	a.send(k, now)
}

// Clients that leave early do so in bursts, so far apart at least and at most.
const (
	leastBurstS = 0.2
	mostBurstS  = 1.2
)

// LeaveEarly has a share of the clients that begin a request until a time leave before its time is over, half of them together with
// others. What they tell the sidecar to wait is not changed by it.
func (a *Application) AbandonEarly(share, until float64) {
	a.net.Post(func() {
		a.earlyShare, a.earlyUntil, a.burstsAt = share, max(a.earlyUntil, until), a.net.Now()
	})
}

// leavesEarly draws whether the client of a try that begins now leaves early, and when.
func (a *Application) leavesEarly(k *ask, now float64) (at float64, leaves bool) {
	if now >= a.earlyUntil || a.early.Float64() >= a.earlyShare {
		return 0, false
	}
	for a.burstsAt <= now {
		a.burstsAt += leastBurstS + (mostBurstS-leastBurstS)*a.early.Float64()
	}
	if at = a.burstsAt; a.early.IntN(2) == 0 {
		at = now + a.early.Float64()*(k.until-now)
	}
	return at, at < k.until
}

// departEarly has a client leave before its time is over; one in four ends its direction of the connection alone and reads on.
func (a *Application) departEarly(k *ask, now float64) {
	link := k.link
	if out := link != nil && link.conn != nil && link.ask == k && link.taken; out && a.early.IntN(4) == 0 {
		link.halved = true
		a.tell(checker.RequestHalfClosed, k, link)
		a.net.CloseWrite(link.conn)
		return
	}
	a.giveUp(k, now)
}

// send writes a request to an idle connection, or opens one for it.
func (a *Application) send(k *ask, now float64) {
	if n := len(a.idle); n > 0 && !k.resent {
		link := a.idle[n-1]
		a.idle = a.idle[:n-1]
		a.write(link, k)
		return
	}
	if a.links >= a.spec.MaxConnections || now >= a.leaveAt {
		a.waiting = append(a.waiting, k)
		return
	}
	a.dial(k)
}

func (a *Application) dial(k *ask) {
	a.linkNumber++
	link := &appLink{app: a, number: uint64(a.number+1)<<48 | a.linkNumber, ask: k, parser: newAnswerReader(a.day.Protocol)}
	k.link = link
	a.links++
	a.net.Dial(a.address(), k.until, link, func(err error) {
		if err == nil {
			return
		}
		a.links--
		k := link.ask
		if link.ask = nil; k != nil && !k.over && k.link == link {
			k.link = nil
			a.tell(checker.ConnectFailed, k, nil)
			a.failed(k, a.net.Now(), true)
		}
		a.serveWaiting()
		a.arm()
	})
}

// address returns where the sidecar takes requests.
func (a *Application) address() string {
	at := a.day.Sidecars[a.number].Address
	if a.day.Protocol.IsThrift() {
		return ThriftAddress(at)
	}
	return at
}

// serveWaiting gives room that has come free to who waits for it.
func (a *Application) serveWaiting() {
	// Danger: what can't be served yet goes back to the end of the line, so one round is enough.
	for n := len(a.waiting); n > 0 && (len(a.idle) > 0 || a.links < a.spec.MaxConnections && a.net.Now() < a.leaveAt); n-- {
		k := a.waiting[0]
		a.waiting = a.waiting[1:]
		if !k.over && k.id != 0 && k.link == nil && k.until > a.net.Now() {
			a.send(k, a.net.Now())
		}
	}
}

// Open takes a connection that has come up.
func (a *Application) Open(c netio.Conn) bool {
	link := c.Context().(*appLink)
	link.conn = c
	switch {
	case link.asking:
		link.used++
		c.Write(http1.AppendRequest(a.out[:0], "GET", "/ready", http1.Header{{Name: "Host", Value: "service.internal"}}, nil))
	case link.ask != nil && link.ask.link == link && !link.ask.over:
		a.write(link, link.ask)
	default:
		link.ask = nil
		a.idle = append(a.idle, link)
		a.serveWaiting()
	}
	return true
}

// write writes a request to a connection.
func (a *Application) write(link *appLink, k *ask) {
	link.ask, k.link, k.sentAt, a.recent = k, link, a.net.Now(), k
	// Danger: a parser that has read an answer takes the next one for the same answer's body.
	link.parser = newAnswerReader(a.day.Protocol)
	link.used++
	if a.day.Protocol.IsThrift() {
		a.out = a.appendCall(a.out[:0], k)
	} else {
		a.out = a.appendRequest(a.out[:0], k)
	}
	conn := link.conn
	link.taken = false
	if _, err := conn.Write(a.out); err == nil && link.conn == conn && link.ask == k {
		a.taken(link)
	}
}

// appendRequest appends a request as HTTP has it.
func (a *Application) appendRequest(out []byte, k *ask) []byte {
	c := &a.day.Classes[k.class]
	method := "POST"
	if c.Effect == checker.Safe {
		method = "GET"
	}
	out = append(append(out, method...), " /"...)
	out = append(append(out, c.Name...), "/item HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: "...)
	out = append(appendID(out, k.id), "\r\nRequest-Timeout: "...)
	if wait := k.until - a.net.Now(); k.id>>1&1 == 0 { // both units are in use
		out = append(strconv.AppendInt(out, max(1, int64(wait*1e6)), 10), "u\r\n"...)
	} else {
		out = append(strconv.AppendInt(out, max(1, int64(wait*1e3)), 10), "m\r\n"...)
	}
	if k.tries > 1 && a.spec.MarksRetries {
		out = append(out, fieldRetry+": 1\r\n"...)
	}
	if a.batch != nil {
		out = append(out, fieldOrganisation+": "+a.batch.Organisation+"\r\n"...)
	}
	if k.key != 0 {
		out = append(appendID(append(out, "Idempotency-Key: "...), k.key), "\r\n"...)
	}
	if method == "POST" {
		out = strconv.AppendInt(append(out, "Content-Length: "...), int64(k.size), 10)
		out = append(out, "\r\n"...)
	}
	return append(append(out, "\r\n"...), a.body[:k.size]...)
}

// taken notes that the sidecar's machine has been handed a request whole.
func (a *Application) taken(link *appLink) {
	if !link.taken && link.conn.OutboundBuffered() == 0 {
		link.taken = true
		a.tell(checker.RequestSent, link.ask, link)
	}
}

// Traffic takes bytes of an answer.
func (a *Application) Traffic(c netio.Conn, data []byte) {
	link := c.Context().(*appLink)
	if link.ask == nil && !link.asking {
		a.tell(checker.UnsolicitedBytes, nil, link)
		a.net.Close(c)
		return
	}
	link.buf.Write(data)
	done, err := link.parser.Next(&link.buf)
	switch {
	case link.asking:
		if err != nil || done {
			a.readyAnswered(link, err == nil && link.parser.Status == 200)
		}
	case err != nil:
		k := link.ask
		a.tell(checker.ResponseTruncated, k, link)
		link.ask = nil
		a.net.Close(c)
		a.failed(k, a.net.Now(), false)
	case done:
		a.answered(link)
	}
	a.arm()
}

func (a *Application) readyAnswered(link *appLink, ready bool) {
	a.net.Close(link.conn)
	if !ready || a.ready {
		return
	}
	a.ready = true
	a.due.put(a.nextArrival(a.net.Now()), appTask{kind: taskArrival})
}

// answered takes a whole answer.
func (a *Application) answered(link *appLink) {
	k, now := link.ask, a.net.Now()
	a.taken(link)
	e := a.see(checker.ResponseReceived, k, link)
	e.Status, e.Digest = int32(link.parser.Status), checker.Digest(link.parser.Body)
	a.witness.Observe(e)
	link.ask = nil
	status, after := link.parser.Status, 0.0
	if text := link.parser.after; text != "" {
		after, _ = strconv.ParseFloat(text, 64) // what can't be read is no advice
	}
	switch {
	case link.buf.Len() > 0:
		a.tell(checker.UnsolicitedBytes, nil, link)
		a.net.Close(link.conn)
	case !link.parser.Keep() || link.halved:
		a.net.Close(link.conn)
	default:
		a.idle = append(a.idle, link)
	}
	switch status {
	case 200:
		a.settle(k)
	case 429, 503:
		a.refused(k, now, after)
	default:
		a.failed(k, now, false)
	}
	a.serveWaiting()
}

// settle ends a request.
func (a *Application) settle(k *ask) { k.over = true }

// refused takes a refusal: trying again is harmless.
func (a *Application) refused(k *ask, now, after float64) {
	pause := a.pause(k)
	if after > 0 && a.chance.Float64() < a.spec.RetryAfterShare {
		pause = max(pause, min(after, a.spec.MaxRetryAfterSeconds))
	}
	a.again(k, now+pause)
}

// failed takes a failure; unreached ones have not even been taken.
func (a *Application) failed(k *ask, now float64, unreached bool) {
	if !unreached && !a.repeats(k.class) {
		a.settle(k)
		return
	}
	a.again(k, now+a.pause(k))
}

func (a *Application) pause(k *ask) float64 {
	return a.spec.BackoffSeconds * math.Ldexp(0.5+a.chance.Float64(), min(k.tries-1, 8))
}

// again has a request tried once more, if it has tries and time left.
func (a *Application) again(k *ask, at float64) {
	k.id, k.link = 0, nil
	if k.tries > a.spec.Retries || at >= k.endAt {
		a.settle(k)
		return
	}
	a.due.put(at, appTask{kind: taskRetry, ask: k})
}

// giveUp ends the wait for a try.
func (a *Application) giveUp(k *ask, now float64) {
	a.tell(checker.RequestAbandoned, k, k.link)
	if link := k.link; link != nil {
		link.ask = nil // a connection that still comes up serves another
		if link.conn != nil {
			a.net.Close(link.conn)
		}
	}
	a.failed(k, now, false)
	a.serveWaiting()
}

// Closed takes the end of a connection.
func (a *Application) Closed(c netio.Conn, err error) {
	link := c.Context().(*appLink)
	a.links--
	link.conn = nil
	for i, other := range a.idle {
		if other == link {
			a.idle = append(a.idle[:i], a.idle[i+1:]...)
			break
		}
	}
	k := link.ask
	if link.ask = nil; k == nil || k.over || k.link != link || err == nil {
		a.arm()
		return
	}
	now := a.net.Now()
	k.link = nil
	switch {
	case link.parser.Begun():
		a.tell(checker.ResponseTruncated, k, link)
		a.failed(k, now, false)
	case link.used > 1 && !k.resent && now < k.until && !link.halved:
		a.dropped(c, k, link)
		k.resent = true // its close may have crossed the request: once more, on a new connection
		a.send(k, now)
	default:
		a.dropped(c, k, link)
		a.failed(k, now, !link.taken)
	}
	a.serveWaiting()
	a.arm()
}

// dropped tells the witness of a request whose connection the sidecar's side has ended.
func (a *Application) dropped(c netio.Conn, k *ask, link *appLink) {
	e := a.see(checker.ConnectionDropped, k, link)
	e.WasRead = readByPeer(c)
	a.witness.Observe(e)
}

// openID returns the id of a request that is out; false: there is none that is known of. Danger: one that is still on
// its way to the sidecar could come behind who uses its id, and would then be the second.
func (a *Application) openID() (uint64, bool) {
	const settledS = 0.005
	k := a.recent
	if k == nil || k.over || k.link == nil || k.link.ask != k || k.sentAt > a.net.Now()-settledS {
		return 0, false
	}
	return k.id, true
}

// finish closes the connections at the day's end.
func (a *Application) finish() {
	for len(a.idle) > 0 {
		a.net.Close(a.idle[len(a.idle)-1].conn)
	}
}

// bodyText is what bodies are cut from.
var bodyText = func() string {
	text := make([]byte, 0, 1024)
	for len(text) < 1024 {
		text = append(text, "reading=17.25;sensor=amb-0421;unit=C;"...)
	}
	return string(text)
}()
