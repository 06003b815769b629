// Package hotrestart passes the state of a sidecar on to the process that replaces it, through a folder that both use. What operators have
// set is stored in a file each, so that it holds at all processes of the folder at once; the rest is one file that is read completely
// or not at all.
package hotrestart

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
)

// The format of the state's file: a line with magic, version, length and CRC-32 of what follows, and the state as JSON. The version
// changes with every change of State that another version of the program would misread.
const (
	magic   = "hazelwheel-handover"
	version = 1
	// maxHeaderBytes limits the first line.
	maxHeaderBytes = 100
)

// State is what the next process continues from.
type State struct {
	UnixSeconds      float64         `json:"At"`       // when it was taken
	SettingsHash     string          `json:"Settings"` // of the settings that it belongs to
	EndpointList     json.RawMessage `json:"List"`     // of endpointset.Set.Export
	PolicyCheckpoint []byte          `json:"Module"`
}

var (
	// ErrUnknownFormat is wrapped by the errors of Decode for a file that is no state of this version.
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

// Decode reads what Encode has written. The error wraps ErrUnknownFormat or ErrCorrupt.
func Decode(raw []byte) (s State, err error) {
	header, body, _ := bytes.Cut(raw, []byte{'\n'})
	var word string
	var form, length int
	var checksum uint32
	n, _ := fmt.Sscanf(string(header[:min(len(header), maxHeaderBytes)]), "%s %d %d %x", &word, &form, &length, &checksum)
	if n < 2 || word != magic || form != version {
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
