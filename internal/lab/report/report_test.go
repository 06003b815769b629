package report

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/lab/experiment"
	"hazelwheel/internal/lab/load"
)

// data is an experiment of two balancers, of two sizes listed the larger first, without and with troubles.
func data() *experiment.Data {
	d := &experiment.Data{About: experiment.About{Name: "small", Spec: experiment.Spec{Nice: -5,
		Balancers: []experiment.Balancer{{Name: "one"}, {Name: "other"}, {Name: "one, profiled", Profile: true}},
		Sizes:     []experiment.Size{{Name: "many", Boxes: 200}, {Name: "few", Boxes: 10}},
		Loads:     []experiment.Load{{Name: "calm"}}}}}
	for _, size := range d.Spec.Sizes {
		for _, trouble := range []string{"none", "hang", "crash"} {
			for i, b := range d.Spec.Balancers {
				r := experiment.Record{Run: experiment.Run{Balancer: b.Name, Size: size.Name, Load: "calm", Trouble: trouble},
					CPUS:   float64(i+1) * float64(size.Boxes) * 1e-4,
					Result: &load.Result{Counts: load.Counts{Offered: 20, Served: 20}, Worth: 1, ForS: 2, StepS: 0.1}}
				for step := range 20 {
					n := int64(1)
					if trouble != "none" && step >= 5 && step < 6+2*i {
						n = 0
					}
					r.Result.Steps = append(r.Result.Steps, load.Step{Counts: load.Counts{Offered: 1, Served: n}})
				}
				if trouble != "none" {
					r.Events = []experiment.Happened{{Kind: trouble, AtS: 0.5, EndS: 1}}
				}
				d.Records = append(d.Records, r)
			}
		}
	}
	return d
}

// Over all cells a report shows each figure in one table, the cost by the number of boxes and the recovery by trouble.
func TestOverview(t *testing.T) {
	d := data()
	var out bytes.Buffer
	require.NoError(t, Markdown(&out, []*experiment.Data{d}))
	assert.Contains(t, out.String(), "all at a priority of -5")
	assert.Contains(t, out.String(), "## until service is back s\n\n| | one | other | one, profiled |\n| --- | ---: | ---: | ---: |\n"+
		"| many, calm | - | - | - |\n| many, calm, hang | 0.100 | 0.300 | 0.500 |\n| many, calm, crash | 0.100 | 0.300 | 0.500 |\n")
	assert.Contains(t, out.String(), "## CPU µs a request\n\n| | one | other | one, profiled |\n| --- | ---: | ---: | ---: |\n| many, calm | 1000 | 2000 | 3000 |\n")

	dir := t.TempDir()
	require.NoError(t, Pictures(dir, d))
	cost, err := os.ReadFile(filepath.Join(dir, "small-cost-by-size-calm.svg"))
	require.NoError(t, err)
	for _, text := range []string{">10<", ">200<", ">one<", ">other<"} {
		assert.Contains(t, string(cost), text)
	}
	assert.NotContains(t, string(cost), "profiled", "to be profiled costs something")
	recovery, err := os.ReadFile(filepath.Join(dir, "small-recovery.svg"))
	require.NoError(t, err)
	assert.Regexp(t, `>hang *<`, string(recovery))
	assert.Regexp(t, `>crash *<`, string(recovery))

	for i := range d.Records { // a cell of which no run was whole
		r := &d.Records[i]
		r.Partial = r.Size == "few" && r.Trouble == "hang"
	}
	require.NoError(t, HTML(&out, []*experiment.Data{d}))
	require.NoError(t, Pictures(t.TempDir(), d))

	d.Spec.Sizes, d.Records = d.Spec.Sizes[:1], d.Records[:3] // one cell
	out.Reset()
	require.NoError(t, Markdown(&out, []*experiment.Data{d}))
	assert.NotContains(t, out.String(), "## CPU")
	dir = t.TempDir()
	require.NoError(t, Pictures(dir, d))
	assert.NoFileExists(t, filepath.Join(dir, "small-cost-by-size-calm.svg"))
	assert.NoFileExists(t, filepath.Join(dir, "small-recovery.svg"))
}
