package maintenance

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hazelwheel/internal/decide/swim"
)

// history checks that the sequence of committed states keeps the invariants of every plan.
type history struct {
	*driver
	t        *rapid.T
	maxToken uint64           // the highest token so far
	stages   map[string]Stage // in the state before, by plan and server
}

// check checks the invariants of the committed state, compared with the one before.
func (h *history) check(previous State) {
	planOf := map[string]uint64{}
	for i := range h.committed.State.Plans {
		p := &h.committed.State.Plans[i]
		out, sites := 0, map[string]int{}
		for _, b := range p.Servers {
			key := fmt.Sprint(p.Number, " ", b.Name)
			before := h.stages[key]
			h.stages[key] = b.Stage
			require.False(h.t, before >= Done && b.Stage != before && !(before == Lost && b.Stage == Skipped), "%s had ended in stage %d and is in %d", key, before, b.Stage)
			require.False(h.t, before == InMaintenance && b.Stage != InMaintenance && b.Stage != WarmingUp && b.Stage != Lost, "%s was taken from its agent: it is in stage %d", key, b.Stage)
			if b.Stage >= Draining && b.Stage <= WarmingUp {
				out++
				sites[b.Site]++
			}
			if b.Stage == InMaintenance && before != InMaintenance {
				require.Greater(h.t, b.Token, h.maxToken, "tokens grow")
				h.maxToken = b.Token
				if len(b.ForcedPast) == 0 {
					h.requireEmpty(p, b.Name)
				}
			}
			if b.Stage == Skipped || b.Stage == Lost {
				require.NotEmpty(h.t, b.Reason)
			}
			if !p.Ended {
				require.Zero(h.t, planOf[b.Name], "%s belongs to two plans", b.Name)
				planOf[b.Name] = p.Number
			}
		}
		require.LessOrEqual(h.t, out, p.Spec.MaxConcurrent)
		for site, n := range sites {
			require.LessOrEqual(h.t, n, p.Spec.maxPerSite(), site)
		}
		require.Equal(h.t, p.Ended, !slices.ContainsFunc(p.Servers, func(b Server) bool { return b.Stage < Done }), "a plan has ended when all its servers have")
	}
	for i := range previous.Plans {
		if p := &previous.Plans[i]; !p.Ended {
			require.True(h.t, slices.ContainsFunc(h.committed.State.Plans, func(q Plan) bool { return q.Number == p.Number }), "plan %d, which has not ended, is missing", p.Number)
		}
	}
}

// requireEmpty requires that in the last snapshot all members that may send requests have reported that they send none to a server and
// have none in flight there.
func (h *history) requireEmpty(p *Plan, server string) {
	for _, m := range h.snapshot.Members {
		if m.State == swim.Dead && m.StateAgeSeconds >= p.Spec.deadMemberSeconds() || m.State == swim.Left && m.StateAgeSeconds >= min(p.Spec.deadMemberSeconds(), leftMemberSeconds) {
			continue
		}
		require.False(h.t, h.silent[m.ID] || m.State.IsDeadOrLeft(), "%s was handed out, and %s may send there", server, m.Name)
	}
	for _, o := range h.snapshot.Report.InUse {
		require.NotEqual(h.t, server, o.Server, "it was handed out with requests in flight")
	}
}

// commit draws for each proposal whether it is committed, is lost, or is committed after the lease holder was replaced.
func (h *history) commit() {
	for n := 0; ; n++ {
		require.Less(h.t, n, 100, "too many proposals")
		next := h.Step(h.now)
		for _, r := range h.Replies() {
			h.replies[r.Nonce] = r
		}
		if next == nil {
			return
		}
		require.Same(h.t, next, h.Step(h.now), "the same proposal until it is committed")
		body, err := next.Encode()
		require.NoError(h.t, err)
		state, err := Decode(body)
		require.NoError(h.t, err)
		again, err := state.Encode()
		require.NoError(h.t, err)
		require.Equal(h.t, body, again, "a decoded state is encoded to the same bytes")
		was, before := h.committed.State, h.committed
		fate := rapid.IntRange(0, 19).Draw(h.t, "fate of the proposal")
		if fate == 0 { // the proposal is lost, and the lease holder is replaced
			h.Start(h.now, h.committed)
			return
		}
		h.committed = Committed{h.committed.Epoch, h.committed.Version + 1, state}
		h.check(was)
		switch fate {
		case 1: // the proposal is committed, and the lease holder is replaced before it learns so
			h.Start(h.now, h.committed)
			return
		case 2: // the proposal is committed, and the next lease holder learns of it late
			h.Start(h.now, before)
			h.report()
			h.Step(h.now)
		}
		h.ApplyCommitted(h.now, h.committed)
	}
}

func (h *history) report() {
	r := h.snapshot
	r.Report.Reporters = nil
	for _, m := range r.Members {
		if !h.silent[m.ID] && !m.State.IsDeadOrLeft() {
			r.Report.Reporters = append(r.Report.Reporters, Reporter{m.ID, m.BootID, h.committed.Version})
		}
	}
	r.Complete = len(r.Report.Reporters) == len(r.Members)
	h.Observe(h.now, r)
}

// Whatever faults and commands are drawn, committed states keep the invariants, and all plans end once there are no more faults.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{driver: newDriver(t, rapid.IntRange(1, 4).Draw(t, "sidecars"), rapid.IntRange(1, 3).Draw(t, "sites"), 3), t: t, stages: map[string]Stage{}}
		servers := []string{}
		for _, b := range h.snapshot.Report.Servers {
			servers = append(servers, b.Server)
		}
		for range rapid.IntRange(50, 250).Draw(t, "snapshots") {
			h.now += rapid.SampledFrom([]float64{0.5, 0.5, 0.5, 1, 4, 15}).Draw(t, "seconds")
			h.drawFaults(servers)
			h.report()
			h.commit()
			if rapid.IntRange(0, 9).Draw(t, "command") < 5 {
				h.submitRandom(servers)
				h.commit()
			}
		}
		h.endFaults()
		for n := 0; slices.ContainsFunc(h.committed.State.Plans, func(p Plan) bool { return !p.Ended }); n++ {
			require.Less(t, n, 3000, "plans have not ended: %+v", h.Blockers())
			h.now += 1
			h.report()
			h.resolvePlans()
			h.commit()
		}
	})
}

// drawFaults draws what happens to the fleet before a snapshot. Any combination of faults may happen between two snapshots.
func (h *history) drawFaults(servers []string) {
	t, tenth := h.t, rapid.IntRange(0, 9)
	h.snapshot.Report.InUse, h.snapshot.Report.RejectedPerSecond = nil, 0
	clear(h.silent)
	if tenth.Draw(t, "in use") == 0 {
		h.snapshot.Report.InUse = []InUse{{Server: rapid.SampledFrom(servers).Draw(t, "server"), Member: 1, InFlight: rapid.IntRange(0, 2).Draw(t, "in flight")}}
	}
	if tenth.Draw(t, "silent") == 0 {
		h.silent[rapid.SampledFrom(h.snapshot.Members).Draw(t, "silent member").ID] = true
	}
	if tenth.Draw(t, "rejections") == 0 {
		h.snapshot.Report.RejectedPerSecond = h.snapshot.Report.CompletedPerSecond / 2
	}
	m := &h.snapshot.Members[rapid.IntRange(0, len(h.snapshot.Members)-1).Draw(t, "member")]
	switch tenth.Draw(t, "member's state") {
	case 0:
		m.State, m.StateAgeSeconds = swim.Dead, rapid.SampledFrom([]float64{1, 400}).Draw(t, "dead for")
	case 1:
		m.State, m.StateAgeSeconds = swim.Left, rapid.SampledFrom([]float64{1, 100}).Draw(t, "left for")
	default:
		m.State, m.BootID = swim.Alive, m.BootID+1
	}
}

// endFaults ends all faults for good.
func (h *history) endFaults() {
	for i := range h.snapshot.Members {
		h.snapshot.Members[i].State = swim.Alive
	}
	h.snapshot.Report.InUse, h.snapshot.Report.RejectedPerSecond = nil, 0
	clear(h.silent)
}

// resolvePlans submits the commands that plans wait for: an operator resumes plans and puts lost servers back in service, and an agent
// does the work.
func (h *history) resolvePlans() {
	for _, p := range h.committed.State.Plans {
		for _, b := range p.Servers {
			switch {
			case p.PausedBy != "" && !p.Aborted && !p.Ended:
				h.submitOnly(Command{Kind: ResumePlan, Plan: p.Number})
			case b.Stage == Drained:
				h.submitOnly(Command{Kind: AcquireServer, Agent: "last"})
			case b.Stage == InMaintenance:
				h.submitOnly(Command{Kind: CompleteServer, Server: b.Name, Token: b.Token})
			case b.Stage == Lost:
				h.submitOnly(Command{Kind: SkipServer, Server: b.Name, Plan: p.Number})
			}
		}
	}
}

// submitOnly submits a command without waiting for its reply.
func (h *history) submitOnly(c Command) {
	h.nonce++
	c.Nonce = h.nonce
	if r, answered := h.Submit(h.now, c); answered {
		h.replies[c.Nonce] = r
	}
}

// submitRandom submits a random command, which may be valid in the present state.
func (h *history) submitRandom(servers []string) {
	c := Command{Kind: rapid.SampledFrom([]Kind{SubmitPlan, SubmitPlan, AcquireServer, AcquireServer, AcquireServer, CompleteServer, CompleteServer, FailServer, PausePlan, ResumePlan, SkipServer, ForceDrained, AbortPlan}).Draw(h.t, "kind"),
		Server: rapid.SampledFrom(servers).Draw(h.t, "server"), Agent: rapid.SampledFrom([]string{"m", "n"}).Draw(h.t, "agent"), Token: 1}
	for _, p := range h.committed.State.Plans {
		for _, b := range p.Servers {
			if b.Stage == InMaintenance && b.Agent == c.Agent {
				c.Server, c.Token = b.Name, b.Token
			}
		}
	}
	if c.Kind == SubmitPlan {
		s := Spec{Name: "drawn", Servers: rapid.SliceOfNDistinct(rapid.SampledFrom(servers), 1, len(servers), rapid.ID[string]).Draw(h.t, "servers"),
			WorkSeconds: rapid.Float64Range(1, 60).Draw(h.t, "work"), MaxConcurrent: rapid.IntRange(1, 4).Draw(h.t, "max concurrent"), MaxPerSite: rapid.IntRange(0, 2).Draw(h.t, "max per site"),
			MinCapacity: rapid.Float64Range(0, 0.6).Draw(h.t, "min capacity"), AbandonOverdue: rapid.Bool().Draw(h.t, "abandon overdue"), WarmUpSeconds: rapid.Float64Range(1, 20).Draw(h.t, "warm up")}
		c.Spec = &s
	}
	h.submitOnly(c)
}

// For any bytes, Decode returns an error that wraps ErrInvalidState, or a state that keeps its encoded form when it is decoded and
// encoded again.
func FuzzDecode(f *testing.F) {
	s := State{LastNumber: 2, Plans: []Plan{{Number: 2, Spec: *spec(), Servers: []Server{{Name: "b", Site: "s", Stage: InMaintenance, SinceVersion: 4, Token: 5, ForcedPast: []string{"n"}}}}}}
	body, err := s.Encode()
	require.NoError(f, err)
	f.Add(body)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Decode(raw)
		if err != nil {
			assert.ErrorIs(t, err, ErrInvalidState)
			return
		}
		body, err := s.Encode()
		if err != nil { // the complete encoded form exceeds the bound
			assert.ErrorIs(t, err, ErrInvalidState)
			return
		}
		again, err := Decode(body)
		require.NoError(t, err)
		twice, err := again.Encode()
		require.NoError(t, err)
		assert.Equal(t, body, twice)
	})
}

func TestPlanValidation(t *testing.T) {
	nan := math.NaN()
	for field, s := range map[string]Spec{
		"name":       {},
		"boxes":      {Name: "p", WorkSeconds: 1, MaxConcurrent: 1},
		"takes_s":    {Name: "p", Servers: []string{"b"}, MaxConcurrent: 1, WorkSeconds: nan},
		"late_s":     {Name: "p", Servers: []string{"b"}, MaxConcurrent: 1, WorkSeconds: 9, OverdueSeconds: 8},
		"at_once":    {Name: "p", Servers: []string{"b"}, WorkSeconds: 1},
		"keep":       {Name: "p", Servers: []string{"b"}, WorkSeconds: 1, MaxConcurrent: 1, MinCapacity: nan},
		"refusing":   {Name: "p", Servers: []string{"b"}, WorkSeconds: 1, MaxConcurrent: 1, RejectionBudget: 2},
		"end_in_s":   {Name: "p", Servers: []string{"b"}, WorkSeconds: 1, MaxConcurrent: 1, StartAfterSeconds: 5, EndAfterSeconds: 4},
		"by_site":    {Name: "p", Servers: []string{"b"}, WorkSeconds: 1, MaxConcurrent: 1, MaxPerSite: -1},
		"start_in_s": {Name: "p", Servers: []string{"b"}, WorkSeconds: 1, MaxConcurrent: 1, StartAfterSeconds: -1},
	} {
		assert.ErrorContains(t, s.Validate(), field+":")
	}
	d := newDriver(t, 2, 2, 2)
	for why, change := range map[string]func(s *Spec){
		`boxes: no sidecar has "nowhere"`:      func(s *Spec) { s.Servers = []string{"nowhere"} },
		`sites: no sidecar has "nowhere"`:      func(s *Spec) { s.Sites = []string{"nowhere"} },
		`types: no sidecar has "other"`:        func(s *Spec) { s.Types = []string{"other"} },
		"keep: without b00 0.75 of the capaci": func(s *Spec) { s.MinCapacity = 0.8 },
	} {
		s := spec()
		change(s)
		assert.Contains(t, d.submit(Command{Kind: SubmitPlan, Spec: s}).Err, why)
	}
	require.Empty(t, d.submit(Command{Kind: SubmitPlan, Spec: spec()}).Err)
	assert.Contains(t, d.submit(Command{Kind: SubmitPlan, Spec: spec()}).Err, "plan 1 (calibrate), which has not ended")
}

// When the load doubles, servers that no agent works on yet are put back in service. The plan continues once the load is normal again.
func TestGivesBackServersOnFault(t *testing.T) {
	d := newDriver(t, 3, 3, 4)
	s := spec()
	s.MaxConcurrent, s.MaxPerSite, s.MinCapacity, s.WorkSeconds = 2, 1, 0.7, 60
	require.Empty(t, d.submit(Command{Kind: SubmitPlan, Spec: s}).Err)
	d.advance(30)
	require.Equal(t, 2, d.countStages()[Drained])
	require.NotEmpty(t, d.submit(Command{Kind: AcquireServer, Agent: "m"}).Server)
	d.snapshot.Report.CompletedPerSecond *= 2
	d.advance(10)
	assert.Equal(t, 1, d.countStages()[InMaintenance])
	assert.Equal(t, 0, d.countStages()[Drained])
	assert.NotEmpty(t, d.Blockers())
	d.snapshot.Report.CompletedPerSecond /= 2
	d.advance(120)
	assert.Equal(t, 2, d.countStages()[InMaintenance]+d.countStages()[Drained], "the plan continues")
}
