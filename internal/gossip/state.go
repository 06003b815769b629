package gossip

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
	"hazelwheel/internal/routeconfig"
)

// EndpointList is a reading of the platform's list and when it was read.
type EndpointList struct {
	Digest uint64
	Data   []byte    // the servers, packed
	ReadAt time.Time // zero: there is none
}

// Unpack returns the servers, none where there is no reading.
func (l *EndpointList) Unpack() ([]message.Instance, error) {
	if l.ReadAt.IsZero() {
		return nil, nil
	}
	return message.UnpackInstances(l.Data)
}

// State is what a process has learned.
type State struct {
	Table     *message.PackedTable
	Endpoints EndpointList
	Voters    register.Value // the voters alone, of the newest epoch heard of
	Grants    []register.Grant
	Plan      message.StagePlan
	Rank      int // of this process among its kind
	Count     int
}

// State returns what is known, and a channel that is closed once that has changed.
func (n *Node) State() (State, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.facts, n.changed
}

// announce wakes those that wait for changes.
func (n *Node) announce() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// MergeRegisterValue takes the voters and the grants of a value that holds.
func (n *Node) MergeRegisterValue(value register.Value) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mergeGrants(value.Grants)
	if value.Epoch > n.facts.Voters.Epoch {
		n.facts.Voters = votersOf(value)
	}
}

// SetTable takes a configuration that holds.
func (n *Node) SetTable(table *routeconfig.Table) {
	packed, err := message.PackTable(table)
	if err != nil {
		n.log.WithError(err).Error("a configuration can't be packed")
		return
	}
	n.takeTable(packed)
}

// takeTable takes a configuration. Versions never go back.
func (n *Node) takeTable(table *message.PackedTable) {
	n.mu.Lock()
	n.table.release()
	if n.facts.Table != nil && table.Version <= n.facts.Table.Version {
		n.mu.Unlock()
		return
	}
	n.facts.Table = table
	n.announce()
	n.mu.Unlock()
	n.log.WithField("version", table.Version).WithField("bytes", len(table.Data)).Info("configuration")
	n.push()
}

// SetEndpoints takes a reading of the platform's list.
func (n *Node) SetEndpoints(instances []message.Instance, at time.Time) {
	digest := listDigest(instances)
	n.mu.Lock()
	same := digest == n.facts.Endpoints.Digest
	data := n.facts.Endpoints.Data
	n.mu.Unlock()
	if !same {
		packed, err := message.PackInstances(instances)
		if err != nil {
			n.log.WithError(err).Error("a list can't be packed")
			return
		}
		data = packed
	}
	n.takeList(EndpointList{Digest: digest, Data: data, ReadAt: at})
}

func (n *Node) takeList(list EndpointList) {
	n.mu.Lock()
	n.list.release()
	if !n.facts.Endpoints.ReadAt.IsZero() && !list.ReadAt.After(n.facts.Endpoints.ReadAt) {
		n.mu.Unlock()
		return
	}
	differs := list.Digest != n.facts.Endpoints.Digest
	n.facts.Endpoints = list
	if differs {
		n.announce()
	}
	n.mu.Unlock()
	if differs {
		n.push()
	}
}

// mergeGrants takes those with higher tokens.
func (n *Node) mergeGrants(grants []register.Grant) {
	for _, grant := range grants {
		i := slices.IndexFunc(n.facts.Grants, func(g register.Grant) bool { return g.Role == grant.Role })
		if i < 0 {
			n.facts.Grants = append(slices.Clone(n.facts.Grants), grant)
		} else if grant.Token > n.facts.Grants[i].Token {
			n.facts.Grants = slices.Clone(n.facts.Grants)
			n.facts.Grants[i] = grant
		}
	}
}

// SetPlan takes the plan of the process that orders stages, and has it carried to all.
func (n *Node) SetPlan(plan message.StagePlan) {
	n.mu.Lock()
	newer := plan.IsNewerThan(&n.facts.Plan)
	if newer {
		n.facts.Plan = plan
		n.announce()
	}
	n.mu.Unlock()
	if newer {
		n.push()
	}
}

// listDigest never is 0 and does not go by order.
func listDigest(instances []message.Instance) uint64 {
	sum := uint64(1)
	for i := range instances {
		data, err := msgpack.Marshal(&instances[i])
		if err != nil {
			continue // an Instance holds nothing that can't be marshalled
		}
		hash := fnv.New64a()
		_, _ = hash.Write(data)
		sum += hash.Sum64()
	}
	return max(sum, 1)
}

func votersOf(value register.Value) register.Value {
	return register.Value{Epoch: value.Epoch, Voters: value.Voters, OutgoingVoters: value.OutgoingVoters}
}
