package register_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"

	"hazelwheel/internal/decide/register"
)

// faults are mistakes of a host that the rules must notice.
type faults struct {
	answerBeforeSync bool // an answer leaves before the state is on disk
	wipedVotes       bool // a disk that was lost keeps its identity
	reuseBallots     bool // a restart begins with the ballots of the life before
	minorityRead     bool // a read believes the first answer
	forgetsAccepted  bool // configurations that were accepted are not remembered
}

type node struct {
	address  string
	durable  register.State
	acceptor *register.Acceptor
	up       bool
	life     int
	round    uint64
	known    register.Value  // the voters as this node heard of them
	proven   register.Ballot // at which this life has found a value chosen
	op       *operation
}

// operation is one call at a node.
type operation struct {
	id       int
	node     *node
	life     int
	round    *register.Proposal
	reading  *register.QuorumRead
	must     []register.Digest // acknowledged before this began
	version  uint64            // the highest version that was seen before this began
	digest   register.Digest
	base     uint64
	ballot   register.Ballot
	isChange bool
	began    int64
}

type packet struct {
	to, from  string // addresses
	voter     register.Voter
	op        *operation
	accepting bool
	reading   bool
	value     register.Value
	ballot    register.Ballot
	promise   *register.PrepareReply
	accepted  *register.AcceptReply
}

// world is a network of nodes with disks, all drawn from one seed.
type world struct {
	rng     *rand.Rand
	faults  faults
	nodes   []*node
	packets []packet
	nextOp  int

	acked   []register.Digest
	byBase  map[uint64]register.Digest // the change that was acknowledged on top of a version
	highest uint64                     // version that any call has returned
	newest  register.Value             // by epoch, of those that hold

	newestAt   register.Ballot // the highest at which a value is known to be chosen
	newestHeld register.Value
	broken     string
	done       int // calls that ended with an answer
	now        int64
	history    []porcupine.Operation
}

func newWorld(seed uint64, nodes int, f faults) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), faults: f, byBase: map[uint64]register.Digest{}}
	value := register.Value{Epoch: 1}
	for i := range nodes {
		address := fmt.Sprintf("n%d", i)
		value.Voters = append(value.Voters, register.Voter{ID: "founder@" + address, Address: address})
	}
	for _, voter := range value.Voters {
		n := &node{address: voter.Address, up: true, known: value}
		n.durable = register.State{ID: voter.ID, Value: value}
		n.acceptor = register.NewAcceptor(n.durable)
		w.nodes = append(w.nodes, n)
	}
	w.newest = value
	return w
}

func (w *world) breakRule(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

func (w *world) node(address string) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.address == address })]
}

// step does one thing that may happen.
func (w *world) step() {
	w.now++
	switch draw := w.rng.IntN(100); {
	case draw < 70 && len(w.packets) > 0:
		w.deliver()
	case draw >= 70 && draw < 72:
		w.learn()
	case draw < 82:
		w.begin()
	case draw < 88:
		w.lose()
	case draw < 92:
		w.crash()
	case draw < 97:
		w.restart()
	case draw < 98:
		w.wipe()
	default:
		w.giveUp()
	}
}

// deliver hands any packet over, now and then twice or never.
func (w *world) deliver() {
	i := w.rng.IntN(len(w.packets))
	p := w.packets[i]
	if w.rng.IntN(20) > 0 {
		w.packets = slices.Delete(w.packets, i, i+1)
	}
	if w.rng.IntN(25) == 0 {
		return
	}
	n := w.node(p.to)
	if !n.up {
		return
	}
	if p.promise != nil || p.accepted != nil {
		w.answered(n, p)
		return
	}
	w.asked(n, p)
}

func (w *world) asked(n *node, p packet) {
	answer := packet{to: p.from, from: p.to, voter: p.voter, op: p.op, accepting: p.accepting, reading: p.reading}
	var next *register.State
	switch {
	case p.reading:
		promise := n.acceptor.HandleRead(register.ReadRequest{To: p.voter.ID})
		answer.promise = &promise
	case p.accepting:
		state, accepted := n.acceptor.HandleAccept(register.AcceptRequest{To: p.voter.ID, Ballot: p.ballot, Value: p.value}, true)
		next, answer.accepted = state, &accepted
	default:
		state, promise := n.acceptor.HandlePrepare(register.PrepareRequest{To: p.voter.ID, Ballot: p.ballot})
		next, answer.promise = state, &promise
	}
	if next != nil {
		n.acceptor.MarkPersisted(*next)
		if !w.faults.answerBeforeSync || w.rng.IntN(2) == 0 {
			n.durable = *next
		}
	}
	w.packets = append(w.packets, answer)
}

func (w *world) answered(n *node, p packet) {
	op := p.op
	if n.op != op || n.life != op.life {
		return
	}
	if op.reading != nil {
		step := op.reading.HandleReadReply(p.voter, *p.promise)
		if w.faults.minorityRead && p.promise.OK && op.reading.Outcome == register.InProgress && p.promise.Value.Epoch > 0 {
			op.reading.Outcome, op.reading.Value, step.Done = register.Chosen, p.promise.Value, true
		}
		w.carryOut(op, step)
		return
	}
	if p.promise != nil {
		w.carryOut(op, op.round.HandlePrepareReply(p.voter, *p.promise))
		return
	}
	w.carryOut(op, op.round.HandleAcceptReply(p.voter, *p.accepted))
}

func (w *world) carryOut(op *operation, step register.Step) {
	for _, voter := range step.SendPrepare {
		w.send(op, packet{voter: voter, ballot: op.ballot, reading: op.reading != nil})
	}
	for _, voter := range step.SendAccept {
		w.send(op, packet{voter: voter, ballot: op.ballot, accepting: true, value: op.round.Value.Clone()})
	}
	if step.Done {
		w.end(op)
	}
}

func (w *world) send(op *operation, p packet) {
	p.from, p.to, p.op = op.node.address, p.voter.Address, op
	w.packets = append(w.packets, p)
}

// begin starts a call at a node that has none under way.
func (w *world) begin() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if !n.up || n.op != nil {
		return
	}
	if own := n.acceptor.State().Value; own.Epoch > n.known.Epoch {
		n.known = own
	}
	op := &operation{id: w.nextOp, node: n, life: n.life, must: slices.Clone(w.acked), version: w.highest, began: w.now}
	w.nextOp++
	n.op = op
	voters := register.Value{Epoch: n.known.Epoch, Voters: n.known.Voters, OutgoingVoters: n.known.OutgoingVoters}
	if w.rng.IntN(4) == 0 {
		var step register.Step
		op.reading, step = register.NewQuorumRead(voters)
		w.carryOut(op, step)
		return
	}
	change := w.draw(op)
	n.round = max(n.round, n.acceptor.State().Promised.Number) + 1
	proposer := fmt.Sprintf("%s/%d", n.address, n.life)
	if w.faults.reuseBallots {
		n.round, proposer = uint64(op.id%7+1), n.address
	}
	op.ballot = register.Ballot{Number: n.round, Proposer: proposer}
	var step register.Step
	op.round, step = register.NewProposal(op.ballot, voters, change)
	op.round.SetKnownChosen(n.proven)
	w.carryOut(op, step)
}

func (w *world) draw(op *operation) register.Change {
	n := op.node
	switch w.rng.IntN(6) {
	case 0:
		return register.NoChange
	case 1:
		return w.membership(n)
	default:
		op.isChange, op.base = true, w.highest
		op.digest = register.DigestOf([]byte(fmt.Sprint(op.id)))
		change := register.SetConfig(op.base+1, op.base, op.digest)
		if !w.faults.forgetsAccepted {
			return change
		}
		return func(current register.Value) (register.Value, bool) {
			next, ok := change(current)
			next.AcceptedChanges = next.AcceptedChanges[max(len(next.AcceptedChanges)-1, 0):]
			return next, ok
		}
	}
}

func (w *world) membership(n *node) register.Change {
	if len(n.known.OutgoingVoters) > 0 {
		return register.CompleteReconfiguration
	}
	var candidates []register.Candidate
	for _, other := range w.nodes {
		voter := register.Voter{ID: other.durable.ID, Address: other.address}
		candidates = append(candidates, register.Candidate{Voter: voter, Alive: other.up, CaughtUp: w.caughtUp(other)})
	}
	next, changed := register.NextVoters(n.known.Voters, candidates, len(w.nodes))
	if !changed {
		return register.NoChange
	}
	return register.BeginReconfiguration(n.known.Epoch, next)
}

// caughtUp tells whether a node's disk holds the newest value that any call has returned.
func (w *world) caughtUp(n *node) bool { return n.durable.Accepted.Compare(w.newestAt) >= 0 }

// learn hands the newest value that a call has returned to a node, as its host does for those that are behind.
func (w *world) learn() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if !n.up || w.newestAt == (register.Ballot{}) {
		return
	}
	if next, _ := n.acceptor.HandleLearn(w.newestAt, w.newestHeld.Clone(), true); next != nil {
		n.acceptor.MarkPersisted(*next)
		n.durable = *next
	}
}

// end checks what a call returns.
func (w *world) end(op *operation) {
	n := op.node
	n.op = nil
	value, outcome, at := register.Value{}, register.Undecided, register.Ballot{}
	if op.reading != nil {
		value, outcome, at = op.reading.Value, op.reading.Outcome, op.reading.ChosenAt
	} else {
		value, outcome, at = op.round.Value, op.round.Outcome, op.round.ChosenAt
		n.round = max(n.round, op.round.HighestPromised.Number)
	}
	if holds(outcome) {
		n.proven = at
		if at.Compare(w.newestAt) > 0 {
			w.newestAt, w.newestHeld = at, value
		}
	}
	if outcome != register.Chosen && outcome != register.Rejected {
		w.recordUnknown(op)
		return
	}
	w.record(op, value, outcome)
	w.done++
	if value.Epoch > n.known.Epoch {
		n.known = value
	}
	if value.Epoch > w.newest.Epoch {
		w.newest = value
	}
	w.check(op, value)
	if op.isChange && (outcome == register.Chosen || value.CheckConfig(op.base+1, op.base, op.digest) == register.ConfigDuplicate) {
		w.acknowledge(op)
	}
	w.highest = max(w.highest, value.ConfigVersion)
}

// holds tells whether a call has found a value that is chosen.
func holds(outcome register.Outcome) bool {
	return outcome == register.Chosen || outcome == register.Rejected || outcome == register.Confirmed
}

// check holds a value that a call returns against all that was acknowledged before the call.
func (w *world) check(op *operation, value register.Value) {
	if value.ConfigVersion < op.version {
		w.breakRule("call %d returns version %d after %d was seen", op.id, value.ConfigVersion, op.version)
	}
	for _, digest := range op.must {
		if !slices.Contains(value.AcceptedChanges, digest) {
			w.breakRule("call %d returns a value without an acknowledged change", op.id)
		}
	}
}

func (w *world) acknowledge(op *operation) {
	if other, taken := w.byBase[op.base]; taken && other != op.digest {
		w.breakRule("two changes on top of version %d are acknowledged", op.base)
	}
	w.byBase[op.base] = op.digest
	if !slices.Contains(w.acked, op.digest) {
		w.acked = append(w.acked, op.digest)
	}
}

// lose tells a call that a voter did not answer.
func (w *world) lose() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if n.op == nil {
		return
	}
	voters := n.known.AllVoters()
	voter := voters[w.rng.IntN(len(voters))]
	if n.op.reading != nil {
		w.carryOut(n.op, n.op.reading.HandleNoReply())
		return
	}
	w.carryOut(n.op, n.op.round.HandleNoReply(voter, w.rng.IntN(2) == 0))
}

func (w *world) giveUp() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if n.op != nil {
		if n.op.round != nil {
			n.op.round.Abandon()
		}
		w.recordUnknown(n.op)
		n.op = nil
	}
}

func (w *world) crash() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	w.recordUnknown(n.op)
	n.up, n.op = false, nil
}

func (w *world) restart() {
	for _, n := range w.nodes {
		if n.up {
			continue
		}
		n.up = true
		n.life++
		n.round, n.proven = 0, register.Ballot{}
		n.acceptor = register.NewAcceptor(n.durable)
		n.known = w.heard(n)
		return
	}
}

// heard is what a node that begins is told of the voters: what is on its disk, or what any live node knows.
func (w *world) heard(n *node) register.Value {
	known := n.durable.Value
	for _, other := range w.nodes {
		if other.up && other.known.Epoch > known.Epoch {
			known = other.known
		}
	}
	return known
}

// wipe takes a node's disk, if all voters still have theirs: one may be lost at a time.
func (w *world) wipe() {
	if len(w.newest.OutgoingVoters) > 0 {
		return
	}
	for _, voter := range w.newest.Voters {
		if w.node(voter.Address).durable.ID != voter.ID {
			return
		}
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	id := fmt.Sprintf("%s#%d", n.address, w.nextOp)
	w.nextOp++
	if w.faults.wipedVotes {
		id = n.durable.ID
	}
	value := n.known
	w.recordUnknown(n.op)
	n.up, n.op = false, nil
	n.durable = register.State{ID: id}
	if w.faults.wipedVotes {
		n.durable.Value = register.Value{Epoch: value.Epoch, Voters: value.Voters, OutgoingVoters: value.OutgoingVoters}
	}
}

// play takes steps until a rule is broken or there are enough.
func play(seed uint64, nodes, steps int, f faults) *world {
	w := newWorld(seed, nodes, f)
	for range steps {
		w.step()
		if w.broken != "" {
			break
		}
	}
	for _, n := range w.nodes {
		w.recordUnknown(n.op)
	}
	return w
}
