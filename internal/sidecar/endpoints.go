package sidecar

import (
	"errors"
	"maps"
	"slices"

	"hazelwheel/policy"
)

// warnMalformedList logs that discovery has sent a malformed list, unless the previous list failed with the same error.
func (s *Sidecar) warnMalformedList(err error) {
	if errors.Is(err, ErrStaleList) || err.Error() == s.discovery.lastListError {
		return
	}
	s.discovery.lastListError = err.Error()
	s.log.Warn("discovery has sent a malformed list, the present one stays in use", "discovery", s.cfg.Discovery, "error", err)
}

// applyKnownList applies a list from the configuration or a saved state, and reports it to the policy.
func (s *Sidecar) applyKnownList(raw []byte) error {
	infos, err := s.endpoints.ApplyCached(raw, s.now())
	if err != nil {
		return err
	}
	s.pushEndpoints(policy.ListCached, infos)
	s.closeUnusableIdleConns()
	return nil
}

// applyListObject applies a list or delta sent by discovery, and reports it to the policy.
func (s *Sidecar) applyListObject(raw []byte) error {
	snapshot, infos, err := s.endpoints.Apply(raw, s.now())
	if err != nil {
		return err
	}
	s.counters.ListsApplied++
	s.discovery.lastListError = ""
	kind := policy.ListDelta
	if snapshot {
		kind = policy.ListFull
	}
	s.pushEndpoints(kind, infos)
	s.closeUnusableIdleConns()
	return nil
}

// closeUnusableIdleConns closes the idle connections to servers that accept no attempts.
func (s *Sidecar) closeUnusableIdleConns() {
	for _, id := range slices.Sorted(maps.Keys(s.backends.idle)) {
		if !s.acceptsAttempts(id) {
			s.closeIdleConns(id)
			delete(s.backends.idle, id)
		}
	}
}

// pushEndpoints reports changes of the endpoint list to the policy.
func (s *Sidecar) pushEndpoints(kind policy.ListKind, infos []policy.HostInfo) {
	s.pushEvent(func(now float64) {
		s.capture.RecordHosts(now, kind, infos)
		s.balancer.UpdateHosts(now, kind, infos)
	})
}
