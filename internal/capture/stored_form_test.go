package capture

import (
	"bytes"
	"flag"
	"iter"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/policy"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// orderedLabels returns open requests in order of their IDs, so that the line of a checkpoint is the same each time.
type orderedLabels struct{ *recordedBalancer }

func (o orderedLabels) RequestLabels() iter.Seq2[uint32, Label] {
	return func(yield func(uint32, Label) bool) {
		for _, id := range slices.Sorted(maps.Keys(o.openRequests)) {
			if !yield(id, o.openRequests[id]) {
				return
			}
		}
	}
}

// TestRecordFormIsKept checks that a fixed sequence of events is recorded byte for byte as in released versions, and that such a
// record replays: the start with the settings, inputs, decisions, and a segment that starts with a checkpoint.
func TestRecordFormIsKept(t *testing.T) {
	r := newRecordedBalancer(t, Settings{Enabled: true, MaxBytes: 128 << 10, Segments: 2}, 5)
	r.Recorder.source = orderedLabels{r}
	r.run(60)
	r.Recorder.RecordStall(r.now, 0.75)
	r.Balancer.ObserveStall(r.now, 0.75)
	r.Recorder.RecordReplica(r.now, 1, 3)
	r.Balancer.SetReplica(r.now, 1, 3)
	r.run(40)
	r.Recorder.Resume()
	r.run(40)
	got := r.Dump(r.now)
	path := filepath.Join("testdata", "record.jsonl")
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.True(t, bytes.Equal(want, got), "the recorded lines differ from testdata/record.jsonl")
	for _, kind := range []lineKind{kindDump, kindEnd, kindStart, kindState, kindHosts, kindRequest, kindOutcome, kindProbe, kindWake, kindStall, kindReplica, kindDecision} {
		assert.True(t, bytes.Contains(want, []byte(`"k":"`+string(kind)+`"`)), kind)
	}
	summary, out := mustReplay(t, string(want))
	assert.Zero(t, summary.Different+summary.Skipped+summary.Truncated, out)
	assert.Equal(t, 2, summary.Segments)
	assert.Greater(t, summary.Compared, 50)
}

// TestLineFormIsKept compares one line of each input and decision, with all fields set, with the golden file.
func TestLineFormIsKept(t *testing.T) {
	r := newRecordedBalancer(t, smallSettings, 2)
	r.now += 0.0625
	l := Label{"9b1f03aa5c7e2d41", "raise-alert"}
	from := len(r.segments[r.current])
	writeEachKind(r, l)
	got := string(r.segments[r.current][from:])
	path := filepath.Join("testdata", "lines.jsonl")
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, strings.Split(string(want), "\n"), strings.Split(got, "\n"))
}

func writeEachKind(r *recordedBalancer, l Label) {
	c := r.Recorder
	c.RecordHosts(r.now, policy.ListCached, []policy.HostInfo{{ID: 1, Zone: 2, Kind: 3, Cell: 4, State: policy.Draining, Size: 0.5, Started: 1.6e9}})
	c.RecordRequest(r.now, policy.Request{ID: 5, Class: 1, Tenant: 2, Key: 1 << 63, Deadline: r.now + 1, WorkSeconds: 0.25, HasWork: true, Repeat: true, HeldBackSeconds: 0.125}, l)
	result := policy.Result{ID: 5, Attempt: 1, Host: 1, Outcome: policy.Outcome(3), DelaySeconds: 0.0625, LateSeconds: 0.5, Final: true,
		Report: policy.Report{N: 3, Values: [4]float32{0.5, float32(math.NaN()), float32(math.Inf(1))}}}
	c.RecordOutcome(r.now, result, l)
	c.RecordProbe(r.now, result)
	c.RecordWake(r.now)
	c.RecordStall(r.now, 0.75)
	c.RecordReplica(r.now, 1, 3)
	c.RecordAbandoned(r.now, 5, l)
	for _, do := range []Action{ActionSend, ActionCancel, ActionProbe, ActionCloseIdle, ActionRefuse, ActionFail, ActionWake, ActionWatch, ActionLog} {
		c.RecordDecision(Decision{ID: l.ID, Class: l.Class, HostName: "s-00000001", Action: do, Request: 5, Host: 1, Attempt: 1, AfterSeconds: 1e-7, Text: "text \"\\\n\xff"})
	}
}
