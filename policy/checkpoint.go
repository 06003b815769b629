package policy

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"sort"
)

// checkpointFormat is the format version, the first byte of a checkpoint. It changes whenever the encoding or the set of fields
// changes.
const checkpointFormat = 7

// randomStateBytes is the length of the marshalled state of a rand.PCG.
const randomStateBytes = 20

var errInvalidCheckpoint = errors.New("policy: not a complete checkpoint of the current format")

// Checkpoint appends the complete state of the Balancer to dst, up to a total length of maxBytes; ok is false if that is too
// short. A Balancer that Restore returns for the state acts exactly as this one does. Checkpoint changes nothing and must not be
// called from within an action.
func (b *Balancer) Checkpoint(dst []byte, maxBytes int) (state []byte, ok bool) {
	c := codec{b: b, buf: dst, maxBytes: maxBytes}
	c.write(checkpointFormat)
	c.visitBalancer()
	return c.buf, !c.failed
}

// Restore returns a Balancer with the state of a checkpoint. The settings must be those of the original, except for Self and
// Replicas, which are part of the state. It fails if state is not a complete checkpoint of the current format.
func Restore(s Settings, state []byte, actions Actions) (*Balancer, error) {
	if len(state) == 0 || state[0] != checkpointFormat {
		return nil, errInvalidCheckpoint
	}
	c := codec{b: New(s, 0, actions), buf: state[1:], reading: true}
	c.visitBalancer()
	if c.failed || len(c.buf) > 0 {
		return nil, errInvalidCheckpoint
	}
	return c.b, nil
}

// RestoreSuccessor returns a Balancer for the process that replaces the one that wrote the checkpoint. It takes over what is
// known of hosts, but not the requests, since the old process still answers those. The time since the checkpoint does not count
// as silence of the hosts (see ObserveStall). It fails as Restore does.
func RestoreSuccessor(s Settings, state []byte, now float64, actions Actions) (*Balancer, error) {
	b, err := Restore(s, state, actions)
	if err != nil {
		return nil, err
	}
	b.liveRequests = nil
	b.queue = queue{}
	b.lastScanned = nil
	b.requestsByID = map[uint32]*request{}
	for _, h := range b.sortedHosts {
		h.inFlight = nil
		h.probedAt = 0
		h.polledAt = 0
	}
	b.isWakeArmed, b.isWatching, b.isReplicaSet = false, false, false
	b.configuredReplicas, b.settings.Self, b.settings.Replicas = s.Replicas, s.Self, s.Replicas
	b.ObserveStall(now, max(now-b.now, 0))
	return b, nil
}

// codec writes or reads a checkpoint. Each type has one visit method for both directions, so that encoding and decoding can't
// differ. After a failure, writes do nothing and reads return zeros.
//
// A host that was forgotten and then listed again is a new *host; older attempts may still refer to the previous *host with the
// same ID. Pointers to hosts are therefore written as indices, not IDs: first into Balancer.sortedHosts, then into pastHosts.
type codec struct {
	b         *Balancer
	buf       []byte // in writing the output, in reading the input that is left
	maxBytes  int    // bound of len(buf) in writing
	reading   bool
	failed    bool
	pastHosts []*host // hosts that are no longer in sortedHosts but still referred to
}

// write appends bytes, unless they exceed maxBytes.
func (c *codec) write(raw ...byte) {
	c.failed = c.failed || len(c.buf)+len(raw) > c.maxBytes
	if !c.failed {
		c.buf = append(c.buf, raw...)
	}
}

// read returns the next n bytes, zeros if there are fewer.
func (c *codec) read(n int) []byte {
	c.failed = c.failed || len(c.buf) < n
	if c.failed {
		return make([]byte, n)
	}
	raw := c.buf[:n]
	c.buf = c.buf[n:]
	return raw
}

// visitUint64 visits a number of eight bytes, little-endian.
func (c *codec) visitUint64(v *uint64) {
	if c.reading {
		*v = binary.LittleEndian.Uint64(c.read(8))
		return
	}
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], *v)
	c.write(raw[:]...)
}

// visitFloats visits floating-point numbers by their bits, so that infinities and NaN are kept.
func (c *codec) visitFloats(all ...*float64) {
	for _, v := range all {
		bits := math.Float64bits(*v)
		c.visitUint64(&bits)
		*v = math.Float64frombits(bits)
	}
}

// visitBools visits booleans, one byte each.
func (c *codec) visitBools(all ...*bool) {
	for _, v := range all {
		switch {
		case c.reading:
			*v = c.read(1)[0] != 0
		case *v:
			c.write(1)
		default:
			c.write(0)
		}
	}
}

// visitInts visits integers as signed varints: most are small.
func visitInts[T ~int | ~uint8 | ~uint32](c *codec, all ...*T) {
	for _, v := range all {
		if c.reading {
			x, n := binary.Varint(c.buf)
			c.read(max(n, 1))
			c.failed = c.failed || n <= 0
			*v = T(x)
			continue
		}
		var raw [binary.MaxVarintLen64]byte
		c.write(raw[:binary.PutVarint(raw[:], int64(*v))]...)
	}
}

// visitSlice visits the length of a slice and its elements, each of which takes at least one byte.
func visitSlice[T any](c *codec, s *[]T, visit func(*T)) {
	n := len(*s)
	visitInts(c, &n)
	if c.reading {
		// A corrupt length must not cause an allocation of more elements than the checkpoint has bytes.
		c.failed = c.failed || n < 0 || n > len(c.buf)
		if c.failed {
			n = 0
		}
		*s = make([]T, n)
	}
	for i := range *s {
		visit(&(*s)[i])
	}
}

// visitClass visits the index of a class and checks its range.
func (c *codec) visitClass(v *int) {
	visitInts(c, v)
	c.failed = c.failed || *v < 0 || *v >= len(c.b.settings.Classes)
	if c.failed && c.reading {
		*v = 0
	}
}

// visitPerClass visits one number for each class.
func (c *codec) visitPerClass(s *[]float64) {
	visitSlice(c, s, func(v *float64) { c.visitFloats(v) })
	c.failed = c.failed || len(*s) != len(c.b.settings.Classes)
}

// hostIndex returns the index by which a host is written, -1 if it has none.
func (c *codec) hostIndex(h *host) int {
	hosts := c.b.sortedHosts
	i := sort.Search(len(hosts), func(i int) bool { return hosts[i].ID >= h.ID })
	if i < len(hosts) && hosts[i] == h {
		return i
	}
	if i = slices.Index(c.pastHosts, h); i >= 0 {
		return len(hosts) + i
	}
	return -1
}

// visitHostLink visits a pointer to a host as its index; nil is -1.
func (c *codec) visitHostLink(p **host) {
	index := -1
	if !c.reading && *p != nil {
		index = c.hostIndex(*p)
	}
	visitInts(c, &index)
	if !c.reading || index == -1 {
		return
	}
	sorted := len(c.b.sortedHosts)
	switch {
	case c.failed || index < 0 || index >= sorted+len(c.pastHosts):
		c.failed = true
	case index < sorted:
		*p = c.b.sortedHosts[index]
	default:
		*p = c.pastHosts[index-sorted]
	}
}

// collectPastHosts finds the hosts that are no longer in sortedHosts but still referred to, in the order of the first references.
func (c *codec) collectPastHosts() {
	collect := func(h *host) {
		if h != nil && c.hostIndex(h) < 0 {
			c.pastHosts = append(c.pastHosts, h)
		}
	}
	for _, h := range c.b.members {
		collect(h)
	}
	collect(c.b.lastScanned)
	for _, r := range c.b.liveRequests {
		collect(r.suspectHost)
		for i := range r.attempts {
			collect(r.attempts[i].host)
		}
	}
}

// visitBalancer visits the complete state. The order is part of the format: a change of it needs a new checkpointFormat.
func (c *codec) visitBalancer() {
	b := c.b
	c.visitRandomState()
	c.visitEstimates()
	visitSlice(c, (*[]unservedRequest)(&b.unserved), c.visitUnserved)
	if !c.reading {
		c.collectPastHosts()
	}
	visitSlice(c, &b.sortedHosts, c.visitHost)
	visitSlice(c, &c.pastHosts, c.visitHost)
	visitSlice(c, &b.members, c.visitHostLink)
	c.visitHostLink(&b.lastScanned)
	visitSlice(c, &b.liveRequests, c.visitRequest)
	if c.reading && !c.failed {
		c.rebuildIndexes()
	}
}

// visitEstimates visits the fields of the Balancer that are neither hosts nor requests.
func (c *codec) visitEstimates() {
	b := c.b
	c.visitFloats(&b.now, &b.wakeAt, &b.wantedMembers, &b.proxiesPerHost, &b.listRequestAt, &b.listBackoffSeconds,
		&b.tightestTargetSeconds, &b.probeRTTSeconds, &b.idleProbeSeconds, &b.usualQueueFraction, &b.meanGap,
		&b.meanLatencyRatio, &b.phiUpdatedAt, &b.warmCapacity, &b.warmMemberSent, &b.nextScanAt, &b.serviceSeconds,
		&b.meanWorkSeconds, &b.idleConnLosses, &b.maxConnIdleSeconds, &b.idleDistrustUntil, &b.retryBudget, &b.errorFraction,
		&b.sendRate.rate, &b.sendRate.updatedAt, &b.arrivalRate.rate, &b.arrivalRate.updatedAt, &b.tenantRequestsAt)
	c.visitBools(&b.isWakeArmed, &b.isWatching, &b.pollsReports, &b.isReplicaSet)
	visitInts(c, &b.loadField)
	visitInts(c, &b.configuredReplicas, &b.settings.Self, &b.settings.Replicas)
	c.visitPerClass(&b.classMeanSeconds)
	visitSlice(c, (*[]float64)(&b.kindFactors), func(v *float64) { c.visitFloats(v) })
	c.failed = c.failed || len(b.kindFactors) > maxHostKinds
	visitSlice(c, &b.clientTimeouts, func(t *clientTimeout) {
		c.visitFloats(&t.usualSeconds)
		visitInts(c, &t.votes)
	})
	c.failed = c.failed || len(b.clientTimeouts) != len(b.settings.Classes)
	visitSlice(c, &b.tenantRequests, func(v *float64) { c.visitFloats(v) })
	c.failed = c.failed || len(b.tenantRequests) != len(b.settings.Tenants)
}

// visitUnserved visits an unserved request.
func (c *codec) visitUnserved(e *unservedRequest) {
	c.visitClass(&e.class)
	visitInts(c, &e.tenant)
	c.visitUint64(&e.key)
	c.visitFloats(&e.targetAt, &e.expiresAt)
}

// rebuildIndexes rebuilds the state that is not written (maps, member groups and the queue) from what was read. It also checks
// the invariants that later code relies on.
func (c *codec) rebuildIndexes() {
	b := c.b
	for _, h := range b.sortedHosts {
		b.hosts[h.ID] = h
	}
	if !slices.Contains(b.members, nil) {
		b.groups.updateMeanSize(b.members, b.settings.SizesComparable)
	}
	for _, h := range b.members {
		c.failed = c.failed || h == nil || h.group > groupWarming
		if c.failed {
			return
		}
		if len(b.members) > maxScannedMembers {
			b.groups.add(h, h.group)
		}
	}
	for i, r := range b.liveRequests {
		r.liveIndex = i
		b.requestsByID[r.ID] = r
		if r.isWaiting {
			b.queue.schedule(r, r.dispatchAt)
		}
	}
	c.failed = slices.Contains(b.members, nil) ||
		!slices.IsSortedFunc(b.sortedHosts, func(x, y *host) int { return int(x.ID) - int(y.ID) })
}

// visitRandomState visits the state of the random number generator.
func (c *codec) visitRandomState() {
	if c.reading {
		if err := c.b.pcg.UnmarshalBinary(c.read(randomStateBytes)); err != nil {
			c.failed = true
		}
		return
	}
	var buf [randomStateBytes]byte
	raw, err := c.b.pcg.AppendBinary(buf[:0])
	c.write(raw...)
	if err != nil || len(raw) != randomStateBytes {
		panic(fmt.Sprintf("policy: %d bytes of random state: %v", len(raw), err)) // the standard library has changed the encoding
	}
}

// visitHost visits a host.
func (c *codec) visitHost(p **host) {
	if c.reading {
		*p = &host{}
	}
	h := *p
	visitInts(c, &h.ID)
	visitInts(c, &h.Zone, &h.Kind, &h.Cell, &h.connFailures)
	visitInts(c, &h.State)
	c.visitFloats(&h.Size, &h.Started, &h.goneAt, &h.currentCadence, &h.nextCadence, &h.lastAnswerAt, &h.nextProbeAt, &h.probedAt,
		&h.polledAt, &h.phi, &h.connFailedAt, &h.recoveryStartedAt, &h.lastResponseAt, &h.reportedLoad, &h.reportSentAt,
		&h.latencyRatio, &h.latencyRatioAt, &h.queueSeconds, &h.queueMeasuredAt, &h.concurrencyLimit, &h.limitCutAt,
		&h.windowStart, &h.windowSent, &h.previousWindowSent, &h.windowDraw)
	c.visitBools(&h.isWithdrawn, &h.isMember, &h.hasAnswered)
	visitInts(c, &h.group)
	visitSlice(c, &h.gaps, func(v *float32) {
		bits := math.Float32bits(*v)
		visitInts(c, &bits)
		*v = math.Float32frombits(bits)
	})
	if c.reading && len(h.gaps) > 0 {
		h.updateGapStats()
	}
	c.visitPerClass(&h.rejections)
	c.visitPerClass(&h.backoffUntil)
	visitSlice(c, &h.inFlight, func(a *inFlightAttempt) {
		visitInts(c, &a.requestID)
		c.visitClass(&a.class)
		c.visitFloats(&a.sentAt, &a.expectedSeconds, &a.expectedQueueSeconds, &a.connIdleSeconds)
	})
}

// visitRequest visits a request that has no final answer yet.
func (c *codec) visitRequest(p **request) {
	if c.reading {
		*p = &request{}
	}
	r := *p
	q := &r.Request
	visitInts(c, &q.ID)
	c.visitClass(&q.Class)
	visitInts(c, &q.Tenant)
	c.visitUint64(&q.Key)
	c.visitFloats(&q.Deadline, &q.WorkSeconds, &q.HeldBackSeconds, &r.arrivedAt, &r.relativeWork, &r.targetAt, &r.dispatchAt,
		&r.lostAt)
	c.visitBools(&q.HasWork, &q.Repeat, &r.isWaiting, &r.isHeld, &r.isOverShare)
	if c.failed {
		return
	}
	r.class = &c.b.settings.Classes[q.Class]
	c.visitHostLink(&r.suspectHost)
	visitSlice(c, &r.attempts, func(a *attempt) {
		c.visitHostLink(&a.host)
		c.visitFloats(&a.sentAt)
		c.visitBools(&a.isDone, &a.mayHaveRun)
		c.failed = c.failed || a.host == nil
	})
}
