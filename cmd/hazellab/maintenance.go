package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/sim"
	"hazelwheel/internal/sim/maintenancesim"
	"hazelwheel/internal/sim/seeds"
)

// maintenanceCommand play work on boxes in simulated time.
func maintenanceCommand() []*cli.Command {
	return []*cli.Command{
		{Name: "works", Usage: "play work on the boxes of a fleet in simulated time, and judge it", Action: simulateMaintenance, Flags: []cli.Flag{
			&cli.StringFlag{Name: "seeds", Usage: "the `RANGE` of seeds, as 1-10000", Value: "1-100"},
			&cli.Uint64Flag{Name: "seed", Usage: "the `SEED` of one day"},
			&cli.IntFlag{Name: "jobs", Usage: "`N` days at a time", Value: 1},
			&cli.BoolFlag{Name: "weigh", Usage: "weigh the ways to have all boxes of a day worked on, by whole days"},
			&cli.StringSliceFlag{Name: "only", Usage: "a `PART` of the names of the ways that are weighed; may be given again"},
			&cli.IntFlag{Name: "boxes", Usage: "`N` boxes that are weighed with", Value: 12},
			&cli.BoolFlag{Name: "trace", Usage: "print what happens on the day of --seed"},
			&cli.BoolFlag{Name: "first", Usage: "stop at the first day that breaks a rule"},
			&cli.BoolFlag{Name: "json", Usage: "print the result as JSON"}}},
	}
}

func simulateMaintenance(_ context.Context, c *cli.Command) error {
	out := bufio.NewWriter(c.Root().Writer)
	defer func() { _ = out.Flush() }() // a reader that is gone can't be told
	first, last, err := selectedSeeds(c)
	if err != nil {
		return err
	}
	if c.Bool("weigh") {
		debug.SetGCPercent(400)
		return sim.CompareMaintenance(c.Root().Writer, first, last, c.Int("boxes"), c.Int("jobs"), c.StringSlice("only"))
	}
	if c.Bool("trace") {
		if !c.IsSet("seed") {
			return usageError(errors.New("--trace goes with --seed"))
		}
		r := maintenancesim.Run(first, maintenancesim.Options{Trace: func(at float64, line string) { fmt.Fprintf(out, "%11.6f %s\n", at, line) }})
		if len(r.Findings) > 0 {
			return errRulesBroken
		}
		return nil
	}
	began := time.Now()
	var t maintenancesim.Tally
	runSeeds(c, out, first, last, maintenancesim.RunSeeds, func(r *maintenancesim.Result) (uint64, []seeds.Finding) {
		t.Add(r)
		return r.Seed, r.Findings
	})
	if c.Bool("json") {
		if err := json.NewEncoder(out).Encode(&t); err != nil {
			return err
		}
	} else {
		broken := printBroken(out, t.Broken)
		n := t.Counts
		fmt.Fprintf(out, "%d plans in %.0f s: %d boxes worked on, %d done, %d skipped, %d lost, %d forced, %d given back, %d owners, %d stopped at a step, %d writes refused\n",
			n.Plans, time.Since(began).Seconds(), n.WorkStarted, n.Done, n.Skipped, n.Lost, n.Forced, n.GivenBack, n.Leases, n.HolderFaults, n.StaleWrites)
		fmt.Fprintf(out, "history %016x\n%d seeds, %d rules broken\n", t.Hash, t.Days, broken)
	}
	if len(t.Broken) > 0 {
		return errRulesBroken
	}
	return nil
}
