package environment

import (
	"math"
	"math/rand/v2"

	"hazelwheel/internal/checker"
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
func NewApplication(day *Day, sidecar int, observer checker.Observer) *Application {
	return &Application{number: int32(sidecar), day: day, spec: &day.Clients, observer: observer, arrivals: randomStream(day.Seed, "arrivals", sidecar),
		ids: randomStream(day.Seed, "ids", sidecar), behavior: randomStream(day.Seed, "clients", sidecar), earlyAbandons: randomStream(day.Seed, "early", sidecar), armed: math.Inf(1), drainAt: math.Inf(1),
		body: []byte(bodyText)}
}

// NewBatch returns the batch beside a sidecar: it sends requests of one class in the name of an organisation, whatever
// becomes of the applications. It tries again as they do. The service is not measured by it.
func NewBatch(day *Day, sidecar int, observer checker.Observer) *Application {
	a := NewApplication(day, sidecar, observer)
	a.batch, a.lastConnNumber = day.Batch, firstBatchConn
	a.arrivals, a.ids, a.behavior = randomStream(day.Seed, "batch arrivals", sidecar), randomStream(day.Seed, "batch ids", sidecar), randomStream(day.Seed, "batch", sidecar)
	spec := day.Clients
	spec.RatePerSecond = day.Batch.RatePerSecond
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
func (a *Application) event(kind checker.Kind, op *operation, conn *clientConn) checker.Event {
	now := a.net.Now()
	e := checker.Event{Kind: kind, At: now, FirstSent: now, Sent: now, Sidecar: a.number, Server: -1, Class: -1}
	if op != nil {
		e.Request, e.FirstRequest, e.Class, e.Deadline, e.Uncounted = op.request, op.firstRequest, int32(op.class), op.requestDeadline, a.batch != nil
	}
	if conn != nil {
		e.Connection, e.Reused = conn.number, conn.uses > 1
	}
	return e
}

func (a *Application) observe(kind checker.Kind, op *operation, conn *clientConn) {
	a.observer.Observe(a.event(kind, op, conn))
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
		op := t.operation
		switch t.kind {
		case taskProbeReady:
			if !a.ready {
				a.probeReady(now)
			}
		case taskArrival:
			a.startOperation(due, now)
		case taskRetry:
			if !op.isFinished && !a.isDisconnected(now) {
				a.startRequest(op, now)
			}
		case taskTimeout:
			if !op.isFinished && op.request == t.request {
				a.abandon(op, now)
			}
		case taskAbandon:
			if !op.isFinished && op.request == t.request {
				a.abandonEarly(op, now)
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
	conn := &clientConn{app: a, number: uint64(a.number+1)<<48 | a.lastConnNumber, isReadinessProbe: true, response: newResponseReader(HTTP)}
	a.openConns++
	a.net.Dial(a.day.Sidecars[a.number].Address, now+1, conn, func(err error) {
		if err != nil {
			a.openConns--
		}
	})
	a.tasks.add(now+readyIntervalSeconds, clientTask{kind: taskProbeReady})
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

// bodyText is what bodies are cut from.
var bodyText = func() string {
	text := make([]byte, 0, 1024)
	for len(text) < 1024 {
		text = append(text, "reading=17.25;sensor=amb-0421;unit=C;"...)
	}
	return string(text)
}()
