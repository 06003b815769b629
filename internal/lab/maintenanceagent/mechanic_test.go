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

// door answers commands by a function; WAIT comes first each time, as where nothing is agreed yet.
func door(t *testing.T, answer func(c maintenance.Command) maintenance.Reply) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	var mu sync.Mutex
	seen := map[uint64]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(c).ReadString('\n')
			var w maintenance.Command
			if json.Unmarshal([]byte(strings.TrimPrefix(line, "WORK ")), &w) == nil {
				mu.Lock()
				if !seen[w.Nonce] {
					seen[w.Nonce] = true
					fmt.Fprintln(c, "WAIT")
				} else {
					raw, err := json.Marshal(answer(w))
					if err != nil {
						panic(err)
					}
					fmt.Fprintf(c, "%s\n", raw)
				}
				mu.Unlock()
			}
			c.Close()
		}
	}()
	return l.Addr().String()
}

// What is handed over is worked on once, under a token that is greater than all before; one that is not is left alone. A mechanic that
// died with a box goes on with it, if it is told the same token. Done is said until it is heard, twice if that is wanted.
func TestMechanic(t *testing.T) {
	handed := []maintenance.Reply{{Server: "a", Token: 5}, {Server: "b", Token: 4}, {}, {Server: "a", Token: 5}, {Server: "b", Token: 7}}
	var mu sync.Mutex
	var done []maintenance.Command
	next := 0
	address := door(t, func(c maintenance.Command) maintenance.Reply {
		mu.Lock()
		defer mu.Unlock()
		if c.Kind == maintenance.CompleteServer {
			if done = append(done, c); len(done)%2 == 0 {
				return maintenance.Reply{Err: "it has ended"}
			}
			return maintenance.Reply{}
		}
		if next == len(handed) {
			return maintenance.Reply{}
		}
		next++
		return handed[next-1]
	})
	ctx, die := context.WithCancel(context.Background())
	m := &Agent{Name: "anna", AdminEndpoints: func() []string { return []string{"127.0.0.1:1", address} }, PollInterval: time.Millisecond, CompletesTwice: true,
		WorkDuration: func(string) time.Duration { return time.Hour }}
	over := make(chan struct{})
	go func() { m.Run(ctx); close(over) }()
	require.Eventually(t, func() bool { return len(m.Records()) == 1 }, 10*time.Second, time.Millisecond)
	die()
	<-over
	assert.Empty(t, done, "it has died with the box")
	ctx, stop := context.WithCancel(context.Background())
	m.WorkDuration = func(string) time.Duration { return 0 }
	over = make(chan struct{})
	go func() { m.Run(ctx); close(over) }()
	require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return len(done) == 4 }, 10*time.Second, time.Millisecond)
	stop()
	<-over
	all := m.Records()
	require.Len(t, all, 3)
	assert.Equal(t, []string{"a", "a", "b"}, []string{all[0].Server, all[1].Server, all[2].Server})
	assert.Equal(t, 1, m.RejectedGrants())
	assert.Equal(t, []string{"it has ended"}, all[2].CompletionErrors)
	for i, c := range done {
		assert.Equal(t, all[1+i/2].Token, c.Token)
	}
	_, err := Execute(ctx, func() []string { return nil }, maintenance.Command{Kind: maintenance.AcquireServer, Agent: "x"})
	assert.ErrorIs(t, err, ErrOutcomeUnknown)
}
