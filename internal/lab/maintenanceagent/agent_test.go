package maintenanceagent

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/maintenance"
)

// startEndpoint starts an admin endpoint that answers commands by a function, but each one with WAIT first, as while the reply is not yet
// committed, and returns its address.
func startEndpoint(t *testing.T, answer func(c maintenance.Command) maintenance.Reply) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() }) // nothing reads its error
	var mu sync.Mutex
	seen := map[uint64]bool{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(conn).ReadString('\n')
			var command maintenance.Command
			if json.Unmarshal([]byte(strings.TrimPrefix(line, "WORK ")), &command) == nil {
				mu.Lock()
				if !seen[command.Nonce] {
					seen[command.Nonce] = true
					fmt.Fprintln(conn, "WAIT")
				} else {
					encoded, err := json.Marshal(answer(command))
					if err != nil {
						panic(err)
					}
					fmt.Fprintf(conn, "%s\n", encoded)
				}
				mu.Unlock()
			}
			_ = conn.Close() // the answer was written or the test fails
		}
	}()
	return listener.Addr().String()
}

// An agent works on a granted server once, under a token that is greater than all before; it rejects other grants. After a crash it continues if it is
// granted the same server under the same token. It reports the completion until that is answered, twice with CompletesTwice.
func TestAgentAcceptsRisingTokensAndContinuesAfterACrash(t *testing.T) {
	grants := []maintenance.Reply{{Server: "a", Token: 5}, {Server: "b", Token: 4}, {}, {Server: "a", Token: 5}, {Server: "b", Token: 7}}
	var mu sync.Mutex
	var completions []maintenance.Command
	next := 0
	address := startEndpoint(t, func(c maintenance.Command) maintenance.Reply {
		mu.Lock()
		defer mu.Unlock()
		if c.Kind == maintenance.CompleteServer {
			if completions = append(completions, c); len(completions)%2 == 0 {
				return maintenance.Reply{Err: "it has ended"}
			}
			return maintenance.Reply{}
		}
		if next == len(grants) {
			return maintenance.Reply{}
		}
		next++
		return grants[next-1]
	})
	ctx, crash := context.WithCancel(context.Background())
	endpoints := func() []string { return []string{"127.0.0.1:1", address} }
	agent := &Agent{Name: "anna", AdminEndpoints: endpoints, PollInterval: time.Millisecond, CompletesTwice: true,
		WorkDuration: func(string) time.Duration { return time.Hour }}
	exited := make(chan struct{})
	go func() { agent.Run(ctx); close(exited) }()
	require.Eventually(t, func() bool { return len(agent.Records()) == 1 }, 10*time.Second, time.Millisecond)
	crash()
	<-exited
	assert.Empty(t, completions, "no completion of the interrupted work")
	ctx, stop := context.WithCancel(context.Background())
	agent.WorkDuration = func(string) time.Duration { return 0 }
	exited = make(chan struct{})
	go func() { agent.Run(ctx); close(exited) }()
	require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return len(completions) == 4 }, 10*time.Second, time.Millisecond)
	stop()
	<-exited
	records := agent.Records()
	require.Len(t, records, 3)
	assert.Equal(t, []string{"a", "a", "b"}, []string{records[0].Server, records[1].Server, records[2].Server})
	assert.Equal(t, 1, agent.RejectedGrants())
	assert.Equal(t, []string{"it has ended"}, records[2].CompletionErrors)
	for i, c := range completions {
		assert.Equal(t, records[1+i/2].Token, c.Token)
	}
	_, err := Execute(ctx, func() []string { return nil }, maintenance.Command{Kind: maintenance.AcquireServer, Agent: "x"})
	assert.ErrorIs(t, err, ErrOutcomeUnknown)
}
