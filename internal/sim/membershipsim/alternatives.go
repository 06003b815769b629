package membershipsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Alternative is what another way to detect failures costs and how soon deaths are known, by a model of its rounds alone: no message
// is lost, and one member dies.
type Alternative struct {
	Name               string
	KnownMedianSeconds float64 // from a death until a member knows
	Known99Seconds     float64
	BytesPerSecond     float64 // that a member sends while nothing changes, without TCP headers
	DialsPerSecond     float64 // by a member
	Watchers           string  // of each member
}

// String returns the alternative as a line.
func (a Alternative) String() string {
	return fmt.Sprintf("%-22s known %5.2f / %5.2f s  %9.0f B/s  %4.1f links opened/s  watched by %s", a.Name, a.KnownMedianSeconds, a.Known99Seconds, a.BytesPerSecond, a.DialsPerSecond, a.Watchers)
}

const (
	heartbeatSeconds      = 0.5
	silenceSeconds        = 1.4  // without a heartbeat, after which a member is dead
	checkSeconds          = 0.25 // between two checks for silence
	swimPeriodSeconds     = 1.0
	maxSWIMPeriods        = 200
	activeViewLinks       = 5 // that a member chooses
	floodSecondsPerFactor = 0.002
	deathsPlayed          = 40 // of each alternative
)

// Alternatives returns those that were considered, for a fleet of a size.
func Alternatives(n int, seed uint64) []Alternative {
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	return []Alternative{allToAll(n, rng), randomProbing(n, rng), activeViews(n, rng)}
}

// drawDetection draws how long a watcher takes to detect a death: the last heartbeat came up to an interval before it.
func drawDetection(rng *rand.Rand) float64 {
	return silenceSeconds - heartbeatSeconds*rng.Float64() + checkSeconds*rng.Float64()
}

// allToAll models heartbeats from each member to each, which decides for itself who is dead.
func allToAll(n int, rng *rand.Rand) Alternative {
	var known []float64
	for range deathsPlayed {
		for range n - 1 {
			known = append(known, drawDetection(rng))
		}
	}
	return Alternative{"all to all", quantile(known, 0.5), quantile(known, 0.99), float64(n-1) / heartbeatSeconds * heartbeatBytes, 0, fmt.Sprint(n - 1)}
}

// randomProbing models SWIM: each member probes a random one per period, suspicion lasts for a number of periods that grows with the
// logarithm of the fleet, and updates are piggybacked on probes and answers for as long.
func randomProbing(n int, rng *rand.Rand) Alternative {
	var known []float64
	periods := math.Ceil(3 * math.Log10(float64(n)+1))
	for range deathsPlayed {
		for _, learned := range playRandomProbing(n, periods, rng) {
			if !math.IsInf(learned, 1) {
				known = append(known, learned+periods*swimPeriodSeconds/2) // Lifeguard ends early what several members suspect
			}
		}
	}
	return Alternative{"SWIM", quantile(known, 0.5), quantile(known, 0.99), 2 * (heartbeatBytes + helloBytes) / swimPeriodSeconds, 1 / swimPeriodSeconds, "one at random a second"}
}

// playRandomProbing plays the death of member 0 at time 0. It returns when each other member learns of the suspicion, which is
// piggybacked for so many periods; +Inf: never.
func playRandomProbing(n int, periods float64, rng *rand.Rand) []float64 {
	learned := make([]float64, n)
	for i := range learned {
		learned[i] = math.Inf(1)
	}
	phase := make([]float64, n)
	for i := range phase {
		phase[i] = rng.Float64() * swimPeriodSeconds
	}
	unaware := n - 1
	learn := func(i int, at float64) {
		if math.IsInf(learned[i], 1) {
			unaware--
		}
		learned[i] = at
	}
	for period := 0; unaware > 0 && period < maxSWIMPeriods; period++ {
		order := rng.Perm(n)
		slices.SortFunc(order, func(a, b int) int { return int(math.Copysign(1, phase[a]-phase[b])) })
		for _, i := range order {
			if i == 0 {
				continue
			}
			now := float64(period)*swimPeriodSeconds + phase[i]
			j := rng.IntN(n)
			switch j {
			case i:
			case 0:
				if found := now + swimPeriodSeconds; learned[i] > found {
					learn(i, found)
				}
			default: // the probe and its answer carry the update both ways
				for _, way := range []path{{i, j}, {j, i}} {
					if learned[way.from] <= now && now < learned[way.from]+periods*swimPeriodSeconds && learned[way.to] > now {
						learn(way.to, now)
					}
				}
			}
		}
	}
	return learned[1:]
}

// activeViews models a few random links of each member with heartbeats both ways; a death is flooded on the word of one watcher.
func activeViews(n int, rng *rand.Rand) Alternative {
	var known []float64
	fewest := n
	for range deathsPlayed {
		chosenBy := make([]int, n) // links to each that others chose
		for i := range n {
			for range activeViewLinks {
				if j := rng.IntN(n); j != i {
					chosenBy[j]++
				}
			}
		}
		fewest = min(fewest, activeViewLinks+slices.Min(chosenBy))
		first := math.Inf(1)
		for range activeViewLinks + chosenBy[0] {
			first = min(first, drawDetection(rng))
		}
		for range n - 1 {
			known = append(known, first+floodSecondsPerFactor*math.Log(float64(n)+1))
		}
	}
	return Alternative{"active views, one word", quantile(known, 0.5), quantile(known, 0.99), float64(min(2*activeViewLinks, n-1)) / heartbeatSeconds * heartbeatBytes, 0, fmt.Sprintf("%d or more", min(fewest, n-1))}
}
