package sim

import (
	"slices"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/environment"
)

// Shrink looks for a smaller script that breaks the same rule: without some of the troubles, sidecars and boxes, with
// fewer boxes in a trouble, shorter, and over sooner. It plays at most budget days, and tells progress of each that
// came out smaller. A script that does not break the rule is returned as it is.
func Shrink(s environment.Script, rule checker.Rule, o Options, budget int, progress func(s *environment.Script, played int)) environment.Script {
	h := &shrinker{best: s, rule: rule, options: o, budget: budget, progress: progress}
	h.options.StopAtRule = rule
	if rule == checker.NoLeftovers { // it is seen at the day's end alone
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

type shrinker struct {
	best       environment.Script
	violatedAt float64 // when the rule breaks, since the day's start
	rule       checker.Rule
	options    Options
	budget     int
	played     int
	progress   func(*environment.Script, int)
}

// lucks is how many draws of the network a smaller script is given. Danger: whatever is left out moves all instants after
// it, and what needs two things at one instant would seem to need everything.
const networkSeedsPerScript = 4

// breaks plays a script, with one luck after another, and tells when it breaks the rule.
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
			return 0, false // what it names may have been left out
		}
		for _, f := range r.Violations {
			if f.Rule == h.rule {
				return r.SinceStart(f.At), true
			}
		}
	}
	return 0, false
}

// try takes a script for the best one where it breaks the rule still.
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

// size tells how much a script holds; a round that leaves it as it was is the last.
func (h *shrinker) size() int {
	n := len(h.best.Faults)
	for _, t := range h.best.Faults {
		n += len(t.Servers) + len(t.Sidecars)
	}
	d := h.best.Day(h.options.Ranges())
	return n + len(d.Sidecars) + d.InitialServers + int(d.LengthSeconds)
}

// round tries each kind of leaving out once.
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

// shorten ends the day soon after the rule has broken.
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

// fewer tries smaller and smaller numbers of something.
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

func cloneScript(s environment.Script) environment.Script {
	s.Faults = slices.Clone(s.Faults)
	for i := range s.Faults {
		s.Faults[i].Servers = slices.Clone(s.Faults[i].Servers)
	}
	return s
}
