package fleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"

	"hazelwheel/internal/decide/member"
)

// state is what must survive a restart.
type state struct {
	ID         member.ID `json:"id"`
	Generation uint64    `json:"generation"` // lives so far; on disk before any word of the life is said
}

// stateForm is written here. An earlier program does not guess at a later one's.
const stateForm = 1

const stateHead = "hazelwheel-peer"

var (
	errTorn  = errors.New("it is torn")
	errForm  = errors.New("it is of a form that is not known here")
	castaley = crc32.MakeTable(crc32.Castagnoli)
)

// encodeState returns a state as a file's text: a line with its form, length and checksum, and the state as JSON.
func encodeState(s state) []byte {
	body, err := json.Marshal(s)
	if err != nil { // numbers always marshal
		panic(err)
	}
	return append(fmt.Appendf(nil, "%s %d %d %08x\n", stateHead, stateForm, len(body), crc32.Checksum(body, castaley)), body...)
}

func decodeState(raw []byte) (s state, err error) {
	head, body, found := bytes.Cut(raw, []byte{'\n'})
	var name string
	var form, length int
	var sum uint32
	if n, _ := fmt.Sscanf(string(head), "%s %d %d %x", &name, &form, &length, &sum); !found || n != 4 || name != stateHead {
		return s, errTorn
	}
	if form != stateForm {
		return s, fmt.Errorf("%w: %d", errForm, form)
	}
	if len(body) != length || crc32.Checksum(body, castaley) != sum {
		return s, errTorn
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, err
	}
	if s.ID == 0 || s.Generation >= 1<<24 {
		return s, errTorn
	}
	return s, nil
}
