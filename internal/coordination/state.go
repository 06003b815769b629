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

// state is what must survive a restart.
type state struct {
	ID         swim.ID `json:"id"`
	Generation uint64  `json:"generation"`       // lives so far; on disk before any word of the life is said
	Tenure     []byte  `json:"tenure,omitempty"` // what was promised to others
	// Works is what is agreed of boxes that are out. It is no promise of this identity's and outlives it.
	Works *MaintenanceRecord `json:"works,omitempty"`
}

// stateForm is written here. An earlier program does not guess at a later one's. plainForm has no promises in it.
const (
	stateForm = 2
	plainForm = 1
	stateHead = "hazelwheel-peer"
)

var (
	errTorn   = errors.New("it is torn")
	errForm   = errors.New("it is of a form that is not known here")
	errCopied = errors.New("it is a copy: what was promised after it was made is not known")
	castaley  = crc32.MakeTable(crc32.Castagnoli)
)

// encodeState returns a state as a file's text: a line with its form, length and checksum, and the state as JSON.
func encodeState(s state) []byte {
	body, err := json.Marshal(s)
	if err != nil { // numbers always marshal
		panic(err)
	}
	return append(fmt.Appendf(nil, "%s %d %d %08x\n", stateHead, stateForm, len(body), crc32.Checksum(body, castaley)), body...)
}

// decode returns the state; there is none where Data is nil. Danger: who comes back with an old copy has forgotten its votes.
func (saved *SavedState) decode() (s state, err error) {
	if saved.Err != nil || saved.Data == nil {
		return s, saved.Err
	}
	head, body, found := bytes.Cut(saved.Data, []byte{'\n'})
	var name string
	var form, length int
	var sum uint32
	n, _ := fmt.Sscanf(string(head), "%s %d %d %x", &name, &form, &length, &sum)
	switch {
	case n < 2 || name != stateHead:
		return s, errTorn
	case form != stateForm && form != plainForm:
		return s, fmt.Errorf("%w: %d", errForm, form)
	case n < 4 || !found || len(body) != length || crc32.Checksum(body, castaley) != sum:
		return s, errTorn
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, err
	}
	switch {
	case s.ID == 0 || s.Generation >= 1<<24:
		return s, errTorn
	case saved.IsCopy && len(s.Tenure) > 0:
		return s, errCopied
	}
	return s, nil
}
