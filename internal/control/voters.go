package control

import (
	"context"
	"slices"
	"time"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
)

// Config returns the bytes of a value's configuration, from other voters where they aren't here.
func (r *proposer) configBytes(ctx context.Context, value register.Value) ([]byte, error) {
	if data := r.replica.configBytes(value.ConfigDigest); data != nil {
		return data, nil
	}
	sources := slices.DeleteFunc(value.AllVoters(), func(v register.Voter) bool { return v.Address == r.self.Address })
	return r.fetcher.fetch(ctx, value.ConfigDigest, sources, func(ctx context.Context, from register.Voter, request *message.ConfigRequest) (*message.ConfigReply, error) {
		reply := &message.ConfigReply{}
		return reply, r.client.Call(ctx, from.Address, configPath, request, reply)
	})
}

// answer is what came of one call to a voter.
type voterReply struct {
	from     register.Voter
	isAccept bool
	promise  *register.PrepareReply
	accepted *register.AcceptReply
	err      error
}

// call asks a voter, the own replica without the network.
func callVoter[Request, Reply any](ctx context.Context, r *proposer, voter register.Voter, path string, timeout time.Duration, request *Request,
	local func(context.Context, *Request) (*Reply, error)) (*Reply, error) {
	if voter.Address == r.self.Address {
		return local(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply := new(Reply)
	return reply, r.client.Call(ctx, voter.Address, path, request, reply)
}

func (r *proposer) prepare(ctx context.Context, voter register.Voter, request *register.PrepareRequest) voterReply {
	promise, err := callVoter(ctx, r, voter, preparePath, voteTimeout, request, r.replica.handlePrepare)
	return voterReply{from: voter, promise: promise, err: err}
}

func (r *proposer) accept(ctx context.Context, voter register.Voter, request *register.AcceptRequest) voterReply {
	accepted, err := callVoter(ctx, r, voter, acceptPath, voteTimeout+r.transferTime(len(request.ConfigData)), request, r.replica.handleAccept)
	return voterReply{from: voter, isAccept: true, accepted: accepted, err: err}
}

// transfer is what bytes take on the own link while they go to all voters.
func (r *proposer) transferTime(size int) time.Duration {
	if r.linkMbps <= 0 {
		return 0
	}
	return nodeconfig.FromSeconds(float64(size) * 8 * transferMargin / (r.linkMbps * 1e6))
}
