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

// State is a snapshot of a Limiter: the groups of its tree by path, and their accounts. It is stored by encoding/gob. The Go names
// of its fields, and of the fields of BookState, dueCell, Stats and Refusal, are part of the stored form and must not change.
type State struct {
	At       float64
	Mark     uint64 // fingerprint of the tree and the settings
	Paths    []string
	Limits   []string
	Books    []BookState // by limit; empty for Open, since requests in flight end with the process
	Stats    []Stats
	Refusals []Refusal

	tree     *Tree
	settings Settings
}

// BookState is the stored form of the accounts of one limit.
type BookState struct {
	Cells []byte // the accounts, encoded by encoding/binary
	Queue []dueCell
	Lost  float64

	accounts []account
}

// stateVersion must be incremented if older programs would misread the stored form.
const stateVersion = 1

// stateMagic is the start of each stored state.
var stateMagic = []byte("hazelwheel quota")

// The errors of Decode. ErrNewer means that a newer version of the program has written the state, ErrDamaged that the state is truncated
// or corrupted.
var (
	ErrNewer   = errors.New("a newer version of the program has written it")
	ErrDamaged = errors.New("it is damaged")
)

// State returns a snapshot, which may be encoded on another goroutine while the limiter is in use.
func (l *Limiter) State() *State {
	s := &State{At: l.now, Stats: slices.Clone(l.stats), Refusals: slices.Clone(l.refusals), tree: l.tree, settings: l.settings}
	for i, limit := range l.tree.Limits {
		s.Limits = append(s.Limits, limit.Name())
		var book BookState
		if l.tables[i] != nil {
			book = BookState{accounts: slices.Clone(l.tables[i].accounts), Queue: slices.Clone(l.tables[i].queue), Lost: l.tables[i].overflow}
		}
		s.Books = append(s.Books, book)
	}
	return s
}

// fillNames computes the fields Mark and Paths, which State leaves out to return quickly.
func (s *State) fillNames() {
	if s.tree == nil || s.Paths != nil {
		return
	}
	s.Mark = s.tree.fingerprint(&s.settings)
	for n := range s.tree.nodes {
		s.Paths = append(s.Paths, s.tree.nodes[n].path)
	}
}

// fingerprint returns a hash of the tree and settings. Accounts can be restored unchanged if it is equal. It is stored.
func (t *Tree) fingerprint(s *Settings) uint64 {
	h := xxhash.New()
	fmt.Fprint(h, *s, t.Limits)
	for n := range t.nodes {
		t := &t.nodes[n]
		fmt.Fprint(h, t.path, t.weight, t.floor, t.quota, t.cap)
	}
	return h.Sum64()
}

// Encode returns the stored form: a magic string, a version, a checksum and the encoded state.
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

// Decode reads the stored form. An error wraps ErrNewer or ErrDamaged.
func Decode(raw []byte) (*State, error) {
	rest, ok := bytes.CutPrefix(raw, stateMagic)
	if !ok || len(rest) < 12 {
		return nil, fmt.Errorf("%w: it does not start like a snapshot of quotas", ErrDamaged)
	}
	version, sum, body := binary.LittleEndian.Uint32(rest), binary.LittleEndian.Uint64(rest[4:]), rest[12:]
	if version > stateVersion {
		return nil, fmt.Errorf("%w: format version %d, this program supports at most %d", ErrNewer, version, stateVersion)
	}
	if xxhash.Sum64(body) != sum {
		return nil, fmt.Errorf("%w: the checksum is wrong", ErrDamaged)
	}
	s := &State{}
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if len(s.Books) != len(s.Limits) || len(s.Stats) != len(s.Paths) || len(s.Refusals) != len(s.Paths) {
		return nil, fmt.Errorf("%w: its parts have different lengths", ErrDamaged)
	}
	for i := range s.Books {
		state := &s.Books[i]
		for _, x := range state.Queue {
			if x.Cell < 0 || int(x.Cell) >= len(s.Paths) {
				return nil, fmt.Errorf("%w: the queue of %s refers to an account that does not exist", ErrDamaged, s.Limits[i])
			}
		}
		if len(state.Cells) == 0 {
			continue
		}
		state.accounts = make([]account, len(s.Paths))
		if binary.Size(state.accounts) != len(state.Cells) {
			return nil, fmt.Errorf("%w: %s has the wrong number of accounts", ErrDamaged, s.Limits[i])
		}
		if err := binary.Read(bytes.NewReader(state.Cells), binary.LittleEndian, state.accounts); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
		}
	}
	return s, nil
}
