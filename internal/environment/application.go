package environment

import (
	"math"
	"math/rand/v2"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/netio"
)

// Application is the client beside one sidecar. Its operations arrive whether earlier ones are answered or not, and it
// retries them as its ClientSpec says. It starts once the sidecar is ready. It implements netio.Handler.
type Application struct {
	number         int32
	day            *Day
	spec           *ClientSpec
	observer       checker.Observer
	arrivals       *rand.Rand // of operations
	ids            *rand.Rand
	behavior       *rand.Rand // of a request: its impatience, backoff and retries
	net            netio.EventLoop
	tasks          schedule[clientTask]
	alarmAt        float64
	isSidecarReady bool

	drainAt float64 // from then on no connection is opened; +Inf: the sidecar stays

	earlyAbandons    *rand.Rand // which clients abandon a request early, and when
	earlyShare       float64    // of the requests that are abandoned before their deadline
	earlyUntil       float64
	nextAbandonBurst float64 // the next time at which many are abandoned together

	burstAt, burstEnd float64
	idleConns         []*clientConn // the last used one is at the end
	waitingOperations []*operation  // for a connection
	openConns         int           // open, or being dialed
	lastConnNumber    uint64
	batch             *BatchSpec // set for the batch beside the application
	lastSent          *operation // the operation whose request was written last
	buffer            []byte
	body              []byte
}

// operation is what the application wants over all its requests for it: the first one and its retries.
type operation struct {
	firstRequest    uint64
	class           int
	deadline        float64 // of all its requests
	requests        int
	idempotencyKey  uint64
	bodySize        int // in bytes
	request         uint64
	requestDeadline float64 // of the present request
	conn            *clientConn
	isResent        bool
	isFinished      bool
	sentAt          float64 // when the present request was written
}

type clientTask struct {
	kind      clientTaskKind
	operation *operation
	request   uint64 // the request that is meant; others are ignored
}

type clientTaskKind uint8

const (
	taskArrival clientTaskKind = iota
	taskRetry
	taskTimeout    // the deadline of a request
	taskAbandon    // the client closes a request's connection early, or its direction of it
	taskProbeReady // probes whether the sidecar is ready
	taskEnd
)

// readyIntervalSeconds is the time between two readiness probes.
const readyIntervalSeconds = 0.05

// NewApplication returns the application beside a sidecar.
func NewApplication(day *Day, sidecar int, observer checker.Observer) *Application {
	return &Application{
		number:        int32(sidecar),
		day:           day,
		spec:          &day.Clients,
		observer:      observer,
		arrivals:      randomStream(day.Seed, "arrivals", sidecar),
		ids:           randomStream(day.Seed, "ids", sidecar),
		behavior:      randomStream(day.Seed, "clients", sidecar),
		earlyAbandons: randomStream(day.Seed, "early", sidecar),
		alarmAt:       math.Inf(1),
		drainAt:       math.Inf(1),
		body:          []byte(bodyText),
	}
}

// NewBatch returns the batch job beside a sidecar: it sends requests of one class in the name of an organisation, independent
// of the applications, and retries as they do. The service is not measured by it.
func NewBatch(day *Day, sidecar int, observer checker.Observer) *Application {
	a := NewApplication(day, sidecar, observer)
	a.batch, a.lastConnNumber = day.Batch, firstBatchConn
	a.arrivals, a.ids, a.behavior = randomStream(day.Seed, "batch arrivals", sidecar), randomStream(day.Seed, "batch ids", sidecar), randomStream(day.Seed, "batch", sidecar)
	spec := day.Clients
	spec.RatePerSecond = day.Batch.RatePerSecond
	a.spec = &spec
	return a
}

// firstBatchConn is the lowest number of a batch's connections, above those of the application beside it.
const firstBatchConn = 1 << 47

// Boot returns the application's process.
func (a *Application) Boot(net netio.EventLoop) netio.Handler {
	a.net = net
	return a
}

// Start schedules the first readiness probe.
func (a *Application) Start() {
	a.tasks.add(a.net.Now(), clientTask{kind: taskProbeReady})
	a.updateAlarm()
}

// event returns an event of an operation's present request and of a connection; either may be nil.
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

// observe reports an event of an operation's present request and of a connection; either may be nil.
func (a *Application) observe(kind checker.Kind, op *operation, conn *clientConn) {
	a.observer.Observe(a.event(kind, op, conn))
}

// Alarm does what is due.
func (a *Application) Alarm() {
	a.alarmAt = math.Inf(1)
	now := a.net.Now()
	for {
		task, dueAt, ok := a.tasks.pop(now)
		if !ok {
			break
		}
		op := task.operation
		switch task.kind {
		case taskProbeReady:
			if !a.isSidecarReady {
				a.dialReadinessProbe(now)
			}
		case taskArrival:
			a.startOperation(dueAt, now)
		case taskRetry:
			if !op.isFinished && !a.isDisconnected(now) {
				a.startRequest(op, now)
			}
		case taskTimeout:
			if !op.isFinished && op.request == task.request {
				a.abandon(op, now)
			}
		case taskAbandon:
			if !op.isFinished && op.request == task.request {
				a.abandonEarly(op, now)
			}
		case taskEnd:
			a.closeIdle()
		}
	}
	a.updateAlarm()
}

// updateAlarm sets the alarm for what is due next.
func (a *Application) updateAlarm() {
	if at := a.tasks.nextAt(); at != a.alarmAt && at < math.Inf(1) {
		a.alarmAt = at
		a.net.SetAlarm(at)
	}
}

// dialReadinessProbe dials a readiness probe and schedules the next one.
func (a *Application) dialReadinessProbe(now float64) {
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

// SidecarDraining notifies the application that its sidecar was told to shut down: new connections are opened for a short
// while, and open ones are used as long as they stay open.
func (a *Application) SidecarDraining(now float64) { a.drainAt = now + 0.2 + 0.2*a.behavior.Float64() }

// SidecarReplaced notifies the application that the sidecar's next process starts.
func (a *Application) SidecarReplaced() { a.drainAt = math.Inf(1) }

// isDisconnected reports whether the application can't reach a sidecar any more.
func (a *Application) isDisconnected(now float64) bool {
	return now >= a.drainAt && len(a.idleConns) == 0
}

// bodyText is the text of which bodies are prefixes.
var bodyText = func() string {
	text := make([]byte, 0, 1024)
	for len(text) < 1024 {
		text = append(text, "reading=17.25;sensor=amb-0421;unit=C;"...)
	}
	return string(text)
}()
