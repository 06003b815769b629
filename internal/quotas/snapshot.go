package quotas

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"hazelwheel/internal/decide/quota"
)

const (
	snapshotFileName = "quotas.snapshot"
	// closeTimeout is how long Close waits for the last snapshot.
	closeTimeout = 2 * time.Second
	// WriterDescriptors is what the writer may hold.
	WriterDescriptors = 2
)

// SnapshotWriter writes snapshots to a folder beside the event loop. Danger: a disk may be slow, full or gone; serving goes on, and
// one that can't be written in time is left out: the next holds all that it would have.
type SnapshotWriter struct {
	dir        string
	log        *slog.Logger
	queue      chan *quota.State
	finished   chan struct{}
	lastFailed bool // the last could not be written; the writer's

	Written atomic.Uint64
	Errors  atomic.Uint64
	Skipped uint64 // left out since the one before was still being written
}

// NewSnapshotWriter returns a writer to a folder.
func NewSnapshotWriter(dir string, log *slog.Logger) *SnapshotWriter {
	d := &SnapshotWriter{dir: dir, log: log, queue: make(chan *quota.State, 1), finished: make(chan struct{})}
	go d.run()
	return d
}

// IsReady tells whether another snapshot would be taken now. It is asked before one is made, which costs time.
func (d *SnapshotWriter) IsReady() bool {
	if len(d.queue) == cap(d.queue) {
		d.Skipped++
		return false
	}
	return true
}

// Write has a state written. It never waits.
func (d *SnapshotWriter) Write(s *quota.State) {
	select {
	case d.queue <- s:
	default:
		d.Skipped++
	}
}

// Close has a last state written and waits for it.
func (d *SnapshotWriter) Close(last *quota.State) {
	until := time.After(closeTimeout)
	select {
	case d.queue <- last:
	case <-until:
	}
	close(d.queue)
	select {
	case <-d.finished:
	case <-until:
		d.log.Warn("quotas: the disk has not taken the last snapshot")
	}
}

func (d *SnapshotWriter) run() {
	defer close(d.finished)
	for s := range d.queue {
		err := d.write(s)
		if err != nil {
			if d.Errors.Add(1); !d.lastFailed {
				d.log.Error("quotas: a snapshot can't be written", "error", err)
			}
		} else {
			d.Written.Add(1)
		}
		d.lastFailed = err != nil
	}
}

// write replaces the snapshot. Danger: a file that is written over is half old and half new where the machine goes down
// meanwhile; so another is written, and takes its name when it is whole.
func (d *SnapshotWriter) write(s *quota.State) error {
	raw, err := s.Encode()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(d.dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(d.dir, snapshotFileName)
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(raw)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// LoadSnapshot reads the folder's snapshot, nil if there is none. One that can't be used is set aside under another name, with a
// line in the log, and it is as if there were none.
func LoadSnapshot(dir string, log *slog.Logger) *quota.State {
	path := filepath.Join(dir, snapshotFileName)
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err == nil {
		s, bad := quota.Decode(raw)
		if bad == nil {
			return s
		}
		err = bad
	}
	aside := fmt.Sprintf("%s.set-aside", path)
	if moved := os.Rename(path, aside); moved != nil {
		err, aside = errors.Join(err, moved), path
	}
	log.Warn("quotas: the snapshot can't be used; all groups begin anew", "error", err, "file", aside)
	return nil
}
