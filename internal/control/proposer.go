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
func (r *proposer) knownVoters() (register.Value, error) {
	known := r.gossipVoters()
	if stored := r.replica.state().Value; stored.Epoch >= known.Epoch {
		known = stored
	}
	if len(known.Voters) == 0 {
		return register.Value{}, errUnknownVoters
	}
	return register.Value{Epoch: known.Epoch, Voters: known.Voters, OutgoingVoters: known.OutgoingVoters}, nil
}

// Change makes a change in as many rounds as it takes. Once an error is returned nothing is known of the change: it may hold.
// config holds the bytes of the configuration that the change brings, if it brings one.
func (r *proposer) propose(ctx context.Context, change register.Change, config []byte) (chosenValue, register.Outcome, error) {
	var backoff register.Backoff
	pause := time.Duration(0)
	for {
		if err := sleep(ctx, pause); err != nil {
			return chosenValue{}, register.Abandoned, err
		}
		startedAt := time.Now()
		value, outcome, err := r.runRound(ctx, change, config)
		if err != nil {
			return chosenValue{}, register.Abandoned, err
		}
		if outcome == register.Chosen || outcome == register.Rejected {
			r.onChosen(value)
			return value, outcome, nil
		}
		if outcome == register.Confirmed {
			r.onChosen(value)
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
func (r *proposer) nextBallot() register.Ballot {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.highestRound = max(r.highestRound, r.replica.state().Promised.Number) + 1
	return register.Ballot{Number: r.highestRound, Proposer: r.proposerID}
}

func (r *proposer) observeRound(ballot register.Ballot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.highestRound = max(r.highestRound, ballot.Number)
}

// trust notes a ballot at which a value was found chosen.
func (r *proposer) recordChosen(at register.Ballot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Compare(r.lastChosen) > 0 {
		r.lastChosen = at
	}
}

func (r *proposer) lastChosenBallot() register.Ballot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastChosen
}

func (r *proposer) runRound(ctx context.Context, change register.Change, config []byte) (chosenValue, register.Outcome, error) {
	known, err := r.knownVoters()
	if err != nil {
		return chosenValue{}, register.Abandoned, err
	}
	round, step := register.NewProposal(r.nextBallot(), known, change)
	round.SetKnownChosen(r.lastChosenBallot())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan voterReply)
	for !step.Done {
		r.sendStep(ctx, round, step, config, replies)
		select {
		case <-ctx.Done():
			return chosenValue{}, register.Abandoned, ctx.Err()
		case reply := <-replies:
			step = applyReply(round, reply)
		}
	}
	r.observeRound(round.HighestPromised)
	if round.ChosenAt != (register.Ballot{}) && round.Outcome != register.Undecided {
		r.recordChosen(round.ChosenAt)
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

func (r *proposer) sendStep(ctx context.Context, round *register.Proposal, step register.Step, config []byte, replies chan<- voterReply) {
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
		send(func() voterReply { return r.prepare(ctx, voter, request) })
	}
	for _, voter := range step.SendAccept {
		request := &register.AcceptRequest{To: voter.ID, Ballot: round.Ballot, Value: round.Value, ConfigData: config}
		if len(config) > maxInlineConfigBytes {
			// A voter that has the bytes from a round before doesn't need them again; one that lacks them asks.
			request.ConfigData = nil
		}
		send(func() voterReply { return r.accept(ctx, voter, request) })
	}
	for _, voter := range step.SendConfig {
		request := &register.AcceptRequest{To: voter.ID, Ballot: round.Ballot, Value: round.Value}
		send(func() voterReply {
			data, err := config, error(nil)
			if register.DigestOf(data) != request.Value.ConfigDigest {
				data, err = r.configBytes(ctx, request.Value)
			}
			if err != nil {
				return voterReply{from: voter, isAccept: true, err: err}
			}
			request.ConfigData = data
			return r.accept(ctx, voter, request)
		})
	}
}

// Read returns the value that holds. Where voters differ it makes them agree first.
func (r *proposer) read(ctx context.Context) (chosenValue, error) {
	known, err := r.knownVoters()
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
				promise, err := callVoter(readCtx, r, voter, readPath, voteTimeout, &register.ReadRequest{To: voter.ID}, r.replica.handleRead)
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
		r.recordChosen(value.Ballot)
		r.onChosen(value)
		return value, nil
	}
	value, _, err := r.propose(ctx, register.NoChange, nil)
	return value, err
}
