// Package agent hosts the process beside each proxy. It keeps the link to the rest of the fleet and feeds the proxy over
// loopback, so that the proxy holds no connections of the control plane and serves on with its last facts while this restarts.
package agent

import (
	"context"
	"net"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/gossip"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/transport"
)

// Error is the class of all errors of this package.
var Error = errs.Class("agent")

const (
	// staleAfter is the age of the list at which an agent reads it itself, staleSpread what is added by its rank.
	staleListAge    = 2300 * time.Millisecond
	staleListSpread = 400 * time.Millisecond
	checkInterval   = 150 * time.Millisecond
	headerTimeout   = 3 * time.Second
	idleTimeout     = time.Minute
	writeTimeout    = 2 * time.Second
	// lingerFor is the part of the grace period for which an agent outlives the signal, so that its proxy can end first.
	lingerFraction = 0.9
)

// Agent is an agent process.
type Agent struct {
	settings *nodeconfig.Settings
	log      *logrus.Entry
	node     *gossip.Node
	platform *gossip.Platform
}

// Run runs an agent until the context ends and its proxy is gone.
func Run(ctx context.Context, settings *nodeconfig.Settings, reload <-chan *nodeconfig.Settings, log *logrus.Entry) error {
	address := settings.Internal(settings.IP, nodeconfig.AgentPort)
	a := &Agent{settings: settings, log: log, platform: gossip.NewPlatform(settings.Cloud.Address)}
	a.node = gossip.New(settings, membership.Record{Kind: membership.Agent, Address: address}, transport.NewClient(), log)
	feed, err := net.Listen("tcp4", settings.FeedAddress())
	if err != nil {
		return Error.Wrap(err)
	}
	router := mux.NewRouter()
	a.node.Register(router)
	servers := newServerGroup()
	if err := servers.listenAndServe(address, router); err != nil {
		return err
	}
	if !settings.HoldsConfiguration() && settings.Listen.Control != "" {
		if err := serveRedirect(settings, a.node, router, servers); err != nil {
			return err
		}
	}
	proxies := newProxyFeeds(a)
	go proxies.serve(feed)
	work, stop := context.WithCancel(context.Background())
	defer stop()
	go a.node.Run(work)
	go a.refreshStaleLists(work)
	if err := servers.run(ctx, a.node, reload); err != nil {
		return err
	}
	proxies.awaitDisconnect(time.Duration(lingerFraction * float64(settings.Grace())))
	return nil
}
