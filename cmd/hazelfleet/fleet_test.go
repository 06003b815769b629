package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/nodeconfig"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "processes of the fleet")
}

var (
	binary string
	starts atomic.Uint64 // of processes
)

var _ = BeforeSuite(func() {
	binary = filepath.Join(GinkgoT().TempDir(), "hazelfleet")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

// waitTimeout bounds each wait for the processes. It is far longer than any wait takes.
const waitTimeout = 30 * time.Second

// The ports are below the system's ephemeral ports, which connections would sometimes occupy.
const (
	lowestPort  = 10000
	portChoices = 22000
)

// fleet is a set of processes on loopback addresses, with a fake platform and one server. startFleet starts three control processes, an agent
// and a proxy.
type fleet struct {
	dir      string
	base     int // first port
	platform string
	running  map[string]*exec.Cmd
}

// newFleet returns a fleet without processes. The processes that are started in it are killed after the test.
func newFleet() *fleet {
	f := &fleet{dir: GinkgoT().TempDir(), base: lowestPort + rand.IntN(portChoices), running: map[string]*exec.Cmd{}}
	f.startPlatform()
	DeferCleanup(func() {
		for name := range f.running {
			f.kill(name)
		}
	})
	return f
}

func startFleet() *fleet {
	f := newFleet()
	for i := range 3 {
		f.start(controlName(i), true)
	}
	f.start("agent", true)
	f.start("proxy", true)
	return f
}

// redirecting is the number of the control process whose disk doesn't count. startFleet doesn't start it.
const redirecting = 3

func controlName(i int) string { return fmt.Sprint("control", i) }

// ip returns the loopback address of a process's machine. The agent's feed is always on 127.0.0.1.
func ip(name string) string {
	if number, ok := strings.CutPrefix(name, "control"); ok {
		return "127.0.3.1" + number
	}
	return "127.0.3.20"
}

func (f *fleet) operatorAddress(i int) string {
	return fmt.Sprintf("%s:%d", ip(controlName(i)), f.base+20)
}
func (f *fleet) frontAddress() string { return fmt.Sprintf("%s:%d", ip("proxy"), f.base+21) }
func (f *fleet) readyAddress() string { return fmt.Sprintf("%s:%d", ip("proxy"), f.base+22) }

// startPlatform starts a fake platform that lists one server, which responds with the body of the request.
func (f *fleet) startPlatform() { f.startPlatformWith("i-1", "") }

// startPlatformWith is startPlatform for a server with this ID and answer; if the answer is empty, the server responds with the body of the request.
func (f *fleet) startPlatformWith(id, answer string) {
	server := serve(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if answer != "" {
			body = []byte(answer)
		}
		w.Header().Set("Hazelwheel-Request-Id", r.Header.Get("Hazelwheel-Request-Id"))
		w.Header().Set("Hazelwheel-Response-Stamp", "stamp")
		_, _ = w.Write(body)
	})
	f.platform = serve(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"NextPageToken": nil, "Instances": []map[string]any{{"Id": id, "Service": "s",
			"Address": server, "Zone": "z", "Slots": 4, "State": "ready"}}})
	})
}

// serve starts a server with the handler on a free port and returns its address.
func serve(handler http.HandlerFunc) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: waitTimeout}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return listener.Addr().String()
}

// writeSettings writes the settings file of a process and returns its path.
func (f *fleet) writeSettings(name string, bootstrap bool) string {
	seeds := ""
	for i := range 3 {
		seeds += fmt.Sprintf("  - %q\n", f.operatorAddress(i))
	}
	text := fmt.Sprintf("NodeId: %q\nIp: %q\nZone: z\nBootstrap: %v\nInternalPortRange: [%d, %d]\nSeeds:\n%sDataDir: %q\n"+
		"FaultTolerance: {Machines: 1}\nBounds: {GraceS: 4}\nCloud: {Address: %q, RatePerS: 50}\nListen:\n",
		name, ip(name), bootstrap, f.base, f.base+15, seeds, filepath.Join(f.dir, "data-"+name), f.platform)
	switch {
	case name == "proxy":
		text += fmt.Sprintf("  Front: %q\n  Ready: %q\n", f.frontAddress(), f.readyAddress())
	case strings.HasPrefix(name, "control"):
		text += fmt.Sprintf("  Control: \"%s:%d\"\nCountsForQuorum: %v\n", ip(name), f.base+20, name != controlName(redirecting))
	}
	path := filepath.Join(f.dir, name+".yaml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func (f *fleet) start(name string, bootstrap bool) {
	f.startWith(name, f.writeSettings(name, bootstrap))
}

// nextBinary returns the program for the next start. If HAZELFLEET_OTHER names the program of another version, the two programs alternate, also
// on the same disks. This checks that each version reads what the other one has stored and sent.
func nextBinary() string {
	other := os.Getenv("HAZELFLEET_OTHER")
	if other == "" || starts.Add(1)%2 == 0 {
		return binary
	}
	return other
}

// startWith starts a process with a settings file. The process's name is its role, followed by a number if there are several.
func (f *fleet) startWith(name, settings string) { f.startProgram(nextBinary(), name, settings) }

// startProgram is startWith with a given program.
func (f *fleet) startProgram(program, name, settings string) {
	process := exec.Command(program, strings.TrimRight(name, "0123456789"))
	process.Env = append(os.Environ(), "HAZELWHEEL_CONFIG="+settings)
	process.Stdout, process.Stderr = GinkgoWriter, GinkgoWriter
	Expect(process.Start()).To(Succeed())
	f.running[name] = process
}

func (f *fleet) kill(name string) {
	_ = f.running[name].Process.Kill() // it may have ended
	_ = f.running[name].Wait()
	delete(f.running, name)
}

func (f *fleet) signal(name string, signal syscall.Signal) {
	Expect(f.running[name].Process.Signal(signal)).To(Succeed())
}

// processState returns the letter for a process's state in /proc, for example T if it is stopped.
func (f *fleet) processState(name string) string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.running[name].Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	return strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))[0]
}

// connect returns an error if an address doesn't accept connections.
func connect(address string) error {
	connection, err := net.DialTimeout("tcp", address, waitTimeout)
	if err != nil {
		return err
	}
	return connection.Close()
}

// isVoterWithVersion reports whether a control process is a voter and has a version on its disk.
func (f *fleet) isVoterWithVersion(i, version int) bool {
	response, err := (&http.Client{Timeout: waitTimeout}).Get(fmt.Sprintf("http://%s:%d/fleet/v1/holdings", ip(controlName(i)), f.base))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var status struct {
		Votes   bool
		Version int
	}
	return json.NewDecoder(response.Body).Decode(&status) == nil && status.Votes && status.Version == version
}

// servesWithout reports whether a control process returns a version while another one is stopped.
func (f *fleet) servesWithout(i, without, version int) bool {
	f.signal(controlName(without), syscall.SIGSTOP)
	defer f.signal(controlName(without), syscall.SIGCONT)
	return f.version(i) == version
}

// put sends a configuration and returns the status, or 0 if there was no response.
func (f *fleet) put(i int, version, base int, timeout string) int {
	body := fmt.Sprintf(`{"Version":%d,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","RouteType":"non_idempotent","TimeoutMs":%s,`+
		`"TargetLatencyMs":500,"Service":"s","MaxAttempts":1}],"Services":[{"Name":"s","HealthPath":"/health","MaxConnections":10}]}`, version, timeout)
	request, err := http.NewRequest(http.MethodPut, "http://"+f.operatorAddress(i)+"/config", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("If-Match", fmt.Sprint(base))
	response, err := (&http.Client{Timeout: waitTimeout}).Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// version returns the version of the configuration that a control process returns, or 0 if it returns none.
func (f *fleet) version(i int) int {
	response, err := (&http.Client{Timeout: waitTimeout}).Get("http://" + f.operatorAddress(i) + "/config")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var config struct{ Version int }
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&config) != nil {
		return 0
	}
	return config.Version
}

// request sends a request to the proxy and returns status and body.
func (f *fleet) request() string { return sendRequest(f.frontAddress()) }

// sendRequest sends a request to a proxy's front address and returns status and body.
func sendRequest(address string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/p/x", bytes.NewBufferString("hello"))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "h"
	request.Header.Set("Hazelwheel-Request-Id", "id")
	request.Header.Set("Hazelwheel-Deadline-Ms", "3000")
	response, err := (&http.Client{Timeout: waitTimeout}).Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return fmt.Sprint(response.StatusCode, " ", string(body))
}

var _ = Describe("a fleet of processes", func() {
	It("redirects the operator from a control process whose disk doesn't count", func() {
		f := startFleet()
		f.start(controlName(redirecting), true)
		Eventually(func() int { return f.put(redirecting, 3, 0, "2000") }, waitTimeout).Should(Equal(http.StatusOK))
		Expect(f.version(redirecting)).To(Equal(3))
		Expect(f.put(redirecting, 4, 0, "2500")).To(Equal(http.StatusPreconditionFailed))
		Eventually(f.request, waitTimeout).Should(Equal("200 hello"))
		entries, err := os.ReadDir(filepath.Join(f.dir, "data-"+controlName(redirecting)))
		Expect(err != nil || len(entries) == 0).To(BeTrue(), "nothing is stored there")
	})

	It("accepts a configuration, sends it to the proxy, and keeps it though processes are killed and a disk is lost", func() {
		f := startFleet()
		Eventually(func() int { return f.put(0, 3, 0, "2000") }, waitTimeout).Should(Equal(http.StatusOK))
		Eventually(f.request, waitTimeout).Should(Equal("200 hello"))

		By("acknowledging a repeated change, and rejecting changes that don't apply")
		Expect(f.put(1, 3, 0, "2000")).To(Equal(http.StatusOK))
		Expect(f.put(1, 4, 0, "2500")).To(Equal(http.StatusPreconditionFailed))
		Expect(f.put(1, 3, 3, "2500")).To(Equal(http.StatusBadRequest))
		Expect(f.put(1, 5, 3, "0")).To(Equal(http.StatusBadRequest))

		By("accepting a change while one of three processes is killed")
		f.kill(controlName(0))
		Eventually(func() int { return f.put(1, 7, 3, "2500") }, waitTimeout).Should(Equal(http.StatusOK))
		Eventually(func() int { return f.version(2) }, waitTimeout).Should(Equal(7))

		By("rejecting changes at once without a majority")
		f.kill(controlName(1))
		Expect(f.put(2, 9, 7, "2600")).To(Equal(http.StatusServiceUnavailable))
		Expect(f.request()).To(Equal("200 hello"), "the proxy keeps serving")

		By("returning what was acknowledged after all processes were killed")
		f.kill(controlName(2))
		for i := range 3 {
			f.start(controlName(i), false)
		}
		Eventually(func() int { return f.version(0) }, waitTimeout).Should(BeNumerically(">=", 7))

		By("adding a voter again whose disk was lost, so that another one may fail")
		current := f.version(0)
		f.kill(controlName(1))
		Expect(os.RemoveAll(filepath.Join(f.dir, "data-"+controlName(1)))).To(Succeed())
		f.start(controlName(1), false)
		Eventually(func() int { return f.put(1, current+5, current, "2700") }, waitTimeout).Should(Equal(http.StatusOK))
		Eventually(func() int { return f.version(1) }, waitTimeout).Should(Equal(current + 5))
	})

	It("never returns an older configuration from a process that was stopped", func() {
		f := startFleet()
		Eventually(func() int { return f.put(0, 3, 0, "2000") }, waitTimeout).Should(Equal(http.StatusOK))
		for i := range 3 { // a majority of two may have answered before the third process listens
			Eventually(func() int { return f.version(i) }, waitTimeout).Should(Equal(3))
		}
		version := 3
		for range 3 {
			f.signal(controlName(2), syscall.SIGSTOP)
			Eventually(func() string { return f.processState(controlName(2)) }, waitTimeout).Should(Equal("T"))
			for range 5 {
				Expect(f.put(version%2, version+1, version, "2000")).To(Equal(http.StatusOK))
				version++
			}
			f.signal(controlName(2), syscall.SIGCONT)
			Expect(f.version(2)).To(BeElementOf(0, version), "0: it returns no configuration")
			Expect(f.put(2, version, version-1, "2000")).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable), "an accepted change is not rejected")
			Eventually(func() int { return f.version(2) }, waitTimeout).Should(Equal(version))
		}
	})

	It("keeps all acknowledged changes while one disk after the other is lost", func() {
		f := startFleet()
		Eventually(func() int { return f.put(0, 3, 0, "2000") }, waitTimeout).Should(Equal(http.StatusOK))
		version := 3
		for lost := range 3 {
			f.kill(controlName(lost))
			Expect(os.RemoveAll(filepath.Join(f.dir, "data-"+controlName(lost)))).To(Succeed())
			f.start(controlName(lost), false)
			Eventually(func() bool { return f.isVoterWithVersion(lost, version) }, waitTimeout).Should(BeTrue(), "disk %d", lost)
			// Now that this process is a voter, another one may stop.
			other := (lost + 1) % 3
			Eventually(func() bool { return f.servesWithout(lost, other, version) }, waitTimeout).Should(BeTrue(), "disk %d", lost)
			Eventually(func() int { return f.put(lost, version+1, version, "2000") }, waitTimeout).Should(Equal(http.StatusOK))
			version++
		}
		Eventually(f.request, waitTimeout).Should(Equal("200 hello"))
	})

	It("keeps serving while agent and proxy restart, and shuts down gracefully", func() {
		f := startFleet()
		Eventually(func() int { return f.put(0, 1, 0, "2000") }, waitTimeout).Should(Equal(http.StatusOK))
		Eventually(f.request, waitTimeout).Should(Equal("200 hello"))
		f.kill("agent")
		Expect(f.request()).To(Equal("200 hello"))
		f.start("agent", false)
		f.kill("proxy")
		f.start("proxy", false)
		Eventually(f.request, waitTimeout).Should(Equal("200 hello"))
		for _, process := range f.running {
			Expect(process.Process.Signal(syscall.SIGHUP)).To(Succeed())
		}
		Expect(f.request()).To(Equal("200 hello"), "SIGHUP ends no process")
		for _, name := range []string{"proxy", "agent", controlName(1)} {
			Expect(f.running[name].Process.Signal(syscall.SIGTERM)).To(Succeed())
		}
		for _, name := range []string{"proxy", "agent", controlName(1)} {
			Expect(f.running[name].Wait()).To(Succeed(), name)
			delete(f.running, name)
		}
	})

	// A supervisor may send SIGTERM repeatedly, even while the process exits.
	It("exits with status 0 however often it receives SIGTERM", func() {
		f := newFleet()
		address := fmt.Sprintf("%s:%d", ip("agent"), f.base+int(nodeconfig.AgentPort))
		settings := f.writeSettings("agent", true)
		for range 20 {
			f.startProgram(binary, "agent", settings)
			Eventually(func() error { return connect(address) }, waitTimeout, "5ms").Should(Succeed())
			process := f.running["agent"]
			delete(f.running, "agent")
			ended := make(chan error, 1)
			go func() { ended <- process.Wait() }()
			deadline := time.Now().Add(waitTimeout)
			for len(ended) == 0 && time.Now().Before(deadline) {
				_ = process.Process.Signal(syscall.SIGTERM) // it may have ended
			}
			_ = process.Process.Kill()
			Expect(<-ended).To(Succeed())
		}
	})

	It("reports the first fault of its settings on one line and exits with 2, and the check reports all faults", func() {
		path := filepath.Join(GinkgoT().TempDir(), "boot.yaml")
		Expect(os.WriteFile(path, []byte("NodeId: a\nIp: nowhere\n"), 0o600)).To(Succeed())
		for role, want := range map[string]string{
			"proxy": "line 2: Ip: not an IP address: \"nowhere\"\n",
			"check": "line 2, column 1: Ip: not an IP address: \"nowhere\"\n" +
				"hazelfleet: settings: " + path + ": InternalPortRange: want two ports, the first and the last of 3 or more\n",
		} {
			process := exec.Command(binary, role)
			process.Env = append(os.Environ(), "HAZELWHEEL_CONFIG="+path)
			out, err := process.CombinedOutput()
			Expect(err).To(HaveOccurred())
			Expect(process.ProcessState.ExitCode()).To(Equal(exitUsage))
			Expect(string(out)).To(Equal("hazelfleet: settings: " + path + ": " + want))
		}
	})
})
