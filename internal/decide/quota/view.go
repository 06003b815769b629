package quota

// View is the state of the limiter for operators: groups in the order of the tree, parents before children.
type View struct {
	At     float64     `json:"at"`
	Groups []GroupView `json:"groups"`
	All    int         `json:"all"`            // number of groups in the tree, without the root
	Lost   []float64   `json:"lost,omitempty"` // by limit: tokens that have overflowed the root
	Limits []string    `json:"limits"`
}

// GroupView is the state of a group.
type GroupView struct {
	Path     string      `json:"path"`
	Depth    int         `json:"depth"`
	Served   uint64      `json:"served"`
	Rejected uint64      `json:"refused"`
	Limits   []LimitView `json:"limits"`
}

// LimitView is the state of a group's account for one limit, in its unit. Quota is this sidecar's part, per window.
type LimitView struct {
	Limit     string  `json:"limit"`
	Quota     float64 `json:"quota"`
	Level     float64 `json:"holds"` // for open requests, how many are in flight
	Depth     float64 `json:"depth"`
	Credit    float64 `json:"claims,omitempty"` // deposited with the parent and not drawn back
	Debt      float64 `json:"owes,omitempty"`
	IsLending bool    `json:"lends,omitempty"` // its inflow goes to the parent
	Stretch   float64 `json:"stretch,omitempty"`
	Tally     `json:"tally"`
}

// View returns the state of at most limit groups. If the tree is larger, it leaves out groups without requests.
func (l *Limiter) View(now float64, limit int) View {
	now = l.advance(now)
	view := View{At: now, All: l.tree.Len() - 1, Groups: []GroupView{}}
	for i, table := range l.tables {
		view.Limits = append(view.Limits, l.tree.Limits[i].Name())
		lost := 0.0
		if table != nil {
			table.settleAll(now)
			lost = table.overflow
		}
		view.Lost = append(view.Lost, lost)
	}
	served, refused := l.subtreeCounts()
	var visit func(n int32)
	children := make([][]int32, l.tree.Len())
	for n := 1; n < l.tree.Len(); n++ {
		p := l.tree.nodes[n].parent
		children[p] = append(children[p], int32(n))
	}
	includesIdle := l.tree.Len() <= limit
	visit = func(n int32) {
		if len(view.Groups) >= limit || !includesIdle && n > 0 && served[n]+refused[n] == 0 {
			return
		}
		g := l.groupView(n)
		g.Served, g.Rejected = served[n], refused[n]
		view.Groups = append(view.Groups, g)
		for _, child := range children[n] {
			visit(child)
		}
	}
	visit(0)
	return view
}

// subtreeCounts returns the admitted and rejected requests of each group, including all groups below it.
func (l *Limiter) subtreeCounts() (served, refused []uint64) {
	served, refused = make([]uint64, len(l.stats)), make([]uint64, len(l.stats))
	for n := len(l.stats) - 1; n >= 0; n-- {
		served[n] += l.stats[n].Served
		refused[n] += l.stats[n].Refused
		if p := l.tree.nodes[n].parent; p >= 0 {
			served[p] += served[n]
			refused[p] += refused[n]
		}
	}
	return served, refused
}

// groupView returns the state of a group. Its accounts must be settled.
func (l *Limiter) groupView(n int32) GroupView {
	group := &l.tree.nodes[n]
	g := GroupView{Path: l.tree.Path(n), Depth: int(group.depth), Served: l.stats[n].Served, Rejected: l.stats[n].Refused}
	for i, limit := range l.tree.Limits {
		if counts := l.openCounts[i]; counts != nil {
			g.Limits = append(g.Limits, LimitView{Limit: limit.Name(), Quota: counts.quota[n], Level: float64(counts.open[n]), Depth: float64(counts.peak[n])})
			continue
		}
		a := &l.tables[i].accounts[n]
		g.Limits = append(g.Limits, LimitView{Limit: limit.Name(), Quota: group.quota[i] / float64(max(l.settings.Replicas, 1)), Level: a.Level, Depth: a.Capacity,
			Credit: max(a.Balance, 0), Debt: max(-a.Balance, 0), IsLending: a.IsOverflowing, Stretch: a.Stretch, Tally: a.Tally})
	}
	return g
}

// Explanation says why a group's last rejected request was rejected, and has the current state of the group and those above it.
type Explanation struct {
	Group             string      `json:"group"`
	Rejected          uint64      `json:"refused"`
	AgoSeconds        float64     `json:"ago_s"`
	Limit             string      `json:"limit"` // empty if no request was rejected
	Capped            bool        `json:"capped"`
	Shortfall         float64     `json:"lacked"`
	Level             float64     `json:"own"`
	RetryAfterSeconds float64     `json:"after_s"`
	Chain             []GroupView `json:"chain"` // from the group to the root
}

// Explain returns the explanation of a group's last rejection.
func (l *Limiter) Explain(now float64, g int32) Explanation {
	now = l.advance(now)
	_, refused := l.subtreeCounts()
	e := Explanation{Group: l.tree.Path(g), Rejected: refused[g]}
	if r := l.refusals[g]; r.Limit >= 0 {
		e.AgoSeconds, e.Limit, e.Capped, e.Shortfall, e.Level, e.RetryAfterSeconds = now-r.At, l.tree.Limits[r.Limit].Name(), r.Capped, r.Lacked, r.Own, r.AfterS
	}
	for _, table := range l.tables {
		if table != nil {
			table.settleChain(g, now)
		}
	}
	for n := g; n >= 0; n = l.tree.nodes[n].parent {
		e.Chain = append(e.Chain, l.groupView(n))
	}
	return e
}
