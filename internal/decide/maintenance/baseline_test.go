package maintenance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// runWithAgent advances by steps of half a second, with an agent that completes its work at once. rejected returns the present
// fraction of requests that are rejected; drained, if set, is called whenever a server becomes Draining.
func (d *driver) runWithAgent(steps int, rejected func() float64, drained func()) {
	for range steps {
		d.snapshot.Report.RejectedPerSecond = rejected() * d.snapshot.Report.CompletedPerSecond
		before := d.countStages()[Pending]
		d.advance(0.5)
		if d.countStages()[Pending] < before && drained != nil {
			drained()
		}
		if n := d.countStages(); n[Drained] > 0 {
			d.submit(Command{Kind: AcquireServer, Agent: "m"})
		}
		for _, p := range d.committed.State.Plans {
			for _, b := range p.Servers {
				if b.Stage == InMaintenance {
					d.submit(Command{Kind: CompleteServer, Server: b.Name, Token: b.Token, Agent: b.Agent})
				}
			}
		}
	}
}

// While the fleet rejects a steady fraction without any plan, a plan records that baseline and continues one server at a time. Above
// MaxRejection no server drains.
func TestPlanContinuesDespiteBaselineRejection(t *testing.T) {
	for own, drains := range map[float64]bool{0.05: true, 0.2: true, 0.27: false, 0.6: false} {
		d := newDriver(t, 3, 3, 3)
		s := spec()
		s.MaxConcurrent = 3
		require.Empty(t, d.submit(Command{Kind: SubmitPlan, Spec: s}).Err)
		maxOut := 0
		d.runWithAgent(1200, func() float64 {
			n := d.countStages()
			maxOut = max(maxOut, n[Draining]+n[Drained]+n[InMaintenance]+n[WarmingUp])
			return own
		}, nil)
		if !drains {
			assert.Zero(t, maxOut, "%g", own)
			assert.Contains(t, d.Blockers()[0].Reason, "are refused or fail, at most 0.250 may")
			continue
		}
		assert.Equal(t, 1, maxOut, "%g", own)
		assert.True(t, d.committed.State.Plans[0].Ended, "%g: %v", own, d.Blockers())
		assert.InDelta(t, own, d.committed.State.Plans[0].BaselineRejection, 0.001)
	}
}

// In a fleet that rejects nothing, a plan drains as many servers as MaxConcurrent allows without a measured baseline.
func TestNoBaselineNeededWithoutRejections(t *testing.T) {
	d := newDriver(t, 3, 3, 3)
	s := spec()
	s.MaxConcurrent = 3
	require.Empty(t, d.submit(Command{Kind: SubmitPlan, Spec: s}).Err)
	d.advance(12)
	assert.Equal(t, 3, d.countStages()[Draining]+d.countStages()[Drained])
}

// When rejections rise after a server drained, the next one waits until they fall again; the rise does not become the baseline.
func TestWaitsForEffectOfDrainedServer(t *testing.T) {
	d := newDriver(t, 3, 3, 3)
	require.Empty(t, d.submit(Command{Kind: SubmitPlan, Spec: spec()}).Err)
	for range 300 {
		if d.runWithAgent(1, func() float64 { return 0.05 }, nil); d.countStages()[WarmingUp] == 1 {
			break
		}
	}
	require.Equal(t, 1, d.countStages()[WarmingUp], "%v", d.Blockers())
	done := d.countStages()[Done]
	d.runWithAgent(400, func() float64 { return 0.09 }, nil) // a lasting effect: more than the baseline of 0.05 and the budget of 0.02
	assert.LessOrEqual(t, d.countStages()[Done], done+1)
	assert.Contains(t, d.Blockers()[0].Reason, "are refused or fail")
	d.runWithAgent(200, func() float64 { return 0.05 }, nil)
	assert.Greater(t, d.countStages()[Done], done+1, "%v", d.Blockers())
}

// A Draining server is put back in service when more requests are rejected than the budget allows.
func TestGivesBackServerThatRaisesRejections(t *testing.T) {
	d := newDriver(t, 3, 3, 3)
	require.Empty(t, d.submit(Command{Kind: SubmitPlan, Spec: spec()}).Err)
	d.snapshot.Report.RejectedPerSecond = 0.05 * d.snapshot.Report.CompletedPerSecond
	for range 100 {
		d.snapshot.Report.InUse = nil
		for _, b := range d.snapshot.Report.Servers { // a request stays in flight everywhere
			d.snapshot.Report.InUse = append(d.snapshot.Report.InUse, InUse{Server: b.Server, Member: 1, InFlight: 1})
		}
		if d.advance(0.5); d.countStages()[Draining] == 1 {
			break
		}
	}
	require.Equal(t, 1, d.countStages()[Draining])
	d.advance(10)
	require.Equal(t, 1, d.countStages()[Draining], "rejections have not risen yet")
	d.snapshot.Report.RejectedPerSecond = 0.1 * d.snapshot.Report.CompletedPerSecond
	d.advance(10)
	assert.Zero(t, d.countStages()[Draining])
}

// Draining servers may raise the rejections while they are out or for good, and the lease holder may be replaced at any time. No
// server starts to drain while the rejections exceed the highest fraction before the first one drained plus the allowed share of the
// budget.
func TestPlanDoesNotRaiseItsBaseline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver(t, 2, 3, 4)
		s := spec()
		s.MaxConcurrent = rapid.IntRange(1, 4).Draw(t, "max concurrent")
		s.RejectionBudget = rapid.Float64Range(0.01, 0.1).Draw(t, "rejection budget")
		s.MaxRejection = rapid.Float64Range(0.1, 1).Draw(t, "max rejection")
		s.WorkSeconds, s.WarmUpSeconds = 1, rapid.Float64Range(1, 15).Draw(t, "warm up")
		require.Empty(t, d.submit(Command{Kind: SubmitPlan, Spec: s}).Err)
		own, highest := 0.0, 0.0
		effect := rapid.Float64Range(0, 0.1).Draw(t, "effect while a server is out")
		lastingEffect := rapid.Float64Range(0, 0.05).Draw(t, "effect that stays")
		drained := 0
		for range rapid.IntRange(5, 40).Draw(t, "phases") {
			if rapid.IntRange(0, 3).Draw(t, "change") == 0 {
				own = rapid.Float64Range(0, 0.15).Draw(t, "own")
			}
			if rapid.IntRange(0, 5).Draw(t, "another lease holder") == 0 {
				d.Start(d.now, d.committed)
			}
			d.runWithAgent(rapid.IntRange(1, 60).Draw(t, "steps"), func() float64 {
				if drained == 0 {
					highest = max(highest, own)
				}
				n := d.countStages()
				out := n[Draining] + n[Drained] + n[InMaintenance] + n[WarmingUp]
				return min(own+effect*float64(out)+lastingEffect*float64(drained), 1)
			}, func() {
				drained++
				limit := min(highest+(1+drainMargin)*s.RejectionBudget, s.MaxRejection)
				require.LessOrEqual(t, d.fleet.rejectionFraction(), limit+1e-3, "server %d drained", drained)
			})
		}
	})
}

// Draining servers raise the rejections only while they are out and shortly after. The measured baseline never exceeds the fraction
// that the fleet rejects without them.
func TestDrainEffectIsNotPartOfBaseline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver(t, 2, 3, 4)
		s := spec()
		s.MaxConcurrent, s.RejectionBudget, s.WorkSeconds, s.WarmUpSeconds = 2, rapid.Float64Range(0.01, 0.2).Draw(t, "rejection budget"), 1, 3
		require.Empty(t, d.submit(Command{Kind: SubmitPlan, Spec: s}).Err)
		own, highest, outAt := 0.0, 0.0, -100.0
		effect, lasts := rapid.Float64Range(0, 0.3).Draw(t, "effect"), rapid.Float64Range(0, aftermathSeconds-1).Draw(t, "lasts")
		for range rapid.IntRange(5, 40).Draw(t, "phases") {
			if rapid.IntRange(0, 2).Draw(t, "change") == 0 {
				own = rapid.Float64Range(0, 0.2).Draw(t, "own")
			}
			d.runWithAgent(rapid.IntRange(1, 60).Draw(t, "steps"), func() float64 {
				if highest = max(highest, own); d.committed.State.hasServerOut() {
					outAt = d.now
				}
				if d.now-outAt <= lasts {
					return min(own+effect, 1)
				}
				return own
			}, nil)
			fraction, _ := d.fleet.baseline.fraction()
			require.LessOrEqual(t, fraction, highest+1e-9)
		}
	})
}
