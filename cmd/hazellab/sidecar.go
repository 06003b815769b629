package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/featureconfig"
	"hazelwheel/internal/process"
	"hazelwheel/internal/sidecarconfig"
)

func sidecarCommand() *cli.Command {
	return &cli.Command{
		Name:  "sidecar",
		Usage: "run the sidecar of this program's version, and write a profile of its CPU time when it ends",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Required: true, Usage: "the configuration `FILE`"},
			&cli.StringFlag{Name: "cpu-profile", Required: true, Usage: "the `FILE` for the profile, in the format of pprof"},
		},
		Action: runSidecar,
	}
}

// runSidecar runs the sidecar until it has shut down, under the CPU profiler.
func runSidecar(_ context.Context, c *cli.Command) (err error) {
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	path := c.String("config")
	cfg, err := sidecarconfig.Load(path, os.Getenv)
	if err != nil {
		return usageError(err)
	}
	s, err := process.New(cfg, featureconfig.Features{}, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	f, err := os.Create(c.String("cpu-profile"))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if err := pprof.StartCPUProfile(f); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	return s.Run(reloadSignals, nil, func() (sidecarconfig.Config, error) { return cfg.Reload(path, os.Getenv) })
}
