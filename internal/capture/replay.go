package capture

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"hazelwheel/policy"
)

// ErrNothing is the fault of a file of which nothing can be replayed.
var ErrNothingToReplay = errors.New("capture: nothing to replay")

// Tally counts what a replay has met.
type Summary struct {
	Lines     int // whole ones
	Segments  int
	Events    int // replayed
	Compared  int // decisions
	Different int
	Truncated int // lines that were cut, or that nobody knows
	Skipped   int // lines that were not compared, since the state before them is not known
}

func (t Summary) String() string {
	return fmt.Sprintf("%d lines in %d segments: %d events replayed, %d decisions compared, %d differ; "+
		"%d lines truncated, %d lines not compared", t.Lines, t.Segments, t.Events, t.Compared, t.Different, t.Truncated, t.Skipped)
}

// Replay feeds the inputs in a record through the decisions, and prints each decision that differs from what was
// recorded. What is no line of a record is passed over: dumps stand among the lines of a log.
func Replay(in io.Reader, out io.Writer) (Summary, error) {
	r := &replayer{out: out}
	lines := bufio.NewReader(in)
	for {
		text, err := lines.ReadString('\n')
		if r.number++; text != "" {
			r.read(strings.TrimSpace(text))
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return r.tally, err
		}
	}
	r.finish(false)
	if r.tally.Events == 0 {
		return r.tally, ErrNothingToReplay
	}
	return r.tally, nil
}

type replayer struct {
	out     io.Writer
	tally   Summary
	number  int              // of the line
	b       *policy.Balancer // nil while the state is not known
	segment int
	now     float64
	event   int // the number of the last input's line
	did     []Decision
	said    []recorded
	hosts   map[uint32]string
	open    map[uint32]Label
}

// read takes a line of the file, which may hold more than one of the record, or a piece.
func (r *replayer) read(text string) {
	start := strings.Index(text, lineStart)
	if start < 0 {
		if torn(text) {
			r.torn(text)
		}
		return
	}
	if torn(text[:start]) {
		r.torn(text[:start])
	}
	text = text[start:]
	var l line
	if json.Unmarshal([]byte(text), &l) == nil && r.take(&l, text) {
		r.tally.Lines++
		return
	}
	if next := strings.Index(text[1:], lineStart); next >= 0 {
		r.torn(text[:1+next])
		r.read(text[1+next:])
		return
	}
	r.torn(text)
}

// torn passes over a piece of a line. Danger: one that may have been an input leaves the state behind it unknown; the
// decisions from there on would differ for that alone.
func (r *replayer) torn(text string) {
	r.tally.Truncated++
	if strings.Contains(text, `"k":"`+kindDecision+`"`) || strings.Contains(text, `"do":"`) {
		if r.b != nil {
			r.said = append(r.said, recorded{torn: true})
		}
		return
	}
	r.finish(false)
	r.b = nil
}

// take takes a whole line; it returns false for one of a kind that nobody knows.
func (r *replayer) take(l *line, text string) bool {
	switch l.Kind {
	case kindDump: // what stands before it may have been cut
		r.finish(false)
		r.b, r.segment = nil, 0
	case kindEnd:
		r.finish(true)
		r.b = nil
	case kindStart, kindState, kindNoState:
		r.finish(true)
		r.tally.Segments++
		r.head(l)
	case kindLost:
		r.finish(false)
		r.b = nil
	case kindDecision:
		if r.b == nil {
			r.tally.Skipped++
			break
		}
		d := l.Decision
		d.AfterSeconds = float64(l.After)
		r.said = append(r.said, recorded{Decision: d, number: r.number, text: text})
	case kindHosts, kindRequest, kindOutcome, kindProbe, kindWake, kindGone, kindStalled, kindPlace:
		r.finish(true)
		if r.b == nil {
			r.tally.Skipped++
			break
		}
		r.tally.Events++
		r.event, r.now = r.number, float64(l.At)
		r.feed(l)
	default:
		return false
	}
	return true
}

// head takes the state that a segment begins with. One that has none goes on from the segment before it.
func (r *replayer) head(l *line) {
	follows := l.Segment == r.segment+1
	r.segment = l.Segment
	if l.Kind == kindNoState {
		if !follows {
			r.b = nil
		}
		return
	}
	r.b, r.hosts, r.open = nil, map[uint32]string{}, map[uint32]Label{}
	for _, h := range l.Hosts {
		r.hosts[h.Host] = h.Name
	}
	for _, q := range l.Requests {
		r.open[q.Request] = Label{q.ID, q.Class}
	}
	var err error
	switch {
	case l.Settings == nil:
		err = errors.New("no settings")
	case l.Kind == kindStart:
		var seed uint64
		if seed, err = strconv.ParseUint(l.Seed, 16, 64); err == nil {
			r.b = policy.New(*l.Settings, seed, r)
		}
	default:
		r.b, err = policy.Restore(*l.Settings, l.State, r)
	}
	if err != nil {
		r.b = nil
		fmt.Fprintf(r.out, "line %d: the segment can't be replayed: %v\n", r.number, err)
	}
}

// feed hands an input to the decisions. A panic there ended the event for the sidecar, too.
func (r *replayer) feed(l *line) {
	defer func() {
		if cause := recover(); cause != nil {
			fmt.Fprintf(r.out, "line %d: the decisions panic: %v\n", r.number, cause)
		}
	}()
	switch l.Kind {
	case kindHosts:
		var list []policy.HostInfo
		for i := range l.Members {
			list = append(list, l.Members[i].info())
			r.hosts[l.Members[i].ID] = l.Members[i].Name
		}
		r.b.UpdateHosts(r.now, policy.ListKind(l.List), list)
	case kindRequest:
		r.open[l.Request] = Label{l.ID, l.Class}
		r.b.StartRequest(r.now, l.request())
	case kindOutcome:
		r.b.AttemptDone(r.now, l.result())
	case kindProbe:
		r.b.ProbeDone(r.now, l.result())
	case kindWake:
		r.b.Wake(r.now)
	case kindGone:
		r.b.Abandoned(r.now, l.Request)
	case kindPlace:
		r.b.SetReplica(r.now, l.Rank, l.Count)
	case kindStalled:
		r.b.ObserveStall(r.now, float64(l.Late))
	}
}

// torn tells whether a text that does not begin like a line is a piece of one, and not of the log round it: no line
// with a level, and no whole object, whatever a collector of logs has put before it.
func torn(text string) bool {
	if text != "" && strings.HasPrefix(lineStart, text) {
		return true
	}
	i := strings.IndexByte(text, '{')
	whole := i >= 0 && json.Valid([]byte(text[i:]))
	return strings.Contains(text, `":`) && !strings.Contains(text, "level=") && !whole
}
