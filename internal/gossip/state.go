package gossip

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
	"hazelwheel/internal/routeconfig"
)

// EndpointList is a reading of the platform's list of servers.
type EndpointList struct {
	Digest uint64    // of the servers, whatever their order
	Data   []byte    // the servers, packed by message.PackInstances
	ReadAt time.Time // when the list was read; zero: there is no reading
}

// Unpack returns the servers, or none if there is no reading.
func (l *EndpointList) Unpack() ([]message.Instance, error) {
	if l.ReadAt.IsZero() {
		return nil, nil
	}
	return message.UnpackInstances(l.Data)
}

// State is what a process has learned. The contents of slices and the targets of pointers are shared and must not be changed.
type State struct {
	Table     *message.PackedTable // the configuration, nil: none yet
	Endpoints EndpointList
	Voters    register.Value    // only epoch and voters, of the newest epoch known
	Grants    []register.Grant  // the newest known grant of each role
	Plan      message.StagePlan // the newest known plan of stage changes
	Rank      int               // of this process among its kind: see membership.View.Rank
	Count     int               // number of processes of its kind
}

// State returns what is known, and a channel that is closed when the table, endpoints, plan or rank have changed.
func (n *Node) State() (State, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state, n.stateChanged
}

// notifyChanged closes the channel that State returned. The caller holds mu.
func (n *Node) notifyChanged() {
	close(n.stateChanged)
	n.stateChanged = make(chan struct{})
}

// SetTable sets a configuration that is chosen, and sends it to other processes if it supersedes the known one.
func (n *Node) SetTable(table *routeconfig.Table) {
	packed, err := message.PackTable(table)
	if err != nil {
		n.log.WithField("version", table.Version).WithError(err).Error("packing configuration failed")
		return
	}
	n.mergeTable(packed)
}

// mergeTable adopts a configuration that supersedes the known one, and sends an update.
func (n *Node) mergeTable(table *message.PackedTable) {
	n.mu.Lock()
	n.tableFetch.release()
	if !table.Supersedes(n.state.Table) {
		n.mu.Unlock()
		return
	}
	n.state.Table = table
	n.notifyChanged()
	n.mu.Unlock()
	n.log.WithField("version", table.Version).WithField("bytes", len(table.Data)).Info("configuration applied")
	n.pushUpdate()
}

// SetEndpoints sets a reading of the platform's list, and sends it to other processes if the servers have changed.
func (n *Node) SetEndpoints(instances []message.Instance, readAt time.Time) {
	digest := endpointsDigest(instances)
	n.mu.Lock()
	isSame := digest == n.state.Endpoints.Digest
	data := n.state.Endpoints.Data
	n.mu.Unlock()
	if !isSame {
		packed, err := message.PackInstances(instances)
		if err != nil {
			n.log.WithField("servers", len(instances)).WithError(err).Error("packing endpoints failed")
			return
		}
		data = packed
	}
	n.mergeEndpoints(EndpointList{Digest: digest, Data: data, ReadAt: readAt})
}

// mergeEndpoints adopts a younger reading than the known one, and sends an update if the servers have changed.
func (n *Node) mergeEndpoints(list EndpointList) {
	n.mu.Lock()
	n.endpointsFetch.release()
	if !n.state.Endpoints.ReadAt.IsZero() && !list.ReadAt.After(n.state.Endpoints.ReadAt) {
		n.mu.Unlock()
		return
	}
	hasChanged := list.Digest != n.state.Endpoints.Digest
	n.state.Endpoints = list
	if hasChanged {
		n.notifyChanged()
	}
	n.mu.Unlock()
	if hasChanged {
		n.pushUpdate()
	}
}

// SetPlan sets the stage plan of the lease holder, and sends it to other processes if it is newer than the known one.
func (n *Node) SetPlan(plan message.StagePlan) {
	n.mu.Lock()
	isNewer := plan.IsNewerThan(&n.state.Plan)
	if isNewer {
		n.state.Plan = plan
		n.notifyChanged()
	}
	n.mu.Unlock()
	if isNewer {
		n.pushUpdate()
	}
}

// MergeRegisterValue adopts the voters and grants of a chosen value that are newer than the known ones. If a grant is newer, it
// sends an update to other processes.
func (n *Node) MergeRegisterValue(value register.Value) {
	n.mu.Lock()
	hasNewGrant := n.mergeGrants(value.Grants)
	if value.Epoch > n.state.Voters.Epoch {
		n.state.Voters = votersOnly(value)
	}
	n.mu.Unlock()
	if hasNewGrant {
		n.pushUpdate()
	}
}

// mergeGrants adopts grants with higher tokens than the known ones, and reports whether there was one. It copies the slice, since
// callers of State may hold it. The caller holds mu.
func (n *Node) mergeGrants(grants []register.Grant) (hasNew bool) {
	for _, grant := range grants {
		i := slices.IndexFunc(n.state.Grants, func(g register.Grant) bool { return g.Role == grant.Role })
		switch {
		case i < 0:
			n.state.Grants = append(slices.Clone(n.state.Grants), grant)
		case grant.Token > n.state.Grants[i].Token:
			n.state.Grants = slices.Clone(n.state.Grants)
			n.state.Grants[i] = grant
		default:
			continue
		}
		hasNew = true
	}
	return hasNew
}

// HolderAddress returns the internal address of the control process that holds a role by the newest known grant, or "" if none is
// known.
func (n *Node) HolderAddress(role string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := slices.IndexFunc(n.state.Grants, func(g register.Grant) bool { return g.Role == role })
	if i < 0 {
		return ""
	}
	return n.view.Address(n.state.Grants[i].Holder + "/" + string(membership.Control))
}

// votersOnly returns a copy of a value that has only its epoch and voters.
func votersOnly(value register.Value) register.Value {
	return register.Value{Epoch: value.Epoch, Voters: value.Voters, OutgoingVoters: value.OutgoingVoters}
}

// endpointsDigest returns a digest of servers that is never 0 and doesn't depend on their order. Peers of all versions must
// derive the same one.
func endpointsDigest(instances []message.Instance) uint64 {
	sum := uint64(1)
	for i := range instances {
		data, err := msgpack.Marshal(&instances[i])
		if err != nil {
			continue // an Instance holds nothing that can't be marshalled
		}
		hash := fnv.New64a()
		_, _ = hash.Write(data) // never fails
		sum += hash.Sum64()
	}
	return max(sum, 1)
}
