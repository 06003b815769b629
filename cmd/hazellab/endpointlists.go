package main

import (
	"context"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/sim"
)

// endpointListsCommand measures the calls for the list of servers at discovery and the age of the list at the sidecars, on the days of seeds.
func endpointListsCommand(flags ...cli.Flag) *cli.Command {
	return &cli.Command{Name: "lists", Usage: "measure the cost of the list of servers at discovery, and its age at the sidecars, in simulated time", Action: measureEndpointLists,
		Flags: append(flags,
			&cli.IntFlag{Name: "seeds", Usage: "run `N` days, of the seeds from 1 on", Value: 10},
			&cli.BoolFlag{Name: "quiet-days", Usage: "run the days without their faults, except for servers that are replaced in turn"})}
}

// measureEndpointLists prints the figures of all days. The flags are those of sim and of its own.
func measureEndpointLists(_ context.Context, c *cli.Command) error {
	options, err := simOptions(c)
	if err != nil {
		return err
	}
	var delays, slowestDelays []float64
	calls, maxWatches, sumOfMeanWatches, violations := 0, 0, 0.0, 0
	days := c.Int("seeds")
	for seed := 1; seed <= days; seed++ {
		var observer sim.ListObserver
		options.Observer = &observer
		script := options.DrawScript(uint64(seed))
		if c.Bool("quiet-days") {
			script.Faults = sim.RollingReleases(script.Day(options.Ranges()))
		}
		result, err := sim.Play(script, options)
		if err != nil {
			return wrapScriptError(err)
		}
		calls += observer.Calls
		maxWatches = max(maxWatches, observer.MaxWatches)
		sumOfMeanWatches += observer.MeanWatches()
		violations += len(result.Violations)
		delays = append(delays, observer.Delays...)
		slowestDelays = append(slowestDelays, observer.SlowestDelays...)
	}
	slices.Sort(delays)
	slices.Sort(slowestDelays)
	fmt.Fprintf(c.Root().Writer, "%d days, %d findings: %.1f calls a day, watches %.1f on the average, %d at most; age at all 50%% %.3f s, 99%% %.3f s; at the slowest 50%% %.3f s, 99%% %.3f s (%d versions)\n",
		days, violations, float64(calls)/float64(days), sumOfMeanWatches/float64(days), maxWatches, quantile(delays, 0.5), quantile(delays, 0.99),
		quantile(slowestDelays, 0.5), quantile(slowestDelays, 0.99), len(slowestDelays))
	return nil
}

// quantile returns the value below which a fraction of the sorted values lies; 0 if there are none.
func quantile(sorted []float64, fraction float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}
