package sidecar

import (
	"testing"

	"pgregory.net/rapid"
)

// For any sequence of setting and stopping timers, each timer that is not stopped fires once, in order of time, and neither early nor late;
// the alarm is never later than the earliest timer.
func TestTimersFireInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, alarm := 1.7e9+rapid.Float64Range(0, 10).Draw(t, "start"), 0.0
		set := timers{setAlarm: func(at float64) { alarm = at }, currentSlot: int64(1.7e9 / slotSeconds)}
		waiting := map[*timer]bool{}
		earliest := func() (at float64) {
			for n := range waiting {
				if at == 0 || n.dueAt < at {
					at = n.dueAt
				}
			}
			return at
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0, 1:
				wait := rapid.SampledFrom([]float64{-0.1, 0, 0.001, 0.004, 0.1, 2, 3.99, 4, 4.01, 30, 5000}).Draw(t, "wait")
				waiting[set.schedule(now+wait*rapid.Float64Range(0.5, 1.5).Draw(t, "part"), func() {})] = true
			case 2:
				if len(waiting) > 0 {
					at := earliest()
					for n := range waiting {
						if n.dueAt == at {
							set.stop(n)
							set.stop(n)
							delete(waiting, n)
						}
					}
				}
			case 3:
				now += rapid.SampledFrom([]float64{0.0001, 0.003, 0.05, 1, 3.9, 4, 9, 1000}).Draw(t, "pass")
				last := 0.0
				for set.isDue(now) {
					n := set.pop()
					if !waiting[n] || n.dueAt > now || n.dueAt < last || n.dueAt != earliest() {
						t.Fatalf("a timer for %v fires at %v, after one for %v; the earliest is for %v", n.dueAt, now, last, earliest())
					}
					last = n.dueAt
					delete(waiting, n)
				}
				set.alarmAt = 0 // as the loop does after the alarm
				set.arm()
			}
			if at := earliest(); at != 0 && (alarm > at || set.alarmAt > at) {
				t.Fatalf("the alarm is set to %v, but the earliest timer is due at %v", alarm, at)
			}
			if at := earliest(); at != 0 && at <= now && now-at > 0.2 && !set.isDue(now) {
				t.Fatalf("a timer for %v is not due at %v", at, now)
			}
			if set.count != len(waiting) {
				t.Fatalf("%d timers are counted, but %d are set", set.count, len(waiting))
			}
		}
	})
}
