package maintenanceplan

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/tomlfile"
)

const fullPlan = `name = "firmware-7"
boxes = ["s-00000001", "s-00000002"]
sites = ["site-a"]
types = ["big"]
takes = "20m"
late = "40m"
when_late = "give-up"
at_once = 3
by_site = 2
keep = 0.7
refusing = 0.05
settle = "2s"
cold = "30s"
gone = "10m"
not_before = 2026-12-02T02:00:00Z
not_after = "2026-12-02T06:00:00+01:00"
`

var now = time.Date(2026, 12, 2, 1, 0, 0, 0, time.UTC)

func TestParse(t *testing.T) {
	s, err := Parse("p.toml", []byte(fullPlan), now)
	require.NoError(t, err)
	assert.Equal(t, maintenance.Spec{Name: "firmware-7", Servers: []string{"s-00000001", "s-00000002"}, Sites: []string{"site-a"}, Types: []string{"big"}, WorkSeconds: 1200, OverdueSeconds: 2400,
		AbandonOverdue: true, MaxConcurrent: 3, MaxPerSite: 2, MinCapacity: 0.7, RejectionBudget: 0.05, QuietSeconds: 2, WarmUpSeconds: 30, DeadMemberSeconds: 600, StartAfterSeconds: 3600, EndAfterSeconds: 4 * 3600}, s)
	s, err = Parse("p.toml", []byte("name = 'n'\nsites = ['a']\ntakes = '1s'\nat_once = 1\nkeep = 0\n"), now)
	require.NoError(t, err)
	assert.Equal(t, maintenance.Spec{Name: "n", Sites: []string{"a"}, WorkSeconds: 1, MaxConcurrent: 1}, s)
}

// Each fault is one line with the file, the line and the key.
func TestParseFaults(t *testing.T) {
	for line, want := range map[string]string{
		`name = "a b"`:                       `p.toml:1:1: name: want a name of at most 64 letters, digits, '.', '_' and '-'`,
		`boxes = ["a", "b", "a"]`:            `p.toml:2:1: boxes[2]: "a" is there twice`,
		`sites = ["a b"]`:                    `p.toml:3:1: sites[0]: "a b" is no name`,
		`types = [7]`:                        `p.toml:4:10: types: cannot decode TOML integer into struct field maintenanceplan.file.Types of type string`,
		`takes = "soon"`:                     `p.toml:5:1: takes: "soon" is not a time like "1.5s"`,
		`takes = "0s"`:                       `p.toml:5:1: takes: 0s is not 100ms to 168h0m0s`,
		`takes = "41m"`:                      `p.toml:6:1: late: 40m0s is less than the work takes, 41m0s`,
		`when_late = "never"`:                `p.toml:7:1: when_late: want "wait" or "give-up"`,
		`at_once = 0`:                        `p.toml:8:1: at_once: 0 is not 1 to 250`,
		`by_site = 4`:                        `p.toml:9:1: by_site: 4 is not 1 to 3, which may be out at once`,
		`keep = 1`:                           `p.toml:10:1: keep: 1 is not 0 to below 1`,
		`keep = nan`:                         `p.toml:10:1: keep: NaN is not 0 to below 1`,
		`refusing = -0.1`:                    `p.toml:11:1: refusing: -0.1 is not above 0, to 1`,
		`settle = "2h"`:                      `p.toml:12:1: settle: 2h0m0s is not 100ms to 10m0s`,
		`gone = "10ms"`:                      `p.toml:14:1: gone: 10ms is not 1s to 168h0m0s`,
		`not_before = "tomorrow"`:            `p.toml:15:1: not_before: "tomorrow" is not a time with its zone like 2026-12-24T03:00:00+01:00`,
		`not_before = 2026-12-02T02:00:00`:   `p.toml:15:1: not_before: "2026-12-02T02:00:00" is not a time with its zone like 2026-12-24T03:00:00+01:00`,
		`not_before = 2028-12-02T02:00:00Z`:  `p.toml:15:1: not_before: it is more than a month from now`,
		`not_after = "2026-12-02T00:00:00Z"`: `p.toml:16:1: not_after: it is not after not_before`,
		`color = "red"`:                      `p.toml:17:1: color: no such field`,
	} {
		key, _, _ := strings.Cut(line, " ")
		text := ""
		for old := range strings.Lines(fullPlan) {
			if strings.HasPrefix(old, key+" ") {
				old, line = line+"\n", ""
			}
			text += old
		}
		_, err := Parse("p.toml", []byte(text+line+"\n"), now)
		assert.EqualError(t, err, want)
	}
	for text, want := range map[string]string{
		"takes = '1s'": "name: want",
		"name = 'n'":   "boxes: missing, and sites and types, too",
		"name = 'n'\nboxes = ['a']\nkeep = 0.5\ntakes = '1s'":                                                "at_once: missing",
		"name = 'n'\nboxes = ['a']\nat_once = 1\ntakes = '1s'":                                               "keep: missing",
		"name = 'n'\nboxes = ['a']\nat_once = 1\nkeep = 0.5":                                                 "takes: missing",
		"name = 'n'\nboxes = ['a']\nat_once = 1\nkeep = 0\ntakes = '1s'\nnot_after = '2026-12-02T00:59:59Z'": "not_after: it is over",
	} {
		_, err := Parse("p.toml", []byte(text), now)
		assert.ErrorContains(t, err, want)
	}
}

// Whatever the text, Parse returns a plan within its bounds or an error of one line.
func FuzzParse(f *testing.F) {
	f.Add([]byte(fullPlan))
	f.Add([]byte("keep = inf\nnot_after = 1979-05-27\nboxes = [[]]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("f.toml", text, now)
		if err != nil {
			var e *tomlfile.Error
			require.True(t, errors.As(err, &e))
			require.NotContains(t, err.Error(), "\n")
			return
		}
		require.True(t, s.MinCapacity >= 0 && s.MinCapacity < 1 && s.MaxConcurrent > 0 && s.WorkSeconds > 0 && s.OverdueSeconds >= 0 && s.StartAfterSeconds >= 0 && s.EndAfterSeconds >= 0)
	})
}
