package sidecar

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"slices"

	"hazelwheel/internal/hotrestart"
	"hazelwheel/policy"
)

const (
	// saveEveryS is the time between two states that are kept for a successor. One that takes long to make is made more
	// seldom, so that it never takes more than a part of the loop's time.
	saveIntervalSeconds = 0.5
	saveIntervalFactor  = 200
	// mostCheckpoint bounds the decisions' part of a state, in bytes.
	maxCheckpointBytes = 8 << 20
	// oldestS is how old a state may be that a successor takes.
	maxStateAgeSeconds = 30
)

// restartState is what hot restarts need beside the state that they hand on.
type restartState struct {
	store        StateStore
	settingsHash string // empty until it was asked for
}

// StateStore is where what a successor needs is kept.
type StateStore interface {
	// Ban, Lift and Away note what operators have said, before they are told yes.
	Cordon(server string) error
	Uncordon(server string) error
	SetDrained(on bool) error
	// ReadRequest returns what has been said, at this process or at its neighbours.
	OperatorState() (bans []string, away bool, err error)
	// Save takes a state over and returns at once.
	Save(s hotrestart.State)
}

// noStateStore is that of a process that has no successor.
type noStateStore struct{}

func (noStateStore) Cordon(string) error { return nil }

func (noStateStore) Uncordon(string) error { return nil }

func (noStateStore) SetDrained(bool) error { return nil }

func (noStateStore) OperatorState() ([]string, bool, error) { return nil, false, nil }

func (noStateStore) Save(hotrestart.State) {}

// SetKeepAlive has the sidecar keep on a shelf what a successor needs, and obey what lies there. It comes before Start.
func (s *Sidecar) SetStateStore(shelf StateStore) {
	s.restart.store = shelf
	s.descriptors.reserved += hotrestart.Descriptors
}

// errSettings is why a state is not taken that was learned under others.
var errSettingsChanged = errors.New("the hand-over was made under other settings")

// errOld is why a state is not taken that was made long ago.
var errStateExpired = errors.New("the hand-over is old")

// settingsHash tells settings apart. They stay as they were at the start.
func (s *Sidecar) settingsHash() string {
	if s.restart.settingsHash == "" {
		raw, err := json.Marshal(s.cfg.Settings)
		if err != nil { // numbers and names always marshal
			panic(err)
		}
		sum := sha256.Sum256(raw)
		s.restart.settingsHash = hex.EncodeToString(sum[:])
	}
	return s.restart.settingsHash
}

// RestartState returns what a successor begins with. It is for the loop, between events.
func (s *Sidecar) RestartState() (state hotrestart.State, ok bool) {
	state = hotrestart.State{UnixSeconds: s.now(), SettingsHash: s.settingsHash(), EndpointList: s.endpoints.Export()}
	state.PolicyCheckpoint, ok = s.balancer.Checkpoint(nil, maxCheckpointBytes)
	return state, ok
}

// save keeps the state, again and again.
func (s *Sidecar) saveRestartState() {
	startedAt := s.net.Now()
	if state, ok := s.RestartState(); ok {
		s.restart.store.Save(state)
	} else {
		s.warnLimited("the state for a successor is too large to be kept")
	}
	s.timers.schedule(s.now()+max(saveIntervalSeconds, saveIntervalFactor*(s.net.Now()-startedAt)), s.saveRestartState)
}

// RestoreState goes on from another process's state, or leaves everything as it is. It comes before Start.
func (s *Sidecar) RestoreState(state hotrestart.State) error {
	now := s.now()
	switch {
	case state.SettingsHash != s.settingsHash():
		return errSettingsChanged
	case now-state.UnixSeconds > maxStateAgeSeconds:
		return errStateExpired
	}
	balancer, err := policy.RestoreSuccessor(s.cfg.Settings.Policy, state.PolicyCheckpoint, now, s)
	if err != nil {
		return err
	}
	previousEvents := s.turn.events // the list that was last known, which is older
	s.turn.events = nil
	if err := s.applyKnownList(state.EndpointList); err != nil {
		s.turn.events = previousEvents
		return err
	}
	s.balancer = balancer
	s.capture.Resume()
	return nil
}

// ReconcileOperatorState obeys what lies on the shelf: operators may have spoken to a neighbour.
func (s *Sidecar) ReconcileOperatorState() {
	cordoned, drained, err := s.restart.store.OperatorState()
	if err != nil {
		s.log.Error("what operators have said can't be read", "error", err)
		return
	}
	var infos []policy.HostInfo
	for _, name := range cordoned {
		if info, err := s.endpoints.Cordon(name, s.now()); err == nil {
			infos = append(infos, info)
		} else {
			s.endpoints.CordonName(name, s.now()) // it counts once the list names it
		}
	}
	for _, name := range s.endpoints.Cordoned() {
		if !slices.Contains(cordoned, name) {
			if info, err := s.endpoints.Uncordon(name, s.now()); err == nil {
				infos = append(infos, info)
			}
		}
	}
	if len(infos) > 0 {
		s.pushServerChange(infos...)
	}
	if s.lifecycle.isDrained != drained && !s.lifecycle.isShuttingDown {
		s.setDrained(drained)
	}
}

// MarkReplaced tells that another process serves in this one's place: when this one ends, nobody depends on it to accept.
func (s *Sidecar) MarkReplaced() { s.lifecycle.isReplaced = true }
