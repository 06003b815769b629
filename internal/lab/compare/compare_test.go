package compare

import (
	"bytes"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"hazelwheel/internal/lab/experiment"
	"hazelwheel/internal/lab/load"
)

// played returns an experiment of two balancers whose times are skewed as times are, the second's by a factor. Drift is
// what a machine does to all runs of a repeat.
func played(rng *rand.Rand, repeats int, factor, drift float64) *experiment.Data {
	d := &experiment.Data{Folder: "x"}
	d.Spec.Balancers = []experiment.Balancer{{Name: "a"}, {Name: "b"}}
	for repeat := range repeats {
		slow := math.Exp(drift * rng.NormFloat64())
		for i, name := range []string{"a", "b"} {
			f := slow * math.Pow(factor, float64(i))
			skewed := func(mean, s float64) float64 { return mean * math.Exp(s*rng.NormFloat64()) }
			r := &load.Result{}
			r.Offered, r.Served = 1000, 1000-int64(rng.IntN(3))
			r.Refused = 1000 - r.Served
			r.Worth, r.ServedPS = float64(r.Served)/1000, skewed(20000, 0.03)/f
			r.P50, r.P99, r.P999 = skewed(1, 0.05)*f, skewed(5, 0.3)*f, skewed(20, 0.8)*f
			d.Records = append(d.Records, experiment.Record{Run: experiment.Run{Balancer: name, Repeat: repeat + 1}, Result: r,
				CPUS: skewed(0.05, 0.03) * f, PeakMB: skewed(16, 0.02)})
		}
	}
	return d
}

// Of two programs that are the same, no difference is seen in 19 of 20 comparisons, whatever the machine did meanwhile.
func TestSameProgram(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	const times = 60
	all, in := 0, 0
	for _, drift := range []float64{0, 0.2} {
		for _, repeats := range []int{3, 5, 10} {
			seen := 0
			for i := range times {
				d := played(rng, repeats, 1, drift)
				lines, skipped := Compare(Side{d, "a"}, Side{d, "b"}, uint64(i))
				assert.Zero(t, skipped)
				assert.Equal(t, 10, len(lines))
				for _, l := range lines {
					if !l.Zero() {
						seen++
						break
					}
				}
			}
			t.Logf("drift %g, %d repeats: a difference seen in %d of %d", drift, repeats, seen, times)
			assert.LessOrEqual(t, seen, times/10, "drift %g, %d repeats", drift, repeats) // a twentieth, and chance
			all, in = all+seen, in+times
		}
	}
	assert.LessOrEqual(t, all, in/20)
}

// A program that takes a fifth longer is seen, also where the machine's own drift is as large, and named worse.
func TestSlowerProgram(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	seen := 0
	for i := range 50 {
		d := played(rng, 5, 1.2, 0.2)
		lines, _ := Compare(Side{d, "a"}, Side{d, "b"}, uint64(i))
		for _, l := range lines {
			if l.Figure == "CPU µs a request" && !l.Zero() && !l.Better {
				seen++
			}
		}
	}
	assert.GreaterOrEqual(t, seen, 35)
}

func TestTooFewRuns(t *testing.T) {
	d := played(rand.New(rand.NewPCG(5, 6)), 2, 1, 0)
	lines, skipped := Compare(Side{d, "a"}, Side{d, "b"}, 1)
	assert.Empty(t, lines)
	assert.Equal(t, 1, skipped)
	var b bytes.Buffer
	Print(&b, lines, skipped)
	assert.Contains(t, b.String(), "fewer than 3 whole runs")
}
