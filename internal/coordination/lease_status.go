package coordination

import (
	"errors"
	"fmt"
	"math"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/sidecar"
)

// LeaseStatus is what a sidecar knows of who owns what.
type LeaseStatus struct {
	Epoch            uint64        `json:"epoch"` // of the electors' founding; 0: none is known
	Index            uint64        `json:"index"` // of their log up to which this holds
	Term             uint64        `json:"term"`
	Leader           *VoterStatus  `json:"leader,omitempty"`
	Voters           []VoterStatus `json:"electors,omitempty"`
	Roles            []RoleStatus  `json:"jobs,omitempty"`
	IneligibleReason string        `json:"unwilling,omitempty"` // why this sidecar does nothing for others
	Lists            *ListStats    `json:"lists,omitempty"`
	Faults           []FaultStatus `json:"drills,omitempty"` // of the whole fleet, also such as have ended
	Local            lease.Stats   `json:"here"`
}

// VoterStatus is one that agrees on who owns what.
type VoterStatus struct {
	ID      string `json:"id"`
	Name    string `json:"name,omitempty"` // empty: it is not known who that is
	Address string `json:"address,omitempty"`
	State   string `json:"state"`
}

// RoleStatus is one that is owned, was, or was heard of.
type RoleStatus struct {
	Role             string   `json:"job"`
	Token            uint64   `json:"token"`               // of the last grant that is known
	Owner            string   `json:"owner,omitempty"`     // its id; empty: nobody's
	OwnerName        string   `json:"name,omitempty"`      // of the owner
	HeldToken        uint64   `json:"held,omitempty"`      // the token under which this sidecar acts
	MaxToken         uint64   `json:"seen,omitempty"`      // the greatest token of an effect
	Accepted         uint64   `json:"taken,omitempty"`     // effects
	Rejected         uint64   `json:"refused,omitempty"`   // effects of a token that was too low
	Malformed        uint64   `json:"senseless,omitempty"` // effects whose body made no sense
	AcceptedTokens   []uint64 `json:"taken_of,omitempty"`  // of the effects that were taken last, as they changed
	Capable          bool     `json:"can"`                 // this sidecar can do it
	ReportAgeSeconds float64  `json:"report_s,omitempty"`  // since the last report, of that job
}

// known returns what the decisions say. Who can't keep what it promises leads nobody, whatever it was when it last could.
func (o *owners) known() (table lease.Table, here lease.Stats) {
	if o.t != nil {
		table, here = o.t.Table(), o.t.Stats()
		here.IsLeader = here.IsLeader && !here.PersistFailed
	}
	return table, here
}

// seen tells what is known.
func (o *owners) seen() *LeaseStatus {
	s := &LeaseStatus{IneligibleReason: o.why}
	if o.lists != nil {
		s.Lists = o.lists.seen()
	}
	if o.drills != nil {
		s.Faults = o.drills.seen()
	}
	table, here := o.known()
	s.Local = here
	s.Epoch, s.Index, s.Term = table.Epoch, table.Index, table.Term
	if table.Leader != 0 {
		e := o.elector(table.Leader)
		s.Leader = &e
	}
	for _, id := range table.Voters {
		s.Voters = append(s.Voters, o.elector(id))
	}
	for _, g := range table.Grants {
		o.job(g.Role)
	}
	for _, j := range o.jobs {
		e := RoleStatus{Role: j.name, HeldToken: o.actsUnder(j), Accepted: j.taken, Rejected: j.refused, Malformed: j.foolish, Capable: j.work != nil}
		for _, g := range table.Grants {
			if g.Role == j.name {
				if e.Token = g.Token; g.Holder != 0 {
					who := o.elector(g.Holder)
					e.Owner, e.OwnerName = who.ID, who.Name
				}
			}
		}
		for _, g := range o.greatest.Highest() {
			if g.Role == j.name {
				e.MaxToken = g.Token
			}
		}
		for i := range j.tokens {
			if token := j.tokens[(j.tokensAt+1+i)%len(j.tokens)]; token != 0 {
				e.AcceptedTokens = append(e.AcceptedTokens, token)
			}
		}
		if r, ok := j.work.(*reporter); ok && r.last != nil {
			e.ReportAgeSeconds = math.Round(10*(o.f.net.Now()-r.lastAt)) / 10
		}
		s.Roles = append(s.Roles, e)
	}
	return s
}

// elector says who a member is.
func (o *owners) elector(id swim.ID) VoterStatus {
	e := VoterStatus{ID: id.String(), State: "unknown"}
	for m := range o.f.view.Members {
		if m.ID == id {
			e.Name, e.Address, e.State = m.Name, m.Address, m.State.String()
		}
	}
	return e
}

// figures appends what the door's dump has.
func (o *owners) figures(all []sidecar.Figure) []sidecar.Figure {
	table, here := o.known()
	one := func(on bool) uint64 {
		if on {
			return 1
		}
		return 0
	}
	all = append(all, sidecar.Figure{Name: "owner_electors", Value: uint64(len(table.Voters))}, sidecar.Figure{Name: "owner_elector", Value: one(here.IsVoter)},
		sidecar.Figure{Name: "owner_leads", Value: one(here.IsLeader)}, sidecar.Figure{Name: "owner_term", Value: here.Term},
		sidecar.Figure{Name: "owner_unkept", Value: one(here.PersistFailed)})
	if l := o.lists; l != nil {
		all = append(all, sidecar.Figure{Name: "owner_list_fed", Value: one(l.on)}, sidecar.Figure{Name: "owner_list_starved", Value: l.counts.Stale},
			sidecar.Figure{Name: "owner_list_disagreed", Value: l.counts.Mismatches})
	}
	if w := o.works; w != nil {
		plans := 0
		for i := range w.state.Plans {
			if !w.state.Plans[i].Ended {
				plans++
			}
		}
		all = append(all, sidecar.Figure{Name: "works_version", Value: w.version}, sidecar.Figure{Name: "works_plans", Value: uint64(plans)},
			sidecar.Figure{Name: "works_out", Value: uint64(len(w.outAt))})
	}
	for _, j := range o.jobs {
		label := `{job="` + j.name + `"}`
		all = append(all, sidecar.Figure{Name: "owner_held" + label, Value: one(o.actsUnder(j) != 0)}, sidecar.Figure{Name: "owner_token" + label, Value: j.heard.token},
			sidecar.Figure{Name: "owner_taken" + label, Value: j.taken}, sidecar.Figure{Name: "owner_refused" + label, Value: j.refused})
	}
	return all
}

// ErrNoVoters is the answer where nobody owns anything.
var ErrNoVoters = errors.New("this sidecar's fleet has no electors")

// LeaseStatus returns what is known of who owns what.
func (f *Node) LeaseStatus() (*LeaseStatus, error) {
	if f.owners == nil || f.view == nil {
		return nil, ErrNoVoters
	}
	return f.owners.seen(), nil
}

// StepDown asks that a job goes to another owner.
func (f *Node) StepDown(name string) (err error) {
	f.enter(func() {
		switch {
		case f.owners == nil || f.owners.t == nil:
			err = ErrNoVoters
		default:
			for _, g := range f.owners.t.Table().Grants {
				if g.Role == name && g.Holder != 0 {
					f.owners.t.RequestStepDown(f.net.Now(), name)
					return
				}
			}
			err = fmt.Errorf("nobody owns a job %.40q", name)
		}
	})
	return err
}
