package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"syscall"
	"time"

	"hazelwheel/internal/lab/process"
	"hazelwheel/internal/lab/stub"
)

// step is a trouble's beginning or end.
type step struct {
	at    time.Duration
	event *Event
	index int // of the event in the record
	end   bool
}

// lookEvery is the time between two looks whether the load has begun.
const lookEvery = time.Millisecond

// began waits for the load's start; ok is false where the client or the run ended before.
func (b *bench) began(client *process.Child) (at time.Time, ok bool) {
	for {
		if raw, err := os.ReadFile(b.mark()); err == nil {
			if ms, err := strconv.ParseInt(string(raw), 10, 64); err == nil {
				return time.UnixMilli(ms), true
			}
		}
		select {
		case <-time.After(lookEvery):
		case <-client.Done():
			return at, false
		case <-b.ctx.Done():
			return at, false
		}
	}
}

// trouble has the run's events happen, until they are over, the client ends or the run does. What the channel brings,
// once, is what went wrong with them. Danger: the load may take its time to open its links; what counted from its process's
// start would come too early.
func (b *bench) trouble(client *process.Child) <-chan error {
	done := make(chan error, 1)
	var steps []step
	for i := range b.record.trouble.Events {
		e := &b.record.trouble.Events[i]
		steps = append(steps, step{e.At.Duration, e, i, false}, step{e.At.Duration + e.For.Duration, e, i, true})
		b.record.Events = append(b.record.Events, Happened{Kind: e.Kind, Boxes: e.Boxes, AtS: e.At.Seconds(), EndS: (e.At.Duration + e.For.Duration).Seconds()})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	go func() {
		began, ok := b.began(client)
		if !ok {
			done <- nil
			return
		}
		for _, s := range steps {
			select {
			case <-time.After(time.Until(began.Add(s.at))):
			case <-client.Done():
				done <- nil
				return
			case <-b.ctx.Done():
				done <- nil
				return
			}
			if err := b.take(s); err != nil {
				done <- fmt.Errorf("trouble %s: %w", s.event.Kind, err)
				return
			}
			if now := time.Since(began).Seconds(); s.end {
				b.record.Events[s.index].EndS = now
			} else {
				b.record.Events[s.index].AtS = now
			}
		}
		done <- nil
	}()
	return done
}

// take carries out a step. Troubles of the balancer's process befall the first one.
func (b *bench) take(s step) error {
	switch {
	case s.event.Kind == Freeze && !s.end:
		return b.balancers[0].Signal(syscall.SIGSTOP)
	case s.event.Kind == Freeze:
		return b.balancers[0].Signal(syscall.SIGCONT)
	case s.event.Kind == Kill && !s.end:
		if err := b.balancers[0].Signal(syscall.SIGKILL); err != nil {
			return err
		}
		<-b.balancers[0].Done()
		return nil
	case s.event.Kind == Kill:
		log, err := b.log()
		if err != nil {
			return err
		}
		defer func() { _ = log.Close() }() // the child has its own
		spec := b.specs[0]
		spec.Log = log
		child, err := b.group.Start(spec)
		if err != nil {
			return err
		}
		b.balancers[0] = child
		return child.Ready(b.ctx, b.listen[0], time.Now().Add(startBy))
	}
	t := stub.Fault{Kind: s.event.Kind, Servers: s.event.Boxes, Delay: s.event.Delay.Duration}
	if s.end {
		t.Kind, t.Delay = "", 0
	}
	raw, err := json.Marshal(t)
	if err != nil {
		return err
	}
	resp, err := asks.Post("http://"+b.discovery+"/lab/trouble", "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the stand-ins answer %s", resp.Status)
	}
	return nil
}
