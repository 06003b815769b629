package control

import (
	"context"
	"slices"
	"time"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
)

// configBytes returns the bytes of a value's configuration, from the local replica or else from the value's voters.
func (p *proposer) configBytes(ctx context.Context, value register.Value) ([]byte, error) {
	if data := p.replica.configBytes(value.ConfigDigest); data != nil {
		return data, nil
	}
	sources := slices.DeleteFunc(value.AllVoters(), func(v register.Voter) bool { return v.Address == p.self.Address })
	return p.fetcher.fetch(ctx, value.ConfigDigest, sources, p.requestChunk)
}

// requestChunk is the chunkRequester that calls another control process.
func (p *proposer) requestChunk(ctx context.Context, from register.Voter, request *message.ConfigRequest) (*message.ConfigReply, error) {
	reply := &message.ConfigReply{}
	return reply, p.client.Call(ctx, from.Address, configPath, request, reply)
}

// voterReply is the outcome of one call to a voter: prepareReply, acceptReply or err is set.
type voterReply struct {
	from         register.Voter
	isAccept     bool // the request was an accept request, also if err is set
	prepareReply *register.PrepareReply
	acceptReply  *register.AcceptReply
	err          error
}

// callVoter sends a request to a voter and returns its reply. If the voter is this process, it calls local instead, without a timeout.
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

// accept sends an accept request to a voter. Its timeout allows for the transfer of the attached configuration.
func (p *proposer) accept(ctx context.Context, voter register.Voter, request *register.AcceptRequest) voterReply {
	reply, err := callVoter(ctx, p, voter, acceptPath, voteTimeout+p.transferTime(len(request.ConfigData)), request, p.replica.handleAccept)
	return voterReply{from: voter, isAccept: true, acceptReply: reply, err: err}
}

// transferTime returns the maximum time to send a number of bytes to all voters at once over the local link, 0 if the link's capacity is
// unknown.
func (p *proposer) transferTime(size int) time.Duration {
	if p.linkMbps <= 0 {
		return 0
	}
	return nodeconfig.FromSeconds(float64(size) * 8 * transferMargin / (p.linkMbps * 1e6))
}
