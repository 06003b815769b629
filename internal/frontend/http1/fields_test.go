package http1

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"hazelwheel/internal/rewrite"
	"hazelwheel/internal/sidecarconfig"
	"hazelwheel/policy"
)

func TestParseReport(t *testing.T) {
	var cfg sidecarconfig.Config
	cfg.Settings.ReportFields = []string{"cpu_share", "failed_ps", "pending"}
	f := New(cfg, rewrite.Settings{})
	for _, text := range []string{"util=0.61,eps=0,queue=2", " pending=2,extra=5,cpu_share=0.61,odd,failed_ps=0\n"} {
		r := f.parseReport(text)
		assert.Equal(t, 3, r.N)
		assert.Equal(t, []float32{0.61, 0, 2}, r.Values[:3])
	}
	r := f.parseReport("util=x,queue=Inf")
	for _, v := range r.Values[:3] {
		assert.True(t, math.IsNaN(float64(v)), "a value that is absent or invalid is NaN")
	}
	assert.Zero(t, f.parseReport("").N)
}

// A request without a tenant, or with one that the settings do not name, counts for no tenant. If such requests counted for the first tenant,
// they would exceed its share and be served last.
func TestTenantIndex(t *testing.T) {
	var cfg sidecarconfig.Config
	cfg.Settings.Policy.Tenants = []policy.Tenant{{Name: "north"}, {Name: "south"}}
	f := New(cfg, rewrite.Settings{})
	for text, want := range map[string]int{"north": 0, "south": 1, "0": 0, "1": 1, "2": -1, "-1": -1, "": -1, "other": -1} {
		assert.Equal(t, want, f.tenantIndex(text), text)
	}
	assert.Equal(t, -1, New(sidecarconfig.Config{}, rewrite.Settings{}).tenantIndex("0"))
}

func TestParseTimeout(t *testing.T) {
	for text, want := range map[string]float64{"480m": 0.48, "250u": 0.00025, "1.5m": 0.0015, "0m": 0} {
		s, ok := parseTimeout(text)
		assert.True(t, ok, text)
		assert.InDelta(t, want, s, 1e-9, text)
	}
	for _, text := range []string{"", "m", "5", "5s", "-1m", "NaNm", "Infm"} {
		_, ok := parseTimeout(text)
		assert.False(t, ok, text)
	}
	assert.Equal(t, "1500u", string(appendTimeout(nil, 0.0015)))
	assert.Equal(t, "0u", string(appendTimeout(nil, -1)))
}
