// Package folder keeps a fleet's state on the machine's disk. It writes beside the loop, and what it says is written is
// synced.
package folder

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

const (
	name = "peer"
	// mostState bounds what is read, in bytes.
	mostState = 64 << 10
)

// Folder is a folder for one sidecar. Save is for one loop.
type Folder struct {
	dir   string
	post  func(func())
	saves chan save
}

type save struct {
	data []byte
	done func(error)
}

// Open returns a folder whose answers come by post.
func Open(dir string, post func(func())) *Folder {
	f := &Folder{dir: dir, post: post, saves: make(chan save, 16)}
	go func() {
		for s := range f.saves {
			err := f.write(s.data)
			f.post(func() { s.done(err) })
		}
	}()
	return f
}

// Close ends the goroutine that writes.
func (f *Folder) Close() { close(f.saves) }

// Load returns what was saved last; nil where there is nothing. It comes before the loop.
func (f *Folder) Load() ([]byte, error) {
	file, err := os.Open(filepath.Join(f.dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, mostState))
}

// Aside keeps what is there under another name, where a sidecar begins anew.
func (f *Folder) Aside() error {
	return os.Rename(filepath.Join(f.dir, name), filepath.Join(f.dir, name+"-unusable"))
}

// Save writes a state.
func (f *Folder) Save(data []byte, done func(error)) { f.saves <- save{data, done} }

// write has either the old state or the new one on disk, whatever happens. What can't be read of an old one is kept beside.
func (f *Folder) write(data []byte) (err error) {
	if err := os.MkdirAll(f.dir, 0o700); err != nil {
		return err
	}
	path := filepath.Join(f.dir, name)
	part, err := os.CreateTemp(f.dir, name+"-*")
	if err != nil {
		return err
	}
	defer os.Remove(part.Name())
	_, err = part.Write(data)
	err = errors.Join(err, part.Sync(), part.Close())
	if err == nil {
		err = os.Rename(part.Name(), path)
	}
	if err == nil {
		err = syncDir(f.dir)
	}
	if err != nil {
		return fmt.Errorf("fleet.dir: %w", err)
	}
	return nil
}

// syncDir has a renamed file stay renamed.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
