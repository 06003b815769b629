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

// within bounds each wait for the processes; it is far above what they need.
const within = 30 * time.Second

// Ports are below those that the system gives to connections by itself, which would take them now and then.
const (
	lowestPort  = 10000
	portChoices = 22000
)

// fleet is three control processes, an agent and a proxy on loopback addresses, with a stand-in for the platform and one server.
type fleet struct {
	dir      string
	base     int // first port
	platform string
	running  map[string]*exec.Cmd
}

// newFleet returns one without processes; what is started in it is killed after the test.
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

// diskless is the control process whose disk doesn't count. It isn't started with the others.
const diskless = 3

func controlName(i int) string { return fmt.Sprint("control", i) }

// ip returns the loopback address of a process's machine. The agent's feed is on 127.0.0.1 as everywhere.
func ip(name string) string {
	if number, ok := strings.CutPrefix(name, "control"); ok {
		return "127.0.3.1" + number
	}
	return "127.0.3.20"
}

func (f *fleet) operator(i int) string { return fmt.Sprintf("%s:%d", ip(controlName(i)), f.base+20) }
func (f *fleet) front() string         { return fmt.Sprintf("%s:%d", ip("proxy"), f.base+21) }
func (f *fleet) ready() string         { return fmt.Sprintf("%s:%d", ip("proxy"), f.base+22) }

// startPlatform serves a list with one server, which answers with the body that it was sent.
func (f *fleet) startPlatform() {
	server := listen(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.Header().Set("Hazelwheel-Request-Id", r.Header.Get("Hazelwheel-Request-Id"))
		w.Header().Set("Hazelwheel-Response-Stamp", "stamp")
		_, _ = w.Write(body)
	})
	f.platform = listen(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"NextPageToken": nil, "Instances": []map[string]any{{"Id": "i-1", "Service": "s",
			"Address": server, "Zone": "z", "Slots": 4, "State": "ready"}}})
	})
}

func listen(handler http.HandlerFunc) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: within}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return listener.Addr().String()
}

// settings writes the settings file of a process and returns its path.
func (f *fleet) settings(name string, bootstrap bool) string {
	seeds := ""
	for i := range 3 {
		seeds += fmt.Sprintf("  - %q\n", f.operator(i))
	}
	text := fmt.Sprintf("NodeId: %q\nIp: %q\nZone: z\nBootstrap: %v\nInternalPortRange: [%d, %d]\nSeeds:\n%sDataDir: %q\n"+
		"FaultTolerance: {Machines: 1}\nBounds: {GraceS: 4}\nCloud: {Address: %q, RatePerS: 50}\nListen:\n",
		name, ip(name), bootstrap, f.base, f.base+15, seeds, filepath.Join(f.dir, "data-"+name), f.platform)
	switch {
	case name == "proxy":
		text += fmt.Sprintf("  Front: %q\n  Ready: %q\n", f.front(), f.ready())
	case strings.HasPrefix(name, "control"):
		text += fmt.Sprintf("  Control: \"%s:%d\"\nCountsForQuorum: %v\n", ip(name), f.base+20, name != controlName(diskless))
	}
	path := filepath.Join(f.dir, name+".yaml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func (f *fleet) start(name string, bootstrap bool) { f.startWith(name, f.settings(name, bootstrap)) }

// nextBinary returns the program for a start. HAZELFLEET_OTHER names another version's program, which then takes turns with this one, also
// on the same disks: it shows that the two versions read what the other has stored and sent.
func nextBinary() string {
	other := os.Getenv("HAZELFLEET_OTHER")
	if other == "" || starts.Add(1)%2 == 0 {
		return binary
	}
	return other
}

// startWith starts a process, whose name is its role and a number, with a settings file.
func (f *fleet) startWith(name, settings string) { f.startProgram(nextBinary(), name, settings) }

// startProgram does so with one version's program.
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

// processState returns the letter by which the system tells what a process does.
func (f *fleet) processState(name string) string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.running[name].Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	return strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))[0]
}

// connect reports as an error whether an address accepts no connection.
func connect(address string) error {
	connection, err := net.DialTimeout("tcp", address, within)
	if err != nil {
		return err
	}
	return connection.Close()
}

// holds reports whether a process votes and has a version on its disk.
func (f *fleet) holds(i, version int) bool {
	answer, err := (&http.Client{Timeout: within}).Get(fmt.Sprintf("http://%s:%d/fleet/v1/holdings", ip(controlName(i)), f.base))
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	var told struct {
		Votes   bool
		Version int
	}
	return json.NewDecoder(answer.Body).Decode(&told) == nil && told.Votes && told.Version == version
}

// serves reports whether a process tells a version while another one stands still.
func (f *fleet) serves(i, without, version int) bool {
	f.signal(controlName(without), syscall.SIGSTOP)
	defer f.signal(controlName(without), syscall.SIGCONT)
	return f.version(i) == version
}

// put sends a configuration and returns the status, 0 where there was none.
func (f *fleet) put(i int, version, base int, timeout string) int {
	body := fmt.Sprintf(`{"Version":%d,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","RouteType":"non_idempotent","TimeoutMs":%s,`+
		`"TargetLatencyMs":500,"Service":"s","MaxAttempts":1}],"Services":[{"Name":"s","HealthPath":"/health","MaxConnections":10}]}`, version, timeout)
	request, err := http.NewRequest(http.MethodPut, "http://"+f.operator(i)+"/config", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("If-Match", fmt.Sprint(base))
	answer, err := (&http.Client{Timeout: within}).Do(request)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	return answer.StatusCode
}

// version returns the configuration's version as a control process tells it, 0 where it doesn't.
func (f *fleet) version(i int) int {
	answer, err := (&http.Client{Timeout: within}).Get("http://" + f.operator(i) + "/config")
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	var config struct{ Version int }
	if answer.StatusCode != http.StatusOK || json.NewDecoder(answer.Body).Decode(&config) != nil {
		return 0
	}
	return config.Version
}

// ask sends a request through the proxy and returns status and body.
func (f *fleet) ask() string { return askFront(f.front()) }

// askFront sends a request to a proxy's front address and returns status and body.
func askFront(address string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/p/x", bytes.NewBufferString("hello"))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "h"
	request.Header.Set("Hazelwheel-Request-Id", "id")
	request.Header.Set("Hazelwheel-Deadline-Ms", "3000")
	answer, err := (&http.Client{Timeout: within}).Do(request)
	if err != nil {
		return err.Error()
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	Expect(err).NotTo(HaveOccurred())
	return fmt.Sprint(answer.StatusCode, " ", string(body))
}

var _ = Describe("a fleet of processes", func() {
	It("sends the operator on from a control process whose disk doesn't count", func() {
		f := startFleet()
		f.start(controlName(diskless), true)
		Eventually(func() int { return f.put(diskless, 3, 0, "2000") }, within).Should(Equal(http.StatusOK))
		Expect(f.version(diskless)).To(Equal(3))
		Expect(f.put(diskless, 4, 0, "2500")).To(Equal(http.StatusPreconditionFailed))
		Eventually(f.ask, within).Should(Equal("200 hello"))
		entries, err := os.ReadDir(filepath.Join(f.dir, "data-"+controlName(diskless)))
		Expect(err != nil || len(entries) == 0).To(BeTrue(), "nothing is stored there")
	})

	It("takes a configuration, carries it to the proxy and keeps it through kills and a lost disk", func() {
		f := startFleet()
		Eventually(func() int { return f.put(0, 3, 0, "2000") }, within).Should(Equal(http.StatusOK))
		Eventually(f.ask, within).Should(Equal("200 hello"))

		By("answering a change that is sent again, and refusing what does not go on top")
		Expect(f.put(1, 3, 0, "2000")).To(Equal(http.StatusOK))
		Expect(f.put(1, 4, 0, "2500")).To(Equal(http.StatusPreconditionFailed))
		Expect(f.put(1, 3, 3, "2500")).To(Equal(http.StatusBadRequest))
		Expect(f.put(1, 5, 3, "0")).To(Equal(http.StatusBadRequest))

		By("going on while one of three is killed")
		f.kill(controlName(0))
		Eventually(func() int { return f.put(1, 7, 3, "2500") }, within).Should(Equal(http.StatusOK))
		Eventually(func() int { return f.version(2) }, within).Should(Equal(7))

		By("refusing at once where no majority is there")
		f.kill(controlName(1))
		Expect(f.put(2, 9, 7, "2600")).To(Equal(http.StatusServiceUnavailable))
		Expect(f.ask()).To(Equal("200 hello"), "the proxy serves on")

		By("reading back what was acknowledged after all were killed")
		f.kill(controlName(2))
		for i := range 3 {
			f.start(controlName(i), false)
		}
		Eventually(func() int { return f.version(0) }, within).Should(BeNumerically(">=", 7))

		By("taking a voter back whose disk was lost, so that another may go")
		current := f.version(0)
		f.kill(controlName(1))
		Expect(os.RemoveAll(filepath.Join(f.dir, "data-"+controlName(1)))).To(Succeed())
		f.start(controlName(1), false)
		Eventually(func() int { return f.put(1, current+5, current, "2700") }, within).Should(Equal(http.StatusOK))
		Eventually(func() int { return f.version(1) }, within).Should(Equal(current + 5))
	})

	It("never tells an older configuration at a process that stood still", func() {
		f := startFleet()
		Eventually(func() int { return f.put(0, 3, 0, "2000") }, within).Should(Equal(http.StatusOK))
		for i := range 3 { // two of three may have answered before the third one listens
			Eventually(func() int { return f.version(i) }, within).Should(Equal(3))
		}
		version := 3
		for range 3 {
			f.signal(controlName(2), syscall.SIGSTOP)
			Eventually(func() string { return f.processState(controlName(2)) }, within).Should(Equal("T"))
			for range 5 {
				Expect(f.put(version%2, version+1, version, "2000")).To(Equal(http.StatusOK))
				version++
			}
			f.signal(controlName(2), syscall.SIGCONT)
			Expect(f.version(2)).To(BeElementOf(0, version), "0: it does not tell")
			Expect(f.put(2, version, version-1, "2000")).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable), "what was taken is not refused")
			Eventually(func() int { return f.version(2) }, within).Should(Equal(version))
		}
	})

	It("loses one disk after the other and keeps what it has confirmed", func() {
		f := startFleet()
		Eventually(func() int { return f.put(0, 3, 0, "2000") }, within).Should(Equal(http.StatusOK))
		version := 3
		for lost := range 3 {
			f.kill(controlName(lost))
			Expect(os.RemoveAll(filepath.Join(f.dir, "data-"+controlName(lost)))).To(Succeed())
			f.start(controlName(lost), false)
			Eventually(func() bool { return f.holds(lost, version) }, within).Should(BeTrue(), "disk %d", lost)
			// With this one as a voter another may stop.
			other := (lost + 1) % 3
			Eventually(func() bool { return f.serves(lost, other, version) }, within).Should(BeTrue(), "disk %d", lost)
			Eventually(func() int { return f.put(lost, version+1, version, "2000") }, within).Should(Equal(http.StatusOK))
			version++
		}
		Eventually(f.ask, within).Should(Equal("200 hello"))
	})

	It("begins again at its agent and ends in order", func() {
		f := startFleet()
		Eventually(func() int { return f.put(0, 1, 0, "2000") }, within).Should(Equal(http.StatusOK))
		Eventually(f.ask, within).Should(Equal("200 hello"))
		f.kill("agent")
		Expect(f.ask()).To(Equal("200 hello"))
		f.start("agent", false)
		f.kill("proxy")
		f.start("proxy", false)
		Eventually(f.ask, within).Should(Equal("200 hello"))
		for _, process := range f.running {
			Expect(process.Process.Signal(syscall.SIGHUP)).To(Succeed())
		}
		Expect(f.ask()).To(Equal("200 hello"), "a SIGHUP ends nothing")
		for _, name := range []string{"proxy", "agent", controlName(1)} {
			Expect(f.running[name].Process.Signal(syscall.SIGTERM)).To(Succeed())
		}
		for _, name := range []string{"proxy", "agent", controlName(1)} {
			Expect(f.running[name].Wait()).To(Succeed(), name)
			delete(f.running, name)
		}
	})

	// Who ends a process may tell it more than once, also while it exits.
	It("ends with status 0 however often it is told to end", func() {
		f := newFleet()
		address := fmt.Sprintf("%s:%d", ip("agent"), f.base+int(nodeconfig.AgentPort))
		settings := f.settings("agent", true)
		for range 20 {
			f.startProgram(binary, "agent", settings)
			Eventually(func() error { return connect(address) }, within, "5ms").Should(Succeed())
			process := f.running["agent"]
			delete(f.running, "agent")
			ended := make(chan error, 1)
			go func() { ended <- process.Wait() }()
			end := time.Now().Add(within)
			for len(ended) == 0 && time.Now().Before(end) {
				_ = process.Process.Signal(syscall.SIGTERM) // it may have ended
			}
			_ = process.Process.Kill()
			Expect(<-ended).To(Succeed())
		}
	})

	It("names the first fault of its settings in one line and ends with 2, the check names all", func() {
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
