package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/lab/processcluster"
)

// Sizes of the fleets that run trials where --sidecars is not given: they take turns from the least to the greatest.
const minTrialSidecars, trialSidecarSizes = 5, 5

// runTrials divides the trials among fleets that run at a time, and prints their violations and figures. A fleet that has not run all of its
// trials fails.
func runTrials(ctx context.Context, c *cli.Command, s processcluster.Settings) error {
	fleets := min(c.Int("fleets"), s.Trials)
	reports, errs := make([]*processcluster.Report, fleets), make([]error, fleets)
	var running sync.WaitGroup
	for i := range fleets {
		own := s
		own.Trials = s.Trials*(i+1)/fleets - s.Trials*i/fleets
		own.Seed += uint64(i)
		if !c.IsSet("sidecars") {
			own.Sidecars = minTrialSidecars + i%trialSidecarSizes
		}
		own.Dir = filepath.Join(s.Dir, strconv.Itoa(i))
		if err := os.Mkdir(own.Dir, 0o700); err != nil {
			return err
		}
		running.Go(func() { reports[i], errs[i] = processcluster.Run(ctx, own) })
	}
	running.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	hasFailed := false
	for _, r := range reports {
		if r.ViolationCount > 0 || len(r.Trials) < s.Trials/fleets {
			hasFailed = true
		}
	}
	if c.Bool("json") {
		if err := printJSON(c.Root().Writer, reports); err != nil {
			return err
		}
	} else {
		printTrials(c.Root().Writer, reports)
	}
	if hasFailed {
		return errRulesBroken
	}
	return nil
}

// trialKind is a fault and the role of the process that it was injected into.
type trialKind struct{ fault, target string }

// printTrials writes the violations, then by kind of trial how long it took until the next owner was known, then the sums of all fleets.
func printTrials(out io.Writer, reports []*processcluster.Report) {
	knownSeconds := map[trialKind][]float64{}
	trials, moved, violations, loopLateSeconds := 0, 0, 0, 0.0
	confirmations, staleByOwner, rejected, stale, effects := 0, 0, 0, 0, 0
	for i, r := range reports {
		for _, v := range r.Violations {
			fmt.Fprintf(out, "fleet %d  %7.2f s  %-12s %-6s %s\n", i, v.AtSeconds, v.Rule, v.Sidecar, v.Reason)
		}
		trials += len(r.Trials)
		for _, t := range r.Trials {
			if t.HasMoved {
				moved++
				kind := trialKind{t.Fault, t.Target}
				knownSeconds[kind] = append(knownSeconds[kind], t.KnownSeconds)
			}
		}
		violations += r.ViolationCount
		loopLateSeconds = max(loopLateSeconds, r.LoopLateSeconds)
		if roles := r.Roles; roles != nil {
			confirmations += roles.Confirmations
			staleByOwner += roles.StaleByOwner
			rejected += roles.Rejected
			stale += roles.Stale
			effects += roles.Effects
		}
	}
	byName := func(a, b trialKind) int {
		return cmp.Or(cmp.Compare(a.fault, b.fault), cmp.Compare(a.target, b.target))
	}
	for _, kind := range slices.SortedFunc(maps.Keys(knownSeconds), byName) {
		fmt.Fprintf(out, "%-14s %-18s the next owner was known after %s\n", kind.fault, kind.target, formatSpread(knownSeconds[kind]))
	}
	fmt.Fprintf(out, "%d effects on the wire, %d under a token that was not the greatest any more, %d of these said by the old owner itself; %d refusals\n",
		effects, stale, staleByOwner, rejected)
	fmt.Fprintf(out, "%d words of leaders that a grant holds have an order with all grants; the laboratory was %.2f s late at most\n", confirmations, loopLateSeconds)
	fmt.Fprintf(out, "trials: %d, in %d the job moved; %d rules broken\n", trials, moved, violations)
}
