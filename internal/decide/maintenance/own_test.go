package maintenance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// atWork plays so many rounds of half a second with a mechanic who is done at once; refuse says which part is refused now. It tells of
// each box that leaves.
func (d *desk) atWork(rounds int, refuse func() float64, left func()) {
	for range rounds {
		d.round.Report.RejectedPerSecond = refuse() * d.round.Report.CompletedPerSecond
		before := d.stages()[Pending]
		d.play(0.5)
		if d.stages()[Pending] < before && left != nil {
			left()
		}
		if n := d.stages(); n[Drained] > 0 {
			d.do(Command{Kind: AcquireServer, Agent: "m"})
		}
		for _, p := range d.agreed.State.Plans {
			for _, b := range p.Servers {
				if b.Stage == InMaintenance {
					d.do(Command{Kind: CompleteServer, Server: b.Name, Token: b.Token, Agent: b.Agent})
				}
			}
		}
	}
}

// A plan goes on while the fleet refuses a steady part by itself, one box at a time, and says so; beyond what may be refused at all
// none leaves.
func TestGoesOnBesideWhatTheFleetRefusesByItself(t *testing.T) {
	for own, leaves := range map[float64]bool{0.05: true, 0.2: true, 0.27: false, 0.6: false} {
		d := newDesk(t, 3, 3, 3)
		s := spec()
		s.MaxConcurrent = 3
		require.Empty(t, d.do(Command{Kind: SubmitPlan, Spec: s}).Err)
		most := 0
		d.atWork(1200, func() float64 {
			n := d.stages()
			most = max(most, n[Draining]+n[Drained]+n[InMaintenance]+n[WarmingUp])
			return own
		}, nil)
		if !leaves {
			assert.Zero(t, most, "%g", own)
			assert.Contains(t, d.Blockers()[0].Reason, "are refused or fail, at most 0.250 may")
			continue
		}
		assert.Equal(t, 1, most, "%g", own)
		assert.True(t, d.agreed.State.Plans[0].Ended, "%g: %v", own, d.Blockers())
		assert.InDelta(t, own, d.agreed.State.Plans[0].BaselineRejection, 0.001)
	}
}

// A fleet that refuses nothing by itself is worked on as ever: all that may be out at once is.
func TestQuietFleetIsNotMeasuredFirst(t *testing.T) {
	d := newDesk(t, 3, 3, 3)
	s := spec()
	s.MaxConcurrent = 3
	require.Empty(t, d.do(Command{Kind: SubmitPlan, Spec: s}).Err)
	d.play(12)
	assert.Equal(t, 3, d.stages()[Draining]+d.stages()[Drained])
}

// A box that leaves and has more be refused comes back, and the next one waits for the end of it, not for it to be usual.
func TestWaitsForWhatABoxHasCaused(t *testing.T) {
	d := newDesk(t, 3, 3, 3)
	require.Empty(t, d.do(Command{Kind: SubmitPlan, Spec: spec()}).Err)
	for range 300 {
		if d.atWork(1, func() float64 { return 0.05 }, nil); d.stages()[WarmingUp] == 1 {
			break
		}
	}
	require.Equal(t, 1, d.stages()[WarmingUp], "%v", d.Blockers())
	done := d.stages()[Done]
	d.atWork(400, func() float64 { return 0.09 }, nil) // harm that stays: 0.05 and 0.02 are above it
	assert.LessOrEqual(t, d.stages()[Done], done+1)
	assert.Contains(t, d.Blockers()[0].Reason, "are refused or fail")
	d.atWork(200, func() float64 { return 0.05 }, nil)
	assert.Greater(t, d.stages()[Done], done+1, "%v", d.Blockers())
}

// While a box is emptied and more is refused than that allows for, it is given back.
func TestGivesBackWhatHasMoreRefused(t *testing.T) {
	d := newDesk(t, 3, 3, 3)
	require.Empty(t, d.do(Command{Kind: SubmitPlan, Spec: spec()}).Err)
	d.round.Report.RejectedPerSecond = 0.05 * d.round.Report.CompletedPerSecond
	for range 100 {
		d.round.Report.InUse = nil
		for _, b := range d.round.Report.Servers { // a request stays out everywhere
			d.round.Report.InUse = append(d.round.Report.InUse, InUse{Server: b.Server, Member: 1, InFlight: 1})
		}
		if d.play(0.5); d.stages()[Draining] == 1 {
			break
		}
	}
	require.Equal(t, 1, d.stages()[Draining])
	d.play(10)
	require.Equal(t, 1, d.stages()[Draining], "no more is refused")
	d.round.Report.RejectedPerSecond = 0.1 * d.round.Report.CompletedPerSecond
	d.play(10)
	assert.Zero(t, d.stages()[Draining])
}

// Whatever boxes that were out do to the fleet, for as long as they are out or for good, with owners that are replaced at any time:
// no box leaves while more is refused than the fleet refused at most before the first one left, with what is tolerated of Refusing
// beside it. What a plan has caused is never what the fleet does by itself.
func TestPlanDoesNotRaiseItsOwnBaseLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDesk(t, 2, 3, 4)
		s := spec()
		s.MaxConcurrent = rapid.IntRange(1, 4).Draw(t, "at once")
		s.RejectionBudget = rapid.Float64Range(0.01, 0.1).Draw(t, "refusing")
		s.MaxRejection = rapid.Float64Range(0.1, 1).Draw(t, "most")
		s.WorkSeconds, s.WarmUpSeconds = 1, rapid.Float64Range(1, 15).Draw(t, "cold")
		require.Empty(t, d.do(Command{Kind: SubmitPlan, Spec: s}).Err)
		own, greatest := 0.0, 0.0
		harm := rapid.Float64Range(0, 0.1).Draw(t, "harm while a box is out")
		stays := rapid.Float64Range(0, 0.05).Draw(t, "harm that stays")
		left := 0
		for range rapid.IntRange(5, 40).Draw(t, "times") {
			if rapid.IntRange(0, 3).Draw(t, "change") == 0 {
				own = rapid.Float64Range(0, 0.15).Draw(t, "own")
			}
			if rapid.IntRange(0, 5).Draw(t, "another owner") == 0 {
				d.Start(d.now, d.agreed)
			}
			d.atWork(rapid.IntRange(1, 60).Draw(t, "rounds"), func() float64 {
				if left == 0 {
					greatest = max(greatest, own)
				}
				n := d.stages()
				out := n[Draining] + n[Drained] + n[InMaintenance] + n[WarmingUp]
				return min(own+harm*float64(out)+stays*float64(left), 1)
			}, func() {
				left++
				most := min(greatest+(1+drainMargin)*s.RejectionBudget, s.MaxRejection)
				require.LessOrEqual(t, d.fleet.rejectionFraction(), most+1e-3, "box %d left", left)
			})
		}
	})
}

// The same without harm that stays: however long it goes on, what is taken for the fleet's own is no more than it ever was.
func TestWhatABoxCausesIsNotTheFleetsOwn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDesk(t, 2, 3, 4)
		s := spec()
		s.MaxConcurrent, s.RejectionBudget, s.WorkSeconds, s.WarmUpSeconds = 2, rapid.Float64Range(0.01, 0.2).Draw(t, "refusing"), 1, 3
		require.Empty(t, d.do(Command{Kind: SubmitPlan, Spec: s}).Err)
		own, greatest, outAt := 0.0, 0.0, -100.0
		harm, lasts := rapid.Float64Range(0, 0.3).Draw(t, "harm"), rapid.Float64Range(0, aftermathSeconds-1).Draw(t, "lasts")
		for range rapid.IntRange(5, 40).Draw(t, "times") {
			if rapid.IntRange(0, 2).Draw(t, "change") == 0 {
				own = rapid.Float64Range(0, 0.2).Draw(t, "own")
			}
			d.atWork(rapid.IntRange(1, 60).Draw(t, "rounds"), func() float64 {
				if greatest = max(greatest, own); d.agreed.State.hasServerOut() {
					outAt = d.now
				}
				if d.now-outAt <= lasts {
					return min(own+harm, 1)
				}
				return own
			}, nil)
			part, _ := d.fleet.baseline.fraction()
			require.LessOrEqual(t, part, greatest+1e-9)
		}
	})
}
