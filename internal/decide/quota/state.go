package quota

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is all that a machine knows, in one piece: its trees' groups by their paths, and their accounts.
type State struct {
	At       float64
	Mark     uint64 // of the tree and the settings
	Paths    []string
	Limits   []string
	Books    []BookState // empty of open requests, which end with the process
	Stats    []Stats
	Refusals []Refusal

	tree     *Tree
	settings Settings
}

// BookState is one limit's accounts.
type BookState struct {
	Cells []byte
	Queue []dueCell
	Lost  float64

	accounts []account
}

// stateVersion is raised whenever older programs would misread what is written.
const stateVersion = 1

var stateMagic = []byte("hazelwheel quota")

// The errors of Decode.
var (
	ErrNewer   = errors.New("it is of a newer version of the program")
	ErrDamaged = errors.New("it is damaged")
)

// State returns a copy of what the machine knows, which may be encoded while the machine goes on.
func (l *Limiter) State() *State {
	s := &State{At: l.now, Stats: slices.Clone(l.stats), Refusals: slices.Clone(l.refusals), tree: l.tree, settings: l.settings}
	for i, limit := range l.tree.Limits {
		s.Limits = append(s.Limits, limit.Name())
		var table BookState
		if l.tables[i] != nil {
			table = BookState{accounts: slices.Clone(l.tables[i].accounts), Queue: slices.Clone(l.tables[i].queue), Lost: l.tables[i].overflow}
		}
		s.Books = append(s.Books, table)
	}
	return s
}

// fillNames fills in what need not be written down while the loop waits.
func (s *State) fillNames() {
	if s.tree == nil || s.Paths != nil {
		return
	}
	s.Mark = s.tree.fingerprint(&s.settings)
	for n := range s.tree.nodes {
		s.Paths = append(s.Paths, s.tree.nodes[n].path)
	}
}

// fingerprint is the same for trees whose accounts mean the same.
func (t *Tree) fingerprint(s *Settings) uint64 {
	h := xxhash.New()
	fmt.Fprint(h, *s, t.Limits)
	for n := range t.nodes {
		t := &t.nodes[n]
		fmt.Fprint(h, t.path, t.weight, t.floor, t.quota, t.cap)
	}
	return h.Sum64()
}

// Encode returns a state as bytes: a name, a version, a checksum, and what they are of.
func (s *State) Encode() ([]byte, error) {
	s.fillNames()
	for i := range s.Books {
		var raw bytes.Buffer
		if err := binary.Write(&raw, binary.LittleEndian, s.Books[i].accounts); err != nil {
			return nil, err
		}
		s.Books[i].Cells = raw.Bytes()
	}
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(s); err != nil {
		return nil, err
	}
	out := binary.LittleEndian.AppendUint32(slices.Clone(stateMagic), stateVersion)
	out = binary.LittleEndian.AppendUint64(out, xxhash.Sum64(body.Bytes()))
	return append(out, body.Bytes()...), nil
}

// Decode returns the state that bytes hold. An error wraps ErrNewer or ErrDamaged.
func Decode(raw []byte) (*State, error) {
	rest, ok := bytes.CutPrefix(raw, stateMagic)
	if !ok || len(rest) < 12 {
		return nil, fmt.Errorf("%w: it does not begin like a snapshot of quotas", ErrDamaged)
	}
	version, sum, body := binary.LittleEndian.Uint32(rest), binary.LittleEndian.Uint64(rest[4:]), rest[12:]
	if version > stateVersion {
		return nil, fmt.Errorf("%w: %d, and this one knows %d", ErrNewer, version, stateVersion)
	}
	if xxhash.Sum64(body) != sum {
		return nil, fmt.Errorf("%w: the checksum is wrong", ErrDamaged)
	}
	s := &State{}
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(s); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	if len(s.Books) != len(s.Limits) || len(s.Stats) != len(s.Paths) || len(s.Refusals) != len(s.Paths) {
		return nil, fmt.Errorf("%w: its parts do not fit together", ErrDamaged)
	}
	for i := range s.Books {
		state := &s.Books[i]
		for _, x := range state.Queue {
			if x.Cell < 0 || int(x.Cell) >= len(s.Paths) {
				return nil, fmt.Errorf("%w: %s waits for an account that it has not", ErrDamaged, s.Limits[i])
			}
		}
		if len(state.Cells) == 0 {
			continue
		}
		state.accounts = make([]account, len(s.Paths))
		if binary.Size(state.accounts) != len(state.Cells) {
			return nil, fmt.Errorf("%w: %s has another number of accounts", ErrDamaged, s.Limits[i])
		}
		if err := binary.Read(bytes.NewReader(state.Cells), binary.LittleEndian, state.accounts); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrDamaged, err)
		}
	}
	return s, nil
}
