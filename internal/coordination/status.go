package coordination

import (
	"math"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/sidecar"
)

// Status is the response to the admin command PEERS and the section "fleet" of the sidecar's counters. Operators' tools read the JSON
// keys.
type Status struct {
	Fleet          string         `json:"fleet"`
	ID             string         `json:"id"`
	IdentityStored bool           `json:"stored"`          // the identity survives a restart
	IsReplaced     bool           `json:"quiet,omitempty"` // another process has taken over this identity
	Rank           int            `json:"rank"`            // as used by the sidecar, see swim.StableRank
	Count          int            `json:"count"`           // number of ranks
	Live           int            `json:"live"`            // number of live members
	HealthScore    int            `json:"doubts"`          // how late this sidecar itself is in the membership protocol; 0 is best
	Checksum       string         `json:"sum"`             // of the membership; equal at sidecars that know the same membership
	View           swim.Stats     `json:"view"`
	Links          peers.Stats    `json:"peers"`
	Panics         uint64         `json:"panics,omitempty"` // recovered
	Leases         *LeaseStatus   `json:"owners,omitempty"`
	Members        []MemberStatus `json:"members"`
	OmittedMembers int            `json:"more,omitempty"` // members that are not in Members
}

// MemberStatus is the status of a member, as this sidecar knows it.
type MemberStatus struct {
	ID           string   `json:"id"`
	Name         string   `json:"name"`
	Address      string   `json:"address"`
	State        string   `json:"state"` // swim.State
	Incarnation  uint64   `json:"incarnation"`
	StateSeconds float64  `json:"for_s"`        // since the state was learned
	AccusedBy    []string `json:"by,omitempty"` // members that reported the state; empty: the member itself did
	Connected    bool     `json:"linked,omitempty"`
	Monitored    bool     `json:"watched,omitempty"` // this sidecar detects its silence, see swim.MemberStatus.IsNeighbor
}

// Status returns the status with at most maxMembers members. It must be called on the event loop.
func (n *Node) Status(maxMembers int) (s Status) {
	if n.view == nil {
		return Status{Fleet: n.options.Name}
	}
	rank, count := n.rank.Current()
	self := n.view.Self()
	s = Status{Fleet: n.options.Name, ID: self.ID.String(), IdentityStored: n.identityStored, IsReplaced: n.view.HasLostIdentity() || n.isReplaced,
		Rank: rank, Count: count, Live: n.view.LiveCount(), HealthScore: n.view.HealthScore(), Checksum: swim.ID(n.view.Digest()).String(),
		View: n.view.Stats(), Links: n.peers.Stats(), Panics: n.panics}
	if n.roles != nil {
		s.Leases = n.roles.status()
	}
	for m := range n.view.Members {
		if len(s.Members) >= maxMembers {
			s.OmittedMembers++
			continue
		}
		member := MemberStatus{ID: m.ID.String(), Name: m.Name, Address: m.Address, State: m.State.String(), Incarnation: m.Version.Incarnation,
			StateSeconds: roundTenths(m.StateAgeSeconds), Connected: m.IsLinked, Monitored: m.IsNeighbor}
		for _, id := range m.Accusers {
			member.AccusedBy = append(member.AccusedBy, id.String())
		}
		s.Members = append(s.Members, member)
	}
	return s
}

// Metrics implements sidecar.MetricsSource: the metrics that the admin command DUMP adds for the fleet. Operators' tools read their
// names.
func (n *Node) Metrics() []sidecar.Metric {
	if n.view == nil {
		return nil
	}
	rank, count := n.rank.Current()
	byState := [swim.Left + 1]uint64{}
	for m := range n.view.Members {
		byState[m.State]++
	}
	view, links := n.view.Stats(), n.peers.Stats()
	metrics := []sidecar.Metric{{Name: "peers_alive", Value: byState[swim.Alive]}, {Name: "peers_suspected", Value: byState[swim.Suspect]},
		{Name: "peers_dead", Value: byState[swim.Dead]}, {Name: "peers_left", Value: byState[swim.Left]}, {Name: "peers_links", Value: uint64(links.Links)},
		{Name: "peers_rank", Value: uint64(rank)}, {Name: "peers_count", Value: uint64(count)}, {Name: "peers_deaths", Value: view.Deaths},
		{Name: "peers_refutations", Value: view.Refutations}, {Name: "peers_sent_bytes", Value: links.SentBytes}}
	if n.roles != nil {
		metrics = n.roles.appendMetrics(metrics)
	}
	return metrics
}

// roundTenths rounds seconds to tenths, for display.
func roundTenths(seconds float64) float64 { return math.Round(10*seconds) / 10 }
