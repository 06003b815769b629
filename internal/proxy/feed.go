package proxy

import (
	"context"
	"net"
	"time"

	"hazelwheel/internal/message"
	"hazelwheel/internal/routeconfig"
	"hazelwheel/internal/transport"
)

const (
	// feedRetryPause is the pause before the proxy reconnects to its agent.
	feedRetryPause = 100 * time.Millisecond
	// feedConnectTimeout bounds the time to connect, reportWriteTimeout the time to send one report.
	feedConnectTimeout = time.Second
	reportWriteTimeout = time.Second
	// reportInterval is the time between two reports.
	reportInterval = 400 * time.Millisecond
)

// runFeed receives updates from the agent, and reconnects after each failure until the context ends. Without a connection the proxy keeps serving
// with the state that it has.
func (p *Proxy) runFeed(ctx context.Context) {
	address := p.settings.FeedAddress()
	for ctx.Err() == nil {
		if err := p.receiveFeed(ctx, address); err != nil {
			p.log.WithError(err).Debug("agent feed ended")
		}
		time.Sleep(feedRetryPause)
	}
}

// receiveFeed connects to the agent, applies its updates and sends it reports until the connection fails.
func (p *Proxy) receiveFeed(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: feedConnectTimeout}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // it has failed already
	stop := make(chan struct{})
	defer close(stop)
	go p.sendReports(conn, stop)
	for {
		feed := &message.Feed{}
		if err := transport.ReadFrame(conn, feed); err != nil {
			return err
		}
		if err := p.state.applyFeed(feed); err != nil {
			return err
		}
		if feed.ProxyCount > 0 {
			p.limiter.setRank(feed.ProxyRank)
		}
		if feed.Table != nil {
			p.endRevoked()
			p.log.WithField("version", feed.Table.Version).Info("configuration in force")
		}
	}
}

// endRevoked ends the requests in progress whose keys are not in the current configuration, if the settings enable this.
func (p *Proxy) endRevoked() {
	if ended := p.admitted.endRevoked(p.state.currentTable()); ended > 0 {
		p.log.WithField("requests", ended).Info("requests ended with their keys")
	}
}

// sendReports sends a report at each interval, until it is stopped or the connection fails.
func (p *Proxy) sendReports(conn net.Conn, stop <-chan struct{}) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		_ = conn.SetWriteDeadline(time.Now().Add(reportWriteTimeout)) // if this fails, so does the write
		if transport.WriteFrame(conn, p.state.buildReport()) != nil {
			return
		}
	}
}

// unpackFeed returns the configuration and the endpoint list of an update; either is nil if the update does not contain it.
func unpackFeed(feed *message.Feed) (table *routeconfig.Table, instances []message.Instance, err error) {
	if feed.Table != nil {
		if table, err = feed.Table.Unpack(); err != nil {
			return nil, nil, err
		}
	}
	if feed.List != nil {
		instances, err = message.UnpackInstances(feed.List.Data)
	}
	return table, instances, err
}
