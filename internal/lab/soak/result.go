package soak

import "fmt"

// Result says what was played and what came of it.
type Result struct {
	Seed            uint64         `json:"Seed"`
	Processes       int            `json:"Processes"`
	Seconds         float64        `json:"Seconds"`
	Requests        int64          `json:"Requests"`
	Outcomes        map[string]int `json:"Outcomes"` // requests by what clients saw
	LastVersion     uint64         `json:"Versions"` // of the configuration, in the end
	AddedRoutes     int64          `json:"Added"`    // routes, one a change
	ScenarioCounts  map[string]int `json:"Series"`   // by name
	KillAllCount    int64          `json:"AllKilled"`
	ReplacedServers int            `json:"Renewed"` // servers that were replaced by another instance at their address
	ResumedFeeds    int            `json:"Resumed"` // feeds that another attempt went on with
	HungUpEarly     int            `json:"HungUp"`  // processes that SIGHUP ended before they can have begun
	// The slowest change until it was confirmed, and the slowest control machine until it voted again, in seconds.
	SlowestChangeSeconds float64           `json:"SlowestChange"`
	SlowestVoteSeconds   float64           `json:"SlowestVote"`
	Violations           map[Rule][]string `json:"Broken"`
}

// String sums a result up in a line, with a line for each broken rule.
func (r *Result) String() string {
	scenarios := 0
	for _, count := range r.ScenarioCounts {
		scenarios += count
	}
	out := fmt.Sprintf("seed %d: %d processes, %.0f s, %d requests %v, %d changes (slowest %.1f s), %d series, all killed %d times, %d servers replaced, %d feeds resumed, %d hung up before they began, slowest vote %.1f s, %d rules broken\n",
		r.Seed, r.Processes, r.Seconds, r.Requests, r.Outcomes, r.AddedRoutes, r.SlowestChangeSeconds, scenarios, r.KillAllCount, r.ReplacedServers, r.ResumedFeeds, r.HungUpEarly, r.SlowestVoteSeconds, len(r.Violations))
	for rule, details := range r.Violations {
		for _, detail := range details {
			out += fmt.Sprintf("  %s: %s\n", rule, detail)
		}
	}
	return out
}
