// Package maintenanceagent stands in for whoever works on boxes: it asks sidecars' doors for one that is ready, has it for a while, says that
// it is done, and keeps what it did for judges.
package maintenanceagent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"hazelwheel/internal/decide/maintenance"
)

// Record is one piece of work. To is the zero time while it goes on.
type Record struct {
	Agent            string    `json:"mechanic"`
	Server           string    `json:"box"`
	Token            uint64    `json:"token"`
	ForcedReason     string    `json:"forced,omitempty"` // what the reply said of it
	StartedAt        time.Time `json:"from"`
	EndedAt          time.Time `json:"to"`
	CompletionErrors []string  `json:"said,omitempty"` // the answers to done; empty: it was taken
}

// Mechanic works on boxes, one at a time. Its fields are set before Run and not changed after.
type Agent struct {
	Name           string
	AdminEndpoints func() []string                // any of them is asked
	WorkDuration   func(box string) time.Duration // how long the work on a box takes
	OnWork         func(box string, on bool)      // does the work: called when it begins and ends; may be nil
	PollInterval   time.Duration                  // between two questions; 0: a fifth of a second
	CompletesTwice bool                           // it says done again, as another command

	mu       sync.Mutex
	records  []Record
	greatest uint64
	refused  int
	has      maintenance.Reply // the box that it works on, by what it remembers; also after it died with it
}

// Records returns what was done so far.
func (m *Agent) Records() []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.records)
}

// Refused returns how many boxes it was handed under a token that was not greater than one before.
func (m *Agent) RejectedGrants() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refused
}

// Run works until ctx ends. A box that it has then it dies with; the next Run goes on with it, if it is handed the same again.
func (m *Agent) Run(ctx context.Context) {
	every := m.PollInterval
	if every == 0 {
		every = 200 * time.Millisecond
	}
	for ctx.Err() == nil {
		r, err := Execute(ctx, m.AdminEndpoints, maintenance.Command{Kind: maintenance.AcquireServer, Agent: m.Name})
		if err != nil || r.Err != "" || r.Server == "" || !m.accept(&r) {
			pause(ctx, every)
			continue
		}
		m.work(ctx, &r)
	}
}

// accept tells whether a box that is handed over is worked on. Danger: a token that is not greater than one before is the word of who
// was replaced meanwhile, and the box may have come back since.
func (m *Agent) accept(r *maintenance.Reply) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	same := r.Server == m.has.Server && r.Token == m.has.Token
	if r.Token <= m.greatest && !same {
		m.refused++
		return false
	}
	m.greatest, m.has = max(m.greatest, r.Token), *r
	return true
}

func (m *Agent) work(ctx context.Context, r *maintenance.Reply) {
	m.mu.Lock()
	m.records = append(m.records, Record{Agent: m.Name, Server: r.Server, Token: r.Token, ForcedReason: r.Text, StartedAt: time.Now()})
	at := len(m.records) - 1
	m.mu.Unlock()
	if m.OnWork != nil {
		m.OnWork(r.Server, true)
	}
	whole := pause(ctx, m.WorkDuration(r.Server))
	if whole && m.OnWork != nil {
		m.OnWork(r.Server, false)
	}
	m.mu.Lock()
	m.records[at].EndedAt = time.Now()
	m.mu.Unlock()
	if !whole {
		return
	}
	times := 1
	if m.CompletesTwice {
		times = 2
	}
	for range times {
		for ctx.Err() == nil {
			said, err := Execute(ctx, m.AdminEndpoints, maintenance.Command{Kind: maintenance.CompleteServer, Server: r.Server, Token: r.Token})
			if err != nil {
				continue // nobody has heard it, or it is not known: it is said until somebody has
			}
			m.mu.Lock()
			if m.has = (maintenance.Reply{}); said.Err != "" {
				m.records[at].CompletionErrors = append(m.records[at].CompletionErrors, said.Err)
			}
			m.mu.Unlock()
			break
		}
	}
}

// pause waits, and tells whether ctx let it.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// How a command is said: each call for itself, again and again, and all together.
const (
	callWithin = 3 * time.Second
	sayAgain   = 200 * time.Millisecond
	sayWithin  = 15 * time.Second
)

// ErrUnknown is the fault of a command that nobody has answered: it may or may not be done.
var ErrOutcomeUnknown = errors.New("nobody has answered")

// Say has a command done by any of the doors: it is said again with the same nonce, at another door where one does not answer.
func Execute(ctx context.Context, doors func() []string, c maintenance.Command) (r maintenance.Reply, err error) {
	for c.Nonce == 0 {
		c.Nonce = rand.Uint64()
	}
	raw, err := json.Marshal(c)
	if err != nil {
		return r, err
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(sayWithin))
	defer cancel()
	last := errors.New("there are no doors")
	for at := rand.Int(); pause(ctx, 0); pause(ctx, sayAgain) {
		all := doors()
		if len(all) == 0 {
			continue
		}
		answer, err := SendLine(ctx, all[at%len(all)], "WORK "+string(raw))
		switch {
		case err != nil:
			last = err
			at++
		case bytes.HasPrefix(answer, []byte("ERR ")):
			last = errors.New(string(bytes.TrimSpace(answer)))
			at++
		case bytes.HasPrefix(answer, []byte("WAIT")):
			last = errors.New("it waits")
		default:
			return r, json.Unmarshal(answer, &r)
		}
	}
	return r, fmt.Errorf("%w: %w", ErrOutcomeUnknown, last)
}

// Call says one line at a door and returns the line that it answers.
func SendLine(ctx context.Context, door, line string) ([]byte, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(callWithin))
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", door)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if by, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(by) // fails only on one that is closed
	}
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return nil, err
	}
	return bufio.NewReader(c).ReadBytes('\n')
}
