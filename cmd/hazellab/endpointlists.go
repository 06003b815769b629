package main

import (
	"context"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/sim"
)

// endpointListsCommand measures what the list costs discovery and how old it is, on the days of some seeds in turn.
func endpointListsCommand(flags ...cli.Flag) *cli.Command {
	return &cli.Command{Name: "lists", Usage: "measure in simulated time what the list costs discovery, and how old it is at the sidecars", Action: measureEndpointLists,
		Flags: append(flags,
			&cli.IntFlag{Name: "seeds", Usage: "`N` days, of the seeds from 1 on", Value: 10},
			&cli.BoolFlag{Name: "quiet-days", Usage: "play the days without their troubles, but for boxes that are taken out in turn and come back"})}
}

func measureEndpointLists(_ context.Context, c *cli.Command) error {
	o, err := simOptions(c)
	if err != nil {
		return err
	}
	var ages, slowest []float64
	calls, watches, mean, findings := 0, 0, 0.0, 0
	n := c.Int("seeds")
	for seed := 1; seed <= n; seed++ {
		var w sim.ListObserver
		o.Observer = &w
		script := o.DrawScript(uint64(seed))
		if c.Bool("quiet-days") {
			script.Faults = sim.RollingReleases(script.Day(o.Ranges()))
		}
		r, err := sim.Play(script, o)
		if err != nil {
			return wrapScriptError(err)
		}
		calls, watches, mean, findings = calls+w.Calls, max(watches, w.MaxWatches), mean+w.MeanWatches(), findings+len(r.Violations)
		ages, slowest = append(ages, w.Delays...), append(slowest, w.SlowestDelays...)
	}
	at := func(all []float64, part float64) float64 {
		if len(all) == 0 {
			return 0
		}
		slices.Sort(all)
		return all[min(int(part*float64(len(all))), len(all)-1)]
	}
	fmt.Fprintf(c.Root().Writer, "%d days, %d findings: %.1f calls a day, watches %.1f on the average, %d at most; age at all 50%% %.3f s, 99%% %.3f s; at the slowest 50%% %.3f s, 99%% %.3f s (%d versions)\n",
		n, findings, float64(calls)/float64(n), mean/float64(n), watches, at(ages, 0.5), at(ages, 0.99), at(slowest, 0.5), at(slowest, 0.99), len(slowest))
	return nil
}
