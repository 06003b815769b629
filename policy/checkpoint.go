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

var errCheckpoint = errors.New("policy: not a checkpoint of this form")

// Checkpoint appends what the Balancer remembers to dst, which holds at most the given number of bytes then; ok is
// false where that is too few. It must not be called from within an action, and changes nothing.
func (b *Balancer) Checkpoint(dst []byte, most int) (state []byte, ok bool) {
	c := codec{b: b, buf: dst, most: most}
	c.put(checkpointForm)
	c.balancer()
	return c.buf, !c.failed
}

// Restore returns a Balancer that goes on from a checkpoint, under the settings of the original.
func Restore(s Settings, state []byte, do Actions) (*Balancer, error) {
	if len(state) == 0 || state[0] != checkpointForm {
		return nil, errCheckpoint
	}
	c := codec{b: New(s, 0, do), buf: state[1:], reading: true}
	c.balancer()
	if c.failed || len(c.buf) > 0 {
		return nil, errCheckpoint
	}
	return c.b, nil
}

// codec writes or reads a checkpoint. One function visits each type for both, so that what is written and what is read
// can't part. Danger: hosts are known to each other's requests by address, and one that was forgotten and listed again
// is another than the one that an old attempt went to. Links are numbers of places: first those of Balancer.order, then
// those that requests alone still know.
type codec struct {
	b       *Balancer
	buf     []byte // what is written, or what is left to read
	most    int
	reading bool
	failed  bool
	past    []*host // hosts that only requests know
}

func (c *codec) put(raw ...byte) {
	if c.failed = c.failed || len(c.buf)+len(raw) > c.most; !c.failed {
		c.buf = append(c.buf, raw...)
	}
}

// take returns the next n bytes that are read; when there are too few, zeros.
func (c *codec) take(n int) []byte {
	if c.failed = c.failed || len(c.buf) < n; c.failed {
		return make([]byte, n)
	}
	raw := c.buf[:n]
	c.buf = c.buf[n:]
	return raw
}

// word is a number of eight bytes: floats keep their bits, infinities too.
func (c *codec) word(v *uint64) {
	if c.reading {
		*v = binary.LittleEndian.Uint64(c.take(8))
		return
	}
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], *v)
	c.put(raw[:]...)
}

func (c *codec) floats(all ...*float64) {
	for _, v := range all {
		bits := math.Float64bits(*v)
		c.word(&bits)
		*v = math.Float64frombits(bits)
	}
}

func (c *codec) bools(all ...*bool) {
	for _, v := range all {
		if c.reading {
			*v = c.take(1)[0] != 0
		} else if *v {
			c.put(1)
		} else {
			c.put(0)
		}
	}
}

// whole visits whole numbers, most of which are small.
func whole[T ~int | ~uint8 | ~uint32](c *codec, all ...*T) {
	for _, v := range all {
		if c.reading {
			x, n := binary.Varint(c.buf)
			c.take(max(n, 1))
			c.failed = c.failed || n <= 0
			*v = T(x)
			continue
		}
		var raw [binary.MaxVarintLen64]byte
		c.put(raw[:binary.PutVarint(raw[:], int64(*v))]...)
	}
}

// each visits the elements of a slice, each of which takes a byte at least.
func each[T any](c *codec, s *[]T, visit func(*T)) {
	n := len(*s)
	whole(c, &n)
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
func (c *codec) class(v *int) {
	whole(c, v)
	if c.failed = c.failed || *v < 0 || *v >= len(c.b.s.Classes); c.failed && c.reading {
		*v = 0
	}
}

// perClass visits one number for each class.
func (c *codec) perClass(s *[]float64) {
	each(c, s, func(v *float64) { c.floats(v) })
	c.failed = c.failed || len(*s) != len(c.b.s.Classes)
}

// place returns the number of a host's place, -1 if it has none yet.
func (c *codec) place(h *host) int {
	order := c.b.order // sorted by id
	i := sort.Search(len(order), func(i int) bool { return order[i].ID >= h.ID })
	if i < len(order) && order[i] == h {
		return i
	}
	if i = slices.Index(c.past, h); i >= 0 {
		return len(order) + i
	}
	return -1
}

// link visits a pointer to a host; nil is -1.
func (c *codec) link(p **host) {
	n := -1
	if !c.reading && *p != nil {
		n = c.place(*p)
	}
	whole(c, &n)
	if !c.reading || n == -1 {
		return
	}
	all := len(c.b.order) + len(c.past)
	switch {
	case c.failed || n < 0 || n >= all:
		c.failed = true
	case n < len(c.b.order):
		*p = c.b.order[n]
	default:
		*p = c.past[n-len(c.b.order)]
	}
}

// gather finds the hosts that only requests know.
func (c *codec) gather() {
	note := func(h *host) {
		if h != nil && c.place(h) < 0 {
			c.past = append(c.past, h)
		}
	}
	for _, h := range c.b.members {
		note(h)
	}
	note(c.b.found)
	for _, r := range c.b.live {
		note(r.suspect)
		for i := range r.attempts {
			note(r.attempts[i].host)
		}
	}
}

func (c *codec) balancer() {
	b := c.b
	c.random()
	c.floats(&b.now, &b.wake, &b.need, &b.peers, &b.askAt, &b.askWait, &b.aim, &b.rtt, &b.base, &b.crowd, &b.meanGap, &b.slow, &b.phiAt,
		&b.capacity, &b.brisk, &b.scanAt, &b.svc, &b.meanWork, &b.deadIdle, &b.dropAge, &b.dropUntil, &b.budget, &b.errors, &b.sends.rate, &b.sends.at, &b.asks.rate, &b.asks.at, &b.askedAt)
	c.bools(&b.armed, &b.watching, &b.polls, &b.placed)
	whole(c, &b.field)
	whole(c, &b.told, &b.s.Self, &b.s.Replicas)
	c.perClass(&b.classMean)
	each(c, (*[]float64)(&b.kinds), func(v *float64) { c.floats(v) })
	c.failed = c.failed || len(b.kinds) > mostKinds
	each(c, &b.tries, func(t *try) {
		c.floats(&t.usual)
		whole(c, &t.votes)
	})
	c.failed = c.failed || len(b.tries) != len(b.s.Classes)
	each(c, &b.asked, func(v *float64) { c.floats(v) })
	c.failed = c.failed || len(b.asked) != len(b.s.Tenants)
	each(c, (*[]ended)(&b.unserved), func(e *ended) {
		c.class(&e.class)
		whole(c, &e.tenant)
		c.word(&e.key)
		c.floats(&e.aim, &e.until)
	})
	if !c.reading {
		c.gather()
	}
	each(c, &b.order, c.host)
	each(c, &c.past, c.host)
	each(c, &b.members, c.link)
	c.link(&b.found)
	each(c, &b.live, c.request)
	if !c.reading || c.failed {
		return
	}
	for _, h := range b.order {
		b.hosts[h.ID] = h
	}
	if !slices.Contains(b.members, nil) {
		b.sets.measure(b.members, b.s.SizesComparable)
	}
	for _, h := range b.members {
		if c.failed = c.failed || h == nil || h.set > cold; c.failed {
			return
		}
		if len(b.members) > scanMost {
			b.sets.put(h, h.set)
		}
	}
	for i, r := range b.live {
		r.index = i
		b.byID[r.ID] = r
		if r.waiting {
			b.queue.put(r, r.decideAt)
		}
	}
	c.failed = slices.Contains(b.members, nil) || !slices.IsSortedFunc(b.order, func(x, y *host) int { return int(x.ID) - int(y.ID) })
}

// random visits the state of the random numbers.
func (c *codec) random() {
	if c.reading {
		if err := c.b.pcg.UnmarshalBinary(c.take(pcgBytes)); err != nil {
			c.failed = true
		}
		return
	}
	var room [pcgBytes]byte
	raw, err := c.b.pcg.AppendBinary(room[:0])
	if c.put(raw...); err != nil || len(raw) != pcgBytes {
		panic(fmt.Sprintf("policy: %d bytes of random state: %v", len(raw), err)) // the library has changed its form
	}
}

// pcgBytes is the length of a PCG's state.
const pcgBytes = 20

func (c *codec) host(p **host) {
	if c.reading {
		*p = &host{}
	}
	h := *p
	whole(c, &h.ID)
	whole(c, &h.Zone, &h.Kind, &h.Cell, &h.refused)
	whole(c, &h.State)
	c.floats(&h.Size, &h.Started, &h.goneAt, &h.every, &h.planned, &h.answered, &h.nextProbe, &h.probedAt, &h.polledAt, &h.phi,
		&h.refusedAt, &h.rampFrom, &h.servedAt, &h.reported, &h.seenAt, &h.ratio, &h.ratioAt, &h.line, &h.lineAt, &h.limit,
		&h.cutAt, &h.winFrom, &h.winSent, &h.winPrev, &h.winLuck)
	c.bools(&h.bound, &h.member, &h.met)
	whole(c, &h.set)
	each(c, &h.gaps, func(v *float32) {
		bits := math.Float32bits(*v)
		whole(c, &bits)
		*v = math.Float32frombits(bits)
	})
	if c.reading && len(h.gaps) > 0 {
		h.measure()
	}
	c.perClass(&h.turned)
	c.perClass(&h.shunned)
	each(c, &h.outs, func(o *out) {
		whole(c, &o.id)
		c.class(&o.class)
		c.floats(&o.sentAt, &o.expected, &o.line, &o.idle)
	})
}

func (c *codec) request(p **request) {
	if c.reading {
		*p = &request{}
	}
	r := *p
	q := &r.Request
	whole(c, &q.ID)
	c.class(&q.Class)
	whole(c, &q.Tenant)
	c.word(&q.Key)
	c.floats(&q.Deadline, &q.WorkSeconds, &q.HeldBackSeconds, &r.arrived, &r.units, &r.aim, &r.decideAt, &r.lostAt)
	c.bools(&q.HasWork, &q.Repeat, &r.waiting, &r.held, &r.over)
	if c.failed {
		return
	}
	r.class = &c.b.s.Classes[q.Class] // as Balancer.Request takes it
	c.link(&r.suspect)
	each(c, &r.attempts, func(a *attempt) {
		c.link(&a.host)
		c.floats(&a.sentAt)
		c.bools(&a.done, &a.ran)
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
	b.live, b.queue, b.found, b.byID = nil, queue{}, nil, map[uint32]*request{}
	for _, h := range b.order {
		h.outs, h.probedAt, h.polledAt = nil, 0, 0
	}
	b.armed, b.watching, b.placed = false, false, false
	b.told, b.s.Self, b.s.Replicas = s.Replicas, s.Self, s.Replicas
	b.ObserveStall(now, max(now-b.now, 0))
	return b, nil
}
