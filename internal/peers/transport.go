package peers

import (
	"fmt"
	"log/slog"
	"net"
	"slices"

	"hazelwheel/internal/netio"
	"hazelwheel/internal/peers/frames"
	"hazelwheel/internal/peers/tokenbucket"
)

const (
	// A process may have one link per linkDivisor descriptors, within these limits. minLinks is enough for a member to monitor
	// others and to be monitored.
	minLinks, maxLinks = 12, 48
	linkDivisor        = 6
	// extraDescriptors are reserved for the listener and for connections that are being closed.
	extraDescriptors = 4
	// helloTimeoutSeconds limits how long a link may take from the dial, or from being accepted, to the peer's hello.
	helloTimeoutSeconds = 2.0
	// maxQueuedBytes limits the data that is queued for a peer. Above it the link is closed.
	maxQueuedBytes = 256 << 10
	// sendBytesPerSecond and sendBurstBytes limit what is sent over all links together. Frames above the limit are dropped.
	sendBytesPerSecond, sendBurstBytes = 128 << 10, 2 << 20
	// receiveBytesPerSecond and receiveBurstBytes limit what one peer sends. Above the limit its link is closed.
	receiveBytesPerSecond, receiveBurstBytes = 128 << 10, 1 << 20
	// maxLoggedErrors limits how many different protocol errors are logged.
	maxLoggedErrors = 16
)

// MaxLinks returns how many links a process with a number of descriptors may have.
func MaxLinks(descriptors int) int { return min(max(descriptors/linkDivisor, minLinks), maxLinks) }

// Descriptors returns how many descriptors must be reserved for a number of links.
func Descriptors(links int) int { return links + extraDescriptors }

// Handler uses the links of a Transport.
type Handler interface {
	// Hello returns the hello that is sent on each new link.
	Hello() frames.Hello
	// LinkUp is called once both ends have sent their hello. If it returns false the link is closed without a LinkDown.
	LinkUp(l *Link, h frames.Hello) bool
	// LinkDown is called when a link that was up has been closed other than by CloseLink.
	LinkDown(l *Link, err error)
	// DialFailed is called when Dial did not lead to a link that is up, unless CloseLink was called for it.
	DialFailed(address string, err error)
	// HandleFrame handles a frame of a link that is up. After an error the link is closed, and LinkDown follows.
	HandleFrame(l *Link, topic frames.Topic, body []byte) error
}

// Stats are the statistics of a Transport. JSON keys are read by operators' tools.
type Stats struct {
	Links          int    `json:"links"` // open now, including those that are not up yet
	Dials          uint64 `json:"dials"`
	LinksUp        uint64 `json:"links_up"` // links that have come up
	SentBytes      uint64 `json:"sent_bytes"`
	ReceivedBytes  uint64 `json:"heard_bytes"`
	DroppedFrames  uint64 `json:"unsaid"`    // not sent: over the budget, too long, or for a closed link
	ProtocolErrors uint64 `json:"senseless"` // links closed because of what the peer sent
	SlowPeers      uint64 `json:"unread"`    // links closed because the peer did not read
	RejectedLinks  uint64 `json:"too_many"`  // dialed or accepted above the limit
}

// Transport holds the links of a sidecar. The netio.Handler of its event loop must call Open, Traffic and Closed for the links' connections.
type Transport struct {
	fleet      string
	maxLinks   int
	handler    Handler
	loop       netio.EventLoop
	log        *slog.Logger
	links      []*Link
	lastNumber int                // the Number of the newest link
	sendBudget tokenbucket.Bucket // bytes, over all links
	logged     map[string]bool    // texts of protocol errors that have been logged
	scratch    []byte             // reused to build frames
	stats      Stats
}

// New returns a Transport without links, for a sidecar of a fleet.
func New(fleet string, maxLinks int, handler Handler, loop netio.EventLoop, log *slog.Logger) *Transport {
	return &Transport{fleet: fleet, maxLinks: maxLinks, handler: handler, loop: loop, log: log, logged: map[string]bool{},
		sendBudget: tokenbucket.New(sendBurstBytes, loop.Now())}
}

// Stats returns the statistics so far.
func (t *Transport) Stats() Stats {
	t.stats.Links = len(t.links)
	return t.stats
}

// Dial starts to open a link. Either Handler.LinkUp or Handler.DialFailed follows, never within this call.
func (t *Transport) Dial(address string) {
	if len(t.links) >= t.maxLinks {
		t.stats.RejectedLinks++
		t.loop.Post(func() { t.handler.DialFailed(address, errTooManyLinks) })
		return
	}
	t.stats.Dials++
	l := t.addLink(address)
	t.loop.Dial(address, t.loop.Now()+helloTimeoutSeconds, l, func(err error) {
		if err != nil && !l.isClosed {
			t.closeLink(l, err)
		}
	})
}

func (t *Transport) addLink(address string) *Link {
	t.lastNumber++
	now := t.loop.Now()
	l := &Link{Number: t.lastNumber, Address: address, transport: t, helloDeadline: now + helloTimeoutSeconds,
		receiveBudget: tokenbucket.New(receiveBurstBytes, now)}
	t.links = append(t.links, l)
	return l
}

// Open handles a new connection, dialed or accepted. If it returns false the caller must close the connection.
func (t *Transport) Open(c netio.Conn) (keep bool) {
	l, dialed := c.Context().(*Link)
	if !dialed {
		if len(t.links) >= t.maxLinks {
			t.stats.RejectedLinks++
			return false
		}
		l = t.addLink("")
		c.SetContext(l)
	}
	if l.isClosed {
		return false
	}
	if l.conn = c; dialed {
		l.sendHello()
	}
	return true
}

// Traffic handles the frames in received data. The link of a peer that breaks the protocol or exceeds the rate limit is closed.
func (t *Transport) Traffic(c netio.Conn, data []byte) {
	l, ok := c.Context().(*Link)
	if !ok || l.isClosed {
		return
	}
	t.stats.ReceivedBytes += uint64(len(data))
	if !l.receiveBudget.TryTake(t.loop.Now(), float64(len(data)), receiveBytesPerSecond, receiveBurstBytes) {
		t.closeForProtocolError(l, errFlood)
		return
	}
	l.received.Write(data)
	for !l.isClosed {
		topic, body, n, err := frames.Next(l.received.Bytes())
		if err != nil {
			t.closeForProtocolError(l, err)
			return
		}
		if n == 0 {
			break
		}
		if err := l.handleFrame(topic, body); err != nil {
			t.closeForProtocolError(l, err)
			return
		}
		l.received.Discard(n)
	}
	l.received.ReleaseMemory()
}

// closeForProtocolError closes a link because of what the peer sent. Each error text is logged once.
func (t *Transport) closeForProtocolError(l *Link, err error) {
	t.stats.ProtocolErrors++
	cause := err.Error()
	if len(t.logged) < maxLoggedErrors && !t.logged[cause] {
		t.logged[cause] = true
		from := ""
		if tcp, ok := l.conn.RemoteAddr().(*net.TCPAddr); ok {
			from = tcp.String()
		}
		t.log.Warn("a link to a peer is ended for what came over it", "cause", cause, "from", from, "name", fmt.Sprintf("%.64q", l.Hello.Name))
	}
	t.closeLink(l, err)
}

// CloseLink closes a link without calling LinkDown or DialFailed.
func (t *Transport) CloseLink(l *Link) {
	l.isUp = false
	t.closeLink(l, nil)
}

// Closed handles the end of a connection.
func (t *Transport) Closed(c netio.Conn, err error) {
	if l, ok := c.Context().(*Link); ok {
		l.conn = nil
		t.closeLink(l, err)
	}
}

// closeLink closes a link and calls the handler. It does nothing for a link that is already closed.
func (t *Transport) closeLink(l *Link, err error) {
	if l.isClosed {
		return
	}
	l.isClosed = true
	if i := slices.Index(t.links, l); i >= 0 {
		t.links = slices.Delete(t.links, i, i+1)
	}
	if c := l.conn; c != nil {
		l.conn = nil
		t.loop.Close(c)
	}
	switch {
	case l.isUp:
		t.handler.LinkDown(l, err)
	case l.Address != "" && err != nil:
		t.handler.DialFailed(l.Address, err)
	}
}

// Tick closes links whose peer has not sent its hello in time. It must be called regularly.
func (t *Transport) Tick() {
	now := t.loop.Now()
	for i := len(t.links) - 1; i >= 0; i-- {
		if i < len(t.links) && !t.links[i].isUp && now > t.links[i].helloDeadline { // closing a link may close others
			t.closeLink(t.links[i], errNoHello)
		}
	}
}
