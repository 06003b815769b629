package capture

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"iter"
	"log/slog"
	"strconv"
	"time"

	"hazelwheel/policy"
)

// Settings say how much is recorded, and where.
type Settings struct {
	Enabled  bool
	MaxBytes int    // of all segments
	Segments int    // at least 1; MaxBytes/Segments must be at least MinSegmentBytes
	Dir      string // folder for the files; empty: no files
}

// MinSegmentBytes is the smallest size of a segment.
const MinSegmentBytes = 8 << 10

// lostLineBytes is reserved in each segment for the line that ends it prematurely.
const lostLineBytes = 64

// Source gives the Recorder the state and the names that it writes at the head of a segment.
type Source interface {
	// Checkpoint appends the state of policy, as policy.Balancer.Checkpoint does.
	Checkpoint(dst []byte, maxBytes int) (state []byte, ok bool)
	// HostName returns the name of a host, "" if it is not known.
	HostName(id uint32) string
	// HostNames and RequestLabels return the names of all hosts and requests that the state may refer to.
	HostNames() iter.Seq2[uint32, string]
	RequestLabels() iter.Seq2[uint32, Label]
}

// Stats are counters of a recorder.
type Stats struct {
	Lines                     uint64 `json:"lines"`
	LinesLost                 uint64 `json:"lost"`          // lines that had no room in their segment
	Segments                  int    `json:"segments"`      // started
	SegmentsWithoutState      uint64 `json:"no_checkpoint"` // segments whose head would have filled more than half of them
	MaxCheckpointMicroseconds int64  `json:"checkpoint_max_us"`
	Dumps                     uint64 `json:"dumps"`
	DiskErrors                uint64 `json:"disk_errors"`
	DiskLostBytes             uint64 `json:"disk_lost_bytes"`
}

// Recorder keeps the record in a ring of segments. All memory is allocated at the start; recording a line allocates none. It is used
// by the goroutine of the event loop only. All methods that record, and WritesFiles, Flush, Close, Resume and Stats, do
// nothing on a nil Recorder.
type Recorder struct {
	source       Source
	settingsJSON []byte // of policy

	segments     [][]byte // the ring
	segmentBytes int      // capacity of a segment
	current      int      // index of the segment that is written
	isCut        bool     // the current segment has lost a line and takes no more

	now              float64 // time of the last input
	lineBuffer       []byte
	headBuffer       []byte
	checkpointBuffer []byte

	stats        Stats
	files        *fileWriter // nil without files
	flushedBytes int         // bytes of the current segment already passed to files
}

// New returns a recorder for a policy.Balancer that policy.New has returned for the settings and the seed.
func New(s Settings, policySettings policy.Settings, seed uint64, now float64, source Source, log *slog.Logger) (*Recorder, error) {
	settingsJSON, err := json.Marshal(policySettings)
	if err != nil {
		return nil, fmt.Errorf("capture: settings: %w", err)
	}
	segmentBytes := s.MaxBytes / s.Segments
	c := &Recorder{
		source:           source,
		settingsJSON:     settingsJSON,
		segmentBytes:     segmentBytes,
		now:              now,
		lineBuffer:       make([]byte, 0, segmentBytes/2),
		headBuffer:       make([]byte, 0, segmentBytes/2),
		checkpointBuffer: make([]byte, 0, base64.StdEncoding.DecodedLen(segmentBytes/2)),
	}
	if s.Dir != "" {
		c.files = newFileWriter(s, now, log)
	}
	for range s.Segments {
		c.segments = append(c.segments, make([]byte, 0, segmentBytes))
	}
	text := strconv.AppendUint(append(c.startSegment(kindStart), `,"seed":"`...), seed, 16)
	text = append(append(text, `","settings":`...), settingsJSON...)
	c.writeSegmentHead(append(text, "}\n"...), true)
	return c, nil
}

// startSegment clears the current segment and returns the beginning of its head.
func (c *Recorder) startSegment(kind lineKind) []byte {
	c.stats.Segments++
	c.segments[c.current] = c.segments[c.current][:0]
	c.isCut = false
	c.flushedBytes = 0
	return c.segmentHead(kind)
}

// segmentHead returns the beginning of the current segment's head.
func (c *Recorder) segmentHead(kind lineKind) []byte {
	return appendInt(append(appendInput(c.headBuffer[:0], c.now, kind), `,"segment":`...), int64(c.stats.Segments))
}

// writeSegmentHead writes the head of the current segment. One that is not complete, or fills more than half of the segment, is
// replaced by one without state.
func (c *Recorder) writeSegmentHead(text []byte, isComplete bool) {
	if !isComplete || len(text) > c.segmentBytes/2 {
		text = append(c.segmentHead(kindNoState), "}\n"...)
		c.stats.SegmentsWithoutState++
	}
	c.segments[c.current] = append(c.segments[c.current], text...)
	c.stats.Lines++
}

// rotate replaces the oldest segment by a new one, which starts with a checkpoint of the state before the next input. Danger:
// without the checkpoint no later line could be replayed once the segment with the start is dropped.
func (c *Recorder) rotate() {
	startedAt := time.Now()
	c.Flush()
	c.current = (c.current + 1) % len(c.segments)
	state, isComplete := c.source.Checkpoint(c.checkpointBuffer[:0], cap(c.checkpointBuffer))
	text := append(append(c.startSegment(kindState), `,"settings":`...), c.settingsJSON...)
	text = append(c.appendNames(text), `,"state":"`...)
	text = base64.StdEncoding.AppendEncode(text, state)
	c.writeSegmentHead(append(text, "\"}\n"...), isComplete)
	c.stats.MaxCheckpointMicroseconds = max(c.stats.MaxCheckpointMicroseconds, time.Since(startedAt).Microseconds())
}

// Resume starts a new segment after policy has taken over the state of another process, which can't be reconstructed from
// the record so far.
func (c *Recorder) Resume() {
	if c != nil {
		c.rotate()
	}
}

// appendNames appends the names of the hosts and requests that the state refers to.
func (c *Recorder) appendNames(dst []byte) []byte {
	dst = append(dst, `,"names":[`...)
	isFirst := true
	separate := func() {
		if !isFirst {
			dst = append(dst, ',')
		}
		isFirst = false
	}
	for id, name := range c.source.HostNames() {
		separate()
		dst = appendInt(append(dst, `{"host":`...), int64(id))
		dst = append(appendString(append(dst, `,"to":`...), truncateLabel(name)), '}')
	}
	dst = append(dst, `],"open":[`...)
	isFirst = true
	for id, l := range c.source.RequestLabels() {
		separate()
		dst = appendInt(append(dst, `{"req":`...), int64(id))
		dst = append(appendLabel(dst, l), '}')
	}
	return append(dst, ']')
}

// inputLine returns the beginning of an input's line, in lineBuffer.
func (c *Recorder) inputLine(now float64, kind lineKind) []byte {
	c.now = now
	return appendInput(c.lineBuffer[:0], now, kind)
}

// writeInput completes and writes the line of an input. If the line would leave less than an eighth of the segment for the
// decisions that follow, a new segment is started first.
func (c *Recorder) writeInput(text []byte) {
	text = append(text, "}\n"...)
	if c.files != nil && len(c.segments[c.current])-c.flushedBytes >= chunkBytes {
		c.Flush()
	}
	if c.isCut || len(c.segments[c.current])+len(text)+c.segmentBytes/8 > c.segmentBytes {
		c.rotate()
	}
	c.writeLine(text)
}

// writeLine appends a line to the current segment. If there is no room, it marks the segment as cut: later lines are dropped
// until the next segment, since they can't be replayed without the missing one.
func (c *Recorder) writeLine(text []byte) {
	segment := c.segments[c.current]
	switch {
	case c.isCut:
		c.stats.LinesLost++
	case len(segment)+len(text)+lostLineBytes > c.segmentBytes:
		c.segments[c.current] = append(appendHead(segment, c.now, kindLost), "}\n"...)
		c.isCut = true
		c.stats.LinesLost++
	default:
		c.segments[c.current] = append(segment, text...)
		c.stats.Lines++
	}
}

// Dump returns a copy of all segments, the oldest first. The recorder must not be nil.
func (c *Recorder) Dump(now float64) []byte {
	c.stats.Dumps++
	size := 2 * lostLineBytes
	for _, segment := range c.segments {
		size += len(segment)
	}
	dst := append(appendHead(make([]byte, 0, size), now, kindDump), "}\n"...)
	for i := range c.segments {
		dst = append(dst, c.segments[(c.current+1+i)%len(c.segments)]...)
	}
	return append(appendHead(dst, now, kindEnd), "}\n"...)
}

// WritesFiles returns whether segments are written to files.
func (c *Recorder) WritesFiles() bool { return c != nil && c.files != nil }

// Flush passes new lines to the file writer, if there is one. It is called between events, so that a file ends with a complete
// event, and does not block.
func (c *Recorder) Flush() {
	if !c.WritesFiles() {
		return
	}
	segment := c.segments[c.current]
	c.files.write(c.stats.Segments, segment[c.flushedBytes:])
	c.flushedBytes = len(segment)
}

// Close flushes and waits until the files are written, for closeTimeout at most. Nothing may be recorded after it.
func (c *Recorder) Close() {
	if c.WritesFiles() {
		c.Flush()
		c.files.close()
	}
}

// Stats returns a copy of the counters, nil for a nil Recorder.
func (c *Recorder) Stats() *Stats {
	if c == nil {
		return nil
	}
	s := c.stats
	if c.files != nil {
		s.DiskErrors = c.files.errors.Load()
		s.DiskLostBytes = c.files.lostBytes
	}
	return &s
}
