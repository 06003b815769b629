package main

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"hazelwheel/internal/nodeconfig"
)

// watch reads the settings file again after SIGHUP and now and then. A file that can't be used is passed over.
func watch(ctx context.Context, hangups <-chan os.Signal, log *logrus.Entry) <-chan *nodeconfig.Settings {
	changed := make(chan *nodeconfig.Settings)
	go func() {
		ticker := time.NewTicker(reloadEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
			case <-ticker.C:
			}
			settings, err := nodeconfig.Load(nodeconfig.FilePath())
			if err != nil {
				log.WithError(err).Warn("the settings are kept")
				continue
			}
			select {
			case changed <- settings:
			case <-time.After(reloadEvery): // this role heeds none
			}
		}
	}()
	return changed
}
