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
type proxies struct {
	agent *Agent

	mu    sync.Mutex
	count int
}

func newProxies(agent *Agent) *proxies { return &proxies{agent: agent} }

func (p *proxies) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			p.agent.log.WithError(err).Error("the feed ended")
			return
		}
		p.add(1)
		go func() {
			defer p.add(-1)
			defer conn.Close()
			p.feed(conn)
		}()
	}
}

func (p *proxies) add(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count += n
}

// wait returns once no proxy is connected, or after a time.
func (p *proxies) wait(most time.Duration) {
	deadline := time.Now().Add(most)
	for time.Now().Before(deadline) {
		p.mu.Lock()
		left := p.count
		p.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(checkEvery)
	}
}

// feed tells a proxy what changes until the connection ends.
func (p *proxies) feed(conn net.Conn) {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		for {
			report := &message.ProxyReport{}
			if transport.ReadFrame(conn, report) != nil {
				return
			}
			p.agent.node.SetDemands(report.Demands)
			p.agent.node.SetLoads(report.Loads)
		}
	}()
	var told gossip.Facts
	loads := time.NewTicker(gossip.ExchangeEvery)
	defer loads.Stop()
	loadsDue := false
	for {
		facts, changed := p.agent.node.Facts()
		out, news := difference(told, facts)
		if loadsDue {
			out.Loads, loadsDue = p.agent.node.Loads(), false
			news = news || len(out.Loads) > 0
		}
		if news {
			_ = conn.SetWriteDeadline(time.Now().Add(writeWithin)) // the write tells of a connection that is gone
			if err := transport.WriteFrame(conn, out); err != nil {
				return
			}
			told = facts
		}
		select {
		case <-gone:
			return
		case <-changed:
		case <-loads.C:
			loadsDue = true
		}
	}
}

// difference returns what a proxy that knows one set of facts lacks of another.
func difference(told, facts gossip.Facts) (*message.Feed, bool) {
	out := &message.Feed{ProxyRank: facts.Rank, ProxyCount: facts.Count}
	news := told.Rank != facts.Rank || told.Count != facts.Count
	if facts.Table != nil && (told.Table == nil || facts.Table.Version > told.Table.Version) {
		out.Table, news = facts.Table, true
	}
	if facts.Plan.IsNewerThan(&told.Plan) {
		out.Plan, news = &facts.Plan, true
	}
	if facts.List.Digest != told.List.Digest {
		age := float64(time.Since(facts.List.ReadAt)) / float64(time.Millisecond)
		out.List, news = &message.InstanceList{Digest: facts.List.Digest, AgeMs: age, Data: facts.List.Data}, true
	}
	return out, news
}
