package agent

import (
	"context"
	"net"
	"net/http"

	"hazelwheel/internal/gossip"
	"hazelwheel/internal/nodeconfig"
)

// serverGroup holds the HTTP servers of one process.
type serverGroup struct {
	ended chan error // receives each server's error; its buffer holds all
}

// maxServers is the number of servers of an agent that also redirects the operator's requests.
const maxServers = 3

func newServerGroup() *serverGroup { return &serverGroup{make(chan error, maxServers)} }

// listenAndServe starts a server at an address, and returns the error of listening there. The server runs until the process ends.
func (s *serverGroup) listenAndServe(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go func() { s.ended <- server.Serve(listener) }()
	return nil
}

// run calls apply with reloaded settings until the context ends; then it has the node announce that it leaves, and returns nil. It
// returns early with the error of a server that fails.
func (s *serverGroup) run(ctx context.Context, node *gossip.Node, reload <-chan *nodeconfig.Settings, apply func(*nodeconfig.Settings)) error {
	for {
		select {
		case err := <-s.ended:
			return Error.Wrap(err)
		case changed := <-reload:
			apply(changed)
		case <-ctx.Done():
			node.AnnounceLeaving()
			return nil
		}
	}
}
