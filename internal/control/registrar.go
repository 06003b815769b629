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
	holdingsPath = "/fleet/v1/holdings"
)

const (
	// voteWithin bounds the wait for one voter's answer.
	voteWithin = 900 * time.Millisecond
	// largeConfig is the size in bytes from which on a configuration goes only to voters that ask for it.
	largeConfig = 64 << 10
	// shareOfLink is how many times as long bytes may take as they would alone on the link: they go to several voters at once.
	shareOfLink = 6
)

// errNoVoters is returned while nobody has told who votes.
var errNoVoters = errors.New("the voters are not known yet")

// registrar changes and reads the register.
type registrar struct {
	self     register.Voter
	ballots  string // proposer of this life's ballots: no other life has the same
	local    *replica
	client   *transport.Client
	copies   *copies // of configurations that are fetched
	linkMbps float64
	voters   func() register.Value // of the newest epoch heard of
	learned  func(found)           // told of each value that holds

	mu     sync.Mutex
	round  uint64          // the highest heard of
	proven register.Ballot // the highest at which this life has found a value chosen
}

// found is a value that holds, with the ballot at which it was chosen.
type found struct {
	register.Value
	At register.Ballot
}

// answer is what came of one call to a voter.
type answer struct {
	from      register.Voter
	accepting bool
	promise   *register.Promise
	accepted  *register.Accepted
	err       error
}

// known returns the voters to begin with: those of the newest epoch that the own disk or others tell.
func (r *registrar) known() (register.Value, error) {
	told := r.voters()
	if own := r.local.state().Value; own.Epoch >= told.Epoch {
		told = own
	}
	if len(told.Voters) == 0 {
		return register.Value{}, errNoVoters
	}
	return register.Value{Epoch: told.Epoch, Voters: told.Voters, Previous: told.Previous}, nil
}

// Change makes a change in as many rounds as it takes. Once an error is returned nothing is known of the change: it may hold.
// config holds the bytes of the configuration that the change brings, if it brings one.
func (r *registrar) Change(ctx context.Context, change register.Change, config []byte) (found, register.Outcome, error) {
	var backoff register.Backoff
	pause := time.Duration(0)
	for {
		if err := wait(ctx, pause); err != nil {
			return found{}, register.Abandoned, err
		}
		began := time.Now()
		value, outcome, err := r.tryRound(ctx, change, config)
		if err != nil {
			return found{}, register.Abandoned, err
		}
		if outcome == register.Chosen || outcome == register.Refused {
			r.learned(value)
			return value, outcome, nil
		}
		if outcome == register.Confirmed {
			r.learned(value)
			pause = 0
			continue
		}
		pause = nodeconfig.Seconds(backoff.Pause(time.Since(began).Seconds(), rand.Float64()))
	}
}

func wait(ctx context.Context, pause time.Duration) error {
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
func (r *registrar) nextBallot() register.Ballot {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.round = max(r.round, r.local.state().Promised.Round) + 1
	return register.Ballot{Round: r.round, Proposer: r.ballots}
}

func (r *registrar) heard(ballot register.Ballot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.round = max(r.round, ballot.Round)
}

// trust notes a ballot at which a value was found chosen.
func (r *registrar) trust(at register.Ballot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Compare(r.proven) > 0 {
		r.proven = at
	}
}

func (r *registrar) trusted() register.Ballot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proven
}

func (r *registrar) tryRound(ctx context.Context, change register.Change, config []byte) (found, register.Outcome, error) {
	known, err := r.known()
	if err != nil {
		return found{}, register.Abandoned, err
	}
	round, step := register.NewRound(r.nextBallot(), known, change)
	round.TrustChosen(r.trusted())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer)
	for !step.Done {
		r.carryOut(ctx, round, step, config, answers)
		select {
		case <-ctx.Done():
			return found{}, register.Abandoned, ctx.Err()
		case got := <-answers:
			step = feed(round, got)
		}
	}
	r.heard(round.Above)
	if round.At != (register.Ballot{}) && round.Outcome != register.Outvoted {
		r.trust(round.At)
	}
	return found{round.Value, round.At}, round.Outcome, nil
}

// feed hands what came of a call to the round.
func feed(round *register.Round, got answer) register.Step {
	switch {
	case got.err != nil:
		return round.Lost(got.from, got.accepting)
	case got.promise != nil:
		return round.Promised(got.from, *got.promise)
	default:
		return round.Accepted(got.from, *got.accepted)
	}
}

func (r *registrar) carryOut(ctx context.Context, round *register.Round, step register.Step, config []byte, answers chan<- answer) {
	send := func(call func() answer) {
		go func() {
			got := call()
			select {
			case answers <- got:
			case <-ctx.Done():
			}
		}()
	}
	for _, voter := range step.Prepare {
		request := &register.Prepare{To: voter.ID, Ballot: round.Ballot}
		send(func() answer { return r.callPrepare(ctx, voter, request) })
	}
	for _, voter := range step.Accept {
		request := &register.Accept{To: voter.ID, Ballot: round.Ballot, Value: round.Value, Config: config}
		if len(config) > largeConfig {
			// A voter that has the bytes from a round before doesn't need them again; one that lacks them asks.
			request.Config = nil
		}
		send(func() answer { return r.callAccept(ctx, voter, request) })
	}
	for _, voter := range step.Config {
		request := &register.Accept{To: voter.ID, Ballot: round.Ballot, Value: round.Value}
		send(func() answer {
			data, err := config, error(nil)
			if register.DigestOf(data) != request.Value.Config {
				data, err = r.Config(ctx, request.Value)
			}
			if err != nil {
				return answer{from: voter, accepting: true, err: err}
			}
			request.Config = data
			return r.callAccept(ctx, voter, request)
		})
	}
}

// call asks a voter, the own replica without the network.
func call[Request, Reply any](ctx context.Context, r *registrar, voter register.Voter, path string, within time.Duration, request *Request,
	local func(context.Context, *Request) (*Reply, error)) (*Reply, error) {
	if voter.Address == r.self.Address {
		return local(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	reply := new(Reply)
	return reply, r.client.Call(ctx, voter.Address, path, request, reply)
}

func (r *registrar) callPrepare(ctx context.Context, voter register.Voter, request *register.Prepare) answer {
	promise, err := call(ctx, r, voter, preparePath, voteWithin, request, r.local.prepare)
	return answer{from: voter, promise: promise, err: err}
}

func (r *registrar) callAccept(ctx context.Context, voter register.Voter, request *register.Accept) answer {
	accepted, err := call(ctx, r, voter, acceptPath, voteWithin+r.transfer(len(request.Config)), request, r.local.accept)
	return answer{from: voter, accepting: true, accepted: accepted, err: err}
}

// transfer is what bytes take on the own link while they go to all voters.
func (r *registrar) transfer(size int) time.Duration {
	if r.linkMbps <= 0 {
		return 0
	}
	return nodeconfig.Seconds(float64(size) * 8 * shareOfLink / (r.linkMbps * 1e6))
}

// Read returns the value that holds. Where voters differ it makes them agree first.
func (r *registrar) Read(ctx context.Context) (found, error) {
	known, err := r.known()
	if err != nil {
		return found{}, err
	}
	reading, step := register.NewReading(known)
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer)
	for !step.Done {
		for _, voter := range step.Prepare {
			go func() {
				promise, err := call(readCtx, r, voter, readPath, voteWithin, &register.Read{To: voter.ID}, r.local.read)
				select {
				case answers <- answer{from: voter, promise: promise, err: err}:
				case <-readCtx.Done():
				}
			}()
		}
		select {
		case <-ctx.Done():
			return found{}, ctx.Err()
		case got := <-answers:
			if got.err != nil {
				step = reading.Lost()
			} else {
				step = reading.Answered(got.from, *got.promise)
			}
		}
	}
	if reading.Outcome == register.Chosen {
		value := found{reading.Value, reading.At}
		r.trust(value.At)
		r.learned(value)
		return value, nil
	}
	value, _, err := r.Change(ctx, register.Keep, nil)
	return value, err
}
