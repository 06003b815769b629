package environment

import (
	"math"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/netio"
)

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

func (l *serverProcess) event(kind checker.Kind, k *serverConn) checker.Event {
	now := l.net.Now()
	return checker.Event{Kind: kind, At: now, FirstSent: now, Sent: now, Sidecar: k.sidecar, Server: int32(l.Spec.Number), Connection: k.number}
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
