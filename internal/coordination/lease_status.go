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

// leaseView returns what the decisions say. Who can't keep what it promises leads nobody, whatever it was when it last could.
func (o *roleManager) leaseView() (table lease.Table, here lease.Stats) {
	if o.lease != nil {
		table, here = o.lease.Table(), o.lease.Stats()
		here.IsLeader = here.IsLeader && !here.PersistFailed
	}
	return table, here
}

// status tells what is known.
func (o *roleManager) status() *LeaseStatus {
	s := &LeaseStatus{IneligibleReason: o.ineligibleReason}
	if o.listRelay != nil {
		s.Lists = o.listRelay.snapshotStats()
	}
	if o.faults != nil {
		s.Faults = o.faults.status()
	}
	table, here := o.leaseView()
	s.Local = here
	s.Epoch, s.Index, s.Term = table.Epoch, table.Index, table.Term
	if table.Leader != 0 {
		e := o.voterStatus(table.Leader)
		s.Leader = &e
	}
	for _, id := range table.Voters {
		s.Voters = append(s.Voters, o.voterStatus(id))
	}
	for _, g := range table.Grants {
		o.state(g.Role)
	}
	for _, j := range o.states {
		e := RoleStatus{Role: j.name, HeldToken: o.activeToken(j), Accepted: j.accepted, Rejected: j.rejected, Malformed: j.malformed, Capable: j.role != nil}
		for _, g := range table.Grants {
			if g.Role == j.name {
				if e.Token = g.Token; g.Holder != 0 {
					who := o.voterStatus(g.Holder)
					e.Owner, e.OwnerName = who.ID, who.Name
				}
			}
		}
		for _, g := range o.fence.Highest() {
			if g.Role == j.name {
				e.MaxToken = g.Token
			}
		}
		for i := range j.acceptedTokens {
			if token := j.acceptedTokens[(j.acceptedTokensAt+1+i)%len(j.acceptedTokens)]; token != 0 {
				e.AcceptedTokens = append(e.AcceptedTokens, token)
			}
		}
		if r, ok := j.role.(*reportRole); ok && r.lastReport != nil {
			e.ReportAgeSeconds = math.Round(10*(o.node.net.Now()-r.lastReportAt)) / 10
		}
		s.Roles = append(s.Roles, e)
	}
	return s
}

// voterStatus says who a member is.
func (o *roleManager) voterStatus(id swim.ID) VoterStatus {
	e := VoterStatus{ID: id.String(), State: "unknown"}
	for m := range o.node.view.Members {
		if m.ID == id {
			e.Name, e.Address, e.State = m.Name, m.Address, m.State.String()
		}
	}
	return e
}

// appendFigures appends what the door's dump has.
func (o *roleManager) appendFigures(all []sidecar.Figure) []sidecar.Figure {
	table, here := o.leaseView()
	one := func(on bool) uint64 {
		if on {
			return 1
		}
		return 0
	}
	all = append(all, sidecar.Figure{Name: "owner_electors", Value: uint64(len(table.Voters))}, sidecar.Figure{Name: "owner_elector", Value: one(here.IsVoter)},
		sidecar.Figure{Name: "owner_leads", Value: one(here.IsLeader)}, sidecar.Figure{Name: "owner_term", Value: here.Term},
		sidecar.Figure{Name: "owner_unkept", Value: one(here.PersistFailed)})
	if l := o.listRelay; l != nil {
		all = append(all, sidecar.Figure{Name: "owner_list_fed", Value: one(l.relayed)}, sidecar.Figure{Name: "owner_list_starved", Value: l.stats.Stale},
			sidecar.Figure{Name: "owner_list_disagreed", Value: l.stats.Mismatches})
	}
	if w := o.maintenance; w != nil {
		plans := 0
		for i := range w.state.Plans {
			if !w.state.Plans[i].Ended {
				plans++
			}
		}
		all = append(all, sidecar.Figure{Name: "works_version", Value: w.version}, sidecar.Figure{Name: "works_plans", Value: uint64(plans)},
			sidecar.Figure{Name: "works_out", Value: uint64(len(w.outSince))})
	}
	for _, j := range o.states {
		label := `{job="` + j.name + `"}`
		all = append(all, sidecar.Figure{Name: "owner_held" + label, Value: one(o.activeToken(j) != 0)}, sidecar.Figure{Name: "owner_token" + label, Value: j.received.token},
			sidecar.Figure{Name: "owner_taken" + label, Value: j.accepted}, sidecar.Figure{Name: "owner_refused" + label, Value: j.rejected})
	}
	return all
}

// ErrNoVoters is the answer where nobody owns anything.
var ErrNoVoters = errors.New("this sidecar's fleet has no electors")

// LeaseStatus returns what is known of who owns what.
func (f *Node) LeaseStatus() (*LeaseStatus, error) {
	if f.roles == nil || f.view == nil {
		return nil, ErrNoVoters
	}
	return f.roles.status(), nil
}

// StepDown asks that a job goes to another owner.
func (f *Node) StepDown(name string) (err error) {
	f.run(func() {
		switch {
		case f.roles == nil || f.roles.lease == nil:
			err = ErrNoVoters
		default:
			for _, g := range f.roles.lease.Table().Grants {
				if g.Role == name && g.Holder != 0 {
					f.roles.lease.RequestStepDown(f.net.Now(), name)
					return
				}
			}
			err = fmt.Errorf("nobody owns a job %.40q", name)
		}
	})
	return err
}
