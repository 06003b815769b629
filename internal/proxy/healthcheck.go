package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"hazelwheel/internal/decide/placement"
	"hazelwheel/internal/routeconfig"
)

const (
	healthCheckTick    = 100 * time.Millisecond
	healthCheckTimeout = 3 * time.Second
	sweepTicks         = 20 // ticks
)

// probe asks each member for its health in its time, until the context ends.
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
		p.logUnserved(time.Now())
		p.logStreams(time.Now())
		if tick%sweepTicks == 0 {
			p.state.refreshExpired()
			wanted := p.state.listedAddresses()
			p.conns.closeExpired(func(address string) bool { return wanted[address] })
		}
	}
}

// dueProbe is a server to be probed.
type healthCheck struct {
	endpoint         *placement.Endpoint
	address, id      string
	healthPath, host string
}

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

// probeOne takes an answer of 200 of the instance that is meant for a sign of life; nothing else is.
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

func (p *Proxy) requestHealth(ctx context.Context, check healthCheck) (http.Header, int) {
	conn, err := p.conns.get(ctx, check.address, "")
	if err != nil {
		return nil, 0
	}
	exchanged, err := requestHealthOn(ctx, conn, check)
	if err != nil {
		return nil, 0
	}
	exchanged.finish(p.conns, check.address)
	return exchanged.response.Header, exchanged.response.StatusCode
}

// askHealthOn asks for a server's health on a connection, and reads the whole answer. Where that fails the connection is closed.
func requestHealthOn(ctx context.Context, conn *backendConn, check healthCheck) (*backendExchange, error) {
	request := "GET " + check.healthPath + " HTTP/1.1\r\nHost: " + check.host + "\r\n\r\n"
	exchanged, _, err := sendRequest(ctx, conn, http.MethodGet, "", []byte(request))
	if err != nil {
		return nil, err
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(exchanged.response.Body, maxSurplusBytes)); err != nil {
		exchanged.abort()
		return nil, err
	}
	return exchanged, nil
}

// tryNew asks for a server's health on a new connection before a request that may run once goes over it, where the service has few
// connections. Danger: a server accepts what goes beyond its MaxConnections and resets it a moment later, so that a request on it may have
// run. That happens after processes have lost power, whose connections servers keep for a while. It returns whether the connection is good.
func (p *Proxy) verifyNewConn(ctx context.Context, req *proxyRequest, endpoint *placement.Endpoint, conn *backendConn) bool {
	if conn.hasCarried || req.route.Kind == routeconfig.Idempotent {
		return true
	}
	check, scarce := healthCheck{host: req.service}, false
	p.state.withService(req.service, func(_ float64, pool *placement.Pool, _ *placement.Planner) {
		if service := p.state.table.services[req.service]; service != nil && pool != nil {
			check.healthPath, scarce = service.HealthPath, pool.HasFewConnections()
		}
	})
	if !scarce || check.healthPath == "" {
		return true
	}
	exchanged, err := requestHealthOn(ctx, conn, check)
	if err != nil {
		return false
	}
	if !exchanged.detachContext() || exchanged.response.Close {
		conn.Close()
		return false
	}
	// No request has gone over it: a refusal that names none can still be meant for the first one only, as a health answer refuses nothing.
	conn.hasCarried = false
	return true
}
