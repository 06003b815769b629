package sidecar

import (
	"testing"

	"pgregory.net/rapid"
)

// Whatever is set and stopped, each call that is not stopped comes once, in the order of the times, not early, and as soon
// as it is due; the alarm is never set later than the first.
func TestTimers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, alarm := 1.7e9+rapid.Float64Range(0, 10).Draw(t, "start"), 0.0
		w := timers{alarm: func(at float64) { alarm = at }, tick: int64(1.7e9 / slotS)}
		waiting := map[*timer]bool{}
		earliest := func() (at float64) {
			for n := range waiting {
				if at == 0 || n.at < at {
					at = n.at
				}
			}
			return at
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0, 1:
				wait := rapid.SampledFrom([]float64{-0.1, 0, 0.001, 0.004, 0.1, 2, 3.99, 4, 4.01, 30, 5000}).Draw(t, "wait")
				waiting[w.at(now+wait*rapid.Float64Range(0.5, 1.5).Draw(t, "part"), func() {})] = true
			case 2:
				if len(waiting) > 0 {
					at := earliest()
					for n := range waiting {
						if n.at == at {
							w.stop(n)
							w.stop(n)
							delete(waiting, n)
						}
					}
				}
			case 3:
				now += rapid.SampledFrom([]float64{0.0001, 0.003, 0.05, 1, 3.9, 4, 9, 1000}).Draw(t, "pass")
				last := 0.0
				for w.due(now) {
					n := w.pop()
					if !waiting[n] || n.at > now || n.at < last || n.at != earliest() {
						t.Fatalf("a call of %v comes at %v, after %v; the first is %v", n.at, now, last, earliest())
					}
					last = n.at
					delete(waiting, n)
				}
				w.armed = 0 // as the loop does when the alarm has gone off
				w.arm()
			}
			if at := earliest(); at != 0 && (alarm > at || w.armed > at) {
				t.Fatalf("the alarm is set to %v, and the first call is due at %v", alarm, at)
			}
			if at := earliest(); at != 0 && at <= now && now-at > 0.2 && !w.due(now) {
				t.Fatalf("a call of %v is not due at %v", at, now)
			}
			if w.n != len(waiting) {
				t.Fatalf("%d calls are counted, %d wait", w.n, len(waiting))
			}
		}
	})
}
