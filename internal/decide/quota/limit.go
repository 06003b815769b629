package quota

import (
	"fmt"
	"strconv"
)

// Measure is the quantity that a limit counts.
type Measure uint8

// The measures.
const (
	Requests Measure = iota
	Bytes            // of requests and responses
	Work             // seconds of a server's time
	Open             // requests in flight
	measureCount
)

var measureNames = [measureCount]string{"requests", "bytes", "work", "open"}

// String returns the name that configuration files use. The fingerprint of stored states depends on it.
func (m Measure) String() string { return measureNames[m] }

// ParseMeasure returns the measure with a name.
func ParseMeasure(name string) (Measure, bool) {
	for m, n := range measureNames {
		if n == name {
			return Measure(m), true
		}
	}
	return 0, false
}

// Limit is the quota of the root, which is the whole fleet, for a measure. It must not get a String method: the fingerprint of
// stored states depends on how it prints.
type Limit struct {
	Measure       Measure
	WindowSeconds float64 // 0 for Open, which has no window
	Quota         float64 // per window; for Open, the number of requests in flight
}

// Name returns the name that files and reports use: "requests/10", or "open".
func (l Limit) Name() string {
	if l.Measure == Open {
		return "open"
	}
	return l.Measure.String() + "/" + strconv.FormatFloat(l.WindowSeconds, 'g', -1, 64)
}

// checkLimits returns an error for the first invalid limit, which names its field.
func checkLimits(limits []Limit) error {
	if len(limits) == 0 || len(limits) > MaxLimits {
		return fmt.Errorf("limits: %d, want 1 to %d", len(limits), MaxLimits)
	}
	seen := map[string]bool{}
	for i, l := range limits {
		at := fmt.Sprintf("limits[%d]", i)
		switch {
		case l.Measure >= measureCount:
			return fmt.Errorf("%s.measure: want requests, bytes, work or open", at)
		case l.Measure == Open && l.WindowSeconds != 0:
			return fmt.Errorf("%s.window_s: open requests have no window", at)
		case l.Measure != Open && !(l.WindowSeconds >= 0.1 && l.WindowSeconds <= 31*86400):
			return fmt.Errorf("%s.window_s: want seconds, 0.1 to 2678400", at)
		case !(l.Quota > 0 && l.Quota <= 1e15):
			return fmt.Errorf("%s.quota: want more than 0, at most 1e15", at)
		case seen[l.Name()]:
			return fmt.Errorf("%s: %s is given twice", at, l.Name())
		}
		seen[l.Name()] = true
	}
	return nil
}
