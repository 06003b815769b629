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

// history is what one sees from outside of all that was agreed.
type history struct {
	*desk
	t      *rapid.T
	tokens uint64
	now    map[string]Stage // by plan and box
}

// check compares what is agreed with what was.
func (h *history) check(was State) {
	owner := map[string]uint64{}
	for i := range h.agreed.State.Plans {
		p := &h.agreed.State.Plans[i]
		out, sites := 0, map[string]int{}
		for _, b := range p.Servers {
			key := fmt.Sprint(p.Number, " ", b.Name)
			before := h.now[key]
			h.now[key] = b.Stage
			require.False(h.t, before >= Done && b.Stage != before && !(before == Lost && b.Stage == Skipped), "%s had ended as %d and is %d", key, before, b.Stage)
			require.False(h.t, before == InMaintenance && b.Stage != InMaintenance && b.Stage != WarmingUp && b.Stage != Lost, "%s was taken from its mechanic: %d", key, b.Stage)
			if b.Stage >= Draining && b.Stage <= WarmingUp {
				out++
				sites[b.Site]++
			}
			if b.Stage == InMaintenance && before != InMaintenance {
				require.Greater(h.t, b.Token, h.tokens, "tokens grow")
				h.tokens = b.Token
				if len(b.ForcedPast) == 0 {
					h.empty(p, b.Name)
				}
			}
			if b.Stage == Skipped || b.Stage == Lost {
				require.NotEmpty(h.t, b.Reason)
			}
			if !p.Ended {
				require.Zero(h.t, owner[b.Name], "%s is of two plans", b.Name)
				owner[b.Name] = p.Number
			}
		}
		require.LessOrEqual(h.t, out, p.Spec.MaxConcurrent)
		for site, n := range sites {
			require.LessOrEqual(h.t, n, p.Spec.maxPerSite(), site)
		}
		require.Equal(h.t, p.Ended, !slices.ContainsFunc(p.Servers, func(b Server) bool { return b.Stage < Done }), "a plan has ended when all its boxes have")
	}
	for i := range was.Plans {
		if p := &was.Plans[i]; !p.Ended {
			require.True(h.t, slices.ContainsFunc(h.agreed.State.Plans, func(q Plan) bool { return q.Number == p.Number }), "plan %d is forgotten", p.Number)
		}
	}
}

// empty requires that all who may send have said, in the last round, that they send nothing to a box and have nothing there.
func (h *history) empty(p *Plan, box string) {
	for _, m := range h.round.Members {
		if m.State == swim.Dead && m.StateAgeSeconds >= p.Spec.deadMemberSeconds() || m.State == swim.Left && m.StateAgeSeconds >= min(p.Spec.deadMemberSeconds(), leftMemberSeconds) {
			continue
		}
		require.False(h.t, h.mute[m.ID] || m.State.IsDeadOrLeft(), "%s was handed over, and %s may send there", box, m.Name)
	}
	for _, o := range h.round.Report.InUse {
		require.NotEqual(h.t, box, o.Server, "it was handed over with something out")
	}
}

// agree has what is wanted be agreed, or lost, or come late to an owner that is new by then.
func (h *history) agree() {
	for n := 0; ; n++ {
		require.Less(h.t, n, 100, "it comes to rest")
		next := h.Step(h.desk.now)
		for _, r := range h.Replies() {
			h.replies[r.Nonce] = r
		}
		if next == nil {
			return
		}
		require.Same(h.t, next, h.Step(h.desk.now), "while it is not agreed it is wanted")
		body, err := next.Encode()
		require.NoError(h.t, err)
		state, err := Decode(body)
		require.NoError(h.t, err)
		again, err := state.Encode()
		require.NoError(h.t, err)
		require.Equal(h.t, body, again, "it is read as what it is")
		was, before := h.agreed.State, h.agreed
		lost := rapid.IntRange(0, 19).Draw(h.t, "how it is agreed")
		if lost == 0 { // nothing came of it, and another one owns the job
			h.Start(h.desk.now, h.agreed)
			return
		}
		h.agreed = Committed{h.agreed.Epoch, h.agreed.Version + 1, state}
		h.check(was)
		switch lost {
		case 1: // it is agreed, and its owner has died
			h.Start(h.desk.now, h.agreed)
			return
		case 2: // the next one learns of it late
			h.Start(h.desk.now, before)
			h.hear()
			h.Step(h.desk.now)
		}
		h.ApplyCommitted(h.desk.now, h.agreed)
	}
}

func (h *history) hear() {
	r := h.round
	r.Report.Reporters = nil
	for _, m := range r.Members {
		if !h.mute[m.ID] && !m.State.IsDeadOrLeft() {
			r.Report.Reporters = append(r.Report.Reporters, Reporter{m.ID, m.BootID, h.agreed.Version})
		}
	}
	r.Complete = len(r.Report.Reporters) == len(r.Members)
	h.Observe(h.desk.now, r)
}

func TestPlansKeepTheirRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{desk: newDesk(t, rapid.IntRange(1, 4).Draw(t, "sidecars"), rapid.IntRange(1, 3).Draw(t, "sites"), 3), t: t, now: map[string]Stage{}}
		boxes := []string{}
		for _, b := range h.round.Report.Servers {
			boxes = append(boxes, b.Server)
		}
		part := rapid.IntRange(0, 9)
		for range rapid.IntRange(50, 250).Draw(t, "rounds") {
			h.desk.now += rapid.SampledFrom([]float64{0.5, 0.5, 0.5, 1, 4, 15}).Draw(t, "seconds")
			// Danger: all that is drawn here may come between any two rounds.
			h.round.Report.InUse, h.round.Report.RejectedPerSecond = nil, 0
			clear(h.mute)
			if part.Draw(t, "open") == 0 {
				h.round.Report.InUse = []InUse{{Server: rapid.SampledFrom(boxes).Draw(t, "box"), Member: 1, InFlight: rapid.IntRange(0, 2).Draw(t, "out")}}
			}
			if part.Draw(t, "mute") == 0 {
				h.mute[rapid.SampledFrom(h.round.Members).Draw(t, "who").ID] = true
			}
			if part.Draw(t, "refused") == 0 {
				h.round.Report.RejectedPerSecond = h.round.Report.CompletedPerSecond / 2
			}
			m := &h.round.Members[rapid.IntRange(0, len(h.round.Members)-1).Draw(t, "member")]
			switch part.Draw(t, "member's state") {
			case 0:
				m.State, m.StateAgeSeconds = swim.Dead, rapid.SampledFrom([]float64{1, 400}).Draw(t, "dead for")
			case 1:
				m.State, m.StateAgeSeconds = swim.Left, rapid.SampledFrom([]float64{1, 100}).Draw(t, "left for")
			default:
				m.State, m.BootID = swim.Alive, m.BootID+1
			}
			h.hear()
			h.agree()
			if part.Draw(t, "command") < 5 {
				h.command(boxes)
				h.agree()
			}
		}
		// All is well from now on, and somebody sees to what waits for a word.
		for i := range h.round.Members {
			h.round.Members[i].State = swim.Alive
		}
		h.round.Report.InUse, h.round.Report.RejectedPerSecond = nil, 0
		clear(h.mute)
		for n := 0; slices.ContainsFunc(h.agreed.State.Plans, func(p Plan) bool { return !p.Ended }); n++ {
			require.Less(t, n, 3000, "it ends: %+v", h.Blockers())
			h.desk.now += 1
			h.hear()
			for _, p := range h.agreed.State.Plans {
				for _, b := range p.Servers {
					switch {
					case p.PausedBy != "" && !p.Aborted && !p.Ended:
						h.give(Command{Kind: ResumePlan, Plan: p.Number})
					case b.Stage == Drained:
						h.give(Command{Kind: AcquireServer, Agent: "last"})
					case b.Stage == InMaintenance:
						h.give(Command{Kind: CompleteServer, Server: b.Name, Token: b.Token})
					case b.Stage == Lost:
						h.give(Command{Kind: SkipServer, Server: b.Name, Plan: p.Number})
					}
				}
			}
			h.agree()
		}
	})
}

func (h *history) give(c Command) {
	h.nonce++
	c.Nonce = h.nonce
	if r, answered := h.Submit(h.desk.now, c); answered {
		h.replies[c.Nonce] = r
	}
}

// command gives one that may make sense.
func (h *history) command(boxes []string) {
	c := Command{Kind: rapid.SampledFrom([]Kind{SubmitPlan, SubmitPlan, AcquireServer, AcquireServer, AcquireServer, CompleteServer, CompleteServer, FailServer, PausePlan, ResumePlan, SkipServer, ForceDrained, AbortPlan}).Draw(h.t, "kind"),
		Server: rapid.SampledFrom(boxes).Draw(h.t, "box"), Agent: rapid.SampledFrom([]string{"m", "n"}).Draw(h.t, "mechanic"), Token: 1}
	for _, p := range h.agreed.State.Plans {
		for _, b := range p.Servers {
			if b.Stage == InMaintenance && b.Agent == c.Agent {
				c.Server, c.Token = b.Name, b.Token
			}
		}
	}
	if c.Kind == SubmitPlan {
		s := Spec{Name: "drawn", Servers: rapid.SliceOfNDistinct(rapid.SampledFrom(boxes), 1, len(boxes), rapid.ID[string]).Draw(h.t, "boxes"),
			WorkSeconds: rapid.Float64Range(1, 60).Draw(h.t, "takes"), MaxConcurrent: rapid.IntRange(1, 4).Draw(h.t, "at once"), MaxPerSite: rapid.IntRange(0, 2).Draw(h.t, "by site"),
			MinCapacity: rapid.Float64Range(0, 0.6).Draw(h.t, "keep"), AbandonOverdue: rapid.Bool().Draw(h.t, "give up"), WarmUpSeconds: rapid.Float64Range(1, 20).Draw(h.t, "cold")}
		c.Spec = &s
	}
	h.give(c)
}

// What comes from a disk or over a link may be anything, and what is read is written as the same again.
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
		if err != nil { // it is larger, written whole, than may be agreed
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

func TestPlansAreChecked(t *testing.T) {
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
	d := newDesk(t, 2, 2, 2)
	for why, change := range map[string]func(s *Spec){
		`boxes: no sidecar has "nowhere"`:      func(s *Spec) { s.Servers = []string{"nowhere"} },
		`sites: no sidecar has "nowhere"`:      func(s *Spec) { s.Sites = []string{"nowhere"} },
		`types: no sidecar has "other"`:        func(s *Spec) { s.Types = []string{"other"} },
		"keep: without b00 0.75 of the capaci": func(s *Spec) { s.MinCapacity = 0.8 },
	} {
		s := spec()
		change(s)
		assert.Contains(t, d.do(Command{Kind: SubmitPlan, Spec: s}).Err, why)
	}
	require.Empty(t, d.do(Command{Kind: SubmitPlan, Spec: spec()}).Err)
	assert.Contains(t, d.do(Command{Kind: SubmitPlan, Spec: spec()}).Err, "plan 1 (calibrate), which has not ended")
}

// When the load doubles or a site is lost what can be given back is, and what a mechanic has stays; then it goes on.
func TestGivesBackWhatItCan(t *testing.T) {
	d := newDesk(t, 3, 3, 4)
	s := spec()
	s.MaxConcurrent, s.MaxPerSite, s.MinCapacity, s.WorkSeconds = 2, 1, 0.7, 60
	require.Empty(t, d.do(Command{Kind: SubmitPlan, Spec: s}).Err)
	d.play(30)
	require.Equal(t, 2, d.stages()[Drained])
	require.NotEmpty(t, d.do(Command{Kind: AcquireServer, Agent: "m"}).Server)
	d.round.Report.CompletedPerSecond *= 2
	d.play(10)
	assert.Equal(t, 1, d.stages()[InMaintenance])
	assert.Equal(t, 0, d.stages()[Drained])
	assert.NotEmpty(t, d.Blockers())
	d.round.Report.CompletedPerSecond /= 2
	d.play(120)
	assert.Equal(t, 2, d.stages()[InMaintenance]+d.stages()[Drained], "it goes on")
}
