package membershipsim

import (
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers/frames"
)

// actions are a node's.
type actions struct{ node *Node }

const (
	dialTimeoutSeconds = 2.0  // for a link that does not come up
	helloBytes         = 150  // bytes, about
	heartbeatBytes     = 22.0 // with its head
)

func (a actions) Dial(address string) {
	n, c := a.node, a.node.fleet
	life := n.process
	fail := func(after float64) {
		c.At(c.Now()+after, func() { n.run(life, func() { n.View.DialFailed(c.Now(), address) }) })
	}
	to := c.nodeByAddress[address]
	n.SentBytes += helloBytes
	switch {
	case to == nil || c.blockedPaths[[2]int{n.Number, to.Number}] || c.blockedPaths[[2]int{to.Number, n.Number}]:
		fail(dialTimeoutSeconds)
		return
	case !to.IsRunning || len(to.ends) >= 48:
		fail(2 * c.latency())
		return
	}
	n.lastLink++
	to.lastLink++
	near, far := &linkEnd{node: n, process: n.process, number: n.lastLink}, &linkEnd{node: to, process: to.process, number: to.lastLink}
	near.other, far.other, near.dialedAddress = far, near, address
	n.ends[near.number], to.ends[far.number] = near, far
	to.MaxLinks, n.MaxLinks = max(to.MaxLinks, len(to.ends)), max(n.MaxLinks, len(n.ends))
	hello := n.View.Hello()
	near.deliver(func() {
		answer := to.View.Hello()
		to.SentBytes += helloBytes
		far.deliver(func() {
			near.isUp = true
			n.View.LinkUp(c.Now(), near.number, address, answer)
		})
		far.isUp = true
		to.View.LinkUp(c.Now(), far.number, "", hello)
	})
	// A target that stands still takes the link and says nothing.
	c.At(c.Now()+dialTimeoutSeconds, func() {
		if !near.isUp && !near.isClosed {
			near.close()
			n.run(life, func() { n.linkEnded(near) })
		}
	})
}

func (a actions) Send(link int, m *swim.Message) {
	n, c := a.node, a.node.fleet
	e := n.ends[link]
	if e == nil || e.isClosed {
		return
	}
	size := uint64(heartbeatBytes)
	if m.Records != nil || m.BucketDigests != nil || m.WantedBuckets != nil {
		size = c.messageSize(m)
	}
	n.SentBytes += size
	n.Messages++
	o := e.other
	if c.blockedPaths[[2]int{n.Number, o.node.Number}] {
		e.hasLost = true
		return
	}
	c.Hand(e.arrival(), o, m)
}

func (a actions) Close(link int) {
	if e := a.node.ends[link]; e != nil {
		e.close()
	}
}

func (a actions) MemberChanged(r swim.Record, was swim.State, known bool) {
	if a.node.fleet.OnChange != nil {
		a.node.fleet.OnChange(a.node.fleet.Now(), a.node, r, was, known)
	}
}

func (a actions) ReplaceIdentity(string) {
	n := a.node
	n.id, n.generation = swim.ID(n.fleet.rng.Uint64()|1), 1
	id, life := n.id, n.process
	version := swim.Version{Incarnation: 1 << 32, BootID: n.fleet.rng.Uint64()}
	n.fleet.At(n.fleet.Now()+0.01, func() { n.run(life, func() { n.View.AdoptIdentity(n.fleet.Now(), id, version, false) }) })
}

// news is what a record is known by, as far as its length goes.
type recordKey struct {
	id       swim.ID
	version  swim.Version
	state    swim.State
	accusers int
	hasAge   bool
	durable  bool
}

// size returns how many bytes a message takes. Danger: what a fleet that forms says is each newcomer's record to all links of
// all members; packed each time that is a third of the work.
func (c *Fleet) messageSize(m *swim.Message) uint64 {
	rest := *m
	rest.Records = nil
	size := uint64(frames.HeadLen + 1) // the map's head
	if rest.Heartbeat != nil || rest.BucketDigests != nil || rest.WantedBuckets != nil || rest.Closing {
		size = c.encodedSize(&rest) + frames.HeadLen
	}
	if len(m.Records) == 0 {
		return size
	}
	if size += 3; len(m.Records) > 15 { // the list's name and head
		size += 2
	}
	for i := range m.Records {
		r := &m.Records[i]
		key := recordKey{r.ID, r.Version, r.State, len(r.Accusers), r.AgeSeconds != 0, r.Durable}
		one, known := c.recordSizes[key]
		if !known {
			one = c.encodedSize(r)
			c.recordSizes[key] = one
		}
		size += one
	}
	return size
}

func (c *Fleet) encodedSize(what any) uint64 {
	body, err := frames.Pack(what)
	if err != nil { // numbers and names always pack
		panic(err)
	}
	return uint64(len(body))
}
