package main

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hazelwheel/internal/nodeconfig"
)

// reloadInterval is the time between two reads of the settings file, which may change without a signal.
const reloadInterval = 2 * time.Second

// watchSettings reads the settings file again on each signal and each reloadInterval, until the context ends, and sends the settings on the
// returned channel, which is never closed. A file that can't be used is logged, and the previous settings stay in force. So are the fields that take
// effect only after a restart, once for each change of them; running are the settings with which the process has started.
func watchSettings(ctx context.Context, running *nodeconfig.Settings, reloadSignals <-chan os.Signal, log *logrus.Entry) <-chan *nodeconfig.Settings {
	reloaded := make(chan *nodeconfig.Settings)
	go func() {
		var reported []string
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-reloadSignals:
			case <-ticker.C:
			}
			settings, err := nodeconfig.Load(nodeconfig.FilePath())
			if err != nil {
				log.WithError(err).Warn("settings reload failed")
				continue
			}
			fields := nodeconfig.FieldsNeedingRestart(running, settings)
			if len(fields) > 0 && !slices.Equal(fields, reported) {
				log.WithField("fields", fields).Warn("settings changed: restart to apply")
			}
			reported = fields
			select {
			case reloaded <- settings:
			case <-time.After(reloadInterval): // this role doesn't receive reloaded settings
			}
		}
	}()
	return reloaded
}
