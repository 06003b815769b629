package agent

import (
	"net"
	"sync"
	"time"

	"hazelwheel/internal/gossip"
	"hazelwheel/internal/message"
	"hazelwheel/internal/transport"
)

// proxyFeeds serves the proxies that connect over loopback: usually one, two while a proxy is replaced.
type proxyFeeds struct {
	agent *Agent

	mu          sync.Mutex // guards connections
	connections int        // that are open
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
			defer func() { _ = conn.Close() }() // serveProxy has ended: nothing is left to be sent
			p.serveProxy(conn)
		}()
	}
}

func (p *proxyFeeds) addConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections += n
}

// awaitDisconnect returns once no proxy is connected, or after the time-out.
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

// serveProxy sends a proxy an update after each change and its reports' content to the node, until the connection ends.
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
		facts, changed := p.agent.node.State()
		update, differs := updateSince(sent, facts)
		if loadsDue {
			update.Loads, loadsDue = p.agent.node.Loads(), false
			differs = differs || len(update.Loads) > 0
		}
		if differs {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // where this fails, so does the write
			if err := transport.WriteFrame(conn, update); err != nil {
				return
			}
			sent = facts
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

// updateSince returns the update that brings a proxy from the facts that it was sent to the present ones, and whether there is any
// difference. Loads are left to the caller.
func updateSince(sent, facts gossip.State) (*message.Feed, bool) {
	update := &message.Feed{ProxyRank: facts.Rank, ProxyCount: facts.Count}
	differs := sent.Rank != facts.Rank || sent.Count != facts.Count
	if facts.Table != nil && facts.Table.Supersedes(sent.Table) {
		update.Table, differs = facts.Table, true
	}
	if facts.Plan.IsNewerThan(&sent.Plan) {
		update.Plan, differs = &facts.Plan, true
	}
	if facts.Endpoints.Digest != sent.Endpoints.Digest {
		age := float64(time.Since(facts.Endpoints.ReadAt)) / float64(time.Millisecond)
		update.List, differs = &message.InstanceList{Digest: facts.Endpoints.Digest, AgeMs: age, Data: facts.Endpoints.Data}, true
	}
	return update, differs
}
