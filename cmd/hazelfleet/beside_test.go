package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// mixed is a fleet without control machines: three machines with a disk that counts and one without, each with an agent and a proxy.
type mixed struct {
	*fleet
}

const (
	diskMachines = 3
	allMachines  = diskMachines + 1
)

func startMixed() *mixed {
	m := &mixed{newFleet()}
	for i := range allMachines {
		m.begin(agentName(i), true)
		m.begin(proxyName(i), true)
	}
	return m
}

func agentName(i int) string             { return fmt.Sprint("agent", i) }
func proxyName(i int) string             { return fmt.Sprint("proxy", i) }
func machineIP(i int) string             { return fmt.Sprintf("127.0.6.1%d", i) }
func (m *mixed) operatorAt(i int) string { return fmt.Sprintf("%s:%d", machineIP(i), m.base+20) }
func (m *mixed) disk(i int) string       { return filepath.Join(m.dir, fmt.Sprint("disk", i)) }

// file writes the settings file of a process and returns its path.
func (m *mixed) file(name string, bootstrap bool) string {
	i := int(name[len(name)-1] - '0')
	seeds := ""
	for seed := range diskMachines {
		seeds += fmt.Sprintf("  - %q\n", m.operatorAt(seed))
	}
	text := fmt.Sprintf("NodeId: m%d\nIp: %q\nZone: z\nBootstrap: %v\nInternalPortRange: [%d, %d]\nSeeds:\n%sFaultTolerance: {Machines: 1}\n"+
		"Bounds: {GraceS: 4}\nCloud: {Address: %q, RatePerS: 50}\n", i, machineIP(i), bootstrap, m.base, m.base+15, seeds, m.platform)
	if i < diskMachines {
		text += fmt.Sprintf("CountsForQuorum: true\nDataDir: %q\n", m.disk(i))
	}
	if strings.HasPrefix(name, "proxy") {
		text += fmt.Sprintf("Listen:\n  Front: \"%s:%d\"\n  Ready: \"%s:%d\"\n", machineIP(i), m.base+21, machineIP(i), m.base+22)
	} else {
		text += fmt.Sprintf("Listen:\n  Control: %q\n", m.operatorAt(i))
	}
	path := filepath.Join(m.dir, name+".yaml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func (m *mixed) begin(name string, bootstrap bool) { m.startWith(name, m.file(name, bootstrap)) }

// order sends a change to a machine and returns the status, 0 where there was none. Redirects are followed.
func (m *mixed) order(method string, i, base int, body string) int {
	request, err := http.NewRequest(method, "http://"+m.operatorAt(i)+"/config", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("If-Match", fmt.Sprint(base))
	answer, err := (&http.Client{Timeout: within}).Do(request)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	return answer.StatusCode
}

const firstConfig = `{"Version":1,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","RouteType":"non_idempotent","TimeoutMs":2000,` +
	`"TargetLatencyMs":500,"Service":"s","MaxAttempts":1}],"Services":[{"Name":"s","HealthPath":"/health","MaxConnections":10}]}`

// addition is a patch that adds a route of its own.
func addition(version int) string {
	return fmt.Sprintf(`{"Version":%d,"Upsert":{"Routes":[{"Name":"r%d","Host":"h","PathPrefix":"/r%d/","RouteType":"idempotent","TimeoutMs":900,"Service":"s"}]}}`,
		version, version, version)
}

// held is the configuration as a machine tells it: its version and the number of its routes, zeros where it doesn't.
type held struct{ version, routes int }

func (m *mixed) tells(i int) held {
	answer, err := (&http.Client{Timeout: within}).Get("http://" + m.operatorAt(i) + "/config")
	if err != nil {
		return held{}
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	var config struct {
		Version int
		Routes  []json.RawMessage
	}
	if err != nil || answer.StatusCode != http.StatusOK || json.Unmarshal(data, &config) != nil {
		return held{}
	}
	return held{config.Version, len(config.Routes)}
}

func (m *mixed) askAt(i int) string { return askFront(fmt.Sprintf("%s:%d", machineIP(i), m.base+21)) }

func (m *mixed) beginConfigured() {
	Eventually(func() int { return m.order(http.MethodPut, allMachines-1, 0, firstConfig) }, within).Should(Equal(http.StatusOK))
	for i := range allMachines {
		Eventually(func() string { return m.askAt(i) }, within).Should(Equal("200 hello"))
	}
}

var _ = Describe("a fleet whose disks stand on machines that take requests", func() {
	It("takes changes at any machine, by redirects where there is no disk, and serves at all", func() {
		m := startMixed()
		m.beginConfigured()
		Expect(m.order(http.MethodPatch, allMachines-1, 1, addition(3))).To(Equal(http.StatusOK))
		Expect(m.order(http.MethodPatch, 1, 1, addition(3))).To(Equal(http.StatusOK), "sent again elsewhere")
		Expect(m.order(http.MethodPatch, allMachines-1, 1, addition(4))).To(Equal(http.StatusPreconditionFailed))
		for i := range allMachines {
			Eventually(func() held { return m.tells(i) }, within).Should(Equal(held{3, 2}))
		}
	})

	It("makes a change once though a process is killed at any step of it", func() {
		m := startMixed()
		m.beginConfigured()
		rng := rand.New(rand.NewPCG(56, 1))
		version, routes := 1, 1
		for range 12 {
			change, base := addition(version+1), version
			killed := rng.IntN(allMachines) // one without a disk redirects, one with a disk may answer or vote
			first := make(chan int)
			go func() {
				defer GinkgoRecover()
				first <- m.order(http.MethodPatch, allMachines-1, base, change)
			}()
			for range rng.IntN(2000) { // a moment: the change is anywhere on its way
				_ = rng.Uint64()
			}
			m.kill(agentName(killed))
			Expect(<-first).To(BeElementOf(0, http.StatusOK, http.StatusServiceUnavailable, http.StatusBadGateway), "never refused")
			m.begin(agentName(killed), false)
			other := (killed + 1) % allMachines
			Eventually(func() int { return m.order(http.MethodPatch, other, base, change) }, within).Should(Equal(http.StatusOK))
			version, routes = version+1, routes+1
			Eventually(func() held { return m.tells(other) }, within).Should(Equal(held{version, routes}))
		}
		for i := range allMachines {
			Eventually(func() string { return m.askAt(i) }, within).Should(Equal("200 hello"))
		}
	})

	It("keeps what was confirmed while one disk after the other is lost", func() {
		m := startMixed()
		m.beginConfigured()
		version := 1
		for lost := range diskMachines {
			m.kill(agentName(lost))
			Expect(os.RemoveAll(m.disk(lost))).To(Succeed())
			m.begin(agentName(lost), false)
			for range 2 {
				Eventually(func() int { return m.order(http.MethodPatch, allMachines-1, version, addition(version+1)) }, within).Should(Equal(http.StatusOK))
				version++
			}
			Eventually(func() bool { return m.votes(lost) }, within).Should(BeTrue(), "disk %d", lost)
		}
		Eventually(func() held { return m.tells(0) }, within).Should(Equal(held{version, version}))
	})

	It("has each role live on while the one beside it ends", func() {
		m := startMixed()
		m.beginConfigured()
		m.kill(proxyName(0))
		Expect(m.order(http.MethodPatch, 0, 1, addition(2))).To(Equal(http.StatusOK), "control beside it answers")
		m.begin(proxyName(0), false)
		Eventually(func() string { return m.askAt(0) }, within).Should(Equal("200 hello"))
		agent := m.running[agentName(0)]
		delete(m.running, agentName(0))
		Expect(agent.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(m.askAt(0)).To(Equal("200 hello"))
		Expect(agent.Wait()).To(Succeed())
		Expect(m.askAt(0)).To(Equal("200 hello"), "the proxy serves on")
		Eventually(func() int { return m.order(http.MethodPatch, 1, 2, addition(3)) }, within).Should(Equal(http.StatusOK))
		m.begin(agentName(0), false)
		Eventually(func() held { return m.tells(0) }, within).Should(Equal(held{3, 3}))
	})

	It("answers 503 where no control process is in reach", func() {
		m := startMixed()
		m.beginConfigured()
		for i := range diskMachines {
			m.kill(agentName(i))
		}
		Eventually(func() int { return m.order(http.MethodPatch, allMachines-1, 1, addition(2)) }, within).Should(Equal(http.StatusServiceUnavailable))
		Expect(m.askAt(allMachines-1)).To(Equal("200 hello"), "it serves on")
	})

	It("names a disk that counts without an address for the operator", func() {
		m := &mixed{&fleet{dir: GinkgoT().TempDir(), platform: "127.0.0.1:1"}}
		m.base = lowestPort
		path := m.file("agent0", true)
		text, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		text = []byte(strings.Replace(string(text), "  Control:", "  Later:", 1))
		Expect(os.WriteFile(path, text, 0o600)).To(Succeed())
		process := exec.Command(binary, "agent")
		process.Env = append(os.Environ(), "HAZELWHEEL_CONFIG="+path)
		out, err := process.CombinedOutput()
		Expect(err).To(HaveOccurred())
		Expect(process.ProcessState.ExitCode()).To(Equal(exitUsage))
		Expect(string(out)).To(Equal("hazelfleet: settings: " + path + ": line 15: Listen.Control: a machine whose disk counts needs an address for the operator\n"))
	})
})

// votes reports whether the disk of a machine votes.
func (m *mixed) votes(i int) bool {
	answer, err := (&http.Client{Timeout: within}).Get(fmt.Sprintf("http://%s:%d/fleet/v1/holdings", machineIP(i), m.base))
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	var told struct{ Votes bool }
	return json.NewDecoder(answer.Body).Decode(&told) == nil && told.Votes
}
