package agent

import (
	"bytes"
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/gossip"
	"hazelwheel/internal/message"
	"hazelwheel/internal/transport"
)

// update rewrites the golden files. Use it only for a new form: proxies and agents of two versions run side by side.
var update = flag.Bool("update", false, "write the golden files anew")

// TestFeedForm pins the frames that a proxy gets for each kind of change.
func TestFeedForm(t *testing.T) {
	table := &message.PackedTable{Version: 7, Data: []byte("packed table")}
	plan := message.StagePlan{Token: 3, Sequence: 9, Stages: map[string]message.Stage{"i-1": message.Prefill}}
	list := gossip.EndpointList{Digest: 1 << 62, Data: []byte("packed list"), ReadAt: time.Now().Add(-time.Second)}
	tests := map[string]struct {
		sent, current gossip.State
		differs       bool
	}{
		"all":     {gossip.State{}, gossip.State{Table: table, Endpoints: list, Plan: plan, Rank: 1, Count: 3}, true},
		"nothing": {gossip.State{Table: table, Endpoints: list, Plan: plan, Rank: 1, Count: 3}, gossip.State{Table: table, Endpoints: list, Plan: plan, Rank: 1, Count: 3}, false},
		"rank":    {gossip.State{Table: table, Rank: 1, Count: 3}, gossip.State{Table: table, Rank: 2, Count: 3}, true},
		"plan":    {gossip.State{Count: 3}, gossip.State{Plan: plan, Count: 3}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			feed, differs := updateSince(test.sent, test.current)
			assert.Equal(t, test.differs, differs)
			if feed.List != nil {
				assert.GreaterOrEqual(t, feed.List.AgeMs, 1000.0)
				feed.List.AgeMs = 1000
			}
			var frame bytes.Buffer
			require.NoError(t, transport.WriteFrame(&frame, feed))
			path := filepath.Join("testdata", "feed_"+name+".hex")
			if *update {
				require.NoError(t, os.WriteFile(path, []byte(hex.EncodeToString(frame.Bytes())+"\n"), 0o644))
			}
			text, err := os.ReadFile(path)
			require.NoError(t, err)
			assert.Equal(t, strings.TrimSpace(string(text)), hex.EncodeToString(frame.Bytes()))
			golden, err := hex.DecodeString(strings.TrimSpace(string(text)))
			require.NoError(t, err)
			decoded := &message.Feed{}
			require.NoError(t, transport.ReadFrame(bytes.NewReader(golden), decoded))
			assert.Equal(t, feed, decoded)
		})
	}
}
