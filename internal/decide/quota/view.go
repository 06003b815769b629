package quota

import "slices"

// View is what operators are shown: the groups in the order of the tree, parents before their children.
type View struct {
	At     float64     `json:"at"`
	Groups []GroupView `json:"groups"`
	All    int         `json:"all"`            // how many groups there are
	Lost   []float64   `json:"lost,omitempty"` // by limit: what found no room since nobody wanted it
	Limits []string    `json:"limits"`
}

// GroupView is a group.
type GroupView struct {
	Path     string      `json:"path"`
	Depth    int         `json:"depth"`
	Served   uint64      `json:"served"`
	Rejected uint64      `json:"refused"`
	Limits   []LimitView `json:"limits"`
}

// LimitView is a group's account for one limit, in its unit. Quota is this sidecar's part, in a window.
type LimitView struct {
	Limit     string  `json:"limit"`
	Quota     float64 `json:"quota"`
	Level     float64 `json:"holds"` // of open requests, how many there are
	Depth     float64 `json:"depth"`
	Credit    float64 `json:"claims,omitempty"` // deposited with its parent and not had back
	Debt      float64 `json:"owes,omitempty"`
	IsLending bool    `json:"lends,omitempty"` // all that comes in goes to its parent
	Stretch   float64 `json:"stretch,omitempty"`
	Tally     `json:"tally"`
}

// View shows at most so many groups, and of a tree that has more those that have been asked for, as far as they go.
func (m *Limiter) View(now float64, most int) View {
	now = m.advance(now)
	v := View{At: now, All: m.tree.Len() - 1, Groups: []GroupView{}}
	for i, b := range m.tables {
		v.Limits = append(v.Limits, m.tree.Limits[i].Name())
		lost := 0.0
		if b != nil {
			b.settleAll(now)
			lost = b.overflow
		}
		v.Lost = append(v.Lost, lost)
	}
	served, refused := m.subtreeCounts()
	var visit func(n int32)
	children := make([][]int32, m.tree.Len())
	for n := 1; n < m.tree.Len(); n++ {
		p := m.tree.nodes[n].parent
		children[p] = append(children[p], int32(n))
	}
	quietToo := m.tree.Len() <= most
	visit = func(n int32) {
		if len(v.Groups) >= most || !quietToo && n > 0 && served[n]+refused[n] == 0 {
			return
		}
		g := m.groupView(n)
		g.Served, g.Rejected = served[n], refused[n]
		v.Groups = append(v.Groups, g)
		for _, child := range children[n] {
			visit(child)
		}
	}
	visit(0)
	return v
}

// subtreeCounts adds up the requests of each group and all below it.
func (m *Limiter) subtreeCounts() (served, refused []uint64) {
	served, refused = make([]uint64, len(m.stats)), make([]uint64, len(m.stats))
	for n := len(m.stats) - 1; n >= 0; n-- {
		served[n] += m.stats[n].Served
		refused[n] += m.stats[n].Refused
		if p := m.tree.nodes[n].parent; p >= 0 {
			served[p] += served[n]
			refused[p] += refused[n]
		}
	}
	return served, refused
}

func (m *Limiter) groupView(n int32) GroupView {
	t := &m.tree.nodes[n]
	g := GroupView{Path: m.tree.Path(n), Depth: int(t.depth), Served: m.stats[n].Served, Rejected: m.stats[n].Refused}
	for i, l := range m.tree.Limits {
		if o := m.openCounts[i]; o != nil {
			g.Limits = append(g.Limits, LimitView{Limit: l.Name(), Quota: o.quota[n], Level: float64(o.open[n]), Depth: float64(o.peak[n])})
			continue
		}
		c := &m.tables[i].accounts[n]
		g.Limits = append(g.Limits, LimitView{Limit: l.Name(), Quota: t.quota[i] / float64(max(m.settings.Replicas, 1)), Level: c.Level, Depth: c.Capacity,
			Credit: max(c.Balance, 0), Debt: max(-c.Balance, 0), IsLending: c.IsOverflowing, Stretch: c.Stretch, Tally: c.Tally})
	}
	return g
}

// Explanation is why a group's last refusal was made, and how it and those above it stand.
type Explanation struct {
	Group             string      `json:"group"`
	Rejected          uint64      `json:"refused"`
	AgoSeconds        float64     `json:"ago_s"`
	Limit             string      `json:"limit"` // "": none is remembered
	Capped            bool        `json:"capped"`
	Shortfall         float64     `json:"lacked"`
	Level             float64     `json:"own"`
	RetryAfterSeconds float64     `json:"after_s"`
	Chain             []GroupView `json:"chain"` // the group first, the root last
}

// Explain tells of a group.
func (m *Limiter) Explain(now float64, g int32) Explanation {
	now = m.advance(now)
	_, refused := m.subtreeCounts()
	e := Explanation{Group: m.tree.Path(g), Rejected: refused[g]}
	if r := m.refusals[g]; r.Limit >= 0 {
		e.AgoSeconds, e.Limit, e.Capped, e.Shortfall, e.Level, e.RetryAfterSeconds = now-r.At, m.tree.Limits[r.Limit].Name(), r.Capped, r.Lacked, r.Own, r.AfterS
	}
	for _, b := range m.tables {
		if b != nil {
			b.settleChain(g, now)
		}
	}
	for n := g; n >= 0; n = m.tree.nodes[n].parent {
		e.Chain = append(e.Chain, m.groupView(n))
	}
	return e
}

// GroupCounts is how often a group's requests were taken up and refused.
type GroupCounts struct {
	Group    string `json:"group"`
	Served   uint64 `json:"served"`
	Rejected uint64 `json:"refused"`
}

// TopRejected returns the groups with most refusals, at most so many, the one with most first.
func (m *Limiter) TopRejected(most int) []GroupCounts {
	all := make([]GroupCounts, 0, most+1)
	for g, s := range m.stats {
		if s.Refused == 0 || len(all) == most && s.Refused <= all[most-1].Rejected {
			continue
		}
		at, _ := slices.BinarySearchFunc(all, s.Refused, func(b GroupCounts, n uint64) int {
			if b.Rejected >= n { // of equals the first in the tree
				return -1
			}
			return 1
		})
		all = slices.Insert(all, at, GroupCounts{m.tree.Path(int32(g)), s.Served, s.Refused})
		all = all[:min(len(all), most)]
	}
	return all
}

// Stats returns a group's requests, without those of the groups below it.
func (m *Limiter) Stats(g int32) Stats { return m.stats[g] }

// Tally returns what has happened to a group's account, and its balance with its parent. It is settled as of the last call.
func (m *Limiter) Tally(g int32, limit int) (t Tally, balance float64) {
	b := m.tables[limit]
	b.settleChain(g, m.now)
	return b.accounts[g].Tally, b.accounts[g].Balance
}

// Lost returns what of a limit's quota has found no room since nobody wanted it.
func (m *Limiter) Lost(limit int) float64 {
	m.tables[limit].settleAll(m.now)
	return m.tables[limit].overflow
}

// LostAt is Lost at a time.
func (m *Limiter) LostAt(now float64, limit int) float64 {
	m.advance(now)
	return m.Lost(limit)
}

// WasCapped tells whether a group's last refusal was for a cap.
func (m *Limiter) WasCapped(g int32) bool { return m.refusals[g].Limit >= 0 && m.refusals[g].Capped }
