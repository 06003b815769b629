package agent

import (
	"context"
	"net"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"hazelwheel/internal/configredirect"
	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/gossip"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/transport"
)

// servers serve HTTP at several addresses of one process.
type serverGroup struct {
	ended chan error // gets the end of each
}

// mostServers is how many there are in one process at most.
const maxServers = 3

func newServerGroup() *serverGroup { return &serverGroup{make(chan error, maxServers)} }

// serve begins to serve at an address.
func (s *serverGroup) listenAndServe(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go func() { s.ended <- server.Serve(listener) }()
	return nil
}

// attend gives changed settings to a node until the context ends, and has it leave then. It ends before with the error of a server that fails.
func (s *serverGroup) run(ctx context.Context, node *gossip.Node, reload <-chan *nodeconfig.Settings) error {
	for {
		select {
		case err := <-s.ended:
			return Error.Wrap(err)
		case changed := <-reload:
			node.SetSeeds(changed.SeedAddresses())
		case <-ctx.Done():
			node.Leave()
			return nil
		}
	}
}

// standIn answers where a control process would be on this machine: the operator gets the address of one, and processes whose seeds
// name this machine find it. router serves other processes of the fleet.
func serveRedirect(settings *nodeconfig.Settings, node *gossip.Node, router http.Handler, servers *serverGroup) error {
	if err := servers.listenAndServe(settings.Listen.Control, configredirect.New(node.Members).Handler()); err != nil {
		return err
	}
	return servers.listenAndServe(settings.Internal(settings.IP, nodeconfig.ControlPort), router)
}

// RunGateway runs what stands in for control on a machine that holds no part of the configuration and has no proxy, until the context ends.
func RunRedirector(ctx context.Context, settings *nodeconfig.Settings, reload <-chan *nodeconfig.Settings, log *logrus.Entry) error {
	if settings.Listen.Control == "" {
		return Error.New("Listen.Control: an address for the operator is needed")
	}
	node := gossip.New(settings, membership.Record{Kind: membership.Gateway, Address: settings.Internal(settings.IP, nodeconfig.ControlPort)},
		transport.NewClient(), log)
	router := mux.NewRouter()
	node.Register(router)
	servers := newServerGroup()
	if err := serveRedirect(settings, node, router, servers); err != nil {
		return err
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	go node.Run(work)
	return servers.run(ctx, node, reload)
}
