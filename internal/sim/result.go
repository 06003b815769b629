package sim

import "hazelwheel/internal/checker"

// Result is the outcome of a day.
type Result struct {
	Seed              uint64              `json:"Seed"`
	Hash              uint64              `json:"Hash"`  // of the history, see virtual.Network.Hash
	Steps             uint64              `json:"Steps"` // events of the network
	Start             float64             `json:"Start"` // of the day, in seconds of Unix time
	SimulatedSeconds  float64             `json:"SimulatedS"`
	Violations        []checker.Violation `json:"Findings"`
	Report            checker.Report      `json:"Report"`
	MaxToken          uint64              `json:"Granted"` // largest fencing token that a sidecar has seen; 0: none
	ServersMaintained int                 `json:"Worked"`  // servers whose maintenance was completed
}

// SinceStart converts a time to seconds since the day's start.
func (r *Result) SinceStart(at float64) float64 { return at - r.Start }

// HasViolation reports whether the day violated a rule.
func (r *Result) HasViolation(rule checker.Rule) bool {
	for _, f := range r.Violations {
		if f.Rule == rule {
			return true
		}
	}
	return false
}
