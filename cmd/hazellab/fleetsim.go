package main

import (
	"bufio"
	"fmt"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/lab/processcluster"
	"hazelwheel/internal/sim"
)

// simulateFleet plays a fleet in simulated time: what both judges find is the sidecar's, what one finds alone may be the machine's.
func simulateFleet(c *cli.Command, s *processcluster.Settings) error {
	r := s.Ranges()
	o := sim.Options{CustomRanges: &r, FleetMode: sim.FleetOn}
	script := s.FaultScript()
	out := bufio.NewWriter(c.Root().Writer)
	defer func() { _ = out.Flush() }() // a reader that is gone can't be told
	if c.Bool("trace") {
		o.Trace = func(at float64, line string) { fmt.Fprintf(out, "%11.6f %s\n", at, line) }
	}
	got, err := sim.Play(script, o)
	if err != nil {
		return wrapScriptError(err)
	}
	for _, f := range got.Violations {
		fmt.Fprintf(out, "%7.2f s  %-12s n%-5d %s\n", got.SinceStart(f.At), f.Rule, f.Sidecar, f.Reason)
	}
	fmt.Fprintf(out, "%d troubles; %.3f of the worth served in time\n", len(script.Faults), got.Report.Service)
	fmt.Fprintf(out, "fleet: %d sidecars, %d rules broken\n", s.Sidecars, len(got.Violations))
	if len(got.Violations) > 0 {
		return errRulesBroken
	}
	return nil
}
