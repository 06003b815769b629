package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var threeClasses = []Class{{Worth: 1, AimS: 0.6}, {Worth: 10, AimS: 1}, {Worth: 5, AimS: 1}}

// The worthiest is taken up first and the least worthy waits until it is shed; each goes once, in the order in which its
// class came, and none is shed in time or kept too long.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[int](threeClasses)
		now, put, out := 0.0, 0, map[int]bool{}
		var waiting [3][]Waiting[int]
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Float64Range(0, 0.1).Draw(t, "dt")
			if rapid.IntRange(0, 2).Draw(t, "do") > 0 {
				w := Waiting[int]{Of: put, Class: rapid.IntRange(0, 2).Draw(t, "class"), Arrived: now}
				put++
				q.Put(w)
				waiting[w.Class] = append(waiting[w.Class], w)
				continue
			}
			w, shed, ok := q.Next(now)
			if !ok {
				assert.Zero(t, q.Len())
				continue
			}
			assert.False(t, out[w.Of])
			out[w.Of] = true
			assert.Equal(t, waiting[w.Class][0], w)
			waiting[w.Class] = waiting[w.Class][1:]
			late := now-w.Arrived > shedPart*threeClasses[w.Class].AimS
			assert.Equal(t, late, shed)
			for c, line := range waiting {
				for _, x := range line {
					assert.False(t, !shed && now-x.Arrived > shedPart*threeClasses[c].AimS, "what is to be shed goes first")
					assert.False(t, !shed && threeClasses[c].Worth > threeClasses[w.Class].Worth, "a worthier one waits")
				}
			}
		}
		assert.Equal(t, put-len(out), q.Len())
	})
}
