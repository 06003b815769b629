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
func (m *Limiter) State() *State {
	s := &State{At: m.now, Stats: slices.Clone(m.stats), Refusals: slices.Clone(m.refusals), tree: m.tree, settings: m.settings}
	for i, l := range m.tree.Limits {
		s.Limits = append(s.Limits, l.Name())
		var b BookState
		if m.tables[i] != nil {
			b = BookState{accounts: slices.Clone(m.tables[i].accounts), Queue: slices.Clone(m.tables[i].queue), Lost: m.tables[i].overflow}
		}
		s.Books = append(s.Books, b)
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
		b := &s.Books[i]
		for _, x := range b.Queue {
			if x.Cell < 0 || int(x.Cell) >= len(s.Paths) {
				return nil, fmt.Errorf("%w: %s waits for an account that it has not", ErrDamaged, s.Limits[i])
			}
		}
		if len(b.Cells) == 0 {
			continue
		}
		b.accounts = make([]account, len(s.Paths))
		if binary.Size(b.accounts) != len(b.Cells) {
			return nil, fmt.Errorf("%w: %s has another number of accounts", ErrDamaged, s.Limits[i])
		}
		if err := binary.Read(bytes.NewReader(b.Cells), binary.LittleEndian, b.accounts); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrDamaged, err)
		}
	}
	return s, nil
}

// Restore returns a machine that goes on from a state. With the tree and the settings that the state is of it goes on as
// if nothing had been; else each group whose path and limit there still are keeps its account, see Replace.
func Restore(t *Tree, settings Settings, s *State, now float64) *Limiter {
	s.fillNames()
	if now < s.At {
		s.shiftTimes(now - s.At)
	}
	m := New(t, settings, s.At)
	if t.fingerprint(&m.settings) == s.Mark && len(s.Paths) == t.Len() {
		copy(m.stats, s.Stats)
		copy(m.refusals, s.Refusals)
		for i, b := range m.tables {
			if b != nil {
				copy(b.accounts, s.Books[i].accounts)
				b.overflow = s.Books[i].Lost
				b.queue = append(b.queue[:0], s.Books[i].Queue...)
				clear(b.queueIndex)
				for at, x := range b.queue {
					b.queueIndex[x.Cell] = int32(at + 1)
				}
			}
		}
	} else {
		m.adoptState(s)
	}
	m.advance(now)
	return m
}

// shiftTimes moves all times. Danger: a clock that was set back while the program was down would stand still, for this machine,
// until it has come to where it was.
func (s *State) shiftTimes(by float64) {
	s.At += by
	for i := range s.Refusals {
		s.Refusals[i].At += by
	}
	for i := range s.Books {
		b := &s.Books[i]
		for n := range b.accounts {
			c := &b.accounts[n]
			c.SettledAt, c.LastDrawnAt, c.CapSettledAt = c.SettledAt+by, c.LastDrawnAt+by, c.CapSettledAt+by
			c.Epoch, c.AskedEpoch, c.DemandWindow = -1, -1, -1
		}
		for n := range b.Queue {
			b.Queue[n].Due += by
		}
	}
}

// WithTree puts another tree in a machine's place. What a group holds, owes and is owed goes on under its path, within its
// new bounds. The debts of a group that is gone are written off, and its claims fall to the pool that they are on; a new
// group begins with a full bucket.
func (m *Limiter) WithTree(now float64, t *Tree, settings Settings) *Limiter {
	now = m.advance(now)
	for _, b := range m.tables {
		if b != nil {
			b.settleAll(now)
		}
	}
	next := New(t, settings, now)
	old := next.adoptState(m.State())
	moved := make([]int32, m.tree.Len())
	for n := range moved {
		moved[n] = int32(old[n])
		if parent := m.tree.nodes[n].parent; moved[n] < 0 && parent >= 0 {
			moved[n] = moved[parent]
		}
	}
	// Danger: a request is answered long after its group's number has come to mean another group.
	next.treeNumber, next.groupMoves = m.treeNumber+1, append(slices.Clone(m.groupMoves[max(0, len(m.groupMoves)-maxOldTrees+1):]), moved)
	for i, o := range next.openCounts {
		if o != nil {
			o.sinceTree = next.treeNumber
		}
		if j := m.tree.limitIndex(t.Limits[i].Name()); o != nil && j >= 0 {
			o.sinceTree = m.openCounts[j].sinceTree
			o.meanSeconds = m.openCounts[j].meanSeconds
			for n, to := range old {
				if to >= 0 {
					o.open[to] = m.openCounts[j].open[n]
				}
			}
		}
	}
	return next
}

// maxOldTrees before the present one are known to requests that are open.
const maxOldTrees = 16

// presentGroup returns where a request that was taken up counts now, -1: nowhere.
func (m *Limiter) presentGroup(q *Request) int32 {
	g := q.Group
	for tree := q.tree; tree < m.treeNumber && g >= 0; tree++ {
		at := len(m.groupMoves) - (m.treeNumber - tree)
		if at < 0 {
			return -1
		}
		g = m.groupMoves[at][g]
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
func (m *Limiter) adoptState(s *State) []int {
	s.fillNames()
	to := make([]int, len(s.Paths))
	for n, path := range s.Paths {
		if to[n] = 0; n == 0 {
			continue
		}
		if to[n] = -1; path != "" {
			if g, ok := m.tree.Find(path); ok && m.tree.nodes[g].path == path {
				to[n] = int(g)
			}
		}
	}
	for n, g := range to {
		if g >= 0 {
			m.stats[g] = s.Stats[n]
			if r := s.Refusals[n]; r.Limit >= 0 && int(r.Limit) < len(s.Limits) {
				r.Limit = int32(m.tree.limitIndex(s.Limits[r.Limit]))
				m.refusals[g] = r
			}
		}
	}
	for i, name := range s.Limits {
		if j := m.tree.limitIndex(name); j >= 0 && m.tables[j] != nil && len(s.Books[i].accounts) > 0 {
			m.tables[j].adoptAccounts(s.Books[i].accounts, to, m.now)
			m.tables[j].overflow = s.Books[i].Lost
		}
	}
	return to
}

// adoptAccounts takes over accounts; to says whose they are now.
func (b *accountTable) adoptAccounts(cells []account, to []int, now float64) {
	for n, g := range to {
		if g < 0 {
			continue
		}
		c, o := &b.accounts[g], &cells[n]
		c.CapLevel = min(o.CapLevel, c.CapLevel)
		if c.Level = min(o.Level, c.Capacity); !b.tree.links[g].inner {
			// Danger: a bucket that has become larger and stays as empty is below its floor for as long as that takes to fill.
			c.Level += max(c.Capacity-o.Capacity, 0)
		}
		if b.tree.links[g].inner {
			c.Level = max(c.Level, 0)
		}
		c.Balance, c.Drawn, c.LastDrawnAt, c.Tally = o.Balance, o.Drawn, o.LastDrawnAt, o.Tally
		c.Turn, c.AskedEpoch, c.Epoch = o.Turn, o.AskedEpoch, o.Epoch
		c.Wanting, c.Wanted, c.Claiming, c.Claimed = o.Wanting, o.Wanted, o.Claiming, o.Claimed
	}
	b.accounts[0].Balance = 0
	for n := range b.accounts {
		b.accounts[n].Equity = 0
	}
	for n := range b.accounts { // what the balances do not account for is nobody's, or written off
		c := &b.accounts[n]
		if b.tree.nodes[n].inner {
			c.Equity += c.Level + c.Balance
		}
		if n > 0 {
			b.accounts[b.tree.nodes[n].parent].Equity -= c.Balance
		}
	}
	b.resetFlows(now)
}

// Audit returns by how much the accounts of a group, those of its children and what it holds disagree, the worst of all
// limits; it is 0 but for the last digits of sums.
func (m *Limiter) Audit(now float64) (worst float64, at string) {
	now = m.advance(now)
	for _, b := range m.tables {
		if b == nil {
			continue
		}
		b.settleAll(now)
		sums := make([]float64, len(b.accounts))
		for n := len(b.accounts) - 1; n >= 0; n-- {
			c, t := &b.accounts[n], &m.tree.nodes[n]
			off := 0.0
			if t.inner {
				off = max(abs(c.Level-c.Equity-sums[n]+c.Balance), -c.Level, c.Level-c.Capacity)
			} else {
				off = c.Level - c.Capacity
			}
			y := &c.Tally
			off = max(off, abs(c.Balance-(y.Lent-y.Returned-y.Borrowed+y.Repaid+y.Forgiven-y.Expired)))
			if off /= 1 + 1e-9*y.Used; off > worst {
				worst, at = off, b.limit.Name()+" of "+m.tree.Path(int32(n))
			}
			if n > 0 {
				sums[t.parent] += c.Balance
			}
		}
	}
	return worst, at
}

func abs(v float64) float64 { return max(v, -v) }
