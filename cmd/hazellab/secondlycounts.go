package main

import (
	"fmt"
	"io"

	"hazelwheel/internal/checker"
)

// secondlyCounts counts by second what boxes and discovery are asked.
type secondlyCounts struct {
	boxes map[int32]bool // that were probed; counted, never walked
	all   []struct{ at, probes, calls, links, executions int }
}

// See counts an event.
func (b *secondlyCounts) Observe(e checker.Event) {
	at := int(e.At)
	if n := len(b.all); n == 0 || b.all[n-1].at < at {
		b.all = append(b.all, struct{ at, probes, calls, links, executions int }{at: at})
	}
	now := &b.all[len(b.all)-1]
	switch e.Kind {
	case checker.HealthCheckReceived:
		if b.boxes == nil {
			b.boxes = map[int32]bool{}
		}
		b.boxes[e.Server] = true
		now.probes++
	case checker.DiscoveryCalled:
		now.calls++
	case checker.ConnectionOpened:
		now.links++
	case checker.AttemptReceived:
		now.executions++
	}
}

func (b *secondlyCounts) print(w io.Writer, start float64) {
	fmt.Fprintln(w, "second  probes of a box  calls for the list  links opened  executions")
	for _, s := range b.all {
		fmt.Fprintf(w, "%6d  %15.2f  %18d  %12d  %10d\n", s.at-int(start), float64(s.probes)/float64(max(len(b.boxes), 1)), s.calls, s.links, s.executions)
	}
}
