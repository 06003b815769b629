package processcluster

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"hazelwheel/internal/lab/process"
	"hazelwheel/internal/peers/stalledpeer"
)

// mate is a sidecar over all lives of its process.
type member struct {
	name, stateDir, configFile     string
	adminAddress, advertiseAddress string
	isDiskFull                     bool // its disk; for the play's loop
	isRunning                      bool // as the laboratory itself has it
	changedAt                      time.Time
	peerID                         string    // of the last life, as its own door has said
	stoppedAt                      time.Time // when it went and the others do not all know yet
	olderState                     []byte    // its state, some writes ago
}

const fleetName = "troupe"

// add prepares a sidecar.
func (c *Cluster) addMember(name string) error {
	m := &member{name: name, stateDir: filepath.Join(c.settings.Dir, "state-"+name), configFile: filepath.Join(c.settings.Dir, "features-"+name+".json")}
	address := func() (string, error) {
		port, err := process.FreePort("127.0.0.1")
		return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), err
	}
	var err error
	if m.adminAddress, err = address(); err != nil {
		return err
	}
	listen, err := address()
	if err != nil {
		return err
	}
	if m.advertiseAddress, err = c.proxy.Listen(name, listen); err != nil {
		return err
	}
	c.members = append(c.members, m)
	m.peerID = listen // until it is known, kept here for write
	return nil
}

// write writes the operators' file of a sidecar.
func (c *Cluster) writeConfig(m *member, knowsNoRoles bool) error {
	var join []string
	for _, peer := range c.members[:min(3, len(c.members))] {
		join = append(join, peer.advertiseAddress)
	}
	fleet := map[string]any{"name": fleetName, "listen": m.peerID, "advertise": m.advertiseAddress, "join": join, "dir": m.stateDir}
	if c.roles != nil && !knowsNoRoles {
		var voters []string
		for _, peer := range c.members[:voterCount(c.roleMemberCount())] {
			voters = append(voters, peer.advertiseAddress)
		}
		fleet["electors"], fleet["jobs"] = voters, c.settings.Roles
	}
	encoded, err := json.Marshal(map[string]any{"fleet": fleet})
	if err != nil {
		return err
	}
	m.peerID = ""
	return os.WriteFile(m.configFile, encoded, 0o600)
}

// deafen asks until a time, or until over is closed.
func (m *member) stall(perSecond float64, until time.Time, done <-chan struct{}) {
	hello, request, err := stalledpeer.Frames(fleetName, m.advertiseAddress)
	if err != nil { // numbers and names always pack
		panic(err)
	}
	var conn net.Conn
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for time.Now().Before(until) {
		select {
		case <-done:
			until = time.Time{}
			continue
		case <-ticker.C:
		}
		frame := request
		if conn == nil {
			if conn, err = net.DialTimeout("tcp", m.advertiseAddress, time.Until(until)); err != nil {
				conn = nil
				continue
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // fails only on one that is closed
			frame = hello
		}
		_ = conn.SetWriteDeadline(until) // likewise
		if _, err := conn.Write(frame); err != nil {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}
