// All that a Balancer remembers, as bytes: one that is restored from them acts as the original would. Nothing here
// decides.

package policy

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"sort"
)

// checkpointForm changes with every change of what is remembered or of how it is written.
const checkpointForm = 7

var errInvalidCheckpoint = errors.New("policy: not a checkpoint of this form")

// Checkpoint appends what the Balancer remembers to dst, which holds at most the given number of bytes then; ok is
// false where that is too few. It must not be called from within an action, and changes nothing.
func (b *Balancer) Checkpoint(dst []byte, most int) (state []byte, ok bool) {
	c := codec{b: b, buf: dst, maxBytes: most}
	c.write(checkpointForm)
	c.visitBalancer()
	return c.buf, !c.failed
}

// Restore returns a Balancer that goes on from a checkpoint, under the settings of the original.
func Restore(s Settings, state []byte, do Actions) (*Balancer, error) {
	if len(state) == 0 || state[0] != checkpointForm {
		return nil, errInvalidCheckpoint
	}
	c := codec{b: New(s, 0, do), buf: state[1:], reading: true}
	c.visitBalancer()
	if c.failed || len(c.buf) > 0 {
		return nil, errInvalidCheckpoint
	}
	return c.b, nil
}

// codec writes or reads a checkpoint. One function visits each type for both, so that what is written and what is read
// can't part. Danger: hosts are known to each other's requests by address, and one that was forgotten and listed again
// is another than the one that an old attempt went to. Links are numbers of places: first those of Balancer.order, then
// those that requests alone still know.
type codec struct {
	b         *Balancer
	buf       []byte // what is written, or what is left to read
	maxBytes  int
	reading   bool
	failed    bool
	pastHosts []*host // hosts that only requests know
}

func (c *codec) write(raw ...byte) {
	if c.failed = c.failed || len(c.buf)+len(raw) > c.maxBytes; !c.failed {
		c.buf = append(c.buf, raw...)
	}
}

// take returns the next n bytes that are read; when there are too few, zeros.
func (c *codec) read(n int) []byte {
	if c.failed = c.failed || len(c.buf) < n; c.failed {
		return make([]byte, n)
	}
	raw := c.buf[:n]
	c.buf = c.buf[n:]
	return raw
}

// word is a number of eight bytes: floats keep their bits, infinities too.
func (c *codec) visitUint64(v *uint64) {
	if c.reading {
		*v = binary.LittleEndian.Uint64(c.read(8))
		return
	}
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], *v)
	c.write(raw[:]...)
}

func (c *codec) visitFloats(all ...*float64) {
	for _, v := range all {
		bits := math.Float64bits(*v)
		c.visitUint64(&bits)
		*v = math.Float64frombits(bits)
	}
}

func (c *codec) visitBools(all ...*bool) {
	for _, v := range all {
		if c.reading {
			*v = c.read(1)[0] != 0
		} else if *v {
			c.write(1)
		} else {
			c.write(0)
		}
	}
}

// whole visits whole numbers, most of which are small.
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

// each visits the elements of a slice, each of which takes a byte at least.
func visitSlice[T any](c *codec, s *[]T, visit func(*T)) {
	n := len(*s)
	visitInts(c, &n)
	if c.reading {
		if c.failed = c.failed || n < 0 || n > len(c.buf); c.failed {
			n = 0
		}
		*s = make([]T, n)
	}
	for i := range *s {
		visit(&(*s)[i])
	}
}

// class visits the number of a class, which others use as an index.
func (c *codec) visitClass(v *int) {
	visitInts(c, v)
	if c.failed = c.failed || *v < 0 || *v >= len(c.b.settings.Classes); c.failed && c.reading {
		*v = 0
	}
}

// perClass visits one number for each class.
func (c *codec) visitPerClass(s *[]float64) {
	visitSlice(c, s, func(v *float64) { c.visitFloats(v) })
	c.failed = c.failed || len(*s) != len(c.b.settings.Classes)
}

// place returns the number of a host's place, -1 if it has none yet.
func (c *codec) hostIndex(h *host) int {
	order := c.b.sortedHosts // sorted by id
	i := sort.Search(len(order), func(i int) bool { return order[i].ID >= h.ID })
	if i < len(order) && order[i] == h {
		return i
	}
	if i = slices.Index(c.pastHosts, h); i >= 0 {
		return len(order) + i
	}
	return -1
}

// link visits a pointer to a host; nil is -1.
func (c *codec) visitHostLink(p **host) {
	n := -1
	if !c.reading && *p != nil {
		n = c.hostIndex(*p)
	}
	visitInts(c, &n)
	if !c.reading || n == -1 {
		return
	}
	all := len(c.b.sortedHosts) + len(c.pastHosts)
	switch {
	case c.failed || n < 0 || n >= all:
		c.failed = true
	case n < len(c.b.sortedHosts):
		*p = c.b.sortedHosts[n]
	default:
		*p = c.pastHosts[n-len(c.b.sortedHosts)]
	}
}

// gather finds the hosts that only requests know.
func (c *codec) collectPastHosts() {
	note := func(h *host) {
		if h != nil && c.hostIndex(h) < 0 {
			c.pastHosts = append(c.pastHosts, h)
		}
	}
	for _, h := range c.b.members {
		note(h)
	}
	note(c.b.lastScanned)
	for _, r := range c.b.liveRequests {
		note(r.suspectHost)
		for i := range r.attempts {
			note(r.attempts[i].host)
		}
	}
}

func (c *codec) visitBalancer() {
	b := c.b
	c.visitRandomState()
	c.visitFloats(&b.now, &b.wakeAt, &b.wantedMembers, &b.proxiesPerHost, &b.listRequestAt, &b.listBackoffSeconds, &b.tightestTargetSeconds, &b.probeRTTSeconds, &b.idleProbeSeconds, &b.usualQueueFraction, &b.meanGap, &b.meanLatencyRatio, &b.phiUpdatedAt,
		&b.warmCapacity, &b.warmMemberSent, &b.nextScanAt, &b.serviceSeconds, &b.meanWorkSeconds, &b.idleConnLosses, &b.maxConnIdleSeconds, &b.idleDistrustUntil, &b.retryBudget, &b.errorFraction, &b.sendRate.rate, &b.sendRate.updatedAt, &b.arrivalRate.rate, &b.arrivalRate.updatedAt, &b.tenantRequestsAt)
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
	visitSlice(c, (*[]unservedRequest)(&b.unserved), func(e *unservedRequest) {
		c.visitClass(&e.class)
		visitInts(c, &e.tenant)
		c.visitUint64(&e.key)
		c.visitFloats(&e.targetAt, &e.expiresAt)
	})
	if !c.reading {
		c.collectPastHosts()
	}
	visitSlice(c, &b.sortedHosts, c.visitHost)
	visitSlice(c, &c.pastHosts, c.visitHost)
	visitSlice(c, &b.members, c.visitHostLink)
	c.visitHostLink(&b.lastScanned)
	visitSlice(c, &b.liveRequests, c.visitRequest)
	if !c.reading || c.failed {
		return
	}
	for _, h := range b.sortedHosts {
		b.hosts[h.ID] = h
	}
	if !slices.Contains(b.members, nil) {
		b.groups.updateMeanSize(b.members, b.settings.SizesComparable)
	}
	for _, h := range b.members {
		if c.failed = c.failed || h == nil || h.group > groupWarming; c.failed {
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
	c.failed = slices.Contains(b.members, nil) || !slices.IsSortedFunc(b.sortedHosts, func(x, y *host) int { return int(x.ID) - int(y.ID) })
}

// random visits the state of the random numbers.
func (c *codec) visitRandomState() {
	if c.reading {
		if err := c.b.pcg.UnmarshalBinary(c.read(pcgBytes)); err != nil {
			c.failed = true
		}
		return
	}
	var room [pcgBytes]byte
	raw, err := c.b.pcg.AppendBinary(room[:0])
	if c.write(raw...); err != nil || len(raw) != pcgBytes {
		panic(fmt.Sprintf("policy: %d bytes of random state: %v", len(raw), err)) // the library has changed its form
	}
}

// pcgBytes is the length of a PCG's state.
const pcgBytes = 20

func (c *codec) visitHost(p **host) {
	if c.reading {
		*p = &host{}
	}
	h := *p
	visitInts(c, &h.ID)
	visitInts(c, &h.Zone, &h.Kind, &h.Cell, &h.connFailures)
	visitInts(c, &h.State)
	c.visitFloats(&h.Size, &h.Started, &h.goneAt, &h.currentCadence, &h.nextCadence, &h.lastAnswerAt, &h.nextProbeAt, &h.probedAt, &h.polledAt, &h.phi,
		&h.connFailedAt, &h.recoveryStartedAt, &h.lastResponseAt, &h.reportedLoad, &h.reportSentAt, &h.latencyRatio, &h.latencyRatioAt, &h.queueSeconds, &h.queueMeasuredAt, &h.concurrencyLimit,
		&h.limitCutAt, &h.windowStart, &h.windowSent, &h.previousWindowSent, &h.windowDraw)
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
	visitSlice(c, &h.inFlight, func(o *inFlightAttempt) {
		visitInts(c, &o.requestID)
		c.visitClass(&o.class)
		c.visitFloats(&o.sentAt, &o.expectedSeconds, &o.expectedQueueSeconds, &o.connIdleSeconds)
	})
}

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
	c.visitFloats(&q.Deadline, &q.WorkSeconds, &q.HeldBackSeconds, &r.arrivedAt, &r.relativeWork, &r.targetAt, &r.dispatchAt, &r.lostAt)
	c.visitBools(&q.HasWork, &q.Repeat, &r.isWaiting, &r.isHeld, &r.isOverShare)
	if c.failed {
		return
	}
	r.class = &c.b.settings.Classes[q.Class] // as Balancer.Request takes it
	c.visitHostLink(&r.suspectHost)
	visitSlice(c, &r.attempts, func(a *attempt) {
		c.visitHostLink(&a.host)
		c.visitFloats(&a.sentAt)
		c.visitBools(&a.isDone, &a.mayHaveRun)
		c.failed = c.failed || a.host == nil
	})
}

// Succeed returns a Balancer for the process that takes the place of the one whose checkpoint it is. What is known of hosts
// passes over; requests do not: the old process still answers those that it has. The time in which nobody listened is no
// sign against a host.
func RestoreSuccessor(s Settings, state []byte, now float64, do Actions) (*Balancer, error) {
	b, err := Restore(s, state, do)
	if err != nil {
		return nil, err
	}
	b.liveRequests, b.queue, b.lastScanned, b.requestsByID = nil, queue{}, nil, map[uint32]*request{}
	for _, h := range b.sortedHosts {
		h.inFlight, h.probedAt, h.polledAt = nil, 0, 0
	}
	b.isWakeArmed, b.isWatching, b.isReplicaSet = false, false, false
	b.configuredReplicas, b.settings.Self, b.settings.Replicas = s.Replicas, s.Self, s.Replicas
	b.ObserveStall(now, max(now-b.now, 0))
	return b, nil
}
