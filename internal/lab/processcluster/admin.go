package processcluster

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"time"
)

// askDoor asks a door for JSON.
func queryAdmin(address, command string, result any) error {
	conn, err := net.DialTimeout("tcp", address, adminTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(adminTimeout)) // fails only on one that is closed
	if _, err = io.WriteString(conn, command+"\n"); err != nil {
		return err
	}
	return json.NewDecoder(bufio.NewReader(conn)).Decode(result)
}
