package main

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/environment"
	"hazelwheel/internal/lab/realtime"
)

// defaultControlAddress is where hazellab serve listens for hazellab trouble.
const defaultControlAddress = "127.0.0.1:8600"

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:        "serve",
		Usage:       "run the servers and discovery of an environment in real time, for a sidecar that you start",
		ArgsUsage:   "WORLD.toml",
		Description: "The file is a script: a seed, and faults at their times. hazellab sim --show-script prints one.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Value: "sidecar.json", Usage: "write the sidecar's configuration to this `FILE`"},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:3000", Usage: "the `ADDRESS` at which that sidecar is to listen"},
			&cli.StringFlag{Name: "control", Value: defaultControlAddress, Usage: "the `ADDRESS` for hazellab trouble"},
		},
		Action: runServe,
	}
}

// runServe runs the environment of a script in real time until a signal, and writes the configuration of a sidecar for it.
func runServe(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError(errors.New("serve: one WORLD.toml is wanted"))
	}
	path := c.Args().First()
	text, err := os.ReadFile(path)
	if err != nil {
		return usageError(err)
	}
	script, err := environment.ReadRealScript(path, text, environment.StandardRanges())
	if err != nil {
		return usageError(err)
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	s := realtime.Server{Day: script.Day(environment.StandardRanges()), Script: *script, Listen: c.String("listen"), Config: c.String("config"),
		Control: c.String("control"), Out: c.Root().Writer}
	return s.Run(ctx)
}
