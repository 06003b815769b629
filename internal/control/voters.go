package control

import (
	"context"
	"slices"
	"time"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
)

// configBytes returns the bytes of a value's configuration, from the own replica or else from the value's voters.
func (p *proposer) configBytes(ctx context.Context, value register.Value) ([]byte, error) {
	if data := p.replica.configBytes(value.ConfigDigest); data != nil {
		return data, nil
	}
	sources := slices.DeleteFunc(value.AllVoters(), func(v register.Voter) bool { return v.Address == p.self.Address })
	return p.fetcher.fetch(ctx, value.ConfigDigest, sources, p.requestChunk)
}

// requestChunk is the chunkRequester of the network.
func (p *proposer) requestChunk(ctx context.Context, from register.Voter, request *message.ConfigRequest) (*message.ConfigReply, error) {
	reply := &message.ConfigReply{}
	return reply, p.client.Call(ctx, from.Address, configPath, request, reply)
}

// voterReply is the outcome of one call to a voter: prepareReply, acceptReply or err is set.
type voterReply struct {
	from         register.Voter
	isAccept     bool // the request was an accept, also where it failed
	prepareReply *register.PrepareReply
	acceptReply  *register.AcceptReply
	err          error
}

// callVoter sends a request to a voter and returns its reply. Where the voter is this process it calls local instead, without a time-out.
func callVoter[Request, Reply any](ctx context.Context, p *proposer, voter register.Voter, path string, timeout time.Duration, request *Request,
	local func(context.Context, *Request) (*Reply, error)) (*Reply, error) {
	if voter.Address == p.self.Address {
		return local(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply := new(Reply)
	return reply, p.client.Call(ctx, voter.Address, path, request, reply)
}

// prepare sends a prepare request to a voter.
func (p *proposer) prepare(ctx context.Context, voter register.Voter, request *register.PrepareRequest) voterReply {
	reply, err := callVoter(ctx, p, voter, preparePath, voteTimeout, request, p.replica.handlePrepare)
	return voterReply{from: voter, prepareReply: reply, err: err}
}

// accept sends an accept request to a voter, and allows for the transfer of the configuration with it.
func (p *proposer) accept(ctx context.Context, voter register.Voter, request *register.AcceptRequest) voterReply {
	reply, err := callVoter(ctx, p, voter, acceptPath, voteTimeout+p.transferTime(len(request.ConfigData)), request, p.replica.handleAccept)
	return voterReply{from: voter, isAccept: true, acceptReply: reply, err: err}
}

// transferTime returns what a number of bytes may take on the own link while they go to all voters at once, 0 where the link is unknown.
func (p *proposer) transferTime(size int) time.Duration {
	if p.linkMbps <= 0 {
		return 0
	}
	return nodeconfig.FromSeconds(float64(size) * 8 * transferMargin / (p.linkMbps * 1e6))
}
