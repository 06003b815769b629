package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/sim/subsetsim"
)

func subsetCommand() *cli.Command {
	return &cli.Command{
		Name:  "share",
		Usage: "weigh the ways in which sidecars choose the boxes that they hold: how evenly they add up, and how much moves",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "sidecars", Usage: "the `SIZES` of the fleet", Value: []int{5, 60, 300, 1000, 5000}},
			&cli.IntSliceFlag{Name: "boxes", Usage: "the `SIZES` of the host group", Value: []int{13, 200, 1000}},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "picture", Usage: "the `FILE` for a picture, an SVG: the busiest box by way and size"},
			&cli.BoolFlag{Name: "json", Usage: "print the figures as JSON, one object a line"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			var all []subsetsim.Result
			out := c.Root().Writer
			if !c.Bool("json") {
				fmt.Fprintln(out, subsetsim.TableHeader)
			}
			for _, n := range c.IntSlice("sidecars") {
				for _, m := range c.IntSlice("boxes") {
					switch {
					case n < 2 || n > 10_000:
						return usageError(fmt.Errorf("sidecars: %d is not 2 to 10000", n))
					case m < 2 || m > 2000:
						return usageError(fmt.Errorf("boxes: %d is not 2 to 2000", m))
					}
					for _, unequal := range []bool{false, true} {
						for _, w := range subsetsim.Strategies() {
							if !w.IsFeasible(n, m) {
								continue
							}
							f := subsetsim.Measure(w, n, m, unequal, c.Uint64("seed"))
							all = append(all, f)
							if !c.Bool("json") {
								fmt.Fprintln(out, f)
							} else if err := json.NewEncoder(out).Encode(f); err != nil {
								return err
							}
						}
					}
				}
			}
			if path := c.String("picture"); path != "" {
				return subsetsim.WriteChart(path, all)
			}
			return nil
		},
	}
}
