package environment

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
)

// Range is the interval from which a figure is drawn, uniformly.
type Range struct{ Min, Max float64 }

// draw draws a figure.
func (r Range) draw(rng *rand.Rand) float64 { return r.Min + (r.Max-r.Min)*rng.Float64() }

// count draws a whole number, both ends included.
func (r Range) count(rng *rand.Rand) int {
	return int(r.Min) + rng.IntN(int(r.Max)-int(r.Min)+1)
}

// randomStream returns a source of random numbers for one purpose of a seed.
//
// Danger: with a shared source, an actor that draws once more would change the draws of all others, and a shortened script
// would reproduce another day.
func randomStream(seed uint64, purpose string, number int) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose)) // never fails
	return rand.New(rand.NewPCG(seed, h.Sum64()+uint64(number)*0x9e3779b97f4a7c15))
}

// logNormalFactor draws a log-normal factor with mean 1; cv is its coefficient of variation.
func logNormalFactor(rng *rand.Rand, cv float64) float64 {
	if cv <= 0 {
		return 1
	}
	sigma := math.Sqrt(math.Log1p(cv * cv))
	return math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2)
}

// uniform draws a figure and rounds it to thousandths, so that a script can be read and edited.
func uniform(rng *rand.Rand, minimum, maximum float64) float64 {
	return math.Round((minimum+(maximum-minimum)*rng.Float64())*1e3) / 1e3
}
