package soak

import "fmt"

// Result is the report of one run. The keys of its JSON are read by scripts and stay as they are.
type Result struct {
	Seed            uint64         `json:"Seed"`
	Processes       int            `json:"Processes"`
	Seconds         float64        `json:"Seconds"`
	Requests        int64          `json:"Requests"`
	Outcomes        map[string]int `json:"Outcomes"`  // requests by the label of their outcome
	LastVersion     uint64         `json:"Versions"`  // of the configuration at the end
	AddedRoutes     int64          `json:"Added"`     // one with each change
	ScenarioCounts  map[string]int `json:"Series"`    // scenarios run, by name
	KillAllCount    int64          `json:"AllKilled"` // how often all processes were killed at once
	ReplacedServers int            `json:"Renewed"`   // servers replaced by another instance at the same address
	ResumedFeeds    int            `json:"Resumed"`   // feeds that a further attempt resumed
	HungUpEarly     int            `json:"HungUp"`    // processes that SIGHUP terminated before their own code can have run
	// The longest time from sending a change to its confirmation, and from the restart of a control machine to its first vote.
	SlowestChangeSeconds float64           `json:"SlowestChange"`
	SlowestVoteSeconds   float64           `json:"SlowestVote"`
	Violations           map[Rule][]string `json:"Broken"`
}

// String returns a summary in one line, followed by a line for each reported violation.
func (r *Result) String() string {
	scenarios := 0
	for _, count := range r.ScenarioCounts {
		scenarios += count
	}
	out := fmt.Sprintf("seed %d: %d processes, %.0f s, %d requests %v, %d changes (slowest %.1f s), %d series, all killed %d times, "+
		"%d servers replaced, %d feeds resumed, %d ended by a signal before they began, slowest vote %.1f s, %d rules broken\n",
		r.Seed, r.Processes, r.Seconds, r.Requests, r.Outcomes, r.AddedRoutes, r.SlowestChangeSeconds, scenarios, r.KillAllCount,
		r.ReplacedServers, r.ResumedFeeds, r.HungUpEarly, r.SlowestVoteSeconds, len(r.Violations))
	for rule, details := range r.Violations {
		for _, detail := range details {
			out += fmt.Sprintf("  %s: %s\n", rule, detail)
		}
	}
	return out
}
