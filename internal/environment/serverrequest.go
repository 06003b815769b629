package environment

import (
	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
)

// boxJob is a request or a probe with what its answer needs.
type serverJob struct {
	Job
	conn       *serverConn // nil: nobody waits any more
	request    uint64
	class      int
	isLiveness bool
	fails      bool // its answer will be 500
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
