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
		Usage: "compare strategies for the subset of servers of each sidecar: the evenness of the load, and how much a change moves",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "sidecars", Usage: "the `SIZES` of the fleet", Value: []int{5, 60, 300, 1000, 5000}},
			&cli.IntSliceFlag{Name: "boxes", Usage: "the `SIZES` of the list of servers", Value: []int{13, 200, 1000}},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "picture", Usage: "the `FILE` for a plot, an SVG: the busiest server by strategy and size"},
			&cli.BoolFlag{Name: "json", Usage: "print the figures as JSON, one object a line"},
		},
		Action: measureSubsets,
	}
}

// measureSubsets prints the figures of each strategy by the sizes of the fleet and of the list of servers, and writes the plot that --picture
// names.
func measureSubsets(_ context.Context, c *cli.Command) error {
	var results []subsetsim.Result
	out := c.Root().Writer
	if !c.Bool("json") {
		fmt.Fprintln(out, subsetsim.TableHeader)
	}
	for _, sidecars := range c.IntSlice("sidecars") {
		for _, servers := range c.IntSlice("boxes") {
			switch {
			case sidecars < 2 || sidecars > 10_000:
				return usageError(fmt.Errorf("sidecars: %d is not 2 to 10000", sidecars))
			case servers < 2 || servers > 2000:
				return usageError(fmt.Errorf("boxes: %d is not 2 to 2000", servers))
			}
			for _, isUnequal := range []bool{false, true} {
				for _, strategy := range subsetsim.Strategies() {
					if !strategy.IsFeasible(sidecars, servers) {
						continue
					}
					result := subsetsim.Measure(strategy, sidecars, servers, isUnequal, c.Uint64("seed"))
					results = append(results, result)
					if !c.Bool("json") {
						fmt.Fprintln(out, result)
					} else if err := json.NewEncoder(out).Encode(result); err != nil {
						return err
					}
				}
			}
		}
	}
	if path := c.String("picture"); path != "" {
		return subsetsim.WriteChart(path, results)
	}
	return nil
}
