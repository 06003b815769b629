package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/transport"
)

// waitTimeout bounds each wait. It is far longer than any wait needs.
const waitTimeout = 30 * time.Second

// errPartitioned is the error of connections to and from a partitioned machine.
var errPartitioned = fmt.Errorf("the network is cut")

// faultyNetwork carries the calls between control processes: it partitions single machines off and delays bytes.
type faultyNetwork struct {
	mu          sync.Mutex
	partitioned map[string]bool // by IP
	perKB       time.Duration   // delay of 1,000 bytes, on each connection
	onWrite     func(to string, data []byte)
}

// setOnWrite sets a function that is called before each write to a machine, given by its IP.
func (n *faultyNetwork) setOnWrite(call func(to string, data []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onWrite = call
}

// callOnWrite calls the function that setOnWrite has set, if any.
func (n *faultyNetwork) callOnWrite(to string, data []byte) {
	n.mu.Lock()
	call := n.onWrite
	n.mu.Unlock()
	if call != nil {
		call(to, data)
	}
}

func (n *faultyNetwork) setPartitioned(ip string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[ip] = cut
}

// isBlocked reports whether the connection between two machines is cut.
func (n *faultyNetwork) isBlocked(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a != b && (n.partitioned[a] || n.partitioned[b])
}

// dial returns the dial function of a machine. Across a partition it blocks until its context ends, as if all packets were lost.
func (n *faultyNetwork) dial(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		if n.isBlocked(from, to) {
			<-ctx.Done()
			return nil, errPartitioned
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		if err != nil {
			return nil, err
		}
		return &networkConn{Conn: conn, network: n, from: from, to: to}, nil
	}
}

// networkConn is a connection on a faultyNetwork.
type networkConn struct {
	net.Conn
	network  *faultyNetwork
	from, to string
}

func (c *networkConn) Write(data []byte) (int, error) {
	if c.network.isBlocked(c.from, c.to) {
		return 0, errPartitioned
	}
	c.network.callOnWrite(c.to, data)
	return c.Conn.Write(data)
}

func (c *networkConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if c.network.isBlocked(c.from, c.to) {
		return 0, errPartitioned
	}
	c.network.mu.Lock()
	pause := c.network.perKB * time.Duration(count) / 1000
	c.network.mu.Unlock()
	if pause > 0 {
		time.Sleep(pause) // simulates the network's delay
	}
	return count, err
}

// machine is a control process that runs in the test's own process.
type machine struct {
	ip      string
	control *Control
	stop    context.CancelFunc
	ended   chan error
}

// testCluster is a set of control processes on loopback addresses.
type testCluster struct {
	dir      string
	base     int // lowest port of each machine
	network  *faultyNetwork
	founders int
	machines map[int]*machine
}

func newTestCluster(founders int) *testCluster {
	s := &testCluster{dir: GinkgoT().TempDir(), base: 20000 + rand.IntN(20000), founders: founders, machines: map[int]*machine{},
		network: &faultyNetwork{partitioned: map[string]bool{}}}
	DeferCleanup(func() {
		for i := range s.machines {
			s.stop(i)
		}
	})
	for i := range founders {
		s.start(i, true)
	}
	return s
}

func (s *testCluster) ip(i int) string { return fmt.Sprintf("127.0.5.%d", 10+i) }

func (s *testCluster) operatorAddress(i int) string { return fmt.Sprintf("%s:%d", s.ip(i), s.base+20) }

func (s *testCluster) dataDir(i int) string { return filepath.Join(s.dir, fmt.Sprint(i)) }

func (s *testCluster) settings(i int, bootstrap bool) *nodeconfig.Settings {
	seeds := ""
	for founder := range s.founders {
		seeds += fmt.Sprintf("  - %q\n", s.operatorAddress(founder))
	}
	settings, err := nodeconfig.Parse(fmt.Appendf(nil, "NodeId: \"c%d\"\nIp: %q\nZone: z\nBootstrap: %v\nInternalPortRange: [%d, %d]\nSeeds:\n%sDataDir: %q\n"+
		"FaultTolerance: {Machines: %d}\nBounds: {GraceS: 4}\nCloud: {Address: \"127.0.0.1:1\"}\nListen:\n  Control: %q\n",
		i, s.ip(i), bootstrap, s.base, s.base+15, seeds, s.dataDir(i), (s.founders-1)/2, s.operatorAddress(i)))
	Expect(err).NotTo(HaveOccurred())
	return settings
}

func (s *testCluster) start(i int, bootstrap bool) {
	settings := s.settings(i, bootstrap)
	logger := logrus.New()
	logger.SetOutput(GinkgoWriter)
	log := logger.WithField("node", settings.NodeID)
	opened, err := openReplica(settings, log)
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	Expect(opened.persistIdentity(ctx)).To(Succeed())
	m := &machine{ip: s.ip(i), stop: stop, ended: make(chan error, 1),
		control: newControl(settings, opened, transport.NewClientWithDial(s.network.dial(s.ip(i))), log)}
	s.machines[i] = m
	go func() { m.ended <- m.control.run(ctx, nil) }()
}

func (s *testCluster) stop(i int) {
	m := s.machines[i]
	delete(s.machines, i)
	m.stop()
	Eventually(m.ended, waitTimeout).Should(Receive())
	// Calls that are still in progress must not write to the disk any longer, as in a process that has ended.
	m.control.replica.writeMu.Lock()
	Expect(m.control.replica.store.Close()).To(Succeed())
}

// testConfig returns a configuration of a version. size is the length of its route's name.
func testConfig(version int, size int) []byte {
	return fmt.Appendf(nil, `{"Version":%d,"Routes":[{"Name":"%s","Host":"h","PathPrefix":"/p/","RouteType":"non_idempotent","TimeoutMs":2000,`+
		`"TargetLatencyMs":500,"Service":"s","MaxAttempts":1}],"Services":[{"Name":"s","HealthPath":"/health","MaxConnections":10}]}`,
		version, strings.Repeat("r", max(size, 1)))
}

// put sends a configuration and returns the status, or 0 if there was no response.
func (s *testCluster) put(i, base int, data []byte) int { return s.send(http.MethodPut, i, base, data) }

// send sends a change and returns the status, or 0 if there was no response.
func (s *testCluster) send(method string, i, base int, data []byte) int {
	request, err := http.NewRequest(method, "http://"+s.operatorAddress(i)+"/config", bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("If-Match", fmt.Sprint(base))
	response, err := (&http.Client{Timeout: waitTimeout}).Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// sendUntilDecided sends the same change, as an operator does, until the response is neither missing nor 503. It returns its status.
func (s *testCluster) sendUntilDecided(method string, i, base int, data []byte) (status int) {
	Eventually(func() int {
		status = s.send(method, i, base, data)
		return status
	}, waitTimeout).ShouldNot(BeElementOf(0, http.StatusServiceUnavailable))
	return status
}

// get returns the status and the version of the configuration that a process answers with.
func (s *testCluster) get(i int) (status, version int) {
	response, err := (&http.Client{Timeout: waitTimeout}).Get("http://" + s.operatorAddress(i) + "/config")
	if err != nil {
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	var config struct{ Version int }
	if response.StatusCode == http.StatusOK {
		Expect(json.Unmarshal(data, &config)).To(Succeed())
	}
	return response.StatusCode, config.Version
}

func (s *testCluster) version(i int) int {
	_, version := s.get(i)
	return version
}

// storedVersion returns the version on a machine's disk, or 0 if the bytes of its configuration are missing.
func (s *testCluster) storedVersion(i int) int {
	value := s.machines[i].control.replica.state().Value
	if s.machines[i].control.replica.configBytes(value.ConfigDigest) == nil {
		return 0
	}
	return int(value.ConfigVersion)
}

// isVoter reports whether a machine is a voter and no reconfiguration is in progress.
func (s *testCluster) isVoter(i int) bool {
	gossipState, _ := s.machines[0].control.node.State()
	for _, voter := range gossipState.Voters.Voters {
		if voter.ID == s.machines[i].control.proposer.self.ID {
			return len(gossipState.Voters.OutgoingVoters) == 0
		}
	}
	return false
}

// commitFirstConfig puts the first configuration.
func (s *testCluster) commitFirstConfig() {
	Eventually(func() int { return s.put(0, 0, testConfig(1, 0)) }, waitTimeout).Should(Equal(http.StatusOK))
	for i := range s.founders {
		Eventually(func() int { return s.storedVersion(i) }, waitTimeout).Should(Equal(1))
	}
}
