package sim

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A batch at ten times its quota reduces the service of alerts; with quotas enforced it does not, whatever the faults.
func TestQuotaLimitsBatch(t *testing.T) {
	const days = 8
	alerts := func(o Options) float64 {
		var all Tally
		PlaySeeds(1, days, 4, o, func(d Outcome) bool {
			require.NoError(t, d.Err)
			all.Add(d.Result)
			return true
		})
		all.Finish()
		assert.Empty(t, all.Broken)
		for _, c := range all.Classes {
			if c.Name == "raise-alert" {
				return c.Service
			}
		}
		return 0
	}
	without, batch, held := alerts(Options{}), alerts(Options{BatchFactor: 10}), alerts(Options{BatchFactor: 10, Quotas: true})
	t.Logf("alerts served in time: %.4f without the batch, %.4f with it, %.4f with it and quotas", without, batch, held)
	assert.Greater(t, held, without-0.02)
	assert.Greater(t, held, batch+0.02)
}
