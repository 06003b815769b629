package coordination

import (
	"math"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/sidecar"
)

// Status is what a sidecar says of its fleet.
type Status struct {
	Fleet          string         `json:"fleet"`
	ID             string         `json:"id"`
	IdentityStored bool           `json:"stored"` // the identity survives a restart
	Silenced       bool           `json:"quiet,omitempty"`
	Rank           int            `json:"rank"` // in force
	Count          int            `json:"count"`
	Live           int            `json:"live"`
	HealthScore    int            `json:"doubts"` // that it has about itself
	Checksum       string         `json:"sum"`    // of what it holds of all; equal at those that agree
	View           swim.Stats     `json:"view"`
	Links          peers.Stats    `json:"peers"`
	Panics         uint64         `json:"panics,omitempty"`
	Leases         *LeaseStatus   `json:"owners,omitempty"`
	Members        []MemberStatus `json:"members"`
	OmittedMembers int            `json:"more,omitempty"` // members that are not listed
}

// MemberStatus is what is held of one.
type MemberStatus struct {
	ID           string   `json:"id"`
	Name         string   `json:"name"`
	Address      string   `json:"address"`
	State        string   `json:"state"`
	Incarnation  uint64   `json:"incarnation"`
	StateSeconds float64  `json:"for_s"`
	AccusedBy    []string `json:"by,omitempty"` // whose word it is; none: its own
	Connected    bool     `json:"linked,omitempty"`
	Monitored    bool     `json:"watched,omitempty"` // this sidecar notices its silence
}

// Status returns what this sidecar knows, of so many members at most.
func (f *Node) Status(most int) (s Status) {
	if f.view == nil {
		return Status{Fleet: f.options.Name}
	}
	rank, count := f.rank.Current()
	self := f.view.Self()
	s = Status{Fleet: f.options.Name, ID: self.ID.String(), IdentityStored: f.identityStored, Silenced: f.view.HasLostIdentity() || f.silenced, Rank: rank, Count: count,
		Live: f.view.LiveCount(), HealthScore: f.view.HealthScore(), Checksum: swim.ID(f.view.Digest()).String(), View: f.view.Stats(), Links: f.peers.Stats(), Panics: f.panics}
	if f.roles != nil {
		s.Leases = f.roles.status()
	}
	for m := range f.view.Members {
		if len(s.Members) >= most {
			s.OmittedMembers++
			continue
		}
		e := MemberStatus{ID: m.ID.String(), Name: m.Name, Address: m.Address, State: m.State.String(), Incarnation: m.Version.Incarnation,
			StateSeconds: math.Round(10*m.StateAgeSeconds) / 10, Connected: m.IsLinked, Monitored: m.IsNeighbor}
		for _, by := range m.Accusers {
			e.AccusedBy = append(e.AccusedBy, by.String())
		}
		s.Members = append(s.Members, e)
	}
	return s
}

// Figures returns what a sidecar's door tells of its fleet.
func (f *Node) Figures() []sidecar.Figure {
	if f.view == nil {
		return nil
	}
	rank, count := f.rank.Current()
	byState := [swim.Left + 1]uint64{}
	for m := range f.view.Members {
		byState[m.State]++
	}
	v, l := f.view.Stats(), f.peers.Stats()
	figures := []sidecar.Figure{{Name: "peers_alive", Value: byState[swim.Alive]}, {Name: "peers_suspected", Value: byState[swim.Suspect]},
		{Name: "peers_dead", Value: byState[swim.Dead]}, {Name: "peers_left", Value: byState[swim.Left]}, {Name: "peers_links", Value: uint64(l.Links)},
		{Name: "peers_rank", Value: uint64(rank)}, {Name: "peers_count", Value: uint64(count)}, {Name: "peers_deaths", Value: v.Deaths},
		{Name: "peers_refutations", Value: v.Refutations}, {Name: "peers_sent_bytes", Value: l.SentBytes}}
	if f.roles != nil {
		figures = f.roles.appendFigures(figures)
	}
	return figures
}
