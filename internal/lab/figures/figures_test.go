package figures

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"hazelwheel/internal/lab/experiment"
	"hazelwheel/internal/lab/load"
)

// Service is back where it stays as it was for a second; what was bad before the trouble is not held against it.
func TestRecovery(t *testing.T) {
	for _, c := range []struct {
		name   string
		served string // of each tenth of a second, in tenths of what was due; x: all
		onset  float64
		want   float64
	}{
		{"never gone", "xxxxxxxxxxxxxxxxxxxx", 0.5, 0},
		{"gone for half a second", "xxxxx00000xxxxxxxxxxxxxxxxxxxx", 0.5, 0.5},
		{"back, gone, and back", "xxxxx00xx00xxxxxxxxxxxxxxxxxxxxx", 0.5, 0.6},
		{"never back", "xxxxx999999999999999", 0.5, 1.5},
		{"as bad as before", "999999999999999999999", 0.5, 0},
		{"back too late to tell", "xxxxx0000000000xxxxx", 0.5, 1.5},
	} {
		r := experiment.Record{Result: &load.Result{StepS: 0.1, ForS: float64(len(c.served)) / 10}, Events: []experiment.Happened{{AtS: 9}, {AtS: c.onset}}}
		for _, x := range c.served {
			n := int64(10)
			if x != 'x' {
				n = int64(x - '0')
			}
			r.Result.Steps = append(r.Result.Steps, load.Step{Counts: load.Counts{Offered: 10, Served: n}})
		}
		r.Result.Steps = append(r.Result.Steps, load.Step{Counts: load.Counts{Offered: 1}}) // due at the very end
		got, ok := Recovery(&r)
		assert.True(t, ok)
		assert.InDelta(t, c.want, got, 0.01, c.name)
	}
	_, ok := Recovery(&experiment.Record{Result: &load.Result{StepS: 1}})
	assert.False(t, ok, "there was no trouble")
}

func TestSpread(t *testing.T) {
	assert.Equal(t, "-", Spread(nil))
	assert.Equal(t, "2", Spread([]float64{2, 2}))
	assert.Equal(t, "2.50 (1 to 9.99)", Spread([]float64{9.99, 1, 2, 3}))
	assert.Equal(t, "0.050", Spread([]float64{0.05}))
	assert.Equal(t, "12346", Short(12345.6))
}
