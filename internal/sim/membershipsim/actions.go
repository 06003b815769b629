package membershipsim

import (
	"fmt"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers/frames"
)

const (
	dialTimeoutSeconds    = 2.0
	identityChangeSeconds = 0.01 // until a new identity is on disk
	maxLinksOfNode        = 48   // beyond which dials are refused
	helloBytes            = 150  // about
	heartbeatBytes        = 22.0 // with the frame's head
	maxShortListLen       = 15   // records of a MessagePack list whose length is in its first byte
	listHeadBytes         = 3    // key and head of a short list,
	longListExtraBytes    = 2    // and what a long one takes more
	messageMapHeadBytes   = 1
)

// actions carries out what the View of a node asks for.
type actions struct{ node *Node }

// Dial establishes a link if the address is reachable. A frozen process accepts it and sends no Hello.
func (a actions) Dial(address string) {
	n, f := a.node, a.node.fleet
	process := n.process
	failAfter := func(seconds float64) {
		f.At(f.Now()+seconds, func() { n.run(process, func() { n.View.DialFailed(f.Now(), address) }) })
	}
	to := f.nodeByAddress[address]
	n.SentBytes += helloBytes
	switch {
	case to == nil || f.blockedPaths[path{n.Number, to.Number}] || f.blockedPaths[path{to.Number, n.Number}]:
		failAfter(dialTimeoutSeconds)
		return
	case !to.IsRunning || len(to.ends) >= maxLinksOfNode:
		failAfter(2 * f.latency())
		return
	}
	near, far := connect(n, to, address)
	hello := n.View.Hello()
	near.deliver(func() {
		answer := to.View.Hello()
		to.SentBytes += helloBytes
		far.deliver(func() {
			near.isUp = true
			n.View.LinkUp(f.Now(), near.number, address, answer)
		})
		far.isUp = true
		to.View.LinkUp(f.Now(), far.number, "", hello)
	})
	f.At(f.Now()+dialTimeoutSeconds, func() {
		if !near.isUp && !near.isClosed {
			near.close()
			n.run(process, func() { n.linkEnded(near) })
		}
	})
}

// connect creates the two ends of a link.
func connect(from, to *Node, address string) (near, far *linkEnd) {
	from.lastLink++
	to.lastLink++
	near = &linkEnd{node: from, process: from.process, number: from.lastLink, dialedAddress: address}
	far = &linkEnd{node: to, process: to.process, number: to.lastLink, other: near}
	near.other = far
	from.ends[near.number], to.ends[far.number] = near, far
	to.MaxLinks, from.MaxLinks = max(to.MaxLinks, len(to.ends)), max(from.MaxLinks, len(from.ends))
	return near, far
}

// Send delivers a message, unless the path is blocked.
func (a actions) Send(link int, m *swim.Message) {
	n, f := a.node, a.node.fleet
	e := n.ends[link]
	if e == nil || e.isClosed {
		return
	}
	size := uint64(heartbeatBytes)
	if m.Records != nil || m.BucketDigests != nil || m.WantedBuckets != nil {
		size = f.messageSize(m)
	}
	n.SentBytes += size
	n.Messages++
	if f.blockedPaths[path{n.Number, e.other.node.Number}] {
		e.hasLost = true
		return
	}
	f.Deliver(e.arrival(), e.other, m)
}

// Close closes a link.
func (a actions) Close(link int) {
	if e := a.node.ends[link]; e != nil {
		e.close()
	}
}

// MemberChanged passes a change on to Fleet.OnChange.
func (a actions) MemberChanged(r swim.Record, was swim.State, known bool) {
	if f := a.node.fleet; f.OnChange != nil {
		f.OnChange(f.Now(), a.node, r, was, known)
	}
}

// ReplaceIdentity draws a new identity, which the View adopts when it is stored.
func (a actions) ReplaceIdentity(string) {
	n, f := a.node, a.node.fleet
	n.id, n.generation = swim.ID(f.rng.Uint64()|1), 1
	id, process := n.id, n.process
	version := swim.Version{Incarnation: 1 << 32, BootID: f.rng.Uint64()}
	f.At(f.Now()+identityChangeSeconds, func() { n.run(process, func() { n.View.AdoptIdentity(f.Now(), id, version, false) }) })
}

// recordKey is what the encoded size of a record depends on.
type recordKey struct {
	id       swim.ID
	version  swim.Version
	state    swim.State
	accusers int
	hasAge   bool
	durable  bool
}

// messageSize returns the size of an encoded message. Danger: a fleet that forms sends the record of each new member over all links;
// encoding it each time was a third of the run time, so the sizes of records are cached.
func (f *Fleet) messageSize(m *swim.Message) uint64 {
	rest := *m
	rest.Records = nil
	size := uint64(frames.HeaderBytes + messageMapHeadBytes)
	if rest.Heartbeat != nil || rest.BucketDigests != nil || rest.WantedBuckets != nil || rest.Closing {
		size = encodedSize(&rest) + frames.HeaderBytes
	}
	if len(m.Records) == 0 {
		return size
	}
	if size += listHeadBytes; len(m.Records) > maxShortListLen {
		size += longListExtraBytes
	}
	for i := range m.Records {
		size += f.recordSize(&m.Records[i])
	}
	return size
}

func (f *Fleet) recordSize(r *swim.Record) uint64 {
	key := recordKey{r.ID, r.Version, r.State, len(r.Accusers), r.AgeSeconds != 0, r.Durable}
	size, known := f.recordSizes[key]
	if !known {
		size = encodedSize(r)
		f.recordSizes[key] = size
	}
	return size
}

// encodedSize returns the size of a value in a frame.
func encodedSize(v any) uint64 {
	body, err := frames.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("membershipsim: numbers and names can always be packed: %v", err))
	}
	return uint64(len(body))
}
