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
	// saveIntervalSeconds is the time between two saves of the state. A state that takes long to encode is saved less often: the next save
	// comes after at least saveIntervalFactor times the duration of the last.
	saveIntervalSeconds = 0.5
	saveIntervalFactor  = 200
	// maxCheckpointBytes bounds the policy's part of a state.
	maxCheckpointBytes = 8 << 20
	// maxStateAgeSeconds is the age beyond which a state is not restored.
	maxStateAgeSeconds = 30
)

// restartState holds what saving state for a hot restart needs.
type restartState struct {
	store        StateStore
	settingsHash string // computed on first use
}

// StateStore stores the state and the operators' commands for the process that replaces this one.
type StateStore interface {
	// Cordon, Uncordon and SetDrained store an operator's command before it is acknowledged.
	Cordon(server string) error
	Uncordon(server string) error
	SetDrained(on bool) error
	// OperatorState returns the commands in effect, which may have been given to this process or to another that shares the store.
	OperatorState() (cordoned []string, drained bool, err error)
	// Save stores a state in the background and returns at once. The caller must not use the state afterwards.
	Save(s hotrestart.State)
}

// noStateStore is the store of a process that is never replaced.
type noStateStore struct{}

func (noStateStore) Cordon(string) error { return nil }

func (noStateStore) Uncordon(string) error { return nil }

func (noStateStore) SetDrained(bool) error { return nil }

func (noStateStore) OperatorState() ([]string, bool, error) { return nil, false, nil }

func (noStateStore) Save(hotrestart.State) {}

// SetStateStore makes the sidecar save its state and operators' commands, and apply the stored commands. It must be
// called before Start.
func (s *Sidecar) SetStateStore(store StateStore) {
	s.restart.store = store
	s.descriptors.reserved += hotrestart.Descriptors
}

// errSettingsChanged is returned for a state that was saved under other settings.
var errSettingsChanged = errors.New("the saved state was made under other settings")

// errStateExpired is returned for a state older than maxStateAgeSeconds.
var errStateExpired = errors.New("the saved state is too old")

// settingsHash returns a hash of the settings, which never change while the process runs.
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

// RestartState returns the state that the next process starts with, or false if it is too large. It must be called on the event loop while
// no event is being handled.
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

// RestoreState continues from another process's state. On an error nothing is changed. It must be called before Start.
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
	previousEvents := s.turn.events // they report the list in the configuration, which is older
	s.turn.events = nil
	if err := s.applyKnownList(state.EndpointList); err != nil {
		s.turn.events = previousEvents
		return err
	}
	s.balancer = balancer
	s.capture.Resume()
	return nil
}

// ReconcileOperatorState applies the operators' commands in the store, which may have been given to another process.
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
			s.endpoints.CordonName(name, s.now()) // takes effect once the server is listed
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

// MarkReplaced records that another process accepts connections in place of this one, so that the shutdown stops listening at once.
func (s *Sidecar) MarkReplaced() { s.lifecycle.isReplaced = true }
