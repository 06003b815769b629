package maintenance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/swim"
)

// desk is a coordinator whose writes are agreed at once, with sidecars that do and say what is agreed.
type desk struct {
	*Coordinator
	t       require.TestingT
	now     float64
	agreed  Committed
	round   FleetSnapshot
	mute    map[swim.ID]bool // they are not heard
	replies map[uint64]Reply
	nonce   uint64
}

func newDesk(t require.TestingT, sidecars, sites, bySite int) *desk {
	d := &desk{Coordinator: New(Settings{WarmUpSeconds: 10}), t: t, now: 100, agreed: Committed{Epoch: 3, Version: 7}, mute: map[swim.ID]bool{}, replies: map[uint64]Reply{}}
	for i := range sidecars {
		d.round.Members = append(d.round.Members, Member{ID: swim.ID(i + 1), Name: fmt.Sprint("n", i), BootID: 1})
	}
	for i := range sites * bySite {
		d.round.Report.Servers = append(d.round.Report.Servers, ServerStatus{Server: fmt.Sprintf("b%02d", i), Site: fmt.Sprint("site-", i%sites), Type: "t", ListedBy: sidecars, CompletedPerSecond: 5})
	}
	d.round.Report.CompletedPerSecond, d.round.Complete = 5*float64(sites*bySite), true
	d.Start(d.now, d.agreed)
	return d
}

// play lets time go by: a round each half second, each write agreed before the next.
func (d *desk) play(forS float64) {
	for end := d.now + forS; d.now < end; d.now += 0.5 {
		r := d.round
		r.Report.Reporters = nil
		for _, m := range r.Members {
			if !d.mute[m.ID] && !m.State.IsDeadOrLeft() {
				r.Report.Reporters = append(r.Report.Reporters, Reporter{m.ID, m.BootID, d.agreed.Version})
			}
		}
		d.Observe(d.now, r)
		d.settle()
	}
}

func (d *desk) settle() {
	for n := 0; ; n++ {
		require.Less(d.t, n, 1000, "it comes to rest")
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
		d.agreed.Version++
		d.agreed.State = state
		d.ApplyCommitted(d.now, d.agreed)
	}
}

// do gives a command and returns its answer.
func (d *desk) do(cmd Command) Reply {
	d.nonce++
	cmd.Nonce = d.nonce
	if r, answered := d.Submit(d.now, cmd); answered {
		return r
	}
	d.settle()
	for range 30 {
		if r, answered := d.replies[cmd.Nonce]; answered {
			return r
		}
		d.play(0.5)
	}
	require.FailNow(d.t, "no answer")
	return Reply{}
}

func (d *desk) stages() (n [Lost + 1]int) {
	for _, p := range d.agreed.State.Plans {
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
	d := newDesk(t, 3, 2, 3)
	r := d.do(Command{Kind: SubmitPlan, Spec: spec()})
	require.Empty(t, r.Err)
	require.EqualValues(t, 1, r.Plan)
	token, worked := uint64(0), map[string]bool{}
	for range 2000 {
		d.play(0.5)
		n := d.stages()
		require.LessOrEqual(t, n[Draining]+n[Drained]+n[InMaintenance]+n[WarmingUp], 1)
		if n[Done] == 6 {
			break
		}
		if r := d.do(Command{Kind: AcquireServer, Agent: "m"}); r.Server != "" {
			require.Greater(t, r.Token, token)
			require.EqualValues(t, 3, r.Token>>40)
			require.False(t, worked[r.Server])
			token, worked[r.Server] = r.Token, true
			require.Equal(t, r.Token, d.do(Command{Kind: AcquireServer, Agent: "m"}).Token, "it is told the same again")
			require.Empty(t, d.do(Command{Kind: AcquireServer, Agent: "other"}).Server)
			d.play(20)
			require.Empty(t, d.do(Command{Kind: CompleteServer, Server: r.Server, Token: token}).Err)
			require.Empty(t, d.do(Command{Kind: CompleteServer, Server: r.Server, Token: token}).Err, "done twice is done")
			require.NotEmpty(t, d.do(Command{Kind: CompleteServer, Server: r.Server, Token: token - 1}).Err)
		}
	}
	assert.Len(t, worked, 6)
	assert.True(t, d.agreed.State.Plans[0].Ended)
	assert.False(t, d.NeedsSnapshot())
}

// A hand-over may be agreed after everybody has given up on it: its owner has lost the majority, an operator puts the box back in use by
// hand, and the majority returns with what was under way. The box is then seen to be in use, and its mechanic is not sent to it.
func TestHandOverThatIsAgreedLate(t *testing.T) {
	d := newDesk(t, 3, 2, 3)
	require.Empty(t, d.do(Command{Kind: SubmitPlan, Spec: spec()}).Err)
	for d.stages()[Drained] == 0 {
		d.play(0.5)
	}
	d.nonce++
	d.Submit(d.now, Command{Kind: AcquireServer, Agent: "bob", Nonce: d.nonce})
	underWay := d.Step(d.now)
	require.NotNil(t, underWay)
	var taken string
	for _, b := range underWay.Plans[0].Servers {
		if b.Stage == InMaintenance {
			taken = b.Name
		}
	}
	require.NotEmpty(t, taken)

	d.Coordinator = New(Settings{WarmUpSeconds: 10}) // the next owner, whose electors hold what was under way
	d.agreed.Version++
	d.agreed.State = *underWay
	d.Start(d.now, d.agreed)
	assert.Empty(t, d.do(Command{Kind: AcquireServer, Agent: "bob"}).Server, "nobody was heard yet")
	d.round.Report.InUse = []InUse{{Server: taken, Member: 2, Uncordoned: true}}
	d.play(1)
	again := d.do(Command{Kind: AcquireServer, Agent: "bob"})
	assert.Empty(t, again.Server, "it is in use")
	assert.Contains(t, again.Text, "in use there by hand")
	waits := d.Blockers()
	require.NotEmpty(t, waits)
	assert.Equal(t, taken, waits[0].Server)
	assert.Contains(t, waits[0].Reason, "in use there by hand")
	assert.Equal(t, []string{"n1"}, waits[0].Members)
	d.round.Report.InUse = nil
	d.play(1)
	assert.Equal(t, taken, d.do(Command{Kind: AcquireServer, Agent: "bob"}).Server, "it is out again")
}
