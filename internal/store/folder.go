package store

import (
	"io"
	"os"
	"path/filepath"
)

const (
	// A store may hold credentials, so only the user of the process may read it.
	filePerm = 0o600
	dirPerm  = 0o700
)

// folder abstracts the file system, so that tests can simulate a disk. The creation, renaming or removal of a file survives a loss of power
// once the folder was synced; a creation does so too once the file itself was synced.
type folder interface {
	path(name string) string // for error texts
	list() ([]string, error)
	open(name string) (io.ReadSeekCloser, error)
	create(name string) (writableFile, error) // truncates an existing file
	rename(from, to string) error
	remove(name string) error
	sync() error
}

// writableFile is a file that is open for writing. Writes are durable once Sync has returned without an error.
type writableFile interface {
	io.WriterAt
	io.Closer
	Truncate(size int64) error
	Sync() error
}

// osFolder is a folder in the operating system's file system.
type osFolder string

func (f osFolder) path(name string) string { return filepath.Join(string(f), name) }

func (f osFolder) list() (names []string, err error) {
	entries, err := os.ReadDir(string(f))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, err
}

func (f osFolder) open(name string) (io.ReadSeekCloser, error) { return os.Open(f.path(name)) }

func (f osFolder) create(name string) (writableFile, error) {
	return os.OpenFile(f.path(name), os.O_RDWR|os.O_CREATE|os.O_TRUNC, filePerm)
}

func (f osFolder) rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

func (f osFolder) remove(name string) error { return os.Remove(f.path(name)) }

func (f osFolder) sync() error {
	opened, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer func() { _ = opened.Close() }() // it was opened only to sync it
	return opened.Sync()
}
