// Package leasesim plays the decisions about who owns a job by themselves: members on a network, each with a clock of its own
// rate and a disk that loses what was not synced, all drawn from a seed. It judges from what it sees from outside: whose lease is
// valid at an instant, what receivers take, who leads, and what disks and tables hold.
package leasesim

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/sim/seeds"
)

// Simulation is members that own jobs. It belongs to one goroutine.
type Simulation struct {
	seeds.Queue
	rng   *rand.Rand
	nodes []*node
	ids   []*identity // all that ever were, as they began
	jobs  []string
	set   lease.Settings
	trace func(at float64, line string)

	cut  [][]bool    // ways that lose what is sent
	held [][]float64 // ways that hold it until then
	last [][]float64 // what is sent later must not arrive earlier

	latencyS  float64
	lossPart  float64 // of messages that are lost, one by one
	strayPart float64 // that come late, past those that were sent after them
	liesPart  float64 // of views of who is there
	stallPart float64 // of effects between whose check and whose send the process stands still
	diskS     float64 // a write takes, with as much again drawn
	slowS     float64 // it takes until slowTo
	slowTo    float64

	forgets bool // states are lost though a majority may go with them
	calmly  bool // nothing ends any more

	judge
	hash   uint64
	counts Counts
}

// Counts are what a day was about.
type Counts struct {
	Grants         int `json:"Grants"`   // leases that began
	Moves          int `json:"Moves"`    // of these: to another member than before
	Effects        int `json:"Effects"`  // that were taken
	Rejected       int `json:"Refused"`  // that came under a token lower than one taken before
	Stalls         int `json:"Stalls"`   // between the check of a lease and the effect
	ElectionsWon   int `json:"Elected"`  // leaders
	IdentitiesLost int `json:"Lost"`     // identities that ended with their state
	GroupsFounded  int `json:"Founded"`  // groups
	VotersReplaced int `json:"Replaced"` // electors
}

// identity is one that a member had.
type identity struct {
	id   swim.ID
	of   *node
	gone bool // its state is lost
	left bool
}

// node is one sidecar over all lives of its process.
type node struct {
	w       *Simulation
	number  int
	address string
	keeps   bool
	up      bool
	out     bool // taken out of the fleet for good
	frozen  bool
	life    int
	ident   *identity
	rate    float64 // of its clock
	base    float64 // true time at which the clock showed zero
	t       *lease.Node
	armed   float64
	waiting []func()
	saving  bool
	view    []*seen // by ID
	viewAt  float64 // its own clock

	disk     []byte // what lasts
	diskFull bool
	copied   []byte // an old copy of it
	greatest *lease.Fence
	nextFx   uint64
	table    [4]uint64 // that was checked last

	bytes, messages, saves, calls uint64
}

// seen is what one member holds of another.
type seen struct {
	of    *identity
	state swim.State
	since float64
	heard float64
}

// newWorld returns one without members.
func newWorld(seed uint64, electors int, jobs ...string) *Simulation {
	w := &Simulation{Queue: seeds.NewQueue(1000), rng: rand.New(rand.NewPCG(seed, 0x6f776e657273)), jobs: jobs, latencyS: 0.001, diskS: 0.002, hash: 14695981039346656037}
	w.set.Roles = jobs
	for i := range electors {
		w.set.InitialVoters = append(w.set.InitialVoters, address(i))
	}
	w.judge.w = w
	return w
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7946", i) }

// note adds to the history.
func (w *Simulation) note(format string, args ...any) {
	h := fnv.New64a()
	line := fmt.Sprintf(format, args...)
	fmt.Fprintf(h, "%x %.9f %s", w.hash, w.Now(), line)
	w.hash = h.Sum64()
	if w.trace != nil {
		w.trace(w.Now(), line)
	}
}

// between draws from a range, evenly.
func (w *Simulation) between(a, b float64) float64 { return a + (b-a)*w.rng.Float64() }

func (w *Simulation) chance(part float64) bool { return part > 0 && w.rng.Float64() < part }

// add adds a member that has not begun.
func (w *Simulation) add(keeps bool) *node {
	n := &node{w: w, number: len(w.nodes), address: address(len(w.nodes)), keeps: keeps, greatest: &lease.Fence{}}
	w.nodes = append(w.nodes, n)
	for i := range w.cut {
		w.cut[i], w.held[i], w.last[i] = append(w.cut[i], false), append(w.held[i], 0), append(w.last[i], 0)
	}
	w.cut = append(w.cut, make([]bool, len(w.nodes)))
	w.held = append(w.held, make([]float64, len(w.nodes)))
	w.last = append(w.last, make([]float64, len(w.nodes)))
	return n
}

func (n *node) clock() float64            { return (n.w.Now() - n.base) * n.rate }
func (n *node) trueOf(at float64) float64 { return n.base + at/n.rate }

// start begins a process. Without its state it is somebody else.
func (n *node) start() {
	w := n.w
	if n.up || n.out {
		return
	}
	n.life++
	n.up, n.frozen, n.waiting, n.saving = true, false, nil, false
	n.rate, n.base, n.armed = w.between(0.95, 1.05), w.Now()-w.between(0, 1e6), math.Inf(1)
	if n.ident == nil || !n.keeps {
		n.newIdentity()
	}
	n.begin()
}

func (n *node) newIdentity() {
	w := n.w
	if n.ident != nil {
		n.ident.gone = true
		w.counts.IdentitiesLost++
	}
	n.ident = &identity{id: swim.ID(w.rng.Uint64() | 1), of: n}
	n.disk, n.copied, n.greatest = nil, nil, &lease.Fence{}
	w.ids = append(w.ids, n.ident)
}

func (n *node) begin() {
	w := n.w
	set := w.set
	set.Address, set.Seed = n.address, w.rng.Uint64()
	n.ident.left = false
	n.view, n.table = nil, [4]uint64{}
	t, err := lease.New(n.clock(), n.ident.id, set, n.disk, &hands{n, n.life})
	if err != nil {
		w.note("%d can't use its state: %v", n.number, err)
		n.newIdentity()
		t, err = lease.New(n.clock(), n.ident.id, set, nil, &hands{n, n.life})
		if err != nil {
			panic(err)
		}
	}
	n.t = t
	w.note("%d begins as %v", n.number, n.ident.id)
	life := n.life
	n.look(life)
	n.acts(life)
	for _, o := range w.nodes {
		if o != n {
			w.linkUp(n, o)
		}
	}
	n.arm()
}

// linkUp tells two that there is a new link between them.
func (w *Simulation) linkUp(a, b *node) {
	for _, p := range [2][2]*node{{a, b}, {b, a}} {
		life, other := p[0].life, p[1].life
		w.After(w.latency(), func() {
			if p[1].life == other && p[1].up && !w.cut[a.number][b.number] && !w.cut[b.number][a.number] {
				p[0].call(life, func() { p[0].t.HandleLinkUp(p[0].clock(), p[1].ident.id) })
			}
		})
	}
}

func (w *Simulation) latency() float64 { return w.latencyS * (1 + w.rng.Float64()) }

// call has the process do something, unless it has ended; one that stands still does it later.
func (n *node) call(life int, do func()) {
	switch {
	case n.life != life || !n.up:
	case n.frozen:
		n.waiting = append(n.waiting, func() { n.call(life, do) })
	default:
		n.calls++
		do()
		n.arm()
		if n.up && n.life == life {
			n.w.check(n)
		}
	}
}

// arm has Tick called when it is due.
func (n *node) arm() {
	if !n.up {
		return
	}
	at := n.trueOf(n.t.NextTick())
	if at >= n.armed || math.IsInf(at, 1) {
		return
	}
	n.armed = at
	life := n.life
	n.w.At(at, func() {
		if n.life != life || n.armed != at {
			return
		}
		n.call(life, func() {
			n.armed = math.Inf(1)
			n.t.Tick(n.clock())
		})
	})
}

// kill ends the process: what was being written may have lasted or not.
func (n *node) kill() {
	if !n.up {
		return
	}
	n.w.note("%d is killed", n.number)
	n.up, n.frozen, n.waiting = false, false, nil
	n.life++
	n.w.ended(n, "it was killed")
}

func (n *node) freeze(forS float64) {
	if !n.up || n.frozen {
		return
	}
	n.w.note("%d stands still for %.3f s", n.number, forS)
	n.frozen = true
	life := n.life
	n.w.After(forS, func() {
		if n.life == life {
			n.thaw()
		}
	})
}

// thaw hands over what has come meanwhile, or has the clock looked at first.
func (n *node) thaw() {
	if !n.frozen {
		return
	}
	n.w.note("%d goes on", n.number)
	n.frozen = false
	waiting, life := n.waiting, n.life
	n.waiting = nil
	if n.w.chance(0.5) {
		n.call(life, func() { n.t.Tick(n.clock()) })
	}
	for _, do := range waiting {
		do()
	}
	n.armed = math.Inf(1)
	n.arm()
}

// leave ends the process with a word, as SIGTERM does.
func (n *node) leave(then func()) {
	if !n.up {
		return
	}
	n.w.note("%d leaves", n.number)
	life := n.life
	n.call(life, func() { n.t.Leave(n.clock()) })
	began := n.w.Now()
	var poll func()
	poll = func() {
		n.call(life, func() {
			if n.t.HasLeft() || n.w.Now()-began > 1 {
				n.ident.left = true
				n.kill()
				then()
			} else {
				n.w.After(0.01, poll)
			}
		})
	}
	poll()
}

// --- What a process does ---

type hands struct {
	n    *node
	life int
}

func (h *hands) Send(to swim.ID, m *lease.Message) {
	w := h.n.w
	w.checkKept(h.n, m)
	for _, o := range w.nodes {
		if o.up && o.ident.id == to {
			w.send(h.n, o, packed(m))
			return
		}
	}
}

func (h *hands) Broadcast(m *lease.Message, except swim.ID) {
	body := packed(m)
	for _, o := range h.n.w.nodes {
		if o != h.n && o.up && o.ident.id != except {
			h.n.w.send(h.n, o, body)
		}
	}
}

func packed(m *lease.Message) []byte {
	b, err := msgpack.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

const headLen = 6

// send brings a message from one to another.
func (w *Simulation) send(from, to *node, body []byte) {
	from.bytes += uint64(len(body) + headLen)
	from.messages++
	id, life := from.ident.id, to.life
	w.carry(from, to, func() {
		to.call(life, func() {
			var m lease.Message
			if err := msgpack.Unmarshal(body, &m); err != nil {
				panic(err)
			}
			to.t.HandleMessage(to.clock(), id, &m)
		})
	})
}

// carry has something arrive, if it does.
func (w *Simulation) carry(from, to *node, arrive func()) {
	if from == to {
		w.After(0, arrive)
		return
	}
	i, j := from.number, to.number
	if w.cut[i][j] || w.chance(w.lossPart) {
		return
	}
	at := max(w.Now()+w.latency(), w.held[i][j], w.last[i][j])
	if w.chance(w.strayPart) {
		at += w.between(0, 60) // an old link, whose bytes come in after all
	} else {
		w.last[i][j] = at
	}
	w.At(at, arrive)
}

func (h *hands) RequestLinks([]swim.ID) {}

var errFull = errors.New("no space left on device")

func (h *hands) Persist(state []byte) {
	n, w, life := h.n, h.n.w, h.life
	if n.saving {
		w.broken("one-save", "%d saves while it saves", n.number)
	}
	n.saving = true
	n.saves++
	took := w.diskS * (1 + w.rng.Float64())
	if w.Now() < w.slowTo {
		took = w.slowS * (1 + w.rng.Float64())
	}
	if n.life != life {
		return
	}
	w.After(took, func() {
		if n.life != life { // it ended meanwhile: what was not synced may have lasted
			return
		}
		full := n.diskFull
		if !full && n.keeps {
			n.disk = state
		}
		n.call(life, func() {
			n.saving = false
			if full {
				n.t.HandlePersisted(n.clock(), errFull)
			} else {
				n.t.HandlePersisted(n.clock(), nil)
			}
		})
	})
}

func (h *hands) LeaseStarted(job string, token uint64) { h.n.w.granted(h.n, job, token) }
func (h *hands) RecordCommitted(lease.Record)          {}
func (h *hands) LeaseEnded(job string, token uint64, why lease.EndReason) {
	h.n.w.endedOne(h.n, job, token, string(why))
}

func (h *hands) ReplaceIdentity(why string) {
	n, w := h.n, h.n.w
	w.note("%d renounces: %s", n.number, why)
	life := n.life
	w.After(0.01, func() {
		n.call(life, func() {
			n.newIdentity()
			n.life++
			n.saving, n.armed = false, math.Inf(1)
			n.begin()
		})
	})
}

func (h *hands) Log(text string, args ...any) { h.n.w.note("%d notes: %s %v", h.n.number, text, args) }

// --- Who is there ---

const (
	lookS    = 0.25
	silentS  = 1.4
	deadS    = 2.4
	forgetS  = 600
	stallIsS = 0.9
)

// look has a member's view follow what is so, late as it would.
func (n *node) look(life int) {
	n.call(life, func() { n.lookNow() })
	n.w.After(lookS/n.rate, func() {
		if n.life == life && n.up {
			if n.frozen {
				n.waiting = append(n.waiting, func() { n.look(life) })
			} else {
				n.look(life)
			}
		}
	})
}

func (n *node) lookNow() {
	w, now := n.w, n.clock()
	stalled := n.view != nil && now-n.viewAt > stallIsS
	n.viewAt = now
	reach := w.reach(n)
	changed := n.view == nil
	for _, id := range w.ids {
		i := slices.IndexFunc(n.view, func(s *seen) bool { return s.of == id })
		heard := id.of == n && id == n.ident || reach[id.of.number] && id.of.ident == id
		if i < 0 {
			if !heard {
				continue
			}
			n.view = append(n.view, &seen{of: id, state: swim.Alive, since: now, heard: now})
			changed = true
			continue
		}
		s := n.view[i]
		was := s.state
		if stalled {
			s.heard = max(s.heard, now-silentS/2)
		}
		switch {
		case heard && !(id != n.ident && w.chance(w.liesPart)):
			s.heard = now
			if s.state = swim.Alive; id.left {
				s.state = swim.Left
			}
		case id.left && reach[id.of.number]:
			s.state = swim.Left
		case s.state == swim.Alive && now-s.heard > silentS:
			s.state = swim.Suspect
		case s.state == swim.Suspect && now-s.heard > deadS:
			s.state = swim.Dead
		}
		if s.state != was {
			changed = true
			if !(was <= swim.Suspect && s.state <= swim.Suspect) {
				s.since = now
			}
		}
	}
	if !changed {
		return
	}
	slices.SortFunc(n.view, func(a, b *seen) int {
		if a.of.id < b.of.id {
			return -1
		}
		return 1
	})
	var list []lease.Member
	for _, s := range n.view {
		if s.state.IsDeadOrLeft() && now-s.since > forgetS {
			continue
		}
		list = append(list, lease.Member{ID: s.of.id, Address: s.of.of.address, State: s.state, Durable: s.of.of.keeps, StateAgeSeconds: now - s.since})
	}
	n.t.SetMembers(now, list)
}

// reach tells whom a member hears, by way of others too.
func (w *Simulation) reach(n *node) []bool {
	got := make([]bool, len(w.nodes))
	got[n.number] = true
	next := []int{n.number}
	for len(next) > 0 {
		i := next[0]
		next = next[1:]
		for j, o := range w.nodes {
			if got[j] || !o.up || o.frozen || w.cut[i][j] || w.cut[j][i] || w.held[i][j] > w.Now() || w.held[j][i] > w.Now() {
				continue
			}
			got[j] = true
			next = append(next, j)
		}
	}
	return got
}

// --- What owners do ---

// acts has the owner of a job act again and again: it looks whether it may, and then its effect goes to all. Between the two it
// may stand still.
func (n *node) acts(life int) {
	w := n.w
	n.call(life, func() {
		for _, job := range w.jobs {
			token, ok := n.t.Holds(n.clock(), job)
			if !ok {
				continue
			}
			w.used(n, job, token)
			n.nextFx++
			number, by := n.nextFx, n.ident
			tell := func() {
				for _, o := range w.nodes {
					if !o.up {
						continue
					}
					olife := o.life
					w.carry(n, o, func() { o.call(olife, func() { o.receive(n, by, job, token, number) }) })
				}
			}
			if w.chance(w.stallPart) {
				w.counts.Stalls++
				n.freeze(w.between(0.3, 6))
				n.waiting = append(n.waiting, func() { n.call(life, tell) })
				return
			}
			tell()
		}
	})
	w.After(w.between(0.05, 0.25), func() {
		if n.life == life && n.up {
			if n.frozen {
				n.waiting = append(n.waiting, func() { n.acts(life) })
			} else {
				n.acts(life)
			}
		}
	})
}

// receive takes an effect, if its token is good; else it has the old owner know what is newer.
func (n *node) receive(from *node, by *identity, job string, token, number uint64) {
	w := n.w
	ok, _ := n.greatest.Admit(job, token)
	if ok {
		w.counts.Effects++
		w.took(n, by, job, token, number)
		return
	}
	w.counts.Rejected++
	table := n.t.Table()
	if from.up && from != n && table.Epoch != 0 {
		w.send(n, from, packed(&lease.Message{Table: &table}))
	}
}
