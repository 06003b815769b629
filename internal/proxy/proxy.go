// Package proxy implements the proxy process, the data plane of the router fleet: it accepts requests of clients and forwards each to a server.
//
// Package placement chooses the server; routingState holds its pools and planners under one lock, and updates them from what the agent sends
// (see runFeed). Attempts are made for a request until the outcome of one allows no further attempt. The outcome says whether the server may have
// executed the request, and is determined only by what was sent and received. A request that must not be executed twice is never sent again after
// an attempt that may have been executed. Retries are charged to a retry budget for each service.
//
// With model servers, a prompt may be prefilled at one server and decoded at another, which fetches the KV cache by a handle.
package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"hazelwheel/internal/nodeconfig"
)

// Error is the class of all errors of this package.
var Error = errs.Class("proxy")

const (
	// drainDelay is how long a proxy that shuts down still accepts connections, so that the platform notices that it is not ready. It is
	// limited to the grace period divided by drainDivisor.
	drainDelay   = 2500 * time.Millisecond
	drainDivisor = 3
	// shutdownMargin is the part of the grace period that is left unused.
	shutdownMargin = 700 * time.Millisecond
)

// Proxy is a proxy process, and the handler of its clients' requests. It is safe for concurrent use.
type Proxy struct {
	settings       *nodeconfig.Settings
	log            *logrus.Entry
	state          *routingState
	conns          *connPool
	stats          *requestStats
	limiter        *tenantLimiter
	admitted       *admittedRequests // nil unless requests in progress end when their keys are revoked
	isShuttingDown atomic.Bool       // the proxy is shutting down and reports that it is not ready
}

// newProxy returns a proxy that has neither configuration nor endpoint list yet.
func newProxy(settings *nodeconfig.Settings, log *logrus.Entry) *Proxy {
	p := &Proxy{settings: settings, log: log, state: newRoutingState(settings), conns: newConnPool(), stats: newRequestStats(), limiter: newTenantLimiter(settings, log)}
	if settings.Bounds.Revoked {
		p.admitted = newAdmittedRequests()
	}
	return p
}

// Run serves until the context ends, and then until the requests in flight are served or the grace period is over. It returns early with an error if
// listening or serving fails.
func Run(ctx context.Context, settings *nodeconfig.Settings, log *logrus.Entry) error {
	p := newProxy(settings, log)
	frontListener, err := p.listenForClients(settings.Listen.Front)
	if err != nil {
		return Error.Wrap(err)
	}
	readyListener, err := net.Listen("tcp4", settings.Listen.Ready)
	if err != nil {
		return Error.Wrap(err)
	}
	server := newClientServer(p)
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(frontListener) }()
	go func() { failed <- http.Serve(readyListener, p.readyRouter()) }()
	taskCtx, stopTasks := context.WithCancel(context.Background())
	defer stopTasks()
	go p.runFeed(taskCtx)
	go p.runHealthChecks(taskCtx)
	select {
	case err := <-failed:
		return Error.Wrap(err)
	case <-ctx.Done():
	}
	return p.shutdown(server)
}

// listenForClients returns a listener for clients at an address with port. It enforces the timeouts of the current configuration on the connections.
func (p *Proxy) listenForClients(address string) (*clientListener, error) {
	tcpAddress, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	listener, err := net.ListenTCP("tcp4", tcpAddress)
	if err != nil {
		return nil, err
	}
	return &clientListener{TCPListener: listener, limits: p.state.limits}, nil
}

// shutdown shuts the proxy down gracefully: it reports that it is not ready, stops accepting connections after a delay, and then waits for the
// requests in flight.
func (p *Proxy) shutdown(server *http.Server) error {
	p.isShuttingDown.Store(true)
	grace := p.settings.GracePeriod()
	delay := min(drainDelay, grace/drainDivisor)
	time.Sleep(delay)
	ctx, cancel := context.WithTimeout(context.Background(), grace-delay-shutdownMargin)
	defer cancel()
	defer p.limiter.close()
	if err := server.Shutdown(ctx); err != nil {
		return Error.Wrap(server.Close())
	}
	return nil
}

// readyRouter returns the handler of the platform's readiness checks.
func (p *Proxy) readyRouter() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if p.isShuttingDown.Load() || !p.state.isReady() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return router
}
