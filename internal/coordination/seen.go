package coordination

import (
	"math"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/sidecar"
)

// Seen is what a sidecar says of its fleet.
type Seen struct {
	Fleet   string       `json:"fleet"`
	ID      string       `json:"id"`
	Stored  bool         `json:"stored"` // the identity survives a restart
	Quiet   bool         `json:"quiet,omitempty"`
	Rank    int          `json:"rank"` // in force
	Count   int          `json:"count"`
	Live    int          `json:"live"`
	Doubts  int          `json:"doubts"` // that it has about itself
	Sum     string       `json:"sum"`    // of what it holds of all; equal at those that agree
	View    swim.Stats   `json:"view"`
	Links   peers.Stats  `json:"peers"`
	Panics  uint64       `json:"panics,omitempty"`
	Owners  *SeenOwners  `json:"owners,omitempty"`
	Members []SeenMember `json:"members"`
	More    int          `json:"more,omitempty"` // members that are not listed
}

// SeenMember is what is held of one.
type SeenMember struct {
	ID          string   `json:"id"`
	Name        string   `json:"name"`
	Address     string   `json:"address"`
	State       string   `json:"state"`
	Incarnation uint64   `json:"incarnation"`
	ForS        float64  `json:"for_s"`
	By          []string `json:"by,omitempty"` // whose word it is; none: its own
	Linked      bool     `json:"linked,omitempty"`
	Watched     bool     `json:"watched,omitempty"` // this sidecar notices its silence
}

// Seen returns what this sidecar knows, of so many members at most.
func (f *Node) Seen(most int) (s Seen) {
	if f.view == nil {
		return Seen{Fleet: f.o.Name}
	}
	rank, count := f.part.Current()
	self := f.view.Self()
	s = Seen{Fleet: f.o.Name, ID: self.ID.String(), Stored: f.stored, Quiet: f.view.HasLostIdentity() || f.hushed, Rank: rank, Count: count,
		Live: f.view.LiveCount(), Doubts: f.view.HealthScore(), Sum: swim.ID(f.view.Digest()).String(), View: f.view.Stats(), Links: f.peers.Stats(), Panics: f.panics}
	if f.owners != nil {
		s.Owners = f.owners.seen()
	}
	for m := range f.view.Members {
		if len(s.Members) >= most {
			s.More++
			continue
		}
		e := SeenMember{ID: m.ID.String(), Name: m.Name, Address: m.Address, State: m.State.String(), Incarnation: m.Version.Incarnation,
			ForS: math.Round(10*m.StateAgeSeconds) / 10, Linked: m.IsLinked, Watched: m.IsNeighbor}
		for _, by := range m.Accusers {
			e.By = append(e.By, by.String())
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
	rank, count := f.part.Current()
	byState := [swim.Left + 1]uint64{}
	for m := range f.view.Members {
		byState[m.State]++
	}
	v, l := f.view.Stats(), f.peers.Stats()
	figures := []sidecar.Figure{{Name: "peers_alive", Value: byState[swim.Alive]}, {Name: "peers_suspected", Value: byState[swim.Suspect]},
		{Name: "peers_dead", Value: byState[swim.Dead]}, {Name: "peers_left", Value: byState[swim.Left]}, {Name: "peers_links", Value: uint64(l.Links)},
		{Name: "peers_rank", Value: uint64(rank)}, {Name: "peers_count", Value: uint64(count)}, {Name: "peers_deaths", Value: v.Deaths},
		{Name: "peers_refutations", Value: v.Refutations}, {Name: "peers_sent_bytes", Value: l.SentBytes}}
	if f.owners != nil {
		figures = f.owners.figures(figures)
	}
	return figures
}
