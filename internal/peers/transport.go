// Package peers holds the links between sidecars: frames over TCP, and bounds on what they may cost. Who is there and what
// is said is its owner's to decide. It belongs to the loop that calls it.
package peers

import (
	"errors"
	"fmt"
	"log/slog"
	"net"

	"hazelwheel/internal/buffer"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/peers/frames"
)

const (
	// mostLinks bounds the links of a sidecar, with those that come up; leastLinks is enough to watch and be watched.
	mostLinks, leastLinks = 48, 12
	// linksPart of the descriptors that a process has may be links to peers.
	linksPart = 6
	// helloS is how long a link may take to come up and to say who speaks.
	helloS = 2.0
	// mostQueued bounds what a peer has not read, in bytes; beyond it its link ends.
	mostQueued = 256 << 10
	// sentPerS and sentAtOnce bound what is said to all peers together, in bytes; what is beyond is not said.
	sentPerS, sentAtOnce = 128 << 10, 2 << 20
	// heardPerS and heardAtOnce bound what one peer says; beyond it its link ends.
	heardPerS, heardAtOnce = 128 << 10, 1 << 20
)

// MaxLinks returns how many links a process may have that has so many descriptors.
func MaxLinks(sockets int) int { return min(max(sockets/linksPart, leastLinks), mostLinks) }

// Descriptors returns what so many links hold, with the listener and what is being closed.
func Descriptors(links int) int { return links + 4 }

// Handler decides what the links are for.
type Handler interface {
	// Hello returns what is said first on a link that comes up.
	Hello() frames.Hello
	// Up takes a link of which both ends have said who they are; false has it closed.
	LinkUp(l *Link, h frames.Hello) bool
	// Down takes the end of a link that was up and that Close has not ended.
	LinkDown(l *Link, err error)
	// NotUp takes the end of a dial that came to nothing.
	DialFailed(address string, err error)
	// Heard takes a frame. After an error the link is closed, and Down follows.
	HandleFrame(l *Link, topic frames.Topic, body []byte) error
}

// Link is a connection to a peer.
type Link struct {
	Number  int
	Address string // that was dialed; empty: the other has dialed
	Hello   frames.Hello

	p      *Transport
	conn   netio.Conn
	buf    buffer.Buffer
	up     bool
	over   bool
	by     float64 // when it must have come up
	budget bucket
}

// bucket is a budget of bytes.
type bucket struct{ left, at float64 }

func (b *bucket) take(now, n, perS, most float64) bool {
	b.left, b.at = min(b.left+(now-b.at)*perS, most), now
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}

// Stats count what the links have done.
type Stats struct {
	Links          int    `json:"links"` // now
	Dials          uint64 `json:"dials"`
	LinksUp        uint64 `json:"links_up"`
	SentBytes      uint64 `json:"sent_bytes"`
	ReceivedBytes  uint64 `json:"heard_bytes"`
	DroppedFrames  uint64 `json:"unsaid"`    // frames beyond the budget, or for links that had gone
	ProtocolErrors uint64 `json:"senseless"` // links ended for what came over them
	SlowPeers      uint64 `json:"unread"`    // links ended since the peer did not read
	RejectedLinks  uint64 `json:"too_many"`  // links refused beyond the bound
}

// Transport holds the links.
type Transport struct {
	fleet   string
	most    int // links
	owner   Handler
	net     netio.Net
	log     *slog.Logger
	links   []*Link
	last    int
	said    bucket
	told    map[string]bool // what was told of links that made no sense
	scratch []byte
	figures Stats
	closed  bool
}

// New returns links that have not begun, at most so many, of a fleet's sidecar.
func New(fleet string, most int, owner Handler, net netio.Net, log *slog.Logger) *Transport {
	return &Transport{fleet: fleet, most: most, owner: owner, net: net, log: log, told: map[string]bool{}, said: bucket{sentAtOnce, net.Now()}}
}

// Stats returns the counts so far.
func (p *Transport) Stats() Stats {
	p.figures.Links = len(p.links)
	return p.figures
}

// Dial opens a link.
func (p *Transport) Dial(address string) {
	if p.closed || len(p.links) >= p.most {
		p.figures.RejectedLinks++
		p.net.Post(func() { p.owner.DialFailed(address, errMany) })
		return
	}
	p.figures.Dials++
	l := p.add(address)
	p.net.Dial(address, p.net.Now()+helloS, l, func(err error) {
		if err != nil && !l.over {
			p.end(l, err)
		}
	})
}

var (
	errMany  = errors.New("there are as many links as there may be")
	errHello = errors.New("the other end did not say who it is")
	errFleet = errors.New("the other end is of another fleet")
	errFlood = errors.New("the other end says too much")
)

func (p *Transport) add(address string) *Link {
	p.last++
	now := p.net.Now()
	l := &Link{Number: p.last, Address: address, p: p, by: now + helloS, budget: bucket{heardAtOnce, now}}
	p.links = append(p.links, l)
	return l
}

// Open takes a connection that is up. The one who dialed speaks first: whoever stands between reads who it is.
func (p *Transport) Open(c netio.Conn) bool {
	l, dialed := c.Context().(*Link)
	if !dialed {
		if p.closed || len(p.links) >= p.most {
			p.figures.RejectedLinks++
			return false
		}
		l = p.add("")
		c.SetContext(l)
	}
	if l.over {
		return false
	}
	if l.conn = c; dialed {
		l.hello()
	}
	return true
}

func (l *Link) hello() {
	body, err := frames.Marshal(l.p.owner.Hello())
	if err != nil { // numbers and names always pack
		panic(err)
	}
	l.Send(frames.TopicHello, body)
}

// Traffic reads what has come.
func (p *Transport) Traffic(c netio.Conn, data []byte) {
	l, ok := c.Context().(*Link)
	if !ok || l.over {
		return
	}
	p.figures.ReceivedBytes += uint64(len(data))
	if !l.budget.take(p.net.Now(), float64(len(data)), heardPerS, heardAtOnce) {
		p.senseless(l, errFlood)
		return
	}
	l.buf.Write(data)
	for !l.over {
		topic, body, n, err := frames.Next(l.buf.Bytes())
		if err != nil {
			p.senseless(l, err)
			return
		}
		if n == 0 {
			break
		}
		if err := l.take(topic, body); err != nil {
			p.senseless(l, err)
			return
		}
		l.buf.Discard(n)
	}
	l.buf.Rest()
}

// take takes one frame.
func (l *Link) take(topic frames.Topic, body []byte) error {
	if l.up {
		if topic == frames.TopicHello {
			return nil
		}
		return l.p.owner.HandleFrame(l, topic, body)
	}
	if topic != frames.TopicHello {
		return errHello
	}
	if err := frames.Unmarshal(body, &l.Hello); err != nil {
		return err
	}
	if l.Hello.Fleet != l.p.fleet {
		return fmt.Errorf("%w: %.64q", errFleet, l.Hello.Fleet)
	}
	if l.Address == "" {
		l.hello()
	}
	if l.over {
		return nil
	}
	l.up = true
	l.p.figures.LinksUp++
	if !l.p.owner.LinkUp(l, l.Hello) {
		l.p.CloseLink(l)
	}
	return nil
}

// senseless ends a link for what came over it. Each cause is told once.
func (p *Transport) senseless(l *Link, err error) {
	p.figures.ProtocolErrors++
	cause := err.Error()
	if len(p.told) < 16 && !p.told[cause] {
		p.told[cause] = true
		from := ""
		if tcp, ok := l.conn.RemoteAddr().(*net.TCPAddr); ok {
			from = tcp.String()
		}
		p.log.Warn("a link to a peer is ended for what came over it", "cause", cause, "from", from, "name", fmt.Sprintf("%.64q", l.Hello.Name))
	}
	p.end(l, err)
}

// Send sends a frame. One that the link can't take is lost.
func (l *Link) Send(topic frames.Topic, body []byte) {
	p := l.p
	if l.over || l.conn == nil {
		p.figures.DroppedFrames++
		return
	}
	frame, err := frames.Append(p.scratch[:0], topic, body)
	p.scratch = frame[:0]
	if err != nil || !p.said.take(p.net.Now(), float64(len(frame)), sentPerS, sentAtOnce) {
		p.figures.DroppedFrames++
		return
	}
	// Danger: what a peer does not read would grow without a bound, and with it this process.
	if l.conn.OutboundBuffered() > mostQueued {
		p.figures.SlowPeers++
		p.net.Post(func() { p.end(l, errUnread) })
		return
	}
	p.figures.SentBytes += uint64(len(frame))
	if _, err := l.conn.Write(frame); err != nil {
		p.net.Post(func() { p.end(l, err) })
	}
}

var errUnread = errors.New("the other end does not read")

// CloseLink ends a link of the owner's.
func (p *Transport) CloseLink(l *Link) {
	l.up = false
	p.end(l, nil)
}

// Closed takes the end of a connection.
func (p *Transport) Closed(c netio.Conn, err error) {
	if l, ok := c.Context().(*Link); ok {
		l.conn = nil
		p.end(l, err)
	}
}

// end ends a link, once, and tells the owner.
func (p *Transport) end(l *Link, err error) {
	if l.over {
		return
	}
	l.over = true
	for i, o := range p.links {
		if o == l {
			p.links = append(p.links[:i], p.links[i+1:]...)
			break
		}
	}
	if c := l.conn; c != nil {
		l.conn = nil
		p.net.Close(c)
	}
	switch {
	case l.up:
		p.owner.LinkDown(l, err)
	case l.Address != "" && err != nil:
		p.owner.DialFailed(l.Address, err)
	}
}

// Tick ends links that take too long to say who speaks.
func (p *Transport) Tick() {
	now := p.net.Now()
	for i := len(p.links) - 1; i >= 0; i-- {
		if i < len(p.links) && !p.links[i].up && now > p.links[i].by {
			p.end(p.links[i], errHello)
		}
	}
}

// Close ends all links, and none comes up any more.
func (p *Transport) Close() {
	p.closed = true
	for len(p.links) > 0 {
		l := p.links[len(p.links)-1]
		l.up, l.Address = false, ""
		p.end(l, nil)
	}
}
