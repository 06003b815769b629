package replay

import (
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"sort"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/quota"
	"hazelwheel/internal/quotas"
)

var fleets = flag.Bool("fleets", false, "measure 3, 30 and 300 sidecars over a day instead of 3 and 30 over two hours")

// accuracy compares a fleet of sidecars, each of which limits on its own, with a single limiter that sees all requests.
type accuracy struct {
	maxUse     float64 // the largest fraction of the quota that all groups together used in an hour
	meanShare  float64 // the mean fraction of its share that a group got in hours in which it wanted the whole share
	worstShare float64 // the lowest such fraction
	served     float64 // requests served, as a fraction of those that the single limiter serves
	unused     float64 // fraction of the quota that was not used, in minutes in which a request was rejected
}

// runFleet distributes the requests of a load over n sidecars at random. Each sidecar has a random weight, multiplied by another one for
// each group; skew 0 makes all weights equal.
func runFleet(t *testing.T, tree *quota.Tree, load *Series, s quota.Settings, n int, skew float64) accuracy {
	rng := rand.New(rand.NewPCG(14, uint64(n)))
	spread := func() float64 { return math.Exp(skew * rng.NormFloat64()) }
	machines, sums := make([]*quota.Limiter, n), make([][]float64, tree.Len())
	weights := make([]float64, n)
	for i := range machines {
		machines[i], weights[i] = quota.New(tree, s, startTime), spread()
	}
	for g := range sums {
		sum := 0.0
		for i := range n {
			sum += weights[i] * spread()
			sums[g] = append(sums[g], sum)
		}
	}
	// The replay against a single limiter shows in which hours each group wants its share.
	var x accuracy
	hours := int(load.EndSeconds / hourSeconds)
	served, wants := make([][]float64, tree.Len()), make([][]bool, tree.Len())
	one := s
	one.Replicas, one.StretchFraction = 1, 0
	ref := Run(tree, load, one)
	for g := range served {
		served[g], wants[g] = make([]float64, hours), make([]bool, hours)
		for h := range hours {
			wants[g][h] = ref.Hours[g][h].WantsShare
		}
	}
	limit := tree.Limits[0]
	total, minute, wanted, offered, missed := make([]float64, hours), 0, false, 0.0, 0.0
	inMinute := 0.0
	p := &run{limiter: quota.New(tree, one, startTime), result: &Result{Tree: tree}, sources: make([]*source, tree.Len()), leastRates: make([]float64, tree.Len()), minuteEnd: math.Inf(1)}
	p.dispatch = func(g int32, at float64) {
		if m := int(at / minuteSeconds); m != minute {
			if wanted {
				offered += limit.Quota / limit.WindowSeconds * minuteSeconds
				missed += max(0, limit.Quota/limit.WindowSeconds*minuteSeconds-inMinute)
			}
			minute, wanted, inMinute = m, false, 0
		}
		i := min(sort.SearchFloat64s(sums[g], rng.Float64()*sums[g][n-1]), n-1)
		if machines[i].Admit(startTime+at, machines[i].NewRequest(g, 0, false)).Allowed {
			served[g][int(at/hourSeconds)]++
			total[int(at/hourSeconds)]++
			inMinute++
		} else {
			wanted = true
		}
	}
	for _, step := range load.Steps {
		p.advanceTo(step.AtSeconds)
		p.startStep(step)
	}
	p.advanceTo(load.EndSeconds)
	parts, all, want := []float64{}, 0.0, 0.0
	for h := range hours {
		x.maxUse = max(x.maxUse, total[h]/(limit.Quota/limit.WindowSeconds*hourSeconds))
		for g := range served {
			all += served[g][h]
			want += float64(ref.Hours[g][h].Served)
			if wants[g][h] {
				parts = append(parts, served[g][h]/(tree.Quota(int32(g), 0)/limit.WindowSeconds*hourSeconds))
			}
		}
	}
	for _, v := range parts {
		x.meanShare += min(v, 1) / float64(len(parts))
	}
	require.NotEmpty(t, parts)
	x.worstShare, x.served, x.unused = slices.Min(parts), all/want, missed/max(offered, 1e-9)
	return x
}

// Sidecars that limit on their own, without sharing any state, stay close to the quotas and serve most of what a single limiter serves.
func TestFleetSharesQuotasClosely(t *testing.T) {
	tree, err := quotas.ReadFile(groupsFile)
	require.NoError(t, err)
	tree, err = quota.NewTree(tree.Limits[:1], groupsOf(tree))
	require.NoError(t, err)
	f, err := os.Open(weekFile)
	require.NoError(t, err)
	defer f.Close()
	load, err := ReadSeries(f, tree)
	require.NoError(t, err)
	sizes, stretches, endS := []int{3, 30}, []float64{0, 0.1}, 2*3600.0
	if *fleets {
		sizes, stretches, endS = []int{3, 30, 300}, []float64{0, 0.1, 0.3}, 86400
	}
	for i := range load.Steps { // raise the load so that the quotas are reached
		load.Steps[i].RequestsPerSecond *= 1.6
	}
	const fromS = 17 * 3600.0
	if !*fleets {
		last := map[int32]Step{}
		var rest []Step
		for _, s := range load.Steps {
			if s.AtSeconds <= fromS {
				s.AtSeconds = 0
				last[s.Group] = s
			} else if s.AtSeconds < fromS+endS {
				s.AtSeconds -= fromS
				rest = append(rest, s)
			}
		}
		load.Steps = nil
		for g := range int32(tree.Len()) {
			if s, ok := last[g]; ok {
				load.Steps = append(load.Steps, s)
			}
		}
		load.Steps = append(load.Steps, rest...)
	}
	load.Steps = slices.DeleteFunc(load.Steps, func(s Step) bool { return s.AtSeconds >= endS })
	load.EndSeconds = endS
	for _, n := range sizes {
		for _, skew := range []float64{0, 0.5} {
			for _, stretch := range stretches {
				s := quotas.Defaults()
				s.StretchFraction = stretch
				x := runFleet(t, tree, load, s.LimiterSettings(n), n, skew)
				t.Logf("%3d sidecars, skew %.1f, stretch %.1f: at most %.1f %% of the quota in an hour; who wanted its share had %.1f %% of it, at least %.1f %%; "+
					"%.1f %% of what one machine serves; %.1f %% not served while somebody was refused", n, skew, stretch, 100*x.maxUse, 100*x.meanShare, 100*x.worstShare, 100*x.served, 100*x.unused)
				// Each account of each sidecar holds at least one request, and a pool two, so this many can be served at once beyond the quota.
				held := 2 * float64(n*tree.Len()) / (tree.Limits[0].Quota / tree.Limits[0].WindowSeconds * hourSeconds)
				assert.Less(t, x.maxUse, 1.02+stretch+held, "at most the stretched quotas plus what the accounts hold")
				assert.Greater(t, x.served, 0.75)
			}
		}
	}
}

// groupsOf returns a tree's groups with their shares, without caps, floors and weights.
func groupsOf(t *quota.Tree) (all []quota.Group) {
	for g := int32(1); int(g) < t.Len(); g++ {
		p := t.Parent(g)
		name, parent := t.Name(g), ""
		if p > 0 {
			parent = t.Name(p)
		}
		all = append(all, quota.Group{Name: name, Parent: parent, Share: 100 * t.Quota(g, 0) / t.Quota(p, 0), Weight: 1})
	}
	return all
}
