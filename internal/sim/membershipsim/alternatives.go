package membershipsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Way is what another way of watching costs and how soon it knows, by a model of its rounds alone: no losses, one death.
type Alternative struct {
	Name               string
	KnownMedianSeconds float64 // seconds from a death until a member knows
	Known99Seconds     float64
	BytesPerSecond     float64 // that a member sends while nothing happens, heads of TCP left out
	DialsPerSecond     float64 // connections that a member opens a second
	Watchers           string  // of each member
}

func (w Alternative) String() string {
	return fmt.Sprintf("%-22s known %5.2f / %5.2f s  %9.0f B/s  %4.1f links opened/s  watched by %s", w.Name, w.KnownMedianSeconds, w.Known99Seconds, w.BytesPerSecond, w.DialsPerSecond, w.Watchers)
}

const (
	heartbeatSeconds  = 0.5
	silenceSeconds    = 1.4
	swimPeriodSeconds = 1.0
	swimWaitS         = 0.3 // for an answer, before others are asked
	swimOthers        = 3
	newsLen           = 70.0
	deathsPlayed      = 40 // that are played of each
)

// Ways returns the ways that were weighed, for a fleet of a size.
func Alternatives(n int, seed uint64) []Alternative {
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	return []Alternative{allToAll(n, rng), randomProbing(n, rng), activeViews(n, rng)}
}

// allToAll has each beat to each. Who is silent for long enough is dead, by everybody's own word.
func allToAll(n int, rng *rand.Rand) Alternative {
	var known []float64
	for range deathsPlayed {
		for range n - 1 { // the last beat was up to a beat ago, a look comes each quarter of a second
			known = append(known, silenceSeconds-heartbeatSeconds*rng.Float64()+0.25*rng.Float64())
		}
	}
	return Alternative{"all to all", quantile(known, 0.5), quantile(known, 0.99), float64(n-1) / heartbeatSeconds * heartbeatBytes, 0, fmt.Sprint(n - 1)}
}

// randomProbing has each call one a round, in an order of its own, and others in its place where no answer comes; suspicion lasts for
// a number of rounds that grows with the logarithm of the fleet, and news rides on calls and answers.
func randomProbing(n int, rng *rand.Rand) Alternative {
	var known []float64
	rounds := math.Ceil(3 * math.Log10(float64(n)+1)) // that news rides along for, and that suspicion lasts
	for range deathsPlayed {
		at := make([]float64, n) // when each knows of the suspicion; member 0 is dead
		for i := range at {
			at[i] = math.Inf(1)
		}
		phase := make([]float64, n)
		for i := range phase {
			phase[i] = rng.Float64() * swimPeriodSeconds
		}
		left, died := n-1, 0.0
		for round := 0; left > 0 && round < 200; round++ {
			order := rng.Perm(n)
			slices.SortFunc(order, func(a, b int) int { return int(math.Copysign(1, phase[a]-phase[b])) })
			for _, i := range order {
				if i == 0 {
					continue
				}
				now := float64(round)*swimPeriodSeconds + phase[i]
				j := rng.IntN(n)
				switch {
				case j == i:
				case j == 0:
					if found := now + swimPeriodSeconds; at[i] > found {
						if math.IsInf(at[i], 1) {
							left--
						}
						at[i] = found
					}
				default: // a call and its answer carry the news both ways, for as long as it is news
					for _, w := range [][2]int{{i, j}, {j, i}} {
						if at[w[0]] <= now && now < at[w[0]]+rounds*swimPeriodSeconds && at[w[1]] > now {
							if math.IsInf(at[w[1]], 1) {
								left--
							}
							at[w[1]] = now
						}
					}
				}
			}
		}
		for _, t := range at[1:] {
			if !math.IsInf(t, 1) {
				known = append(known, t-died+rounds*swimPeriodSeconds/2) // Lifeguard ends suspicions early that many share
			}
		}
	}
	return Alternative{"SWIM", quantile(known, 0.5), quantile(known, 0.99), 2 * (heartbeatBytes + helloBytes) / swimPeriodSeconds, 1 / swimPeriodSeconds, "one at random a second"}
}

// activeViews has each keep a few links at random, both ends beat, and deaths flood by the word of one.
func activeViews(n int, rng *rand.Rand) Alternative {
	const own = 5
	var known []float64
	least := n
	for range deathsPlayed {
		watchers := make([]int, n) // links that others have chosen to each
		for i := range n {
			for range own {
				if j := rng.IntN(n); j != i {
					watchers[j]++
				}
			}
		}
		least = min(least, own+slices.Min(watchers))
		first := math.Inf(1)
		for range own + watchers[0] {
			first = min(first, silenceSeconds-heartbeatSeconds*rng.Float64()+0.25*rng.Float64())
		}
		for range n - 1 {
			known = append(known, first+0.002*math.Log(float64(n)+1))
		}
	}
	return Alternative{"active views, one word", quantile(known, 0.5), quantile(known, 0.99), float64(min(2*own, n-1)) / heartbeatSeconds * heartbeatBytes, 0, fmt.Sprintf("%d or more", min(least, n-1))}
}
