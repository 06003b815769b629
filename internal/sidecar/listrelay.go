package sidecar

import (
	"errors"

	"hazelwheel/internal/endpointset"
	"hazelwheel/policy"
)

// A fleet can relay what discovery sends, so that few sidecars watch it. Relayed objects are applied like discovery's; to the policy a
// watch is up while the relay confirms the list, and has failed when it no longer does.

// ListVersion identifies an endpoint list. Each discovery service has its own sequence of indices.
type ListVersion struct {
	DiscoveryAddress string // of the discovery service
	Index            uint64
	Checksum         uint64 // equal for equal lists
}

// ListReceiver is how a fleet that relays lists updates the sidecar. The methods are for the event loop.
type ListReceiver interface {
	// DiscoveryAddress returns the address of the sidecar's discovery service.
	DiscoveryAddress() string
	// ListVersion returns the version of the present list; false: there is none.
	ListVersion() (ListVersion, bool)
	// CompleteList returns the present list in discovery's format.
	CompleteList() []byte
	// ApplyList applies one object of discovery. One with a lower index than the present list's is rejected with ErrStaleList. After one
	// that was applied ConfirmList or InvalidateList follows: to the policy it is a sign that a watch is up.
	ApplyList(raw []byte) error
	// ConfirmList says that the present list was discovery's a moment ago: a watch is not needed, and is closed unless SetDirectWatch keeps
	// it. ExpireList says that it has not been so for too long.
	ConfirmList()
	ExpireList()
	// SetDirectWatch sets whether the sidecar keeps a watch of its own whatever is relayed.
	SetDirectWatch(on bool)
	// InvalidateList discards the list's version and starts a watch for the complete list: what was relayed is not what discovery sends.
	InvalidateList()
}

// ListObserver is notified of what the sidecar's own watch receives, on the event loop.
type ListObserver interface {
	// ListRead reports an object, after it was applied to the list of index before; held is false if there was no list. raw must not be
	// kept; nil means that the list is unchanged.
	ListRead(before uint64, held bool, raw []byte)
	// WatchEnded reports the end of a watch that was up.
	WatchEnded()
}

var _ ListReceiver = (*Sidecar)(nil)

// listRelay is the sidecar's side of a relay.
type listRelay struct {
	observer       ListObserver // nil: there is no relay
	isActive       bool         // it confirms the list in place of a watch
	hasDirectWatch bool         // a watch is kept beside it
}

// SetListObserver sets the observer. It comes before Start.
func (s *Sidecar) SetListObserver(observer ListObserver) { s.discovery.relay.observer = observer }

// ErrStaleList rejects a list that is older than the present one.
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

// InvalidateList implements ListReceiver. Danger: all sidecars ask for the list that all received wrongly; the policy asks in turn.
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

// restartDirectWatch starts a direct watch again after it has failed.
func (s *Sidecar) restartDirectWatch() {
	if s.discovery.relay.hasDirectWatch && s.discovery.watcher == nil && !s.lifecycle.isStopping {
		s.startWatch()
	}
}
