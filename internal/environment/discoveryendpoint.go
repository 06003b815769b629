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

// discoveryEndpoint is discovery at one of its addresses. It implements netio.Handler.
type discoveryEndpoint struct {
	discovery *Discovery
	number    int
	net       netio.EventLoop
	conns     []*discoveryConn
	tasks     schedule[discoveryTask]
	alarmAt   float64
	buffer    []byte
}

// discoveryTask is an update or keep-alive to write to a watch, or the close of a retired address.
type discoveryTask struct {
	conn         *discoveryConn
	isKeepAlive  bool
	isRetirement bool
}

// discoveryConn is a connection from a sidecar.
type discoveryConn struct {
	endpoint   *discoveryEndpoint
	conn       netio.Conn
	number     uint64
	sidecar    int32
	buf        http1.Buffer
	parser     http1.RequestParser
	hasCall    bool
	calledAt   float64
	wantsWatch bool   // its call asks for a watch
	knownIndex uint64 // the last index that was written to it
	hasIndex   bool   // knownIndex is set
	isWatch    bool
	isStalled  bool // nothing is written to it any more
	writtenAt  float64
}

// Boot returns the boot function of one of discovery's addresses.
func (d *Discovery) Boot(number int) func(netio.EventLoop) netio.Handler {
	return func(net netio.EventLoop) netio.Handler {
		endpoint := &discoveryEndpoint{discovery: d, number: number, net: net, alarmAt: math.Inf(1)}
		d.endpoints = append(d.endpoints, endpoint)
		return endpoint
	}
}

// Start implements netio.Handler.
func (e *discoveryEndpoint) Start() { e.updateAlarm() }

// Open accepts a connection, unless discovery is down and refuses connections.
func (e *discoveryEndpoint) Open(c netio.Conn) bool {
	e.discovery.lastConnNumber++
	conn := &discoveryConn{
		endpoint: e,
		conn:     c,
		number:   e.discovery.lastConnNumber,
		sidecar:  e.discovery.sidecars.number(c.RemoteAddr()),
		parser:   http1.NewRequestParser(messageLimits),
	}
	c.SetContext(conn)
	e.conns = append(e.conns, conn)
	if e.discovery.isDown && e.discovery.refusesConnections { // sidecars connect for nothing but the list
		e.observe(checker.DiscoveryCalled, conn)
		e.observe(checker.DiscoveryCallFailed, conn)
		return false
	}
	return true
}

// Closed reports the end of a watch, or the failure of a call, with its connection.
func (e *discoveryEndpoint) Closed(c netio.Conn, err error) {
	conn, ok := c.Context().(*discoveryConn)
	if !ok {
		return
	}
	conn.conn = nil
	if i := slices.Index(e.conns, conn); i >= 0 {
		e.conns = slices.Delete(e.conns, i, i+1)
	}
	if conn.isWatch {
		conn.isWatch = false
		e.observe(checker.WatchClosed, conn)
	}
	if conn.hasCall {
		conn.hasCall = false
		e.observe(checker.DiscoveryCallFailed, conn)
		e.discovery.observeQueue(e.net.Now())
	}
}

// observe reports an event of a connection to the observer.
func (e *discoveryEndpoint) observe(kind checker.Kind, conn *discoveryConn) {
	now := e.net.Now()
	e.discovery.observer.Observe(checker.Event{Kind: kind, At: now, FirstSent: now, Sent: now, Sidecar: conn.sidecar, Server: checker.PathToDiscovery, Connection: conn.number})
}

// Traffic reads calls. What is sent on a watch is ignored.
func (e *discoveryEndpoint) Traffic(c netio.Conn, data []byte) {
	conn, ok := c.Context().(*discoveryConn)
	if !ok || conn.isWatch {
		return
	}
	conn.buf.Write(data)
	e.readCalls(conn)
	e.updateAlarm()
}

// readCalls handles the complete calls of a connection, until one is queued.
func (e *discoveryEndpoint) readCalls(conn *discoveryConn) {
	for conn.conn != nil && !conn.hasCall && !conn.isWatch && conn.buf.Len() > 0 {
		isComplete, err := conn.parser.Next(&conn.buf)
		if err != nil {
			e.net.Close(conn.conn)
			return
		}
		if !isComplete {
			return
		}
		e.handleCall(conn)
	}
}

// handleCall parses a call and queues it.
func (e *discoveryEndpoint) handleCall(conn *discoveryConn) {
	target, query, _ := strings.Cut(conn.parser.Target, "?")
	if target != "/v1/endpoints" {
		e.write(conn, http1.AppendResponse(e.buffer[:0], 404, nil, nil))
		return
	}
	conn.wantsWatch, conn.hasIndex, conn.knownIndex = false, false, 0
	for pair := range strings.SplitSeq(query, "&") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "follow":
			conn.wantsWatch = value == "1"
		case "since":
			n, err := strconv.ParseUint(value, 10, 64)
			conn.knownIndex, conn.hasIndex = n, err == nil
		}
	}
	conn.hasCall, conn.calledAt = true, e.net.Now()
	e.observe(checker.DiscoveryCalled, conn)
	if e.discovery.isDown {
		e.reject(conn)
		return
	}
	e.discovery.queuedCalls = append(e.discovery.queuedCalls, conn)
	e.discovery.startNextCall(conn.calledAt)
	e.discovery.observeQueue(conn.calledAt)
}

// reject answers a call with 503.
func (e *discoveryEndpoint) reject(conn *discoveryConn) {
	conn.hasCall = false
	e.observe(checker.DiscoveryCallFailed, conn)
	e.write(conn, http1.AppendResponse(e.buffer[:0], 503, nil, nil))
}

// serve answers the first call of the queue.
func (e *discoveryEndpoint) serve(conn *discoveryConn) {
	discovery, now := e.discovery, e.net.Now()
	conn.hasCall = false
	// An index above the present one was not issued here and is ignored.
	snapshot := !conn.wantsWatch || !conn.hasIndex || conn.knownIndex > discovery.listIndex || discovery.fullListFaults > 0
	out := e.buffer[:0]
	if !conn.wantsWatch {
		body := append(discovery.formatList(discovery.listIndex, discovery.entries, 0, true), '\n')
		e.write(conn, http1.AppendResponse(out, 200, http1.Header{{Name: "Content-Type", Value: "application/json"}}, body))
		discovery.observeDelivery(conn.sidecar, discovery.listIndex, discovery.entries, 0, true, now)
		return
	}
	out = append(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"...)
	conn.isWatch = true
	e.observe(checker.WatchOpened, conn)
	e.writeUpdate(conn, out, snapshot)
	e.tasks.add(now+discovery.spec.KeepAliveSeconds, discoveryTask{conn: conn, isKeepAlive: true})
}

// writeUpdate writes an update to a watch, after what out holds already.
func (e *discoveryEndpoint) writeUpdate(conn *discoveryConn, out []byte, snapshot bool) {
	discovery, now := e.discovery, e.net.Now()
	body := append(discovery.formatList(discovery.listIndex, discovery.entries, conn.knownIndex, snapshot), '\n')
	out = append(strconv.AppendInt(out, int64(len(body)), 16), "\r\n"...)
	out = append(append(out, body...), "\r\n"...)
	since := conn.knownIndex
	conn.knownIndex, conn.writtenAt = discovery.listIndex, now
	e.write(conn, out)
	discovery.observeDelivery(conn.sidecar, discovery.listIndex, discovery.entries, since, snapshot, now)
}

// write writes to a connection, if it is open.
func (e *discoveryEndpoint) write(conn *discoveryConn, out []byte) {
	e.buffer = out
	if conn.conn != nil {
		conn.conn.Write(out) // a connection that breaks here is closed by the network
	}
}

// scheduleUpdates schedules an update to each watch, after a drawn delay.
func (e *discoveryEndpoint) scheduleUpdates(now float64) {
	for _, conn := range e.conns {
		if conn.isWatch {
			e.tasks.add(now+e.discovery.spec.DeliverySeconds*(0.5+e.discovery.rng.Float64()), discoveryTask{conn: conn})
		}
	}
}

// stallWatches stalls the watches that are open.
func (e *discoveryEndpoint) stallWatches() {
	for _, conn := range e.conns {
		if conn.isWatch && !conn.isStalled {
			conn.isStalled = true
			e.observe(checker.WatchStalled, conn)
		}
	}
}

// closeAll closes all connections.
func (e *discoveryEndpoint) closeAll() {
	for len(e.conns) > 0 {
		e.net.Close(e.conns[len(e.conns)-1].conn)
	}
}

// retire stops listening at the address and schedules the close of its connections.
func (e *discoveryEndpoint) retire() {
	e.net.StopListening(func() {})
	e.tasks.add(e.net.Now()+e.discovery.spec.OldAddressSeconds, discoveryTask{isRetirement: true})
	e.updateAlarm()
}

// Alarm does what is due at discovery and at the endpoint.
func (e *discoveryEndpoint) Alarm() {
	e.alarmAt = math.Inf(1)
	now := e.net.Now()
	e.discovery.advance(now)
	for {
		task, _, ok := e.tasks.pop(now)
		if !ok {
			break
		}
		switch {
		case task.isRetirement:
			e.closeAll()
		case task.conn.conn == nil || !task.conn.isWatch || task.conn.isStalled:
		case !task.isKeepAlive:
			if task.conn.knownIndex < e.discovery.listIndex {
				e.writeUpdate(task.conn, e.buffer[:0], false)
			}
		default:
			at := task.conn.writtenAt + e.discovery.spec.KeepAliveSeconds
			if at <= now {
				e.write(task.conn, append(e.buffer[:0], "1\r\n\n\r\n"...))
				task.conn.writtenAt, at = now, now+e.discovery.spec.KeepAliveSeconds
			}
			e.tasks.add(at, task)
		}
	}
	e.discovery.updateAlarms() // a change that one endpoint has applied may be due at another
}

// updateAlarm sets the alarm for what is due next, here or at discovery.
func (e *discoveryEndpoint) updateAlarm() {
	at := min(e.discovery.nextAt(), e.tasks.nextAt())
	if at != e.alarmAt && at < math.Inf(1) {
		e.alarmAt = at
		e.net.SetAlarm(at)
	}
}
