package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/lab/soak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "play a router fleet of real processes under signals, kills, lost disks and changes that overlap, and check it from outside",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of the first run"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "`N` runs, one after the other"},
			&cli.FloatFlag{Name: "minutes", Value: 1, Usage: "how long there are faults"},
			&cli.IntFlag{Name: "processes", Value: 15, Usage: "`N` processes at most"},
			&cli.BoolFlag{Name: "beside", Usage: "run control within agents, on machines that take requests"},
			&cli.StringFlag{Name: "binary", Usage: "hazelfleet's `FILE`; default: beside this program"},
			&cli.StringFlag{Name: "report", Usage: "the `FILE` for the reports, one JSON object a line"},
			&cli.StringFlag{Name: "log", Usage: "the `FILE` for what the processes say"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	settings := soak.Settings{Seed: c.Uint64("seed"), FaultDuration: time.Duration(c.Float("minutes") * float64(time.Minute)), Processes: c.Int("processes"),
		Binary: c.String("binary"), ControlInAgents: c.Bool("beside")}
	if settings.Binary == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		settings.Binary = filepath.Join(filepath.Dir(self), "hazelfleet")
	}
	if err := settings.Validate(); err != nil {
		return usageError(err)
	}
	if name := c.String("log"); name != "" {
		file, err := os.Create(name)
		if err != nil {
			return usageError(err)
		}
		defer func() { _ = file.Close() }() // a log, beside which nothing depends on it
		settings.Log = file
	}
	// Danger: who ends this program must not leave its processes behind.
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	broken := 0
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
			broken++
		}
		settings.Seed++
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d runs broke a rule", broken, c.Int("seeds"))
	}
	return nil
}

// appendReport writes a report to the end of a file, if one is named.
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
