package coordination

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"

	"hazelwheel/internal/decide/swim"
)

// SavedState is the state that an earlier process has stored. The zero value stands for an empty store.
type SavedState struct {
	Data   []byte // as passed to StateSaver.Save; nil: nothing is stored
	IsCopy bool   // the file is a copy that StateSaver.Save did not write, so Data may be out of date
	Err    error  // of a failed read
}

// persistentState is what must survive a restart.
type persistentState struct {
	ID         swim.ID `json:"id"`
	Generation uint64  `json:"generation"`       // number of processes of this identity; persisted before a process sends any message
	LeaseState []byte  `json:"tenure,omitempty"` // of lease.Node; belongs to the identity
	// Maintenance is the record that was last applied. It does not belong to the identity and is kept when the identity is replaced.
	Maintenance *MaintenanceRecord `json:"works,omitempty"`
}

// The format of the stored state: a line with the magic string, the version, and the length and CRC-32C of the rest, which is the
// state as JSON. Unknown versions are rejected. Version 1 has no lease state.
const (
	stateMagic                = "hazelwheel-peer"
	stateVersion              = 2
	stateVersionWithoutLeases = 1

	// maxGeneration ensures that a generation fits into the upper 32 bits of an incarnation.
	maxGeneration = 1 << 24
)

var (
	errCorrupt        = errors.New("it is torn")
	errUnknownVersion = errors.New("it is of a form that is not known here")
	errCopied         = errors.New("it is a copy: votes given after it was made are missing")

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// ValidateState returns an error that says why a stored state can't be used, nil if it can or if nothing is stored.
func ValidateState(saved SavedState) error {
	_, err := saved.decode()
	return err
}

// encodeState returns the stored form of a state.
func encodeState(s persistentState) []byte {
	body, err := json.Marshal(s)
	if err != nil { // numbers and bytes can always be encoded
		panic(err)
	}
	return append(fmt.Appendf(nil, "%s %d %d %08x\n", stateMagic, stateVersion, len(body), crc32.Checksum(body, castagnoli)), body...)
}

// decode returns the stored state, the zero value if there is none. A copy with lease state is an error, since votes may be missing
// from an old copy.
func (saved *SavedState) decode() (s persistentState, err error) {
	if saved.Err != nil || saved.Data == nil {
		return s, saved.Err
	}
	header, body, found := bytes.Cut(saved.Data, []byte{'\n'})
	var magic string
	var version, length int
	var checksum uint32
	n, _ := fmt.Sscanf(string(header), "%s %d %d %x", &magic, &version, &length, &checksum)
	switch {
	case n < 2 || magic != stateMagic:
		return s, errCorrupt
	case version != stateVersion && version != stateVersionWithoutLeases:
		return s, fmt.Errorf("%w: %d", errUnknownVersion, version)
	case n < 4 || !found || len(body) != length || crc32.Checksum(body, castagnoli) != checksum:
		return s, errCorrupt
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, err
	}
	switch {
	case s.ID == 0 || s.Generation >= maxGeneration:
		return s, errCorrupt
	case saved.IsCopy && len(s.LeaseState) > 0:
		return s, errCopied
	}
	return s, nil
}
