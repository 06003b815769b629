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

// leasesCommand play who owns jobs in simulated time.
func leasesCommand() []*cli.Command {
	return []*cli.Command{
		{Name: "owners", Usage: "play who owns the jobs of a fleet in simulated time, and judge it", Action: simulateLeases, Flags: []cli.Flag{
			&cli.StringFlag{Name: "seeds", Usage: "the `RANGE` of seeds, as 1-10000", Value: "1-100"},
			&cli.Uint64Flag{Name: "seed", Usage: "the `SEED` of one day"},
			&cli.IntFlag{Name: "jobs", Usage: "`N` days at a time", Value: 1},
			&cli.BoolFlag{Name: "trace", Usage: "print what happens on the day of --seed"},
			&cli.BoolFlag{Name: "first", Usage: "stop at the first day that breaks a rule"},
			&cli.BoolFlag{Name: "measure", Usage: "print how long jobs are without an owner, and what being ready costs"},
			&cli.BoolFlag{Name: "json", Usage: "print the result as JSON"}}},
	}
}

func simulateLeases(_ context.Context, c *cli.Command) error {
	out := bufio.NewWriter(c.Root().Writer)
	defer func() { _ = out.Flush() }() // a reader that is gone can't be told
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
		r := leasesim.Run(first, leasesim.Options{Trace: func(at float64, line string) { fmt.Fprintf(out, "%11.6f %s\n", at, line) }})
		if len(r.Findings) > 0 {
			return errRulesBroken
		}
		return nil
	}
	began := time.Now()
	var t leasesim.Tally
	runSeeds(c, out, first, last, leasesim.RunSeeds, func(r *leasesim.Result) (uint64, []seeds.Finding) {
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
		fmt.Fprintf(out, "%d leases in %.0f s: %d leaders, %d electors replaced, %d states lost, %d effects taken, %d refused, %d stalls before a send\n",
			n.Grants, time.Since(began).Seconds(), n.ElectionsWon, n.VotersReplaced, n.IdentitiesLost, n.Effects, n.Rejected, n.Stalls)
		fmt.Fprintf(out, "history %016x\n%d seeds, %d rules broken\n", t.Hash, t.Days, broken)
	}
	if len(t.Broken) > 0 {
		return errRulesBroken
	}
	return nil
}
