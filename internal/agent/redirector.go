package agent

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"hazelwheel/internal/configredirect"
	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/gossip"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/transport"
)

// serveRedirect listens at the two addresses that a control process on this machine would have: at the operator's address, where it redirects
// requests, and at the internal address, where router answers processes that have this machine as a seed.
func serveRedirect(settings *nodeconfig.Settings, node *gossip.Node, router http.Handler, servers *serverGroup) error {
	if err := servers.listenAndServe(settings.Listen.Control, configredirect.New(node.Members).Handler()); err != nil {
		return err
	}
	return servers.listenAndServe(settings.InternalAddress(settings.IP, nodeconfig.ControlPort), router)
}

// RunRedirector runs the gossip node and the redirects of a machine that holds no replica of the configuration and has no proxy, until the
// context ends. Settings from reload replace the seeds. It returns early with the error of a server that fails.
func RunRedirector(ctx context.Context, settings *nodeconfig.Settings, reload <-chan *nodeconfig.Settings, log *logrus.Entry) error {
	if settings.Listen.Control == "" {
		return Error.New("Listen.Control: an address for the operator is needed")
	}
	node := gossip.New(settings, membership.Record{Kind: membership.Gateway, Address: settings.InternalAddress(settings.IP, nodeconfig.ControlPort)},
		transport.NewClient(), log)
	router := mux.NewRouter()
	node.RegisterHandlers(router)
	servers := newServerGroup()
	if err := serveRedirect(settings, node, router, servers); err != nil {
		return err
	}
	taskCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go node.Run(taskCtx)
	return servers.run(ctx, node, reload, func(changed *nodeconfig.Settings) { node.SetSeeds(changed.SeedAddresses()) })
}
