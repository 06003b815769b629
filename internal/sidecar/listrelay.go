package sidecar

import (
	"errors"

	"hazelwheel/internal/endpointset"
	"hazelwheel/policy"
)

// A fleet can pass on what discovery says, so that few sidecars watch it. What is passed on is applied as if it had come from
// discovery; to the decisions a watch is up, and it has broken when nothing is passed on any more.

// ListVersion names a list. Discovery services count each their own.
type ListVersion struct {
	DiscoveryAddress string // its address
	Index            uint64
	Checksum         uint64 // equal at lists that say the same
}

// ListReceiver is what a fleet that passes lists on asks of the sidecar, and tells it. All is for the loop.
type ListReceiver interface {
	// DiscoveryAddress returns the address of the discovery service that the sidecar goes by.
	DiscoveryAddress() string
	// ListVersion returns the version of the list that is held; false: it has none.
	ListVersion() (ListVersion, bool)
	// CompleteList returns the list that is held, as discovery would write it.
	CompleteList() []byte
	// TakeList applies one object of discovery's. One whose index is lower than that of the list that is held is ErrOldList. After
	// one that was applied Fed or Distrust follows: to the decisions it is a sign that a watch is up.
	ApplyList(raw []byte) error
	// ConfirmList tells that the list that is held was discovery's a moment ago: a watch is not needed, and ends unless WatchOwn holds it.
	// ExpireList tells that it was not so for too long.
	ConfirmList()
	ExpireList()
	// SetDirectWatch has the sidecar hold a watch of its own whatever is passed on, or ends that.
	SetDirectWatch(on bool)
	// InvalidateList has it ask for the whole list: what was passed on is not what discovery says.
	InvalidateList()
}

// ListObserver is told of what discovery says to the sidecar's own watch, on the loop.
type ListObserver interface {
	// ListRead takes an object, after it was applied to the list of an index; false: to none. Raw is not kept; nil: all is as it was.
	ListRead(before uint64, held bool, raw []byte)
	// WatchEnded takes the end of a watch that was up.
	WatchEnded()
}

var _ ListReceiver = (*Sidecar)(nil)

// passed is what a sidecar knows of what is passed on to it.
type listRelay struct {
	observer       ListObserver // nil: nobody passes anything on
	isActive       bool         // what others pass on takes the place of a watch
	hasDirectWatch bool         // a watch of its own is held beside
}

// SetListObserver has a fleet told of what discovery says. It comes before Start.
func (s *Sidecar) SetListObserver(to ListObserver) { s.discovery.relay.observer = to }

// ErrStaleList is the fault of a list that is older than the one that is held.
var ErrStaleList = errors.New("the list is older than the one that is held")

// DiscoveryAddress is for the loop.
func (s *Sidecar) DiscoveryAddress() string { return s.cfg.Discovery }

// ListVersion is for the loop.
func (s *Sidecar) ListVersion() (v ListVersion, ok bool) {
	if v.Index, ok = s.endpoints.Index(); !ok {
		return v, false
	}
	v.DiscoveryAddress, v.Checksum = s.cfg.Discovery, s.endpoints.Checksum()
	return v, true
}

// CompleteList is for the loop.
func (s *Sidecar) CompleteList() []byte { return s.endpoints.Snapshot() }

// ApplyList is for the loop.
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

// ConfirmList is for the loop.
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

// ExpireList is for the loop.
func (s *Sidecar) ExpireList() {
	s.runCallback(func() {
		wasUp := s.discovery.isWatchUp()
		if s.discovery.relay.isActive = false; wasUp && !s.discovery.isWatchUp() {
			s.counters.WatchesFailed++
			s.requestWatch()
		}
	})
}

// SetDirectWatch is for the loop.
func (s *Sidecar) SetDirectWatch(on bool) {
	s.runCallback(func() {
		if s.discovery.relay.hasDirectWatch = on; on && s.discovery.watcher == nil && !s.lifecycle.isStopping {
			s.startWatch()
		}
	})
}

// InvalidateList is for the loop. Danger: what all were told wrong all ask about; the decisions know how to do that in turn.
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

// again begins a watch of one's own once more that has failed.
func (s *Sidecar) restartDirectWatch() {
	if s.discovery.relay.hasDirectWatch && s.discovery.watcher == nil && !s.lifecycle.isStopping {
		s.startWatch()
	}
}
