package checker

import "math"

// interval is the time between two times; until is +Inf while it lasts.
type interval struct{ from, until float64 }

// closeLastInterval ends the last interval, if it lasts.
func closeLastInterval(all []interval, at float64) {
	if n := len(all); n > 0 && math.IsInf(all[n-1].until, 1) {
		all[n-1].until = at
	}
}
