package main

import (
	"bufio"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"
	"golang.org/x/term"

	"hazelwheel/internal/sim/seeds"
)

// selectedSeeds returns the seeds that --seeds or --seed name.
func selectedSeeds(c *cli.Command) (first, last uint64, err error) {
	if c.IsSet("seed") {
		return c.Uint64("seed"), c.Uint64("seed"), nil
	}
	if first, last, err = parseSeedRange(c.String("seeds")); err != nil {
		err = usageError(err)
	}
	return first, last, err
}

// runSeeds plays days of a small world, with a bar, and tells of each that breaks a rule. Many plays them, and took takes one.
func runSeeds[R any](c *cli.Command, out *bufio.Writer, first, last uint64, many func(first, last uint64, jobs int, told func(R) bool),
	took func(R) (seed uint64, findings []seeds.Finding)) {
	debug.SetGCPercent(400)
	bar := progressBar(int64(last-first)+1, "days")
	many(first, last, c.Int("jobs"), func(r R) bool {
		_ = bar.Add(1) // a bar that can't be drawn harms nothing
		seed, findings := took(r)
		if len(findings) > 0 && !c.Bool("json") {
			_ = bar.Clear()
			fmt.Fprintf(out, "BROKEN %v; replay with: hazellab %s --seed %d --trace\n", findings[0], c.Name, seed)
			_ = out.Flush() // a run takes long, and may be stopped
		}
		return !c.Bool("first") || len(findings) == 0
	})
	_ = bar.Finish()
}

// printBroken tells which rules were broken, and on how many days.
func printBroken(out *bufio.Writer, all []seeds.Broken) (days int) {
	for _, b := range all {
		days += b.Days
		fmt.Fprintf(out, "BROKEN %s on %d days, seeds %s\n", b.Rule, b.Days, strings.Trim(fmt.Sprint(b.Seeds), "[]"))
	}
	return days
}

// parseSeedRange reads a range of seeds, or one.
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

// progressBar returns a bar on standard error, which shows nothing where that is no terminal.
func progressBar(n int64, what string) *progressbar.ProgressBar {
	return progressbar.NewOptions64(n, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription(what),
		progressbar.OptionSetVisibility(term.IsTerminal(int(os.Stderr.Fd()))), progressbar.OptionShowCount(),
		progressbar.OptionSetPredictTime(true), progressbar.OptionClearOnFinish())
}
