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

// Names in the folder. Other versions of the program depend on them.
const (
	stateName    = "state"
	cordonFolder = "bans"  // holds a file for each cordoned server, under its escaped name
	processDir   = "lives" // holds a file for each process, locked while the process lives
	// drainedName is the file in cordonFolder that exists while operators have drained the sidecar, so that listing one folder shows any
	// change. It can't be the escaped name of a server, since "%aw" is not a valid escape.
	drainedName = "%away"
	// servingMark is the content of the file of a process that serves.
	servingMark = "serving"
)

const (
	maxStateBytes = 16 << 20
	// lockTimeout limits the wait for a lock that another process holds briefly, in probeProcess.
	lockTimeout       = 500 * time.Millisecond
	lockRetryInterval = time.Millisecond
	// abandonedAge is how old an unlocked file of a process must be before it is removed.
	abandonedAge = time.Second
)

// Store gives a process access to the folder. Save must be called from one goroutine only, all other methods may be called from any.
type Store struct {
	dir       string
	process   *os.File // locked while the process lives
	name      string   // of the file process; processes that start later have greater names
	saves     chan State
	saveError func(error)
}

// Open registers this process in a folder, which it creates if necessary. saveError is called from another goroutine when a state can't be
// written.
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

// lockWithRetry locks this process's file. Danger: another process holds the lock briefly while it checks whether this one lives; without a
// retry the start would fail then.
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

// probeProcess reports whether the process that owns a file lives, and whether it serves.
func probeProcess(path string) (lives, serves bool) {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return false, false
	}
	defer func() { _ = f.Close() }() // releases the lock; nothing was written
	if tryLock(f) != nil {
		var mark [len(servingMark)]byte
		n, _ := f.ReadAt(mark[:], 0)
		return true, n == len(mark)
	}
	// Danger: a process that has created its file but not locked it yet looks as if it had ended, so only old files are removed.
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

// setFile creates an empty file or removes it.
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

// OperatorState returns the cordoned servers and whether the sidecar is drained, as operators have set them in any process.
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

// OperatorStamp returns a text that changes with every change of OperatorState. Danger: the folder's modification time can't be used, because
// it has the resolution of clock ticks, so that a second change within a tick would be missed.
func (s *Store) OperatorStamp() string {
	cordoned, drained, _ := s.OperatorState()
	return fmt.Sprint(drained, cordoned)
}

// Save queues a state to be written by another goroutine. If one is being written and another is queued, the state is dropped.
func (s *Store) Save(st State) {
	select {
	case s.saves <- st:
	default:
	}
}

// writeSaves writes queued states, each to a temporary file that it then renames.
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

// Load returns the state that was saved last by any process. The error wraps fs.ErrNotExist if there is none, or is that of Decode.
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
	_ = os.Remove(s.process.Name()) // if this fails, other processes remove the file later
	_ = s.process.Close()           // releases the lock
}
