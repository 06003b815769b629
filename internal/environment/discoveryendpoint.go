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
type discoveryEndpoint struct {
	discovery *Discovery
	number    int
	net       netio.EventLoop
	conns     []*discoveryConn
	tasks     schedule[discoveryTask]
	alarmAt   float64
	buffer    []byte
}

// registryTask is a line to write to a watcher, or what is left to close of an address that is no longer used.
type discoveryTask struct {
	conn         *discoveryConn
	isKeepAlive  bool
	isRetirement bool
}

// registryLink is a connection from a sidecar.
type discoveryConn struct {
	endpoint   *discoveryEndpoint
	conn       netio.Conn
	number     uint64
	sidecar    int32
	buf        http1.Buffer
	parser     http1.RequestParser
	hasCall    bool
	calledAt   float64
	wantsWatch bool   // it asks for one
	knownIndex uint64 // the last index that it has been told
	hasIndex   bool   // since is known
	isWatch    bool
	isStalled  bool // nothing is written to the watch any more
	writtenAt  float64
}

// Boot returns what serves one of discovery's addresses.
func (r *Discovery) Boot(number int) func(netio.EventLoop) netio.Handler {
	return func(net netio.EventLoop) netio.Handler {
		f := &discoveryEndpoint{discovery: r, number: number, net: net, alarmAt: math.Inf(1)}
		r.endpoints = append(r.endpoints, f)
		return f
	}
}

func (f *discoveryEndpoint) Start() { f.updateAlarm() }

func (f *discoveryEndpoint) Open(c netio.Conn) bool {
	f.discovery.lastConnNumber++
	k := &discoveryConn{endpoint: f, conn: c, number: f.discovery.lastConnNumber, sidecar: f.discovery.sidecars.number(c.RemoteAddr()),
		parser: http1.NewRequestParser(messageLimits)}
	c.SetContext(k)
	f.conns = append(f.conns, k)
	if f.discovery.isDown && f.discovery.refusesConnections { // nobody dials it but for the list
		f.observe(checker.DiscoveryCalled, k)
		f.observe(checker.DiscoveryCallFailed, k)
		return false
	}
	return true
}

func (f *discoveryEndpoint) Closed(c netio.Conn, err error) {
	k, ok := c.Context().(*discoveryConn)
	if !ok {
		return
	}
	k.conn = nil
	if i := slices.Index(f.conns, k); i >= 0 {
		f.conns = slices.Delete(f.conns, i, i+1)
	}
	if k.isWatch {
		k.isWatch = false
		f.observe(checker.WatchClosed, k)
	}
	if k.hasCall {
		k.hasCall = false
		f.observe(checker.DiscoveryCallFailed, k)
		f.discovery.observeQueue(f.net.Now())
	}
}

func (f *discoveryEndpoint) observe(kind checker.Kind, k *discoveryConn) {
	now := f.net.Now()
	f.discovery.observer.Observe(checker.Event{Kind: kind, At: now, FirstSent: now, Sent: now, Sidecar: k.sidecar, Server: checker.PathToDiscovery, Connection: k.number})
}

func (f *discoveryEndpoint) Traffic(c netio.Conn, data []byte) {
	k, ok := c.Context().(*discoveryConn)
	if !ok || k.isWatch {
		return
	}
	k.buf.Write(data)
	f.readCalls(k)
	f.updateAlarm()
}

func (f *discoveryEndpoint) readCalls(k *discoveryConn) {
	for k.conn != nil && !k.hasCall && !k.isWatch && k.buf.Len() > 0 {
		whole, err := k.parser.Next(&k.buf)
		if err != nil {
			f.net.Close(k.conn)
			return
		}
		if !whole {
			return
		}
		f.handleCall(k)
	}
}

// call takes a call up.
func (f *discoveryEndpoint) handleCall(k *discoveryConn) {
	target, query, _ := strings.Cut(k.parser.Target, "?")
	if target != "/v1/endpoints" {
		f.write(k, http1.AppendResponse(f.buffer[:0], 404, nil, nil))
		return
	}
	k.wantsWatch, k.hasIndex, k.knownIndex = false, false, 0
	for pair := range strings.SplitSeq(query, "&") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "follow":
			k.wantsWatch = value == "1"
		case "since":
			n, err := strconv.ParseUint(value, 10, 64)
			k.knownIndex, k.hasIndex = n, err == nil
		}
	}
	k.hasCall, k.calledAt = true, f.net.Now()
	f.observe(checker.DiscoveryCalled, k)
	if f.discovery.isDown {
		f.reject(k)
		return
	}
	f.discovery.queuedCalls = append(f.discovery.queuedCalls, k)
	f.discovery.startNextCall(k.calledAt)
	f.discovery.observeQueue(k.calledAt)
}

func (f *discoveryEndpoint) reject(k *discoveryConn) {
	k.hasCall = false
	f.observe(checker.DiscoveryCallFailed, k)
	f.write(k, http1.AppendResponse(f.buffer[:0], 503, nil, nil))
}

// serve answers a call whose turn has come.
func (f *discoveryEndpoint) serve(k *discoveryConn) {
	r, now := f.discovery, f.net.Now()
	k.hasCall = false
	// A version that nobody has had from here is no version.
	snapshot := !k.wantsWatch || !k.hasIndex || k.knownIndex > r.index || r.fullListFaults > 0
	out := f.buffer[:0]
	if !k.wantsWatch {
		body := append(r.formatList(r.index, r.entries, 0, true), '\n')
		f.write(k, http1.AppendResponse(out, 200, http1.Header{{Name: "Content-Type", Value: "application/json"}}, body))
		r.observeDelivery(k.sidecar, r.index, r.entries, 0, true, now)
		return
	}
	out = append(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"...)
	k.isWatch = true
	f.observe(checker.WatchOpened, k)
	f.writeUpdate(k, out, snapshot)
	f.tasks.add(now+r.spec.KeepAliveSeconds, discoveryTask{conn: k, isKeepAlive: true})
}

// line writes an object to a watcher, behind what out holds already.
func (f *discoveryEndpoint) writeUpdate(k *discoveryConn, out []byte, snapshot bool) {
	r, now := f.discovery, f.net.Now()
	body := append(r.formatList(r.index, r.entries, k.knownIndex, snapshot), '\n')
	out = append(strconv.AppendInt(out, int64(len(body)), 16), "\r\n"...)
	out = append(append(out, body...), "\r\n"...)
	since := k.knownIndex
	k.knownIndex, k.writtenAt = r.index, now
	f.write(k, out)
	r.observeDelivery(k.sidecar, r.index, r.entries, since, snapshot, now)
}

func (f *discoveryEndpoint) write(k *discoveryConn, out []byte) {
	f.buffer = out
	if k.conn != nil {
		k.conn.Write(out) // a connection that breaks here is closed by the network
	}
}

// spread has all watchers told of a change, each a little later.
func (f *discoveryEndpoint) scheduleUpdates(now float64) {
	for _, k := range f.conns {
		if k.isWatch {
			f.tasks.add(now+f.discovery.spec.DeliverySeconds*(0.5+f.discovery.rng.Float64()), discoveryTask{conn: k})
		}
	}
}

// hush has nothing more be written to the watches that are open.
func (f *discoveryEndpoint) stallWatches() {
	for _, k := range f.conns {
		if k.isWatch && !k.isStalled {
			k.isStalled = true
			f.observe(checker.WatchStalled, k)
		}
	}
}

// closeAll ends all connections.
func (f *discoveryEndpoint) closeAll() {
	for len(f.conns) > 0 {
		f.net.Close(f.conns[len(f.conns)-1].conn)
	}
}

// leave ends service at the address.
func (f *discoveryEndpoint) retire() {
	f.net.StopListening(func() {})
	f.tasks.add(f.net.Now()+f.discovery.spec.OldAddressSeconds, discoveryTask{isRetirement: true})
	f.updateAlarm()
}

func (f *discoveryEndpoint) Alarm() {
	f.alarmAt = math.Inf(1)
	now := f.net.Now()
	f.discovery.advance(now)
	for {
		t, _, ok := f.tasks.pop(now)
		if !ok {
			break
		}
		switch {
		case t.isRetirement:
			f.closeAll()
		case t.conn.conn == nil || !t.conn.isWatch || t.conn.isStalled:
		case !t.isKeepAlive:
			if t.conn.knownIndex < f.discovery.index {
				f.writeUpdate(t.conn, f.buffer[:0], false)
			}
		default:
			at := t.conn.writtenAt + f.discovery.spec.KeepAliveSeconds
			if at <= now {
				f.write(t.conn, append(f.buffer[:0], "1\r\n\n\r\n"...))
				t.conn.writtenAt, at = now, now+f.discovery.spec.KeepAliveSeconds
			}
			f.tasks.add(at, t)
		}
	}
	f.discovery.updateAlarms() // what one front has taken up, another may have to tell
}

func (f *discoveryEndpoint) updateAlarm() {
	at := min(f.discovery.nextAt(), f.tasks.nextAt())
	if at != f.alarmAt && at < math.Inf(1) {
		f.alarmAt = at
		f.net.SetAlarm(at)
	}
}
