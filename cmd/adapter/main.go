// Command adapter runs decision modules on the simulator's wire: batches of events on standard input,
// replies on standard output.
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

func main() {
	debug.SetGCPercent(400)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader := simulatorwire.NewReader(bufio.NewReaderSize(in, 1<<16))
	writer := bufio.NewWriterSize(out, 1<<16)
	p := &process{instances: map[uint32]*policy.Balancer{}}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		p.reply.Reset()
		if err := p.handle(batch); err != nil {
			return err
		}
		if _, err := p.reply.WriteTo(writer); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// process holds the instances of one process; they share the wire's tables and nothing else.
type process struct {
	instances map[uint32]*policy.Balancer
	tables    simulatorwire.Tables
	reply     simulatorwire.Reply
}

func (p *process) handle(b simulatorwire.Batch) error {
	for i := range b.Count {
		r := b.Record(i)
		var err error
		if r.Code() == simulatorwire.Table {
			err = p.tables.Set(b, r)
		} else {
			err = p.event(b, r)
		}
		if err != nil {
			return fmt.Errorf("record %d, code %d: %w", i, r.Code(), err)
		}
	}
	return nil
}

// event hands one record to its instance. A panic of the decisions is reported as BROKEN.
func (p *process) event(b simulatorwire.Batch, r simulatorwire.Record) (err error) {
	id := r.Instance()
	defer func() {
		if cause := recover(); cause != nil {
			delete(p.instances, id)
			p.reply.Broken(id, fmt.Sprint(cause))
		}
	}()
	switch r.Code() {
	case simulatorwire.Configure:
		seed, settings, err := simulatorwire.DecodeConfigure(b, r)
		if err != nil {
			return err
		}
		p.instances[id] = policy.New(settings, seed, &simulatorwire.Actions{Reply: &p.reply, Instance: id})
		return nil
	case simulatorwire.Shutdown:
		delete(p.instances, id)
		return nil
	}
	in := p.instances[id]
	if in == nil {
		return nil // events of a stopped instance
	}
	return p.dispatch(in, b.Now, r)
}

func (p *process) dispatch(bal *policy.Balancer, now float64, r simulatorwire.Record) error {
	switch r.Code() {
	case simulatorwire.Targets:
		kind, list, err := simulatorwire.DecodeTargets(&p.tables, r)
		if err != nil {
			return err
		}
		bal.UpdateHosts(now, kind, list)
	case simulatorwire.Inbound:
		bal.StartRequest(now, simulatorwire.DecodeInbound(r))
	case simulatorwire.Streaming:
		bal.StreamStarted(now, simulatorwire.DecodeRef(r))
	case simulatorwire.Returned:
		res, err := simulatorwire.DecodeReturned(r)
		if err != nil {
			return err
		}
		bal.AttemptDone(now, res)
	case simulatorwire.Aborted:
		bal.Abandoned(now, simulatorwire.DecodeRef(r))
	case simulatorwire.DeadlineHit:
		bal.Wake(now)
	case simulatorwire.StatusBack:
		res, err := simulatorwire.DecodeStatusBack(r)
		if err != nil {
			return err
		}
		bal.ProbeDone(now, res)
	case simulatorwire.PeerData: // messages between proxies play no part
	default:
		return fmt.Errorf("unknown event")
	}
	return nil
}
