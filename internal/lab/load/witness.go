package load

import (
	"fmt"
	"io"
	"slices"
	"time"

	"hazelwheel/internal/checker"
)

// A client alone can tell few breaks of the standing rules, and none where a request got one whole answer while it was
// waited for. So the hot path tells the judge nothing: what a try was about is told, from its start on, when something
// comes of it that may be a break, and judged when the run is over.

const (
	// mostTales is how many tries each thread tells of; what goes wrong beyond them is counted alone.
	mostTales = 2000
	// crossWithin is how long a connection's end may be under way against a request on it. The sidecar closes what has
	// rested, and can't know that a request is coming.
	crossWithin = time.Second
	// ownStall is a time between two looks at the sockets from which this client was itself stopped. Danger: when what it
	// finds then came is anybody's guess.
	ownStall = 100 * time.Millisecond
)

// testimony is what a thread has seen that may break a rule.
type testimony struct {
	events []checker.Event
	tales  uint64
	beyond int64 // tries that may break a rule and are not told of
}

// at returns a time of the run as the judge counts it.
func at(d time.Duration) float64 { return d.Seconds() }

// introduce tells of a try from its start: it was asked, and its last byte was written. It returns false where there is no
// judge, or too much has been told.
func (w *worker) introduce(j *job) bool {
	t := &w.result.seen
	if w.plan.Slack == 0 {
		return false
	}
	until := at(j.sent + w.plan.Patience)
	if j.tale == 0 {
		if t.tales >= mostTales {
			t.beyond++
			return false
		}
		t.tales++
		j.tale = uint64(w.index)<<32 | t.tales
		asked := checker.Event{Kind: checker.RequestStarted, Server: -1, Class: int32(j.class), At: at(j.sent), Deadline: until, Request: j.tale, FirstRequest: j.tale}
		if j.again {
			asked.At, asked.Deadline = at(j.askedAt), at(j.askedAt+w.plan.Patience)
			taken := asked
			taken.Kind, taken.Connection = checker.RequestSent, j.tale
			t.events = append(t.events, asked, taken)
			w.tell(j, checker.ConnectionDropped, j.droppedAt, 0, true)
		} else {
			t.events = append(t.events, asked)
		}
	}
	t.events = append(t.events, checker.Event{Kind: checker.RequestSent, Server: -1, At: at(j.sent), Deadline: until, Request: j.tale, Connection: j.tale})
	return true
}

// tell adds an event of a try that was begun.
func (w *worker) tell(j *job, kind checker.Kind, d time.Duration, status int, reused bool) {
	w.result.seen.events = append(w.result.seen.events, checker.Event{Kind: kind, Server: -1, At: at(d), Status: int32(status),
		Request: j.tale, Connection: j.tale, Reused: reused})
}

// droppedOn tells that the other side has ended a link with a request out and no byte of its answer.
func (w *worker) droppedOn(l *link, now time.Duration) {
	j := &l.job
	rested := j.sent-l.opened >= crossWithin && now-j.sent < crossWithin
	switch {
	case w.plan.Slack == 0:
	case l.carried > 0 && !j.again: // the close may have crossed the request, which is sent once more
		j.askedAt, j.droppedAt = j.sent, now
	case len(l.pending) > 0: // Danger: what was not written whole was not taken
	case w.gap >= ownStall || !j.again && (rested || !w.plan.Calm):
	case w.introduce(j):
		w.tell(j, checker.ConnectionDropped, now, 0, false)
	}
}

// surplus tells of bytes that nothing was asked for. The link is of no more use: whose answer comes on it next could not
// be told.
func (w *worker) surplus(l *link, data []byte) {
	now := w.now()
	if l.carried > 0 && len(data) >= 12 && string(data[:7]) == "HTTP/1." {
		j := l.job
		if w.introduce(&j) {
			second := reply{}
			second.readHead(append(slices.Clone(data[:12]), '\n'))
			w.tell(&j, checker.ResponseReceived, l.answeredAt, l.reply.status, false)
			w.tell(&j, checker.ResponseReceived, now, second.status, false)
		}
	} else if t := &w.result.seen; w.plan.Slack > 0 && t.tales < mostTales {
		t.tales++
		t.events = append(t.events, checker.Event{Kind: checker.UnsolicitedBytes, Server: -1, At: at(now)})
	} else if w.plan.Slack > 0 {
		t.beyond++
	}
	w.close(l)
	w.lost(l)
}

// listen keeps a link's connection, whose client has given its request up, until the slack is over as well. The link is
// free for another connection.
func (w *worker) listen(l *link) {
	late := &link{fd: l.fd, state: overdue, job: l.job, reply: l.reply, carried: l.carried, opened: l.opened}
	l.reply = reply{}
	w.links[int32(late.fd)] = late
	l.fd, l.state, l.pending = -1, down, nil
	w.overdue++
}

// heard ends the listening on a link: an answer has come, or part of one that has no end.
func (w *worker) heard(l *link) {
	w.overdue--
	w.close(l)
}

// silent ends the listening on a link on which nothing has come until its slack was over.
func (w *worker) silent(l *link, now time.Duration) {
	if w.introduce(&l.job) {
		w.tell(&l.job, checker.RequestAbandoned, now, 0, false)
	}
	w.heard(l)
}

// Finding is a break of a standing rule, as far as a client alone can tell.
type Finding struct {
	Rule    string  `json:"rule"`
	AtS     float64 `json:"at_s"` // of the run
	Sidecar int     `json:"sidecar"`
	Request uint64  `json:"request,omitempty"` // tries of one run that have the same number are one
	Why     string  `json:"why"`
}

// mostSidecars is how many the numbers of requests tell apart.
const mostSidecars = 1 << 16

// of has all events tell of a sidecar by its number.
func (t *testimony) of(sidecar int) {
	for i := range t.events {
		e := &t.events[i]
		e.Sidecar = int32(sidecar)
		if e.Request != 0 {
			e.Request |= uint64(sidecar) << 48
			e.FirstRequest, e.Connection = e.Request, e.Request
		}
	}
}

func (t *testimony) merge(o *testimony) {
	t.events = append(t.events, o.events...)
	t.beyond += o.beyond
}

// judge judges what has been seen of some sidecars.
func (r *Result) judge(p *Plan, sidecars int) {
	r.Unjudged = r.seen.beyond
	if r.Judged = p.Slack > 0; !r.Judged || len(r.seen.events) == 0 {
		return
	}
	rules := checker.Rules{Sidecars: sidecars, AnswerSlackSeconds: p.Slack.Seconds(), RequiresAnswerInTime: true, IsFaultFree: p.Calm, ObservesClientsOnly: true}
	for _, c := range p.Classes {
		rules.Classes = append(rules.Classes, checker.Class{Name: c.Name})
	}
	// Danger: the events of a try keep their order, also those of one time.
	slices.SortStableFunc(r.seen.events, func(a, b checker.Event) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	j := checker.New(rules)
	for _, e := range r.seen.events {
		j.Observe(e)
	}
	r.Breaks = int64(j.ViolationCount())
	for _, f := range j.Violations() {
		r.Findings = append(r.Findings, Finding{Rule: string(f.Rule), AtS: f.At, Sidecar: int(f.Sidecar), Request: f.Request, Why: f.Reason})
	}
}

// Kept reports whether no break of a rule was seen.
func (r *Result) Kept() bool { return r.Breaks == 0 && r.Unjudged == 0 }

// mostPrinted is how many findings are printed; all that are kept are in the JSON.
const mostPrinted = 10

func (r *Result) printFindings(w io.Writer) {
	if !r.Judged {
		return
	}
	if r.Kept() {
		fmt.Fprintln(w, "judged: no rule was broken that a client alone can judge")
		return
	}
	fmt.Fprintf(w, "judged: rules were broken %d times", r.Breaks)
	if r.Unjudged > 0 {
		fmt.Fprintf(w, ", and %d more tries were not looked at", r.Unjudged)
	}
	fmt.Fprintln(w)
	for i, f := range r.Findings {
		if i == mostPrinted {
			fmt.Fprintln(w, "  and more")
			break
		}
		fmt.Fprintf(w, "  %8.3f s, sidecar %d: %s: %s\n", f.AtS, f.Sidecar, f.Rule, f.Why)
	}
}
