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
	// chunkBytes and mostChunks bound the queue of what is to be written.
	chunkBytes = 32 << 10
	mostChunks = 8
	// closeWithinS is how long the last bytes may take at the end.
	closeWithinS = 2
	// DiskDescriptors is what the writer may hold.
	WriterDescriptors = 2
)

// chunk is a piece of a segment.
type chunk struct {
	segment int
	data    []byte
}

// disk writes segments to files beside the event loop. Danger: a disk may be slow, full or gone; serving goes on
// without it, and what it does not take in time is left out, to the end of its segment.
type disk struct {
	dir      string
	began    int64 // part of the files' names: files of earlier runs sort before
	files    int
	maxBytes int64
	log      *slog.Logger

	queue chan chunk
	free  chan []byte // chunks' memory
	done  chan struct{}
	skip  int    // the segment whose rest is left out
	lost  uint64 // bytes that were left out

	// The rest belongs to the writer.
	errors  atomic.Uint64
	file    *os.File
	segment int
	spoilt  bool // the present file can't be written on
}

func newDisk(s Settings, now float64, log *slog.Logger) *disk {
	d := &disk{dir: s.Dir, began: int64(now * 1000), files: s.Segments, maxBytes: int64(s.MaxBytes), log: log,
		queue: make(chan chunk, mostChunks), free: make(chan []byte, mostChunks), done: make(chan struct{})}
	for range mostChunks {
		d.free <- make([]byte, 0, chunkBytes)
	}
	go d.run()
	return d
}

// write queues bytes of a segment, all or none: a file then ends with a whole event. It never waits.
func (d *disk) write(segment int, data []byte) {
	if d.skip == segment || len(d.free) < (len(data)+chunkBytes-1)/chunkBytes {
		if d.lost += uint64(len(data)); d.skip != segment {
			d.skip = segment
			d.log.Warn("capture: the disk is too slow; the rest of a segment is left out", "segment", segment)
		}
		return
	}
	for len(data) > 0 {
		room := <-d.free // nobody else takes from it
		n := min(len(data), chunkBytes)
		d.queue <- chunk{segment, append(room[:0], data[:n]...)} // has room for all chunks
		data = data[n:]
	}
}

// close waits for the writer.
func (d *disk) close() {
	close(d.queue)
	select {
	case <-d.done:
	case <-time.After(closeWithinS * time.Second):
		d.log.Warn("capture: the disk has not taken the last lines")
	}
}

func (d *disk) run() {
	defer close(d.done)
	for c := range d.queue {
		if c.segment != d.segment {
			d.next(c.segment)
		}
		if !d.spoilt {
			_, err := d.file.Write(c.data)
			d.fail(err)
		}
		d.free <- c.data[:0]
	}
	if d.file != nil {
		d.fail(d.file.Close())
	}
}

// fail gives the present file up where err is not nil.
func (d *disk) fail(err error) {
	if err != nil {
		d.spoilt = true
		d.errors.Add(1)
		d.log.Error("capture: a segment can't be written", "error", err)
	}
}

// next begins the file of a segment, with room for it under the cap.
func (d *disk) next(segment int) {
	if d.file != nil {
		_ = d.file.Close() // what it says concerns a file that is written or given up
	}
	d.file, d.segment, d.spoilt = nil, segment, false
	err := os.MkdirAll(d.dir, 0o755)
	if err == nil {
		err = d.prune()
	}
	if err == nil {
		name := fmt.Sprintf("capture-%013d-%09d.jsonl", d.began, segment)
		d.file, err = os.OpenFile(filepath.Join(d.dir, name), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	}
	d.fail(err)
}

// ours are the names of the files that count, those of earlier runs too.
var ours = regexp.MustCompile(`^capture-\d{13}-\d{9}\.jsonl$`)

// prune removes the oldest files until one more fits.
func (d *disk) prune() error {
	entries, err := os.ReadDir(d.dir) // sorted by name, which is by age
	if err != nil {
		return err
	}
	var names []string
	var sizes []int64
	left := d.maxBytes - d.maxBytes/int64(d.files)
	for _, e := range entries {
		if info, err := e.Info(); err == nil && ours.MatchString(e.Name()) {
			names, sizes = append(names, e.Name()), append(sizes, info.Size())
			left -= info.Size()
		}
	}
	for i := 0; i < len(names) && (left < 0 || len(names)-i >= d.files); i++ {
		if err := os.Remove(filepath.Join(d.dir, names[i])); err != nil {
			return err
		}
		left += sizes[i]
	}
	return nil
}
