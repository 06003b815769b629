// Package hotrestart hands the state of a sidecar over to the process that replaces it, through a folder that both use. Each cordoned server
// and a drain by operators is a file of its own, so that it takes effect in all processes at once. All other state is in one file, which is
// read completely or not at all.
package hotrestart

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
)

// The state file starts with a line of magic, version, and the length and CRC-32 of the rest, which is the state as JSON. The version must
// change with each change of State that another version of the program would misread.
const (
	magic   = "hazelwheel-handover"
	version = 1
	// maxHeaderBytes limits the first line.
	maxHeaderBytes = 100
)

// State is what the next process starts from.
type State struct {
	UnixSeconds      float64         `json:"At"`       // when the state was captured
	SettingsHash     string          `json:"Settings"` // hash of the settings in force
	EndpointList     json.RawMessage `json:"List"`     // from endpointset.Set.Export
	PolicyCheckpoint []byte          `json:"Module"`
}

var (
	// ErrUnknownFormat is wrapped by the errors of Decode for a file that is not a state of this version.
	ErrUnknownFormat = errors.New("not a hot restart state of this version")
	// ErrCorrupt is wrapped by the errors of Decode for a file that is incomplete or damaged.
	ErrCorrupt = errors.New("hot restart state is incomplete or damaged")
)

// Encode returns the stored form of a state.
func Encode(s State) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("hotrestart: %w", err)
	}
	return append(fmt.Appendf(nil, "%s %d %d %08x\n", magic, version, len(body), crc32.ChecksumIEEE(body)), body...), nil
}

// Decode parses the stored form that Encode returns. The error wraps ErrUnknownFormat or ErrCorrupt.
func Decode(raw []byte) (s State, err error) {
	header, body, _ := bytes.Cut(raw, []byte{'\n'})
	var fileMagic string
	var fileVersion, length int
	var checksum uint32
	n, _ := fmt.Sscanf(string(header[:min(len(header), maxHeaderBytes)]), "%s %d %d %x", &fileMagic, &fileVersion, &length, &checksum)
	if n < 2 || fileMagic != magic || fileVersion != version {
		return s, ErrUnknownFormat
	}
	if length != len(body) || checksum != crc32.ChecksumIEEE(body) {
		return s, ErrCorrupt
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return State{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return s, nil
}
