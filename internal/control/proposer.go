package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/transport"
)

// The internal paths of a control process.
const (
	preparePath = "/fleet/v1/prepare"
	acceptPath  = "/fleet/v1/accept"
	readPath    = "/fleet/v1/read"
	configPath  = "/fleet/v1/config"
	learnPath   = "/fleet/v1/learn"
	// statusPath answers operators with a replicaStatus as JSON.
	statusPath = "/fleet/v1/holdings"
)

const (
	// voteTimeout bounds the wait for one voter's reply, not counting the transfer of a configuration.
	voteTimeout = 900 * time.Millisecond
	// refetchPause is the pause before the value is read again, after no voter had the bytes of its configuration.
	refetchPause = 20 * time.Millisecond
	// maxInlineConfigBytes is the largest configuration that is sent with each accept request. A larger one goes only to the voters that
	// reply that they lack it.
	maxInlineConfigBytes = 64 << 10
	// transferMargin multiplies the time that the bytes would take on an idle link, since they are sent to several voters at once.
	transferMargin = 6
)

// errUnknownVoters is returned until the set of voters is known, from the local disk or from gossip.
var errUnknownVoters = errors.New("the voters are not known yet")

// proposer changes and reads the register by rounds with the voters. Its methods are safe for concurrent use; each call runs rounds of
// its own.
type proposer struct {
	self         register.Voter
	proposerID   string // part of each ballot; drawn at random at each start of the process
	replica      *replica
	client       *transport.Client
	fetcher      *configFetcher
	linkMbps     float64                   // capacity of the local link, 0: unknown
	gossipVoters func() register.Value     // the newest set of voters that was received by gossip
	isReachable  func(register.Voter) bool // whether a voter has answered this process recently
	onChosen     func(chosenValue)         // called with each value that was found chosen, from any goroutine

	mu            sync.Mutex      // guards the fields below
	highestNumber uint64          // of the highest ballot that was observed
	lastChosen    register.Ballot // highest ballot at which this process has found a value chosen
}

// chosenValue is a value of the register that was chosen, with the ballot at which it was.
type chosenValue struct {
	register.Value
	Ballot register.Ballot
}

// knownVoters returns the set of voters of the newest known epoch, from the local disk or from gossip, in a value without other content. A
// round that finds a newer set continues with that one.
func (p *proposer) knownVoters() (register.Value, error) {
	known := p.gossipVoters()
	if stored := p.replica.state().Value; stored.Epoch >= known.Epoch {
		known = stored
	}
	if len(known.Voters) == 0 {
		return register.Value{}, errUnknownVoters
	}
	return register.Value{Epoch: known.Epoch, Voters: known.Voters, OutgoingVoters: known.OutgoingVoters}, nil
}

// propose runs rounds until the change is chosen or rejected, or the context ends. It returns the value that is chosen then, with the
// outcome Chosen if the change is part of it and Rejected if the change does not apply. config holds the bytes of the configuration that the
// change names, nil if it names none.
//
// Danger: after an error the outcome of the change is unknown, and it may still be chosen. A caller that retries needs a change that detects
// that it was applied already.
func (p *proposer) propose(ctx context.Context, change register.Change, config []byte) (chosenValue, register.Outcome, error) {
	var backoff register.Backoff
	pause := time.Duration(0)
	for {
		if err := sleep(ctx, pause); err != nil {
			return chosenValue{}, register.Abandoned, err
		}
		startedAt := time.Now()
		value, outcome, err := p.runProposal(ctx, change, config)
		if err != nil {
			return chosenValue{}, register.Abandoned, err
		}
		if outcome == register.Chosen || outcome == register.Rejected {
			p.onChosen(value)
			return value, outcome, nil
		}
		if outcome == register.Confirmed {
			p.onChosen(value)
			pause = 0
			continue
		}
		pause = nodeconfig.FromSeconds(backoff.NextDelay(time.Since(startedAt).Seconds(), rand.Float64()))
	}
}

// sleep returns nil after the pause, or the context's error as soon as the context ends.
func sleep(ctx context.Context, pause time.Duration) error {
	if pause == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// nextBallot returns a ballot above all that were observed.
func (p *proposer) nextBallot() register.Ballot {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.highestNumber = max(p.highestNumber, p.replica.state().Promised.Number) + 1
	return register.Ballot{Number: p.highestNumber, Proposer: p.proposerID}
}

// observeBallot records a ballot of another proposer, so that nextBallot returns a higher one.
func (p *proposer) observeBallot(ballot register.Ballot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.highestNumber = max(p.highestNumber, ballot.Number)
}

// recordChosen records a ballot at which this process has found a value chosen.
func (p *proposer) recordChosen(at register.Ballot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.Compare(p.lastChosen) > 0 {
		p.lastChosen = at
	}
}

// lastChosenBallot returns the highest ballot that was passed to recordChosen. Danger: the ballot that the local replica has accepted must not
// take its place: an accepted value need not be chosen, and a round that trusted it could change a set of voters that is not in force.
func (p *proposer) lastChosenBallot() register.Ballot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastChosen
}

// runProposal runs one round of prepare and accept. Its outcome may also be Undecided, if a higher ballot preempted it, or Confirmed:
// it has completed the value of an earlier round, and the change has to be proposed again.
func (p *proposer) runProposal(ctx context.Context, change register.Change, config []byte) (chosenValue, register.Outcome, error) {
	known, err := p.knownVoters()
	if err != nil {
		return chosenValue{}, register.Abandoned, err
	}
	proposal, step := register.NewProposal(p.nextBallot(), known, change)
	proposal.SetKnownChosen(p.lastChosenBallot())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan voterReply)
	for !step.Done {
		p.sendStep(ctx, proposal, step, config, replies)
		select {
		case <-ctx.Done():
			return chosenValue{}, register.Abandoned, ctx.Err()
		case reply := <-replies:
			if step = applyReply(proposal, reply); step.IsEmpty() {
				step = proposal.EndIfPreempted(p.isReachable)
			}
		}
	}
	p.observeBallot(proposal.HighestPromised)
	if proposal.ChosenAt != (register.Ballot{}) && proposal.Outcome != register.Undecided {
		p.recordChosen(proposal.ChosenAt)
	}
	return chosenValue{proposal.Value, proposal.ChosenAt}, proposal.Outcome, nil
}

// applyReply applies a voter's reply, or its failure, to the proposal and returns what to send next.
func applyReply(proposal *register.Proposal, reply voterReply) register.Step {
	switch {
	case reply.err != nil:
		return proposal.HandleNoReply(reply.from, reply.isAccept)
	case reply.prepareReply != nil:
		return proposal.HandlePrepareReply(reply.from, *reply.prepareReply)
	default:
		return proposal.HandleAcceptReply(reply.from, *reply.acceptReply)
	}
}

// sendStep sends a step's requests, each from a goroutine of its own that ends with the context. Their replies go to the channel.
func (p *proposer) sendStep(ctx context.Context, proposal *register.Proposal, step register.Step, config []byte, replies chan<- voterReply) {
	send := func(call func() voterReply) {
		go func() {
			reply := call()
			select {
			case replies <- reply:
			case <-ctx.Done():
			}
		}()
	}
	for _, voter := range step.SendPrepare {
		request := &register.PrepareRequest{To: voter.ID, Ballot: proposal.Ballot}
		send(func() voterReply { return p.prepare(ctx, voter, request) })
	}
	// Danger: the proposal may complete the value of another round, with another configuration than config. Voters reject bytes that don't
	// match the value's digest; so would they in each later round, and the operator would get no response.
	//
	// The digest is computed only if there is an accept request to send: prepare requests carry no configuration, and hashing a large one
	// takes a while.
	hasConfig := len(step.SendAccept)+len(step.SendConfig) > 0 && register.DigestOf(config) == proposal.Value.ConfigDigest
	for _, voter := range step.SendAccept {
		request := &register.AcceptRequest{To: voter.ID, Ballot: proposal.Ballot, Value: proposal.Value}
		if hasConfig && len(config) <= maxInlineConfigBytes {
			// A larger one is sent only to the voters that reply that they lack it.
			request.ConfigData = config
		}
		send(func() voterReply { return p.accept(ctx, voter, request) })
	}
	for _, voter := range step.SendConfig {
		request := &register.AcceptRequest{To: voter.ID, Ballot: proposal.Ballot, Value: proposal.Value}
		send(func() voterReply {
			data, err := config, error(nil)
			if !hasConfig {
				data, err = p.configBytes(ctx, request.Value)
			}
			if err != nil {
				return voterReply{from: voter, isAccept: true, err: err}
			}
			request.ConfigData = data
			return p.accept(ctx, voter, request)
		})
	}
}

// read returns the chosen value, from the replies of a majority. If the replies differ, it first runs a round that completes one of the
// values. An error means that no majority was reached in time, or that the voters are not known yet.
func (p *proposer) read(ctx context.Context) (chosenValue, error) {
	known, err := p.knownVoters()
	if err != nil {
		return chosenValue{}, err
	}
	reading, step := register.NewQuorumRead(known)
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan voterReply)
	for !step.Done {
		for _, voter := range step.SendPrepare {
			go func() {
				prepareReply, err := callVoter(readCtx, p, voter, readPath, voteTimeout, &register.ReadRequest{To: voter.ID}, p.replica.handleRead)
				select {
				case replies <- voterReply{from: voter, prepareReply: prepareReply, err: err}:
				case <-readCtx.Done():
				}
			}()
		}
		select {
		case <-ctx.Done():
			return chosenValue{}, ctx.Err()
		case reply := <-replies:
			if reply.err != nil {
				step = reading.HandleNoReply()
			} else {
				step = reading.HandleReadReply(reply.from, *reply.prepareReply)
			}
		}
	}
	if reading.Outcome == register.Chosen {
		value := chosenValue{reading.Value, reading.ChosenAt}
		p.recordChosen(value.Ballot)
		p.onChosen(value)
		return value, nil
	}
	value, _, err := p.propose(ctx, register.NoChange, nil)
	return value, err
}

// readConfig reads the chosen value, with the bytes of its configuration unless it has none or isNeeded returns false.
//
// Danger: voters evict the bytes of a configuration soon after it was superseded. If no voter has them, the value is read again; another
// attempt to get the same bytes would fail for as long as changes keep coming.
func (p *proposer) readConfig(ctx context.Context, isNeeded func(value register.Value) bool) (chosenValue, []byte, error) {
	for {
		value, err := p.read(ctx)
		if err != nil || value.ConfigVersion == 0 || !isNeeded(value.Value) {
			return value, nil, err
		}
		data, err := p.configBytes(ctx, value.Value)
		if err == nil {
			return value, data, nil
		}
		if sleep(ctx, refetchPause) != nil {
			return chosenValue{}, nil, err
		}
	}
}
