package main

import (
	"fmt"
	"io"

	"hazelwheel/internal/checker"
)

// secondlyCounts counts the load of the servers and of discovery by second of the simulated time.
type secondlyCounts struct {
	servers map[int32]bool // that received a health check; only counted, as the order of a map is random
	seconds []secondCounts // ascending; seconds without events are left out
}

type secondCounts struct {
	at                                                  int // seconds of simulated time
	healthChecks, discoveryCalls, connections, attempts int
}

// Observe counts an event. Events come in the order of their times.
func (c *secondlyCounts) Observe(e checker.Event) {
	at := int(e.At)
	if n := len(c.seconds); n == 0 || c.seconds[n-1].at < at {
		c.seconds = append(c.seconds, secondCounts{at: at})
	}
	current := &c.seconds[len(c.seconds)-1]
	switch e.Kind {
	case checker.HealthCheckReceived:
		if c.servers == nil {
			c.servers = map[int32]bool{}
		}
		c.servers[e.Server] = true
		current.healthChecks++
	case checker.DiscoveryCalled:
		current.discoveryCalls++
	case checker.ConnectionOpened:
		current.connections++
	case checker.AttemptReceived:
		current.attempts++
	}
}

// print writes a line for each second, counted from the start of the day, with the health checks as a mean over the servers.
func (c *secondlyCounts) print(w io.Writer, start float64) {
	fmt.Fprintln(w, "second  probes of a box  calls for the list  links opened  executions")
	for _, s := range c.seconds {
		fmt.Fprintf(w, "%6d  %15.2f  %18d  %12d  %10d\n", s.at-int(start), float64(s.healthChecks)/float64(max(len(c.servers), 1)), s.discoveryCalls,
			s.connections, s.attempts)
	}
}
