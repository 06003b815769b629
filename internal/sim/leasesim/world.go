// Package leasesim plays the decisions about who owns a role by themselves: members on a network, each with a clock of its own
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

// Simulation is members that own roles. It belongs to one goroutine.
type Simulation struct {
	seeds.Queue
	rng        *rand.Rand
	nodes      []*node
	identities []*identity // all that ever were, as they began
	roles      []string
	settings   lease.Settings
	trace      func(at float64, line string)

	partitioned  [][]bool    // ways that lose what is sent
	stalledUntil [][]float64 // ways that hold it until then
	lastArrival  [][]float64 // what is sent later must not arrive earlier

	latencySeconds       float64
	lossProbability      float64 // of messages that are lost, one by one
	delayProbability     float64 // that come late, past those that were sent after them
	misreportProbability float64 // of views of who is there
	stallProbability     float64 // of effects between whose check and whose send the process stands still
	diskSeconds          float64 // a write takes, with as much again drawn
	slowDiskSeconds      float64 // it takes until slowTo
	slowDiskUntil        float64

	losesQuorumState bool // states are lost though a majority may go with them
	isSettling       bool // nothing ends any more

	checker
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
	id      swim.ID
	node    *node
	isLost  bool // its state is lost
	hasLeft bool
}

// node is one sidecar over all lives of its process.
type node struct {
	sim         *Simulation
	number      int
	address     string
	durable     bool
	up          bool
	removed     bool // taken out of the fleet for good
	frozen      bool
	incarnation int
	identity    *identity
	clockRate   float64 // of its clock
	clockBase   float64 // true time at which the clock showed zero
	lease       *lease.Node
	timerAt     float64
	postponed   []func()
	persisting  bool
	view        []*memberView // by ID
	viewAt      float64       // its own clock

	disk         []byte // what lasts
	diskFull     bool
	fence        *lease.Fence
	lastEffect   uint64
	checkedTable [4]uint64 // that was checked last

	bytes, messages, persists, calls uint64
}

// memberView is what one member holds of another.
type memberView struct {
	identity   *identity
	state      swim.State
	stateSince float64
	lastHeard  float64
}

// newSimulation returns one without members.
func newSimulation(seed uint64, electors int, roles ...string) *Simulation {
	s := &Simulation{Queue: seeds.NewQueue(1000), rng: rand.New(rand.NewPCG(seed, 0x6f776e657273)), roles: roles, latencySeconds: 0.001, diskSeconds: 0.002, hash: 14695981039346656037}
	s.settings.Roles = roles
	for i := range electors {
		s.settings.InitialVoters = append(s.settings.InitialVoters, address(i))
	}
	s.checker.sim = s
	return s
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7946", i) }

// record adds to the history.
func (s *Simulation) record(format string, args ...any) {
	h := fnv.New64a()
	line := fmt.Sprintf(format, args...)
	fmt.Fprintf(h, "%x %.9f %s", s.hash, s.Now(), line)
	s.hash = h.Sum64()
	if s.trace != nil {
		s.trace(s.Now(), line)
	}
}

// uniform draws from a range, evenly.
func (s *Simulation) uniform(a, b float64) float64 { return a + (b-a)*s.rng.Float64() }

func (s *Simulation) chance(part float64) bool { return part > 0 && s.rng.Float64() < part }

// addNode adds a member that has not begun.
func (s *Simulation) addNode(keeps bool) *node {
	n := &node{sim: s, number: len(s.nodes), address: address(len(s.nodes)), durable: keeps, fence: &lease.Fence{}}
	s.nodes = append(s.nodes, n)
	for i := range s.partitioned {
		s.partitioned[i], s.stalledUntil[i], s.lastArrival[i] = append(s.partitioned[i], false), append(s.stalledUntil[i], 0), append(s.lastArrival[i], 0)
	}
	s.partitioned = append(s.partitioned, make([]bool, len(s.nodes)))
	s.stalledUntil = append(s.stalledUntil, make([]float64, len(s.nodes)))
	s.lastArrival = append(s.lastArrival, make([]float64, len(s.nodes)))
	return n
}

func (n *node) localTime() float64                { return (n.sim.Now() - n.clockBase) * n.clockRate }
func (n *node) simulationTime(at float64) float64 { return n.clockBase + at/n.clockRate }

// start begins a process. Without its state it is somebody else.
func (n *node) start() {
	s := n.sim
	if n.up || n.removed {
		return
	}
	n.incarnation++
	n.up, n.frozen, n.postponed, n.persisting = true, false, nil, false
	n.clockRate, n.clockBase, n.timerAt = s.uniform(0.95, 1.05), s.Now()-s.uniform(0, 1e6), math.Inf(1)
	if n.identity == nil || !n.durable {
		n.replaceIdentity()
	}
	n.startProcess()
}

func (n *node) replaceIdentity() {
	s := n.sim
	if n.identity != nil {
		n.identity.isLost = true
		s.counts.IdentitiesLost++
	}
	n.identity = &identity{id: swim.ID(s.rng.Uint64() | 1), node: n}
	n.disk, n.fence = nil, &lease.Fence{}
	s.identities = append(s.identities, n.identity)
}

func (n *node) startProcess() {
	s := n.sim
	set := s.settings
	set.Address, set.Seed = n.address, s.rng.Uint64()
	n.identity.hasLeft = false
	n.view, n.checkedTable = nil, [4]uint64{}
	t, err := lease.New(n.localTime(), n.identity.id, set, n.disk, &leaseActions{n, n.incarnation})
	if err != nil {
		s.record("%d can't use its state: %v", n.number, err)
		n.replaceIdentity()
		t, err = lease.New(n.localTime(), n.identity.id, set, nil, &leaseActions{n, n.incarnation})
		if err != nil {
			panic(err)
		}
	}
	n.lease = t
	s.record("%d begins as %v", n.number, n.identity.id)
	life := n.incarnation
	n.watchMembers(life)
	n.actAsHolder(life)
	for _, o := range s.nodes {
		if o != n {
			s.linkUp(n, o)
		}
	}
	n.armTimer()
}

// linkUp tells two that there is a new link between them.
func (s *Simulation) linkUp(a, b *node) {
	for _, p := range [2][2]*node{{a, b}, {b, a}} {
		life, other := p[0].incarnation, p[1].incarnation
		s.After(s.latency(), func() {
			if p[1].incarnation == other && p[1].up && !s.partitioned[a.number][b.number] && !s.partitioned[b.number][a.number] {
				p[0].call(life, func() { p[0].lease.HandleLinkUp(p[0].localTime(), p[1].identity.id) })
			}
		})
	}
}

func (s *Simulation) latency() float64 { return s.latencySeconds * (1 + s.rng.Float64()) }

// call has the process do something, unless it has ended; one that stands still does it later.
func (n *node) call(life int, do func()) {
	switch {
	case n.incarnation != life || !n.up:
	case n.frozen:
		n.postponed = append(n.postponed, func() { n.call(life, do) })
	default:
		n.calls++
		do()
		n.armTimer()
		if n.up && n.incarnation == life {
			n.sim.checkNode(n)
		}
	}
}

// armTimer has Tick called when it is due.
func (n *node) armTimer() {
	if !n.up {
		return
	}
	at := n.simulationTime(n.lease.NextTick())
	if at >= n.timerAt || math.IsInf(at, 1) {
		return
	}
	n.timerAt = at
	life := n.incarnation
	n.sim.At(at, func() {
		if n.incarnation != life || n.timerAt != at {
			return
		}
		n.call(life, func() {
			n.timerAt = math.Inf(1)
			n.lease.Tick(n.localTime())
		})
	})
}

// kill ends the process: what was being written may have lasted or not.
func (n *node) kill() {
	if !n.up {
		return
	}
	n.sim.record("%d is killed", n.number)
	n.up, n.frozen, n.postponed = false, false, nil
	n.incarnation++
	n.sim.processEnded(n, "it was killed")
}

func (n *node) freeze(forS float64) {
	if !n.up || n.frozen {
		return
	}
	n.sim.record("%d stands still for %.3f s", n.number, forS)
	n.frozen = true
	life := n.incarnation
	n.sim.After(forS, func() {
		if n.incarnation == life {
			n.thaw()
		}
	})
}

// thaw hands over what has come meanwhile, or has the clock looked at first.
func (n *node) thaw() {
	if !n.frozen {
		return
	}
	n.sim.record("%d goes on", n.number)
	n.frozen = false
	waiting, life := n.postponed, n.incarnation
	n.postponed = nil
	if n.sim.chance(0.5) {
		n.call(life, func() { n.lease.Tick(n.localTime()) })
	}
	for _, do := range waiting {
		do()
	}
	n.timerAt = math.Inf(1)
	n.armTimer()
}

// leave ends the process with a word, as SIGTERM does.
func (n *node) leave(then func()) {
	if !n.up {
		return
	}
	n.sim.record("%d leaves", n.number)
	life := n.incarnation
	n.call(life, func() { n.lease.Leave(n.localTime()) })
	began := n.sim.Now()
	var poll func()
	poll = func() {
		n.call(life, func() {
			if n.lease.HasLeft() || n.sim.Now()-began > 1 {
				n.identity.hasLeft = true
				n.kill()
				then()
			} else {
				n.sim.After(0.01, poll)
			}
		})
	}
	poll()
}

// --- What a process does ---

type leaseActions struct {
	node        *node
	incarnation int
}

func (a *leaseActions) Send(to swim.ID, m *lease.Message) {
	s := a.node.sim
	s.checkPersisted(a.node, m)
	for _, o := range s.nodes {
		if o.up && o.identity.id == to {
			s.send(a.node, o, encode(m))
			return
		}
	}
}

func (a *leaseActions) Broadcast(m *lease.Message, except swim.ID) {
	body := encode(m)
	for _, o := range a.node.sim.nodes {
		if o != a.node && o.up && o.identity.id != except {
			a.node.sim.send(a.node, o, body)
		}
	}
}

func encode(m *lease.Message) []byte {
	b, err := msgpack.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

const frameHeaderBytes = 6

// send brings a message from one to another.
func (s *Simulation) send(from, to *node, body []byte) {
	from.bytes += uint64(len(body) + frameHeaderBytes)
	from.messages++
	id, life := from.identity.id, to.incarnation
	s.deliver(from, to, func() {
		to.call(life, func() {
			var m lease.Message
			if err := msgpack.Unmarshal(body, &m); err != nil {
				panic(err)
			}
			to.lease.HandleMessage(to.localTime(), id, &m)
		})
	})
}

// deliver has something arrive, if it does.
func (s *Simulation) deliver(from, to *node, arrive func()) {
	if from == to {
		s.After(0, arrive)
		return
	}
	i, j := from.number, to.number
	if s.partitioned[i][j] || s.chance(s.lossProbability) {
		return
	}
	at := max(s.Now()+s.latency(), s.stalledUntil[i][j], s.lastArrival[i][j])
	if s.chance(s.delayProbability) {
		at += s.uniform(0, 60) // an old link, whose bytes come in after all
	} else {
		s.lastArrival[i][j] = at
	}
	s.At(at, arrive)
}

func (a *leaseActions) RequestLinks([]swim.ID) {}

var errDiskFull = errors.New("no space left on device")

func (a *leaseActions) Persist(state []byte) {
	n, s, life := a.node, a.node.sim, a.incarnation
	if n.persisting {
		s.breakRule("one-save", "%d saves while it saves", n.number)
	}
	n.persisting = true
	n.persists++
	took := s.diskSeconds * (1 + s.rng.Float64())
	if s.Now() < s.slowDiskUntil {
		took = s.slowDiskSeconds * (1 + s.rng.Float64())
	}
	if n.incarnation != life {
		return
	}
	s.After(took, func() {
		if n.incarnation != life { // it ended meanwhile: what was not synced may have lasted
			return
		}
		full := n.diskFull
		if !full && n.durable {
			n.disk = state
		}
		n.call(life, func() {
			n.persisting = false
			if full {
				n.lease.HandlePersisted(n.localTime(), errDiskFull)
			} else {
				n.lease.HandlePersisted(n.localTime(), nil)
			}
		})
	})
}

func (a *leaseActions) LeaseStarted(role string, token uint64) {
	a.node.sim.leaseStarted(a.node, role, token)
}
func (a *leaseActions) RecordCommitted(lease.Record) {}
func (a *leaseActions) LeaseEnded(role string, token uint64, why lease.EndReason) {
	a.node.sim.leaseEnded(a.node, role, token, string(why))
}

func (a *leaseActions) ReplaceIdentity(why string) {
	n, s := a.node, a.node.sim
	s.record("%d renounces: %s", n.number, why)
	life := n.incarnation
	s.After(0.01, func() {
		n.call(life, func() {
			n.replaceIdentity()
			n.incarnation++
			n.persisting, n.timerAt = false, math.Inf(1)
			n.startProcess()
		})
	})
}

func (a *leaseActions) Log(text string, args ...any) {
	a.node.sim.record("%d notes: %s %v", a.node.number, text, args)
}

// --- Who is there ---

const (
	viewIntervalSeconds = 0.25
	suspectAfterSeconds = 1.4
	deadAfterSeconds    = 2.4
	forgetAfterSeconds  = 600
	stallSeconds        = 0.9
)

// watchMembers has a member's view follow what is so, late as it would.
func (n *node) watchMembers(life int) {
	n.call(life, func() { n.updateView() })
	n.sim.After(viewIntervalSeconds/n.clockRate, func() {
		if n.incarnation == life && n.up {
			if n.frozen {
				n.postponed = append(n.postponed, func() { n.watchMembers(life) })
			} else {
				n.watchMembers(life)
			}
		}
	})
}

func (n *node) updateView() {
	s, now := n.sim, n.localTime()
	stalled := n.view != nil && now-n.viewAt > stallSeconds
	n.viewAt = now
	reach := s.reachable(n)
	changed := n.view == nil
	for _, known := range s.identities {
		i := slices.IndexFunc(n.view, func(seen *memberView) bool { return seen.identity == known })
		heard := known.node == n && known == n.identity || reach[known.node.number] && known.node.identity == known
		if i < 0 {
			if !heard {
				continue
			}
			n.view = append(n.view, &memberView{identity: known, state: swim.Alive, stateSince: now, lastHeard: now})
			changed = true
			continue
		}
		seen := n.view[i]
		was := seen.state
		if stalled {
			seen.lastHeard = max(seen.lastHeard, now-suspectAfterSeconds/2)
		}
		switch {
		case heard && !(known != n.identity && s.chance(s.misreportProbability)):
			seen.lastHeard = now
			if seen.state = swim.Alive; known.hasLeft {
				seen.state = swim.Left
			}
		case known.hasLeft && reach[known.node.number]:
			seen.state = swim.Left
		case seen.state == swim.Alive && now-seen.lastHeard > suspectAfterSeconds:
			seen.state = swim.Suspect
		case seen.state == swim.Suspect && now-seen.lastHeard > deadAfterSeconds:
			seen.state = swim.Dead
		}
		if seen.state != was {
			changed = true
			if !(was <= swim.Suspect && seen.state <= swim.Suspect) {
				seen.stateSince = now
			}
		}
	}
	if !changed {
		return
	}
	slices.SortFunc(n.view, func(a, b *memberView) int {
		if a.identity.id < b.identity.id {
			return -1
		}
		return 1
	})
	var list []lease.Member
	for _, seen := range n.view {
		if seen.state.IsDeadOrLeft() && now-seen.stateSince > forgetAfterSeconds {
			continue
		}
		list = append(list, lease.Member{ID: seen.identity.id, Address: seen.identity.node.address, State: seen.state, Durable: seen.identity.node.durable, StateAgeSeconds: now - seen.stateSince})
	}
	n.lease.SetMembers(now, list)
}

// reachable tells whom a member hears, by way of others too.
func (s *Simulation) reachable(n *node) []bool {
	got := make([]bool, len(s.nodes))
	got[n.number] = true
	next := []int{n.number}
	for len(next) > 0 {
		i := next[0]
		next = next[1:]
		for j, o := range s.nodes {
			if got[j] || !o.up || o.frozen || s.partitioned[i][j] || s.partitioned[j][i] || s.stalledUntil[i][j] > s.Now() || s.stalledUntil[j][i] > s.Now() {
				continue
			}
			got[j] = true
			next = append(next, j)
		}
	}
	return got
}

// --- What owners do ---

// actAsHolder has the owner of a role act again and again: it looks whether it may, and then its effect goes to all. Between the two it
// may stand still.
func (n *node) actAsHolder(life int) {
	s := n.sim
	n.call(life, func() {
		for _, role := range s.roles {
			token, ok := n.lease.Holds(n.localTime(), role)
			if !ok {
				continue
			}
			s.effectSent(n, role, token)
			n.lastEffect++
			number, by := n.lastEffect, n.identity
			tell := func() {
				for _, o := range s.nodes {
					if !o.up {
						continue
					}
					olife := o.incarnation
					s.deliver(n, o, func() { o.call(olife, func() { o.receiveEffect(n, by, role, token, number) }) })
				}
			}
			if s.chance(s.stallProbability) {
				s.counts.Stalls++
				n.freeze(s.uniform(0.3, 6))
				n.postponed = append(n.postponed, func() { n.call(life, tell) })
				return
			}
			tell()
		}
	})
	s.After(s.uniform(0.05, 0.25), func() {
		if n.incarnation == life && n.up {
			if n.frozen {
				n.postponed = append(n.postponed, func() { n.actAsHolder(life) })
			} else {
				n.actAsHolder(life)
			}
		}
	})
}

// receiveEffect takes an effect, if its token is good; else it has the old owner know what is newer.
func (n *node) receiveEffect(from *node, by *identity, role string, token, number uint64) {
	s := n.sim
	ok, _ := n.fence.Admit(role, token)
	if ok {
		s.counts.Effects++
		s.effectApplied(n, by, role, token, number)
		return
	}
	s.counts.Rejected++
	table := n.lease.Table()
	if from.up && from != n && table.Epoch != 0 {
		s.send(n, from, encode(&lease.Message{Table: &table}))
	}
}
