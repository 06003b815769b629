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

// load reads the configuration and the file of features, if one is named.
func load(c *cli.Command) (cfg sidecarconfig.Config, on featureconfig.Features, err error) {
	if cfg, err = sidecarconfig.Load(c.String("config"), os.Getenv); err != nil {
		return cfg, on, fault(err)
	}
	if path := c.String("features"); path != "" {
		if on, err = featureconfig.Load(path, &cfg); err != nil {
			return cfg, on, fault(err)
		}
	}
	return cfg, on, nil
}

// serve ends with the counters on standard output.
func serve(_ context.Context, c *cli.Command) error {
	// Danger: a SIGHUP that nobody catches ends the process, also while it is still reading its configuration.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	// The same of SIGUSR1, where there may be a capture to dump; without the file of features nothing heeds it.
	dumps := make(chan os.Signal, 1)
	if c.String("features") != "" {
		signal.Notify(dumps, syscall.SIGUSR1)
	}
	cfg, on, err := load(c)
	if err != nil {
		return err
	}
	if !on.Capture.Enabled {
		signal.Stop(dumps)
	}
	level := slog.LevelInfo
	if c.Bool("verbose") {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	for _, doubt := range cfg.Doubts {
		log.Warn("configuration", "says", doubt)
	}
	s, err := process.New(cfg, on, log)
	if err != nil {
		return err
	}
	advice := adviser{log, map[string]bool{}}
	advice.look(c.String("config"), c.String("features"))
	err = s.Run(hangups, dumps, func() (sidecarconfig.Config, error) {
		advice.look(c.String("config"), c.String("features"))
		return cfg.Reload(c.String("config"), os.Getenv)
	})
	if errors.Is(err, sockets.ErrNotListeningSocket) || errors.Is(err, admin.ErrListen) {
		return fault(err)
	}
	fmt.Fprintf(c.Root().Writer, "%s", s.Counters())
	return err
}

func check(_ context.Context, c *cli.Command) error {
	sayFindings(c.Root().Writer, c.String("config"), c.String("features"))
	cfg, on, err := load(c)
	if err != nil {
		return err
	}
	if _, err := process.New(cfg, on, slog.New(slog.DiscardHandler)); err != nil { // what it is told must be usable, too
		return err
	}
	s := cfg.Settings.Policy
	fmt.Fprintf(c.Root().Writer, "%s: listens at %s, discovery at %s, %d classes, instance %d of %d\n",
		cfg.Name, cfg.Listen, cfg.Discovery, len(s.Classes), s.Self+1, s.Replicas)
	if c.String("features") != "" {
		fmt.Fprintf(c.Root().Writer, "%s: features: %s\n", cfg.Name, &on)
	}
	return nil
}
