package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"
	"golang.org/x/term"

	"hazelwheel/internal/lab/experiment"
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "compare balancers by runs in turn",
		ArgsUsage: "FILE.toml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "the `FOLDER` for the figures; default: the experiment's name and the time"},
			&cli.BoolFlag{Name: "dry-run", Usage: "print the plan and how long it takes"},
		},
		Action: runExperiment,
	}
}

// runExperiment runs an experiment into a new folder, and prints how many of its runs are complete. Interrupted, the folder holds the runs so
// far and is marked as partial.
func runExperiment(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError(errors.New("experiment: one FILE.toml is wanted"))
	}
	spec, text, err := experiment.ReadFile(c.Args().First())
	if err != nil {
		return usageError(err)
	}
	out := c.Root().Writer
	if c.Bool("dry-run") {
		printPlan(out, spec)
		return nil
	}
	s := experiment.Settings{Spec: spec, Text: text, Folder: c.String("out"), Say: os.Stderr}
	if s.Folder == "" {
		s.Folder = spec.Name + "-" + time.Now().Format("20060102-150405")
	}
	if s.Self, err = os.Executable(); err != nil {
		return err
	}
	reportProgress(&s)
	ctx, stop := signalContext(ctx)
	defer stop()
	unlock, err := lockCores(ctx, spec.Cores.Balancer, spec.Cores.Boxes, spec.Cores.Load)
	if err != nil {
		return err
	}
	defer unlock()
	err = experiment.Do(ctx, &s)
	if data, openErr := experiment.Open(s.Folder); openErr == nil {
		fmt.Fprintf(out, "%s: %d of %d runs whole\n", s.Folder, data.Done, data.Planned)
		if data.Partial {
			fmt.Fprintf(out, "partial: %s\n", data.Why)
		}
	}
	return err
}

// reportProgress has the progress written to standard error: as a bar on a terminal, else as a line for each run.
func reportProgress(s *experiment.Settings) {
	printFailure := func(r *experiment.Record) {
		if r.Partial {
			fmt.Fprintf(os.Stderr, "run %d, %s: %s\n", r.Number, r.Balancer, r.Why)
		}
	}
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		s.Ended = func(r *experiment.Record) {
			if printFailure(r); !r.Partial {
				fmt.Fprintf(os.Stderr, "run %d: %s, %s, %s, %s, repeat %d\n", r.Number, r.Balancer, r.Size, r.Load, r.Trouble, r.Repeat)
			}
		}
		return
	}
	bar := progressbar.NewOptions(len(s.Spec.Plan()), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionShowCount(),
		progressbar.OptionSetPredictTime(true), progressbar.OptionClearOnFinish())
	s.Began = func(r experiment.Run) { bar.Describe(r.Balancer + ", " + r.Size + ", " + r.Load + ", " + r.Trouble) }
	s.Ended = func(r *experiment.Record) {
		printFailure(r)
		_ = bar.Add(1) // fails only beyond the last run
	}
}

// printPlan prints the runs of an experiment in order, and how long they take.
func printPlan(w io.Writer, s *experiment.Spec) {
	for _, r := range s.Plan() {
		fmt.Fprintf(w, "%4d  %s, %s, %s, %s, repeat %d\n", r.Number, r.Balancer, r.Size, r.Load, r.Trouble, r.Repeat)
	}
	fmt.Fprintf(w, "%d runs, about %s\n", len(s.Plan()), s.Takes().Round(time.Second))
}
