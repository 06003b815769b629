package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/featureconfig"
	"hazelwheel/internal/frontend/admin"
	"hazelwheel/internal/netio/sockets"
	"hazelwheel/internal/process"
	"hazelwheel/internal/sidecarconfig"
)

// loadConfig reads the file that --config names and the one that --features names, if any. Its errors are usage errors.
func loadConfig(c *cli.Command) (cfg sidecarconfig.Config, features featureconfig.Features, err error) {
	if cfg, err = sidecarconfig.Load(c.String("config"), os.Getenv); err != nil {
		return cfg, features, usageError(err)
	}
	if path := c.String("features"); path != "" {
		if features, err = featureconfig.Load(path, &cfg); err != nil {
			return cfg, features, usageError(err)
		}
	}
	return cfg, features, nil
}

// serve runs the sidecar until it has shut down, then prints its counters on standard output. An address that can't be listened on is a
// usage error.
func serve(_ context.Context, c *cli.Command) error {
	// Danger: an uncaught SIGHUP ends the process, also while it still reads its configuration.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	// SIGUSR1 is caught this early too, where the features may have a capture that it dumps. The Go runtime ignores it otherwise.
	dumpSignals := make(chan os.Signal, 1)
	if c.String("features") != "" {
		signal.Notify(dumpSignals, syscall.SIGUSR1)
	}
	cfg, features, err := loadConfig(c)
	if err != nil {
		return err
	}
	if !features.Capture.Enabled {
		signal.Stop(dumpSignals)
	}
	level := slog.LevelInfo
	if c.Bool("verbose") {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	for _, warning := range cfg.Warnings {
		log.Warn("configuration warning", "message", warning)
	}
	sidecar, err := process.New(cfg, features, log)
	if err != nil {
		return err
	}
	findings := findingLogger{log, map[string]bool{}}
	findings.logNew(c.String("config"), c.String("features"))
	err = sidecar.Run(reloadSignals, dumpSignals, func() (sidecarconfig.Config, error) {
		findings.logNew(c.String("config"), c.String("features"))
		return cfg.Reload(c.String("config"), os.Getenv)
	})
	if errors.Is(err, sockets.ErrNotListeningSocket) || errors.Is(err, admin.ErrListen) {
		return usageError(err)
	}
	fmt.Fprintf(c.Root().Writer, "%s", sidecar.Counters())
	return err
}

// check prints the findings of the checks, and a summary of a configuration by which the sidecar would start.
func check(_ context.Context, c *cli.Command) error {
	printFindings(c.Root().Writer, c.String("config"), c.String("features"))
	cfg, features, err := loadConfig(c)
	if err != nil {
		return err
	}
	// The files may parse and still hold what the sidecar can't start with.
	if _, err := process.New(cfg, features, slog.New(slog.DiscardHandler)); err != nil {
		return err
	}
	s := cfg.Settings.Policy
	fmt.Fprintf(c.Root().Writer, "%s: listens at %s, discovery at %s, %d classes, instance %d of %d\n",
		cfg.Name, cfg.Listen, cfg.Discovery, len(s.Classes), s.Self+1, s.Replicas)
	if c.String("features") != "" {
		fmt.Fprintf(c.Root().Writer, "%s: features: %s\n", cfg.Name, &features)
	}
	return nil
}
