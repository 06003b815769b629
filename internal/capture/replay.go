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

// recorded is a decision as the record has it. One that is torn stands for any.
type recorded struct {
	Decision
	number int
	text   string
	torn   bool
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

// finish compares what the decisions did at the last event with what was recorded; whole tells that the record holds
// all of it.
func (r *replayer) finish(whole bool) {
	did, said := r.did, r.said
	r.did, r.said = r.did[:0], r.said[:0]
	for len(did) > 0 || len(said) > 0 {
		switch {
		case len(said) > 0 && said[0].torn:
			said, did = said[1:], did[min(1, len(did)):]
		case len(said) == 0:
			if !whole {
				return
			}
			r.differ(r.event, "", &did[0])
			did = did[1:]
		case len(did) == 0:
			r.differ(said[0].number, said[0].text, nil)
			said = said[1:]
		case alike(said[0].Decision, did[0]):
			r.tally.Compared++
			said, did = said[1:], did[1:]
		case len(did) > 1 && alike(said[0].Decision, did[1]): // one is missing
			r.differ(r.event, "", &did[0])
			did = did[1:]
		case len(said) > 1 && !said[1].torn && alike(said[1].Decision, did[0]): // one is too many
			r.differ(said[0].number, said[0].text, nil)
			said = said[1:]
		default:
			r.differ(said[0].number, said[0].text, &did[0])
			said, did = said[1:], did[1:]
		}
	}
}

// differ prints a difference.
func (r *replayer) differ(number int, said string, did *Decision) {
	r.tally.Compared++
	r.tally.Different++
	if said == "" {
		said = "nothing"
	}
	text := "nothing"
	if did != nil {
		text = strings.TrimSpace(string(did.append(nil, r.now)))
	}
	fmt.Fprintf(r.out, "line %d: recorded %s\nline %d: replayed %s\n", number, said, number, text)
}

// alike tells whether two decisions are the same; a name that one of them does not know counts for nothing.
func alike(a, b Decision) bool {
	for _, names := range [...][2]*string{{&a.ID, &b.ID}, {&a.Class, &b.Class}, {&a.HostName, &b.HostName}} {
		if *names[0] == "" || *names[1] == "" {
			*names[0], *names[1] = "", ""
		}
	}
	return a == b
}

// The replayer takes the actions of the decisions.
var _ policy.Actions = (*replayer)(nil)

func (r *replayer) note(d Decision) {
	if l, ok := r.open[d.Request]; ok && d.Request != 0 {
		d.ID, d.Class = l.ID, l.Class
	}
	if d.Host != 0 {
		d.HostName = r.hosts[d.Host]
	}
	d.Text = label(d.Text)
	r.did = append(r.did, d)
}

func (r *replayer) Send(request, host uint32) {
	r.note(Decision{Action: ActionSend, Request: request, Host: host})
}
func (r *replayer) Cancel(request uint32, attempt int) {
	r.note(Decision{Action: ActionCancel, Request: request, Attempt: attempt})
}
func (r *replayer) Probe(host uint32)     { r.note(Decision{Action: ActionProbe, Host: host}) }
func (r *replayer) CloseIdle(host uint32) { r.note(Decision{Action: ActionCloseIdle, Host: host}) }
func (r *replayer) Refuse(request uint32, after float64) {
	r.note(Decision{Action: ActionRefuse, Request: request, AfterSeconds: after})
}
func (r *replayer) Fail(request uint32) { r.note(Decision{Action: ActionFail, Request: request}) }
func (r *replayer) WakeAfter(seconds float64) {
	r.note(Decision{Action: ActionWake, AfterSeconds: seconds})
}
func (r *replayer) Watch()          { r.note(Decision{Action: ActionWatch}) }
func (r *replayer) Log(text string) { r.note(Decision{Action: ActionLog, Text: text}) }
