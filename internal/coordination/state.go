package coordination

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"

	"hazelwheel/internal/decide/swim"
)

// SavedState is what a disk holds of an earlier life.
type SavedState struct {
	Data   []byte // nil: nothing
	IsCopy bool   // what is there was put there by somebody else than Save: a copy, which may be old
	Err    error  // it can't be read
}

// persistentState is what must survive a restart.
type persistentState struct {
	ID         swim.ID `json:"id"`
	Generation uint64  `json:"generation"`       // lives so far; on disk before any word of the life is said
	LeaseState []byte  `json:"tenure,omitempty"` // what was promised to others
	// Works is what is agreed of boxes that are out. It is no promise of this identity's and outlives it.
	Maintenance *MaintenanceRecord `json:"works,omitempty"`
}

// stateVersion is written here. An earlier program does not guess at a later one's. plainForm has no promises in it.
const (
	stateVersion              = 2
	stateVersionWithoutLeases = 1
	stateMagic                = "hazelwheel-peer"
)

var (
	errCorrupt        = errors.New("it is torn")
	errUnknownVersion = errors.New("it is of a form that is not known here")
	errCopied         = errors.New("it is a copy: what was promised after it was made is not known")
	castagnoli        = crc32.MakeTable(crc32.Castagnoli)
)

// encodeState returns a state as a file's text: a line with its form, length and checksum, and the state as JSON.
func encodeState(s persistentState) []byte {
	body, err := json.Marshal(s)
	if err != nil { // numbers always marshal
		panic(err)
	}
	return append(fmt.Appendf(nil, "%s %d %d %08x\n", stateMagic, stateVersion, len(body), crc32.Checksum(body, castagnoli)), body...)
}

// decode returns the state; there is none where Data is nil. Danger: who comes back with an old copy has forgotten its votes.
func (saved *SavedState) decode() (s persistentState, err error) {
	if saved.Err != nil || saved.Data == nil {
		return s, saved.Err
	}
	head, body, found := bytes.Cut(saved.Data, []byte{'\n'})
	var name string
	var form, length int
	var sum uint32
	n, _ := fmt.Sscanf(string(head), "%s %d %d %x", &name, &form, &length, &sum)
	switch {
	case n < 2 || name != stateMagic:
		return s, errCorrupt
	case form != stateVersion && form != stateVersionWithoutLeases:
		return s, fmt.Errorf("%w: %d", errUnknownVersion, form)
	case n < 4 || !found || len(body) != length || crc32.Checksum(body, castagnoli) != sum:
		return s, errCorrupt
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, err
	}
	switch {
	case s.ID == 0 || s.Generation >= 1<<24:
		return s, errCorrupt
	case saved.IsCopy && len(s.LeaseState) > 0:
		return s, errCopied
	}
	return s, nil
}
