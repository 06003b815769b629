package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/sim/leasesim"
	"hazelwheel/internal/sim/seeds"
)

// leasesCommand simulates the leases of singleton roles: the decisions alone, without sidecars and sockets.
func leasesCommand() *cli.Command {
	return &cli.Command{Name: "owners", Usage: "run the leases of a fleet's singleton roles in simulated time and check the invariants", Action: simulateLeases,
		Flags: daysFlags(&cli.BoolFlag{Name: "measure", Usage: "print how long roles are without an owner, and the cost of being ready"})}
}

// simulateLeases prints each violation as it is found, then the figures of all days.
func simulateLeases(_ context.Context, c *cli.Command) error {
	out := bufio.NewWriter(c.Root().Writer)
	defer func() { _ = out.Flush() }() // nothing can be done for a reader that has closed the pipe
	if c.Bool("measure") {
		leasesim.Measure(c.Root().Writer)
		return nil
	}
	first, last, err := selectedSeeds(c)
	if err != nil {
		return err
	}
	if c.Bool("trace") {
		if !c.IsSet("seed") {
			return usageError(errors.New("--trace goes with --seed"))
		}
		r := leasesim.Run(first, leasesim.Options{Trace: traceTo(out)})
		if len(r.Findings) > 0 {
			return errRulesBroken
		}
		return nil
	}
	start := time.Now()
	var tally leasesim.Tally
	runSeeds(c, out, first, last, leasesim.RunSeeds, func(r *leasesim.Result) (uint64, []seeds.Violation) {
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
		fmt.Fprintf(out, "%d leases in %.0f s: %d leaders, %d electors replaced, %d states lost, %d effects taken, %d refused, %d stalls before a send\n",
			counts.Grants, time.Since(start).Seconds(), counts.ElectionsWon, counts.VotersReplaced, counts.IdentitiesLost, counts.Effects, counts.Rejected, counts.Stalls)
		fmt.Fprintf(out, "history %016x\n%d seeds, %d rules broken\n", tally.Hash, tally.Days, violations)
	}
	if len(tally.Broken) > 0 {
		return errRulesBroken
	}
	return nil
}
