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
	// closeTimeout limits how long Close waits for the last snapshot.
	closeTimeout = 2 * time.Second
	// WriterDescriptors is the maximum number of file descriptors that a SnapshotWriter uses.
	WriterDescriptors = 2
)

// SnapshotWriter writes snapshots to a folder on a goroutine of its own. Its methods must be called on the event loop; Written and
// Errors may be read from any goroutine. A slow, full or missing disk does not block the event loop: a snapshot that can't be written
// in time is skipped, since the next one contains the complete state.
type SnapshotWriter struct {
	dir        string
	log        *slog.Logger
	queue      chan *quota.State
	finished   chan struct{}
	lastFailed bool // the last write failed; used by run only

	Written atomic.Uint64 // snapshots
	Errors  atomic.Uint64 // failed writes
	Skipped uint64        // snapshots skipped because an earlier one was not written yet; for the event loop only
}

// NewSnapshotWriter starts a writer to a folder, which it creates with the first snapshot. Close stops it.
func NewSnapshotWriter(dir string, log *slog.Logger) *SnapshotWriter {
	w := &SnapshotWriter{dir: dir, log: log, queue: make(chan *quota.State, 1), finished: make(chan struct{})}
	go w.run()
	return w
}

// IsReady reports whether a snapshot can be queued now, and counts one as skipped if not. Callers check it before they build a
// snapshot, which takes time.
func (w *SnapshotWriter) IsReady() bool {
	if len(w.queue) == cap(w.queue) {
		w.Skipped++
		return false
	}
	return true
}

// Write queues a snapshot. It never blocks; if one is queued already, the new one is skipped.
func (w *SnapshotWriter) Write(s *quota.State) {
	select {
	case w.queue <- s:
	default:
		w.Skipped++
	}
}

// Close queues a last snapshot and waits until it is written, for closeTimeout at most.
func (w *SnapshotWriter) Close(last *quota.State) {
	until := time.After(closeTimeout)
	select {
	case w.queue <- last:
	case <-until:
	}
	close(w.queue)
	select {
	case <-w.finished:
	case <-until:
		w.log.Warn("quotas: last snapshot not written in time")
	}
}

// run writes queued snapshots. Of consecutive failures only the first is logged.
func (w *SnapshotWriter) run() {
	defer close(w.finished)
	for s := range w.queue {
		err := w.write(s)
		if err != nil {
			if w.Errors.Add(1); !w.lastFailed {
				w.log.Error("quotas: a snapshot can't be written", "error", err)
			}
		} else {
			w.Written.Add(1)
		}
		w.lastFailed = err != nil
	}
}

// write replaces the snapshot file. Danger: a file that is overwritten in place is corrupt if the machine crashes meanwhile, so a new
// file is written, synced and then renamed.
func (w *SnapshotWriter) write(s *quota.State) error {
	raw, err := s.Encode()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(w.dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(w.dir, snapshotFileName)
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

// LoadSnapshot returns the folder's snapshot, or nil if there is none. If it can't be used, LoadSnapshot renames it, logs the error
// and returns nil.
func LoadSnapshot(dir string, log *slog.Logger) *quota.State {
	path := filepath.Join(dir, snapshotFileName)
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err == nil {
		s, decodeErr := quota.Decode(raw)
		if decodeErr == nil {
			return s
		}
		err = decodeErr
	}
	aside := fmt.Sprintf("%s.set-aside", path)
	if renameErr := os.Rename(path, aside); renameErr != nil {
		err, aside = errors.Join(err, renameErr), path
	}
	log.Warn("quotas: the snapshot can't be used; all groups begin anew", "error", err, "file", aside)
	return nil
}
