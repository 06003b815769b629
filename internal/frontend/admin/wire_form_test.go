package admin

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/sidecar"
)

// snapshotController is a fakeController with a given snapshot.
type snapshotController struct {
	fakeController
	figures *sidecar.StatusSnapshot
}

func (c *snapshotController) StatusSnapshot() *sidecar.StatusSnapshot { return c.figures }

// Operators' tools parse these answers, so they must not change by a byte.
func TestAnswersAreByteStable(t *testing.T) {
	figures := &sidecar.StatusSnapshot{TakenAt: 100, RequestsWritten: 11, OpenRequests: 12, Servers: 13, UnavailableServers: 14, FleetMetrics: []sidecar.Metric{{Name: "peers_alive", Value: 15}}}
	require.NoError(t, json.Unmarshal([]byte(`[{"class":"read","served":1,"throttled":2,"failed":3,"abandoned":4},{"class":"write","served":5}]`), &figures.Classes))
	controller := &snapshotController{figures: figures}
	now := 103.0
	server := &Server{controller: controller, now: func() float64 { return now }}
	raw, err := os.ReadFile("testdata/answers/dump")
	require.NoError(t, err)
	assert.Equal(t, string(raw), string(server.execute("DUMP")))
	assert.Equal(t, "OK serving\n", string(server.execute("HEALTH")))
	now = 103.25
	assert.Equal(t, "ERR the event loop has stood still for 3.2 s\n", string(server.execute("health")))
	figures.IsShuttingDown = true
	assert.Equal(t, "ERR this process has been told to end\n", string(server.execute("HEALTH")))
	controller.figures = nil
	assert.Equal(t, "ERR not serving yet\n", string(server.execute("HEALTH")))
	assert.Equal(t, "ERR no figures yet\n", string(server.execute("DUMP")))
	for command, answer := range map[string]string{
		"":            "ERR an empty line\n",
		"OFFLINE":     "ERR OFFLINE needs a server's id\n",
		"OFFLINE s-1": "OK s-1 is left out\n",
		"ONLINE s-1":  "OK s-1 may serve\n",
		"LEAVE":       "OK draining\n",
		"JOIN":        "OK serving\n",
		"JOIN now":    "ERR JOIN takes nothing after \"JOIN\"\n",
		"PEERS":       "ERR unknown call \"PEERS\"\n",
	} {
		assert.Equal(t, answer, string(server.execute(command)), command)
	}
}
