package policy

import "math"

// fading is a rate of events that forgets what is long ago.
type decayingRate struct{ rate, updatedAt float64 }

// now returns the rate, a second.
func (f *decayingRate) valueAt(now, memory float64) float64 {
	return f.rate * math.Exp(-(now-f.updatedAt)/memory)
}

// add counts so many events.
func (f *decayingRate) add(now, memory, n float64) {
	f.rate, f.updatedAt = f.valueAt(now, memory)+n/memory, now
}
