package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/lab/soak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run a router fleet as processes under overlapping signals, kills, lost disks and changes, and check the invariants from outside",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the `SEED` of the first run"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "`N` runs, one after the other"},
			&cli.FloatFlag{Name: "minutes", Value: 1, Usage: "how long faults are injected"},
			&cli.IntFlag{Name: "processes", Value: 15, Usage: "`N` processes at most"},
			&cli.BoolFlag{Name: "beside", Usage: "run control within agents, on machines with a proxy"},
			&cli.StringFlag{Name: "binary", Usage: "hazelfleet's `FILE`; default: beside this program"},
			&cli.StringFlag{Name: "report", Usage: "the `FILE` for the reports, one JSON object a line"},
			&cli.StringFlag{Name: "log", Usage: "the `FILE` for the output of the processes"},
		},
		Action: runSoak,
	}
}

// runSoak runs the seeds one after the other and prints the report of each. It fails where a run violated an invariant.
func runSoak(ctx context.Context, c *cli.Command) error {
	settings := soak.Settings{Seed: c.Uint64("seed"), FaultDuration: time.Duration(c.Float("minutes") * float64(time.Minute)), Processes: c.Int("processes"),
		Binary: c.String("binary"), ControlInAgents: c.Bool("beside")}
	if settings.Binary == "" {
		var err error
		if settings.Binary, err = siblingProgram("hazelfleet"); err != nil {
			return err
		}
	}
	if err := settings.Validate(); err != nil {
		return usageError(err)
	}
	if name := c.String("log"); name != "" {
		file, err := os.Create(name)
		if err != nil {
			return usageError(err)
		}
		defer func() { _ = file.Close() }() // a lost end of the log harms nothing
		settings.Log = file
	}
	// Danger: an uncaught signal would end this program and leave its processes running.
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	failedRuns := 0
	for range c.Int("seeds") {
		report, err := soak.Run(ctx, settings)
		if err != nil {
			return err
		}
		fmt.Print(report)
		if err := appendReport(c.String("report"), report); err != nil {
			return err
		}
		if len(report.Violations) > 0 {
			failedRuns++
		}
		settings.Seed++
	}
	if failedRuns > 0 {
		return fmt.Errorf("%d of %d runs broke a rule", failedRuns, c.Int("seeds"))
	}
	return nil
}

// appendReport appends a report to a file as one line of JSON, if a file is named.
func appendReport(name string, report *soak.Result) error {
	if name == "" {
		return nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	return errors.Join(json.NewEncoder(file).Encode(report), file.Close())
}
