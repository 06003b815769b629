// Package hotrestart passes a process's state to the one that takes its place, through a folder that both have. What
// operators have said lies in it file by file; the rest is one file that is read whole or not at all.
package hotrestart

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
)

// form changes with every change of State that an older or newer program would misread.
const form = 1

// magic begins the file.
const magic = "hazelwheel-handover"

// State is what a successor begins with.
type State struct {
	UnixSeconds      float64         `json:"At"`       // when it was taken, in seconds of Unix time
	SettingsHash     string          `json:"Settings"` // a hash of the settings that it was learned under
	EndpointList     json.RawMessage `json:"List"`     // the host group's
	PolicyCheckpoint []byte          `json:"Module"`   // the decisions' checkpoint
}

// Why a state is not taken.
var (
	ErrUnknownFormat = errors.New("not a hand-over of this form")
	ErrCorrupt       = errors.New("the hand-over is not whole")
)

// Encode returns a state's text.
func Encode(s State) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return append(fmt.Appendf(nil, "%s %d %d %08x\n", magic, form, len(body), crc32.ChecksumIEEE(body)), body...), nil
}

// Decode reads what Encode has written; the error wraps ErrForeign or ErrTorn.
func Decode(raw []byte) (s State, err error) {
	head, body, _ := bytes.Cut(raw, []byte{'\n'})
	var word string
	var version, length int
	var sum uint32
	if n, _ := fmt.Sscanf(string(head[:min(len(head), 100)]), "%s %d %d %x", &word, &version, &length, &sum); n < 2 || word != magic || version != form {
		return s, ErrUnknownFormat
	}
	if length != len(body) || sum != crc32.ChecksumIEEE(body) {
		return s, ErrCorrupt
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return State{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return s, nil
}
