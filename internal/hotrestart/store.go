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

// Descriptors is how many descriptors must be reserved for a Store.
const Descriptors = 3

// The names in the folder. Other versions of the program use the same.
const (
	stateName    = "state"
	cordonFolder = "bans"  // a file for each cordoned server, named by its escaped name
	processDir   = "lives" // a file for each process, locked while it lives
	// drainedName is the file of a drain by operators. It is in cordonFolder, so that one look at that shows any change; no escaped
	// server name is like it.
	drainedName = "%away"
	// servingMark is what the file of a process holds that serves.
	servingMark = "serving"
)

const (
	maxStateBytes = 16 << 20
	// lockTimeout limits the wait for a lock that another process holds for a moment.
	lockTimeout       = 500 * time.Millisecond
	lockRetryInterval = time.Millisecond
	// abandonedAge is how old the file of a process must be before it is removed for being unlocked.
	abandonedAge = time.Second
)

// Store is a process's use of the folder. Save is for one goroutine, all other methods for any.
type Store struct {
	dir       string
	process   *os.File // locked while the process lives
	name      string   // of process; a later process has a greater one
	saves     chan State
	saveError func(error)
}

// Open registers this process in a folder, which is made if need be. saveError is called from another goroutine with the error of a
// state that can't be written.
func Open(dir string, saveError func(error)) (*Store, error) {
	s := &Store{dir: dir, name: fmt.Sprintf("%020d-%s", time.Now().UnixNano(), rand.Text()[:8]), saves: make(chan State, 1), saveError: saveError}
	for _, sub := range []string{cordonFolder, processDir} {
		if err := os.MkdirAll(filepath.Join(dir, sub), 0o700); err != nil {
			return nil, fmt.Errorf("hotrestart: %w", err)
		}
	}
	f, err := os.OpenFile(s.path(processDir, s.name), os.O_CREATE|os.O_RDWR, 0o600)
	if err == nil {
		err = lockWithRetry(f)
	}
	if err != nil {
		return nil, fmt.Errorf("hotrestart: %w", err)
	}
	s.process = f
	go s.writeSaves()
	return s, nil
}

// lockWithRetry locks this process's file. Danger: another process that checks whether this one lives may hold the lock just then, and
// without a retry the start would fail.
func lockWithRetry(f *os.File) error {
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		err := tryLock(f)
		if !errors.Is(err, unix.EWOULDBLOCK) || time.Now().After(deadline) {
			return err
		}
	}
}

func tryLock(f *os.File) error { return unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) }

func (s *Store) path(parts ...string) string {
	return filepath.Join(append([]string{s.dir}, parts...)...)
}

// MarkServing records that this process serves.
func (s *Store) MarkServing() error {
	_, err := s.process.WriteAt([]byte(servingMark), 0)
	return err
}

// OtherProcesses returns how many other processes use the folder, and whether one that started later than this one serves. Files of
// processes that have ended are removed.
func (s *Store) OtherProcesses() (count int, hasSuccessor bool) {
	entries, err := os.ReadDir(s.path(processDir))
	if err != nil {
		return 0, false
	}
	for _, e := range entries {
		if e.Name() == s.name {
			continue
		}
		lives, serves := probeProcess(s.path(processDir, e.Name()))
		if lives {
			count++
			hasSuccessor = hasSuccessor || serves && e.Name() > s.name
		}
	}
	return count, hasSuccessor
}

// probeProcess reports whether the process of a file lives and serves.
func probeProcess(path string) (lives, serves bool) {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return false, false
	}
	defer func() { _ = f.Close() }() // ends the lock; nothing was written
	if tryLock(f) != nil {
		var mark [len(servingMark)]byte
		n, _ := f.ReadAt(mark[:], 0)
		return true, n == len(mark)
	}
	// Danger: a process that has made its file and not locked it yet looks as if it had ended; hence the age.
	if info, err := f.Stat(); err == nil && time.Since(info.ModTime()) > abandonedAge {
		_ = os.Remove(f.Name()) // another process may have removed it
	}
	return false, false
}

// Cordon records that operators have taken a server out of use.
func (s *Store) Cordon(server string) error { return s.setFile(s.cordonPath(server), true) }

// Uncordon undoes Cordon.
func (s *Store) Uncordon(server string) error { return s.setFile(s.cordonPath(server), false) }

// SetDrained records whether operators have drained the sidecar.
func (s *Store) SetDrained(drained bool) error {
	return s.setFile(s.path(cordonFolder, drainedName), drained)
}

func (s *Store) cordonPath(server string) string {
	return s.path(cordonFolder, url.PathEscape(server))
}

// setFile makes an empty file or removes it.
func (s *Store) setFile(path string, exists bool) error {
	var err error
	if exists {
		err = os.WriteFile(path, nil, 0o600)
	} else if err = os.Remove(path); errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	if err != nil {
		return fmt.Errorf("hotrestart: %w", err)
	}
	return nil
}

// OperatorState returns the cordoned servers and whether the sidecar is drained, as operators have set it at any process.
func (s *Store) OperatorState() (cordoned []string, drained bool, err error) {
	entries, err := os.ReadDir(s.path(cordonFolder))
	if err != nil {
		return nil, false, fmt.Errorf("hotrestart: %w", err)
	}
	for _, e := range entries {
		if e.Name() == drainedName {
			drained = true
		} else if name, err := url.PathUnescape(e.Name()); err == nil {
			cordoned = append(cordoned, name)
		}
	}
	return cordoned, drained, nil
}

// OperatorStamp returns a text that changes with every change of OperatorState. Danger: the folder's modification time would not do,
// since it counts in clock ticks and two changes within one look like one.
func (s *Store) OperatorStamp() string {
	cordoned, drained, _ := s.OperatorState()
	return fmt.Sprint(drained, cordoned)
}

// Save has a state written by another goroutine. While one is being written and one waits, it is dropped.
func (s *Store) Save(st State) {
	select {
	case s.saves <- st:
	default:
	}
}

// writeSaves writes states, each by renaming a complete file.
func (s *Store) writeSaves() {
	for st := range s.saves {
		raw, err := Encode(st)
		temporary := s.path(stateName + "-" + s.name)
		if err == nil {
			err = os.WriteFile(temporary, raw, 0o600)
		}
		if err == nil {
			err = os.Rename(temporary, s.path(stateName))
		}
		if err != nil {
			s.saveError(err)
		}
	}
}

// Load returns the state that any process has saved last. The error wraps fs.ErrNotExist if there is none, or is one of Decode.
func (s *Store) Load() (State, error) {
	info, err := os.Stat(s.path(stateName))
	if err != nil {
		return State{}, err
	}
	if info.Size() > maxStateBytes {
		return State{}, ErrUnknownFormat
	}
	raw, err := os.ReadFile(s.path(stateName))
	if err != nil {
		return State{}, err
	}
	return Decode(raw)
}

// Close removes this process from the folder.
func (s *Store) Close() {
	_ = os.Remove(s.process.Name()) // best effort: other processes remove it, too
	_ = s.process.Close()           // ends the lock
}
