package proxy

import (
	"context"
	"net/http"
	"time"

	"hazelwheel/internal/decide/placement"
	"hazelwheel/internal/routeconfig"
)

const (
	// healthCheckTick is how often the proxy looks for endpoints whose health check is due.
	healthCheckTick = 100 * time.Millisecond
	// healthCheckTimeout bounds the duration of one check.
	healthCheckTimeout = 3 * time.Second
	// sweepTicks is the number of ticks between two sweeps of expired state and connections.
	sweepTicks = 20
)

// runHealthChecks starts the health checks that are due at each tick until the context ends. It also writes the periodic log lines, and sweeps
// expired state and connections.
func (p *Proxy) runHealthChecks(ctx context.Context) {
	ticker := time.NewTicker(healthCheckTick)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.checkDueEndpoints(ctx)
		p.logDue(time.Now())
		if tick%sweepTicks == 0 {
			p.state.refreshExpired()
			wanted := p.state.listedAddresses()
			p.conns.closeExpired(func(address string) bool { return wanted[address] })
		}
	}
}

// healthCheck is a check of one server.
type healthCheck struct {
	endpoint         *placement.Endpoint
	address, id      string // of the instance that is expected
	healthPath, host string
}

// checkDueEndpoints starts the checks that are due, each in a goroutine of its own.
func (p *Proxy) checkDueEndpoints(ctx context.Context) {
	var due []healthCheck
	p.state.withLock(func(now float64) {
		for name, pool := range p.state.pools {
			service := p.state.table.services[name]
			pool.Budget.Trim(now)
			for _, endpoint := range pool.DueProbes(now) {
				due = append(due, healthCheck{endpoint, endpoint.Address, endpoint.ID, service.HealthPath, name})
			}
		}
	})
	for _, check := range due {
		go p.checkEndpoint(ctx, check)
	}
}

// checkEndpoint performs one check and records its result. A server is alive if it responds with 200 and, if it reports an instance ID, with the
// expected one.
func (p *Proxy) checkEndpoint(ctx context.Context, check healthCheck) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	header, status := p.requestHealth(ctx, check)
	p.state.withLock(func(now float64) {
		instance := header.Get(headerInstanceID)
		check.endpoint.RecordIdentity(instance)
		alive := status == http.StatusOK && (instance == "" || instance == check.id)
		if running, waiting, ok := parseServerLoad(header); ok {
			check.endpoint.RecordLoad(now, running, waiting)
		}
		check.endpoint.RecordProbe(now, alive)
	})
}

// requestHealth returns the header and the status of a server's health response, or a status of 0 if there is none.
func (p *Proxy) requestHealth(ctx context.Context, check healthCheck) (http.Header, int) {
	conn, err := p.conns.get(ctx, check.address, "")
	if err != nil {
		return nil, 0
	}
	exchange, err := requestHealthOn(ctx, conn, check)
	if err != nil {
		return nil, 0
	}
	exchange.finish(p.conns, check.address)
	return exchange.response.Header, exchange.response.StatusCode
}

// requestHealthOn requests a server's health on a connection and reads the complete response. If that fails, the connection is closed.
func requestHealthOn(ctx context.Context, conn *backendConn, check healthCheck) (*backendExchange, error) {
	request := "GET " + check.healthPath + " HTTP/1.1\r\nHost: " + check.host + "\r\n\r\n"
	exchange, _, err := sendRequest(ctx, conn, http.MethodGet, "", []byte(request))
	if err != nil {
		return nil, err
	}
	if err := exchange.discardBody(); err != nil {
		return nil, err
	}
	return exchange, nil
}

// verifyNewConn checks a server's health on a new connection before a request that must not be executed twice is sent on it, if the service allows
// few connections. It returns whether the connection can be used, and closes it if not. Danger: a server accepts a connection beyond its
// MaxConnections and resets it a moment later, so that a request on it may or may not have been executed. That happens after machines have lost
// power, since servers keep the connections of such machines open for a while.
func (p *Proxy) verifyNewConn(ctx context.Context, req *proxyRequest, endpoint *placement.Endpoint, conn *backendConn) bool {
	if conn.hasCarried || req.route.Kind == routeconfig.Idempotent {
		return true
	}
	check, hasFewConns := healthCheck{host: req.service}, false
	p.state.withService(req.service, func(_ float64, pool *placement.Pool, _ *placement.Planner) {
		if service := p.state.table.services[req.service]; service != nil && pool != nil {
			check.healthPath, hasFewConns = service.HealthPath, pool.HasFewConnections()
		}
	})
	if !hasFewConns || check.healthPath == "" {
		return true
	}
	exchange, err := requestHealthOn(ctx, conn, check)
	if err != nil {
		return false
	}
	if !exchange.detachContext() || !exchange.body.reachedEnd || exchange.response.Close {
		conn.discard()
		return false
	}
	return true
}
