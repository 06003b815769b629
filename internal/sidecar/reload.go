package sidecar

import (
	"reflect"

	"hazelwheel/internal/sidecarconfig"
)

// Reload takes a new configuration into use, or keeps the old one where it is at fault.
func (s *Sidecar) Reload(cfg sidecarconfig.Config, err error) {
	if err != nil {
		s.counters.ConfigReloadsFailed++
		s.log.Error("the configuration stays as it was", "error", err)
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
		// The decisions have learned under these settings; none of them is taken without the others.
		{"settings", !reflect.DeepEqual(cfg.Settings, old.Settings)},
	} {
		if setting.changed {
			s.log.Warn("this change waits for a restart", "field", setting.field)
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

// rewatch begins a watch at another discovery service at once, whatever the present one is about. The list is
// kept until the new service has told its own. Danger: its versions need not be those of the old service, and
// changes since a version that it counts otherwise would leave entries out; the whole list is asked for.
func (s *Sidecar) replaceWatch() {
	if s.discovery.watcher != nil {
		s.discovery.watcher.stop()
	}
	s.discovery.relay.isActive = false // what was passed on was the old service's
	s.endpoints.ForgetIndex()
	s.ensureWatch()
}
