package leasesim

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/sim/seeds"
)

// Finding is a rule that was broken.
type Finding = seeds.Finding

// The rules.
const (
	RuleTwoLeases       = "two-leases"       // at one instant two members hold a valid lease for one job
	RuleTokenDecreased  = "token-falls"      // a receiver takes an effect under a token lower than one that it took before
	RuleTokenOfTwo      = "token-of-two"     // one token has two owners, or a grant does not raise the token
	RuleTwoLeaders      = "two-leaders"      // two lead in one term
	RuleTwoHistories    = "two-histories"    // of one epoch and index there are two tables
	RuleVoters          = "electors-leap"    // more than one elector is replaced at once
	RuleNotLinearizable = "not-linearizable" // there is no order of grants, uses and ends that all have seen
	RuleNoHolder        = "nobody"           // a majority is up and calm, and a job has no owner
	RuleUneven          = "uneven"           // a calm fleet's jobs are not spread evenly
	RuleNotPersisted    = "told-before-kept" // a vote or a promise is told that is not on the disk
	RulePanic           = "panic"
)

// judge is what is seen from outside.
type judge struct {
	w        *Simulation
	findings []Finding
	leaders  []ledTerm
	tables   []knownTable
	electors []electorsAt
	owners   []tokenOwner
	leases   []observedLease
	taken    []takenToken
	ops      []porcupine.Operation
	idle     []rest
	gaps     []Gap
	why      string // what the last trouble was, for gaps
	whyAt    float64
}

type ledTerm struct {
	epoch, term uint64
	id          swim.ID
}

type knownTable struct {
	epoch, index uint64
	sum          string
}

type electorsAt struct {
	epoch, term uint64
	of          swim.ID
	list        []swim.ID
}

type tokenOwner struct {
	job   string
	token uint64
	by    *identity
}

// observedLease is one that a member was told of, and that it was not told the end of.
type observedLease struct {
	n     *node
	life  int
	job   string
	token uint64
}

type takenToken struct {
	by    *identity
	job   string
	token uint64
}

type rest struct {
	job   string
	since float64
	last  *node
}

// Gap is a time without an owner.
type Gap struct {
	Role            string
	Seconds         float64
	Fault           string
	RecoverySeconds float64 // from the trouble to the next owner
}

func (w *Simulation) broken(rule, format string, args ...any) {
	why := fmt.Sprintf(format, args...)
	w.note("BROKEN %s: %s", rule, why)
	if len(w.findings) < 20 {
		w.findings = append(w.findings, Finding{At: w.Now(), Rule: rule, Why: why})
	}
}

// check looks at a member that has just done something.
func (w *Simulation) check(n *node) {
	f := n.t.Stats()
	if f.IsLeader {
		i := slices.IndexFunc(w.leaders, func(l ledTerm) bool { return l.epoch == f.Epoch && l.term == f.Term })
		if i < 0 {
			w.counts.ElectionsWon++
			w.note("%d leads in term %d", n.number, f.Term)
			w.leaders = append(w.leaders, ledTerm{f.Epoch, f.Term, n.ident.id})
		} else if w.leaders[i].id != n.ident.id {
			w.broken(RuleTwoLeaders, "%v and %v lead in term %d", w.leaders[i].id, n.ident.id, f.Term)
		}
	}
	w.checkTable(n, f)
	for _, job := range w.jobs {
		token, ok := n.t.Holds(n.clock(), job)
		if !ok {
			continue
		}
		for _, o := range w.nodes {
			if o == n || !o.up {
				continue
			}
			if other, too := o.t.Holds(o.clock(), job); too {
				w.broken(RuleTwoLeases, "%d under %#x and %d under %#x may act for %s", n.number, token, o.number, other, job)
			}
		}
	}
}

func (w *Simulation) checkTable(n *node, f lease.Stats) {
	t := n.t.Table()
	if at := [4]uint64{t.Epoch, t.Index, t.Term, uint64(t.Leader)}; t.Epoch == 0 || n.table == at {
		return
	} else {
		n.table = at
	}
	sum := fmt.Sprint(t.Grants, t.Voters)
	i, known := slices.BinarySearchFunc(w.tables, t, func(k knownTable, t lease.Table) int {
		if k.epoch != t.Epoch {
			return int(int64(k.epoch) - int64(t.Epoch))
		}
		return int(int64(k.index) - int64(t.Index))
	})
	switch {
	case !known:
		w.tables = slices.Insert(w.tables, i, knownTable{t.Epoch, t.Index, sum})
	case w.tables[i].sum != sum:
		w.broken(RuleTwoHistories, "epoch %d index %d is %s, and at %d %s", t.Epoch, t.Index, w.tables[i].sum, n.number, sum)
		w.tables[i].sum = sum
	}
	if !f.IsLeader || t.Epoch != f.Epoch || t.Leader != n.ident.id {
		return
	}
	j := slices.IndexFunc(w.electors, func(e electorsAt) bool { return e.epoch == f.Epoch })
	if j < 0 {
		w.counts.GroupsFounded++
		w.electors = append(w.electors, electorsAt{f.Epoch, f.Term, n.ident.id, t.Voters})
		return
	}
	e := &w.electors[j]
	if f.Term < e.term {
		return
	}
	if f.Term == e.term {
		came, went := 0, 0
		for _, id := range t.Voters {
			if !slices.Contains(e.list, id) {
				came++
			}
		}
		for _, id := range e.list {
			if !slices.Contains(t.Voters, id) {
				went++
			}
		}
		if came+went > 0 {
			w.note("electors are %v", t.Voters)
			w.counts.VotersReplaced += went
		}
		if came > 1 || went > 1 {
			w.broken(RuleVoters, "%d come and %d go at once", came, went)
		}
	}
	e.term, e.of, e.list = f.Term, n.ident.id, t.Voters
}

// checkKept looks whether what a member promises is on its disk.
func (w *Simulation) checkKept(n *node, m *lease.Message) {
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
		w.broken(RuleNotPersisted, "%d promises %#x, and its disk has %#x", n.number, m.Founding.Ballot, kept.Promised)
	case !promises && (hard.GetTerm() < vote.GetTerm() || hard.GetTerm() == vote.GetTerm() && hard.GetVote() != vote.GetTo()):
		w.broken(RuleNotPersisted, "%d votes in term %d, and its disk has a vote in %d", n.number, vote.GetTerm(), hard.GetTerm())
	}
}

// granted takes that a lease begins.
func (w *Simulation) granted(n *node, job string, token uint64) {
	w.note("%d owns %s under %#x", n.number, job, token)
	w.counts.Grants++
	for _, o := range w.owners {
		if o.job == job && (o.token > token || o.token == token) {
			w.broken(RuleTokenOfTwo, "%s is granted under %#x to %d, after %#x", job, token, n.number, o.token)
			break
		}
	}
	w.owners = append(w.owners, tokenOwner{job, token, n.ident})
	w.leases = append(w.leases, observedLease{n, n.life, job, token})
	w.op(n, job, input{"acquire", token, n.number}, w.Now(), w.Now())
	for i := range w.idle {
		if g := &w.idle[i]; g.job == job {
			if g.last != nil && g.last != n {
				w.counts.Moves++
			}
			if !math.IsInf(g.since, 1) && g.last != nil {
				w.gaps = append(w.gaps, Gap{Role: job, Seconds: w.Now() - g.since, Fault: w.why, RecoverySeconds: w.Now() - w.whyAt})
			}
			g.since, g.last = math.Inf(1), n
			return
		}
	}
	w.idle = append(w.idle, rest{job, math.Inf(1), n})
}

// endedOne takes that a lease ends.
func (w *Simulation) endedOne(n *node, job string, token uint64, why string) {
	w.note("%d owns %s under %#x no more: %s", n.number, job, token, why)
	w.leases = slices.DeleteFunc(w.leases, func(l observedLease) bool { return l.n == n && l.job == job })
	w.op(n, job, input{"end", token, n.number}, w.Now(), w.Now())
	w.idles(n, job)
}

func (w *Simulation) idles(n *node, job string) {
	for i := range w.idle {
		if g := &w.idle[i]; g.job == job && g.last == n && math.IsInf(g.since, 1) {
			g.since = w.Now()
		}
	}
}

// ended takes that a process is no more.
func (w *Simulation) ended(n *node, why string) {
	for _, l := range slices.Clone(w.leases) {
		if l.n == n {
			w.endedOne(n, l.job, l.token, why)
		}
	}
}

// used takes that a member is about to act.
func (w *Simulation) used(n *node, job string, token uint64) {
	w.op(n, job, input{"use", token, n.number}, w.Now(), w.Now())
}

// took takes that a receiver has taken an effect.
func (w *Simulation) took(n *node, by *identity, job string, token, number uint64) {
	i := slices.IndexFunc(w.owners, func(o tokenOwner) bool { return o.job == job && o.token == token })
	if i < 0 || w.owners[i].by != by {
		w.broken(RuleTokenOfTwo, "%d takes %s of %v under %#x, which it was not granted", n.number, job, by.id, token)
	}
	j := slices.IndexFunc(w.taken, func(t takenToken) bool { return t.by == n.ident && t.job == job })
	switch {
	case j < 0:
		w.taken = append(w.taken, takenToken{n.ident, job, token})
	case token < w.taken[j].token:
		w.broken(RuleTokenDecreased, "%d takes %s under %#x after %#x", n.number, job, token, w.taken[j].token)
	default:
		w.taken[j].token = token
	}
}

// --- The history of grants ---

type input struct {
	what  string
	token uint64
	by    int
}

type job struct {
	name string
	input
}

func (w *Simulation) op(n *node, name string, in input, from, to float64) {
	w.ops = append(w.ops, porcupine.Operation{ClientId: n.number, Input: job{name, in}, Call: int64(from * 1e9), Output: nil, Return: int64(to * 1e9)})
}

// held is the state of a job: the last token, and who holds it; -1: nobody.
type held struct {
	token uint64
	by    int
}

// model is a lock with tokens: it may be taken under a greater token at any time (the lease before has ended by then), is used
// only by who took it last, and ends once.
var model = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		var names []string
		var parts [][]porcupine.Operation
		for _, o := range all {
			name := o.Input.(job).name
			i := slices.Index(names, name)
			if i < 0 {
				i, names, parts = len(names), append(names, name), append(parts, nil)
			}
			parts[i] = append(parts[i], o)
		}
		return parts
	},
	Init: func() any { return held{by: -1} },
	Step: func(state, in, _ any) (bool, any) {
		s, o := state.(held), in.(job)
		switch o.what {
		case "acquire":
			return o.token > s.token, held{o.token, o.by}
		case "use":
			return s.token == o.token && s.by == o.by, s
		}
		if s.token == o.token && s.by == o.by {
			return true, held{s.token, -1}
		}
		return o.token < s.token, s
	},
	Equal: func(a, b any) bool { return a == b },
}

// checkHistory looks for an order of all that was seen.
func (w *Simulation) checkHistory() {
	if porcupine.CheckOperationsTimeout(model, w.ops, time.Minute) == porcupine.Illegal {
		w.broken(RuleNotLinearizable, "grants, uses and ends have no order")
	}
}
