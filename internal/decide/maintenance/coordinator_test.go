package maintenance

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/swim"
)

// driver runs a Coordinator whose proposals are committed at once, with sidecars that apply and report each committed State.
type driver struct {
	*Coordinator
	t         require.TestingT
	now       float64
	committed Committed
	snapshot  FleetSnapshot
	silent    map[swim.ID]bool // sidecars that do not report
	replies   map[uint64]Reply
	nonce     uint64
}

func newDriver(t require.TestingT, sidecars, sites, bySite int) *driver {
	d := &driver{Coordinator: New(Settings{WarmUpSeconds: 10}), t: t, now: 100, committed: Committed{Epoch: 3, Version: 7}, silent: map[swim.ID]bool{}, replies: map[uint64]Reply{}}
	for i := range sidecars {
		d.snapshot.Members = append(d.snapshot.Members, Member{ID: swim.ID(i + 1), Name: fmt.Sprint("n", i), BootID: 1})
	}
	for i := range sites * bySite {
		d.snapshot.Report.Servers = append(d.snapshot.Report.Servers, ServerStatus{Server: fmt.Sprintf("b%02d", i), Site: fmt.Sprint("site-", i%sites), Type: "t", ListedBy: sidecars, CompletedPerSecond: 5})
	}
	d.snapshot.Report.CompletedPerSecond, d.snapshot.Complete = 5*float64(sites*bySite), true
	d.Start(d.now, d.committed)
	return d
}

// advance moves the clock forward, with a snapshot each half second. Each proposal is committed before the next snapshot.
func (d *driver) advance(seconds float64) {
	for end := d.now + seconds; d.now < end; d.now += 0.5 {
		r := d.snapshot
		r.Report.Reporters = nil
		for _, m := range r.Members {
			if !d.silent[m.ID] && !m.State.IsDeadOrLeft() {
				r.Report.Reporters = append(r.Report.Reporters, Reporter{m.ID, m.BootID, d.committed.Version})
			}
		}
		d.Observe(d.now, r)
		d.commitSteps()
	}
}

func (d *driver) commitSteps() {
	for n := 0; ; n++ {
		require.Less(d.t, n, 1000, "too many proposals")
		next := d.Step(d.now)
		for _, r := range d.Replies() {
			d.replies[r.Nonce] = r
		}
		if next == nil {
			return
		}
		body, err := next.Encode()
		require.NoError(d.t, err)
		state, err := Decode(body)
		require.NoError(d.t, err)
		d.committed.Version++
		d.committed.State = state
		d.ApplyCommitted(d.now, d.committed)
	}
}

// submit submits a command and returns its reply.
func (d *driver) submit(cmd Command) Reply {
	d.nonce++
	cmd.Nonce = d.nonce
	if r, answered := d.Submit(d.now, cmd); answered {
		return r
	}
	d.commitSteps()
	for range 30 {
		if r, answered := d.replies[cmd.Nonce]; answered {
			return r
		}
		d.advance(0.5)
	}
	require.FailNow(d.t, "no answer")
	return Reply{}
}

func (d *driver) countStages() (n [Lost + 1]int) {
	for _, p := range d.committed.State.Plans {
		for _, b := range p.Servers {
			n[b.Stage]++
		}
	}
	return n
}

func spec() *Spec {
	return &Spec{Name: "calibrate", Types: []string{"t"}, WorkSeconds: 20, MaxConcurrent: 1, MinCapacity: 0.5}
}

func TestPlanFromStartToEnd(t *testing.T) {
	d := newDriver(t, 3, 2, 3)
	r := d.submit(Command{Kind: SubmitPlan, Spec: spec()})
	require.Empty(t, r.Err)
	require.EqualValues(t, 1, r.Plan)
	token, worked := uint64(0), map[string]bool{}
	for range 2000 {
		d.advance(0.5)
		n := d.countStages()
		require.LessOrEqual(t, n[Draining]+n[Drained]+n[InMaintenance]+n[WarmingUp], 1)
		if n[Done] == 6 {
			break
		}
		if r := d.submit(Command{Kind: AcquireServer, Agent: "m"}); r.Server != "" {
			require.Greater(t, r.Token, token)
			require.EqualValues(t, 3, r.Token>>40)
			require.False(t, worked[r.Server])
			token, worked[r.Server] = r.Token, true
			require.Equal(t, r.Token, d.submit(Command{Kind: AcquireServer, Agent: "m"}).Token, "the agent is handed the same server again")
			require.Empty(t, d.submit(Command{Kind: AcquireServer, Agent: "other"}).Server)
			d.advance(20)
			require.Empty(t, d.submit(Command{Kind: CompleteServer, Server: r.Server, Token: token}).Err)
			require.Empty(t, d.submit(Command{Kind: CompleteServer, Server: r.Server, Token: token}).Err, "a repeated command has no further effect")
			require.NotEmpty(t, d.submit(Command{Kind: CompleteServer, Server: r.Server, Token: token - 1}).Err)
		}
	}
	assert.Len(t, worked, 6)
	assert.True(t, d.committed.State.Plans[0].Ended)
	assert.False(t, d.NeedsSnapshot())
}

// A hand-out may be committed late: the lease holder lost its quorum with the proposal, an operator put the server back in service,
// and then the quorum came back and committed the proposal. The snapshot shows that the server is in use, so the agent is not handed
// the server again.
func TestHandOutCommittedLate(t *testing.T) {
	d := newDriver(t, 3, 2, 3)
	require.Empty(t, d.submit(Command{Kind: SubmitPlan, Spec: spec()}).Err)
	for d.countStages()[Drained] == 0 {
		d.advance(0.5)
	}
	d.nonce++
	d.Submit(d.now, Command{Kind: AcquireServer, Agent: "bob", Nonce: d.nonce})
	proposed := d.Step(d.now)
	require.NotNil(t, proposed)
	var handedOut string
	for _, b := range proposed.Plans[0].Servers {
		if b.Stage == InMaintenance {
			handedOut = b.Name
		}
	}
	require.NotEmpty(t, handedOut)

	d.Coordinator = New(Settings{WarmUpSeconds: 10}) // the next lease holder, whose voters have committed the proposal
	d.committed.Version++
	d.committed.State = *proposed
	d.Start(d.now, d.committed)
	assert.Empty(t, d.submit(Command{Kind: AcquireServer, Agent: "bob"}).Server, "no snapshot yet")
	d.snapshot.Report.InUse = []InUse{{Server: handedOut, Member: 2, Uncordoned: true}}
	d.advance(1)
	again := d.submit(Command{Kind: AcquireServer, Agent: "bob"})
	assert.Empty(t, again.Server, "it is in use")
	assert.Contains(t, again.Text, "in use there by hand")
	blockers := d.Blockers()
	require.NotEmpty(t, blockers)
	assert.Equal(t, handedOut, blockers[0].Server)
	assert.Contains(t, blockers[0].Reason, "in use there by hand")
	assert.Equal(t, []string{"n1"}, blockers[0].Members)
	d.snapshot.Report.InUse = nil
	d.advance(1)
	assert.Equal(t, handedOut, d.submit(Command{Kind: AcquireServer, Agent: "bob"}).Server, "it is cordoned again")
}

// The reply to a hand-out may be lost, for example if the lease holder stalls right after the commit. When the agent asks again, the
// repeated reply, too, states that the server was forced past a sidecar that may still use it.
func TestRepeatedHandOutSaysThatItWasForced(t *testing.T) {
	d := newDriver(t, 3, 2, 3)
	require.Empty(t, d.submit(Command{Kind: SubmitPlan, Spec: spec()}).Err)
	for range 100 {
		d.advance(0.5)
		if d.countStages()[Draining] == 1 {
			break
		}
	}
	d.silent[2] = true
	d.advance(1)
	require.Equal(t, 1, d.countStages()[Draining])
	servers := d.committed.State.Plans[0].Servers
	forced := servers[slices.IndexFunc(servers, func(s Server) bool { return s.Stage == Draining })].Name
	require.Equal(t, "past n1", d.submit(Command{Kind: ForceDrained, Server: forced, Agent: "operator"}).Text)
	first := d.submit(Command{Kind: AcquireServer, Agent: "m"})
	require.Equal(t, forced, first.Server)
	require.Equal(t, "forced by operator", first.Text)
	again := d.submit(Command{Kind: AcquireServer, Agent: "m"})
	again.Nonce = first.Nonce
	assert.Equal(t, first, again)
}
