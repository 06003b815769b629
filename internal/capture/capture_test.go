package capture

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"iter"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/policy"
)

// recordedBalancer is a Balancer whose inputs and actions are recorded as the sidecar records them.
type recordedBalancer struct {
	*policy.Balancer
	*Recorder
	t                *testing.T
	now              float64
	rng              *rand.Rand
	hosts            []policy.HostInfo
	openRequests     map[uint32]Label
	attemptsInFlight [][2]uint32
	lastRequest      uint32
	finishedRequests []uint32 // requests that have ended with this event
	attempts         map[uint32]int
	probesInFlight   []uint32
	wakes            []float64
}

func newRecordedBalancer(t *testing.T, s Settings, hosts int) *recordedBalancer {
	r := &recordedBalancer{t: t, now: 1.7e9, rng: rand.New(rand.NewPCG(5, 5)), openRequests: map[uint32]Label{}, attempts: map[uint32]int{}}
	under := policy.Settings{Classes: []policy.Class{{Name: "read", LatencyTargetSeconds: 0.3, TotalTimeoutSeconds: 1}, {Name: "write", Effect: policy.Unsafe, LatencyTargetSeconds: 1, TotalTimeoutSeconds: 2}},
		Replicas: 1, TickSeconds: 0.001, MaxAttempts: 3, CanCancel: true, MaxRetryAfterSeconds: 2, SlowStartFraction: 0.3, SlowStartSeconds: 8, SlowStartMultiple: 3, SlowStartWindowSeconds: 2,
		ProbesEnabled: true, ReportsOnProbe: true, ReportFields: []policy.ReportField{policy.FieldInflight}, ListOnDemand: true, MaxListRequestGapSeconds: 10}
	var err error
	r.Recorder, err = New(s, under, 7, r.now, r, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	r.Balancer = policy.New(under, 7, r)
	for i := range hosts {
		r.hosts = append(r.hosts, policy.HostInfo{ID: uint32(i + 1), State: policy.Ready, Size: 1})
	}
	r.updateHosts(policy.ListFull)
	return r
}

func (r *recordedBalancer) HostName(id uint32) string { return fmt.Sprintf("s-%08x", id) }
func (r *recordedBalancer) HostNames() iter.Seq2[uint32, string] {
	return func(yield func(uint32, string) bool) {
		for _, h := range r.hosts {
			if !yield(h.ID, r.HostName(h.ID)) {
				return
			}
		}
	}
}
func (r *recordedBalancer) RequestLabels() iter.Seq2[uint32, Label] { return maps.All(r.openRequests) }

func (r *recordedBalancer) recordFor(id uint32, d Decision) {
	d.Request, d.ID, d.Class = id, r.openRequests[id].ID, r.openRequests[id].Class
	r.RecordDecision(d)
}
func (r *recordedBalancer) Send(id, host uint32) {
	r.recordFor(id, Decision{Action: ActionSend, Host: host})
	r.attemptsInFlight = append(r.attemptsInFlight, [2]uint32{id, host})
	r.attempts[id]++
}
func (r *recordedBalancer) Cancel(id uint32, n int) {
	r.recordFor(id, Decision{Action: ActionCancel, Attempt: n})
}
func (r *recordedBalancer) Refuse(id uint32, after float64) {
	r.recordFor(id, Decision{Action: ActionRefuse, AfterSeconds: after})
	r.finishedRequests = append(r.finishedRequests, id)
}
func (r *recordedBalancer) Fail(id uint32) {
	r.recordFor(id, Decision{Action: ActionFail})
	r.finishedRequests = append(r.finishedRequests, id)
}
func (r *recordedBalancer) CloseIdle(host uint32) {
	r.RecordDecision(Decision{Action: ActionCloseIdle, Host: host})
}
func (r *recordedBalancer) Watch() { r.RecordDecision(Decision{Action: ActionWatch}) }
func (r *recordedBalancer) Log(text string) {
	r.RecordDecision(Decision{Action: ActionLog, Text: text})
}
func (r *recordedBalancer) Probe(host uint32) {
	r.RecordDecision(Decision{Action: ActionProbe, Host: host})
	r.probesInFlight = append(r.probesInFlight, host)
}
func (r *recordedBalancer) WakeAfter(s float64) {
	r.RecordDecision(Decision{Action: ActionWake, AfterSeconds: s})
	r.wakes = append(r.wakes, r.now+s)
}

func (r *recordedBalancer) updateHosts(kind policy.ListKind) {
	r.Recorder.RecordHosts(r.now, kind, r.hosts)
	r.Balancer.UpdateHosts(r.now, kind, r.hosts)
}

// run draws random events, records each and passes it to the Balancer.
func (r *recordedBalancer) run(events int) *recordedBalancer {
	for range events {
		r.now += 0.01 * r.rng.ExpFloat64()
		for _, id := range r.finishedRequests {
			delete(r.openRequests, id)
		}
		r.finishedRequests = nil
		x := r.rng.IntN(100)
		switch {
		case x == 0:
			i := r.rng.IntN(len(r.hosts))
			r.hosts[i].State, r.hosts[i].Started = policy.HostState(1+r.rng.IntN(2)), r.now
			r.updateHosts(policy.ListKind(r.rng.IntN(3)))
		case x < 35:
			r.lastRequest++
			r.openRequests[r.lastRequest] = Label{fmt.Sprintf("id \"%d\" \\ \xff{\"t\":", r.lastRequest), "read"}
			q := policy.Request{ID: r.lastRequest, Class: r.rng.IntN(2), Deadline: r.now + 1, Repeat: x%2 == 0, HeldBackSeconds: float64(x%3) / 10}
			r.Recorder.RecordRequest(r.now, q, r.openRequests[q.ID])
			r.Balancer.StartRequest(r.now, q)
		case x < 60 && len(r.attemptsInFlight) > 0:
			o := r.attemptsInFlight[0]
			r.attemptsInFlight = r.attemptsInFlight[1:]
			res := policy.Result{ID: o[0], Attempt: r.attempts[o[0]] - 1, Host: o[1], Outcome: policy.Outcome(r.rng.IntN(8)), DelaySeconds: r.rng.Float64() / 10}
			if x%3 > 0 {
				res.Outcome, res.Final = policy.OK, true
			}
			r.Recorder.RecordOutcome(r.now, res, r.openRequests[o[0]])
			r.Balancer.AttemptDone(r.now, res)
			if res.Final {
				r.finishedRequests = append(r.finishedRequests, o[0])
			}
		case x < 80 && len(r.probesInFlight) > 0:
			res := policy.Result{Host: r.probesInFlight[0], DelaySeconds: r.rng.Float64() / 50}
			r.probesInFlight = r.probesInFlight[1:]
			res.Report = policy.Report{N: 2, Values: [4]float32{float32(r.rng.IntN(5)) / 3, float32(math.NaN())}}
			r.Recorder.RecordProbe(r.now, res)
			r.Balancer.ProbeDone(r.now, res)
		case x < 82 && r.lastRequest > 0:
			id := r.lastRequest - uint32(r.rng.IntN(3))
			r.Recorder.RecordAbandoned(r.now, id, r.openRequests[id])
			r.Balancer.Abandoned(r.now, id)
			r.finishedRequests = append(r.finishedRequests, id)
		case len(r.wakes) > 0:
			r.now = max(r.now, min(r.wakes[0], r.now+0.05))
			r.wakes = r.wakes[1:]
			r.Recorder.RecordWake(r.now)
			r.Balancer.Wake(r.now)
		}
	}
	return r
}

// smallSettings configure a ring that a short run fills several times.
var smallSettings = Settings{Enabled: true, MaxBytes: 128 << 10, Segments: 4}

func mustReplay(t *testing.T, text string) (Summary, string) {
	var out strings.Builder
	summary, err := Replay(strings.NewReader(text), &out)
	require.NoError(t, err, "%v", summary)
	return summary, out.String()
}

// A ring that has overwritten its start still replays without a difference, since each segment starts with a checkpoint.
// Dumps can also be replayed from a log whose other lines stand between those of the dumps.
func TestWrappedRingReplays(t *testing.T) {
	r := newRecordedBalancer(t, smallSettings, 9).run(50)
	early := string(r.Dump(r.now))
	summary, out := mustReplay(t, early)
	assert.Zero(t, summary.Different, out)
	assert.Equal(t, 1, summary.Segments, "the start")
	r.run(20000)
	late := string(r.Dump(r.now))
	assert.NotContains(t, late, `"k":"start"`)
	assert.LessOrEqual(t, len(late), smallSettings.MaxBytes+2*lostLineBytes)
	assert.Greater(t, len(late), smallSettings.MaxBytes/2)
	summary, out = mustReplay(t, late)
	assert.Zero(t, summary.Different, out)
	assert.Zero(t, summary.Skipped+summary.Truncated)
	assert.Equal(t, 4, summary.Segments)
	assert.Greater(t, summary.Compared, 200)
	assert.Greater(t, r.Stats().Segments, 30)
	assert.Zero(t, r.Stats().LinesLost+r.Stats().SegmentsWithoutState)

	const log = "time=2026-12-01T10:00:00.000Z level=INFO msg=\"a \\\"k\\\": b\" x={}\n"
	var both strings.Builder
	for _, dump := range []string{early, late} {
		for line := range strings.Lines(dump) {
			both.WriteString(log + "[13.84] " + line)
		}
	}
	all, out := mustReplay(t, both.String()+"[20.01] {\"requests\":5}\n")
	assert.Zero(t, all.Different+all.Truncated+all.Skipped, out)
	assert.Equal(t, 5, all.Segments)
	assert.Greater(t, all.Compared, summary.Compared)
}

// A decision that differs, is missing or is superfluous is printed, and the others still match.
func TestReplayFindsDifferences(t *testing.T) {
	dump := string(newRecordedBalancer(t, smallSettings, 9).run(5000).Dump(0))
	lines := strings.SplitAfter(dump, "\n")
	send := func(text string) bool { return strings.Contains(text, `"do":"send"`) }
	at := len(lines) / 3
	for !send(lines[at]) {
		at++
	}
	event := at // line of the input that led to the decision
	for strings.Contains(lines[event], `"k":"dec"`) {
		event--
	}
	for name, change := range map[string]func(string) string{
		"another server": func(s string) string { return regexp.MustCompile(`"host":\d+`).ReplaceAllString(s, `"host":99`) },
		"another name": func(s string) string {
			return regexp.MustCompile(`"to":"[^"]*"`).ReplaceAllString(s, `"to":"s-5be2a07c"`)
		},
		"another action": func(s string) string { return strings.Replace(s, `"send"`, `"fail"`, 1) },
		"missing":        func(string) string { return "" },
		"too much":       func(s string) string { return s + strings.Replace(s, `"send"`, `"probe"`, 1) },
	} {
		changed := append(append(append([]string{}, lines[:at]...), change(lines[at])), lines[at+1:]...)
		summary, out := mustReplay(t, strings.Join(changed, ""))
		assert.Equal(t, 1, summary.Different, "%s: %s", name, out)
		assert.Equal(t, 2, strings.Count(out, "\n"), "%s: %s", name, out)
		place := map[string]int{"missing": event + 1, "too much": at + 2}[name]
		assert.Contains(t, out, fmt.Sprintf("line %d: ", cmp.Or(place, at+1)), name)
	}
	last := len(lines) - 2 // the end
	assert.Contains(t, lines[last], `"end"`)
	for !strings.Contains(lines[last], `"dec"`) {
		last--
	}
	summary, _ := mustReplay(t, strings.Join(append(lines[:last:last], lines[last+1:]...), ""))
	assert.Equal(t, 1, summary.Different, "the last decision of a complete dump is compared, too")
}

// A line that was truncated at either end causes no false difference. If it may have been an input, nothing is compared until
// the next checkpoint.
func TestTornLinesCauseNoDifference(t *testing.T) {
	lines := strings.SplitAfter(string(newRecordedBalancer(t, smallSettings, 9).run(5000).Dump(0)), "\n")
	lines = lines[1 : len(lines)-2] // without the first and last line of the dump, which replay doesn't need
	rng := rand.New(rand.NewPCG(9, 9))
	skipped, torn := 0, 0
	for range 150 {
		at := rng.IntN(len(lines))
		whole := strings.TrimSpace(lines[at])
		cut := 1 + rng.IntN(len(whole)-2)
		piece := whole[:cut] + []string{"\n", ""}[rng.IntN(2)]
		if rng.IntN(4) == 0 {
			piece = whole[min(cut, len(whole)-20):] + "\n"
		}
		if !strings.Contains(piece, `":`) && !strings.HasPrefix(linePrefix, strings.TrimSpace(piece)) {
			continue // too short to be told from a log line
		}
		changed := strings.Join(lines[:at], "") + piece + strings.Join(lines[at+1:], "")
		summary, out := mustReplay(t, changed)
		require.Zero(t, summary.Different, "%q: %s", piece, out)
		require.Equal(t, 1, summary.Truncated, "%q", piece)
		if torn++; summary.Skipped > 0 {
			skipped++
		}
	}
	assert.Greater(t, torn, 80)
	assert.Greater(t, skipped, 20)
	assert.Greater(t, torn-skipped, 20, "after a torn decision the rest is compared")

	_, err := Replay(strings.NewReader("time=x level=INFO msg=y\n"+lines[len(lines)-1]), io.Discard)
	assert.ErrorIs(t, err, ErrNothingToReplay, "without a state there is nothing to replay")
	_, err = Replay(strings.NewReader(""), io.Discard)
	assert.ErrorIs(t, err, ErrNothingToReplay)
}

// Recording a line allocates nothing.
func TestRecordingAllocatesNothing(t *testing.T) {
	r := newRecordedBalancer(t, Settings{Enabled: true, MaxBytes: 16 << 20, Segments: 4}, 9).run(500)
	q, id := policy.Request{ID: 5, Deadline: 1.7e9}, Label{"9b1f03aa5c7e2d41", "raise-alert"}
	res := policy.Result{ID: 5, Host: 3, DelaySeconds: 0.1, Report: policy.Report{N: 4}}
	host := "s-5be2a07c"
	r.Recorder.source = fixedHostName{r, host}
	assert.Zero(t, testing.AllocsPerRun(1000, func() {
		r.Recorder.RecordRequest(r.now, q, id)
		r.Recorder.RecordOutcome(r.now, res, id)
		r.Recorder.RecordProbe(r.now, res)
		r.Recorder.RecordWake(r.now)
		r.Recorder.RecordAbandoned(r.now, 5, id)
		r.Recorder.RecordHosts(r.now, policy.ListDelta, r.hosts)
		r.RecordDecision(Decision{Action: ActionSend, Request: 5, Host: 3, ID: id.ID, Class: id.Class})
		r.RecordDecision(Decision{Action: ActionRefuse, Request: 5, AfterSeconds: 0.7, ID: id.ID, Class: id.Class})
	}))
}

// fixedHostName gives all hosts one name, allocated beforehand.
type fixedHostName struct {
	*recordedBalancer
	name string
}

func (n fixedHostName) HostName(uint32) string { return n.name }

// The line of a decision has the documented form.
func TestDecisionLine(t *testing.T) {
	d := Decision{ID: "9b1f03aa5c7e2d41", Class: "raise-alert", HostName: "s-5be2a07c", Action: ActionSend, Request: 17, Host: 1541578876}
	assert.Equal(t, `{"t":1718000000123,"k":"dec","id":"9b1f03aa5c7e2d41","class":"raise-alert","to":"s-5be2a07c","do":"send","req":17,"host":1541578876}`+"\n",
		string(d.append(nil, 1718000000.1235)))
}

// A checkpoint that would fill half of its segment is left out and the segment's head says so. Recording continues, and the
// record can be replayed as long as no earlier segment was dropped. An input without room ends its segment.
func TestLinesWithoutRoom(t *testing.T) {
	r := newRecordedBalancer(t, Settings{Enabled: true, MaxBytes: 64 << 10, Segments: 4}, 40)
	for r.Stats().Segments < 3 {
		r.run(10)
	}
	dump := string(r.Dump(0))
	assert.Contains(t, dump, `"k":"nostate"`)
	assert.NotContains(t, dump, `"state":"`)
	summary, out := mustReplay(t, dump)
	assert.Zero(t, summary.Different+summary.Skipped, out)
	for r.Stats().Segments < 9 {
		r.run(10)
	}
	_, err := Replay(bytes.NewReader(r.Dump(0)), io.Discard)
	assert.ErrorIs(t, err, ErrNothingToReplay)

	r = newRecordedBalancer(t, Settings{Enabled: true, MaxBytes: 64 << 10, Segments: 4}, 12).run(50)
	few := r.hosts
	for i := range 500 {
		r.hosts = append(r.hosts, policy.HostInfo{ID: uint32(1000 + i), State: policy.Gone})
	}
	r.updateHosts(policy.ListDelta)
	r.hosts = few
	r.run(5)
	dump = string(r.Dump(0))
	assert.Contains(t, dump, `"k":"lost"`)
	summary, out = mustReplay(t, dump)
	assert.Zero(t, summary.Different, out)
	assert.NotZero(t, r.Stats().LinesLost)
}

func listFiles(t *testing.T, dir string) (names []string, size int64) {
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, e := range entries {
		info, err := e.Info()
		require.NoError(t, err)
		names, size = append(names, filepath.Join(dir, e.Name())), size+info.Size()
	}
	return names, size
}

// Segments are written to files, which can each be replayed alone. Together with files of earlier runs they stay within the
// limits.
func TestSegmentFiles(t *testing.T) {
	s := smallSettings
	s.Dir = filepath.Join(t.TempDir(), "deep", "capture")
	require.NoError(t, os.MkdirAll(s.Dir, 0o755))
	for i := range 9 {
		name := fmt.Sprintf("capture-%013d-%09d.jsonl", 1600000000000, i)
		require.NoError(t, os.WriteFile(filepath.Join(s.Dir, name), make([]byte, 20<<10), 0o600))
	}
	require.NoError(t, os.WriteFile(filepath.Join(s.Dir, "notes.txt"), nil, 0o600))
	r := newRecordedBalancer(t, s, 9)
	for i := range 400 {
		r.run(10)
		r.Flush()
		for len(r.files.freeChunks) < maxChunks { // until the writer has written all
			time.Sleep(50 * time.Microsecond)
		}
		names, size := listFiles(t, s.Dir)
		require.LessOrEqual(t, len(names), s.Segments+1, i)
		require.LessOrEqual(t, size, int64(s.MaxBytes), i)
	}
	r.Recorder.Close()
	names, _ := listFiles(t, s.Dir)
	assert.Contains(t, names, filepath.Join(s.Dir, "notes.txt"), "other files stay")
	require.Len(t, names, s.Segments+1)
	all := ""
	for _, name := range names[:s.Segments] {
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		summary, out := mustReplay(t, string(text))
		assert.Zero(t, summary.Different+summary.Skipped+summary.Truncated, out)
		all += string(text)
	}
	summary, out := mustReplay(t, all)
	assert.Zero(t, summary.Different+summary.Skipped+summary.Truncated, out)
	assert.Equal(t, s.Segments, summary.Segments)
	assert.Zero(t, r.Stats().DiskErrors+r.Stats().DiskLostBytes)
}

// countingWriter counts the writes of log lines.
type countingWriter struct {
	slog.Handler
	n *atomic.Int64
}

func (w countingWriter) Write(p []byte) (int, error) { w.n.Add(1); return len(p), nil }

// Failing writes are logged, and a writer that makes no progress does not block the recorder.
func TestFailingDisk(t *testing.T) {
	s := smallSettings
	s.Dir = filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(s.Dir, nil, 0o600))
	r := newRecordedBalancer(t, s, 9)
	w := countingWriter{n: &atomic.Int64{}}
	r.files.log = slog.New(slog.NewTextHandler(w, nil))
	for range 300 {
		r.run(10)
		r.Flush()
	}
	r.Recorder.Close()
	assert.NotZero(t, r.Stats().DiskErrors)
	assert.NotZero(t, w.n.Load())
	summary, out := mustReplay(t, string(r.Dump(0)))
	assert.Zero(t, summary.Different, out)

	d := &fileWriter{log: slog.New(slog.NewTextHandler(w, nil)), queue: make(chan chunk, maxChunks), freeChunks: make(chan []byte, maxChunks)}
	for range maxChunks { // and no goroutine that writes
		d.freeChunks <- make([]byte, 0, chunkBytes)
	}
	for range 100 {
		d.write(1, make([]byte, chunkBytes+1))
	}
	assert.EqualValues(t, 96*(chunkBytes+1), d.lostBytes)
	assert.Len(t, d.queue, maxChunks)
}
