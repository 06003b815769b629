package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/sim"
)

func runMutants(_ context.Context, c *cli.Command) error {
	out := c.Root().Writer
	var all []sim.MutantResult
	err := sim.RunMutants(sim.MutantOptions{Root: ".", Dir: c.String("dir"), NameParts: c.StringSlice("only"), LastSeed: c.Uint64("last"), Jobs: c.Int("jobs")},
		func(m sim.MutantResult) {
			all = append(all, m)
			if !c.Bool("json") {
				fmt.Fprintln(out, m)
			}
		})
	if err != nil {
		return err
	}
	if c.Bool("json") {
		if err := json.NewEncoder(out).Encode(all); err != nil {
			return err
		}
	}
	missed := 0
	for _, m := range all {
		if m.Seed == 0 {
			missed++
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d of %d mutants were not caught", missed, len(all))
	}
	return nil
}
