package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var threeClasses = []Class{{PriorityWeight: 1, LatencyTargetSeconds: 0.6}, {PriorityWeight: 10, LatencyTargetSeconds: 1}, {PriorityWeight: 5, LatencyTargetSeconds: 1}}

// The class with the highest weight is dequeued first. Each request is dequeued exactly once, within a class in order of arrival,
// and is shed if and only if it has waited too long.
func TestQueueOrderAndShedding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[int](threeClasses)
		now, put, out := 0.0, 0, map[int]bool{}
		var waiting [3][]QueuedRequest[int]
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Float64Range(0, 0.1).Draw(t, "dt")
			if rapid.IntRange(0, 2).Draw(t, "do") > 0 {
				w := QueuedRequest[int]{Request: put, Class: rapid.IntRange(0, 2).Draw(t, "class"), ArrivedAt: now}
				put++
				q.Enqueue(w)
				waiting[w.Class] = append(waiting[w.Class], w)
				continue
			}
			w, shed, ok := q.Dequeue(now)
			if !ok {
				assert.Zero(t, q.Len())
				continue
			}
			assert.False(t, out[w.Request])
			out[w.Request] = true
			assert.Equal(t, waiting[w.Class][0], w)
			waiting[w.Class] = waiting[w.Class][1:]
			late := now-w.ArrivedAt > maxWaitFraction*threeClasses[w.Class].LatencyTargetSeconds
			assert.Equal(t, late, shed)
			for c, queued := range waiting {
				for _, x := range queued {
					assert.False(t, !shed && now-x.ArrivedAt > maxWaitFraction*threeClasses[c].LatencyTargetSeconds, "requests to be shed go first")
					assert.False(t, !shed && threeClasses[c].PriorityWeight > threeClasses[w.Class].PriorityWeight, "requests of classes with higher weights go first")
				}
			}
		}
		assert.Equal(t, put-len(out), q.Len())
	})
}
