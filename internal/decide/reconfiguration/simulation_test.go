package reconfiguration_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"hazelwheel/internal/decide/reconfiguration"
	"hazelwheel/internal/decide/register"
)

// The times of the world, in seconds. They are those of the host.
const (
	exchangeS = 0.4
	upkeepS   = 0.15
	scrubS    = 2.0
	callS     = 0.9
	touchS    = 1.5
	catchUpS  = 4.0
	changeS   = 2.5
	pieceS    = 0.25 // what the bytes of a configuration take to come
	troubleS  = 60.0 // for how long there is trouble
	quietS    = 12.0 // what is left until the end
	leaveS    = 3.2
)

// The mean times between calls of operators, in seconds.
const (
	someChanges   = 0.35
	steadyChanges = 0.1
)

// mistakes are faults of a host, to show that the rules notice them.
type mistakes struct {
	learnersVote bool // a newcomer votes before it holds the newest value
	answerFirst  bool // an answer leaves before the disk has synced
	noTurns      bool // the first voter by name does the upkeep, whether it reaches a majority or not
	newestOnly   bool // a newcomer has to hold the value that is newest whenever it is asked
	wallLease    bool // leases go by the wall clock
	grabsRole    bool // a role is taken whoever has taken it meanwhile
	takesCutOff  bool // a role is taken by who was cut off until just now
	refusesEqual bool // a receiver refuses the token that it has seen as well as those below
}

type event struct {
	at    float64
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// node is a control machine.
type node struct {
	address  string
	disk     register.State // what a loss of power leaves
	acceptor *register.Acceptor
	up       bool
	gone     bool // for good
	leaving  bool
	frozen   bool
	life     int
	resumed  float64
	round    uint64
	proven   register.Ballot
	told     register.Value // the voters as they are told
	contact  map[string]float64
	peers    map[string]peer // by address, as heard
	turns    reconfiguration.StaggeredTimer
	learners reconfiguration.LearnerTargets
	mending  bool
	since    uint64 // the version that had been acknowledged when this life began
	role     roleNode
}

// peer is what is told of another machine.
type peer struct {
	id      string
	leaving bool
}

// world is a control side with its network, disks and operators, all drawn from one seed.
type world struct {
	rng      *rand.Rand
	mistakes mistakes
	now      float64
	queue    events
	order    int
	nodes    []*node
	spares   []*node
	cut      map[[2]string]float64 // until when nothing goes from one to the other
	wanted   int
	tolerate int
	gapS     float64           // between calls of operators
	calmFrom float64           // when the last trouble is over, as far as is known
	lost     map[*node]float64 // until when a machine counts as lost

	acked    []register.Digest
	byBase   map[uint64]register.Digest
	highest  uint64
	newestAt register.Ballot
	broken   string
	changes  int
	receiver receiver
}

func newWorld(seed uint64, machines, spares int, gapS float64, m mistakes) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 3)), mistakes: m, gapS: gapS, cut: map[[2]string]float64{}, wanted: machines,
		tolerate: (machines - 1) / 2, lost: map[*node]float64{}, byBase: map[uint64]register.Digest{}, receiver: receiver{first: map[uint64]act{}}}
	founding := register.Value{Epoch: 1}
	for i := range machines {
		address := fmt.Sprintf("n%d", i)
		founding.Voters = append(founding.Voters, register.Voter{ID: address, Address: address})
	}
	for i := range machines + spares {
		address := fmt.Sprintf("n%d", i)
		n := &node{address: address}
		if i < machines {
			n.disk = register.State{ID: address, Value: founding}
			w.nodes = append(w.nodes, n)
			w.boot(n)
		} else {
			w.spares = append(w.spares, n)
		}
	}
	return w
}

func (w *world) after(delay float64, run func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + delay, w.order, run})
}

// every repeats a task of one life of a node. A frozen node does nothing.
func (w *world) every(n *node, period float64, task func()) {
	life := n.life
	var again func()
	again = func() {
		if n.life != life || !n.up {
			return
		}
		if !n.frozen {
			task()
		}
		w.after(period*(0.9+0.2*w.rng.Float64()), again)
	}
	w.after(period*w.rng.Float64(), again)
}

func (w *world) boot(n *node) {
	n.life++
	n.up, n.frozen, n.leaving, n.mending = true, false, false, false
	n.acceptor = register.NewAcceptor(n.disk)
	n.round, n.proven, n.told = 0, register.Ballot{}, register.Value{}
	n.contact, n.peers, n.turns, n.resumed = map[string]float64{}, map[string]peer{}, reconfiguration.StaggeredTimer{}, w.now
	n.learners, n.since = reconfiguration.LearnerTargets{}, w.highest
	if n.disk.Accepted == (register.Ballot{}) {
		n.told = n.disk.Value
	}
	w.every(n, exchangeS, func() { w.exchange(n) })
	w.every(n, upkeepS, func() { w.upkeep(n) })
	w.after(0.05, func() { w.scrub(n, n.life) })
	w.bootRole(n)
	w.after(catchUpS, w.alive(n, func() { w.checkJoined(n, w.now-catchUpS) }))
}

func (w *world) breakRule(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf("%.2f s: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) reaches(from, to *node) bool {
	return w.now >= w.cut[[2]string{from.address, to.address}] && w.rng.IntN(200) > 0
}

func (w *world) find(address string) *node {
	for _, n := range w.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// call has something done at another node. done is told whether an answer came.
func (w *world) call(from *node, address string, act func(to *node), done func(answered bool)) {
	life, answered := from.life, false
	finish := func(ok bool) {
		if !answered && from.life == life && from.up {
			answered = true
			done(ok)
		}
	}
	w.after(callS, func() { finish(false) })
	to := w.find(address)
	if to == nil {
		return
	}
	delay := func() float64 { return 0.001 + 0.008*w.rng.Float64() }
	if address == from.address {
		delay = func() float64 { return 0.0005 }
	}
	w.after(delay(), func() {
		if !to.up || to.frozen || from != to && !w.reaches(from, to) {
			return
		}
		act(to)
		w.after(delay(), func() {
			if from == to || w.reaches(to, from) && !from.frozen {
				finish(true)
			}
		})
	})
}

func (w *world) store(n *node, next *register.State) {
	if next == nil {
		return
	}
	n.acceptor.MarkPersisted(*next)
	if !w.mistakes.answerFirst || w.rng.IntN(3) > 0 {
		n.disk = *next
	}
}

// exchange tells every other machine who is there and who votes, and takes what they know.
func (w *world) exchange(n *node) {
	for _, other := range w.nodes {
		if other == n {
			continue
		}
		address := other.address
		var heard map[string]peer
		var told register.Value
		var grant register.Grant
		var released map[string]uint64
		var beats map[string]float64
		w.call(n, address, func(to *node) {
			to.peers[n.address] = peer{n.disk.ID, n.leaving}
			w.takeTold(to, n.told)
			n.role.heard[n.address] = w.now
			to.hearGrant(n.role.grant, n.role.released)
			to.hearOf(n.role.heard)
			to.role.heard[to.address] = w.now
			grant, released, beats = to.role.grant, maps.Clone(to.role.released), maps.Clone(to.role.heard)
			told, heard = to.told, map[string]peer{address: {to.disk.ID, to.leaving}}
		}, func(answered bool) {
			if !answered {
				return
			}
			n.contact[address] = w.now
			n.peers[address] = heard[address]
			w.takeTold(n, told)
			n.hearGrant(grant, released)
			n.hearOf(beats)
		})
	}
}

func (w *world) takeTold(n *node, told register.Value) {
	if told.Epoch > n.told.Epoch {
		n.told = told
	}
}

func (w *world) inTouch(n *node, address string) bool {
	return address == n.address || w.now-max(n.contact[address], n.resumed) <= touchS && n.peers[address].id != ""
}

func (w *world) known(n *node) register.Value {
	value := n.told
	if own := n.acceptor.State().Value; own.Epoch >= value.Epoch {
		value = own
	}
	return register.Value{Epoch: value.Epoch, Voters: value.Voters, OutgoingVoters: value.OutgoingVoters}
}

// alive returns a function that does nothing once the life of a node is over.
func (w *world) alive(n *node, run func()) func() {
	life := n.life
	return func() {
		if n.life == life && n.up {
			run()
		}
	}
}

// scrub reads now and then and brings the own disk up to what holds.
func (w *world) scrub(n *node, life int) {
	if n.life != life || !n.up {
		return
	}
	pause := scrubS
	if n.frozen {
		w.after(pause, func() { w.scrub(n, life) })
		return
	}
	w.read(n, w.now+1.5, func(value register.Value, at register.Ballot, ok bool) {
		if !ok {
			pause = 0.1
		} else {
			w.after(pieceS, w.alive(n, func() { w.learn(n, value, at) }))
		}
		w.after(pause, func() { w.scrub(n, life) })
	})
}

func (w *world) learn(n *node, value register.Value, at register.Ballot) {
	if next, _ := n.acceptor.HandleLearn(at, value.Clone(), true); next != nil {
		n.acceptor.MarkPersisted(*next)
		n.disk = *next
	}
}

// candidates returns the machines that a node knows, and the voters that it has had no time to hear of.
func (w *world) candidates(n *node, value *register.Value) []register.Candidate {
	known := w.knownCandidates(n)
	return reconfiguration.AddReachableVoters(value, known, func(v register.Voter) bool { return w.now-max(n.contact[v.Address], n.resumed) <= touchS })
}

func (w *world) knownCandidates(n *node) (out []register.Candidate) {
	for _, other := range w.nodes {
		id, leaving := n.peers[other.address].id, n.peers[other.address].leaving
		if other == n {
			id, leaving = n.disk.ID, n.leaving
		}
		if id != "" {
			out = append(out, register.Candidate{Voter: register.Voter{ID: id, Address: other.address}, Leaving: leaving,
				Alive: w.inTouch(n, other.address)})
		}
	}
	return out
}

func (w *world) upkeep(n *node) {
	candidates := w.candidates(n, &n.told)
	needed := reconfiguration.IsNeeded(&n.told, candidates, w.wanted)
	alive := reconfiguration.IsLiveVoter(candidates)
	rank, votes := reconfiguration.Rank(n.disk.ID, &n.told, func(v register.Voter) bool { return w.mistakes.noTurns || alive(v) })
	if w.mistakes.noTurns && rank > 0 {
		return
	}
	if n.mending || !n.turns.IsDue(w.now, needed && votes, rank) {
		return
	}
	n.mending = true
	stop := func() { w.after(0.25, w.alive(n, func() { n.mending = false })) }
	until := w.now + changeS
	w.read(n, until, func(value register.Value, at register.Ballot, ok bool) {
		switch {
		case !ok:
			stop()
		case len(value.OutgoingVoters) > 0:
			w.change(n, register.CompleteReconfiguration, until, func(*register.Proposal) { stop() })
		default:
			w.askLearners(n, value, at, until, stop)
		}
	})
}

// askLearners asks those that don't vote whether they hold a value, and changes the voters then.
func (w *world) askLearners(n *node, value register.Value, at register.Ballot, until float64, stop func()) {
	candidates := w.candidates(n, &value)
	asked := map[register.Voter]bool{}
	open := 1
	proceed := func() {
		if open--; open > 0 {
			return
		}
		next, needed := register.NextVoters(value.Voters, candidates, w.wanted)
		if !needed {
			stop()
			return
		}
		w.change(n, register.BeginReconfiguration(value.Epoch, next), until, func(round *register.Proposal) {
			if round == nil || round.Outcome != register.Chosen {
				stop()
				return
			}
			w.changes++
			w.checkNewcomers(value, next)
			w.change(n, register.CompleteReconfiguration, until, func(*register.Proposal) { stop() })
		})
	}
	for i := range candidates {
		candidate := &candidates[i]
		if slices.Contains(value.Voters, candidate.Voter) || !candidate.Alive || candidate.Address == n.address {
			continue
		}
		asked[candidate.Voter] = true
		since := n.learners.Target(candidate.Voter, at)
		if w.mistakes.newestOnly {
			since = at
		}
		if w.mistakes.learnersVote {
			candidate.CaughtUp = true
			continue
		}
		open++
		held := false
		w.call(n, candidate.Address, func(to *node) {
			if to.disk.ID != candidate.ID {
				return
			}
			held = to.acceptor.State().Accepted.Compare(since) >= 0
			if to.acceptor.State().Accepted.Compare(at) < 0 {
				w.after(pieceS, w.alive(to, func() { w.learn(to, value, at) }))
			}
		}, func(answered bool) {
			candidate.CaughtUp = answered && held
			proceed()
		})
	}
	n.learners.Retain(func(candidate register.Voter) bool { return asked[candidate] })
	proceed()
}
