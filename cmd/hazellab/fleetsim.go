package main

import (
	"bufio"
	"fmt"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/lab/processcluster"
	"hazelwheel/internal/sim"
)

// simulateFleet runs the fleet and its faults in simulated time. A violation that the run of processes has as well is the sidecar's; one that
// only the processes have may be due to the machine.
func simulateFleet(c *cli.Command, s *processcluster.Settings) error {
	ranges := s.Ranges()
	options := sim.Options{CustomRanges: &ranges, FleetMode: sim.FleetOn}
	script := s.FaultScript()
	out := bufio.NewWriter(c.Root().Writer)
	defer func() { _ = out.Flush() }() // nothing can be done for a reader that has closed the pipe
	if c.Bool("trace") {
		options.Trace = traceTo(out)
	}
	result, err := sim.Play(script, options)
	if err != nil {
		return wrapScriptError(err)
	}
	for _, v := range result.Violations {
		fmt.Fprintf(out, "%7.2f s  %-12s n%-5d %s\n", result.SinceStart(v.At), v.Rule, v.Sidecar, v.Reason)
	}
	fmt.Fprintf(out, "%d troubles; %.3f of the worth served in time\n", len(script.Faults), result.Report.Service)
	fmt.Fprintf(out, "fleet: %d sidecars, %d rules broken\n", s.Sidecars, len(result.Violations))
	if len(result.Violations) > 0 {
		return errRulesBroken
	}
	return nil
}
