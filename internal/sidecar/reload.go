package sidecar

import (
	"reflect"

	"hazelwheel/internal/sidecarconfig"
)

// Reload applies a new configuration, or keeps the present one if err is not nil. Discovery's address and the limits change at once; the
// rest takes effect with a restart.
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
		// The policy has learned under these settings; none of them changes without the others.
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

// replaceWatch starts a watch at another discovery service at once, whatever state the present one is in. The list is kept until the new
// service has sent its own. Danger: its indices need not be those of the old service, and changes since an index with another meaning would
// leave entries out; the complete list is requested.
func (s *Sidecar) replaceWatch() {
	if s.discovery.watcher != nil {
		s.discovery.watcher.stop()
	}
	s.discovery.relay.isActive = false // the relay was about the old service
	s.endpoints.ForgetIndex()
	s.ensureWatch()
}
