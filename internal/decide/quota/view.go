package quota

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
func (l *Limiter) View(now float64, limit int) View {
	now = l.advance(now)
	decision := View{At: now, All: l.tree.Len() - 1, Groups: []GroupView{}}
	for i, table := range l.tables {
		decision.Limits = append(decision.Limits, l.tree.Limits[i].Name())
		lost := 0.0
		if table != nil {
			table.settleAll(now)
			lost = table.overflow
		}
		decision.Lost = append(decision.Lost, lost)
	}
	served, refused := l.subtreeCounts()
	var visit func(n int32)
	children := make([][]int32, l.tree.Len())
	for n := 1; n < l.tree.Len(); n++ {
		p := l.tree.nodes[n].parent
		children[p] = append(children[p], int32(n))
	}
	quietToo := l.tree.Len() <= limit
	visit = func(n int32) {
		if len(decision.Groups) >= limit || !quietToo && n > 0 && served[n]+refused[n] == 0 {
			return
		}
		g := l.groupView(n)
		g.Served, g.Rejected = served[n], refused[n]
		decision.Groups = append(decision.Groups, g)
		for _, child := range children[n] {
			visit(child)
		}
	}
	visit(0)
	return decision
}

// subtreeCounts adds up the requests of each group and all below it.
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
