package gossip

import (
	"context"
	"time"

	"hazelwheel/internal/message"
	"hazelwheel/internal/routeconfig"
)

const (
	// pushFanout is the number of processes to which an update is sent. Each of them that lacked something does the same.
	pushFanout = 3
	// fetchTimeout is how long a process waits for a configuration or endpoints from one peer before it asks another.
	fetchTimeout = 350 * time.Millisecond
	// readingTolerance is the minimum difference in age at which a reading of the endpoints replaces an older one.
	readingTolerance = 20 * time.Millisecond
)

// fetchSlot keeps a process from fetching the same large item from several peers at once. Node.mu guards it.
type fetchSlot struct {
	busyUntil time.Time
}

// tryAcquire reports whether the item may be requested now, and if so reserves the slot for fetchTimeout.
func (s *fetchSlot) tryAcquire() bool {
	if time.Now().Before(s.busyUntil) {
		return false
	}
	s.busyUntil = time.Now().Add(fetchTimeout)
	return true
}

// release frees the slot.
func (s *fetchSlot) release() { s.busyUntil = time.Time{} }

// exchange makes an exchange with a peer, and sends the peer what it requests. A failed exchange is not retried: the next one
// makes up for it.
func (n *Node) exchange(ctx context.Context, address string) {
	request := n.buildExchange()
	n.mu.Lock()
	request.NeedsTable, request.NeedsList = n.tableFetch.tryAcquire(), n.endpointsFetch.tryAcquire()
	n.mu.Unlock()
	reply, err := n.call(ctx, address, request)
	n.mu.Lock()
	if request.NeedsTable {
		n.tableFetch.release()
	}
	if request.NeedsList {
		n.endpointsFetch.release()
	}
	n.mu.Unlock()
	if err != nil {
		n.log.WithField("peer", address).WithError(err).Debug("exchange failed")
		return
	}
	n.merge(reply)
	n.sendRequested(ctx, address, reply)
}

// sendRequested sends a peer what its reply requests.
func (n *Node) sendRequested(ctx context.Context, address string, reply *message.Gossip) {
	if !reply.NeedsTable && !reply.NeedsList {
		return
	}
	update := n.buildUpdate()
	n.attachRequested(update, reply.NeedsTable, reply.NeedsList)
	if answer, err := n.call(ctx, address, update); err == nil {
		n.merge(answer)
	}
}

// attachRequested attaches the configuration or the endpoints to a message that names their versions.
func (n *Node) attachRequested(out *message.Gossip, withTable, withEndpoints bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if withTable {
		out.Table = n.state.Table
	}
	if withEndpoints && out.List.Digest == n.state.Endpoints.Digest {
		out.List.Data = n.state.Endpoints.Data
	}
}

// call sends a message to a peer and records its reply.
func (n *Node) call(ctx context.Context, address string, request *message.Gossip) (*message.Gossip, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &message.Gossip{}
	if err := n.client.Call(ctx, address, gossipPath, request, reply); err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.reachability.record(address, time.Now())
	n.mu.Unlock()
	return reply, nil
}

// pushUpdate sends an update to a few processes. Those that lack something request it and push an update themselves.
func (n *Node) pushUpdate() { n.pushMessage(n.buildUpdate()) }

// pushMessage sends a message to pushFanout processes, without waiting. It doesn't retry: the next exchanges make up for
// failures.
func (n *Node) pushMessage(request *message.Gossip) {
	n.mu.Lock()
	addresses := n.view.PickFanout(n.now(), pushFanout)
	n.mu.Unlock()
	for _, address := range addresses {
		go func() {
			if reply, err := n.call(context.Background(), address, request); err == nil {
				n.merge(reply)
				n.sendRequested(context.Background(), address, reply)
			}
		}()
	}
}

// buildExchange builds the message of an exchange: an update with records, heartbeats and loads.
func (n *Node) buildExchange() *message.Gossip {
	out := n.buildUpdate()
	n.mu.Lock()
	defer n.mu.Unlock()
	out.UpdatesOnly = false
	out.Records, out.Heartbeats, out.Loads = n.view.SampleRecords(n.now()), n.view.SampleHeartbeats(n.now()), n.loads.recent()
	return out
}

// buildUpdate builds an update: voters, grants and stage plan, and the versions of configuration and endpoints.
func (n *Node) buildUpdate() *message.Gossip {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := &message.Gossip{FormatVersion: message.FormatVersion, LatestForm: routeconfig.LatestForm, UpdatesOnly: true, Voters: votersOnly(n.state.Voters), Grants: n.state.Grants, Plan: n.state.Plan}
	if n.state.Table != nil {
		out.ConfigVersion, out.ConfigForm = n.state.Table.Version, n.state.Table.Form
	}
	if !n.state.Endpoints.ReadAt.IsZero() {
		age := float64(time.Since(n.state.Endpoints.ReadAt)) / float64(time.Millisecond)
		out.List = message.InstanceList{Digest: n.state.Endpoints.Digest, AgeMs: age}
	}
	return out
}

// handleGossip handles a message of a peer. The reply is of the same kind, carries what the peer requests and requests what
// this process lacks.
func (n *Node) handleGossip(_ context.Context, request *message.Gossip) (*message.Gossip, error) {
	if request.FormatVersion != message.FormatVersion {
		return nil, message.Error.New("format %d, want %d", request.FormatVersion, message.FormatVersion)
	}
	needsTable, needsEndpoints := n.outdated(request)
	n.merge(request)
	reply := n.buildUpdate()
	if !request.UpdatesOnly {
		reply = n.buildExchange()
	}
	hasNewerTable := request.CanUseTable(reply.ConfigVersion, reply.ConfigForm)
	hasOtherEndpoints := reply.List.Digest != request.List.Digest && !needsEndpoints
	n.attachRequested(reply, request.NeedsTable && hasNewerTable, request.NeedsList && hasOtherEndpoints)
	n.mu.Lock()
	defer n.mu.Unlock()
	reply.NeedsTable = needsTable && request.Table == nil && n.tableFetch.tryAcquire()
	reply.NeedsList = needsEndpoints && request.List.Data == nil && n.endpointsFetch.tryAcquire()
	return reply, nil
}

// outdated reports whether the local configuration and the local endpoints are older than those that a message names.
func (n *Node) outdated(request *message.Gossip) (hasOldTable, hasOldEndpoints bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	hasOldTable = request.ConfigVersion > 0 && (n.state.Table == nil ||
		message.IsNewerTable(request.ConfigVersion, request.ConfigForm, n.state.Table.Version, n.state.Table.Form))
	return hasOldTable, n.isYounger(request.List) && request.List.Digest != n.state.Endpoints.Digest
}

// isYounger reports whether a peer's reading of the endpoints is younger than the local one. Danger: the time of a reading is
// derived from its age when it was sent, and so is late by the delay of the network. readingTolerance keeps an older reading
// from replacing a younger one. The caller holds mu.
func (n *Node) isYounger(list message.InstanceList) bool {
	if list.Digest == 0 {
		return false
	}
	return n.state.Endpoints.ReadAt.IsZero() || readingTime(list).After(n.state.Endpoints.ReadAt.Add(readingTolerance))
}

// readingTime returns the time at which a list that was just received was read.
func readingTime(list message.InstanceList) time.Time {
	return time.Now().Add(-time.Duration(list.AgeMs * float64(time.Millisecond)))
}

// merge adopts everything in a peer's message that is newer than the local state.
func (n *Node) merge(received *message.Gossip) {
	n.mu.Lock()
	n.view.MergeRecords(n.now(), received.Records)
	n.view.MergeHeartbeats(n.now(), received.Heartbeats)
	n.loads.merge(received.Loads)
	n.updateRank()
	if received.Voters.Epoch > n.state.Voters.Epoch {
		n.state.Voters = votersOnly(received.Voters)
	}
	hasNewGrant := n.mergeGrants(received.Grants)
	if received.Plan.IsNewerThan(&n.state.Plan) {
		n.state.Plan = received.Plan
		n.notifyChanged()
	}
	hasYounger := n.isYounger(received.List)
	if hasYounger && received.List.Digest == n.state.Endpoints.Digest {
		n.state.Endpoints.ReadAt = readingTime(received.List)
		hasYounger = false
	}
	n.mu.Unlock()
	if hasNewGrant {
		n.pushUpdate() // until peers know the grant, they send requests to the previous holder of the role
	}
	if received.Table != nil {
		n.mergeTable(received.Table)
	}
	if hasYounger && received.List.Data != nil {
		n.mergeEndpoints(EndpointList{Digest: received.List.Digest, Data: received.List.Data, ReadAt: readingTime(received.List)})
	}
}
