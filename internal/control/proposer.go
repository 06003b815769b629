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

// The paths of the register between control processes.
const (
	preparePath = "/fleet/v1/prepare"
	acceptPath  = "/fleet/v1/accept"
	readPath    = "/fleet/v1/read"
	configPath  = "/fleet/v1/config"
	learnPath   = "/fleet/v1/learn"
	// holdingsPath tells people what a process holds, as JSON.
	statusPath = "/fleet/v1/holdings"
)

const (
	// voteWithin bounds the wait for one voter's answer.
	voteTimeout = 900 * time.Millisecond
	// largeConfig is the size in bytes from which on a configuration goes only to voters that ask for it.
	maxInlineConfigBytes = 64 << 10
	// shareOfLink is how many times as long bytes may take as they would alone on the link: they go to several voters at once.
	transferMargin = 6
)

// errNoVoters is returned while nobody has told who votes.
var errUnknownVoters = errors.New("the voters are not known yet")

// registrar changes and reads the register.
type proposer struct {
	self         register.Voter
	proposerID   string // proposer of this life's ballots: no other life has the same
	replica      *replica
	client       *transport.Client
	fetcher      *configFetcher // of configurations that are fetched
	linkMbps     float64
	gossipVoters func() register.Value // of the newest epoch heard of
	onChosen     func(chosenValue)     // told of each value that holds

	mu           sync.Mutex
	highestRound uint64          // the highest heard of
	lastChosen   register.Ballot // the highest at which this life has found a value chosen
}

// found is a value that holds, with the ballot at which it was chosen.
type chosenValue struct {
	register.Value
	Ballot register.Ballot
}

// known returns the voters to begin with: those of the newest epoch that the own disk or others tell.
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

// Change makes a change in as many rounds as it takes. Once an error is returned nothing is known of the change: it may hold.
// config holds the bytes of the configuration that the change brings, if it brings one.
func (p *proposer) propose(ctx context.Context, change register.Change, config []byte) (chosenValue, register.Outcome, error) {
	var backoff register.Backoff
	pause := time.Duration(0)
	for {
		if err := sleep(ctx, pause); err != nil {
			return chosenValue{}, register.Abandoned, err
		}
		startedAt := time.Now()
		value, outcome, err := p.runRound(ctx, change, config)
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

// nextBallot returns a ballot above all that were heard of.
func (p *proposer) nextBallot() register.Ballot {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.highestRound = max(p.highestRound, p.replica.state().Promised.Number) + 1
	return register.Ballot{Number: p.highestRound, Proposer: p.proposerID}
}

func (p *proposer) observeRound(ballot register.Ballot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.highestRound = max(p.highestRound, ballot.Number)
}

// trust notes a ballot at which a value was found chosen.
func (p *proposer) recordChosen(at register.Ballot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.Compare(p.lastChosen) > 0 {
		p.lastChosen = at
	}
}

func (p *proposer) lastChosenBallot() register.Ballot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastChosen
}

func (p *proposer) runRound(ctx context.Context, change register.Change, config []byte) (chosenValue, register.Outcome, error) {
	known, err := p.knownVoters()
	if err != nil {
		return chosenValue{}, register.Abandoned, err
	}
	round, step := register.NewProposal(p.nextBallot(), known, change)
	round.SetKnownChosen(p.lastChosenBallot())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan voterReply)
	for !step.Done {
		p.sendStep(ctx, round, step, config, replies)
		select {
		case <-ctx.Done():
			return chosenValue{}, register.Abandoned, ctx.Err()
		case reply := <-replies:
			step = applyReply(round, reply)
		}
	}
	p.observeRound(round.HighestPromised)
	if round.ChosenAt != (register.Ballot{}) && round.Outcome != register.Undecided {
		p.recordChosen(round.ChosenAt)
	}
	return chosenValue{round.Value, round.ChosenAt}, round.Outcome, nil
}

// feed hands what came of a call to the round.
func applyReply(round *register.Proposal, reply voterReply) register.Step {
	switch {
	case reply.err != nil:
		return round.HandleNoReply(reply.from, reply.isAccept)
	case reply.promise != nil:
		return round.HandlePrepareReply(reply.from, *reply.promise)
	default:
		return round.HandleAcceptReply(reply.from, *reply.accepted)
	}
}

func (p *proposer) sendStep(ctx context.Context, round *register.Proposal, step register.Step, config []byte, replies chan<- voterReply) {
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
		request := &register.PrepareRequest{To: voter.ID, Ballot: round.Ballot}
		send(func() voterReply { return p.prepare(ctx, voter, request) })
	}
	for _, voter := range step.SendAccept {
		request := &register.AcceptRequest{To: voter.ID, Ballot: round.Ballot, Value: round.Value, ConfigData: config}
		if len(config) > maxInlineConfigBytes {
			// A voter that has the bytes from a round before doesn't need them again; one that lacks them asks.
			request.ConfigData = nil
		}
		send(func() voterReply { return p.accept(ctx, voter, request) })
	}
	for _, voter := range step.SendConfig {
		request := &register.AcceptRequest{To: voter.ID, Ballot: round.Ballot, Value: round.Value}
		send(func() voterReply {
			data, err := config, error(nil)
			if register.DigestOf(data) != request.Value.ConfigDigest {
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

// Read returns the value that holds. Where voters differ it makes them agree first.
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
				promise, err := callVoter(readCtx, p, voter, readPath, voteTimeout, &register.ReadRequest{To: voter.ID}, p.replica.handleRead)
				select {
				case replies <- voterReply{from: voter, promise: promise, err: err}:
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
				step = reading.HandleReadReply(reply.from, *reply.promise)
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
