package register_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"

	"hazelwheel/internal/decide/register"
)

// hostFaults are deliberate faults of the host that the checks must detect.
type hostFaults struct {
	repliesBeforeSync      bool // a reply is sent before the state is on disk
	keepsIdentityAfterWipe bool // a replica keeps its identity when its disk is lost
	reusesBallots          bool // a replica uses ballots of earlier incarnations again
	readsAtMinority        bool // a read returns the first reply
	forgetsAcceptedChanges bool // accepted configuration changes are not remembered
}

type replica struct {
	address       string
	durable       register.State
	acceptor      *register.Acceptor
	isUp          bool
	incarnation   int
	highestBallot uint64
	knownVoters   register.Value  // the newest voters that this replica knows
	knownChosen   register.Ballot // ballot at which this incarnation has found a value chosen
	op            *operation
}

// operation is one call to the register, made by a replica.
type operation struct {
	id                   int
	node                 *replica
	incarnation          int
	proposal             *register.Proposal
	quorumRead           *register.QuorumRead
	acknowledgedBefore   []register.Digest // changes acknowledged before this call started
	highestVersionBefore uint64            // the highest version returned before this call started
	digest               register.Digest
	base                 uint64
	ballot               register.Ballot
	isChange             bool
	startedAt            int64
}

type packet struct {
	to, from     string // addresses
	voter        register.Voter
	op           *operation
	isAccept     bool
	isRead       bool
	value        register.Value
	ballot       register.Ballot
	prepareReply *register.PrepareReply
	acceptReply  *register.AcceptReply
}

// simulation is a network of replicas with disks. All random choices come from one seed.
type simulation struct {
	rng     *rand.Rand
	faults  hostFaults
	nodes   []*replica
	packets []packet
	nextOp  int

	acknowledged       []register.Digest
	acknowledgedByBase map[uint64]register.Digest // by base version: the change that was acknowledged on top of it
	highestVersion     uint64                     // the highest version that any call has returned
	newestEpoch        register.Value             // the chosen value with the highest epoch

	newestChosenAt register.Ballot // the highest ballot at which a value is known to be chosen
	newestChosen   register.Value
	violation      string
	finishedCalls  int // calls that returned a value
	now            int64
	history        []porcupine.Operation
}

func newSimulation(seed uint64, nodes int, f hostFaults) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), faults: f, acknowledgedByBase: map[uint64]register.Digest{}}
	value := register.Value{Epoch: 1}
	for i := range nodes {
		address := fmt.Sprintf("n%d", i)
		value.Voters = append(value.Voters, register.Voter{ID: "founder@" + address, Address: address})
	}
	for _, voter := range value.Voters {
		n := &replica{address: voter.Address, isUp: true, knownVoters: value}
		n.durable = register.State{ID: voter.ID, Value: value}
		n.acceptor = register.NewAcceptor(n.durable)
		s.nodes = append(s.nodes, n)
	}
	s.newestEpoch = value
	return s
}

func (s *simulation) reportViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

func (s *simulation) replicaAt(address string) *replica {
	return s.nodes[slices.IndexFunc(s.nodes, func(n *replica) bool { return n.address == address })]
}

// step executes one random event.
func (s *simulation) step() {
	s.now++
	switch draw := s.rng.IntN(100); {
	case draw < 70 && len(s.packets) > 0:
		s.deliver()
	case draw >= 70 && draw < 72:
		s.learn()
	case draw < 82:
		s.startCall()
	case draw < 88:
		s.loseReply()
	case draw < 92:
		s.crash()
	case draw < 97:
		s.restart()
	case draw < 98:
		s.wipeDisk()
	default:
		s.abandonCall()
	}
}

// deliver delivers a random packet. It drops some, and leaves some queued so that they are delivered again.
func (s *simulation) deliver() {
	i := s.rng.IntN(len(s.packets))
	p := s.packets[i]
	if s.rng.IntN(20) > 0 {
		s.packets = slices.Delete(s.packets, i, i+1)
	}
	if s.rng.IntN(25) == 0 {
		return
	}
	n := s.replicaAt(p.to)
	if !n.isUp {
		return
	}
	if p.prepareReply != nil || p.acceptReply != nil {
		s.handleReply(n, p)
		return
	}
	s.handleRequest(n, p)
}

func (s *simulation) handleRequest(n *replica, p packet) {
	answer := packet{to: p.from, from: p.to, voter: p.voter, op: p.op, isAccept: p.isAccept, isRead: p.isRead}
	var next *register.State
	switch {
	case p.isRead:
		promise := n.acceptor.HandleRead(register.ReadRequest{To: p.voter.ID})
		answer.prepareReply = &promise
	case p.isAccept:
		state, accepted := n.acceptor.HandleAccept(register.AcceptRequest{To: p.voter.ID, Ballot: p.ballot, Value: p.value}, true)
		next, answer.acceptReply = state, &accepted
	default:
		state, promise := n.acceptor.HandlePrepare(register.PrepareRequest{To: p.voter.ID, Ballot: p.ballot})
		next, answer.prepareReply = state, &promise
	}
	if next != nil {
		n.acceptor.MarkPersisted(*next)
		if !s.faults.repliesBeforeSync || s.rng.IntN(2) == 0 {
			n.durable = *next
		}
	}
	s.packets = append(s.packets, answer)
}

func (s *simulation) handleReply(n *replica, p packet) {
	op := p.op
	if n.op != op || n.incarnation != op.incarnation {
		return
	}
	if op.quorumRead != nil {
		step := op.quorumRead.HandleReadReply(p.voter, *p.prepareReply)
		if s.faults.readsAtMinority && p.prepareReply.OK && op.quorumRead.Outcome == register.InProgress && p.prepareReply.Value.Epoch > 0 {
			op.quorumRead.Outcome, op.quorumRead.Value, step.Done = register.Chosen, p.prepareReply.Value, true
		}
		s.carryOut(op, step)
		return
	}
	if p.prepareReply != nil {
		s.carryOut(op, op.proposal.HandlePrepareReply(p.voter, *p.prepareReply))
		return
	}
	s.carryOut(op, op.proposal.HandleAcceptReply(p.voter, *p.acceptReply))
}

// carryOut sends the messages of a step, or ends the call.
func (s *simulation) carryOut(op *operation, step register.Step) {
	for _, voter := range step.SendPrepare {
		s.send(op, packet{voter: voter, ballot: op.ballot, isRead: op.quorumRead != nil})
	}
	for _, voter := range step.SendAccept {
		s.send(op, packet{voter: voter, ballot: op.ballot, isAccept: true, value: op.proposal.Value.Clone()})
	}
	if step.Done {
		s.finishCall(op)
	}
}

func (s *simulation) send(op *operation, p packet) {
	p.from, p.to, p.op = op.node.address, p.voter.Address, op
	s.packets = append(s.packets, p)
}

// startCall starts a call at a random replica, if it has none in progress.
func (s *simulation) startCall() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if !n.isUp || n.op != nil {
		return
	}
	if own := n.acceptor.State().Value; own.Epoch > n.knownVoters.Epoch {
		n.knownVoters = own
	}
	op := &operation{id: s.nextOp, node: n, incarnation: n.incarnation, acknowledgedBefore: slices.Clone(s.acknowledged), highestVersionBefore: s.highestVersion, startedAt: s.now}
	s.nextOp++
	n.op = op
	voters := register.Value{Epoch: n.knownVoters.Epoch, Voters: n.knownVoters.Voters, OutgoingVoters: n.knownVoters.OutgoingVoters}
	if s.rng.IntN(4) == 0 {
		var step register.Step
		op.quorumRead, step = register.NewQuorumRead(voters)
		s.carryOut(op, step)
		return
	}
	change := s.drawChange(op)
	n.highestBallot = max(n.highestBallot, n.acceptor.State().Promised.Number) + 1
	proposer := fmt.Sprintf("%s/%d", n.address, n.incarnation)
	if s.faults.reusesBallots {
		n.highestBallot, proposer = uint64(op.id%7+1), n.address
	}
	op.ballot = register.Ballot{Number: n.highestBallot, Proposer: proposer}
	var step register.Step
	op.proposal, step = register.NewProposal(op.ballot, voters, change)
	op.proposal.SetKnownChosen(n.knownChosen)
	s.carryOut(op, step)
}

func (s *simulation) drawChange(op *operation) register.Change {
	n := op.node
	switch s.rng.IntN(6) {
	case 0:
		return register.NoChange
	case 1:
		return s.voterChange(n)
	default:
		op.isChange, op.base = true, s.highestVersion
		op.digest = register.DigestOf([]byte(fmt.Sprint(op.id)))
		change := register.SetConfig(op.base+1, op.base, op.digest)
		if !s.faults.forgetsAcceptedChanges {
			return change
		}
		return func(current register.Value) (register.Value, bool) {
			next, ok := change(current)
			next.AcceptedChanges = next.AcceptedChanges[max(len(next.AcceptedChanges)-1, 0):]
			return next, ok
		}
	}
}

func (s *simulation) voterChange(n *replica) register.Change {
	if len(n.knownVoters.OutgoingVoters) > 0 {
		return register.CompleteReconfiguration
	}
	var candidates []register.Candidate
	for _, other := range s.nodes {
		voter := register.Voter{ID: other.durable.ID, Address: other.address}
		candidates = append(candidates, register.Candidate{Voter: voter, Alive: other.isUp, CaughtUp: s.isCaughtUp(other)})
	}
	next, changed := register.NextVoters(n.knownVoters.Voters, candidates, len(s.nodes))
	if !changed {
		return register.NoChange
	}
	return register.BeginReconfiguration(n.knownVoters.Epoch, next)
}

// isCaughtUp reports whether a replica's disk holds the newest value that any call has returned.
func (s *simulation) isCaughtUp(n *replica) bool {
	return n.durable.Accepted.Compare(s.newestChosenAt) >= 0
}

// learn has a random replica learn the newest value that a call has returned, as the host of a lagging replica does.
func (s *simulation) learn() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if !n.isUp || s.newestChosenAt == (register.Ballot{}) {
		return
	}
	if next, _ := n.acceptor.HandleLearn(s.newestChosenAt, s.newestChosen.Clone(), true); next != nil {
		n.acceptor.MarkPersisted(*next)
		n.durable = *next
	}
}

// finishCall checks and records the result of a call.
func (s *simulation) finishCall(op *operation) {
	n := op.node
	n.op = nil
	var value register.Value
	var outcome register.Outcome
	var at register.Ballot
	if op.quorumRead != nil {
		value, outcome, at = op.quorumRead.Value, op.quorumRead.Outcome, op.quorumRead.ChosenAt
	} else {
		value, outcome, at = op.proposal.Value, op.proposal.Outcome, op.proposal.ChosenAt
		n.highestBallot = max(n.highestBallot, op.proposal.HighestPromised.Number)
	}
	if isValueChosen(outcome) {
		n.knownChosen = at
		if at.Compare(s.newestChosenAt) > 0 {
			s.newestChosenAt, s.newestChosen = at, value
		}
	}
	if outcome != register.Chosen && outcome != register.Rejected {
		s.recordUnknown(op)
		return
	}
	s.record(op, value, outcome)
	s.finishedCalls++
	if value.Epoch > n.knownVoters.Epoch {
		n.knownVoters = value
	}
	if value.Epoch > s.newestEpoch.Epoch {
		s.newestEpoch = value
	}
	s.checkResult(op, value)
	if op.isChange && (outcome == register.Chosen || value.CheckConfig(op.base+1, op.base, op.digest) == register.ConfigDuplicate) {
		s.acknowledge(op)
	}
	s.highestVersion = max(s.highestVersion, value.ConfigVersion)
}

// isValueChosen reports whether an outcome says that the value is chosen.
func isValueChosen(outcome register.Outcome) bool {
	return outcome == register.Chosen || outcome == register.Rejected || outcome == register.Confirmed
}

// checkResult checks that a returned value contains everything that was acknowledged before the call started.
func (s *simulation) checkResult(op *operation, value register.Value) {
	if value.ConfigVersion < op.highestVersionBefore {
		s.reportViolation("call %d returns version %d after %d was seen", op.id, value.ConfigVersion, op.highestVersionBefore)
	}
	for _, digest := range op.acknowledgedBefore {
		if !slices.Contains(value.AcceptedChanges, digest) {
			s.reportViolation("call %d returns a value without an acknowledged change", op.id)
		}
	}
}

func (s *simulation) acknowledge(op *operation) {
	if other, taken := s.acknowledgedByBase[op.base]; taken && other != op.digest {
		s.reportViolation("two changes on top of version %d are acknowledged", op.base)
	}
	s.acknowledgedByBase[op.base] = op.digest
	if !slices.Contains(s.acknowledged, op.digest) {
		s.acknowledged = append(s.acknowledged, op.digest)
	}
}

// loseReply reports a lost message to a random call.
func (s *simulation) loseReply() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if n.op == nil {
		return
	}
	voters := n.knownVoters.AllVoters()
	voter := voters[s.rng.IntN(len(voters))]
	if n.op.quorumRead != nil {
		s.carryOut(n.op, n.op.quorumRead.HandleNoReply())
		return
	}
	s.carryOut(n.op, n.op.proposal.HandleNoReply(voter, s.rng.IntN(2) == 0))
}

func (s *simulation) abandonCall() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if n.op != nil {
		if n.op.proposal != nil {
			n.op.proposal.Abandon()
		}
		s.recordUnknown(n.op)
		n.op = nil
	}
}

func (s *simulation) crash() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	s.recordUnknown(n.op)
	n.isUp, n.op = false, nil
}

func (s *simulation) restart() {
	for _, n := range s.nodes {
		if n.isUp {
			continue
		}
		n.isUp = true
		n.incarnation++
		n.highestBallot, n.knownChosen = 0, register.Ballot{}
		n.acceptor = register.NewAcceptor(n.durable)
		n.knownVoters = s.votersAtRestart(n)
		return
	}
}

// votersAtRestart returns the newest voters on a replica's disk or known to a live replica.
func (s *simulation) votersAtRestart(n *replica) register.Value {
	known := n.durable.Value
	for _, other := range s.nodes {
		if other.isUp && other.knownVoters.Epoch > known.Epoch {
			known = other.knownVoters
		}
	}
	return known
}

// wipeDisk loses a random replica's disk, unless a voter's disk is lost already: only one may be lost at a time.
func (s *simulation) wipeDisk() {
	if len(s.newestEpoch.OutgoingVoters) > 0 {
		return
	}
	for _, voter := range s.newestEpoch.Voters {
		if s.replicaAt(voter.Address).durable.ID != voter.ID {
			return
		}
	}
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	id := fmt.Sprintf("%s#%d", n.address, s.nextOp)
	s.nextOp++
	if s.faults.keepsIdentityAfterWipe {
		id = n.durable.ID
	}
	value := n.knownVoters
	s.recordUnknown(n.op)
	n.isUp, n.op = false, nil
	n.durable = register.State{ID: id}
	if s.faults.keepsIdentityAfterWipe {
		n.durable.Value = register.Value{Epoch: value.Epoch, Voters: value.Voters, OutgoingVoters: value.OutgoingVoters}
	}
}

// simulate executes a number of random steps and stops at the first violation.
func simulate(seed uint64, nodes, steps int, f hostFaults) *simulation {
	s := newSimulation(seed, nodes, f)
	for range steps {
		s.step()
		if s.violation != "" {
			break
		}
	}
	for _, n := range s.nodes {
		s.recordUnknown(n.op)
	}
	return s
}
