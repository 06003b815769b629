package sidecar

import (
	"errors"

	"hazelwheel/internal/endpointset"
	"hazelwheel/policy"
)

// A fleet can relay lists and deltas from discovery, so that only a few sidecars keep a watch of their own. Relayed objects are applied
// like those of a watch. The policy is told that a watch is up while the relay confirms the list, and that it has failed when the relay
// stops.

// ListVersion identifies an endpoint list. Each discovery service has its own sequence of indices.
type ListVersion struct {
	DiscoveryAddress string // of the discovery service
	Index            uint64
	Checksum         uint64 // equal for equal lists
}

// ListReceiver is the interface through which a fleet passes relayed lists to the sidecar. The methods must be called on the event loop.
type ListReceiver interface {
	// DiscoveryAddress returns the address of the sidecar's discovery service.
	DiscoveryAddress() string
	// ListVersion returns the version of the present list, or false if there is no list.
	ListVersion() (ListVersion, bool)
	// CompleteList returns the present list in discovery's format.
	CompleteList() []byte
	// ApplyList applies a list or delta from discovery. One with a lower index than the present list is rejected with ErrStaleList. The
	// policy takes an applied object as a sign that a watch is up, so the caller must then call ConfirmList or InvalidateList.
	ApplyList(raw []byte) error
	// ConfirmList says that the present list is up to date. A watch is then not needed, and is closed unless SetDirectWatch keeps it.
	ConfirmList()
	// ExpireList says that the present list has not been confirmed for too long.
	ExpireList()
	// SetDirectWatch sets whether the sidecar keeps a watch of its own in addition to the relay.
	SetDirectWatch(on bool)
	// InvalidateList discards the list's version and requests the complete list by a watch. It is called if a relayed list turns out to
	// differ from discovery's.
	InvalidateList()
}

// ListObserver is notified on the event loop of what the sidecar's own watch receives.
type ListObserver interface {
	// ListRead reports an object after it was applied; before is the index of the list that it was applied to, and held is false if there
	// was no list. raw must not be retained; nil means that the list is unchanged.
	ListRead(before uint64, held bool, raw []byte)
	// WatchEnded reports the end of a watch that was up.
	WatchEnded()
}

var _ ListReceiver = (*Sidecar)(nil)

// listRelay is the sidecar's side of a relay.
type listRelay struct {
	observer       ListObserver // nil: there is no relay
	isActive       bool         // the relay confirms the list in place of a watch
	hasDirectWatch bool         // a watch is kept in addition to the relay
}

// SetListObserver sets the observer. It must be called before Start.
func (s *Sidecar) SetListObserver(observer ListObserver) { s.discovery.relay.observer = observer }

// ErrStaleList is returned for a list that is older than the present one.
var ErrStaleList = errors.New("the list is older than the present one")

// DiscoveryAddress implements ListReceiver.
func (s *Sidecar) DiscoveryAddress() string { return s.cfg.Discovery }

// ListVersion implements ListReceiver.
func (s *Sidecar) ListVersion() (v ListVersion, ok bool) {
	if v.Index, ok = s.endpoints.Index(); !ok {
		return v, false
	}
	v.DiscoveryAddress, v.Checksum = s.cfg.Discovery, s.endpoints.Checksum()
	return v, true
}

// CompleteList implements ListReceiver.
func (s *Sidecar) CompleteList() []byte { return s.endpoints.Snapshot() }

// ApplyList implements ListReceiver.
func (s *Sidecar) ApplyList(raw []byte) (err error) {
	index, _, err := endpointset.ParseHeader(raw)
	if err != nil {
		return err
	}
	if held, ok := s.endpoints.Index(); ok && index < held {
		return ErrStaleList
	}
	s.runCallback(func() { err = s.applyListObject(raw) })
	return err
}

// ConfirmList implements ListReceiver.
func (s *Sidecar) ConfirmList() {
	s.runCallback(func() {
		wasUp := s.discovery.isWatchUp()
		s.discovery.relay.isActive = true
		if s.discovery.listReadAt, s.discovery.isListRead = s.now(), true; s.discovery.watcher != nil && !s.discovery.relay.hasDirectWatch {
			s.discovery.watcher.stop()
		}
		if !wasUp {
			s.pushEndpoints(policy.ListDelta, nil)
		}
	})
}

// ExpireList implements ListReceiver.
func (s *Sidecar) ExpireList() {
	s.runCallback(func() {
		wasUp := s.discovery.isWatchUp()
		if s.discovery.relay.isActive = false; wasUp && !s.discovery.isWatchUp() {
			s.counters.WatchesFailed++
			s.requestWatch()
		}
	})
}

// SetDirectWatch implements ListReceiver.
func (s *Sidecar) SetDirectWatch(on bool) {
	s.runCallback(func() {
		if s.discovery.relay.hasDirectWatch = on; on && s.discovery.watcher == nil && !s.lifecycle.isStopping {
			s.startWatch()
		}
	})
}

// InvalidateList implements ListReceiver. If a wrong list was relayed, all sidecars need the complete list at the same time; so the watch
// is requested through the policy, which spreads the requests.
func (s *Sidecar) InvalidateList() {
	s.runCallback(func() {
		if s.discovery.watcher != nil {
			s.discovery.watcher.stop()
		}
		s.discovery.relay.isActive = false
		s.endpoints.ForgetIndex()
		switch {
		case s.lifecycle.isStopping:
		case s.discovery.relay.hasDirectWatch:
			s.startWatch()
		default:
			s.counters.WatchesFailed++
			s.requestWatch()
		}
	})
}

// restartDirectWatch restarts a direct watch that has failed.
func (s *Sidecar) restartDirectWatch() {
	if s.discovery.relay.hasDirectWatch && s.discovery.watcher == nil && !s.lifecycle.isStopping {
		s.startWatch()
	}
}
