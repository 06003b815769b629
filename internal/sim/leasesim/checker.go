package leasesim

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/anishathalye/porcupine"
	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/sim/seeds"
)

// Finding is a violation of a rule.
type Finding = seeds.Violation

// The rules. The names are printed and are kept.
const (
	RuleTwoLeases       = "two-leases"       // at one instant two nodes hold a valid lease for one role
	RuleTokenDecreased  = "token-falls"      // a receiver applies an effect under a token lower than an earlier one
	RuleTokenOfTwo      = "token-of-two"     // one token has two holders, or a grant does not raise the token
	RuleTwoLeaders      = "two-leaders"      // two nodes lead in one term
	RuleTwoHistories    = "two-histories"    // two tables of one epoch and index differ
	RuleVoters          = "electors-leap"    // more than one voter is replaced at once
	RuleNotLinearizable = "not-linearizable" // no order of grants, uses and ends explains what was observed
	RuleNoHolder        = "nobody"           // a role has no holder though a quorum is up and the faults are over
	RuleOnePersist      = "one-save"         // a node asks for a write while another one is under way
	RuleNotPersisted    = "told-before-kept" // a vote or promise is sent that is not on disk
	RulePanic           = "panic"
)

// checker observes the nodes from outside.
type checker struct {
	sim           *Simulation
	findings      []Finding
	leaders       []termLeader
	tables        []observedTable
	voterSets     []voterSet
	tokenHolders  []tokenHolder
	leases        []observedLease
	appliedTokens []appliedToken
	operations    []porcupine.Operation
	vacancies     []vacancy
	gaps          []Gap
	lastFault     string // for Gap
	lastFaultAt   float64
}

// termLeader is who leads in a term.
type termLeader struct {
	epoch, term uint64
	leader      swim.ID
}

// observedTable is the content of the table of an epoch and index.
type observedTable struct {
	epoch, index uint64
	sum          string
}

// voterSet is the voters that the leader of an epoch last published.
type voterSet struct {
	epoch, term uint64
	leader      swim.ID
	voters      []swim.ID
}

// tokenHolder is the identity that a token was granted to.
type tokenHolder struct {
	role     string
	token    uint64
	identity *identity
}

// observedLease is a lease that has started and not ended.
type observedLease struct {
	node        *node
	incarnation int
	role        string
	token       uint64
}

// appliedToken is the highest token under which a receiver has applied effects.
type appliedToken struct {
	identity *identity
	role     string
	token    uint64
}

// vacancy is since when a role has no holder, +Inf while it has one.
type vacancy struct {
	role       string
	since      float64
	lastHolder *node
}

// Gap is a time in which a role had no holder.
type Gap struct {
	Role            string
	Seconds         float64
	Fault           string
	RecoverySeconds float64 // from the last fault to the next holder
}

// breakRule records a violation. Only the first twenty are kept.
func (s *Simulation) breakRule(rule, format string, args ...any) {
	why := fmt.Sprintf(format, args...)
	s.record("BROKEN %s: %s", rule, why)
	if len(s.findings) < 20 {
		s.findings = append(s.findings, Finding{At: s.Now(), Rule: rule, Why: why})
	}
}

// checkNode checks a node that has just handled a call.
func (s *Simulation) checkNode(n *node) {
	f := n.lease.Stats()
	if f.IsLeader {
		i := slices.IndexFunc(s.leaders, func(l termLeader) bool { return l.epoch == f.Epoch && l.term == f.Term })
		if i < 0 {
			s.counts.ElectionsWon++
			s.record("%d leads in term %d", n.number, f.Term)
			s.leaders = append(s.leaders, termLeader{f.Epoch, f.Term, n.identity.id})
		} else if s.leaders[i].leader != n.identity.id {
			s.breakRule(RuleTwoLeaders, "%v and %v lead in term %d", s.leaders[i].leader, n.identity.id, f.Term)
		}
	}
	s.checkTable(n, f)
	for _, role := range s.roles {
		token, ok := n.lease.Holds(n.localTime(), role)
		if !ok {
			continue
		}
		for _, o := range s.nodes {
			if o == n || !o.up {
				continue
			}
			if other, too := o.lease.Holds(o.localTime(), role); too {
				s.breakRule(RuleTwoLeases, "%d under %#x and %d under %#x may act for %s", n.number, token, o.number, other, role)
			}
		}
	}
}

// checkTable compares a node's table with those seen before, and a leader's voters with those that it published before.
func (s *Simulation) checkTable(n *node, f lease.Stats) {
	t := n.lease.Table()
	if at := [4]uint64{t.Epoch, t.Index, t.Term, uint64(t.Leader)}; t.Epoch == 0 || n.checkedTable == at {
		return
	} else {
		n.checkedTable = at
	}
	sum := fmt.Sprint(t.Grants, t.Voters)
	i, known := slices.BinarySearchFunc(s.tables, t, func(k observedTable, t lease.Table) int {
		if k.epoch != t.Epoch {
			return int(int64(k.epoch) - int64(t.Epoch))
		}
		return int(int64(k.index) - int64(t.Index))
	})
	switch {
	case !known:
		s.tables = slices.Insert(s.tables, i, observedTable{t.Epoch, t.Index, sum})
	case s.tables[i].sum != sum:
		s.breakRule(RuleTwoHistories, "epoch %d index %d is %s, and at %d %s", t.Epoch, t.Index, s.tables[i].sum, n.number, sum)
		s.tables[i].sum = sum
	}
	if !f.IsLeader || t.Epoch != f.Epoch || t.Leader != n.identity.id {
		return
	}
	j := slices.IndexFunc(s.voterSets, func(e voterSet) bool { return e.epoch == f.Epoch })
	if j < 0 {
		s.counts.GroupsFounded++
		s.voterSets = append(s.voterSets, voterSet{f.Epoch, f.Term, n.identity.id, t.Voters})
		return
	}
	e := &s.voterSets[j]
	if f.Term < e.term {
		return
	}
	if f.Term == e.term {
		came, went := 0, 0
		for _, id := range t.Voters {
			if !slices.Contains(e.voters, id) {
				came++
			}
		}
		for _, id := range e.voters {
			if !slices.Contains(t.Voters, id) {
				went++
			}
		}
		if came+went > 0 {
			s.record("voters are %v", t.Voters)
			s.counts.VotersReplaced += went
		}
		if came > 1 || went > 1 {
			s.breakRule(RuleVoters, "%d come and %d go at once", came, went)
		}
	}
	e.term, e.leader, e.voters = f.Term, n.identity.id, t.Voters
}

// checkPersisted checks that a vote or promise that is about to be sent is on the node's disk.
func (s *Simulation) checkPersisted(n *node, m *lease.Message) {
	promises := m.Founding != nil && (m.Founding.Step == lease.StepPromise || m.Founding.Step == lease.StepAccepted)
	var vote raftpb.Message
	if m.Raft != nil {
		if err := proto.Unmarshal(m.Raft, &vote); err != nil {
			panic(err)
		}
	}
	if votes := vote.GetType() == raftpb.MsgVoteResp && !vote.GetReject(); !promises && !votes {
		return
	}
	var kept struct {
		Promised uint64 `msgpack:"p"`
		Hard     []byte `msgpack:"h"`
	}
	var hard raftpb.HardState
	if n.disk != nil {
		if err := errors.Join(msgpack.Unmarshal(n.disk, &kept), proto.Unmarshal(kept.Hard, &hard)); err != nil {
			panic(err)
		}
	}
	switch {
	case promises && m.Founding.Ballot > kept.Promised:
		s.breakRule(RuleNotPersisted, "%d promises %#x, its disk has %#x", n.number, m.Founding.Ballot, kept.Promised)
	case !promises && (hard.GetTerm() < vote.GetTerm() || hard.GetTerm() == vote.GetTerm() && hard.GetVote() != vote.GetTo()):
		s.breakRule(RuleNotPersisted, "%d votes in term %d, and its disk has a vote in %d", n.number, vote.GetTerm(), hard.GetTerm())
	}
}

// leaseStarted observes that a lease starts.
func (s *Simulation) leaseStarted(n *node, role string, token uint64) {
	s.record("%d holds %s under %#x", n.number, role, token)
	s.counts.Grants++
	for _, o := range s.tokenHolders {
		if o.role == role && (o.token > token || o.token == token) {
			s.breakRule(RuleTokenOfTwo, "%s is granted under %#x to %d, after %#x", role, token, n.number, o.token)
			break
		}
	}
	s.tokenHolders = append(s.tokenHolders, tokenHolder{role, token, n.identity})
	s.leases = append(s.leases, observedLease{n, n.incarnation, role, token})
	s.recordOperation(n, role, operation{"acquire", token, n.number}, s.Now(), s.Now())
	for i := range s.vacancies {
		if g := &s.vacancies[i]; g.role == role {
			if g.lastHolder != nil && g.lastHolder != n {
				s.counts.Moves++
			}
			if !math.IsInf(g.since, 1) && g.lastHolder != nil {
				s.gaps = append(s.gaps, Gap{Role: role, Seconds: s.Now() - g.since, Fault: s.lastFault, RecoverySeconds: s.Now() - s.lastFaultAt})
			}
			g.since, g.lastHolder = math.Inf(1), n
			return
		}
	}
	s.vacancies = append(s.vacancies, vacancy{role, math.Inf(1), n})
}

// leaseEnded observes that a lease ends.
func (s *Simulation) leaseEnded(n *node, role string, token uint64, why string) {
	s.record("%d no longer holds %s under %#x: %s", n.number, role, token, why)
	s.leases = slices.DeleteFunc(s.leases, func(l observedLease) bool { return l.node == n && l.role == role })
	s.recordOperation(n, role, operation{"end", token, n.number}, s.Now(), s.Now())
	s.roleVacated(n, role)
}

// roleVacated observes that a role has no holder any more.
func (s *Simulation) roleVacated(n *node, role string) {
	for i := range s.vacancies {
		if g := &s.vacancies[i]; g.role == role && g.lastHolder == n && math.IsInf(g.since, 1) {
			g.since = s.Now()
		}
	}
}

// processEnded ends the leases of a process that is gone.
func (s *Simulation) processEnded(n *node, why string) {
	for _, l := range slices.Clone(s.leases) {
		if l.node == n {
			s.leaseEnded(n, l.role, l.token, why)
		}
	}
}

// effectSent observes that a holder is about to act.
func (s *Simulation) effectSent(n *node, role string, token uint64) {
	s.recordOperation(n, role, operation{"use", token, n.number}, s.Now(), s.Now())
}

// effectApplied observes that a receiver applies an effect.
func (s *Simulation) effectApplied(n *node, by *identity, role string, token, number uint64) {
	i := slices.IndexFunc(s.tokenHolders, func(o tokenHolder) bool { return o.role == role && o.token == token })
	if i < 0 || s.tokenHolders[i].identity != by {
		s.breakRule(RuleTokenOfTwo, "%d applies %s of %v under %#x, which it was not granted", n.number, role, by.id, token)
	}
	j := slices.IndexFunc(s.appliedTokens, func(t appliedToken) bool { return t.identity == n.identity && t.role == role })
	switch {
	case j < 0:
		s.appliedTokens = append(s.appliedTokens, appliedToken{n.identity, role, token})
	case token < s.appliedTokens[j].token:
		s.breakRule(RuleTokenDecreased, "%d applies %s under %#x after %#x", n.number, role, token, s.appliedTokens[j].token)
	default:
		s.appliedTokens[j].token = token
	}
}
