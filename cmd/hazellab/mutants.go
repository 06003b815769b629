package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/sim"
)

// runMutants applies each patch to the program, runs seeds until an invariant is violated, and prints the results. It fails where a patch is
// not caught.
func runMutants(_ context.Context, c *cli.Command) error {
	out := c.Root().Writer
	var results []sim.MutantResult
	err := sim.RunMutants(sim.MutantOptions{Root: ".", Dir: c.String("dir"), NameParts: c.StringSlice("only"), LastSeed: c.Uint64("last"), Jobs: c.Int("jobs")},
		func(m sim.MutantResult) {
			results = append(results, m)
			if !c.Bool("json") {
				fmt.Fprintln(out, m)
			}
		})
	if err != nil {
		return err
	}
	if c.Bool("json") {
		if err := json.NewEncoder(out).Encode(results); err != nil {
			return err
		}
	}
	missed := 0
	for _, m := range results {
		if m.Seed == 0 {
			missed++
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d of %d mutants were not caught", missed, len(results))
	}
	return nil
}
