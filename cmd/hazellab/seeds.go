package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"

	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"
	"golang.org/x/term"

	"hazelwheel/internal/sim/seeds"
)

// selectedSeeds returns the first and the last of the seeds that --seeds or --seed name.
func selectedSeeds(c *cli.Command) (first, last uint64, err error) {
	if c.IsSet("seed") {
		return c.Uint64("seed"), c.Uint64("seed"), nil
	}
	if first, last, err = parseSeedRange(c.String("seeds")); err != nil {
		err = usageError(err)
	}
	return first, last, err
}

// simulationGCPercent is the growth of the heap, in percent, that starts a garbage collection in simulations: they allocate much, little of
// which lives on.
const simulationGCPercent = 400

// daysFlags returns the flags of a partial simulation that runs the days of a range of seeds, with those of its own before --trace.
func daysFlags(own ...cli.Flag) []cli.Flag {
	return slices.Concat([]cli.Flag{
		&cli.StringFlag{Name: "seeds", Usage: "the `RANGE` of seeds, as 1-10000", Value: "1-100"},
		&cli.Uint64Flag{Name: "seed", Usage: "the `SEED` of one day"},
		&cli.IntFlag{Name: "jobs", Usage: "run `N` days at a time", Value: 1},
	}, own, []cli.Flag{
		&cli.BoolFlag{Name: "trace", Usage: "print what happens on the day of --seed"},
		&cli.BoolFlag{Name: "first", Usage: "stop at the first day that violates an invariant"},
		&cli.BoolFlag{Name: "json", Usage: "print the result as JSON"},
	})
}

// traceTo returns a function that prints the steps of a simulation, each with its time in seconds.
func traceTo(out io.Writer) func(at float64, line string) {
	return func(at float64, line string) { fmt.Fprintf(out, "%11.6f %s\n", at, line) }
}

// runSeeds runs the days of a partial simulation with a progress bar, and prints the first violation of each day that has one. RunAll runs
// the days on so many goroutines and calls done with the result of each, until done returns false. Add adds a result to the figures and
// returns its seed and its violations; it is called by one goroutine at a time.
func runSeeds[R any](c *cli.Command, out *bufio.Writer, first, last uint64, runAll func(first, last uint64, jobs int, done func(R) bool),
	add func(R) (seed uint64, findings []seeds.Violation)) {
	debug.SetGCPercent(simulationGCPercent)
	bar := progressBar(int64(last-first)+1, "days")
	runAll(first, last, c.Int("jobs"), func(r R) bool {
		_ = bar.Add(1) // the bar is a convenience
		seed, findings := add(r)
		if len(findings) > 0 && !c.Bool("json") {
			_ = bar.Clear()
			fmt.Fprintf(out, "BROKEN %v; replay with: hazellab %s --seed %d --trace\n", findings[0], c.Name, seed)
			_ = out.Flush() // a run takes long and may be interrupted
		}
		return !c.Bool("first") || len(findings) == 0
	})
	_ = bar.Finish()
}

// printBroken prints the invariants that were violated, and returns the sum of their days.
func printBroken(out *bufio.Writer, all []seeds.BrokenRule) (days int) {
	for _, b := range all {
		days += b.Days
		fmt.Fprintf(out, "BROKEN %s on %d days, seeds %s\n", b.Rule, b.Days, strings.Trim(fmt.Sprint(b.Seeds), "[]"))
	}
	return days
}

// parseSeedRange parses a range of seeds, as 1-10000, or a single seed.
func parseSeedRange(text string) (first, last uint64, err error) {
	from, to, two := strings.Cut(text, "-")
	if !two {
		to = from
	}
	first, err1 := strconv.ParseUint(from, 10, 64)
	last, err2 := strconv.ParseUint(to, 10, 64)
	if err1 != nil || err2 != nil || first > last {
		return 0, 0, fmt.Errorf("seeds: %q is not a range such as 1-10000", text)
	}
	return first, last, nil
}

// progressBar returns a progress bar on standard error for n steps. It is invisible where that is not a terminal.
func progressBar(n int64, what string) *progressbar.ProgressBar {
	return progressbar.NewOptions64(n, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription(what),
		progressbar.OptionSetVisibility(term.IsTerminal(int(os.Stderr.Fd()))), progressbar.OptionShowCount(),
		progressbar.OptionSetPredictTime(true), progressbar.OptionClearOnFinish())
}
