package environment

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/netio"
)

// registryFront is discovery at one of its addresses.
type registryFront struct {
	r      *Discovery
	number int
	net    netio.EventLoop
	links  []*registryLink
	due    agenda[registryTask]
	armed  float64
	out    []byte
}

// registryTask is a line to write to a watcher, or what is left to close of an address that is no longer used.
type registryTask struct {
	link  *registryLink
	pulse bool
	leave bool
}

// registryLink is a connection from a sidecar.
type registryLink struct {
	front    *registryFront
	conn     netio.Conn
	number   uint64
	sidecar  int32
	buf      http1.Buffer
	parser   http1.RequestParser
	calling  bool
	calledAt float64
	watch    bool   // it asks for one
	since    uint64 // the last index that it has been told
	has      bool   // since is known
	watching bool
	silent   bool // nothing is written to the watch any more
	toldAt   float64
}

// Boot returns what serves one of discovery's addresses.
func (r *Discovery) Boot(number int) func(netio.EventLoop) netio.Handler {
	return func(net netio.EventLoop) netio.Handler {
		f := &registryFront{r: r, number: number, net: net, armed: math.Inf(1)}
		r.fronts = append(r.fronts, f)
		return f
	}
}

func (f *registryFront) Start() { f.arm() }

func (f *registryFront) Open(c netio.Conn) bool {
	f.r.links++
	k := &registryLink{front: f, conn: c, number: f.r.links, sidecar: f.r.who.number(c.RemoteAddr()),
		parser: http1.NewRequestParser(messageLimits)}
	c.SetContext(k)
	f.links = append(f.links, k)
	if f.r.down && f.r.refusing { // nobody dials it but for the list
		f.see(checker.DiscoveryCalled, k)
		f.see(checker.DiscoveryCallFailed, k)
		return false
	}
	return true
}

func (f *registryFront) Closed(c netio.Conn, err error) {
	k, ok := c.Context().(*registryLink)
	if !ok {
		return
	}
	k.conn = nil
	if i := slices.Index(f.links, k); i >= 0 {
		f.links = slices.Delete(f.links, i, i+1)
	}
	if k.watching {
		k.watching = false
		f.see(checker.WatchClosed, k)
	}
	if k.calling {
		k.calling = false
		f.see(checker.DiscoveryCallFailed, k)
		f.r.lookAtLine(f.net.Now())
	}
}

func (f *registryFront) see(kind checker.Kind, k *registryLink) {
	now := f.net.Now()
	f.r.witness.Observe(checker.Event{Kind: kind, At: now, FirstSent: now, Sent: now, Sidecar: k.sidecar, Server: checker.PathToDiscovery, Connection: k.number})
}

func (f *registryFront) Traffic(c netio.Conn, data []byte) {
	k, ok := c.Context().(*registryLink)
	if !ok || k.watching {
		return
	}
	k.buf.Write(data)
	f.read(k)
	f.arm()
}

func (f *registryFront) read(k *registryLink) {
	for k.conn != nil && !k.calling && !k.watching && k.buf.Len() > 0 {
		whole, err := k.parser.Next(&k.buf)
		if err != nil {
			f.net.Close(k.conn)
			return
		}
		if !whole {
			return
		}
		f.call(k)
	}
}

// call takes a call up.
func (f *registryFront) call(k *registryLink) {
	target, query, _ := strings.Cut(k.parser.Target, "?")
	if target != "/v1/endpoints" {
		f.write(k, http1.AppendResponse(f.out[:0], 404, nil, nil))
		return
	}
	k.watch, k.has, k.since = false, false, 0
	for pair := range strings.SplitSeq(query, "&") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "follow":
			k.watch = value == "1"
		case "since":
			n, err := strconv.ParseUint(value, 10, 64)
			k.since, k.has = n, err == nil
		}
	}
	k.calling, k.calledAt = true, f.net.Now()
	f.see(checker.DiscoveryCalled, k)
	if f.r.down {
		f.turnAway(k)
		return
	}
	f.r.calls = append(f.r.calls, k)
	f.r.next(k.calledAt)
	f.r.lookAtLine(k.calledAt)
}

func (f *registryFront) turnAway(k *registryLink) {
	k.calling = false
	f.see(checker.DiscoveryCallFailed, k)
	f.write(k, http1.AppendResponse(f.out[:0], 503, nil, nil))
}

// serve answers a call whose turn has come.
func (f *registryFront) serve(k *registryLink) {
	r, now := f.r, f.net.Now()
	k.calling = false
	// A version that nobody has had from here is no version.
	snapshot := !k.watch || !k.has || k.since > r.index || r.whole > 0
	out := f.out[:0]
	if !k.watch {
		body := append(r.list(r.index, r.entries, 0, true), '\n')
		f.write(k, http1.AppendResponse(out, 200, http1.Header{{Name: "Content-Type", Value: "application/json"}}, body))
		r.tell(k.sidecar, r.index, r.entries, 0, true, now)
		return
	}
	out = append(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"...)
	k.watching = true
	f.see(checker.WatchOpened, k)
	f.line(k, out, snapshot)
	f.due.put(now+r.spec.KeepAliveSeconds, registryTask{link: k, pulse: true})
}

// line writes an object to a watcher, behind what out holds already.
func (f *registryFront) line(k *registryLink, out []byte, snapshot bool) {
	r, now := f.r, f.net.Now()
	body := append(r.list(r.index, r.entries, k.since, snapshot), '\n')
	out = append(strconv.AppendInt(out, int64(len(body)), 16), "\r\n"...)
	out = append(append(out, body...), "\r\n"...)
	since := k.since
	k.since, k.toldAt = r.index, now
	f.write(k, out)
	r.tell(k.sidecar, r.index, r.entries, since, snapshot, now)
}

func (f *registryFront) write(k *registryLink, out []byte) {
	f.out = out
	if k.conn != nil {
		k.conn.Write(out) // a connection that breaks here is closed by the network
	}
}

// spread has all watchers told of a change, each a little later.
func (f *registryFront) spread(now float64) {
	for _, k := range f.links {
		if k.watching {
			f.due.put(now+f.r.spec.DeliverySeconds*(0.5+f.r.rng.Float64()), registryTask{link: k})
		}
	}
}

// hush has nothing more be written to the watches that are open.
func (f *registryFront) hush() {
	for _, k := range f.links {
		if k.watching && !k.silent {
			k.silent = true
			f.see(checker.WatchStalled, k)
		}
	}
}

// closeAll ends all connections.
func (f *registryFront) closeAll() {
	for len(f.links) > 0 {
		f.net.Close(f.links[len(f.links)-1].conn)
	}
}

// leave ends service at the address.
func (f *registryFront) leave() {
	f.net.StopListening(func() {})
	f.due.put(f.net.Now()+f.r.spec.OldAddressSeconds, registryTask{leave: true})
	f.arm()
}

func (f *registryFront) Alarm() {
	f.armed = math.Inf(1)
	now := f.net.Now()
	f.r.work(now)
	for {
		t, _, ok := f.due.take(now)
		if !ok {
			break
		}
		switch {
		case t.leave:
			f.closeAll()
		case t.link.conn == nil || !t.link.watching || t.link.silent:
		case !t.pulse:
			if t.link.since < f.r.index {
				f.line(t.link, f.out[:0], false)
			}
		default:
			at := t.link.toldAt + f.r.spec.KeepAliveSeconds
			if at <= now {
				f.write(t.link, append(f.out[:0], "1\r\n\n\r\n"...))
				t.link.toldAt, at = now, now+f.r.spec.KeepAliveSeconds
			}
			f.due.put(at, t)
		}
	}
	f.r.arm() // what one front has taken up, another may have to tell
}

func (f *registryFront) arm() {
	at := min(f.r.due(), f.due.next())
	if at != f.armed && at < math.Inf(1) {
		f.armed = at
		f.net.SetAlarm(at)
	}
}
