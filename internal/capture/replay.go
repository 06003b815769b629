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

// ErrNothingToReplay is returned for a text without an event that can be replayed.
var ErrNothingToReplay = errors.New("capture: nothing to replay")

// Summary counts what a replay has found.
type Summary struct {
	Lines     int // complete lines
	Segments  int
	Events    int // inputs that were replayed
	Compared  int // decisions
	Different int // decisions that differ
	Truncated int // truncated lines, and lines of an unknown kind
	Skipped   int // lines that were not compared as the state before them is not known
}

// String returns the summary as the command prints it.
func (s Summary) String() string {
	return fmt.Sprintf("%d lines in %d segments: %d events replayed, %d decisions compared, %d differ; "+
		"%d lines truncated, %d lines not compared", s.Lines, s.Segments, s.Events, s.Compared, s.Different, s.Truncated, s.Skipped)
}

// Replay replays the inputs of a record and prints each decision that differs from the recorded one to out. Other text is ignored,
// since a dump may be part of a log. It returns an error of reading in, or ErrNothingToReplay.
func Replay(in io.Reader, out io.Writer) (Summary, error) {
	r := &replayer{out: out}
	lines := bufio.NewReader(in)
	for {
		text, err := lines.ReadString('\n')
		r.lineNumber++
		if text != "" {
			r.readText(strings.TrimSpace(text))
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return r.summary, err
		}
	}
	r.compareEvent(false)
	if r.summary.Events == 0 {
		return r.summary, ErrNothingToReplay
	}
	return r.summary, nil
}

// replayer replays a record. It carries out the actions of its Balancer by collecting them.
type replayer struct {
	out          io.Writer
	summary      Summary
	lineNumber   int
	balancer     *policy.Balancer // nil while the state is not known
	segment      int              // number of the last segment
	now          float64          // time of the last input
	eventLine    int              // line number of the last input
	replayed     []Decision       // decisions that the replay made on it
	recorded     []recordedDecision
	hostNames    map[uint32]string
	openRequests map[uint32]Label
}

// readText reads a line of the text, which may hold more than one line of the record, or a fragment.
func (r *replayer) readText(text string) {
	start := strings.Index(text, linePrefix)
	if start < 0 {
		if isFragment(text) {
			r.skipFragment(text)
		}
		return
	}
	if isFragment(text[:start]) {
		r.skipFragment(text[:start])
	}
	text = text[start:]
	var l line
	if json.Unmarshal([]byte(text), &l) == nil && r.handleLine(&l, text) {
		r.summary.Lines++
		return
	}
	if next := strings.Index(text[1:], linePrefix); next >= 0 {
		r.skipFragment(text[:1+next])
		r.readText(text[1+next:])
		return
	}
	r.skipFragment(text)
}

// isFragment returns whether a text that does not begin like a line of the record is a fragment of one and not a line of the
// surrounding log: it contains a JSON key, has no log level, and does not end with a complete JSON object, which a log collector
// may have prefixed.
func isFragment(text string) bool {
	if text != "" && strings.HasPrefix(linePrefix, text) {
		return true
	}
	i := strings.IndexByte(text, '{')
	hasObject := i >= 0 && json.Valid([]byte(text[i:]))
	return strings.Contains(text, `":`) && !strings.Contains(text, "level=") && !hasObject
}

// skipFragment skips a fragment of a line. If it may belong to an input, the state after it is unknown and later decisions could
// differ for that reason alone, so nothing is compared until the next checkpoint.
func (r *replayer) skipFragment(text string) {
	r.summary.Truncated++
	isDecision := strings.Contains(text, `"k":"`+string(kindDecision)+`"`) || strings.Contains(text, `"do":"`)
	if isDecision {
		if r.balancer != nil {
			r.recorded = append(r.recorded, recordedDecision{isFragment: true})
		}
		return
	}
	r.compareEvent(false)
	r.balancer = nil
}

// handleLine handles a complete line. It returns false for an unknown kind.
func (r *replayer) handleLine(l *line, text string) bool {
	switch l.Kind {
	case kindDump: // the text before it may have been cut
		r.compareEvent(false)
		r.balancer = nil
		r.segment = 0
	case kindEnd:
		r.compareEvent(true)
		r.balancer = nil
	case kindStart, kindState, kindNoState:
		r.compareEvent(true)
		r.summary.Segments++
		r.startSegment(l)
	case kindLost:
		r.compareEvent(false)
		r.balancer = nil
	case kindDecision:
		r.addRecorded(l, text)
	case kindHosts, kindRequest, kindOutcome, kindProbe, kindWake, kindAbandoned, kindStall, kindReplica:
		r.compareEvent(true)
		if r.balancer == nil {
			r.summary.Skipped++
			break
		}
		r.summary.Events++
		r.eventLine = r.lineNumber
		r.now = float64(l.At)
		r.replayInput(l)
	default:
		return false
	}
	return true
}

// addRecorded adds a recorded decision to those of the last input.
func (r *replayer) addRecorded(l *line, text string) {
	if r.balancer == nil {
		r.summary.Skipped++
		return
	}
	d := l.Decision
	d.AfterSeconds = float64(l.AfterSeconds)
	r.recorded = append(r.recorded, recordedDecision{Decision: d, lineNumber: r.lineNumber, text: text})
}

// startSegment restores the state from the head of a segment. A segment without state continues from the one directly before it,
// if the state there is known.
func (r *replayer) startSegment(l *line) {
	follows := l.Segment == r.segment+1
	r.segment = l.Segment
	if l.Kind == kindNoState {
		if !follows {
			r.balancer = nil
		}
		return
	}
	r.hostNames = map[uint32]string{}
	r.openRequests = map[uint32]Label{}
	for _, h := range l.HostNames {
		r.hostNames[h.Host] = h.Name
	}
	for _, q := range l.OpenRequests {
		r.openRequests[q.Request] = Label{q.ID, q.Class}
	}
	var err error
	r.balancer, err = r.newBalancer(l)
	if err != nil {
		r.balancer = nil
		r.printf("line %d: the segment can't be replayed: %v\n", r.lineNumber, err)
	}
}

// newBalancer returns a Balancer with the state of a segment's head.
func (r *replayer) newBalancer(l *line) (*policy.Balancer, error) {
	if l.Settings == nil {
		return nil, errors.New("no settings")
	}
	if l.Kind == kindState {
		return policy.Restore(*l.Settings, l.State, r)
	}
	seed, err := strconv.ParseUint(l.Seed, 16, 64)
	if err != nil {
		return nil, err
	}
	return policy.New(*l.Settings, seed, r), nil
}

// replayInput passes an input to policy. As in the sidecar, a panic is reported and ends the event only.
func (r *replayer) replayInput(l *line) {
	defer func() {
		if cause := recover(); cause != nil {
			r.printf("line %d: the decisions panic: %v\n", r.lineNumber, cause)
		}
	}()
	switch l.Kind {
	case kindHosts:
		var list []policy.HostInfo
		for i := range l.Hosts {
			list = append(list, l.Hosts[i].info())
			r.hostNames[l.Hosts[i].ID] = l.Hosts[i].Name
		}
		r.balancer.UpdateHosts(r.now, policy.ListKind(l.ListKind), list)
	case kindRequest:
		r.openRequests[l.Request] = Label{l.ID, l.Class}
		r.balancer.StartRequest(r.now, l.request())
	case kindOutcome:
		r.balancer.AttemptDone(r.now, l.result())
	case kindProbe:
		r.balancer.ProbeDone(r.now, l.result())
	case kindWake:
		r.balancer.Wake(r.now)
	case kindAbandoned:
		r.balancer.Abandoned(r.now, l.Request)
	case kindReplica:
		r.balancer.SetReplica(r.now, l.ReplicaIndex, l.Replicas)
	case kindStall:
		r.balancer.ObserveStall(r.now, float64(l.LateSeconds))
	}
}

// printf prints to out and ignores write errors.
func (r *replayer) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, format, args...) // the summary that Replay returns has the result, too
}
