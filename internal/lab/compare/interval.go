// Package compare says in which figures two balancers, or two experiments with one, differ by more than chance.
package compare

import (
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// draws is how many samples the bootstrap takes.
const draws = 4000

// Interval is the difference of two means, the second less the first, with its bounds.
type Interval struct{ Diff, Low, High float64 }

// Zero reports whether the interval holds nought: no difference is seen.
func (i Interval) Zero() bool { return i.Low <= 0 && i.High >= 0 }

// Bootstrap returns the difference of two samples' means with bounds that hold it with the given confidence, 0 to 1. Both
// need two values at least; paired ones as many as each other, in the order of the pairs.
//
// Danger: the plain percentiles of a bootstrap are too narrow where runs are few: of five runs each, one pair of equal
// programs in eight would seem to differ. So the percentiles are moved outward as far as Student's distribution lies
// outside the normal one (Hesterberg, What Teachers Should Know About the Bootstrap, 2015); beyond what the draws reach,
// the bounds are as many of their standard deviations away.
func Bootstrap(a, b []float64, paired bool, confidence float64, rng *rand.Rand) Interval {
	var sample func() float64
	var degrees, least float64
	i := Interval{Diff: stat.Mean(b, nil) - stat.Mean(a, nil)}
	if paired {
		d := make([]float64, len(a))
		for j := range a {
			d[j] = b[j] - a[j]
		}
		sample = func() float64 { return redrawn(d, rng) }
		degrees, least = float64(len(d)-1), float64(len(d))
	} else {
		sample = func() float64 { return redrawn(b, rng) - redrawn(a, rng) }
		degrees, least = welch(a, b), float64(min(len(a), len(b)))
	}
	means := make([]float64, draws)
	for j := range means {
		means[j] = sample()
	}
	slices.Sort(means)
	reach := distuv.StudentsT{Sigma: 1, Nu: degrees}.Quantile(1-(1-confidence)/2) * math.Sqrt(least/(least-1))
	// Danger: counts that fall on the same few values by chance seem to have no spread, and any difference would be sure.
	// No mean is known better than a step between two values tells.
	finest := step(append(slices.Clone(a), b...)) / math.Sqrt(least)
	deviation := max(stat.StdDev(means, nil), finest)
	i.Low, i.High = i.Diff-reach*deviation, i.Diff+reach*deviation
	if at := int(distuv.UnitNormal.CDF(-reach) * draws); at >= 5 {
		i.Low, i.High = min(means[at], i.Diff-reach*finest), max(means[draws-1-at], i.Diff+reach*finest)
	}
	return i
}

// step returns the least difference between two values that are not the same, 0 if all are.
func step(x []float64) float64 {
	slices.Sort(x)
	least := math.Inf(1)
	for j := 1; j < len(x); j++ {
		// What differs by rounding alone is the same.
		if d := x[j] - x[j-1]; d > 1e-9*math.Abs(x[j]) {
			least = min(least, d)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// redrawn returns the mean of as many values, each drawn from all.
func redrawn(x []float64, rng *rand.Rand) float64 {
	sum := 0.0
	for range x {
		sum += x[rng.IntN(len(x))]
	}
	return sum / float64(len(x))
}

// welch returns the degrees of freedom of the difference of two means.
func welch(a, b []float64) float64 {
	va, vb := stat.Variance(a, nil)/float64(len(a)), stat.Variance(b, nil)/float64(len(b))
	if va+vb == 0 {
		return float64(min(len(a), len(b)) - 1)
	}
	return (va + vb) * (va + vb) / (va*va/float64(len(a)-1) + vb*vb/float64(len(b)-1))
}
