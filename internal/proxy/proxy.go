// Package proxy hosts the data plane: it takes requests from clients and passes each to a server, by the decisions of
// internal/decide/placement.
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
	headerTimeout = 4 * time.Second
	// idleTimeout must be above the IdleTimeoutMs of configurations, so that no client meets a connection that is just being closed.
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 32 << 10
	// leaveAfter is how long a proxy that ends still takes new connections: until the platform has noticed that it isn't ready.
	drainDelay = 2500 * time.Millisecond
	// leaveMargin is what is left of the grace period for the end itself.
	shutdownMargin = 700 * time.Millisecond
	feedRetryPause = 100 * time.Millisecond
	reportInterval = 400 * time.Millisecond
)

// Proxy is a proxy process.
type Proxy struct {
	settings  *nodeconfig.Settings
	log       *logrus.Entry
	state     *routingState
	conns     *connPool
	stats     *requestStats
	isLeaving atomic.Bool
}

func newProxy(settings *nodeconfig.Settings, log *logrus.Entry) *Proxy {
	return &Proxy{settings: settings, log: log, state: newRoutingState(settings), conns: newConnPool(), stats: newRequestStats()}
}

// Run serves until the context ends and the requests that were taken are served.
func Run(ctx context.Context, settings *nodeconfig.Settings, log *logrus.Entry) error {
	p := newProxy(settings, log)
	frontListener, err := net.Listen("tcp4", settings.Listen.Front)
	if err != nil {
		return Error.Wrap(err)
	}
	readyListener, err := net.Listen("tcp4", settings.Listen.Ready)
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{Handler: p, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
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

// leave ends in order: not ready first, then no new connections, then what was taken is served.
func (p *Proxy) shutdown(server *http.Server) error {
	p.isLeaving.Store(true)
	grace := p.settings.GracePeriod()
	time.Sleep(min(drainDelay, grace/3))
	ctx, cancel := context.WithTimeout(context.Background(), grace-min(drainDelay, grace/3)-shutdownMargin)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return Error.Wrap(server.Close())
	}
	return nil
}

func (p *Proxy) readyRouter() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if p.isLeaving.Load() || !p.state.isReady() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return router
}
