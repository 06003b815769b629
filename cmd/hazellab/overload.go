package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"runtime"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/lab/overload"
)

func overloadCommand() *cli.Command {
	return &cli.Command{
		Name:  "pressure",
		Usage: "measure a sidecar under overload: floods, load beyond its core, drains, responses that nobody reads",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Required: true, Usage: "the hazelwheel `FILE` to measure"},
			&cli.StringFlag{Name: "vs", Usage: "another hazelwheel `FILE`, measured in turn with the first"},
			&cli.StringSliceFlag{Name: "beside", Usage: "a plain balancer to measure where it applies: a kind of hazellab proxy"},
			&cli.StringFlag{Name: "cores", Value: "2,3,4-5,6-7", Usage: "the cores of the program, the servers, the load and the flood; none: left to the system"},
			&cli.IntFlag{Name: "nice", Usage: "priority of all that is measured, -20 to 19; below 0 keeps others' work out of the figures, and is for root"},
			&cli.IntFlag{Name: "repeats", Value: 1, Usage: "runs of each"},
			&cli.StringFlag{Name: "only", Usage: "a `REGEXP` of the measurements' names"},
			&cli.StringFlag{Name: "json", Usage: "write all values to this `FILE`, too"},
		},
		Action: measureOverload,
	}
}

// measureOverload prints a table of the measurements by program. Interrupted, it prints those so far.
func measureOverload(ctx context.Context, c *cli.Command) error {
	s, err := overloadSettings(c)
	if err != nil {
		return err
	}
	if s.Self, err = os.Executable(); err != nil {
		return err
	}
	if s.Dir, err = os.MkdirTemp("", "hazellab"); err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(s.Dir) }() // temporary
	ctx, stop := signalContext(ctx)
	defer stop()
	unlock, err := lockCores(ctx, s.Cores.Program, s.Cores.Boxes, s.Cores.Load, s.Cores.Flood)
	if err != nil {
		return err
	}
	defer unlock()
	rows, err := overload.Run(ctx, &s)
	overload.Table(c.Root().Writer, rows, s.Programs)
	fmt.Fprintf(c.Root().Writer, "\n%d cores, %s; program, boxes, load and flood on cores %s; priority %d; %d runs each, in turns; load average at the end %s\n",
		runtime.NumCPU(), runtime.Version(), c.String("cores"), s.Nice, s.Repeats, loadAverage())
	if err != nil {
		fmt.Fprintln(c.Root().Writer, "\nPartial: it ended before its time.")
	}
	if path := c.String("json"); path != "" {
		raw, jsonErr := json.MarshalIndent(rows, "", " ")
		if jsonErr == nil {
			jsonErr = os.WriteFile(path, raw, 0o644)
		}
		if err == nil {
			err = jsonErr
		}
	}
	return err
}

// overloadSettings returns the settings that the flags give, without the folder and the path of this program.
func overloadSettings(c *cli.Command) (overload.Settings, error) {
	s := overload.Settings{Repeats: c.Int("repeats"), Nice: c.Int("nice"), Say: os.Stderr}
	if s.Nice < -20 || s.Nice > 19 {
		return s, usageError(fmt.Errorf("nice: %d, not -20 to 19", s.Nice))
	}
	if s.Repeats < 1 || s.Repeats > 100 {
		return s, usageError(fmt.Errorf("repeats: %d, not 1 to 100", s.Repeats))
	}
	var err error
	if text := c.String("only"); text != "" {
		if s.Only, err = regexp.Compile(text); err != nil {
			return s, usageError(fmt.Errorf("only: %w", err))
		}
	}
	if s.Cores, err = parseCores(c.String("cores")); err != nil {
		return s, usageError(err)
	}
	for _, path := range []string{c.String("binary"), c.String("vs")} {
		if path == "" {
			continue
		}
		if path, err = filepath.Abs(path); err != nil {
			return s, err
		}
		if _, err := os.Stat(path); err != nil {
			return s, usageError(err)
		}
		s.Programs = append(s.Programs, overload.Program{Name: filepath.Base(path), Path: path})
	}
	if len(s.Programs) == 2 && s.Programs[0].Name == s.Programs[1].Name {
		s.Programs[0].Name, s.Programs[1].Name = s.Programs[0].Name+" A", s.Programs[1].Name+" B"
	}
	for _, kind := range c.StringSlice("beside") {
		s.Programs = append(s.Programs, overload.Program{Name: kind, Proxy: kind})
	}
	return s, nil
}
