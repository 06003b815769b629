package sim

import (
	"cmp"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/world"
)

var boxNames = regexp.MustCompile(` box \d+`)

// outcomes plays a script and returns what has become of each request, a line for each thing that happened to it: which box
// ran it, what that said, and what the client was told. Lines are in the order of the requests' ids.
func outcomes(t *testing.T, s world.Script, speech world.Speech) (lines []string) {
	told := map[string][]string{}
	r, err := Play(s, Options{Speech: speech, Trace: func(_ float64, line string) {
		line, is := strings.CutPrefix(line, "  judge: ")
		line = boxNames.ReplaceAllString(line, "")
		_, rest, has := strings.Cut(line, " request ")
		if is && has && !strings.HasPrefix(line, "hostile") {
			told[rest[:16]] = append(told[rest[:16]], line)
		}
	}})
	require.NoError(t, err)
	assert.Empty(t, r.Findings, speech)
	for _, all := range told {
		lines = append(lines, strings.Join(all, "; "))
	}
	slices.SortFunc(lines, func(a, b string) int { return cmp.Compare(id(a), id(b)) })
	return lines
}

func id(line string) string {
	_, rest, _ := strings.Cut(line, " request ")
	return rest[:16]
}

// The same script has the same outcomes over HTTP, binary and compact, line by line.
func TestSpeechesAgree(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		s := world.Script{Seed: seed + 1, Sidecars: 3, LengthS: 10}
		d := s.Day(world.Usual())
		t.Log(seed+1, d.Inline)
		want := outcomes(t, s, world.HTTP)
		require.Greater(t, len(want), 500)
		for _, speech := range []world.Speech{world.ThriftBinary, world.ThriftCompact} {
			got := outcomes(t, s, speech)
			differ := 0
			for i := range min(len(want), len(got)) {
				if want[i] != got[i] {
					if differ++; differ < 2 {
						t.Logf("\n%s\n%s", want[i], got[i])
					}
				}
			}
			t.Log(speech, len(want), len(got), differ)
		}
	}
}
