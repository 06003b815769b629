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
	number   int32
	day      *Day
	spec     *ClientSpec
	observer checker.Observer
	arrivals *rand.Rand // arrivals
	ids      *rand.Rand
	behavior *rand.Rand // what a request does
	net      netio.EventLoop
	tasks    schedule[clientTask]
	armed    float64
	ready    bool

	drainAt float64 // from then on no connection is opened; +Inf: it stays

	earlyAbandons    *rand.Rand // which clients leave early, and when
	earlyShare       float64    // of the tries whose client leaves before its time is over
	earlyUntil       float64
	nextAbandonBurst float64 // the next instant at which many leave together

	burstAt, burstEnd float64
	idleConns         []*clientConn // the one that was used last at the end
	waitingOperations []*operation  // for a connection
	openConns         int           // open, or coming up
	lastConnNumber    uint64
	batch             *BatchSpec // it is the batch beside the application; nil: it is the application
	lastSent          *operation // that was written last
	out               []byte
	body              []byte
}

// ask is a request of the application, over all its tries.
type operation struct {
	firstRequest    uint64
	class           int
	deadline        float64 // its whole time
	requests        int
	idempotencyKey  uint64
	bodySize        int // of the body
	request         uint64
	requestDeadline float64 // of the present try
	conn            *clientConn
	isResent        bool
	isFinished      bool
	sentAt          float64 // when the present try was written
}

// appLink is a connection to the sidecar, or one that is coming up.
type clientConn struct {
	app              *Application
	conn             netio.Conn
	number           uint64
	buf              http1.Buffer
	response         responseReader
	operation        *operation // that is out, or waits for the connection
	uses             int
	isReadinessProbe bool // whether the sidecar is ready
	isSent           bool
	isHalfClosed     bool // the client has ended its direction of it
}

type clientTask struct {
	kind      clientTaskKind
	operation *operation
	request   uint64 // of the try that is meant
}

type clientTaskKind uint8

const (
	taskArrival clientTaskKind = iota
	taskRetry
	taskTimeout    // the wait for a try
	taskAbandon    // a try's client closes its connection early, or its direction of it
	taskProbeReady // asks whether the sidecar is
	taskEnd
)

// readyEveryS is the time between two questions whether the sidecar is ready.
const readyIntervalSeconds = 0.05

// NewApplication returns the application beside a sidecar.
func NewApplication(d *Day, sidecar int, w checker.Observer) *Application {
	return &Application{number: int32(sidecar), day: d, spec: &d.Clients, observer: w, arrivals: randomStream(d.Seed, "arrivals", sidecar),
		ids: randomStream(d.Seed, "ids", sidecar), behavior: randomStream(d.Seed, "clients", sidecar), earlyAbandons: randomStream(d.Seed, "early", sidecar), armed: math.Inf(1), drainAt: math.Inf(1),
		body: []byte(bodyText)}
}

// NewBatch returns the batch beside a sidecar: it sends requests of one class in the name of an organisation, whatever
// becomes of the applications. It tries again as they do. The service is not measured by it.
func NewBatch(d *Day, sidecar int, w checker.Observer) *Application {
	a := NewApplication(d, sidecar, w)
	a.batch, a.lastConnNumber = d.Batch, firstBatchConn
	a.arrivals, a.ids, a.behavior = randomStream(d.Seed, "batch arrivals", sidecar), randomStream(d.Seed, "batch ids", sidecar), randomStream(d.Seed, "batch", sidecar)
	spec := d.Clients
	spec.RatePerSecond = d.Batch.RatePerSecond
	a.spec = &spec
	return a
}

// batchLinks is where the numbers of a batch's connections begin, beyond those of the application beside it.
const firstBatchConn = 1 << 47

// Boot begins the application.
func (a *Application) Boot(net netio.EventLoop) netio.Handler {
	a.net = net
	return a
}

// Start asks whether the sidecar is ready.
func (a *Application) Start() {
	a.tasks.add(a.net.Now(), clientTask{kind: taskProbeReady})
	a.arm()
}

// see tells the witness of a try.
func (a *Application) event(kind checker.Kind, k *operation, link *clientConn) checker.Event {
	now := a.net.Now()
	e := checker.Event{Kind: kind, At: now, FirstSent: now, Sent: now, Sidecar: a.number, Server: -1, Class: -1}
	if k != nil {
		e.Request, e.FirstRequest, e.Class, e.Deadline, e.Uncounted = k.request, k.firstRequest, int32(k.class), k.requestDeadline, a.batch != nil
	}
	if link != nil {
		e.Connection, e.Reused = link.number, link.uses > 1
	}
	return e
}

func (a *Application) observe(kind checker.Kind, k *operation, link *clientConn) {
	a.observer.Observe(a.event(kind, k, link))
}

// Alarm does what is due.
func (a *Application) Alarm() {
	a.armed = math.Inf(1)
	now := a.net.Now()
	for {
		t, due, ok := a.tasks.pop(now)
		if !ok {
			break
		}
		k := t.operation
		switch t.kind {
		case taskProbeReady:
			if !a.ready {
				a.probeReady(now)
			}
		case taskArrival:
			a.startOperation(due, now)
		case taskRetry:
			if !k.isFinished && !a.isDisconnected(now) {
				a.startRequest(k, now)
			}
		case taskTimeout:
			if !k.isFinished && k.request == t.request {
				a.abandon(k, now)
			}
		case taskAbandon:
			if !k.isFinished && k.request == t.request {
				a.abandonEarly(k, now)
			}
		case taskEnd:
			a.closeIdle()
		}
	}
	a.arm()
}

func (a *Application) arm() {
	if at := a.tasks.nextAt(); at != a.armed && at < math.Inf(1) {
		a.armed = at
		a.net.SetAlarm(at)
	}
}

func (a *Application) probeReady(now float64) {
	a.lastConnNumber++
	link := &clientConn{app: a, number: uint64(a.number+1)<<48 | a.lastConnNumber, isReadinessProbe: true, response: newResponseReader(HTTP)}
	a.openConns++
	a.net.Dial(a.day.Sidecars[a.number].Address, now+1, link, func(err error) {
		if err != nil {
			a.openConns--
		}
	})
	a.tasks.add(now+readyIntervalSeconds, clientTask{kind: taskProbeReady})
}

// rate returns how many requests a second come at a time.
func (a *Application) rateAt(at float64) float64 {
	s := a.spec
	r := s.RatePerSecond * a.day.Sidecars[a.number].Share * (1 + s.Swing*math.Sin(2*math.Pi*(at-a.day.Start)/s.SwingPeriodSeconds))
	for at >= a.burstEnd {
		a.burstAt = max(a.burstEnd, a.day.Start) + s.BurstIntervalSeconds*a.arrivals.ExpFloat64()
		a.burstEnd = a.burstAt + s.BurstSeconds*(0.5+a.arrivals.Float64())
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
		at += a.arrivals.ExpFloat64() / most
		if a.arrivals.Float64()*most <= a.rateAt(at) {
			return at
		}
	}
}

// arrive takes up a new request.
func (a *Application) startOperation(due, now float64) {
	// Danger: the next one counted from now, a late loop would have fewer come.
	if at := a.nextArrival(due); at < a.day.Start+a.day.LengthSeconds {
		a.tasks.add(at, clientTask{kind: taskArrival})
	} else {
		a.tasks.add(now+a.longestTimeout()+2, clientTask{kind: taskEnd})
	}
	if a.isDisconnected(now) {
		return
	}
	class, at := 0, a.arrivals.Float64()
	if a.batch != nil {
		class, at = a.batch.Class, 0
	}
	for a.batch == nil && class < len(a.day.Classes)-1 && at >= a.day.Classes[class].Share {
		at -= a.day.Classes[class].Share
		class++
	}
	c := &a.day.Classes[class]
	k := &operation{class: class, deadline: now + c.TotalTimeoutSeconds}
	if c.BodyBytes > 0 {
		k.bodySize = 1 + a.arrivals.IntN(2*c.BodyBytes)
	}
	if c.Effect == checker.Keyed {
		k.idempotencyKey = a.ids.Uint64()
	}
	a.startRequest(k, now)
}

// Leave tells the application that its sidecar has been told to end: connections are opened for a short while yet, and
// those that there are used for as long as they stay open.
func (a *Application) SidecarDraining(now float64) { a.drainAt = now + 0.2 + 0.2*a.behavior.Float64() }

// Stay tells it that there is another sidecar.
func (a *Application) SidecarReplaced() { a.drainAt = math.Inf(1) }

// alone tells whether the application has no way to a sidecar any more.
func (a *Application) isDisconnected(now float64) bool {
	return now >= a.drainAt && len(a.idleConns) == 0
}

// longest returns the longest time that a request may have.
func (a *Application) longestTimeout() float64 {
	most := 0.0
	for _, c := range a.day.Classes {
		most = max(most, c.TotalTimeoutSeconds)
	}
	return most
}

// repeats tells whether a class is tried again after a failure that may have run.
func (a *Application) mayRetryFailure(class int) bool {
	c := &a.day.Classes[class]
	return c.Effect == checker.Safe || c.Effect == checker.Keyed && c.Group == checker.GroupAll
}

// try begins the next try of a request.
func (a *Application) startRequest(k *operation, now float64) {
	k.request, k.requests, k.isResent, k.conn = a.ids.Uint64()|1, k.requests+1, false, nil
	if k.firstRequest == 0 {
		k.firstRequest = k.request
	}
	k.requestDeadline = k.deadline
	if k.requests <= a.spec.Retries && a.mayRetryFailure(k.class) {
		k.requestDeadline = min(k.deadline, now+a.spec.AttemptTimeoutShare*a.day.Classes[k.class].TotalTimeoutSeconds)
	}
	if a.behavior.Float64() < a.spec.ImpatientShare {
		k.requestDeadline = now + a.behavior.Float64()*(k.requestDeadline-now) // it goes away early
	}
	a.observe(checker.RequestStarted, k, nil)
	// An answer that comes a little late still counts.
	a.tasks.add(k.requestDeadline+answerSlackSeconds+socketSlackSeconds, clientTask{kind: taskTimeout, operation: k, request: k.request})
	if at, leaves := a.drawEarlyAbandon(k, now); leaves {
		a.tasks.add(at, clientTask{kind: taskAbandon, operation: k, request: k.request})
	}
	a.send(k, now)
}

// Clients that leave early do so in bursts, so far apart at least and at most.
const (
	minAbandonBurstSeconds = 0.2
	maxAbandonBurstSeconds = 1.2
)

// LeaveEarly has a share of the clients that begin a request until a time leave before its time is over, half of them together with
// others. What they tell the sidecar to wait is not changed by it.
func (a *Application) AbandonEarly(share, until float64) {
	a.net.Post(func() {
		a.earlyShare, a.earlyUntil, a.nextAbandonBurst = share, max(a.earlyUntil, until), a.net.Now()
	})
}

// leavesEarly draws whether the client of a try that begins now leaves early, and when.
func (a *Application) drawEarlyAbandon(k *operation, now float64) (at float64, leaves bool) {
	if now >= a.earlyUntil || a.earlyAbandons.Float64() >= a.earlyShare {
		return 0, false
	}
	for a.nextAbandonBurst <= now {
		a.nextAbandonBurst += minAbandonBurstSeconds + (maxAbandonBurstSeconds-minAbandonBurstSeconds)*a.earlyAbandons.Float64()
	}
	if at = a.nextAbandonBurst; a.earlyAbandons.IntN(2) == 0 {
		at = now + a.earlyAbandons.Float64()*(k.requestDeadline-now)
	}
	return at, at < k.requestDeadline
}

// departEarly has a client leave before its time is over; one in four ends its direction of the connection alone and reads on.
func (a *Application) abandonEarly(k *operation, now float64) {
	link := k.conn
	if out := link != nil && link.conn != nil && link.operation == k && link.isSent; out && a.earlyAbandons.IntN(4) == 0 {
		link.isHalfClosed = true
		a.observe(checker.RequestHalfClosed, k, link)
		a.net.CloseWrite(link.conn)
		return
	}
	a.abandon(k, now)
}

// send writes a request to an idle connection, or opens one for it.
func (a *Application) send(k *operation, now float64) {
	if n := len(a.idleConns); n > 0 && !k.isResent {
		link := a.idleConns[n-1]
		a.idleConns = a.idleConns[:n-1]
		a.write(link, k)
		return
	}
	if a.openConns >= a.spec.MaxConnections || now >= a.drainAt {
		a.waitingOperations = append(a.waitingOperations, k)
		return
	}
	a.dial(k)
}

func (a *Application) dial(k *operation) {
	a.lastConnNumber++
	link := &clientConn{app: a, number: uint64(a.number+1)<<48 | a.lastConnNumber, operation: k, response: newResponseReader(a.day.Protocol)}
	k.conn = link
	a.openConns++
	a.net.Dial(a.address(), k.requestDeadline, link, func(err error) {
		if err == nil {
			return
		}
		a.openConns--
		k := link.operation
		if link.operation = nil; k != nil && !k.isFinished && k.conn == link {
			k.conn = nil
			a.observe(checker.ConnectFailed, k, nil)
			a.retryFailed(k, a.net.Now(), true)
		}
		a.sendWaiting()
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
func (a *Application) sendWaiting() {
	// Danger: what can't be served yet goes back to the end of the line, so one round is enough.
	for n := len(a.waitingOperations); n > 0 && (len(a.idleConns) > 0 || a.openConns < a.spec.MaxConnections && a.net.Now() < a.drainAt); n-- {
		k := a.waitingOperations[0]
		a.waitingOperations = a.waitingOperations[1:]
		if !k.isFinished && k.request != 0 && k.conn == nil && k.requestDeadline > a.net.Now() {
			a.send(k, a.net.Now())
		}
	}
}

// Open takes a connection that has come up.
func (a *Application) Open(c netio.Conn) bool {
	link := c.Context().(*clientConn)
	link.conn = c
	switch {
	case link.isReadinessProbe:
		link.uses++
		c.Write(http1.AppendRequest(a.out[:0], "GET", "/ready", http1.Header{{Name: "Host", Value: "service.internal"}}, nil))
	case link.operation != nil && link.operation.conn == link && !link.operation.isFinished:
		a.write(link, link.operation)
	default:
		link.operation = nil
		a.idleConns = append(a.idleConns, link)
		a.sendWaiting()
	}
	return true
}

// write writes a request to a connection.
func (a *Application) write(link *clientConn, k *operation) {
	link.operation, k.conn, k.sentAt, a.lastSent = k, link, a.net.Now(), k
	// Danger: a parser that has read an answer takes the next one for the same answer's body.
	link.response = newResponseReader(a.day.Protocol)
	link.uses++
	if a.day.Protocol.IsThrift() {
		a.out = a.appendCall(a.out[:0], k)
	} else {
		a.out = a.appendRequest(a.out[:0], k)
	}
	conn := link.conn
	link.isSent = false
	if _, err := conn.Write(a.out); err == nil && link.conn == conn && link.operation == k {
		a.observeSent(link)
	}
}

// appendRequest appends a request as HTTP has it.
func (a *Application) appendRequest(out []byte, k *operation) []byte {
	c := &a.day.Classes[k.class]
	method := "POST"
	if c.Effect == checker.Safe {
		method = "GET"
	}
	out = append(append(out, method...), " /"...)
	out = append(append(out, c.Name...), "/item HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: "...)
	out = append(appendID(out, k.request), "\r\nRequest-Timeout: "...)
	if wait := k.requestDeadline - a.net.Now(); k.request>>1&1 == 0 { // both units are in use
		out = append(strconv.AppendInt(out, max(1, int64(wait*1e6)), 10), "u\r\n"...)
	} else {
		out = append(strconv.AppendInt(out, max(1, int64(wait*1e3)), 10), "m\r\n"...)
	}
	if k.requests > 1 && a.spec.MarksRetries {
		out = append(out, fieldRetry+": 1\r\n"...)
	}
	if a.batch != nil {
		out = append(out, fieldOrganisation+": "+a.batch.Organisation+"\r\n"...)
	}
	if k.idempotencyKey != 0 {
		out = append(appendID(append(out, "Idempotency-Key: "...), k.idempotencyKey), "\r\n"...)
	}
	if method == "POST" {
		out = strconv.AppendInt(append(out, "Content-Length: "...), int64(k.bodySize), 10)
		out = append(out, "\r\n"...)
	}
	return append(append(out, "\r\n"...), a.body[:k.bodySize]...)
}

// taken notes that the sidecar's machine has been handed a request whole.
func (a *Application) observeSent(link *clientConn) {
	if !link.isSent && link.conn.OutboundBuffered() == 0 {
		link.isSent = true
		a.observe(checker.RequestSent, link.operation, link)
	}
}

// Traffic takes bytes of an answer.
func (a *Application) Traffic(c netio.Conn, data []byte) {
	link := c.Context().(*clientConn)
	if link.operation == nil && !link.isReadinessProbe {
		a.observe(checker.UnsolicitedBytes, nil, link)
		a.net.Close(c)
		return
	}
	link.buf.Write(data)
	done, err := link.response.Next(&link.buf)
	switch {
	case link.isReadinessProbe:
		if err != nil || done {
			a.readyAnswered(link, err == nil && link.response.Status == 200)
		}
	case err != nil:
		k := link.operation
		a.observe(checker.ResponseTruncated, k, link)
		link.operation = nil
		a.net.Close(c)
		a.retryFailed(k, a.net.Now(), false)
	case done:
		a.responseReceived(link)
	}
	a.arm()
}

func (a *Application) readyAnswered(link *clientConn, ready bool) {
	a.net.Close(link.conn)
	if !ready || a.ready {
		return
	}
	a.ready = true
	a.tasks.add(a.nextArrival(a.net.Now()), clientTask{kind: taskArrival})
}

// answered takes a whole answer.
func (a *Application) responseReceived(link *clientConn) {
	k, now := link.operation, a.net.Now()
	a.observeSent(link)
	e := a.event(checker.ResponseReceived, k, link)
	e.Status, e.Digest = int32(link.response.Status), checker.Digest(link.response.Body)
	a.observer.Observe(e)
	link.operation = nil
	status, after := link.response.Status, 0.0
	if text := link.response.after; text != "" {
		after, _ = strconv.ParseFloat(text, 64) // what can't be read is no advice
	}
	switch {
	case link.buf.Len() > 0:
		a.observe(checker.UnsolicitedBytes, nil, link)
		a.net.Close(link.conn)
	case !link.response.Keep() || link.isHalfClosed:
		a.net.Close(link.conn)
	default:
		a.idleConns = append(a.idleConns, link)
	}
	switch status {
	case 200:
		a.finishOperation(k)
	case 429, 503:
		a.retryRejected(k, now, after)
	default:
		a.retryFailed(k, now, false)
	}
	a.sendWaiting()
}

// settle ends a request.
func (a *Application) finishOperation(k *operation) { k.isFinished = true }

// refused takes a refusal: trying again is harmless.
func (a *Application) retryRejected(k *operation, now, after float64) {
	pause := a.backoff(k)
	if after > 0 && a.behavior.Float64() < a.spec.RetryAfterShare {
		pause = max(pause, min(after, a.spec.MaxRetryAfterSeconds))
	}
	a.scheduleRetry(k, now+pause)
}

// failed takes a failure; unreached ones have not even been taken.
func (a *Application) retryFailed(k *operation, now float64, unreached bool) {
	if !unreached && !a.mayRetryFailure(k.class) {
		a.finishOperation(k)
		return
	}
	a.scheduleRetry(k, now+a.backoff(k))
}

func (a *Application) backoff(k *operation) float64 {
	return a.spec.BackoffSeconds * math.Ldexp(0.5+a.behavior.Float64(), min(k.requests-1, 8))
}

// again has a request tried once more, if it has tries and time left.
func (a *Application) scheduleRetry(k *operation, at float64) {
	k.request, k.conn = 0, nil
	if k.requests > a.spec.Retries || at >= k.deadline {
		a.finishOperation(k)
		return
	}
	a.tasks.add(at, clientTask{kind: taskRetry, operation: k})
}

// giveUp ends the wait for a try.
func (a *Application) abandon(k *operation, now float64) {
	a.observe(checker.RequestAbandoned, k, k.conn)
	if link := k.conn; link != nil {
		link.operation = nil // a connection that still comes up serves another
		if link.conn != nil {
			a.net.Close(link.conn)
		}
	}
	a.retryFailed(k, now, false)
	a.sendWaiting()
}

// Closed takes the end of a connection.
func (a *Application) Closed(c netio.Conn, err error) {
	link := c.Context().(*clientConn)
	a.openConns--
	link.conn = nil
	for i, other := range a.idleConns {
		if other == link {
			a.idleConns = append(a.idleConns[:i], a.idleConns[i+1:]...)
			break
		}
	}
	k := link.operation
	if link.operation = nil; k == nil || k.isFinished || k.conn != link || err == nil {
		a.arm()
		return
	}
	now := a.net.Now()
	k.conn = nil
	switch {
	case link.response.Begun():
		a.observe(checker.ResponseTruncated, k, link)
		a.retryFailed(k, now, false)
	case link.uses > 1 && !k.isResent && now < k.requestDeadline && !link.isHalfClosed:
		a.observeDropped(c, k, link)
		k.isResent = true // its close may have crossed the request: once more, on a new connection
		a.send(k, now)
	default:
		a.observeDropped(c, k, link)
		a.retryFailed(k, now, !link.isSent)
	}
	a.sendWaiting()
	a.arm()
}

// dropped tells the witness of a request whose connection the sidecar's side has ended.
func (a *Application) observeDropped(c netio.Conn, k *operation, link *clientConn) {
	e := a.event(checker.ConnectionDropped, k, link)
	e.WasRead = readByPeer(c)
	a.observer.Observe(e)
}

// openID returns the id of a request that is out; false: there is none that is known of. Danger: one that is still on
// its way to the sidecar could come behind who uses its id, and would then be the second.
func (a *Application) pendingRequestID() (uint64, bool) {
	const settledS = 0.005
	k := a.lastSent
	if k == nil || k.isFinished || k.conn == nil || k.conn.operation != k || k.sentAt > a.net.Now()-settledS {
		return 0, false
	}
	return k.request, true
}

// finish closes the connections at the day's end.
func (a *Application) closeIdle() {
	for len(a.idleConns) > 0 {
		a.net.Close(a.idleConns[len(a.idleConns)-1].conn)
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
