package main

import (
	"context"
	"os"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"hazelwheel/internal/agent"
	"hazelwheel/internal/control"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/proxy"
)

// runRole runs a role until the context ends and its graceful shutdown is complete. It returns the exit status.
func runRole(ctx context.Context, role string, settings *nodeconfig.Settings, reloadSignals <-chan os.Signal) int {
	log := logrus.WithField("node", settings.NodeID).WithField("role", role)
	for _, warning := range settings.Warnings() {
		log.WithField("warning", warning).Warn("settings warning")
	}
	reload := watchSettings(ctx, settings, reloadSignals, log)
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
		log.WithError(err).Error("role failed")
		return exitFailure
	}
	return exitOK
}

// runAgent runs an agent and, on machines whose disk counts, control in the same process, so that no machine runs a third process. If one
// of the two fails, the other is shut down.
func runAgent(ctx context.Context, settings *nodeconfig.Settings, reload <-chan *nodeconfig.Settings, log *logrus.Entry) error {
	if !settings.StoresConfig() {
		return agent.Run(ctx, settings, reload, log)
	}
	group, ctx := errgroup.WithContext(ctx)
	agentReload, controlReload := make(chan *nodeconfig.Settings), make(chan *nodeconfig.Settings)
	go func() {
		for changed := range reload {
			sendSettings(ctx, agentReload, changed)
			sendSettings(ctx, controlReload, changed)
		}
	}()
	group.Go(func() error { return agent.Run(ctx, settings, agentReload, log) })
	group.Go(func() error { return control.Run(ctx, settings, controlReload, log.WithField("role", "control")) })
	return group.Wait()
}

// runControl runs control. On a machine whose disk doesn't count, it redirects operators' requests to control processes on other machines
// instead.
func runControl(ctx context.Context, settings *nodeconfig.Settings, reload <-chan *nodeconfig.Settings, log *logrus.Entry) error {
	if settings.StoresConfig() {
		return control.Run(ctx, settings, reload, log)
	}
	log.Warn("machine stores no configuration, operator requests are redirected to other control processes")
	return agent.RunRedirector(ctx, settings, reload, log)
}

// sendSettings passes settings to a role. It blocks until the role receives them or the context ends.
func sendSettings(ctx context.Context, to chan<- *nodeconfig.Settings, changed *nodeconfig.Settings) {
	select {
	case to <- changed:
	case <-ctx.Done():
	}
}
