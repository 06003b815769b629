package hotrestart

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

// Descriptors is what a store holds, and may need for a moment.
const Descriptors = 3

// mostState bounds the file of a state, in bytes.
const mostState = 16 << 20

// Store is a process's hold on the folder. Save is for one goroutine, the rest for any.
type Store struct {
	dir  string
	life *os.File // locked while the process lives
	name string   // of the life; a later process has a greater one
	save chan State
	fail func(error)
}

// Open takes a folder into use, which is made if need be. fail is told, beside the caller, of a state that can't be written.
func Open(dir string, fail func(error)) (*Store, error) {
	s := &Store{dir: dir, name: fmt.Sprintf("%020d-%s", time.Now().UnixNano(), rand.Text()[:8]), save: make(chan State, 1), fail: fail}
	for _, sub := range []string{"bans", "lives"} {
		if err := os.MkdirAll(filepath.Join(dir, sub), 0o700); err != nil {
			return nil, fmt.Errorf("handover: %w", err)
		}
	}
	f, err := os.OpenFile(s.path("lives", s.name), os.O_CREATE|os.O_RDWR, 0o600)
	if err == nil {
		err = lockSoon(f)
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	s.life = f
	go s.write()
	return s, nil
}

const (
	// lockWithin bounds the wait for a lock that another process holds for a moment.
	lockWithin = 500 * time.Millisecond
	// lockEvery is the time between two tries.
	lockEvery = time.Millisecond
)

// lockSoon locks a process's own file. Danger: a neighbour that looks whether its owner lives holds the lock just then, and the
// process would fail to start.
func lockSoon(f *os.File) error {
	for by := time.Now().Add(lockWithin); ; time.Sleep(lockEvery) {
		err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if !errors.Is(err, unix.EWOULDBLOCK) || time.Now().After(by) {
			return err
		}
	}
}

func (s *Store) path(parts ...string) string {
	return filepath.Join(append([]string{s.dir}, parts...)...)
}

// MarkServing notes that this process serves.
func (s *Store) MarkServing() error {
	_, err := s.life.WriteAt([]byte("serving"), 0)
	return err
}

// OtherProcesses tells how many other processes live here, and whether one that began later serves.
func (s *Store) OtherProcesses() (n int, successor bool) {
	lives, err := os.ReadDir(s.path("lives"))
	if err != nil {
		return 0, false
	}
	for _, e := range lives {
		if e.Name() == s.name {
			continue
		}
		f, err := os.OpenFile(s.path("lives", e.Name()), os.O_RDWR, 0)
		if err != nil {
			continue
		}
		if unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil {
			// Danger: a process that has made its file and not locked it yet looks dead; it would lose its file, not more.
			if info, err := f.Stat(); err == nil && time.Since(info.ModTime()) > time.Second {
				_ = os.Remove(f.Name())
			}
		} else {
			n++
			var word [7]byte
			k, _ := f.ReadAt(word[:], 0)
			successor = successor || k == len(word) && e.Name() > s.name
		}
		f.Close()
	}
	return n, successor
}

// Cordon notes that a server is out by hand; Lift, that it no longer is.
func (s *Store) Cordon(server string) error {
	return s.note(s.path("bans", url.PathEscape(server)), true)
}

// Uncordon ends the note of Ban.
func (s *Store) Uncordon(server string) error {
	return s.note(s.path("bans", url.PathEscape(server)), false)
}

// away stands in the folder of bans, so that one look tells of any change; no escaped name is like it.
const away = "%away"

// SetDrained notes whether the sidecar is drained by hand.
func (s *Store) SetDrained(on bool) error { return s.note(s.path("bans", away), on) }

func (s *Store) note(path string, on bool) error {
	var err error
	if on {
		err = os.WriteFile(path, nil, 0o600)
	} else if err = os.Remove(path); errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// OperatorState returns what operators have said and not taken back.
func (s *Store) OperatorState() (bans []string, drained bool, err error) {
	all, err := os.ReadDir(s.path("bans"))
	if err != nil {
		return nil, false, fmt.Errorf("handover: %w", err)
	}
	for _, e := range all {
		if e.Name() == away {
			drained = true
		} else if name, err := url.PathUnescape(e.Name()); err == nil {
			bans = append(bans, name)
		}
	}
	return bans, drained, nil
}

// OperatorStamp differs wherever Read's result does. Danger: a folder's time counts in ticks, and of two changes within one the
// second would go unseen.
func (s *Store) OperatorStamp() string {
	bans, drained, _ := s.OperatorState()
	return fmt.Sprint(drained, bans)
}

// Save has a state written beside the caller; where one is being written, this one may be left out.
func (s *Store) Save(st State) {
	select {
	case s.save <- st:
	default:
	}
}

func (s *Store) write() {
	for st := range s.save {
		raw, err := Encode(st)
		part := s.path("state-" + s.name)
		if err == nil {
			err = os.WriteFile(part, raw, 0o600)
		}
		if err == nil {
			err = os.Rename(part, s.path("state"))
		}
		if err != nil {
			s.fail(err)
		}
	}
}

// Load returns the state that was saved last, by whichever process. The error wraps fs.ErrNotExist where there is none.
func (s *Store) Load() (State, error) {
	info, err := os.Stat(s.path("state"))
	if err != nil {
		return State{}, err
	}
	if info.Size() > mostState {
		return State{}, ErrUnknownFormat
	}
	raw, err := os.ReadFile(s.path("state"))
	if err != nil {
		return State{}, err
	}
	return Decode(raw)
}

// Close ends this process's hold.
func (s *Store) Close() {
	_ = os.Remove(s.life.Name()) // who is gone need not be looked at
	s.life.Close()
}
