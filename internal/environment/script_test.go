package environment

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hazelwheel/internal/tomlfile"
)

// A drawn script is the same when formatted and read, and when drawn a second time.
func TestScriptSurvivesFormatAndRead(t *testing.T) {
	r := StandardRanges()
	drawn := map[FaultKind]bool{}
	for seed := range uint64(400) {
		d := Draw(seed, r)
		s := DrawScript(&d)
		DrawPeerFaults(&d, &s)
		text, err := s.Format()
		require.NoError(t, err)
		back, err := ReadScript("drawn.toml", text, r)
		require.NoError(t, err, "%s", text)
		require.Equal(t, s, *back)
		again := Draw(seed, r)
		require.Equal(t, d, again)
		drawnAgain := DrawScript(&again)
		DrawPeerFaults(&again, &drawnAgain)
		require.Equal(t, s, drawnAgain)
		for _, fault := range s.Faults {
			drawn[fault.Kind] = true
		}
	}
	assert.Len(t, drawn, len(FaultKinds()), "some kind is never drawn")
}

// The error of an invalid script is one line with the file, the line, the column and the field.
func TestInvalidScriptsNameTheLineAndField(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"seed = 1\nsede = 2\n", "x.toml:2:1: sede: no such field"},
		{"seed = -1\n", "x.toml:1:8: seed: "},
		{"seed = \"one\"\n", "x.toml:1:8: seed: "},
		{"seed = 1\nlength_s = -4.0\n", "x.toml:2:1: length_s: not between"},
		{"seed = 1\nsidecars = 90\n", "x.toml:2:1: sidecars: not between"},
		{"[[trouble]]\nkind = \"hang\"\nat_s = 5.0\nfor_s = 2.0\nbxes = [\"s-1\"]\n", "x.toml:5:1: trouble.bxes: no such field"},
		{"[[trouble]]\nkind = \"hung\"\nat_s = 5.0\n", "x.toml:2:1: kind: \"hung\" is none of hang, "},
		{"seed = 1\n\n[[trouble]]\nkind = \"hang\"\nat_s = 5.0\n", "x.toml:3:3: for_s: missing; hang needs it"},
		{"[[trouble]]\nkind = \"reload\"\nat_s = 5.0\nfor_s = 1.0\n", "x.toml:4:1: for_s: reload has no such field"},
		{"[[trouble]]\nkind = \"reload\"\nat_s = nan\n", "x.toml:3:1: at_s: not between"},
		{"[[trouble]]\nkind = \"resets\"\nat_s = 5.0\nfor_s = 1.0\nboxes = []\nper_s = 2.0\n", "x.toml:5:1: boxes: empty"},
		{"[[trouble]]\nkind = \"hang\"\nat_s = 5.0\nfor_s = 1.0\nboxes = [\"s-none\"]\n", "x.toml:5:1: boxes: the day has no box \"s-none\""},
		{"[[trouble]]\nkind = \"sidecar-kill\"\nat_s = 5.0\nfor_s = 1.0\nsidecars = [9]\n", "x.toml:5:1: sidecars: the day has sidecars 0 to "},
		{"[[trouble]]\nkind = \"site-loss\"\nat_s = 5.0\nfor_s = 1.0\nsite = \"moon\"\n", "x.toml:5:1: site: the day's sites are "},
		{"trouble = [{kind = \"reload\", at_s = -1.0}]\n", "x.toml:1:30: at_s: not between"},
		{"[[trouble]\n", "x.toml:1:"},
		{"[[trouble]]\nkind = \"peer-slow\"\nat_s = 5.0\nfor_s = 1.0\nfrom = [0]\n", "x.toml:1:3: per_s: missing; peer-slow needs it"},
		{"[[trouble]]\nkind = \"peer-slow\"\nat_s = 5.0\nfor_s = 1.0\nfrom = [0]\nper_s = 2e6\n", "x.toml:6:1: per_s: not between 0 and 1e+06"},
		{"[[trouble]]\nkind = \"disk-full\"\nat_s = 5.0\nfor_s = 1.0\nsidecars = [0]\nstate = \"lost\"\n", "x.toml:6:1: state: disk-full has no such field"},
		{"[[trouble]]\nkind = \"silent-watch\"\nat_s = 5.0\nfor_s = 1.0\n", "x.toml:4:1: for_s: silent-watch has no such field"},
		{"[[trouble]]\nkind = \"clients-leave\"\nat_s = 5.0\nfor_s = 1.0\nsidecars = [0]\n", "x.toml:1:3: share: missing; clients-leave needs it"},
		{"[[trouble]]\nkind = \"clock\"\nat_s = 5.0\nfor_s = 1.0\nsidecars = [0]\nrate = 1.06\n", "x.toml:6:1: rate: not between 0.95 and 1.05"},
		{"[[trouble]]\nkind = \"grow\"\nat_s = 5.0\nby = 0\n", "x.toml:4:1: by: empty"},
		{"[[trouble]]\nkind = \"grow\"\nat_s = 5.0\nby = 9\n", "x.toml:4:1: by: the day has "},
		{"[[trouble]]\nkind = \"shrink\"\nat_s = 5.0\nby = -1\n", "x.toml:4:1: by: empty"},
		{"[[trouble]]\nkind = \"shrink\"\nat_s = 5.0\nby = 1\nboxes = [\"s-1\"]\n", "x.toml:5:1: boxes: shrink has no such field"},
	} {
		_, err := ReadScript("x.toml", []byte(c.text), StandardRanges())
		require.Error(t, err, c.text)
		assert.True(t, strings.HasPrefix(err.Error(), c.want), "%q, want %q", err, c.want)
		assert.NotContains(t, err.Error(), "\n")
	}
}

// ReadRealScript rejects the faults that are injected in simulated time alone, and no others.
func TestRealScriptRejectsSimulatedFaults(t *testing.T) {
	d := Draw(1, StandardRanges())
	server := d.Servers[0].Name
	text := "seed = 1\n\n[[trouble]]\nkind = \"shrink\"\nat_s = 5.0\nby = 1\n"
	s, err := ReadRealScript("x.toml", []byte(text), StandardRanges())
	require.NoError(t, err)
	assert.Equal(t, Fault{Kind: ScaleIn, AtSeconds: 5, SidecarCount: 1}, s.Faults[0])
	text += "\n[[trouble]]\nkind = \"clock\"\nat_s = 5.0\nfor_s = 9.0\nsidecars = [0]\nrate = 0.97\n"
	_, err = ReadRealScript("x.toml", []byte(text), StandardRanges())
	assert.EqualError(t, err, "x.toml:9:1: kind: clock is played in simulated time alone: real processes share the machine's clock")
	_, err = ReadScript("x.toml", []byte(text), StandardRanges())
	assert.NoError(t, err)
	text = "seed = 1\n\n[[trouble]]\nkind = \"late-connect\"\nat_s = 5.0\nfor_s = 1.0\nboxes = [\"" + server + "\"]\nshare = 0.5\nlag_s = 1.0\n"
	_, err = ReadScript("x.toml", []byte(text), StandardRanges())
	require.NoError(t, err)
	_, err = ReadRealScript("x.toml", []byte(text), StandardRanges())
	assert.EqualError(t, err, "x.toml:4:1: kind: late-connect is played in simulated time alone: the machine's connections to itself come up at once")
}

// Any text is read as a script that is the same when formatted and read again, or gives an error of one line.
func FuzzReadScript(f *testing.F) {
	for seed := range uint64(4) {
		d := Draw(seed, StandardRanges())
		s := DrawScript(&d)
		text, err := s.Format()
		require.NoError(f, err)
		f.Add(text)
	}
	f.Add([]byte("seed = 7\ntrouble = []\n"))
	f.Add([]byte("trouble = [{kind = 'reload', at_s = 1.0}]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := ReadScript("f.toml", text, StandardRanges())
		if err != nil {
			var e *tomlfile.Error
			require.True(t, errors.As(err, &e))
			require.Positive(t, e.Line)
			require.NotContains(t, err.Error(), "\n")
			return
		}
		again, err := s.Format()
		require.NoError(t, err)
		back, err := ReadScript("f.toml", again, StandardRanges())
		require.NoError(t, err, "%s", again)
		require.Equal(t, s, back)
	})
}

// Values are popped by time, and those of one time in the order in which they were added.
func TestScheduleOrdersByTimeAndInsertion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a schedule[int]
		times := rapid.SliceOf(rapid.IntRange(0, 5)).Draw(t, "times")
		for i, at := range times {
			a.add(float64(at), i)
		}
		lastAt, lastIndex := -1.0, -1
		for range times {
			next := a.nextAt()
			_, _, early := a.pop(next - 0.5)
			require.False(t, early)
			i, at, ok := a.pop(next)
			require.True(t, ok)
			require.Equal(t, float64(times[i]), at)
			require.True(t, at > lastAt || at == lastAt && i > lastIndex)
			lastAt, lastIndex = at, i
		}
		require.Empty(t, a.heap)
	})
}
