package coordination

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

// A process that begins may know nothing of boxes that are out, and who settles the order does not know of it yet. So it asks before it
// listens for clients: whoever it is to send for waits in nobody's queue, and is served from the first request on. Where nobody
// answers it goes by what its own disk says. Danger: asked for later, a request would go to a box that a mechanic has open.

// QueryMaintenance asks at addresses what is agreed, until all that can be reached have answered or until a time, and returns the latest. It
// blocks, and is for a process whose loop has not begun.
func QueryMaintenance(fleet, name string, addresses []string, by time.Time) (latest *MaintenanceRecord) {
	var mu sync.Mutex
	var asking sync.WaitGroup
	for _, address := range addresses {
		asking.Go(func() {
			k, err := queryMaintenance(fleet, name, address, by)
			if err != nil {
				return // it is not there, or knows nothing: the others are asked, too
			}
			mu.Lock()
			defer mu.Unlock()
			if latest == nil || isNewer(k.Epoch, k.Version, latest.Epoch, latest.Version) {
				latest = k
			}
		})
	}
	asking.Wait()
	return latest
}

func queryMaintenance(fleet, name, address string, by time.Time) (*MaintenanceRecord, error) {
	c, err := net.DialTimeout("tcp", address, time.Until(by))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(by) // fails only on one that is closed
	hello, err := frames.Marshal(frames.Hello{Fleet: fleet, Name: name})
	if err != nil {
		return nil, err
	}
	frame, err := frames.Append(nil, frames.TopicHello, hello)
	if err != nil {
		return nil, err
	}
	if _, err := c.Write(frame); err != nil {
		return nil, err
	}
	var read bytes.Buffer
	part := make([]byte, 4096)
	for {
		n, err := c.Read(part)
		if read.Write(part[:n]); read.Len() > 2*frames.MaxFrameBytes {
			return nil, frames.ErrTooLong
		}
		for {
			topic, body, length, fault := frames.Next(read.Bytes())
			if fault != nil {
				return nil, fault
			}
			if length == 0 {
				break
			}
			if topic == frames.TopicRole {
				return decodeAnswer(body)
			}
			read.Next(length)
		}
		if errors.Is(err, io.EOF) {
			return nil, errNoAnswer
		} else if err != nil {
			return nil, err
		}
	}
}

var errNoAnswer = errors.New("it does not say what is agreed")

// decodeAnswer reads an answer.
func decodeAnswer(body []byte) (*MaintenanceRecord, error) {
	var e frames.RoleMessage
	var a recordMessage
	if err := frames.Unmarshal(body, &e); err != nil {
		return nil, err
	}
	if e.Role != maintenanceRoleName || e.Kind != kindRecord {
		return nil, errNoAnswer
	}
	if err := frames.Unmarshal(e.Body, &a); err != nil {
		return nil, err
	}
	if _, err := maintenance.Decode(a.Body); err != nil {
		return nil, err
	}
	return &MaintenanceRecord{a.Epoch, a.Version, e.Token, a.Body}, nil
}

// answerQuery tells somebody who is no member yet what is agreed. Its link ends with that.
func (f *Node) answerQuery(l *peers.Link) {
	if f.roles == nil || f.roles.maintenance == nil {
		return
	}
	w := f.roles.maintenance
	f.roles.send(l, &frames.RoleMessage{Role: maintenanceRoleName, Token: w.maxToken(), Origin: uint64(f.state.ID), Kind: kindRecord,
		Body: mustMarshal(&recordMessage{Epoch: w.epoch, Version: w.version, Body: w.body})})
}

// LearnMaintenance takes what others have said is agreed. It comes after Keep and before Start.
func (f *Node) LearnMaintenance(k *MaintenanceRecord) { f.adoptMaintenance(k) }

// MaintenanceRecord returns what this sidecar goes by, as Learn takes it; nil: nothing is agreed.
func (f *Node) MaintenanceRecord() *MaintenanceRecord {
	if f.roles == nil || f.roles.maintenance == nil || f.roles.maintenance.version == 0 {
		return nil
	}
	w := f.roles.maintenance
	return &MaintenanceRecord{w.epoch, w.version, w.maxToken(), w.body}
}
