package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/lab/processcluster"
)

// runTrials plays trials in fleets beside each other, each with its part of them.
func runTrials(ctx context.Context, c *cli.Command, s processcluster.Settings) error {
	fleets := min(c.Int("fleets"), s.Trials)
	reports, errs := make([]*processcluster.Report, fleets), make([]error, fleets)
	var all sync.WaitGroup
	for i := range fleets {
		own := s
		own.Trials = s.Trials*(i+1)/fleets - s.Trials*i/fleets
		own.Seed += uint64(i)
		if !c.IsSet("sidecars") {
			own.Sidecars = 5 + i%5
		}
		if own.Dir = filepath.Join(s.Dir, strconv.Itoa(i)); fleets > 0 {
			if err := os.Mkdir(own.Dir, 0o700); err != nil {
				return err
			}
		}
		all.Go(func() { reports[i], errs[i] = processcluster.Run(ctx, own) })
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	out := c.Root().Writer
	broken := 0
	for _, r := range reports {
		broken += r.ViolationCount
		if len(r.Trials) < s.Trials/fleets { // it was ended, or gave up
			broken += min(1, 1-min(r.ViolationCount, 1))
		}
	}
	if c.Bool("json") {
		raw, err := json.MarshalIndent(reports, "", "  ")
		if err != nil {
			return err
		}
		fmt.Fprintln(out, string(raw))
	} else {
		printTrials(c, reports)
	}
	if broken > 0 {
		return errRulesBroken
	}
	return nil
}

// printTrials prints what was found, and the times by what was done to whom.
func printTrials(c *cli.Command, reports []*processcluster.Report) {
	out := c.Root().Writer
	known := map[[2]string][]float64{}
	trials, moved, broken, confirms, late, refused, old, effects, lateS := 0, 0, 0, 0, 0, 0, 0, 0, 0.0
	for i, r := range reports {
		for _, f := range r.Violations {
			fmt.Fprintf(out, "fleet %d  %7.2f s  %-12s %-6s %s\n", i, f.AtSeconds, f.Rule, f.Sidecar, f.Reason)
		}
		for _, t := range r.Trials {
			k := [2]string{t.Fault, t.Target}
			if trials++; t.HasMoved {
				moved++
				known[k] = append(known[k], t.KnownSeconds)
			}
		}
		broken += r.ViolationCount
		lateS = max(lateS, r.LoopLateSeconds)
		if o := r.Roles; o != nil {
			confirms, late, refused, old, effects = confirms+o.Confirmations, late+o.StaleByOwner, refused+o.Rejected, old+o.Stale, effects+o.Effects
		}
	}
	kinds := make([][2]string, 0, len(known))
	for k := range known {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b [2]string) int { return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1])) })
	for _, k := range kinds {
		fmt.Fprintf(out, "%-14s %-18s the next owner was known after %s\n", k[0], k[1], formatSpread(known[k]))
	}
	fmt.Fprintf(out, "%d effects on the wire, %d under a token that was not the greatest any more, %d of these said by the old owner itself; %d refusals\n", effects, old, late, refused)
	fmt.Fprintf(out, "%d words of leaders that a grant holds have an order with all grants; the laboratory was %.2f s late at most\n", confirms, lateS)
	fmt.Fprintf(out, "trials: %d, in %d the job moved; %d rules broken\n", trials, moved, broken)
}
