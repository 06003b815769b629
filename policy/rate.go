package policy

import "math"

// fading is a rate of events that forgets what is long ago.
type fading struct{ rate, at float64 }

// now returns the rate, a second.
func (f *fading) now(now, memory float64) float64 { return f.rate * math.Exp(-(now-f.at)/memory) }

// add counts so many events.
func (f *fading) add(now, memory, n float64) { f.rate, f.at = f.now(now, memory)+n/memory, now }
