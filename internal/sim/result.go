package sim

import "hazelwheel/internal/checker"

// Result is what came of a day.
type Result struct {
	Seed              uint64              `json:"Seed"`
	Hash              uint64              `json:"Hash"`  // of the history
	Steps             uint64              `json:"Steps"` // events
	Start             float64             `json:"Start"` // of the day, in Unix time
	SimulatedSeconds  float64             `json:"SimulatedS"`
	Violations        []checker.Violation `json:"Findings"`
	Report            checker.Report      `json:"Report"`
	MaxToken          uint64              `json:"Granted"` // the greatest token under which a sidecar was heard; 0: none was
	ServersMaintained int                 `json:"Worked"`  // boxes on which work has ended
}

// Since returns how long after the day's start a time is.
func (r *Result) SinceStart(at float64) float64 { return at - r.Start }

// Breaks tells whether the day broke a rule.
func (r *Result) HasViolation(rule checker.Rule) bool {
	for _, f := range r.Violations {
		if f.Rule == rule {
			return true
		}
	}
	return false
}
