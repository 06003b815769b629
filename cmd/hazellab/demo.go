package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"
	"golang.org/x/term"

	"hazelwheel/internal/lab/experiment"
	"hazelwheel/internal/lab/realtime"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "show the sidecar at work for ten seconds: boxes hang, a site is lost and returns",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Usage: "hazelwheel's `FILE`; default: beside this program"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of the world"},
			&cli.BoolFlag{Name: "plain", Usage: "lines, also on a terminal"},
			&cli.StringFlag{Name: "log", Usage: "the `FILE` for what the sidecar says"},
		},
		Action: runDemo,
	}
}

// sidecarBinary returns the file of the sidecar's program.
func sidecarBinary(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	self, err := os.Executable()
	return filepath.Join(filepath.Dir(self), experiment.Sidecar), err
}

func runDemo(ctx context.Context, c *cli.Command) error {
	binary, err := sidecarBinary(c.String("binary"))
	if err != nil {
		return err
	}
	if _, err := os.Stat(binary); err != nil {
		return usageError(err)
	}
	d := realtime.Demo{Binary: binary, Seed: c.Uint64("seed"), Out: c.Root().Writer, Screen: !c.Bool("plain") && term.IsTerminal(int(os.Stdout.Fd()))}
	if path := c.String("log"); path != "" {
		f, err := os.Create(path)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }() // a log, beside which nothing depends on it
		d.Log = f
	}
	if d.Dir, err = os.MkdirTemp("", "hazellab"); err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(d.Dir) }() // temporary
	ctx, stop := signalContext(ctx)
	defer stop()
	kept, err := d.Run(ctx)
	if err == nil && !kept {
		err = errRulesBroken
	}
	return err
}
