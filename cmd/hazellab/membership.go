package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/sim/membershipsim"
)

func membershipCommand() *cli.Command {
	return &cli.Command{
		Name:  "crowd",
		Usage: "measure in simulated time what knowing each other costs, and how soon a death is known, by the size of the fleet",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "members", Usage: "the `SIZES`", Value: []int{5, 50, 300}},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "picture", Usage: "the `FILE` for a picture of the figures by size, an SVG"},
			&cli.BoolFlag{Name: "ways", Usage: "model the other ways that were weighed, too"},
			&cli.FloatFlag{Name: "hours", Usage: "play drawn troubles for `N` hours in place of that, and count false deaths"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			var all []membershipsim.Costs
			for _, n := range c.IntSlice("members") {
				if n < 2 || n > 6000 {
					return usageError(fmt.Errorf("members: %d is not 2 to 6000", n))
				}
				if h := c.Float("hours"); h > 0 {
					t, err := membershipsim.PlayFaults(n, h*3600, c.Uint64("seed"))
					for _, line := range t.Discrepancies {
						fmt.Fprintln(c.Root().Writer, line)
					}
					fmt.Fprintf(c.Root().Writer, "%d members, %.2f hours, %d troubles: %d false deaths  trace %016x\n", n, t.HoursPlayed, t.Faults, t.FalseDeaths, t.Trace)
					if err != nil {
						return err
					}
					continue
				}
				f, err := membershipsim.Measure(n, c.Uint64("seed"))
				if err != nil {
					return err
				}
				fmt.Fprintln(c.Root().Writer, f)
				all = append(all, f)
				if c.Bool("ways") {
					for _, w := range membershipsim.Alternatives(n, c.Uint64("seed")) {
						fmt.Fprintln(c.Root().Writer, "      ", w)
					}
				}
			}
			if path := c.String("picture"); path != "" && len(all) > 1 {
				return membershipsim.Plot(path, all)
			}
			return nil
		},
	}
}
