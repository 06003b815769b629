package policy

import "math"

// decayingRate is a rate of events with exponential decay.
type decayingRate struct{ rate, updatedAt float64 }

// valueAt returns the rate per second at the given time.
func (r *decayingRate) valueAt(now, decaySeconds float64) float64 {
	return r.rate * math.Exp(-(now-r.updatedAt)/decaySeconds)
}

// add counts events at the given time.
func (r *decayingRate) add(now, decaySeconds, events float64) {
	r.rate = r.valueAt(now, decaySeconds) + events/decaySeconds
	r.updatedAt = now
}
