// Command adapter connects the decisions of package policy to an external simulator. It reads batches of events from standard input and
// writes the reply to each, with the actions of the decisions, to standard output, in the format of package simulatorwire. One process
// serves many instances, which the events name by number. It ends with 0 at the end of the input, and with 1 after a batch that is malformed.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"hazelwheel/internal/simulatorwire"
	"hazelwheel/policy"
)

const (
	// gcPercent is the growth of the heap, in percent, that starts a garbage collection. Above the default of 100 it trades memory for time.
	gcPercent = 400
	// bufferBytes is the size of the buffers of the input and of the output.
	bufferBytes = 1 << 16
)

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run replies to each batch before it reads the next, until the input ends. An error ends it without a reply to the batch.
func run(in io.Reader, out io.Writer) error {
	reader := simulatorwire.NewReader(bufio.NewReaderSize(in, bufferBytes))
	writer := bufio.NewWriterSize(out, bufferBytes)
	a := &adapter{balancers: map[uint32]*policy.Balancer{}}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		a.reply.Reset()
		if err := a.handleBatch(batch); err != nil {
			return err
		}
		if _, err := a.reply.WriteTo(writer); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// adapter holds the balancer of each instance. They share the tables of hosts and the reply, and nothing else. It is used by one goroutine.
type adapter struct {
	balancers map[uint32]*policy.Balancer // by instance; an instance that was shut down or has panicked has none
	tables    simulatorwire.Tables
	reply     simulatorwire.Reply // to the present batch
}

// handleBatch handles the records of a batch in order and adds their actions to the reply. The error names the record at fault.
func (a *adapter) handleBatch(b simulatorwire.Batch) error {
	for i := range b.Count {
		r := b.Record(i)
		var err error
		if r.Code() == simulatorwire.Table {
			err = a.tables.Set(b, r)
		} else {
			err = a.handleEvent(b, r)
		}
		if err != nil {
			return fmt.Errorf("record %d, code %d: %w", i, r.Code(), err)
		}
	}
	return nil
}

// handleEvent handles a record that is for one instance. A panic of the instance removes it and is reported as BROKEN; the others go on.
func (a *adapter) handleEvent(b simulatorwire.Batch, r simulatorwire.Record) (err error) {
	id := r.Instance()
	defer func() {
		if cause := recover(); cause != nil {
			delete(a.balancers, id)
			a.reply.Broken(id, fmt.Sprint(cause))
		}
	}()
	switch r.Code() {
	case simulatorwire.Configure:
		seed, settings, err := simulatorwire.DecodeConfigure(b, r)
		if err != nil {
			return err
		}
		a.balancers[id] = policy.New(settings, seed, &simulatorwire.Actions{Reply: &a.reply, Instance: id})
		return nil
	case simulatorwire.Shutdown:
		delete(a.balancers, id)
		return nil
	}
	balancer := a.balancers[id]
	if balancer == nil {
		return nil // the instance was shut down before the event
	}
	return a.dispatch(balancer, b.Now, r)
}

// dispatch decodes an event and passes it to a balancer. Now is the simulator's time of the batch, in seconds.
func (a *adapter) dispatch(balancer *policy.Balancer, now float64, r simulatorwire.Record) error {
	switch r.Code() {
	case simulatorwire.Targets:
		kind, hosts, err := simulatorwire.DecodeTargets(&a.tables, r)
		if err != nil {
			return err
		}
		balancer.UpdateHosts(now, kind, hosts)
	case simulatorwire.Inbound:
		balancer.StartRequest(now, simulatorwire.DecodeInbound(r))
	case simulatorwire.Streaming:
		balancer.StreamStarted(now, simulatorwire.DecodeRef(r))
	case simulatorwire.Returned:
		result, err := simulatorwire.DecodeReturned(r)
		if err != nil {
			return err
		}
		balancer.AttemptDone(now, result)
	case simulatorwire.Aborted:
		balancer.Abandoned(now, simulatorwire.DecodeRef(r))
	case simulatorwire.DeadlineHit:
		balancer.Wake(now)
	case simulatorwire.StatusBack:
		result, err := simulatorwire.DecodeStatusBack(r)
		if err != nil {
			return err
		}
		balancer.ProbeDone(now, result)
	case simulatorwire.PeerData: // the decisions use no messages between proxies
	default:
		return errors.New("unknown event")
	}
	return nil
}
