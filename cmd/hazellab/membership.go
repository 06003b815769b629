package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/sim/membershipsim"
)

func membershipCommand() *cli.Command {
	return &cli.Command{
		Name:  "crowd",
		Usage: "measure the costs of the membership, and how soon a death is detected, in simulated time by the size of the fleet",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "members", Usage: "the `SIZES`", Value: []int{5, 50, 300}},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "picture", Usage: "the `FILE` for a plot of the figures by size, an SVG"},
			&cli.BoolFlag{Name: "ways", Usage: "model the alternatives, too"},
			&cli.FloatFlag{Name: "hours", Usage: "run drawn faults for `N` hours instead, and count false deaths"},
		},
		Action: measureMembership,
	}
}

// maxSimulatedMembers limits the size of a simulated fleet.
const maxSimulatedMembers = 6000

// measureMembership prints the costs of the membership by the size of the fleet, and writes the plot that --picture names; with --hours it
// counts false deaths instead.
func measureMembership(_ context.Context, c *cli.Command) error {
	var costs []membershipsim.Costs
	out, seed := c.Root().Writer, c.Uint64("seed")
	for _, n := range c.IntSlice("members") {
		if n < 2 || n > maxSimulatedMembers {
			return usageError(fmt.Errorf("members: %d is not 2 to %d", n, maxSimulatedMembers))
		}
		if hours := c.Float("hours"); hours > 0 {
			if err := countFalseDeaths(out, n, hours, seed); err != nil {
				return err
			}
			continue
		}
		cost, err := membershipsim.Measure(n, seed)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, cost)
		costs = append(costs, cost)
		if c.Bool("ways") {
			for _, alternative := range membershipsim.Alternatives(n, seed) {
				fmt.Fprintln(out, "      ", alternative)
			}
		}
	}
	if path := c.String("picture"); path != "" && len(costs) > 1 {
		return membershipsim.Plot(path, costs)
	}
	return nil
}

// countFalseDeaths runs n members under drawn faults and prints how many live members were taken for dead.
func countFalseDeaths(out io.Writer, n int, hours float64, seed uint64) error {
	result, err := membershipsim.PlayFaults(n, hours*3600, seed)
	for _, line := range result.Discrepancies {
		fmt.Fprintln(out, line)
	}
	fmt.Fprintf(out, "%d members, %.2f hours, %d troubles: %d false deaths  trace %016x\n", n, result.HoursPlayed, result.Faults, result.FalseDeaths, result.Trace)
	return err
}
