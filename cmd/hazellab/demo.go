package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"
	"golang.org/x/term"

	"hazelwheel/internal/lab/realtime"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "show the sidecar for ten seconds: servers hang, a site is lost and returns",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Usage: "hazelwheel's `FILE`; default: beside this program"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the `SEED` of the environment"},
			&cli.BoolFlag{Name: "plain", Usage: "print lines, also on a terminal"},
			&cli.StringFlag{Name: "log", Usage: "the `FILE` for the sidecar's output"},
		},
		Action: runDemo,
	}
}

// runDemo runs the demonstration. It ends with 1 where an invariant was violated.
func runDemo(ctx context.Context, c *cli.Command) error {
	binary, err := sidecarBinary(c.String("binary"))
	if err != nil {
		return err
	}
	d := realtime.Demo{Binary: binary, Seed: c.Uint64("seed"), Out: c.Root().Writer, Screen: !c.Bool("plain") && term.IsTerminal(int(os.Stdout.Fd()))}
	if path := c.String("log"); path != "" {
		f, err := os.Create(path)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }() // a lost end of the log harms nothing
		d.Log = f
	}
	if d.Dir, err = os.MkdirTemp("", "hazellab"); err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(d.Dir) }() // temporary
	ctx, stop := signalContext(ctx)
	defer stop()
	hasPassed, err := d.Run(ctx)
	if err == nil && !hasPassed {
		err = errRulesBroken
	}
	return err
}
