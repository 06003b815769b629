package processcluster

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"time"
)

// queryAdmin sends a command to an admin endpoint and decodes the JSON of its answer into result.
func queryAdmin(address, command string, result any) error {
	conn, err := net.DialTimeout("tcp", address, adminTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()                // the answer has been read
	_ = conn.SetDeadline(time.Now().Add(adminTimeout)) // fails only on a closed connection
	if _, err = io.WriteString(conn, command+"\n"); err != nil {
		return err
	}
	return json.NewDecoder(bufio.NewReader(conn)).Decode(result)
}
