// Package statefile keeps a fleet's state on the machine's disk. It writes beside the loop, and what it says is written is
// synced.
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
	name = "peer"
	// lockWithin is how long another process may take for its write.
	lockWithin = time.Second
	// mostState bounds what is read, in bytes.
	mostState = 8 << 20
	// head begins a file, with the form of what follows, the file's inode and its birth in nanoseconds. An earlier program reads the
	// form and leaves the file alone.
	head = "hazelwheel-peer 2 %d %d\n"
)

// Store is a folder for one sidecar. Save is for one loop.
type Store struct {
	dir   string
	post  func(func())
	saves chan save

	// What follows is of whoever reads and, after that, of the goroutine that writes.
	last mark     // of the file that this process has read or written last
	held *os.File // the folder, locked from the reading to the first write; nil: it is not
}

type save struct {
	data []byte
	done func(error)
}

// mark tells a file from any other, also from a copy of it. The zero value is none.
type mark struct {
	inode uint64
	birth int64 // in nanoseconds; 0 where the file system does not keep it
}

var _ coordination.StateStore = (*Store)(nil)

// ErrConflict is the fault of a write where another process has written meanwhile: it goes on from this one's state.
var ErrConflict = errors.New("another process goes on from this state")

// Open returns a folder whose answers come by post.
func Open(dir string, post func(func())) *Store {
	f := &Store{dir: dir, post: post, saves: make(chan save, 16)}
	go func() {
		for s := range f.saves {
			err := f.write(s.data)
			f.post(func() { s.done(err) })
		}
	}()
	return f
}

// Close ends the goroutine that writes.
func (f *Store) Close() { close(f.saves) }

// Load returns what was saved last. It comes before the loop. Until the first write nobody else writes: what another process has
// said that it keeps must not be gone with that write.
func (f *Store) Load() (s coordination.SavedState) {
	var err error
	if f.held, err = f.lock(); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return coordination.SavedState{Err: err}
	}
	file, err := os.Open(filepath.Join(f.dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return coordination.SavedState{}
	} else if err != nil {
		return coordination.SavedState{Err: err}
	}
	defer file.Close()
	if f.last, err = markOf(file); err != nil {
		return coordination.SavedState{Err: err}
	}
	raw, err := io.ReadAll(io.LimitReader(file, mostState))
	if err != nil {
		return coordination.SavedState{Err: err}
	}
	line, rest, _ := bytes.Cut(raw, []byte{'\n'})
	var own mark
	if n, _ := fmt.Sscanf(string(line)+"\n", head, &own.inode, &own.birth); n != 2 {
		return coordination.SavedState{Data: raw} // of an earlier form, or torn
	}
	return coordination.SavedState{Data: rest, IsCopy: own != f.last}
}

// markOf returns a file's mark.
func markOf(file *os.File) (mark, error) {
	var st unix.Statx_t
	if err := unix.Statx(int(file.Fd()), "", unix.AT_EMPTY_PATH, unix.STATX_INO|unix.STATX_BTIME, &st); err != nil {
		return mark{}, fmt.Errorf("statx: %w", err)
	}
	m := mark{inode: st.Ino}
	if st.Mask&unix.STATX_BTIME != 0 {
		m.birth = st.Btime.Sec*1e9 + int64(st.Btime.Nsec)
	}
	return m, nil
}

// lock locks the folder; closing what it returns ends that, and so does the end of the process. Danger: whoever has it locked may
// stand still, so nobody waits for long.
func (f *Store) lock() (*os.File, error) {
	d, err := os.Open(f.dir)
	if err != nil {
		return nil, err
	}
	for by := time.Now().Add(lockWithin); ; time.Sleep(lockWithin / 100) {
		if err = unix.Flock(int(d.Fd()), unix.LOCK_EX|unix.LOCK_NB); err == nil {
			return d, nil
		}
		if !errors.Is(err, unix.EWOULDBLOCK) || time.Now().After(by) {
			d.Close()
			return nil, fmt.Errorf("flock: %w", err)
		}
	}
}

// Quarantine keeps what is there under another name, where a sidecar begins anew.
func (f *Store) Quarantine() error {
	f.last = mark{}
	return os.Rename(filepath.Join(f.dir, name), filepath.Join(f.dir, name+"-unusable"))
}

// Save writes a state.
func (f *Store) Save(data []byte, done func(error)) { f.saves <- save{data, done} }

// write has either the old state or the new one on disk, whatever happens. What can't be read of an old one is kept beside.
func (f *Store) write(data []byte) (err error) {
	defer func() {
		if err != nil && !errors.Is(err, ErrConflict) {
			err = fmt.Errorf("fleet.dir: %w", err)
		}
	}()
	if err := os.MkdirAll(f.dir, 0o700); err != nil {
		return err
	}
	held := f.held
	if f.held = nil; held == nil {
		if held, err = f.lock(); err != nil {
			return err
		}
	}
	defer held.Close()
	path := filepath.Join(f.dir, name)
	if err := f.unchanged(path); err != nil {
		return err
	}
	part, err := os.CreateTemp(f.dir, name+"-*")
	if err != nil {
		return err
	}
	defer os.Remove(part.Name())
	own, err := markOf(part)
	if err == nil {
		_, err = part.Write(append(fmt.Appendf(nil, head, own.inode, own.birth), data...))
	}
	if err = errors.Join(err, part.Sync(), part.Close()); err != nil {
		return err
	}
	if err := os.Rename(part.Name(), path); err != nil {
		return err
	}
	f.last = own
	return held.Sync() // a renamed file stays renamed
}

// unchanged tells whether the file is the one that this process knows. Danger: two processes that write in turns would each
// overwrite what the other has promised.
func (f *Store) unchanged(path string) error {
	file, err := os.Open(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil // somebody has taken it away: what this process knows is all that there is
	case err != nil:
		return err
	}
	defer file.Close()
	switch now, err := markOf(file); {
	case err != nil:
		return err
	case now != f.last:
		return ErrConflict
	}
	return nil
}
