package gossip

import (
	"context"
	"time"

	"hazelwheel/internal/message"
)

// claim says that something large has been asked for, so that it is not taken from several peers at once.
type claim struct {
	until time.Time
}

// take returns whether nobody else has asked lately.
func (c *claim) take() bool {
	if time.Now().Before(c.until) {
		return false
	}
	c.until = time.Now().Add(claimFor)
	return true
}

func (c *claim) release() { c.until = time.Time{} }

// exchange tells a peer what is known here and takes what it knows; where it lacks news, they follow.
func (n *Node) exchange(ctx context.Context, address string) {
	request := n.digest()
	n.mu.Lock()
	request.WantsTable, request.WantsList = n.table.take(), n.list.take()
	n.mu.Unlock()
	reply, err := n.call(ctx, address, request)
	n.mu.Lock()
	if request.WantsTable {
		n.table.release()
	}
	if request.WantsList {
		n.list.release()
	}
	n.mu.Unlock()
	if err != nil {
		n.log.WithField("peer", address).WithError(err).Debug("exchange failed")
		return
	}
	n.absorb(reply)
	n.supply(ctx, address, reply)
}

// supply sends a peer what it asks for.
func (n *Node) supply(ctx context.Context, address string, reply *message.Gossip) {
	if !reply.WantsTable && !reply.WantsList {
		return
	}
	news := n.news()
	n.attach(news, reply.WantsTable, reply.WantsList)
	if answer, err := n.call(ctx, address, news); err == nil {
		n.absorb(answer)
	}
}

// attach adds the configuration or the list to a message.
func (n *Node) attach(out *message.Gossip, table, list bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if table {
		out.Table = n.facts.Table
	}
	if list && out.List.Digest == n.facts.Endpoints.Digest {
		out.List.Data = n.facts.Endpoints.Data
	}
}

func (n *Node) call(ctx context.Context, address string, request *message.Gossip) (*message.Gossip, error) {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	reply := &message.Gossip{}
	if err := n.client.Call(ctx, address, gossipPath, request, reply); err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.contact.answer(address, time.Now())
	n.mu.Unlock()
	return reply, nil
}

// push tells a few processes at once that there is news. Those that lack it ask for it and tell others.
func (n *Node) push() { n.pushOut(n.news()) }

func (n *Node) pushOut(request *message.Gossip) {
	n.mu.Lock()
	addresses := n.view.PickFanout(n.now(), pushFanout)
	n.mu.Unlock()
	for _, address := range addresses {
		go func() {
			if reply, err := n.call(context.Background(), address, request); err == nil {
				n.absorb(reply)
				n.supply(context.Background(), address, reply)
			}
		}()
	}
}

// digest builds a message that names what is known here, and tells of processes and servers.
func (n *Node) digest() *message.Gossip {
	out := n.news()
	n.mu.Lock()
	defer n.mu.Unlock()
	out.UpdatesOnly = false
	out.Records, out.Heartbeats, out.Loads = n.view.SampleRecords(n.now()), n.view.SampleHeartbeats(n.now()), n.loads.young()
	return out
}

// news builds a message that names what is known here and that all have to hold.
func (n *Node) news() *message.Gossip {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := &message.Gossip{FormatVersion: message.FormatVersion, UpdatesOnly: true, Voters: votersOf(n.facts.Voters), Grants: n.facts.Grants, Plan: n.facts.Plan}
	if n.facts.Table != nil {
		out.ConfigVersion = n.facts.Table.Version
	}
	if !n.facts.Endpoints.ReadAt.IsZero() {
		age := float64(time.Since(n.facts.Endpoints.ReadAt)) / float64(time.Millisecond)
		out.List = message.InstanceList{Digest: n.facts.Endpoints.Digest, AgeMs: age}
	}
	return out
}

// serveGossip answers an exchange with what the peer asks for, and asks for what is lacking here.
func (n *Node) serveGossip(_ context.Context, request *message.Gossip) (*message.Gossip, error) {
	if request.FormatVersion != message.FormatVersion {
		return nil, message.Error.New("format %d, want %d", request.FormatVersion, message.FormatVersion)
	}
	lacksTable, lacksList := n.lacks(request)
	n.absorb(request)
	reply := n.news()
	if !request.UpdatesOnly {
		reply = n.digest()
	}
	newerTable := reply.ConfigVersion > request.ConfigVersion
	newerList := reply.List.Digest != request.List.Digest && !lacksList
	n.attach(reply, request.WantsTable && newerTable, request.WantsList && newerList)
	n.mu.Lock()
	defer n.mu.Unlock()
	reply.WantsTable = lacksTable && request.Table == nil && n.table.take()
	reply.WantsList = lacksList && request.List.Data == nil && n.list.take()
	return reply, nil
}

// lacks tells whether the peer has a newer table or list than this process.
func (n *Node) lacks(request *message.Gossip) (table, list bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	table = request.ConfigVersion > 0 && (n.facts.Table == nil || request.ConfigVersion > n.facts.Table.Version)
	return table, n.younger(request.List) && request.List.Digest != n.facts.Endpoints.Digest
}

// younger tells whether a peer's reading of the list is younger than the own one. Danger: readings that were sent at the same
// moment differ by what the network took; freshBy keeps an older one from taking its place.
func (n *Node) younger(list message.InstanceList) bool {
	if list.Digest == 0 {
		return false
	}
	return n.facts.Endpoints.ReadAt.IsZero() || readAt(list).After(n.facts.Endpoints.ReadAt.Add(freshBy))
}

func readAt(list message.InstanceList) time.Time {
	return time.Now().Add(-time.Duration(list.AgeMs * float64(time.Millisecond)))
}

// absorb takes what a peer told.
func (n *Node) absorb(told *message.Gossip) {
	n.mu.Lock()
	n.view.MergeRecords(n.now(), told.Records)
	n.view.MergeHeartbeats(n.now(), told.Heartbeats)
	n.loads.merge(told.Loads)
	n.place()
	if told.Voters.Epoch > n.facts.Voters.Epoch {
		n.facts.Voters = votersOf(told.Voters)
	}
	n.mergeGrants(told.Grants)
	if told.Plan.IsNewerThan(&n.facts.Plan) {
		n.facts.Plan = told.Plan
		n.announce()
	}
	younger := n.younger(told.List)
	if younger && told.List.Digest == n.facts.Endpoints.Digest {
		n.facts.Endpoints.ReadAt = readAt(told.List)
		younger = false
	}
	n.mu.Unlock()
	if told.Table != nil {
		n.takeTable(told.Table)
	}
	if younger && told.List.Data != nil {
		n.takeList(EndpointList{Digest: told.List.Digest, Data: told.List.Data, ReadAt: readAt(told.List)})
	}
}
