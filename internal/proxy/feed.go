package proxy

import (
	"context"
	"net"
	"time"

	"hazelwheel/internal/message"
	"hazelwheel/internal/routeconfig"
	"hazelwheel/internal/transport"
)

// follow takes what the agent tells, and connects anew when the agent has restarted. The facts that are there stay.
func (p *Proxy) runFeed(ctx context.Context) {
	address := p.settings.FeedAddress()
	for ctx.Err() == nil {
		if err := p.receiveFeed(ctx, address); err != nil {
			p.log.WithError(err).Debug("the feed ended")
		}
		time.Sleep(feedRetryPause)
	}
}

func (p *Proxy) receiveFeed(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	defer conn.Close()
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
		if feed.Table != nil {
			p.log.WithField("version", feed.Table.Version).Info("configuration in force")
		}
	}
}

// report tells the agent what this proxy asks of servers, until it is stopped.
func (p *Proxy) sendReports(conn net.Conn, stop <-chan struct{}) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second)) // the write tells of a connection that is gone
		if transport.WriteFrame(conn, p.state.buildReport()) != nil {
			return
		}
	}
}

// unpack returns the configuration and the servers that a feed brings, nil for what it does not.
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
