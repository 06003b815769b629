package checker

import "math"

// span is a time between two.
type interval struct{ from, until float64 } // +Inf: it goes on

// endSpan ends the last of some times, if it goes on.
func closeLastInterval(all []interval, at float64) {
	if n := len(all); n > 0 && math.IsInf(all[n-1].until, 1) {
		all[n-1].until = at
	}
}
