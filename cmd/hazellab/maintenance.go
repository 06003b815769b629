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

// maintenanceCommand simulates the maintenance of servers: the decisions alone, or with --weigh on whole days.
func maintenanceCommand() *cli.Command {
	return &cli.Command{Name: "works", Usage: "run the maintenance of a fleet's servers in simulated time and check the invariants", Action: simulateMaintenance,
		Flags: daysFlags(
			&cli.BoolFlag{Name: "weigh", Usage: "compare strategies for the maintenance of all servers, by whole days"},
			&cli.StringSliceFlag{Name: "only", Usage: "a `PART` of the names of the strategies to compare; may be given again"},
			&cli.IntFlag{Name: "boxes", Usage: "`N` servers on the days of --weigh", Value: 12})}
}

// simulateMaintenance prints each violation as it is found, then the figures of all days.
func simulateMaintenance(_ context.Context, c *cli.Command) error {
	out := bufio.NewWriter(c.Root().Writer)
	defer func() { _ = out.Flush() }() // nothing can be done for a reader that has closed the pipe
	first, last, err := selectedSeeds(c)
	if err != nil {
		return err
	}
	if c.Bool("weigh") {
		debug.SetGCPercent(simulationGCPercent)
		return sim.CompareMaintenance(c.Root().Writer, first, last, c.Int("boxes"), c.Int("jobs"), c.StringSlice("only"))
	}
	if c.Bool("trace") {
		if !c.IsSet("seed") {
			return usageError(errors.New("--trace goes with --seed"))
		}
		r := maintenancesim.Run(first, maintenancesim.Options{Trace: traceTo(out)})
		if len(r.Findings) > 0 {
			return errRulesBroken
		}
		return nil
	}
	start := time.Now()
	var tally maintenancesim.Tally
	runSeeds(c, out, first, last, maintenancesim.RunSeeds, func(r *maintenancesim.Result) (uint64, []seeds.Violation) {
		tally.Add(r)
		return r.Seed, r.Findings
	})
	if c.Bool("json") {
		if err := json.NewEncoder(out).Encode(&tally); err != nil {
			return err
		}
	} else {
		violations := printBroken(out, tally.Broken)
		counts := tally.Counts
		fmt.Fprintf(out, "%d plans in %.0f s: %d boxes worked on, %d done, %d skipped, %d lost, %d forced, %d given back, %d owners, %d stopped at a step, %d writes refused\n",
			counts.Plans, time.Since(start).Seconds(), counts.WorkStarted, counts.Done, counts.Skipped, counts.Lost, counts.Forced, counts.GivenBack, counts.Leases, counts.HolderFaults, counts.StaleWrites)
		fmt.Fprintf(out, "history %016x\n%d seeds, %d rules broken\n", tally.Hash, tally.Days, violations)
	}
	if len(tally.Broken) > 0 {
		return errRulesBroken
	}
	return nil
}
