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

	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/transport"
)

// Error is the class of all errors of this package.
var Error = errs.Class("proxy")

const (
	headerTimeout = 4 * time.Second
	// idleTimeout must be above the IdleTimeoutMs of configurations, so that no client meets a connection that is just being closed.
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 32 << 10
	// leaveAfter is how long a proxy that ends still takes new connections: until the platform has noticed that it isn't ready.
	leaveAfter = 2500 * time.Millisecond
	// leaveMargin is what is left of the grace period for the end itself.
	leaveMargin = 700 * time.Millisecond
	feedPause   = 100 * time.Millisecond
	reportEvery = 400 * time.Millisecond
)

// Proxy is a proxy process.
type Proxy struct {
	settings *nodeconfig.Settings
	log      *logrus.Entry
	state    *routingState
	backends *backends
	observed *observations
	leaving  atomic.Bool
}

func newProxy(settings *nodeconfig.Settings, log *logrus.Entry) *Proxy {
	return &Proxy{settings: settings, log: log, state: newRoutingState(settings), backends: newBackends(), observed: newObservations()}
}

// Run serves until the context ends and the requests that were taken are served.
func Run(ctx context.Context, settings *nodeconfig.Settings, log *logrus.Entry) error {
	p := newProxy(settings, log)
	front, err := net.Listen("tcp4", settings.Listen.Front)
	if err != nil {
		return Error.Wrap(err)
	}
	ready, err := net.Listen("tcp4", settings.Listen.Ready)
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{Handler: p, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(front) }()
	go func() { failed <- http.Serve(ready, p.readyRouter()) }()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	go p.follow(work)
	go p.probe(work)
	select {
	case err := <-failed:
		return Error.Wrap(err)
	case <-ctx.Done():
	}
	return p.leave(server)
}

// leave ends in order: not ready first, then no new connections, then what was taken is served.
func (p *Proxy) leave(server *http.Server) error {
	p.leaving.Store(true)
	grace := p.settings.GracePeriod()
	time.Sleep(min(leaveAfter, grace/3))
	ctx, cancel := context.WithTimeout(context.Background(), grace-min(leaveAfter, grace/3)-leaveMargin)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return Error.Wrap(server.Close())
	}
	return nil
}

func (p *Proxy) readyRouter() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if p.leaving.Load() || !p.state.isReady() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return router
}

// follow takes what the agent tells, and connects anew when the agent has restarted. The facts that are there stay.
func (p *Proxy) follow(ctx context.Context) {
	address := p.settings.FeedAddress()
	for ctx.Err() == nil {
		if err := p.followOnce(ctx, address); err != nil {
			p.log.WithError(err).Debug("the feed ended")
		}
		time.Sleep(feedPause)
	}
}

func (p *Proxy) followOnce(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := make(chan struct{})
	defer close(stop)
	go p.report(conn, stop)
	for {
		feed := &message.Feed{}
		if err := transport.ReadFrame(conn, feed); err != nil {
			return err
		}
		if err := p.state.applyFeed(feed); err != nil {
			return err
		}
		if feed.Table != nil {
			p.log.WithField("version", feed.Table.Version).Info("configuration in force")
		}
	}
}

// report tells the agent what this proxy asks of servers, until it is stopped.
func (p *Proxy) report(conn net.Conn, stop <-chan struct{}) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second)) // the write tells of a connection that is gone
		if transport.WriteFrame(conn, p.state.buildReport()) != nil {
			return
		}
	}
}
