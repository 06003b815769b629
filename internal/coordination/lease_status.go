package coordination

import (
	"errors"
	"fmt"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/sidecar"
)

// LeaseStatus is the response to the admin commands OWNERS and ELECTORS. Operators' tools read the JSON keys.
type LeaseStatus struct {
	Epoch            uint64        `json:"epoch"` // of the voters' founding; 0: none is known
	Index            uint64        `json:"index"` // of the last entry of the voters' log that is included
	Term             uint64        `json:"term"`
	Leader           *VoterStatus  `json:"leader,omitempty"`
	Voters           []VoterStatus `json:"electors,omitempty"`
	Roles            []RoleStatus  `json:"jobs,omitempty"`      // sorted by name
	IneligibleReason string        `json:"unwilling,omitempty"` // why this sidecar accepts no role at the moment
	Lists            *ListStats    `json:"lists,omitempty"`
	Faults           []FaultStatus `json:"drills,omitempty"` // of the whole fleet, including ended ones
	Local            lease.Stats   `json:"here"`             // of this sidecar's lease node
}

// VoterStatus is the status of a voter, or of the holder of a role.
type VoterStatus struct {
	ID      string `json:"id"`
	Name    string `json:"name,omitempty"` // empty: the member is not known here
	Address string `json:"address,omitempty"`
	State   string `json:"state"` // swim.State, or "unknown"
}

// RoleStatus is the status of a role that was granted, that this sidecar can hold, or of which it received a message.
type RoleStatus struct {
	Role             string   `json:"job"`
	Token            uint64   `json:"token"`               // of the last known grant
	Holder           string   `json:"owner,omitempty"`     // ID of the holder; empty: there is none
	HolderName       string   `json:"name,omitempty"`      // of the holder
	HeldToken        uint64   `json:"held,omitempty"`      // token under which this sidecar may act
	MaxToken         uint64   `json:"seen,omitempty"`      // highest token of a message
	Accepted         uint64   `json:"taken,omitempty"`     // accepted messages
	Rejected         uint64   `json:"refused,omitempty"`   // messages whose token was too low
	Malformed        uint64   `json:"senseless,omitempty"` // messages whose body could not be used
	AcceptedTokens   []uint64 `json:"taken_of,omitempty"`  // of the last accepted messages, with an entry for each change, oldest first
	Capable          bool     `json:"can"`                 // this sidecar can hold the role
	ReportAgeSeconds float64  `json:"report_s,omitempty"`  // age of the last report; only of the role "report"
}

// ErrNoVoters is returned if the fleet has no voters and so no singleton roles.
var ErrNoVoters = errors.New("this sidecar's fleet has no electors")

// LeaseStatus returns the status of leases and voters, or ErrNoVoters. It must be called on the event loop.
func (n *Node) LeaseStatus() (*LeaseStatus, error) {
	if n.roles == nil || n.view == nil {
		return nil, ErrNoVoters
	}
	return n.roles.status(), nil
}

// StepDown asks the voters to move a role to another holder. It returns ErrNoVoters, or an error if the role has no holder. It must be
// called on the event loop.
func (n *Node) StepDown(role string) (err error) {
	n.run(func() {
		if n.roles == nil || n.roles.lease == nil {
			err = ErrNoVoters
			return
		}
		for _, g := range n.roles.lease.Table().Grants {
			if g.Role == role && g.Holder != 0 {
				n.roles.lease.RequestStepDown(n.loop.Now(), role)
				return
			}
		}
		err = fmt.Errorf("nobody owns a job %.40q", role)
	})
	return err
}

// leaseView returns the table of leases and this sidecar's lease statistics. A sidecar whose state could not be written does not count
// as the leader, since it does not vote.
func (m *roleManager) leaseView() (table lease.Table, local lease.Stats) {
	if m.lease != nil {
		table, local = m.lease.Table(), m.lease.Stats()
		local.IsLeader = local.IsLeader && !local.PersistFailed
	}
	return table, local
}

func (m *roleManager) status() *LeaseStatus {
	table, local := m.leaseView()
	s := &LeaseStatus{Epoch: table.Epoch, Index: table.Index, Term: table.Term, IneligibleReason: m.ineligibleReason, Local: local}
	if m.listRelay != nil {
		s.Lists = m.listRelay.snapshotStats()
	}
	if m.faults != nil {
		s.Faults = m.faults.status()
	}
	if table.Leader != 0 {
		leader := m.voterStatus(table.Leader)
		s.Leader = &leader
	}
	for _, id := range table.Voters {
		s.Voters = append(s.Voters, m.voterStatus(id))
	}
	for _, g := range table.Grants {
		m.state(g.Role) // adds the role if it is new
	}
	for _, role := range m.states {
		s.Roles = append(s.Roles, m.roleStatus(role, &table))
	}
	return s
}

func (m *roleManager) roleStatus(s *roleState, table *lease.Table) RoleStatus {
	status := RoleStatus{Role: s.name, HeldToken: m.activeToken(s), MaxToken: m.fenceToken(s.name), Accepted: s.accepted, Rejected: s.rejected,
		Malformed: s.malformed, Capable: s.role != nil}
	for _, g := range table.Grants {
		if g.Role != s.name {
			continue
		}
		if status.Token = g.Token; g.Holder != 0 {
			holder := m.voterStatus(g.Holder)
			status.Holder, status.HolderName = holder.ID, holder.Name
		}
	}
	for i := range s.acceptedTokens {
		if token := s.acceptedTokens[(s.acceptedTokensAt+1+i)%len(s.acceptedTokens)]; token != 0 {
			status.AcceptedTokens = append(status.AcceptedTokens, token)
		}
	}
	if r, ok := s.role.(*reportRole); ok && r.lastReport != nil {
		status.ReportAgeSeconds = roundTenths(m.node.loop.Now() - r.lastReportAt)
	}
	return status
}

func (m *roleManager) voterStatus(id swim.ID) VoterStatus {
	s := VoterStatus{ID: id.String(), State: "unknown"}
	for member := range m.node.view.Members {
		if member.ID == id {
			s.Name, s.Address, s.State = member.Name, member.Address, member.State.String()
		}
	}
	return s
}

// appendMetrics appends the metrics of leases and roles for the admin command DUMP.
func (m *roleManager) appendMetrics(all []sidecar.Metric) []sidecar.Metric {
	add := func(name string, value uint64) { all = append(all, sidecar.Metric{Name: name, Value: value}) }
	table, local := m.leaseView()
	add("owner_electors", uint64(len(table.Voters)))
	add("owner_elector", uint64(boolToInt(local.IsVoter)))
	add("owner_leads", uint64(boolToInt(local.IsLeader)))
	add("owner_term", local.Term)
	add("owner_unkept", uint64(boolToInt(local.PersistFailed)))
	if l := m.listRelay; l != nil {
		add("owner_list_fed", uint64(boolToInt(l.relayed)))
		add("owner_list_starved", l.stats.Stale)
		add("owner_list_disagreed", l.stats.Mismatches)
	}
	if r := m.maintenance; r != nil {
		active := 0
		for i := range r.state.Plans {
			active += boolToInt(!r.state.Plans[i].Ended)
		}
		add("works_version", r.version)
		add("works_plans", uint64(active))
		add("works_out", uint64(len(r.outSince)))
	}
	for _, s := range m.states {
		label := `{job="` + s.name + `"}`
		add("owner_held"+label, uint64(boolToInt(m.activeToken(s) != 0)))
		add("owner_token"+label, s.received.token)
		add("owner_taken"+label, s.accepted)
		add("owner_refused"+label, s.rejected)
	}
	return all
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
