package replay

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/quota"
	"hazelwheel/internal/quotas"
)

var (
	wholeWeek     = flag.Bool("week", false, "replay the whole week instead of its first day")
	writeExample  = flag.Bool("write", false, "regenerate the files of the example")
	repayFraction = flag.Float64("repay", quota.DefaultRepayFraction, "the fraction of a debtor's own share that repays its debt")
	chartFile     = flag.String("picture", "", "the `FILE` for a chart of the week")
)

const (
	groupsFile = "../../../example/quotas.json"
	weekFile   = "../../../example/quota-week.csv"
)

type group struct {
	Name   string   `json:"name"`
	Parent string   `json:"parent,omitempty"`
	Share  float64  `json:"share"`
	Weight *float64 `json:"weight,omitempty"`
	Cap    float64  `json:"cap,omitempty"`
}

// weekGroups returns 58 groups on four levels, 36 of which accept requests.
func weekGroups() (all []group) {
	rng := rand.New(rand.NewPCG(14, 1))
	split := func(n int) []float64 { // 96 percent, into n uneven parts
		parts, sum := make([]float64, n), 0.0
		for i := range parts {
			parts[i] = 0.5 + rng.Float64()
			sum += parts[i]
		}
		for i := range parts {
			parts[i] = float64(int(parts[i]/sum*960)) / 10
		}
		return parts
	}
	for i, share := range split(3) {
		top := []string{"ministry", "north", "south"}[i]
		all = append(all, group{Name: top, Share: share})
		for j, share := range split(2) {
			mid := fmt.Sprintf("%s-%c", top, 'a'+j)
			all = append(all, group{Name: mid, Parent: top, Share: share})
			for k, share := range split(2) {
				low := fmt.Sprintf("%s%d", mid, k+1)
				all = append(all, group{Name: low, Parent: mid, Share: share})
				for l, share := range split(3) {
					g := group{Name: low + []string{"-alerts", "-readings", "-batch"}[l], Parent: low, Share: share}
					if l == 2 && j == 1 {
						half := 0.5
						g.Weight = &half
					}
					if l == 2 && j == 0 && k == 1 {
						g.Cap = 100
					}
					all = append(all, g)
				}
			}
		}
	}
	// A group without a share of its own.
	return append(all, group{Name: "guests", Share: 0})
}

// weekLoad returns a series of a week: readings by day, batches by night at many times their share, and alerts in bursts. Some groups
// are idle for days, and some always ask for more than their share.
func weekLoad(t *quota.Tree) string {
	rng := rand.New(rand.NewPCG(14, 2))
	type line struct {
		at   float64
		text string
	}
	var lines []line
	addStep := func(at float64, name string, rate float64) {
		lines = append(lines, line{at, fmt.Sprintf("%.0f,%s,%.4g,2000", at, name, rate)})
	}
	for g := int32(1); int(g) < t.Len(); g++ {
		if !t.AcceptsRequests(g) {
			continue
		}
		share, name := t.Quota(g, 0)/t.Limits[0].WindowSeconds, t.Path(g)
		wantsMore, isMostlyIdle := rng.IntN(5) == 0, rng.IntN(6) == 0
		for day := range 7 {
			at := float64(day) * 86400
			isWeekend := day >= 5
			switch {
			case name == "guests":
				addStep(at, name, 0.3)
			case isMostlyIdle && day%3 != 0:
				addStep(at, name, 0)
			case strings.HasSuffix(name, "-batch"):
				begin := at + 3600*(18+4*rng.Float64())
				addStep(at+3600*(5+2*rng.Float64()), name, share*0.1)
				addStep(begin, name, share*(3+7*rng.Float64()))
				if wantsMore {
					addStep(begin+3600, name, share*10)
				}
			case strings.HasSuffix(name, "-readings"):
				for hour := 0; hour < 24; hour += 2 {
					busy := hour >= 8 && hour < 18
					rate := share * (0.05 + 0.3*rng.Float64())
					if busy && !isWeekend {
						rate = share * (0.8 + 0.8*rng.Float64())
					}
					if wantsMore {
						rate = share * (1.2 + 2*rng.Float64())
					}
					addStep(at+float64(hour)*3600+float64(rng.IntN(600)), name, rate)
				}
			default: // alerts
				addStep(at, name, share*0.02)
				for range 3 {
					begin := at + 86000*rng.Float64()
					addStep(begin, name, share*(1+4*rng.Float64()))
					addStep(min(begin+300+7000*rng.Float64(), at+86399), name, share*0.02)
				}
			}
		}
	}
	slices.SortStableFunc(lines, func(x, y line) int {
		switch {
		case x.at < y.at:
			return -1
		case x.at > y.at:
			return 1
		}
		return 0
	})
	var b strings.Builder
	b.WriteString("at_s,group,rate_ps,bytes\n")
	for _, l := range lines {
		b.WriteString(l.text + "\n")
	}
	b.WriteString("604800,guests,0,2000\n")
	return b.String()
}

// In the scripted week, or its first day, each group gets its share when it wants it, loans balance with their repayments, and almost no
// quota is lost while a request is rejected.
func TestWeekOfLoadKeepsShares(t *testing.T) {
	if *writeExample {
		text, err := json.Marshal(weekGroups())
		require.NoError(t, err)
		list := strings.ReplaceAll(strings.TrimSuffix(strings.TrimPrefix(string(text), "["), "]"), "},{", "},\n    {")
		raw := "{\n  \"limits\": [\n    {\"measure\": \"requests\", \"window_s\": 10, \"quota\": 200},\n" +
			"    {\"measure\": \"bytes\", \"window_s\": 60, \"quota\": 3000000}\n  ],\n  \"groups\": [\n    " + list + "\n  ]\n}\n"
		require.NoError(t, os.WriteFile(groupsFile, []byte(raw), 0o644))
		tree, err := quotas.ReadFile(groupsFile)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(weekFile, []byte(weekLoad(tree)), 0o644))
	}
	tree, err := quotas.ReadFile(groupsFile)
	require.NoError(t, err)
	f, err := os.Open(weekFile)
	require.NoError(t, err)
	defer f.Close()
	load, err := ReadSeries(f, tree)
	require.NoError(t, err)
	if !*wholeWeek {
		const dayS = 86400
		load.Steps = slices.DeleteFunc(load.Steps, func(s Step) bool { return s.AtSeconds >= dayS })
		load.EndSeconds = dayS
	}
	s := quotas.Defaults()
	s.RepayFraction = *repayFraction
	began := time.Now()
	r := Run(tree, load, s.LimiterSettings(1))
	var text bytes.Buffer
	require.NoError(t, r.WriteTable(&text))
	t.Logf("%d groups, %d decisions in %.1f s\n%s", tree.Len()-1, r.Decisions, time.Since(began).Seconds(), text.String())

	part, hours := r.WorstShare(true)
	assert.Greater(t, hours, 150)
	assert.Greater(t, part, 0.99, "each group gets its share, less repayments, in each hour in which it wants it")
	part, _ = r.WorstShare(false)
	assert.Greater(t, part, 0.999-s.RepayFraction, "repayments take no more than RepayFraction, by default a hundredth")
	assert.Less(t, r.Imbalance(), 1.0)
	assert.Less(t, r.Discrepancy, 0.01)
	assert.Positive(t, r.Offered)
	assert.Less(t, r.Unused/r.Offered, 0.01)
	if *chartFile != "" {
		out, err := os.Create(*chartFile)
		require.NoError(t, err)
		require.NoError(t, r.WriteChart(out))
		require.NoError(t, out.Close())
	}
}
