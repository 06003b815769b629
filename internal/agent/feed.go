package agent

import (
	"net"
	"sync"
	"time"

	"hazelwheel/internal/gossip"
	"hazelwheel/internal/message"
	"hazelwheel/internal/transport"
)

// proxies serves those that are connected over loopback.
type proxyFeeds struct {
	agent *Agent

	mu          sync.Mutex
	connections int
}

func newProxyFeeds(agent *Agent) *proxyFeeds { return &proxyFeeds{agent: agent} }

func (p *proxyFeeds) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			p.agent.log.WithError(err).Error("the feed ended")
			return
		}
		p.addConnections(1)
		go func() {
			defer p.addConnections(-1)
			defer conn.Close()
			p.serveProxy(conn)
		}()
	}
}

func (p *proxyFeeds) addConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections += n
}

// wait returns once no proxy is connected, or after a time.
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

// feed tells a proxy what changes until the connection ends.
func (p *proxyFeeds) serveProxy(conn net.Conn) {
	disconnected := make(chan struct{})
	go func() {
		defer close(disconnected)
		for {
			report := &message.ProxyReport{}
			if transport.ReadFrame(conn, report) != nil {
				return
			}
			p.agent.node.SetDemands(report.Demands)
			p.agent.node.SetLoads(report.Loads)
		}
	}()
	var sent gossip.Facts
	loadTicker := time.NewTicker(gossip.ExchangeEvery)
	defer loadTicker.Stop()
	loadsDue := false
	for {
		facts, changed := p.agent.node.Facts()
		update, differs := updateSince(sent, facts)
		if loadsDue {
			update.Loads, loadsDue = p.agent.node.Loads(), false
			differs = differs || len(update.Loads) > 0
		}
		if differs {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // the write tells of a connection that is gone
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

// difference returns what a proxy that knows one set of facts lacks of another.
func updateSince(sent, facts gossip.Facts) (*message.Feed, bool) {
	update := &message.Feed{ProxyRank: facts.Rank, ProxyCount: facts.Count}
	differs := sent.Rank != facts.Rank || sent.Count != facts.Count
	if facts.Table != nil && (sent.Table == nil || facts.Table.Version > sent.Table.Version) {
		update.Table, differs = facts.Table, true
	}
	if facts.Plan.IsNewerThan(&sent.Plan) {
		update.Plan, differs = &facts.Plan, true
	}
	if facts.List.Digest != sent.List.Digest {
		age := float64(time.Since(facts.List.ReadAt)) / float64(time.Millisecond)
		update.List, differs = &message.InstanceList{Digest: facts.List.Digest, AgeMs: age, Data: facts.List.Data}, true
	}
	return update, differs
}
