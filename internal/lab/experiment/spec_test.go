package experiment

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const sound = `name = "x"
repeats = 2
[[balancer]]
name = "a"
kind = "roundrobin"
[[balancer]]
name = "b"
kind = "hazelwheel"
[[size]]
name = "s"
boxes = 3
delay = "5ms"
[[load]]
name = "l"
for = "2s"
rate = 100
links = 4
[[trouble]]
name = "none"
[[trouble]]
name = "t"
events = [
  {kind = "hang", at = "500ms", for = "1s", boxes = [0, 2]},
  {kind = "kill", at = "500ms", for = "1s"},
]
`

// Balancers take turns, and those of one repeat are asked the same.
func TestPlan(t *testing.T) {
	s, err := Read("x.toml", []byte(sound))
	require.NoError(t, err)
	var order []string
	for i, r := range s.Plan() {
		assert.Equal(t, i+1, r.Number)
		assert.Equal(t, s.Seed+uint64(r.Repeat-1), r.Seed)
		order = append(order, r.Trouble+" "+r.Balancer)
	}
	assert.Equal(t, "none a, none b, none a, none b, t a, t b, t a, t b", strings.Join(order, ", "))
	assert.InDelta(t, 8*2.5, s.Takes().Seconds(), 0.01)
}

// Whatever is wrong is told in one line, with the place.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`boxes = 3`, `boxs = 3`, `x.toml:11:1: size.boxs: no such field`},
		{`boxes = 3`, `boxes = "three"`, `x.toml:11:9: size.boxes: `},
		{`boxes = 3`, `boxes = 0`, `x.toml:11:1: size[0].boxes: not 1 to 4000`},
		{`"5ms"`, `"5 lightyears"`, `x.toml:12:1: size[0].delay: "5 lightyears" is not a time`},
		{`"5ms"`, `"-5ms"`, `x.toml:12:1: size[0].delay: -5ms is not 0s to 1m0s`},
		{`rate = 100`, `rate = -100`, `x.toml:16:1: load[0].rate: not 0`},
		{`rate = 100`, `stages = [{from = 1, to = 2, for = "1s"}, {from = -1, to = 2, for = "1s"}]`, `x.toml:16:44: load[0].stages[1].from: below 0`},
		{`rate = 100`, `classes = [{name = "lunch", share = 1}]`, `x.toml:16:13: load[0].classes[0].name: "lunch" is no class`},
		{`links = 4`, ``, `x.toml:13:3: load[0].links: not 1 to 20000`},
		{`"b"`, `"a"`, `x.toml:7:1: balancer[1].name: missing, or there before`},
		{`"roundrobin"`, `"best"`, `x.toml:5:1: balancer[0].kind: "best" is neither`},
		{`"hang"`, `"plague"`, `x.toml:23:4: trouble[1].events[0].kind: "plague" is none`},
		{`[0, 2]`, `[0, 3]`, `x.toml:23:45: trouble[1].events[0].boxes: size s has no box 3`},
		{`at = "500ms", for = "1s", boxes`, `at = "1500ms", for = "1s", boxes`, `x.toml:23:19: trouble[1].events[0].at: its end is behind`},
		{`kind = "kill",`, `kind = "kill", boxes = [1],`, `x.toml:24:19: trouble[1].events[1].boxes: boxes' troubles alone`},
		{`repeats = 2`, `repeats = 0`, `x.toml:2:1: repeats: not 1`},
		{`repeats = 2`, `repeats = 2 2`, `x.toml:2:`},
		{`repeats = 2`, "repeats = 2\nstep = '0.1ms'", `x.toml:3:1: step: 100µs is not 1ms to`},
	} {
		require.Contains(t, sound, c.old)
		_, err := Read("x.toml", []byte(strings.Replace(sound, c.old, c.new, 1)))
		require.Error(t, err, c.new)
		assert.NotContains(t, err.Error(), "\n")
		assert.Equal(t, c.want, err.Error()[:min(len(c.want), len(err.Error()))], c.new)
	}
}
