package sidecar

import (
	"reflect"

	"hazelwheel/internal/sidecarconfig"
)

// Reload applies a new configuration, or keeps the present one if err is not nil. The discovery address and the limits change at once; all
// other changes need a restart.
func (s *Sidecar) Reload(cfg sidecarconfig.Config, err error) {
	if err != nil {
		s.counters.ConfigReloadsFailed++
		s.log.Error("configuration rejected, the present one stays in use", "error", err)
		return
	}
	s.counters.ConfigReloads++
	old := &s.cfg
	for _, setting := range []struct {
		field   string
		changed bool
	}{
		{"name", cfg.Name != old.Name},
		{"listen", cfg.Listen != old.Listen},
		{"ops", cfg.Ops != old.Ops},
		// The policy's state was built up under these settings, so they are not replaced at run time, not even in part.
		{"settings", !reflect.DeepEqual(cfg.Settings, old.Settings)},
	} {
		if setting.changed {
			s.log.Warn("change takes effect after a restart", "field", setting.field)
		}
	}
	if cfg.Limits != old.Limits {
		old.Limits = cfg.Limits
		s.applyLimits()
	}
	s.log.Info("configuration read", "discovery", cfg.Discovery, "before", old.Discovery)
	if cfg.Discovery != old.Discovery {
		old.Discovery = cfg.Discovery
		s.replaceWatch()
	}
}

// replaceWatch closes the present watch and starts one at the new discovery service at once. The present list stays in use until the new
// service has sent its own. The new service may number its lists differently, and changes since an index of the old service would leave
// entries out; so the complete list is requested.
func (s *Sidecar) replaceWatch() {
	if s.discovery.watcher != nil {
		s.discovery.watcher.stop()
	}
	s.discovery.relay.isActive = false // it confirmed the list of the old service
	s.endpoints.ForgetIndex()
	s.ensureWatch()
}
