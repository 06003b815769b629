package maintenance

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// The following functions return the values whose encoded form is in golden files. Every field is set; requireComplete notices a field
// that is added later and is not.
func storedSpec() Spec {
	return Spec{Name: "firmware-7", Servers: []string{"s-1", "s-2"}, Sites: []string{"site-a"}, Types: []string{"big"}, WorkSeconds: 1200.5, OverdueSeconds: 2400, AbandonOverdue: true, MaxConcurrent: 3,
		MaxPerSite: 2, MinCapacity: 0.75, RejectionBudget: 0.05, MaxRejection: 0.4, QuietSeconds: 2, WarmUpSeconds: 30, DeadMemberSeconds: 600, StartAfterSeconds: 3600, EndAfterSeconds: 7200}
}

func storedServer(stage Stage) Server {
	return Server{Name: "s-1", Site: "site-a", Stage: stage, SinceVersion: 8, Token: 3<<40 | 9, Agent: "anna", Reason: "forced by bob", ForcedPast: []string{"n1", "n2"}, Overdue: true}
}

func storedPlan() Plan {
	p := Plan{Number: 4, Nonce: 77, Spec: storedSpec(), PausedBy: "bob", Aborted: true, BaselineRejection: 0.01, Ended: true, AgeSeconds: 12.5}
	for stage := Draining; stage <= Lost; stage++ {
		p.Servers = append(p.Servers, storedServer(stage))
	}
	return p
}

func storedCommand() Command {
	spec := storedSpec()
	return Command{Nonce: 5, Kind: SubmitPlan, Spec: &spec, Plan: 4, Server: "s-1", Token: 3<<40 | 9, Agent: "anna", Reason: "no disk"}
}

func storedReport() Report {
	return Report{Reporters: []Reporter{{ID: 1, BootID: 2, Version: 3}}, InUse: []InUse{{Server: "s-1", Member: 1, Uncordoned: true, InFlight: 2}},
		Servers:            []ServerStatus{{Server: "s-1", Site: "site-a", Type: "big", Capacity: 2.5, ListedBy: 6, DrainingBy: 1, CordonedBy: 2, WarmingUpBy: 3, UnresponsiveBy: 4, CompletedPerSecond: 5.5, InFlight: 7, Busy: true}},
		CompletedPerSecond: 10.5, RejectedPerSecond: 0.5, StaleMembers: 1}
}

// requireComplete fails if any field of a value, at any depth, is zero.
func requireComplete(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	require.False(t, v.IsZero(), "%s is not set", path)
	switch v.Kind() {
	case reflect.Pointer:
		requireComplete(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			requireComplete(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		for i := range v.Len() {
			requireComplete(t, path, v.Index(i))
		}
	}
}

// The stored and sent forms must not change: processes of earlier versions read and write them.
func TestStoredForm(t *testing.T) {
	for name, value := range map[string]any{
		"state":   State{LastNumber: 9, Plans: []Plan{storedPlan()}},
		"command": storedCommand(),
		"reply":   Reply{Nonce: 5, Err: "it is taken", Plan: 4, Server: "s-1", Token: 3<<40 | 9, Text: "past n1"},
		"sum":     storedReport(),
		"wait":    Blocker{Plan: 4, Server: "s-1", Reason: "it warms up", Members: []string{"n1", "n2"}},
	} {
		t.Run(name, func(t *testing.T) {
			requireComplete(t, name, reflect.ValueOf(value))
			golden, err := os.ReadFile(filepath.Join("testdata", "stored", name+".msgpack"))
			require.NoError(t, err)
			encoded, err := msgpack.Marshal(value)
			require.NoError(t, err)
			assert.Equal(t, golden, encoded)
			decoded := reflect.New(reflect.TypeOf(value))
			require.NoError(t, msgpack.Unmarshal(golden, decoded.Interface()))
			assert.Equal(t, value, decoded.Elem().Interface())
		})
	}
}

// The JSON that the admin endpoint accepts and answers must not change.
func TestAdminForm(t *testing.T) {
	plan := storedPlan()
	plan.Nonce = 0 // not part of the answer
	reply := Reply{Err: "it is taken", Plan: 4, Server: "s-1", Token: 3<<40 | 9, Text: "past n1"}
	for name, value := range map[string]any{
		"plan":    plan,
		"command": storedCommand(),
		"reply":   reply,
		"wait":    Blocker{Plan: 4, Server: "s-1", Reason: "it warms up", Members: []string{"n1", "n2"}},
	} {
		t.Run(name, func(t *testing.T) {
			golden, err := os.ReadFile(filepath.Join("testdata", "stored", name+".json"))
			require.NoError(t, err)
			encoded, err := json.MarshalIndent(value, "", "\t")
			require.NoError(t, err)
			assert.Equal(t, string(golden), string(encoded)+"\n")
			decoded := reflect.New(reflect.TypeOf(value))
			require.NoError(t, json.Unmarshal(golden, decoded.Interface()))
			assert.Equal(t, value, decoded.Elem().Interface())
		})
	}
}

// The numbers of stages and the names of commands are stored and sent.
func TestStoredNumbersAndNames(t *testing.T) {
	assert.Equal(t, []Stage{0, 1, 2, 3, 4, 5, 6, 7}, []Stage{Pending, Draining, Drained, InMaintenance, WarmingUp, Done, Skipped, Lost})
	assert.Equal(t, []Kind{"plan", "pause", "resume", "skip", "abort", "force", "next", "done", "failed"},
		[]Kind{SubmitPlan, PausePlan, ResumePlan, SkipServer, AbortPlan, ForceDrained, AcquireServer, CompleteServer, FailServer})
	assert.Equal(t, []int{250, 16, 40 << 10}, []int{MaxServers, MaxPlans, MaxStateBytes})
}

// A State that an earlier version has stored is decoded, and encoded to the same bytes again.
func TestStoredStateIsRead(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "stored", "state.msgpack"))
	require.NoError(t, err)
	s, err := Decode(golden)
	require.NoError(t, err)
	assert.Equal(t, State{LastNumber: 9, Plans: []Plan{storedPlan()}}, s)
	again, err := s.Encode()
	require.NoError(t, err)
	assert.Equal(t, golden, again)
}
