package quota

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is all that a machine knows, in one piece: its trees' groups by their paths, and their accounts.
type State struct {
	At       float64
	Mark     uint64 // of the tree and the settings
	Paths    []string
	Limits   []string
	Books    []BookState // empty of open requests, which end with the process
	Stats    []Stats
	Refusals []Refusal

	tree     *Tree
	settings Settings
}

// BookState is one limit's accounts.
type BookState struct {
	Cells []byte
	Queue []dueCell
	Lost  float64

	accounts []account
}

// stateVersion is raised whenever older programs would misread what is written.
const stateVersion = 1

var stateMagic = []byte("hazelwheel quota")

// The errors of Decode.
var (
	ErrNewer   = errors.New("it is of a newer version of the program")
	ErrDamaged = errors.New("it is damaged")
)

// State returns a copy of what the machine knows, which may be encoded while the machine goes on.
func (l *Limiter) State() *State {
	s := &State{At: l.now, Stats: slices.Clone(l.stats), Refusals: slices.Clone(l.refusals), tree: l.tree, settings: l.settings}
	for i, limit := range l.tree.Limits {
		s.Limits = append(s.Limits, limit.Name())
		var table BookState
		if l.tables[i] != nil {
			table = BookState{accounts: slices.Clone(l.tables[i].accounts), Queue: slices.Clone(l.tables[i].queue), Lost: l.tables[i].overflow}
		}
		s.Books = append(s.Books, table)
	}
	return s
}

// fillNames fills in what need not be written down while the loop waits.
func (s *State) fillNames() {
	if s.tree == nil || s.Paths != nil {
		return
	}
	s.Mark = s.tree.fingerprint(&s.settings)
	for n := range s.tree.nodes {
		s.Paths = append(s.Paths, s.tree.nodes[n].path)
	}
}

// fingerprint is the same for trees whose accounts mean the same.
func (t *Tree) fingerprint(s *Settings) uint64 {
	h := xxhash.New()
	fmt.Fprint(h, *s, t.Limits)
	for n := range t.nodes {
		t := &t.nodes[n]
		fmt.Fprint(h, t.path, t.weight, t.floor, t.quota, t.cap)
	}
	return h.Sum64()
}

// Encode returns a state as bytes: a name, a version, a checksum, and what they are of.
func (s *State) Encode() ([]byte, error) {
	s.fillNames()
	for i := range s.Books {
		var raw bytes.Buffer
		if err := binary.Write(&raw, binary.LittleEndian, s.Books[i].accounts); err != nil {
			return nil, err
		}
		s.Books[i].Cells = raw.Bytes()
	}
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(s); err != nil {
		return nil, err
	}
	out := binary.LittleEndian.AppendUint32(slices.Clone(stateMagic), stateVersion)
	out = binary.LittleEndian.AppendUint64(out, xxhash.Sum64(body.Bytes()))
	return append(out, body.Bytes()...), nil
}

// Decode returns the state that bytes hold. An error wraps ErrNewer or ErrDamaged.
func Decode(raw []byte) (*State, error) {
	rest, ok := bytes.CutPrefix(raw, stateMagic)
	if !ok || len(rest) < 12 {
		return nil, fmt.Errorf("%w: it does not begin like a snapshot of quotas", ErrDamaged)
	}
	version, sum, body := binary.LittleEndian.Uint32(rest), binary.LittleEndian.Uint64(rest[4:]), rest[12:]
	if version > stateVersion {
		return nil, fmt.Errorf("%w: %d, and this one knows %d", ErrNewer, version, stateVersion)
	}
	if xxhash.Sum64(body) != sum {
		return nil, fmt.Errorf("%w: the checksum is wrong", ErrDamaged)
	}
	s := &State{}
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(s); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	if len(s.Books) != len(s.Limits) || len(s.Stats) != len(s.Paths) || len(s.Refusals) != len(s.Paths) {
		return nil, fmt.Errorf("%w: its parts do not fit together", ErrDamaged)
	}
	for i := range s.Books {
		state := &s.Books[i]
		for _, x := range state.Queue {
			if x.Cell < 0 || int(x.Cell) >= len(s.Paths) {
				return nil, fmt.Errorf("%w: %s waits for an account that it has not", ErrDamaged, s.Limits[i])
			}
		}
		if len(state.Cells) == 0 {
			continue
		}
		state.accounts = make([]account, len(s.Paths))
		if binary.Size(state.accounts) != len(state.Cells) {
			return nil, fmt.Errorf("%w: %s has another number of accounts", ErrDamaged, s.Limits[i])
		}
		if err := binary.Read(bytes.NewReader(state.Cells), binary.LittleEndian, state.accounts); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrDamaged, err)
		}
	}
	return s, nil
}

// Restore returns a machine that goes on from a state. With the tree and the settings that the state is of it goes on as
// if nothing had been; else each group whose path and limit there still are keeps its account, see Replace.
func Restore(tree *Tree, settings Settings, s *State, now float64) *Limiter {
	s.fillNames()
	if now < s.At {
		s.shiftTimes(now - s.At)
	}
	l := New(tree, settings, s.At)
	if tree.fingerprint(&l.settings) == s.Mark && len(s.Paths) == tree.Len() {
		copy(l.stats, s.Stats)
		copy(l.refusals, s.Refusals)
		for i, table := range l.tables {
			if table != nil {
				copy(table.accounts, s.Books[i].accounts)
				table.overflow = s.Books[i].Lost
				table.queue = append(table.queue[:0], s.Books[i].Queue...)
				clear(table.queueIndex)
				for at, x := range table.queue {
					table.queueIndex[x.Cell] = int32(at + 1)
				}
			}
		}
	} else {
		l.adoptState(s)
	}
	l.advance(now)
	return l
}

// shiftTimes moves all times. Danger: a clock that was set back while the program was down would stand still, for this machine,
// until it has come to where it was.
func (s *State) shiftTimes(by float64) {
	s.At += by
	for i := range s.Refusals {
		s.Refusals[i].At += by
	}
	for i := range s.Books {
		state := &s.Books[i]
		for n := range state.accounts {
			a := &state.accounts[n]
			a.SettledAt, a.LastDrawnAt, a.CapSettledAt = a.SettledAt+by, a.LastDrawnAt+by, a.CapSettledAt+by
			a.Epoch, a.AskedEpoch, a.DemandWindow = -1, -1, -1
		}
		for n := range state.Queue {
			state.Queue[n].Due += by
		}
	}
}

// WithTree puts another tree in a machine's place. What a group holds, owes and is owed goes on under its path, within its
// new bounds. The debts of a group that is gone are written off, and its claims fall to the pool that they are on; a new
// group begins with a full bucket.
func (l *Limiter) WithTree(now float64, tree *Tree, settings Settings) *Limiter {
	now = l.advance(now)
	for _, table := range l.tables {
		if table != nil {
			table.settleAll(now)
		}
	}
	next := New(tree, settings, now)
	old := next.adoptState(l.State())
	moved := make([]int32, l.tree.Len())
	for n := range moved {
		moved[n] = int32(old[n])
		if parent := l.tree.nodes[n].parent; moved[n] < 0 && parent >= 0 {
			moved[n] = moved[parent]
		}
	}
	// Danger: a request is answered long after its group's number has come to mean another group.
	next.treeNumber, next.groupMoves = l.treeNumber+1, append(slices.Clone(l.groupMoves[max(0, len(l.groupMoves)-maxOldTrees+1):]), moved)
	for i, counts := range next.openCounts {
		if counts != nil {
			counts.sinceTree = next.treeNumber
		}
		if j := l.tree.limitIndex(tree.Limits[i].Name()); counts != nil && j >= 0 {
			counts.sinceTree = l.openCounts[j].sinceTree
			counts.meanSeconds = l.openCounts[j].meanSeconds
			for n, to := range old {
				if to >= 0 {
					counts.open[to] = l.openCounts[j].open[n]
				}
			}
		}
	}
	return next
}

// maxOldTrees before the present one are known to requests that are open.
const maxOldTrees = 16

// presentGroup returns where a request that was taken up counts now, -1: nowhere.
func (l *Limiter) presentGroup(q *Request) int32 {
	g := q.Group
	for tree := q.tree; tree < l.treeNumber && g >= 0; tree++ {
		at := len(l.groupMoves) - (l.treeNumber - tree)
		if at < 0 {
			return -1
		}
		g = l.groupMoves[at][g]
	}
	return g
}

func (t *Tree) limitIndex(limit string) int {
	if i, ok := t.limit(limit); ok {
		return i
	}
	return -1
}

// adoptState takes over a state of another tree. It returns the numbers here of the state's groups, -1 of those that are gone.
func (l *Limiter) adoptState(s *State) []int {
	s.fillNames()
	to := make([]int, len(s.Paths))
	for n, path := range s.Paths {
		if to[n] = 0; n == 0 {
			continue
		}
		if to[n] = -1; path != "" {
			if g, ok := l.tree.Find(path); ok && l.tree.nodes[g].path == path {
				to[n] = int(g)
			}
		}
	}
	for n, g := range to {
		if g >= 0 {
			l.stats[g] = s.Stats[n]
			if r := s.Refusals[n]; r.Limit >= 0 && int(r.Limit) < len(s.Limits) {
				r.Limit = int32(l.tree.limitIndex(s.Limits[r.Limit]))
				l.refusals[g] = r
			}
		}
	}
	for i, name := range s.Limits {
		if j := l.tree.limitIndex(name); j >= 0 && l.tables[j] != nil && len(s.Books[i].accounts) > 0 {
			l.tables[j].adoptAccounts(s.Books[i].accounts, to, l.now)
			l.tables[j].overflow = s.Books[i].Lost
		}
	}
	return to
}

// adoptAccounts takes over accounts; to says whose they are now.
func (t *accountTable) adoptAccounts(cells []account, to []int, now float64) {
	for n, g := range to {
		if g < 0 {
			continue
		}
		a, old := &t.accounts[g], &cells[n]
		a.CapLevel = min(old.CapLevel, a.CapLevel)
		if a.Level = min(old.Level, a.Capacity); !t.tree.links[g].inner {
			// Danger: a bucket that has become larger and stays as empty is below its floor for as long as that takes to fill.
			a.Level += max(a.Capacity-old.Capacity, 0)
		}
		if t.tree.links[g].inner {
			a.Level = max(a.Level, 0)
		}
		a.Balance, a.Drawn, a.LastDrawnAt, a.Tally = old.Balance, old.Drawn, old.LastDrawnAt, old.Tally
		a.Turn, a.AskedEpoch, a.Epoch = old.Turn, old.AskedEpoch, old.Epoch
		a.Wanting, a.Wanted, a.Claiming, a.Claimed = old.Wanting, old.Wanted, old.Claiming, old.Claimed
	}
	t.accounts[0].Balance = 0
	for n := range t.accounts {
		t.accounts[n].Equity = 0
	}
	for n := range t.accounts { // what the balances do not account for is nobody's, or written off
		a := &t.accounts[n]
		if t.tree.nodes[n].inner {
			a.Equity += a.Level + a.Balance
		}
		if n > 0 {
			t.accounts[t.tree.nodes[n].parent].Equity -= a.Balance
		}
	}
	t.resetFlows(now)
}

// Audit returns by how much the accounts of a group, those of its children and what it holds disagree, the worst of all
// limits; it is 0 but for the last digits of sums.
func (l *Limiter) Audit(now float64) (worst float64, at string) {
	now = l.advance(now)
	for _, table := range l.tables {
		if table == nil {
			continue
		}
		table.settleAll(now)
		sums := make([]float64, len(table.accounts))
		for n := len(table.accounts) - 1; n >= 0; n-- {
			a, group := &table.accounts[n], &l.tree.nodes[n]
			off := 0.0
			if group.inner {
				off = max(abs(a.Level-a.Equity-sums[n]+a.Balance), -a.Level, a.Level-a.Capacity)
			} else {
				off = a.Level - a.Capacity
			}
			y := &a.Tally
			off = max(off, abs(a.Balance-(y.Lent-y.Returned-y.Borrowed+y.Repaid+y.Forgiven-y.Expired)))
			if off /= 1 + 1e-9*y.Used; off > worst {
				worst, at = off, table.limit.Name()+" of "+l.tree.Path(int32(n))
			}
			if n > 0 {
				sums[group.parent] += a.Balance
			}
		}
	}
	return worst, at
}

func abs(v float64) float64 { return max(v, -v) }
