// Package agent runs the agent process, one beside each proxy. The agent takes part in the gossip between machines and sends what it learns
// to its proxy over loopback: configuration, endpoint list, loads and stage plan. It also forwards the proxy's requests for rate-limit tokens
// of tenants. So a proxy needs no connections to other machines of the fleet, and keeps serving with the last state that it received while its
// agent restarts.
//
// On a machine that holds no replica of the configuration, the agent also listens at the operator's address and redirects requests to control
// processes. On a machine without a proxy, RunRedirector does only that.
package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/gossip"
	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/transport"
)

// Error is the class of all errors of this package.
var Error = errs.Class("agent")

const (
	// staleListAge is the age of the endpoint list at which the agent of rank 0 reads it from the platform itself. Up to staleListSpread is
	// added in proportion to the rank, so that the first agent's reading reaches the others before their turn.
	staleListAge    = 2300 * time.Millisecond
	staleListSpread = 400 * time.Millisecond
	// checkInterval is the time between checks of the list's age, and during the shutdown of whether proxies are still connected.
	checkInterval = 150 * time.Millisecond
	// maxRetryPause bounds the pause after a failed reading of the list, before checkInterval is added.
	maxRetryPause = 2 * time.Second
	// headerTimeout and idleTimeout bound the connections of other processes.
	headerTimeout = 3 * time.Second
	idleTimeout   = time.Minute
	// writeTimeout bounds the sending of one update to a proxy.
	writeTimeout = 2 * time.Second
	// lingerFraction is the maximum part of the grace period for which an agent waits after SIGTERM until its proxy has disconnected.
	lingerFraction = 0.9
)

// Agent is the state of an agent process. Its fields don't change once Run has set them.
type Agent struct {
	settings *nodeconfig.Settings
	log      *logrus.Entry
	node     *gossip.Node
	client   *transport.Client // for calls to other machines
	platform *gossip.PlatformClient
}

// Run runs an agent until the context ends and its proxy has disconnected, for lingerFraction of the grace period at most. Settings from
// reload replace the seeds and the platform's address. It returns early with the error of a server that fails.
func Run(ctx context.Context, settings *nodeconfig.Settings, reload <-chan *nodeconfig.Settings, log *logrus.Entry) error {
	address := settings.InternalAddress(settings.IP, nodeconfig.AgentPort)
	a := &Agent{settings: settings, log: log, client: transport.NewClient(), platform: gossip.NewPlatformClient(settings.Cloud.Address)}
	a.node = gossip.New(settings, membership.Record{Kind: membership.Agent, Address: address}, a.client, log)
	feed, err := net.Listen("tcp4", settings.FeedAddress())
	if err != nil {
		return Error.Wrap(err)
	}
	router := mux.NewRouter()
	a.node.RegisterHandlers(router)
	router.HandleFunc(message.TokensPath, transport.NewHandler(a.forwardTokens)).Methods(http.MethodPost)
	servers := newServerGroup()
	if err := servers.listenAndServe(address, router); err != nil {
		return err
	}
	if !settings.StoresConfig() && settings.Listen.Control != "" {
		if err := serveRedirect(settings, a.node, router, servers); err != nil {
			return err
		}
	}
	proxies := newProxyFeeds(a)
	go proxies.serve(feed)
	taskCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go a.node.Run(taskCtx)
	go a.refreshStaleLists(taskCtx)
	if err := servers.run(ctx, a.node, reload, a.applySettings); err != nil {
		return err
	}
	proxies.awaitDisconnect(time.Duration(lingerFraction * float64(settings.GracePeriod())))
	return nil
}

// applySettings applies the fields of changed settings that need no restart.
func (a *Agent) applySettings(changed *nodeconfig.Settings) {
	a.node.SetSeeds(changed.SeedAddresses())
	a.platform.SetAddress(changed.Cloud.Address)
}
