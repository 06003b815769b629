package lease

import (
	"bytes"
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/swim"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// golden compares bytes with a file under testdata.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.True(t, bytes.Equal(want, got), "%s: the bytes differ: want %q, got %q", name, want, got)
	return want
}

// TestWireAndStoredForm encodes values of every message, log entry and stored record, all fields set, to the bytes that released
// versions write, and reads these bytes back.
func TestWireAndStoredForm(t *testing.T) {
	grant := Grant{Role: "list", Holder: math.MaxUint64, Token: 7<<tokenCounterBits + 3, BootID: 1 << 63}
	record := Record{Role: "works", Version: 9, Token: 7<<tokenCounterBits + 4, Body: []byte{0, 1, 255}}
	founding := Founding{Ballot: 1<<32 | 0x1200 | 2, Accepted: 1<<32 | 1, Epoch: 7, Voters: []swim.ID{11, 12, 13}, Step: StepAccepted}
	renewal := Renewal{Number: 21, Grants: []Grant{grant}, Records: []Record{record}}
	wire := map[string]any{
		"message": &Message{Epoch: 7, Raft: []byte("raft"), Serial: 31, WriterID: 32, Lineage: []Writer{{33, 34}, {35, 36}}, Founding: &founding,
			Table:        &Table{Epoch: 7, Index: 41, Term: 42, Leader: 11, Voters: []swim.ID{11, 12, 13}, Grants: []Grant{grant}},
			RenewRequest: &renewal, RenewReply: &Renewal{Number: 22}, Released: []Grant{grant}, Declined: []string{"list"}, Bids: []string{"works", "report"},
			Offered: []string{"a"}, BootID: 51, WriteRecord: &record, Records: []Record{record}, StepDown: "report"},
		"message-empty":   &Message{},
		"message-renewed": &Message{RenewReply: &renewal},
		"commands":        &[]command{{Role: "list", Holder: 11, BootID: 12, ExpectedToken: 13}, {Role: "works", ExpectedToken: 14}, {Record: &record}},
		"machine":         &stateMachine{Epoch: 7, Grants: []Grant{grant, {Role: "report", Token: 7 << tokenCounterBits}}, Records: []Record{record}},
		"saved": &persistedState{Version: stateFormatVersion, MemberID: 11, Serial: 31, Lineage: lineage{{33, 34}}, Epoch: 7, Promised: 61, Accepted: &founding,
			Founding: &founding, HardState: []byte("hard"), Snapshot: []byte("snapshot"), Entries: [][]byte{[]byte("one"), []byte("two")}},
	}
	fresh := map[string]func() any{
		"message": func() any { return &Message{} }, "message-empty": func() any { return &Message{} }, "message-renewed": func() any { return &Message{} },
		"commands": func() any { return &[]command{} }, "machine": func() any { return &stateMachine{} }, "saved": func() any { return &persistedState{} },
	}
	for name, value := range wire {
		t.Run(name, func(t *testing.T) {
			raw := golden(t, "form/"+name+".msgpack", encode(value))
			read := fresh[name]()
			require.NoError(t, decode(raw, read))
			require.Equal(t, value, read)
		})
	}
}

// TestStateOfReleasedVersionIsRead starts members with the states that an earlier version has written. They continue with the same
// group, grants and records.
func TestStateOfReleasedVersionIsRead(t *testing.T) {
	c := newCluster(t, 3, "list", "report")
	c.runUntil(110)
	holder, token := c.holder("list")
	require.NotNil(t, holder)
	holder.node.WriteRecord(c.now, "list", 1, []byte("kept"))
	c.runUntil(c.now + 1)
	for _, s := range c.all {
		raw := golden(t, fmt.Sprintf("state/member-%d.msgpack", s.id), s.state)
		set := s.node.settings
		set.Seed += 1000 // another process
		next, err := New(c.now, s.id, set, raw, s)
		require.NoError(t, err)
		require.Equal(t, raw, next.encodeState(), "what is read is written the same")
		next.SetMembers(c.now, s.node.members)
		s.node = next
	}
	c.runUntil(c.now + 10)
	next, nextToken := c.holder("list")
	require.NotNil(t, next)
	require.Greater(t, nextToken, token, "a token that was granted is not granted again")
	require.Equal(t, []byte("kept"), next.record.Body)
	for _, s := range c.all {
		require.Empty(t, s.replacedReason)
	}
}
