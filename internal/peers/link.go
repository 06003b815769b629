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
	errTooManyLinks = errors.New("there are as many links as there may be")
	errNoHello      = errors.New("the other end did not say who it is")
	errOtherFleet   = errors.New("the other end is of another fleet")
	errFlood        = errors.New("the other end says too much")
	errSlowPeer     = errors.New("the other end does not read")
)

// Link is a connection to a peer.
type Link struct {
	Number  int          // unique within the Transport
	Address string       // that was dialed; empty: the peer has dialed
	Hello   frames.Hello // of the peer; set once the link is up

	transport     *Transport
	conn          netio.Conn // nil: being dialed, or closed
	received      buffer.Buffer
	receiveBudget tokenbucket.Bucket // bytes
	helloDeadline float64
	isUp          bool
	isClosed      bool
}

// Send sends a frame. It is dropped if the link is closed, if the body is too long or if the transport's budget is used up. Errors show
// as Handler.LinkDown after the present call.
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
	// Danger: what a peer does not read would grow without limit, and with it this process.
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
	if err != nil { // impossible: it consists of numbers, names and bytes
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

// handleHello handles the first frame, which must be a hello of the same fleet, and tells the handler that the link is up.
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
