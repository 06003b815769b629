package sim

import (
	"slices"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/environment"
)

// Shrink searches for a smaller script that violates the same rule: with fewer faults, sidecars and servers, fewer servers in a
// fault, or a shorter day. It plays at most budget days and calls progress for each smaller script found. A script that does
// not violate the rule is returned unchanged.
func Shrink(s environment.Script, rule checker.Rule, o Options, budget int, progress func(s *environment.Script, played int)) environment.Script {
	h := &shrinker{best: s, rule: rule, options: o, budget: budget, progress: progress}
	h.options.StopAtRule = rule
	if rule == checker.NoLeftovers { // it is checked only at the end of the day
		h.options.StopAtRule = ""
	}
	if at, ok := h.playForViolation(&s); ok {
		h.violatedAt = at
		for before := -1; h.budget > 0 && before != h.size(); {
			before = h.size()
			h.runPass()
		}
	}
	return h.best
}

// shrinker is the state of Shrink.
type shrinker struct {
	best       environment.Script
	violatedAt float64 // when best violates the rule, in seconds since the day's start
	rule       checker.Rule
	options    Options
	budget     int
	played     int
	progress   func(*environment.Script, int)
}

// networkSeedsPerScript is the number of network seeds that a smaller script is played with. Danger: leaving anything out moves
// all later instants, and a violation that needs a coincidence would seem to need everything.
const networkSeedsPerScript = 4

// playForViolation plays a script with several network seeds and returns when it violates the rule, if it does.
func (h *shrinker) playForViolation(s *environment.Script) (at float64, ok bool) {
	luck := s.NetworkSeed
	for i := range uint64(networkSeedsPerScript) {
		if h.budget <= 0 {
			return 0, false
		}
		h.budget--
		h.played++
		s.NetworkSeed = luck + i
		r, err := Play(*s, h.options)
		if err != nil {
			return 0, false // it may name a server that was left out
		}
		for _, f := range r.Violations {
			if f.Rule == h.rule {
				return r.SinceStart(f.At), true
			}
		}
	}
	return 0, false
}

// keepIfViolating makes a script the best one if it violates the rule.
func (h *shrinker) keepIfViolating(s environment.Script) bool {
	at, ok := h.playForViolation(&s)
	if ok {
		h.best, h.violatedAt = s, at
		if h.progress != nil {
			h.progress(&s, h.played)
		}
	}
	return ok
}

// size returns a measure of the best script; a pass that leaves it unchanged is the last.
func (h *shrinker) size() int {
	n := len(h.best.Faults)
	for _, t := range h.best.Faults {
		n += len(t.Servers) + len(t.Sidecars)
	}
	d := h.best.Day(h.options.Ranges())
	return n + len(d.Sidecars) + d.InitialServers + int(d.LengthSeconds)
}

// runPass tries each kind of reduction once.
func (h *shrinker) runPass() {
	for step := max(len(h.best.Faults)/2, 1); step > 0; step /= 2 {
		for from := 0; from < len(h.best.Faults); {
			s := cloneScript(h.best)
			s.Faults = slices.Delete(s.Faults, from, min(from+step, len(s.Faults)))
			if !h.keepIfViolating(s) {
				from += step
			}
		}
	}
	h.shortenDay()
	h.reduce(func(s *environment.Script) int { d := s.Day(h.options.Ranges()); return len(d.Sidecars) },
		func(s *environment.Script, n int) { s.Sidecars = n })
	h.reduce(func(s *environment.Script) int { d := s.Day(h.options.Ranges()); return d.InitialServers },
		func(s *environment.Script, n int) { s.Servers = n })
	for i := range h.best.Faults {
		for k := 0; k < len(h.best.Faults[i].Servers) && len(h.best.Faults[i].Servers) > 1; {
			s := cloneScript(h.best)
			s.Faults[i].Servers = slices.Delete(s.Faults[i].Servers, k, k+1)
			if !h.keepIfViolating(s) {
				k++
			}
		}
	}
}

// shortenDay ends the day soon after the violation.
func (h *shrinker) shortenDay() {
	d := h.best.Day(h.options.Ranges())
	for _, more := range []float64{0.5, 2, 5} {
		if length := float64(int(h.violatedAt + more + 1)); length < d.LengthSeconds {
			s := cloneScript(h.best)
			s.LengthSeconds = length
			if h.keepIfViolating(s) {
				return
			}
		}
	}
}

// reduce tries smaller and smaller values of a number.
func (h *shrinker) reduce(count func(*environment.Script) int, set func(*environment.Script, int)) {
	for n := count(&h.best); n > 1; {
		s := cloneScript(h.best)
		smaller := n / 2
		if set(&s, smaller); h.keepIfViolating(s) {
			n = smaller
			continue
		}
		s = cloneScript(h.best)
		if set(&s, n-1); !h.keepIfViolating(s) {
			return
		}
		n--
	}
}

// cloneScript returns a deep copy.
func cloneScript(s environment.Script) environment.Script {
	s.Faults = slices.Clone(s.Faults)
	for i := range s.Faults {
		s.Faults[i].Servers = slices.Clone(s.Faults[i].Servers)
	}
	return s
}
