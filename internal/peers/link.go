package peers

import (
	"errors"
	"fmt"

	"hazelwheel/internal/buffer"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/peers/frames"
	"hazelwheel/internal/peers/tokenbucket"
)

var (
	errTooManyLinks = errors.New("too many links")
	errNoHello      = errors.New("the other end did not send a hello")
	errOtherFleet   = errors.New("the other end is of another fleet")
	errFlood        = errors.New("the other end exceeds the receive rate limit")
	errSlowPeer     = errors.New("the other end reads too slowly")
)

// Link is a connection to a peer.
type Link struct {
	Number  int          // unique within the Transport
	Address string       // the address that was dialed; empty: the peer dialed
	Hello   frames.Hello // the peer's; set once the link is up

	transport     *Transport
	conn          netio.Conn // nil while the link is being dialed, and once it is closed
	received      buffer.Buffer
	receiveBudget tokenbucket.Bucket // in bytes
	helloDeadline float64
	isUp          bool
	isClosed      bool
}

// Send sends a frame. It is dropped if the link is closed, if the body is too long or if the transport's budget is used up. An error
// leads to Handler.LinkDown after this call has returned.
func (l *Link) Send(topic frames.Topic, body []byte) {
	t := l.transport
	if l.isClosed || l.conn == nil {
		t.stats.DroppedFrames++
		return
	}
	frame, err := frames.Append(t.scratch[:0], topic, body)
	t.scratch = frame[:0]
	if err != nil || !t.sendBudget.TryTake(t.loop.Now(), float64(len(frame)), sendBytesPerSecond, sendBurstBytes) {
		t.stats.DroppedFrames++
		return
	}
	// Danger: without this limit, the data queued for a peer that does not read would grow until the process is out of memory.
	if l.conn.OutboundBuffered() > maxQueuedBytes {
		t.stats.SlowPeers++
		t.loop.Post(func() { t.closeLink(l, errSlowPeer) })
		return
	}
	t.stats.SentBytes += uint64(len(frame))
	if _, err := l.conn.Write(frame); err != nil {
		t.loop.Post(func() { t.closeLink(l, err) })
	}
}

func (l *Link) sendHello() {
	body, err := frames.Marshal(l.transport.handler.Hello())
	if err != nil { // impossible: a Hello consists of numbers, strings and bytes
		panic(err)
	}
	l.Send(frames.TopicHello, body)
}

// handleFrame handles one frame. After an error the link must be closed.
func (l *Link) handleFrame(topic frames.Topic, body []byte) error {
	switch {
	case !l.isUp:
		return l.handleHello(topic, body)
	case topic == frames.TopicHello:
		return nil
	}
	return l.transport.handler.HandleFrame(l, topic, body)
}

// handleHello handles the first frame, which must be a hello of the same fleet, and calls Handler.LinkUp.
func (l *Link) handleHello(topic frames.Topic, body []byte) error {
	t := l.transport
	if topic != frames.TopicHello {
		return errNoHello
	}
	if err := frames.Unmarshal(body, &l.Hello); err != nil {
		return err
	}
	if l.Hello.Fleet != t.fleet {
		return fmt.Errorf("%w: %.64q", errOtherFleet, l.Hello.Fleet)
	}
	if l.Address == "" {
		l.sendHello()
	}
	if l.isClosed {
		return nil
	}
	l.isUp = true
	t.stats.LinksUp++
	if !t.handler.LinkUp(l, l.Hello) {
		t.CloseLink(l)
	}
	return nil
}
