package capture

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"sync/atomic"
	"time"
)

const (
	// chunkBytes and maxChunks limit the queue of data to write.
	chunkBytes = 32 << 10
	maxChunks  = 8
	// closeTimeout is how long close waits for the last bytes.
	closeTimeout = 2 * time.Second
	// WriterDescriptors is the most file descriptors that the file writer holds at a time.
	WriterDescriptors = 2
)

// chunk is a part of a segment.
type chunk struct {
	segment int
	data    []byte
}

// fileWriter writes segments to files in a goroutine of its own.
//
// Danger: a slow, full or failed disk must not block the event loop. If the queue is full, the data and the rest of its segment are
// dropped.
type fileWriter struct {
	dir               string
	startMilliseconds int64 // first part of the file names, so that files of earlier runs sort first
	maxFiles          int
	maxBytes          int64
	log               *slog.Logger

	queue      chan chunk
	freeChunks chan []byte // buffers that are not in the queue
	done       chan struct{}

	// Used by write only, in the event loop.
	droppedSegment int // the segment whose rest is dropped
	lostBytes      uint64

	errors atomic.Uint64

	// Used by run only.
	file      *os.File
	segment   int  // of file
	hasFailed bool // nothing more is written to file
}

// newFileWriter starts the goroutine of a fileWriter, which close ends.
func newFileWriter(s Settings, now float64, log *slog.Logger) *fileWriter {
	w := &fileWriter{
		dir:               s.Dir,
		startMilliseconds: int64(now * 1000),
		maxFiles:          s.Segments,
		maxBytes:          int64(s.MaxBytes),
		log:               log,
		queue:             make(chan chunk, maxChunks),
		freeChunks:        make(chan []byte, maxChunks),
		done:              make(chan struct{}),
	}
	for range maxChunks {
		w.freeChunks <- make([]byte, 0, chunkBytes)
	}
	go w.run()
	return w
}

// write queues either all of data or, without room for it, nothing, so that a file ends with a complete event. It does not block.
func (w *fileWriter) write(segment int, data []byte) {
	if w.droppedSegment == segment || len(w.freeChunks) < (len(data)+chunkBytes-1)/chunkBytes {
		w.lostBytes += uint64(len(data))
		if w.droppedSegment != segment {
			w.droppedSegment = segment
			w.log.Warn("capture: disk too slow, rest of segment dropped", "segment", segment)
		}
		return
	}
	for len(data) > 0 {
		buf := <-w.freeChunks // does not block: only this goroutine takes from it
		n := min(len(data), chunkBytes)
		w.queue <- chunk{segment, append(buf[:0], data[:n]...)} // does not block: it has room for all chunks
		data = data[n:]
	}
}

// close stops the goroutine after it has written the queue, and waits for it for at most closeTimeout.
func (w *fileWriter) close() {
	close(w.queue)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
		w.log.Warn("capture: disk too slow, last lines not written")
	}
}

// run writes chunks until the queue is closed.
func (w *fileWriter) run() {
	defer close(w.done)
	for c := range w.queue {
		if c.segment != w.segment {
			w.openFile(c.segment)
		}
		if !w.hasFailed {
			_, err := w.file.Write(c.data)
			w.handleError(err)
		}
		w.freeChunks <- c.data[:0]
	}
	if w.file != nil {
		w.handleError(w.file.Close())
	}
}

// handleError counts and logs an error, if there is one, and stops writing to the current file.
func (w *fileWriter) handleError(err error) {
	if err != nil {
		w.hasFailed = true
		w.errors.Add(1)
		w.log.Error("capture: segment not written", "error", err)
	}
}

// openFile creates the file of a segment, after removing old files to make room for it.
func (w *fileWriter) openFile(segment int) {
	if w.file != nil {
		_ = w.file.Close() // the file is complete, or has failed and was reported
	}
	w.file = nil
	w.segment = segment
	w.hasFailed = false
	err := os.MkdirAll(w.dir, 0o755)
	if err == nil {
		err = w.prune()
	}
	if err == nil {
		name := fmt.Sprintf("capture-%013d-%09d.jsonl", w.startMilliseconds, segment)
		w.file, err = os.OpenFile(filepath.Join(w.dir, name), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	}
	w.handleError(err)
}

// segmentFileName matches the names of segment files, also of earlier runs; only these count towards the limits and are pruned.
var segmentFileName = regexp.MustCompile(`^capture-\d{13}-\d{9}\.jsonl$`)

// prune removes the oldest files until one more fits into maxFiles and maxBytes.
func (w *fileWriter) prune() error {
	entries, err := os.ReadDir(w.dir) // sorted by name, and so by age
	if err != nil {
		return err
	}
	var names []string
	var sizes []int64
	free := w.maxBytes - w.maxBytes/int64(w.maxFiles)
	for _, e := range entries {
		if info, err := e.Info(); err == nil && segmentFileName.MatchString(e.Name()) {
			names = append(names, e.Name())
			sizes = append(sizes, info.Size())
			free -= info.Size()
		}
	}
	for i := 0; i < len(names) && (free < 0 || len(names)-i >= w.maxFiles); i++ {
		if err := os.Remove(filepath.Join(w.dir, names[i])); err != nil {
			return err
		}
		free += sizes[i]
	}
	return nil
}
