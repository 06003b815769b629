package sim

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/environment"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	wantLines, gotLines := bytes.Split(want, []byte("\n")), bytes.Split(got, []byte("\n"))
	for i := range min(len(wantLines), len(gotLines)) {
		require.Equal(t, string(wantLines[i]), string(gotLines[i]), "%s, line %d", name, i+1)
	}
	require.Len(t, gotLines, len(wantLines), name)
}

// TestTraceFormIsKept writes a trace's line of each kind of event, all fields set, and the first lines of a day of a kept script.
func TestTraceFormIsKept(t *testing.T) {
	var text bytes.Buffer
	for _, kind := range slices.Sorted(maps.Keys(kindNames)) {
		e := checker.Event{Kind: kind, Sidecar: 1, Server: 2, Status: 503, Count: 4, NotStarted: true, Malformed: true, Request: 0xabc, FirstRequest: 0xdef, Text: "text"}
		fmt.Fprintln(&text, describe(&e))
		fmt.Fprintln(&text, describe(&checker.Event{Kind: kind, Sidecar: -1, Server: -1}))
	}
	golden(t, "trace-events.txt", text.Bytes())

	const file = "testdata/scripts/sweep-while-links-go.toml"
	raw, err := os.ReadFile(file)
	require.NoError(t, err)
	s, err := environment.ReadScript(file, raw, environment.StandardRanges())
	require.NoError(t, err)
	s.LengthSeconds, s.Faults = 3, nil
	text.Reset()
	lines := 0
	_, err = Play(*s, Options{Trace: func(at float64, line string) {
		if strings.Contains(line, " log: ") { // log lines are no part of the form
			return
		}
		if lines++; lines <= 200 {
			fmt.Fprintf(&text, "%11.6f %s\n", at, line)
		}
	}})
	require.NoError(t, err)
	golden(t, "trace-day.txt", text.Bytes())
}

// TestResultFormIsKept writes the results that commands print as JSON, all fields set, and reads them back.
func TestResultFormIsKept(t *testing.T) {
	event := checker.Event{Kind: checker.ResponseSent, Sidecar: 1, Server: 2, Class: 3, Status: 200, Zone: 4, Cell: 5, Count: 6, Reused: true, WasRead: true, NotStarted: true,
		Malformed: true, ByServer: true, Uncounted: true, At: 1.5, FirstSent: 2.5, Sent: 3.5, Deadline: 4.5, ServingSince: 5.5, Work: 6.5, Request: 7, FirstRequest: 8, Connection: 9, Digest: 10,
		ListIndex: 11, Address: "address", Text: "text"}
	r := Result{Seed: 1, Hash: 2, Steps: 3, Start: 4.5, SimulatedSeconds: 5.5, MaxToken: 6, ServersMaintained: 7,
		Violations: []checker.Violation{{Rule: checker.SafeDrain, At: 1.5, Sidecar: 1, Server: 2, Request: 3, Reason: "why", Events: []checker.Event{event}}},
		Report:     checker.Report{Service: 0.5, Classes: []checker.ClassService{{}}}}
	raw, err := json.MarshalIndent(&r, "", " ")
	require.NoError(t, err)
	golden(t, "result.json", raw)
	var read Result
	require.NoError(t, json.Unmarshal(raw, &read))
	require.Equal(t, r, read)

	weighed := MaintenanceResult{TotalSeconds: 1.5, Service: 0.5, WorstService: 0.25, WorstAt: 2, Rejected: 3, Violations: 4}
	raw, err = json.MarshalIndent([]*MaintenanceResult{&weighed}, "", " ")
	require.NoError(t, err)
	golden(t, "weighed.json", raw)

	raw, err = json.MarshalIndent(&Tally{Days: 1, History: "h", SimulatedSeconds: 2.5, Steps: 3, Broken: []BrokenRule{{checker.SafeDrain, 1, []uint64{2}}}, Service: 0.5,
		ServersMaintained: 4, Classes: []ClassTally{{Name: "a", Requests: 1, InTarget: 2, Late: 3, Rejected: 4, Failed: 5, Service: 0.5}}}, "", " ")
	require.NoError(t, err)
	golden(t, "tally.json", raw)
}
