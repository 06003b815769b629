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

// The intervals and timeouts of the simulation, in seconds. They are the same as in the real host.
const (
	exchangeIntervalSeconds        = 0.4
	reconfigurationIntervalSeconds = 0.15
	refreshIntervalSeconds         = 2.0
	callTimeoutSeconds             = 0.9
	reachableSeconds               = 1.5
	catchUpSeconds                 = 4.0
	changeTimeoutSeconds           = 2.5
	transferSeconds                = 0.25 // transfer of a configuration
	faultPeriodSeconds             = 60.0
	quietPeriodSeconds             = 12.0
	leaveTimeoutSeconds            = 3.2
)

// The mean times between operations, in seconds.
const (
	slowOperationSeconds = 0.35
	fastOperationSeconds = 0.1
)

// hostFaults are deliberate faults of the host that the checks must detect.
type hostFaults struct {
	addsLaggingVoters        bool // a candidate votes before it has caught up
	repliesBeforeSync        bool // a reply is sent before the disk has synced
	ignoresReachability      bool // only the first voter changes the voters, even if it can't reach a majority
	movesLearnerTarget       bool // a candidate must hold the value that is newest at each query
	usesWallClock            bool // leases are measured by the wall clock
	ignoresToken             bool // a role is acquired even if another holder has a newer token
	acquiresWhilePartitioned bool // a candidate counts the time while it was partitioned as silence of the holder
	rejectsEqualToken        bool // a receiver rejects the highest token as well as those below
	acceptsWithoutConfig     bool // a voter accepts a value whose configuration it does not have
	sendsOwnConfig           bool // a proposal that completes another node's value sends the bytes of its own change with it
	fetchesInFixedOrder      bool // a machine that catches up always asks the same voter first
	forgetsChangesAtStart    bool // the identities of accepted changes are not read from the disk
}

type event struct {
	at       float64
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
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
	address             string
	disk                register.State // what survives a power failure
	acceptor            *register.Acceptor
	isUp                bool
	isRemoved           bool
	isLeaving           bool
	isFrozen            bool
	incarnation         int
	resumedAt           float64 // time of the last start, or end of the last freeze
	highestBallot       uint64
	knownChosen         register.Ballot
	knownVoters         register.Value     // the newest voters that this node knows
	lastReply           map[string]float64 // by address: when the node last got a reply
	peers               map[string]peer    // by address
	timer               reconfiguration.StaggeredTimer
	learnerTargets      reconfiguration.LearnerTargets
	isReconfiguring     bool
	joinTarget          register.Ballot // ballot of the first value that this incarnation has found chosen
	configs             configCache     // in memory
	diskConfigs         configCache     // on disk: what survives a power failure
	fetchOrder          reconfiguration.FetchOrder
	acknowledgedAtStart uint64 // the version that had been acknowledged when this incarnation started
	role                roleState
}

// peer is what a node knows of another machine.
type peer struct {
	id        string
	isLeaving bool
}

// simulation is a set of control machines with a network, disks and operators. All random choices come from one seed.
type simulation struct {
	rng              *rand.Rand
	faults           hostFaults
	tracksConfigs    bool // configurations have bytes, which voters may lack, and there are patches
	hasFixedDelays   bool // undecided proposals are retried after 0.02 to 0.12 s instead of the delays of register.Backoff
	now              float64
	queue            events
	sequence         int
	nodes            []*node
	spares           []*node
	partitionedUntil map[[2]string]float64 // by sender and receiver: until when no message passes between them
	desired          int                   // number of voters
	tolerated        int                   // how many machines may be lost at the same time
	operationSeconds float64               // mean time between operations
	faultsEndAt      float64               // end of the last fault so far
	lostUntil        map[*node]float64     // until when a machine counts as lost

	acknowledged       []register.Digest
	acknowledgedByBase map[uint64]register.Digest
	highestVersion     uint64
	newestChosenAt     register.Ballot
	violation          string
	voterChanges       int
	receiver           receiver
	patchResults       map[register.Digest]register.Digest // by the patch's identity
	sentPatches        []sentPatch
}

func newSimulation(seed uint64, machines, spares int, operationSeconds float64, faults hostFaults) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 3)), faults: faults, operationSeconds: operationSeconds, partitionedUntil: map[[2]string]float64{}, desired: machines,
		tolerated: (machines - 1) / 2, lostUntil: map[*node]float64{}, acknowledgedByBase: map[uint64]register.Digest{}, receiver: receiver{firstByToken: map[uint64]order{}}, patchResults: map[register.Digest]register.Digest{}}
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
			s.nodes = append(s.nodes, n)
			s.boot(n)
		} else {
			s.spares = append(s.spares, n)
		}
	}
	return s
}

func (s *simulation) after(delay float64, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{s.now + delay, s.sequence, run})
}

// every repeats a task while this incarnation of a node runs. A frozen node skips it.
func (s *simulation) every(n *node, period float64, task func()) {
	incarnation := n.incarnation
	var again func()
	again = func() {
		if n.incarnation != incarnation || !n.isUp {
			return
		}
		if !n.isFrozen {
			task()
		}
		s.after(period*(0.9+0.2*s.rng.Float64()), again)
	}
	s.after(period*s.rng.Float64(), again)
}

func (s *simulation) boot(n *node) {
	n.incarnation++
	n.isUp, n.isFrozen, n.isLeaving, n.isReconfiguring = true, false, false, false
	if s.faults.forgetsChangesAtStart {
		n.disk.Value.AcceptedChanges = nil
	}
	n.acceptor = register.NewAcceptor(n.disk)
	n.configs, n.fetchOrder = n.diskConfigs.clone(), reconfiguration.FetchOrder{}
	n.highestBallot, n.knownChosen, n.knownVoters = 0, register.Ballot{}, register.Value{}
	n.lastReply, n.peers, n.timer, n.resumedAt = map[string]float64{}, map[string]peer{}, reconfiguration.StaggeredTimer{}, s.now
	n.learnerTargets, n.acknowledgedAtStart, n.joinTarget = reconfiguration.LearnerTargets{}, s.highestVersion, register.Ballot{}
	if n.disk.Accepted == (register.Ballot{}) {
		n.knownVoters = n.disk.Value
	}
	s.every(n, exchangeIntervalSeconds, func() { s.exchange(n) })
	s.every(n, reconfigurationIntervalSeconds, func() { s.reconfigure(n) })
	s.after(0.05, func() { s.refreshDisk(n, n.incarnation) })
	s.bootRole(n)
	s.after(catchUpSeconds, s.whileRunning(n, func() { s.checkHasJoined(n, s.now-catchUpSeconds) }))
}

func (s *simulation) reportViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("%.2f s: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func (s *simulation) isReachable(from, to *node) bool {
	return s.now >= s.partitionedUntil[[2]string{from.address, to.address}] && s.rng.IntN(200) > 0
}

func (s *simulation) nodeAt(address string) *node {
	for _, n := range s.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// call executes a function at another node. done gets whether there was a reply within callTimeoutSeconds.
func (s *simulation) call(from *node, address string, act func(to *node), done func(answered bool)) {
	incarnation, answered := from.incarnation, false
	finish := func(ok bool) {
		if !answered && from.incarnation == incarnation && from.isUp {
			answered = true
			done(ok)
		}
	}
	s.after(callTimeoutSeconds, func() { finish(false) })
	to := s.nodeAt(address)
	if to == nil {
		return
	}
	delay := func() float64 { return 0.001 + 0.008*s.rng.Float64() }
	if address == from.address {
		delay = func() float64 { return 0.0005 }
	}
	s.after(delay(), func() {
		if !to.isUp || to.isFrozen || from != to && !s.isReachable(from, to) {
			return
		}
		act(to)
		s.after(delay(), func() {
			if from == to || s.isReachable(to, from) && !from.isFrozen {
				finish(true)
			}
		})
	})
}

// store persists a state together with the bytes of a configuration; a zero digest stands for no bytes.
func (s *simulation) store(n *node, next *register.State, config register.Digest) {
	if next == nil {
		return
	}
	n.acceptor.MarkPersisted(*next)
	n.configs.add(config)
	if !s.faults.repliesBeforeSync || s.rng.IntN(3) > 0 {
		n.disk, n.diskConfigs = *next, n.configs.clone()
	}
	s.checkHasConfig(n)
}

// exchange exchanges membership, voters and heartbeats with every other machine.
func (s *simulation) exchange(n *node) {
	for _, other := range s.nodes {
		if other == n {
			continue
		}
		address := other.address
		var peers map[string]peer
		var voters register.Value
		var grant register.Grant
		var released map[string]uint64
		var heartbeats map[string]float64
		s.call(n, address, func(to *node) {
			to.peers[n.address] = peer{n.disk.ID, n.isLeaving}
			s.mergeVoters(to, n.knownVoters)
			n.role.lastHeartbeat[n.address] = s.now
			to.mergeGrant(n.role.grant, n.role.releasedTokens)
			to.mergeHeartbeats(n.role.lastHeartbeat)
			to.role.lastHeartbeat[to.address] = s.now
			grant, released, heartbeats = to.role.grant, maps.Clone(to.role.releasedTokens), maps.Clone(to.role.lastHeartbeat)
			voters, peers = to.knownVoters, map[string]peer{address: {to.disk.ID, to.isLeaving}}
		}, func(answered bool) {
			if !answered {
				return
			}
			n.lastReply[address] = s.now
			n.peers[address] = peers[address]
			s.mergeVoters(n, voters)
			n.mergeGrant(grant, released)
			n.mergeHeartbeats(heartbeats)
		})
	}
}

func (s *simulation) mergeVoters(n *node, voters register.Value) {
	if voters.Epoch > n.knownVoters.Epoch {
		n.knownVoters = voters
	}
}

// hasContact reports whether a machine is known and isRecent.
func (s *simulation) hasContact(n *node, address string) bool {
	return address == n.address || s.now-max(n.lastReply[address], n.resumedAt) <= reachableSeconds && n.peers[address].id != ""
}

func (s *simulation) newestVoters(n *node) register.Value {
	value := n.knownVoters
	if own := n.acceptor.State().Value; own.Epoch >= value.Epoch {
		value = own
	}
	return register.Value{Epoch: value.Epoch, Voters: value.Voters, OutgoingVoters: value.OutgoingVoters}
}

// whileRunning returns a function that does nothing once this incarnation of the node has ended.
func (s *simulation) whileRunning(n *node, run func()) func() {
	incarnation := n.incarnation
	return func() {
		if n.incarnation == incarnation && n.isUp {
			run()
		}
	}
}

// refreshDisk regularly reads the chosen value and stores it on the local disk.
func (s *simulation) refreshDisk(n *node, incarnation int) {
	if n.incarnation != incarnation || !n.isUp {
		return
	}
	pause := refreshIntervalSeconds
	if n.isFrozen {
		s.after(pause, func() { s.refreshDisk(n, incarnation) })
		return
	}
	s.read(n, s.now+1.5, func(value register.Value, at register.Ballot, ok bool) {
		if !ok {
			pause = 0.1
		} else {
			s.catchUp(n, value, at)
		}
		s.after(pause, func() { s.refreshDisk(n, incarnation) })
	})
}

func (s *simulation) learn(n *node, value register.Value, at register.Ballot) {
	if next, _ := n.acceptor.HandleLearn(at, value.Clone(), true); next != nil {
		n.acceptor.MarkPersisted(*next)
		n.configs.add(value.ConfigDigest)
		n.disk, n.diskConfigs = *next, n.configs.clone()
		s.checkHasConfig(n)
	}
}

// candidates returns the machines that a node knows, and the reachable voters that it does not know yet.
func (s *simulation) candidates(n *node, value *register.Value) []register.Candidate {
	known := s.knownCandidates(n)
	return reconfiguration.AddReachableVoters(value, known, func(v register.Voter) bool { return s.isRecent(n, v.Address) })
}

// isRecent reports whether a machine has replied recently, or the node started or resumed too recently to tell. It is true for the
// node itself.
func (s *simulation) isRecent(n *node, address string) bool {
	return address == n.address || s.now-max(n.lastReply[address], n.resumedAt) <= reachableSeconds
}

func (s *simulation) knownCandidates(n *node) (out []register.Candidate) {
	for _, other := range s.nodes {
		id, leaving := n.peers[other.address].id, n.peers[other.address].isLeaving
		if other == n {
			id, leaving = n.disk.ID, n.isLeaving
		}
		if id != "" {
			out = append(out, register.Candidate{Voter: register.Voter{ID: id, Address: other.address}, Leaving: leaving,
				Alive: s.hasContact(n, other.address)})
		}
	}
	return out
}

func (s *simulation) reconfigure(n *node) {
	candidates := s.candidates(n, &n.knownVoters)
	needed := reconfiguration.IsNeeded(&n.knownVoters, candidates, s.desired)
	alive := reconfiguration.IsLiveVoter(candidates)
	rank, votes := reconfiguration.Rank(n.disk.ID, &n.knownVoters, func(v register.Voter) bool { return s.faults.ignoresReachability || alive(v) })
	if s.faults.ignoresReachability && rank > 0 {
		return
	}
	if n.isReconfiguring {
		return
	}
	if !n.timer.IsDue(s.now, needed && votes, rank) {
		n.learnerTargets.Reset()
		return
	}
	n.isReconfiguring = true
	stop := func() { s.after(0.25, s.whileRunning(n, func() { n.isReconfiguring = false })) }
	until := s.now + changeTimeoutSeconds
	s.read(n, until, func(value register.Value, at register.Ballot, ok bool) {
		switch {
		case !ok:
			stop()
		case len(value.OutgoingVoters) > 0:
			s.change(n, register.CompleteReconfiguration, until, func(*register.Proposal) { stop() })
		default:
			s.queryLearners(n, value, at, until, stop)
		}
	})
}

// queryLearners asks the candidates whether they have caught up, and then changes the voters if that is needed.
func (s *simulation) queryLearners(n *node, value register.Value, at register.Ballot, until float64, stop func()) {
	candidates := s.candidates(n, &value)
	asked := map[register.Voter]bool{}
	open := 1
	proceed := func() {
		if open--; open > 0 {
			return
		}
		next, needed := register.NextVoters(value.Voters, candidates, s.desired)
		if !needed {
			stop()
			return
		}
		s.change(n, register.BeginReconfiguration(value.Epoch, next), until, func(proposal *register.Proposal) {
			if proposal == nil || proposal.Outcome != register.Chosen {
				stop()
				return
			}
			s.voterChanges++
			s.checkJoining(value, next)
			s.change(n, register.CompleteReconfiguration, until, func(*register.Proposal) { stop() })
		})
	}
	for i := range candidates {
		candidate := &candidates[i]
		if slices.Contains(value.Voters, candidate.Voter) || !candidate.Alive || candidate.Address == n.address {
			continue
		}
		asked[candidate.Voter] = true
		target := n.learnerTargets.Target(candidate.Voter, at)
		if s.faults.movesLearnerTarget {
			target = at
		}
		if s.faults.addsLaggingVoters {
			candidate.CaughtUp = true
			continue
		}
		open++
		isCaughtUp := false
		s.call(n, candidate.Address, func(to *node) {
			if to.disk.ID != candidate.ID {
				return
			}
			accepted := to.acceptor.State().Accepted
			isCaughtUp = accepted.Compare(target) >= 0 && to.joinTarget != (register.Ballot{}) && accepted.Compare(to.joinTarget) >= 0
			if to.acceptor.State().Accepted.Compare(at) < 0 {
				s.catchUp(to, value, at)
			}
		}, func(answered bool) {
			candidate.CaughtUp = answered && isCaughtUp
			proceed()
		})
	}
	n.learnerTargets.Retain(func(candidate register.Voter) bool { return asked[candidate] })
	proceed()
}
