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

// Settings say how much is kept, and where.
type Settings struct {
	Enabled  bool
	MaxBytes int
	Segments int    // segments
	Dir      string // where they are written; empty: nowhere
}

// LeastSegment is the least that a segment may hold.
const MinSegmentBytes = 8 << 10

// Source is the program whose decisions are recorded.
type Source interface {
	// Checkpoint appends the state of the decisions, as policy.Balancer does.
	Checkpoint(dst []byte, most int) ([]byte, bool)
	// HostName names a host, "" if it is not known.
	HostName(id uint32) string
	// HostNames and RequestLabels name all that the decisions may speak of.
	HostNames() iter.Seq2[uint32, string]
	RequestLabels() iter.Seq2[uint32, Label]
}

// Stats tell what a recorder has done.
type Stats struct {
	Lines                     uint64 `json:"lines"`
	LinesLost                 uint64 `json:"lost"`          // lines without room
	Segments                  int    `json:"segments"`      // begun
	SegmentsWithoutState      uint64 `json:"no_checkpoint"` // segments whose checkpoint would have filled half of them
	MaxCheckpointMicroseconds int64  `json:"checkpoint_max_us"`
	Dumps                     uint64 `json:"dumps"`
	DiskErrors                uint64 `json:"disk_errors"`
	DiskLostBytes             uint64 `json:"disk_lost_bytes"`
}

// Recorder keeps the lines in a ring of segments. Its memory is taken at the start, and lines are appended without more.
// It belongs to the event loop. A nil Recorder records nothing.
type Recorder struct {
	source   Source
	settings []byte // of the decisions, as JSON
	ring     [][]byte
	size     int // of a segment
	at       int // the present one
	now      float64
	room     []byte // the memory of a line
	head     []byte // of a segment's head
	state    []byte // of a checkpoint
	cut      bool   // a line was lost; nothing more goes into this segment
	stats    Stats
	disk     *disk
	flushed  int // bytes of the present segment that the disk's writer has been given
}

// lostRoom is kept in each segment for the line that ends it early.
const lostRoom = 64

// New returns a recorder of decisions that have not been told anything yet.
func New(s Settings, under policy.Settings, seed uint64, now float64, source Source, log *slog.Logger) (*Recorder, error) {
	raw, err := json.Marshal(under)
	if err != nil {
		return nil, fmt.Errorf("capture: settings: %w", err)
	}
	c := &Recorder{source: source, settings: raw, size: s.MaxBytes / s.Segments, now: now}
	if s.Dir != "" {
		c.disk = newDisk(s, now, log)
	}
	for range s.Segments {
		c.ring = append(c.ring, make([]byte, 0, c.size))
	}
	c.room, c.head = make([]byte, 0, c.size/2), make([]byte, 0, c.size/2)
	c.state = make([]byte, 0, base64.StdEncoding.DecodedLen(c.size/2))
	text := append(strconv.AppendUint(append(c.begin(kindStart), `,"seed":"`...), seed, 16), `","settings":`...)
	c.headed(append(append(text, raw...), "}\n"...), true)
	return c, nil
}

// begin clears the present segment and returns the begin of its head.
func (c *Recorder) begin(kind string) []byte {
	c.stats.Segments++
	c.ring[c.at], c.cut, c.flushed = c.ring[c.at][:0], false, 0
	return c.heading(kind)
}

func (c *Recorder) heading(kind string) []byte {
	return appendInt(append(appendInput(c.head[:0], c.now, kind), `,"segment":`...), int64(c.stats.Segments))
}

// headed writes the head of the present segment. One that is not whole, or would fill half of it, is left out.
func (c *Recorder) headed(text []byte, whole bool) {
	if !whole || len(text) > c.size/2 {
		text = append(c.heading(kindNoState), "}\n"...)
		c.stats.SegmentsWithoutState++
	}
	c.ring[c.at] = append(c.ring[c.at], text...)
	c.stats.Lines++
}

// roll drops the oldest segment and begins a new one in its place, with the state of the decisions as they are before
// the event at hand. Danger: without it nothing that follows could be replayed once the start is dropped.
func (c *Recorder) roll() {
	began := time.Now()
	c.Flush()
	c.at = (c.at + 1) % len(c.ring)
	state, whole := c.source.Checkpoint(c.state[:0], cap(c.state))
	text := append(append(c.begin(kindState), `,"settings":`...), c.settings...)
	text = base64.StdEncoding.AppendEncode(append(c.appendNames(text), `,"state":"`...), state)
	c.headed(append(text, "\"}\n"...), whole)
	c.stats.MaxCheckpointMicroseconds = max(c.stats.MaxCheckpointMicroseconds, time.Since(began).Microseconds())
}

// Resume notes that the decisions go on from a state of another process: what was recorded so far does not lead there.
func (c *Recorder) Resume() {
	if c != nil {
		c.roll()
	}
}

// appendNames writes what the decisions' numbers are called outside.
func (c *Recorder) appendNames(dst []byte) []byte {
	dst = append(dst, `,"names":[`...)
	comma := false
	next := func() {
		if comma {
			dst = append(dst, ',')
		}
		comma = true
	}
	for id, name := range c.source.HostNames() {
		next()
		dst = appendInt(append(dst, `{"host":`...), int64(id))
		dst = append(appendString(append(dst, `,"to":`...), label(name)), '}')
	}
	dst = append(dst, `],"open":[`...)
	comma = false
	for id, l := range c.source.RequestLabels() {
		next()
		dst = appendInt(append(dst, `{"req":`...), int64(id))
		dst = appendString(append(dst, `,"id":`...), label(l.ID))
		dst = append(appendString(append(dst, `,"class":`...), label(l.Class)), '}')
	}
	return append(dst, ']')
}

// input takes the line of an event that the decisions are told next. A segment must have room for what follows from
// it; where it may not, a new one begins first.
func (c *Recorder) input(text []byte) {
	text = append(text, "}\n"...)
	if c.disk != nil && len(c.ring[c.at])-c.flushed >= chunkBytes {
		c.Flush()
	}
	if c.cut || len(c.ring[c.at])+len(text)+c.size/8 > c.size {
		c.roll()
	}
	c.put(text)
}

// put appends a line, or marks the segment as cut off here. The decisions go on from a state that only the next
// checkpoint tells.
func (c *Recorder) put(text []byte) {
	seg := c.ring[c.at]
	switch {
	case c.cut:
		c.stats.LinesLost++
	case len(seg)+len(text)+lostRoom > c.size:
		c.ring[c.at] = append(appendHead(seg, c.now, kindLost), "}\n"...)
		c.cut = true
		c.stats.LinesLost++
	default:
		c.ring[c.at] = append(seg, text...)
		c.stats.Lines++
	}
}

// begun begins the line of an input at the exact time that the decisions are told.
func (c *Recorder) begun(now float64, kind string) []byte {
	c.now = now
	return appendInput(c.room[:0], now, kind)
}

// Dump returns a copy of all segments, the oldest first.
func (c *Recorder) Dump(now float64) []byte {
	c.stats.Dumps++
	all := 2 * lostRoom
	for _, seg := range c.ring {
		all += len(seg)
	}
	dst := append(appendHead(make([]byte, 0, all), now, kindDump), "}\n"...)
	for i := range c.ring {
		dst = append(dst, c.ring[(c.at+1+i)%len(c.ring)]...)
	}
	return append(appendHead(dst, now, kindEnd), "}\n"...)
}

// ToDisk tells whether segments are written to files.
func (c *Recorder) WritesFiles() bool { return c != nil && c.disk != nil }

// Flush hands what is new to the disk's writer, if there is one. It is called between events: a file then ends with a
// whole one.
func (c *Recorder) Flush() {
	if !c.WritesFiles() {
		return
	}
	seg := c.ring[c.at]
	c.disk.write(c.stats.Segments, seg[c.flushed:])
	c.flushed = len(seg)
}

// Close hands on the rest and waits until it is written, or for as long as a disk may take.
func (c *Recorder) Close() {
	if c.WritesFiles() {
		c.Flush()
		c.disk.close()
	}
}

// Stats returns what has been done so far; nil where nothing is recorded.
func (c *Recorder) Stats() *Stats {
	if c == nil {
		return nil
	}
	s := c.stats
	if c.disk != nil {
		s.DiskErrors, s.DiskLostBytes = c.disk.errors.Load(), c.disk.lost
	}
	return &s
}
