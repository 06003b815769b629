package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"hazelwheel/internal/agent"
	"hazelwheel/internal/control"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/proxy"
)

func start(role string, settings *nodeconfig.Settings, hangups <-chan os.Signal) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := logrus.WithField("node", settings.NodeID).WithField("role", role)
	for _, doubt := range settings.Warnings() {
		log.Warn("settings: " + doubt)
	}
	reload := watch(ctx, hangups, log)
	var err error
	switch role {
	case roleProxy:
		err = proxy.Run(ctx, settings, log)
	case roleAgent:
		err = runAgent(ctx, settings, reload, log)
	case roleControl:
		err = runControl(ctx, settings, reload, log)
	}
	if err != nil {
		log.WithError(err).Error("ended")
		return statusFailed
	}
	return 0
}

// runAgent runs an agent, and control in the same process on machines whose disk counts: no machine runs a third process.
func runAgent(ctx context.Context, settings *nodeconfig.Settings, reload <-chan *nodeconfig.Settings, log *logrus.Entry) error {
	if !settings.StoresConfig() {
		return agent.Run(ctx, settings, reload, log)
	}
	group, ctx := errgroup.WithContext(ctx)
	forAgent, forControl := make(chan *nodeconfig.Settings), make(chan *nodeconfig.Settings)
	go func() {
		for changed := range reload {
			offer(ctx, forAgent, changed)
			offer(ctx, forControl, changed)
		}
	}()
	group.Go(func() error { return agent.Run(ctx, settings, forAgent, log) })
	group.Go(func() error { return control.Run(ctx, settings, forControl, log.WithField("role", "control")) })
	return group.Wait()
}

// runControl runs control, or where this machine's disk doesn't count what names a control process to the operator.
func runControl(ctx context.Context, settings *nodeconfig.Settings, reload <-chan *nodeconfig.Settings, log *logrus.Entry) error {
	if settings.StoresConfig() {
		return control.Run(ctx, settings, reload, log)
	}
	log.Warn("this machine's disk doesn't count: the operator is sent on to control processes of other machines")
	return agent.RunRedirector(ctx, settings, reload, log)
}

// offer hands settings to a role, unless it has ended.
func offer(ctx context.Context, to chan<- *nodeconfig.Settings, changed *nodeconfig.Settings) {
	select {
	case to <- changed:
	case <-ctx.Done():
	}
}
