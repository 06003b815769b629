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

// member is a sidecar over all incarnations of its process.
type member struct {
	name, stateDir, configFile  string
	listenAddress, adminAddress string
	advertiseAddress            string    // a port of the proxy
	isDiskFull                  bool      // its disk rejects writes; of the play's loop alone
	isRunning                   bool      // as the play started and stopped it; guarded by Cluster.mu, as are the fields below
	changedAt                   time.Time // when isRunning last changed; zero before the first start
	peerID                      string    // of its last known incarnation, as its admin endpoint reports; empty before
	stoppedAt                   time.Time // when it stopped, until all other members know of it; else zero
	olderState                  []byte    // an older version of its stored state
}

// fleetName is the name of the fleet in the configuration of all members.
const fleetName = "troupe"

// addMember reserves the addresses of a sidecar.
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
	if m.listenAddress, err = address(); err != nil {
		return err
	}
	if m.advertiseAddress, err = c.proxy.Listen(name, m.listenAddress); err != nil {
		return err
	}
	c.members = append(c.members, m)
	return nil
}

// maxJoinAddresses is the number of members whose addresses a sidecar is given to join the fleet.
const maxJoinAddresses = 3

// writeConfig writes the configuration file of a sidecar.
func (c *Cluster) writeConfig(m *member, knowsNoRoles bool) error {
	var join []string
	for _, peer := range c.members[:min(maxJoinAddresses, len(c.members))] {
		join = append(join, peer.advertiseAddress)
	}
	fleet := map[string]any{"name": fleetName, "listen": m.listenAddress, "advertise": m.advertiseAddress, "join": join, "dir": m.stateDir}
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
	return os.WriteFile(m.configFile, encoded, 0o600)
}

// stall connects to the member as a peer does and sends requests at a rate without reading the answers, until the given time or until done is closed.
// It connects again when the member closes the connection.
func (m *member) stall(perSecond float64, until time.Time, done <-chan struct{}) {
	hello, request, err := stalledpeer.Frames(fleetName, m.advertiseAddress)
	if err != nil { // numbers and names can always be encoded
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
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // fails only on a closed connection
			frame = hello
		}
		_ = conn.SetWriteDeadline(until) // likewise
		if _, err := conn.Write(frame); err != nil {
			_ = conn.Close() // a write to it has failed
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close() // nothing was read from it
	}
}
