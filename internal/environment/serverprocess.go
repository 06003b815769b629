package environment

import (
	"math"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/netio"
)

// serverProcess is one process of a server: its connections and its engine. It implements netio.Handler.
type serverProcess struct {
	*Server
	net               netio.EventLoop
	engine            *Engine
	servingSince      float64
	isDraining        bool
	isStopped         bool
	openConns         int
	firstIdle         *serverConn // the connection that has been idle for longest; the list goes on by next
	lastIdle          *serverConn
	earlyCloses       schedule[earlyClose]
	loadReports       loadReports
	healthChecks      int // since healthChecksSince
	healthChecksSince float64
	buffer            []byte
	alarmAt           float64
}

// Start starts the engine and notifies discovery of a cold start.
func (p *serverProcess) Start() {
	now := p.net.Now()
	cold := p.incarnations > 1 || p.Spec.Number >= p.day.InitialServers
	p.engine = NewEngine(&p.Spec, p.rng, now, cold)
	if cold {
		p.servingSince = now
	}
	p.loadReports.start(&p.Spec, now)
	p.observer.Observe(checker.Event{
		Kind:         checker.ServerStarted,
		At:           now,
		Sidecar:      -1,
		Server:       int32(p.Spec.Number),
		Zone:         int32(p.Spec.Site),
		Cell:         int32(p.Spec.Cell),
		ServingSince: p.servingSince,
		Address:      p.Address,
	})
	if cold {
		p.discovery.ServerStarted(p.Spec.Number, p.Address, p.servingSince, now)
	}
	p.updateAlarm()
}

// event returns an event of a connection.
func (p *serverProcess) event(kind checker.Kind, conn *serverConn) checker.Event {
	now := p.net.Now()
	return checker.Event{Kind: kind, At: now, FirstSent: now, Sent: now, Sidecar: conn.sidecar, Server: int32(p.Spec.Number), Connection: conn.number}
}

// Alarm works up to now, refreshes load reports and closes idle connections.
func (p *serverProcess) Alarm() {
	p.alarmAt = math.Inf(1)
	now := p.net.Now()
	p.advance()
	p.loadReports.refresh(p.engine, p.rng, now)
	for p.firstIdle != nil && p.firstIdle.idleAt+p.Spec.IdleTimeoutSeconds <= now {
		conn := p.firstIdle
		p.markBusy(conn)
		p.net.Close(conn.conn)
	}
	for {
		e, _, ok := p.earlyCloses.pop(now)
		if !ok {
			break
		}
		if conn := e.conn; conn.conn != nil && conn.isIdle && conn.idleAt == e.idleAt {
			p.net.Close(conn.conn)
		}
	}
	p.updateAlarm()
}

// updateAlarm sets the alarm for what is due next.
func (p *serverProcess) updateAlarm() {
	at := min(p.engine.NextAt(), p.loadReports.nextAt, p.earlyCloses.nextAt())
	if p.firstIdle != nil {
		at = min(at, p.firstIdle.idleAt+p.Spec.IdleTimeoutSeconds)
	}
	if at != p.alarmAt {
		p.alarmAt = at
		p.net.SetAlarm(at)
	}
}
