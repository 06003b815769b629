package agent

import (
	"context"
	"time"

	"hazelwheel/internal/decide/tokenlease"
	"hazelwheel/internal/message"
)

// tokensTimeout bounds a call to a lessor. A proxy with waiting requests has asked the lessor of another share long before.
const tokensTimeout = 400 * time.Millisecond

// forwardTokens forwards a request of the proxy to the lessor of the share, by the newest grant that was received by gossip. The agent keeps no
// state for it: the proxy holds the leases, so they survive a restart of the agent.
func (a *Agent) forwardTokens(ctx context.Context, request *tokenlease.Request) (*tokenlease.Reply, error) {
	address := a.node.HolderAddress(tokenlease.Role(request.Share))
	if address == "" {
		return nil, Error.New("no process is known to hold the role %s", tokenlease.Role(request.Share))
	}
	ctx, cancel := context.WithTimeout(ctx, tokensTimeout)
	defer cancel()
	reply := &tokenlease.Reply{}
	if err := a.client.Call(ctx, address, message.TokensPath, request, reply); err != nil {
		return nil, Error.Wrap(err)
	}
	return reply, nil
}
