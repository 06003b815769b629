package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/sim"
)

// simulate runs one day and prints its violations and figures; with --seeds many days.
func simulate(_ context.Context, c *cli.Command) error {
	if c.IsSet("seeds") {
		return simulateSeeds(c)
	}
	o, err := simOptions(c)
	if err != nil {
		return err
	}
	s, name, err := selectedScript(c, o)
	if err != nil {
		return err
	}
	out := bufio.NewWriter(c.Root().Writer)
	defer func() { _ = out.Flush() }() // nothing can be done for a reader that has closed the pipe
	if c.Bool("quiet-days") {
		s.Faults = nil
	}
	if c.Bool("show-script") {
		return writeScript(out, &s)
	}
	if c.Bool("trace") {
		o.Trace = traceTo(out)
	}
	var counts secondlyCounts
	if c.Bool("by-second") {
		o.Observer = &counts
	}
	start := time.Now()
	r, err := sim.Play(s, o)
	if err != nil {
		return wrapScriptError(err)
	}
	if o.Observer != nil {
		counts.print(out, r.Start)
	}
	if c.Bool("json") {
		if err := json.NewEncoder(out).Encode(r); err != nil {
			return err
		}
	} else {
		var tally sim.Tally
		tally.Add(r)
		tally.Finish()
		tally.History = fmt.Sprintf("%016x", r.Hash)
		printViolations(out, r, name)
		printTally(out, &tally, time.Since(start).Seconds(), 1)
	}
	if len(r.Violations) > 0 {
		return errRulesBroken
	}
	return nil
}

// maxPrintedViolations limits how many violations of a day are printed.
const maxPrintedViolations = 10

// printViolations prints the violations of a day. Name is the flag by which a command repeats it.
func printViolations(w io.Writer, r *sim.Result, name string) {
	for i, f := range r.Violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(w, "and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(w, "BROKEN %s at %.6f: %s; replay with: hazellab sim %s --trace\n", f.Rule, r.SinceStart(f.At), f.Reason, name)
	}
}

// simulateSeeds runs the days of a range of seeds, prints each violation as it is found, then the figures of all days.
func simulateSeeds(c *cli.Command) error {
	first, last, err := parseSeedRange(c.String("seeds"))
	if err != nil {
		return usageError(err)
	}
	if c.IsSet("seed") || c.IsSet("script") || c.Bool("trace") {
		return usageError(errors.New("--seeds goes without --seed, --script and --trace"))
	}
	o, err := simOptions(c)
	if err != nil {
		return err
	}
	o.WithoutFaults = c.Bool("quiet-days")
	debug.SetGCPercent(simulationGCPercent)
	out := c.Root().Writer
	bar := progressBar(int64(last-first)+1, "days")
	start := time.Now()
	var tally sim.Tally
	var dayErr error
	sim.PlaySeeds(first, last, c.Int("jobs"), o, func(d sim.Outcome) bool {
		_ = bar.Add(1) // the bar is a convenience
		if d.Err != nil {
			dayErr = fmt.Errorf("seed %d: %w", d.Seed, d.Err)
			return false
		}
		tally.Add(d.Result)
		if c.Bool("each") {
			fmt.Fprintf(out, "seed %d history %016x, %d events, service %.4f\n", d.Seed, d.Result.Hash, d.Result.Steps, d.Result.Report.Service)
		}
		if len(d.Result.Violations) > 0 && !c.Bool("json") {
			_ = bar.Clear()
			f := d.Result.Violations[0]
			fmt.Fprintf(out, "BROKEN %s: %s; replay with: hazellab sim --seed %d%s --trace\n", f.Rule, f.Reason, d.Seed, protocolFlag(o))
		}
		return !c.Bool("first") || len(d.Result.Violations) == 0
	})
	_ = bar.Finish()
	if dayErr != nil {
		return dayErr
	}
	tally.Finish()
	if c.Bool("json") {
		if err := json.NewEncoder(out).Encode(&tally); err != nil {
			return err
		}
	} else {
		printTally(out, &tally, time.Since(start).Seconds(), c.Int("jobs"))
	}
	if len(tally.Broken) > 0 {
		return errRulesBroken
	}
	return nil
}

// printTally prints the figures of days that took so many seconds to run.
func printTally(w io.Writer, t *sim.Tally, tookSeconds float64, jobs int) {
	fmt.Fprintf(w, "%d days, %.0f simulated s in %.1f s: %.0f simulated s a second on each of %d jobs, %d events\n",
		t.Days, t.SimulatedSeconds, tookSeconds, t.SimulatedSeconds/tookSeconds/float64(max(jobs, 1)), jobs, t.Steps)
	fmt.Fprintf(w, "history %s\nservice %.3f\n", t.History, t.Service)
	for _, k := range t.Classes {
		fmt.Fprintf(w, "  %-16s %.3f  asked %d, in aim %d, late %d, refused %d, failed %d\n", k.Name, k.Service, k.Requests, k.InTarget, k.Late, k.Rejected, k.Failed)
	}
	p := &t.Costs
	fmt.Fprintf(w, "executions %d (%d in another site), probes %d, connections %d; hostile clients %d, owed %d\n", p.Attempts, p.CrossZoneAttempts, p.HealthChecks,
		p.Connections, p.HostileClients, p.HostileUnclosed)
	for _, b := range t.Broken {
		seeds := make([]string, len(b.Seeds))
		for i, s := range b.Seeds {
			seeds[i] = strconv.FormatUint(s, 10)
		}
		fmt.Fprintf(w, "BROKEN %s on %d days, seeds %s\n", b.Rule, b.Days, strings.Join(seeds, " "))
	}
	if t.ServersMaintained > 0 {
		fmt.Fprintf(w, "boxes worked on: %d\n", t.ServersMaintained)
	}
	if len(t.Broken) == 0 {
		fmt.Fprintln(w, "all rules were kept")
	}
}
