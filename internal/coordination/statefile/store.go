// Package statefile stores the state of a coordination.Node in a file on the machine's disk. A write is atomic and synced. The file
// contains its own inode and birth time, so that a copy of it is recognized.
//
// Several processes may use one folder during a hot restart. A lock on the folder prevents that two of them write at once, and a
// process only overwrites the file that it has last read or written: the later of two processes wins, and the earlier one gets
// ErrConflict.
package statefile

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"

	"hazelwheel/internal/coordination"
)

const (
	// fileName is the state's file in the folder; quarantineName is what Quarantine renames it to.
	fileName       = "peer"
	quarantineName = fileName + "-unusable"
	// header is the first line: the format's version, and the file's inode and birth time in nanoseconds. Earlier versions of the program
	// reject this version and don't overwrite the file.
	header = "hazelwheel-peer 2 %d %d\n"

	// lockTimeout limits how long another process may hold the lock for its write.
	lockTimeout       = time.Second
	lockRetryInterval = lockTimeout / 100
	maxStateBytes     = 8 << 20 // bytes of the file that are read
	maxPendingSaves   = 16
)

// ErrConflict is the error of a write after another process has written the file and so continues the state.
var ErrConflict = errors.New("another process has written the state file")

// Store is the folder of one sidecar. Writes happen on a goroutine of its own, one at a time.
type Store struct {
	dir   string
	post  func(func())
	saves chan save

	// Used by Load and Quarantine, and after that by the writing goroutine alone.
	knownMark fileMark // of the file that this process has last read or written
	lock      *os.File // the locked folder, from Load to the first write; nil: the folder is not locked
}

type save struct {
	data []byte
	done func(error)
}

// fileMark identifies a file; a copy has another one. The zero value identifies none.
type fileMark struct {
	inode uint64
	birth int64 // nanoseconds of Unix time; 0 where the file system does not store it
}

var _ coordination.StateSaver = (*Store)(nil)

// Open returns the store in a folder, which the first write creates if it does not exist. post is called on another goroutine; it must
// run the function that it is given on the event loop.
func Open(dir string, post func(func())) *Store {
	s := &Store{dir: dir, post: post, saves: make(chan save, maxPendingSaves)}
	go func() {
		for save := range s.saves {
			err := s.write(save.data)
			s.post(func() { save.done(err) })
		}
	}()
	return s
}

// Close ends the writing goroutine. Save must not be called after it.
func (s *Store) Close() { close(s.saves) }

// Load returns the stored state. It must be called before the first Save, and locks the folder until that is written. Without the lock
// the first write could overwrite a state that another process has written in between and relies on.
func (s *Store) Load() coordination.SavedState {
	state, err := s.load()
	if err != nil {
		return coordination.SavedState{Err: err}
	}
	return state
}

func (s *Store) load() (state coordination.SavedState, err error) {
	if s.lock, err = s.lockFolder(); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return state, err
	}
	file, err := os.Open(filepath.Join(s.dir, fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return state, nil
	} else if err != nil {
		return state, err
	}
	defer func() { _ = file.Close() }() // no error is lost: opened for reading
	if s.knownMark, err = markOf(file); err != nil {
		return state, err
	}
	raw, err := io.ReadAll(io.LimitReader(file, maxStateBytes))
	if err != nil {
		return state, err
	}
	line, data, _ := bytes.Cut(raw, []byte{'\n'})
	var written fileMark
	if n, _ := fmt.Sscanf(string(line)+"\n", header, &written.inode, &written.birth); n != 2 {
		return coordination.SavedState{Data: raw}, nil // a file of an earlier version, which has no header, or corrupt
	}
	return coordination.SavedState{Data: data, IsCopy: written != s.knownMark}, nil
}

// markOf returns the mark of an open file.
func markOf(file *os.File) (fileMark, error) {
	var stat unix.Statx_t
	if err := unix.Statx(int(file.Fd()), "", unix.AT_EMPTY_PATH, unix.STATX_INO|unix.STATX_BTIME, &stat); err != nil {
		return fileMark{}, fmt.Errorf("statx: %w", err)
	}
	m := fileMark{inode: stat.Ino}
	if stat.Mask&unix.STATX_BTIME != 0 {
		m.birth = stat.Btime.Sec*1e9 + int64(stat.Btime.Nsec)
	}
	return m, nil
}

// lockFolder locks the folder until the returned file is closed or the process ends. It waits at most lockTimeout, since the process
// that holds the lock may be paused.
func (s *Store) lockFolder() (*os.File, error) {
	dir, err := os.Open(s.dir)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		if err = unix.Flock(int(dir.Fd()), unix.LOCK_EX|unix.LOCK_NB); err == nil {
			return dir, nil
		}
		if !errors.Is(err, unix.EWOULDBLOCK) || time.Now().After(deadline) {
			_ = dir.Close() // no error is lost: opened for reading
			return nil, fmt.Errorf("flock: %w", err)
		}
	}
}

// Quarantine renames a state file that can't be used, so that the next write does not overwrite it. It must be called between Load and
// the first Save.
func (s *Store) Quarantine() error {
	s.knownMark = fileMark{}
	return os.Rename(filepath.Join(s.dir, fileName), filepath.Join(s.dir, quarantineName))
}

// Save implements coordination.StateSaver. It must be called from one goroutine only.
func (s *Store) Save(data []byte, done func(error)) { s.saves <- save{data, done} }

// write replaces the file atomically: after a crash either the old state or the new one is on disk. The error is ErrConflict or begins
// with the setting of the folder.
func (s *Store) write(data []byte) (err error) {
	defer func() {
		if err != nil && !errors.Is(err, ErrConflict) {
			err = fmt.Errorf("fleet.dir: %w", err)
		}
	}()
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return err
	}
	lock := s.lock
	if s.lock = nil; lock == nil {
		if lock, err = s.lockFolder(); err != nil {
			return err
		}
	}
	defer func() { _ = lock.Close() }() // releases the lock; no error is lost: opened for reading
	path := filepath.Join(s.dir, fileName)
	if err := s.checkUnchanged(path); err != nil {
		return err
	}
	temporary, err := os.CreateTemp(s.dir, fileName+"-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temporary.Name()) }() // fails if the file has been renamed
	mark, err := markOf(temporary)
	if err == nil {
		_, err = temporary.Write(append(fmt.Appendf(nil, header, mark.inode, mark.birth), data...))
	}
	if err = errors.Join(err, temporary.Sync(), temporary.Close()); err != nil {
		return err
	}
	if err := os.Rename(temporary.Name(), path); err != nil {
		return err
	}
	s.knownMark = mark
	return lock.Sync() // the folder, so that the rename is durable
}

// checkUnchanged returns ErrConflict unless the file is the one that this process has last read or written, or does not exist.
// Otherwise two processes that write alternately would overwrite each other's votes.
func (s *Store) checkUnchanged(path string) error {
	file, err := os.Open(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil // the file was removed: this process knows the latest state
	case err != nil:
		return err
	}
	defer func() { _ = file.Close() }() // no error is lost: opened for reading
	switch mark, err := markOf(file); {
	case err != nil:
		return err
	case mark != s.knownMark:
		return ErrConflict
	}
	return nil
}
