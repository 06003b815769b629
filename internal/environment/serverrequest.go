package environment

import (
	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
)

// serverJob is a request or a health check with what its answer needs.
type serverJob struct {
	Job
	conn       *serverConn // nil: it was closed
	request    uint64
	class      int
	isLiveness bool
	fails      bool // its answer will be 500
}

// handleRequest answers a request, or enqueues it at the engine.
func (p *serverProcess) handleRequest(conn *serverConn) {
	target := conn.request.path
	class, ok := p.classes[conn.request.class]
	switch {
	case target == "/health" || target == "/status/load":
		p.handleHealthCheck(conn, target == "/health")
	case !ok:
		p.writeResponse(conn, 404, nil)
	case conn.request.id == "":
		p.writeResponse(conn, 404, nil)
	default:
		p.execute(conn, class)
	}
}

// execute reports an attempt and enqueues its job at the engine, or rejects it.
func (p *serverProcess) execute(conn *serverConn, class int) {
	now := p.net.Now()
	job := &serverJob{conn: conn, request: parseID(conn.request.id), class: class}
	spec := &p.day.Classes[class]
	p.requestSource.Seed(p.day.Seed, job.request)
	work := spec.MeanWorkSeconds * logNormalFactor(p.requestCost, spec.WorkCV) * logNormalFactor(p.rng, 0.3) / p.Spec.Speed
	if key := conn.request.key; spec.Effect == checker.Keyed && p.keyMemory.isRepeat(key, now, spec.DedupWindowSeconds) {
		work *= 0.05 // the key is looked up, and nothing more
	}
	if job.Seconds = work; !conn.isUsed { // the connection's cost is paid by its first request
		job.Seconds += p.Spec.HandshakeSeconds / p.Spec.Speed
	}
	conn.isUsed = true
	job.fails = p.rng.Float64() < p.Spec.ErrorShare
	e := p.event(checker.AttemptReceived, conn)
	e.Request, e.Class, e.Work, e.FirstSent, e.Sent = job.request, int32(class), min(work, maxCountedRequests*spec.MeanWorkSeconds/p.Spec.Speed), conn.firstByteAt, sentAt(conn.conn, now)
	e.FirstSent = min(e.FirstSent, e.Sent)
	p.observer.Observe(e)
	if job.request == 0 {
		p.writeResponse(conn, 400, nil)
		return
	}
	// Danger: a sender can't know that a request is a heavy one; only a limited weight counts against it.
	p.countWork(e.Work)
	if p.isDraining || conn.isOverLimit || !p.engine.Enqueue(now, &job.Job) {
		conn.job = job
		p.reject(conn)
		return
	}
	job.Owner = job
	conn.job = job
}

// maxCountedRequests is how many mean requests of its class one request counts for at most against a cold server.
const maxCountedRequests = 2

// countWork counts work against a cold server and reports its overload.
func (p *serverProcess) countWork(seconds float64) {
	if now := p.net.Now(); p.engine.CountWork(now, seconds) {
		p.observer.Observe(checker.Event{Kind: checker.ServerOverloaded, At: now, Sidecar: -1, Server: int32(p.Spec.Number)})
	}
}

// reject answers that a request has not started and never will.
func (p *serverProcess) reject(conn *serverConn) {
	p.observeResponse(conn, 503, true, false, nil)
	conn.job = nil
	h := [2]http1.Field{{Name: fieldNotStarted, Value: "1"}, {Name: "Connection", Value: "close"}}
	header := h[:1]
	if conn.isOverLimit {
		header = h[:2]
	}
	p.write(conn, conn.appendResponse(p.buffer[:0], 503, header, nil))
	if conn.isOverLimit && conn.conn != nil {
		p.net.Close(conn.conn)
	}
}

// handleHealthCheck rejects a health check, or enqueues it as a request.
func (p *serverProcess) handleHealthCheck(conn *serverConn, isLiveness bool) {
	now := p.net.Now()
	job := &serverJob{conn: conn, isLiveness: isLiveness, class: -1}
	job.IsHealthCheck, job.Seconds = true, p.Spec.HealthCheckSeconds/p.Spec.Speed
	e := p.event(checker.HealthCheckReceived, conn)
	e.Work = job.Seconds
	p.observer.Observe(e)
	p.countWork(job.Seconds)
	if now >= p.healthChecksSince+1 {
		p.healthChecksSince, p.healthChecks = now, 0
	}
	if p.healthChecks++; float64(p.healthChecks) > p.Spec.HealthChecksPerSecond || isLiveness && p.isDraining || !p.engine.Enqueue(now, &job.Job) {
		p.writeResponse(conn, 503, nil)
		return
	}
	job.Owner = job
	conn.job = job
}

// healthCheckQueueSeconds is how long a health check may be queued.
const healthCheckQueueSeconds = 0.4

// advance has the engine work up to now, and answers what is done.
func (p *serverProcess) advance() {
	now := p.net.Now()
	for _, done := range p.engine.Advance(now) {
		job := done.Owner.(*serverJob)
		conn := job.conn
		if !job.IsHealthCheck {
			p.loadReports.countExecution(job.fails)
		}
		if conn == nil || conn.conn == nil {
			continue
		}
		switch {
		case job.IsHealthCheck && done.EnqueuedAt < now-healthCheckQueueSeconds:
			conn.job = nil
			p.writeResponse(conn, 503, nil)
		case job.IsHealthCheck && job.isLiveness:
			conn.job = nil
			p.writeResponse(conn, 200, []byte("ok\n"))
		case job.IsHealthCheck:
			conn.job = nil
			p.writeResponse(conn, 200, p.loadReports.published)
		default:
			p.respond(conn, job)
		}
		if conn.conn != nil && !conn.isUnusable && conn.job == nil {
			p.markIdle(conn)
			p.readRequests(conn)
		}
	}
}
