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

// A process that starts may not know which servers are cordoned, and the holder does not know of the process yet. So it queries peers
// before it accepts clients: if it queried them later, it could send a request to a server that an agent works on. Without a response
// it uses the record on its own disk.

var errNoRecord = errors.New("peer sent no maintenance record")

// QueryMaintenance queries the sidecars at addresses for the maintenance record and returns the newest one, nil if there is none. It
// blocks until all queries have succeeded or failed, at most until the deadline, so it must be called before the event loop starts.
func QueryMaintenance(fleet, name string, addresses []string, deadline time.Time) (newest *MaintenanceRecord) {
	var mu sync.Mutex // guards newest
	var queries sync.WaitGroup
	for _, address := range addresses {
		queries.Go(func() {
			record, err := queryMaintenance(fleet, name, address, deadline)
			if err != nil {
				return // unreachable, or without a record: the records of the others are used
			}
			mu.Lock()
			defer mu.Unlock()
			if newest == nil || isNewer(record.Epoch, record.Version, newest.Epoch, newest.Version) {
				newest = record
			}
		})
	}
	queries.Wait()
	return newest
}

// queryMaintenance queries one sidecar. It sends a hello without an ID, to which the sidecar replies with the record, see Node.LinkUp.
func queryMaintenance(fleet, name, address string, deadline time.Time) (*MaintenanceRecord, error) {
	c, err := net.DialTimeout("tcp", address, time.Until(deadline))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(deadline) // fails only on a closed connection
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
	return readRecord(c)
}

// readRecord reads frames until the first role message, which contains the record.
func readRecord(c io.Reader) (*MaintenanceRecord, error) {
	var received bytes.Buffer
	chunk := make([]byte, 4096)
	for {
		n, err := c.Read(chunk)
		if received.Write(chunk[:n]); received.Len() > 2*frames.MaxFrameBytes {
			return nil, frames.ErrTooLong
		}
		for {
			topic, body, length, frameErr := frames.Next(received.Bytes())
			if frameErr != nil {
				return nil, frameErr
			}
			if length == 0 {
				break
			}
			if topic == frames.TopicRole {
				return decodeRecord(body)
			}
			received.Next(length)
		}
		if errors.Is(err, io.EOF) {
			return nil, errNoRecord
		} else if err != nil {
			return nil, err
		}
	}
}

// decodeRecord decodes the role message that replies to a query.
func decodeRecord(body []byte) (*MaintenanceRecord, error) {
	var envelope frames.RoleMessage
	var m recordMessage
	if err := frames.Unmarshal(body, &envelope); err != nil {
		return nil, err
	}
	if envelope.Role != maintenanceRoleName || envelope.Kind != kindRecord {
		return nil, errNoRecord
	}
	if err := frames.Unmarshal(envelope.Body, &m); err != nil {
		return nil, err
	}
	if _, err := maintenance.Decode(m.Body); err != nil {
		return nil, err
	}
	return &MaintenanceRecord{m.Epoch, m.Version, envelope.Token, m.Body}, nil
}

// answerQuery sends the record to a process that is not a member yet. Its link is closed after that.
func (n *Node) answerQuery(link *peers.Link) {
	if n.roles == nil || n.roles.maintenance == nil {
		return
	}
	r := n.roles.maintenance
	n.roles.send(link, &frames.RoleMessage{Role: maintenanceRoleName, Token: r.maxToken(), Origin: uint64(n.state.ID), Kind: kindRecord,
		Body: mustMarshal(r.recordMessage())})
}
