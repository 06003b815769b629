package sim

import (
	"fmt"

	"hazelwheel/internal/netio"
	"hazelwheel/internal/netio/virtual"
	"hazelwheel/internal/peers/stalledpeer"
)

// stalledPeer is a misbehaving peer: it sends queries again and again and reads nothing.
type stalledPeer struct {
	loop              netio.EventLoop
	address           string
	requestsPerSecond float64
	until             float64
	hello             []byte
	request           []byte
	conn              netio.Conn
	isDialing         bool
}

// Start implements netio.Handler.
func (p *stalledPeer) Start() { p.Alarm() }

// Open implements netio.Handler.
func (p *stalledPeer) Open(c netio.Conn) bool {
	p.conn = c
	c.Write(p.hello)
	return true
}

// Traffic implements netio.Handler.
func (p *stalledPeer) Traffic(netio.Conn, []byte) {}

// Closed implements netio.Handler.
func (p *stalledPeer) Closed(c netio.Conn, err error) { p.conn = nil }

// Alarm implements netio.Handler: it sends a query, or dials again.
func (p *stalledPeer) Alarm() {
	now := p.loop.Now()
	if now >= p.until {
		p.loop.Stop()
		return
	}
	p.loop.SetAlarm(now + 1/p.requestsPerSecond)
	if p.conn == nil {
		if !p.isDialing {
			p.isDialing = true
			p.loop.Dial(p.address, now+1, nil, func(error) { p.isDialing = false })
		}
		return
	}
	if p.conn.OutboundBuffered() < 1<<16 {
		p.conn.Write(p.request)
	}
}

// QueryWithoutReading implements environment.Hosts by a stalledPeer on a machine of its own.
func (d *day) QueryWithoutReading(sidecar int, queriesPerSecond, until float64) {
	d.stalledPeers++
	d.activePeerFaults++ // until the peer exits
	vm := d.network.Machine(fmt.Sprintf("10.9.0.%d", d.stalledPeers))
	p := vm.Process(virtual.ProcessOptions{Name: "deaf", ReadRate: -1, OnExit: func() {
		d.activePeerFaults--
		d.lastFaultAt = d.network.Now()
	}})
	peer := &stalledPeer{loop: p, address: peersAddress(&d.sidecars[sidecar].spec), requestsPerSecond: queriesPerSecond, until: until}
	var err error
	if peer.hello, peer.request, err = stalledpeer.Frames(fleetName, peer.address); err == nil {
		err = p.Run(peer)
	}
	if err != nil {
		panic(err) // the frames are constant, and it opens no listener
	}
}
