package agent

import (
	"context"
	"net"
	"net/http"

	"hazelwheel/internal/gossip"
	"hazelwheel/internal/nodeconfig"
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
