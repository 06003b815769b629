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
	// saveIntervalSeconds is the time between two saved states. A state that takes long to make is saved less often: the time to the next
	// is at least saveIntervalFactor times the time that it took.
	saveIntervalSeconds = 0.5
	saveIntervalFactor  = 200
	// maxCheckpointBytes bounds the policy's part of a state.
	maxCheckpointBytes = 8 << 20
	// maxStateAgeSeconds bounds the age of a state that is restored.
	maxStateAgeSeconds = 30
)

// restartState is what a hot restart needs beside the state that it hands over.
type restartState struct {
	store        StateStore
	settingsHash string // empty until it was asked for
}

// StateStore keeps what the next process needs.
type StateStore interface {
	// Cordon, Uncordon and SetDrained store an operator's command before it is acknowledged.
	Cordon(server string) error
	Uncordon(server string) error
	SetDrained(on bool) error
	// OperatorState returns the commands in effect, of this process and of those that serve beside it.
	OperatorState() (cordoned []string, drained bool, err error)
	// Save takes a state over and returns at once.
	Save(s hotrestart.State)
}

// noStateStore is the store of a process that is never replaced.
type noStateStore struct{}

func (noStateStore) Cordon(string) error { return nil }

func (noStateStore) Uncordon(string) error { return nil }

func (noStateStore) SetDrained(bool) error { return nil }

func (noStateStore) OperatorState() ([]string, bool, error) { return nil, false, nil }

func (noStateStore) Save(hotrestart.State) {}

// SetStateStore makes the sidecar save its state and operators' commands, and obey the stored commands. It comes before Start.
func (s *Sidecar) SetStateStore(store StateStore) {
	s.restart.store = store
	s.descriptors.reserved += hotrestart.Descriptors
}

// errSettingsChanged rejects a state that was made under other settings.
var errSettingsChanged = errors.New("the saved state was made under other settings")

// errStateExpired rejects a state that is too old.
var errStateExpired = errors.New("the saved state is too old")

// settingsHash identifies the settings, which never change while the process runs.
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

// RestartState returns what the next process starts with; false: it is too large. It is for the event loop, between events.
func (s *Sidecar) RestartState() (state hotrestart.State, ok bool) {
	state = hotrestart.State{
		UnixSeconds:  s.now(),
		SettingsHash: s.settingsHash(),
		EndpointList: s.endpoints.Export(),
	}
	state.PolicyCheckpoint, ok = s.balancer.Checkpoint(nil, maxCheckpointBytes)
	return state, ok
}

// saveRestartState saves the state, periodically.
func (s *Sidecar) saveRestartState() {
	startedAt := s.net.Now()
	if state, ok := s.RestartState(); ok {
		s.restart.store.Save(state)
	} else {
		s.warnLimited("hot restart state too large, not saved")
	}
	s.timers.schedule(s.now()+max(saveIntervalSeconds, saveIntervalFactor*(s.net.Now()-startedAt)), s.saveRestartState)
}

// RestoreState continues from another process's state, or leaves everything as it is and returns why. It comes before Start.
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
	previousEvents := s.turn.events // of the list in the configuration, which is older
	s.turn.events = nil
	if err := s.applyKnownList(state.EndpointList); err != nil {
		s.turn.events = previousEvents
		return err
	}
	s.balancer = balancer
	s.capture.Resume()
	return nil
}

// ReconcileOperatorState applies the stored commands of operators, which may have been given to another process.
func (s *Sidecar) ReconcileOperatorState() {
	cordoned, drained, err := s.restart.store.OperatorState()
	if err != nil {
		s.log.Error("operators' commands can't be read", "error", err)
		return
	}
	var infos []policy.HostInfo
	for _, name := range cordoned {
		if info, err := s.endpoints.Cordon(name, s.now()); err == nil {
			infos = append(infos, info)
		} else {
			s.endpoints.CordonName(name, s.now()) // it takes effect when the list names the server
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

// MarkReplaced notes that another process accepts connections in this one's place: the shutdown need not wait for newcomers.
func (s *Sidecar) MarkReplaced() { s.lifecycle.isReplaced = true }
