package agent

import (
	"net"
	"sync"
	"time"

	"hazelwheel/internal/gossip"
	"hazelwheel/internal/message"
	"hazelwheel/internal/transport"
)

// proxyFeeds serves the proxies that connect over loopback: usually one, and two while a proxy is being replaced.
type proxyFeeds struct {
	agent *Agent

	mu          sync.Mutex // guards connections
	connections int        // number of open connections
}

func newProxyFeeds(agent *Agent) *proxyFeeds { return &proxyFeeds{agent: agent} }

// serve accepts connections until the listener fails.
func (p *proxyFeeds) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			p.agent.log.WithError(err).Error("accepting proxies failed")
			return
		}
		p.addConnections(1)
		go func() {
			defer p.addConnections(-1)
			defer func() { _ = conn.Close() }() // serveProxy has returned: nothing is left to send
			p.serveProxy(conn)
		}()
	}
}

func (p *proxyFeeds) addConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections += n
}

// awaitDisconnect returns once no proxy is connected, or after the timeout.
func (p *proxyFeeds) awaitDisconnect(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		p.mu.Lock()
		connections := p.connections
		p.mu.Unlock()
		if connections == 0 {
			return
		}
		time.Sleep(checkInterval)
	}
}

// serveProxy sends a proxy an update after each change of the node's state, and passes the proxy's reports to the node, until the
// connection ends.
func (p *proxyFeeds) serveProxy(conn net.Conn) {
	disconnected := make(chan struct{})
	go func() {
		defer close(disconnected)
		p.readReports(conn)
	}()
	var sent gossip.State
	loadTicker := time.NewTicker(gossip.ExchangeInterval)
	defer loadTicker.Stop()
	loadsDue := false
	for {
		current, changed := p.agent.node.State()
		update, differs := updateSince(sent, current)
		if loadsDue {
			update.Loads, loadsDue = p.agent.node.Loads(), false
			differs = differs || len(update.Loads) > 0
		}
		if differs {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // if this fails, so does the write
			if err := transport.WriteFrame(conn, update); err != nil {
				return
			}
			sent = current
		}
		select {
		case <-disconnected:
			return
		case <-changed:
		case <-loadTicker.C:
			loadsDue = true
		}
	}
}

// readReports passes the reports of a proxy on to the node until the connection ends.
func (p *proxyFeeds) readReports(conn net.Conn) {
	for {
		report := &message.ProxyReport{}
		if transport.ReadFrame(conn, report) != nil {
			return
		}
		p.agent.node.SetDemands(report.Demands)
		p.agent.node.SetLoads(report.Loads)
	}
}

// updateSince returns the update that brings a proxy from the state that was last sent to it to the current one, and whether the two differ.
// It doesn't include loads.
func updateSince(sent, current gossip.State) (*message.Feed, bool) {
	update := &message.Feed{ProxyRank: current.Rank, ProxyCount: current.Count}
	differs := sent.Rank != current.Rank || sent.Count != current.Count
	if current.Table != nil && current.Table.Supersedes(sent.Table) {
		update.Table, differs = current.Table, true
	}
	if current.Plan.IsNewerThan(&sent.Plan) {
		update.Plan, differs = &current.Plan, true
	}
	if current.Endpoints.Digest != sent.Endpoints.Digest {
		age := float64(time.Since(current.Endpoints.ReadAt)) / float64(time.Millisecond)
		update.List, differs = &message.InstanceList{Digest: current.Endpoints.Digest, AgeMs: age, Data: current.Endpoints.Data}, true
	}
	return update, differs
}
