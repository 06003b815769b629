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

// colocatedFleet is a fleet without separate control machines. Each of its four machines runs an agent and a proxy; three have a disk that
// counts, so that control runs in their agent's process.
type colocatedFleet struct {
	*fleet
}

const (
	diskMachines = 3
	allMachines  = diskMachines + 1
)

func startColocatedFleet() *colocatedFleet {
	m := &colocatedFleet{newFleet()}
	for i := range allMachines {
		m.startProcess(agentName(i), true)
		m.startProcess(proxyName(i), true)
	}
	return m
}

func agentName(i int) string { return fmt.Sprint("agent", i) }
func proxyName(i int) string { return fmt.Sprint("proxy", i) }
func machineIP(i int) string { return fmt.Sprintf("127.0.6.1%d", i) }
func (m *colocatedFleet) operatorAddressAt(i int) string {
	return fmt.Sprintf("%s:%d", machineIP(i), m.base+20)
}
func (m *colocatedFleet) dataDir(i int) string { return filepath.Join(m.dir, fmt.Sprint("disk", i)) }

// writeMachineSettings writes the settings file of a process and returns its path.
func (m *colocatedFleet) writeMachineSettings(name string, bootstrap bool) string {
	i := int(name[len(name)-1] - '0')
	seeds := ""
	for seed := range diskMachines {
		seeds += fmt.Sprintf("  - %q\n", m.operatorAddressAt(seed))
	}
	text := fmt.Sprintf("NodeId: m%d\nIp: %q\nZone: z\nBootstrap: %v\nInternalPortRange: [%d, %d]\nSeeds:\n%sFaultTolerance: {Machines: 1}\n"+
		"Bounds: {GraceS: 4}\nCloud: {Address: %q, RatePerS: 50}\n", i, machineIP(i), bootstrap, m.base, m.base+15, seeds, m.platform)
	if i < diskMachines {
		text += fmt.Sprintf("CountsForQuorum: true\nDataDir: %q\n", m.dataDir(i))
	}
	if strings.HasPrefix(name, "proxy") {
		text += fmt.Sprintf("Listen:\n  Front: \"%s:%d\"\n  Ready: \"%s:%d\"\n", machineIP(i), m.base+21, machineIP(i), m.base+22)
	} else {
		text += fmt.Sprintf("Listen:\n  Control: %q\n", m.operatorAddressAt(i))
	}
	path := filepath.Join(m.dir, name+".yaml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func (m *colocatedFleet) startProcess(name string, bootstrap bool) {
	m.startWith(name, m.writeMachineSettings(name, bootstrap))
}

// sendChange sends a change to a machine, follows redirects and returns the status, or 0 if there was no response.
func (m *colocatedFleet) sendChange(method string, i, base int, body string) int {
	request, err := http.NewRequest(method, "http://"+m.operatorAddressAt(i)+"/config", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("If-Match", fmt.Sprint(base))
	response, err := (&http.Client{Timeout: waitTimeout}).Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

const firstConfig = `{"Version":1,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","RouteType":"non_idempotent","TimeoutMs":2000,` +
	`"TargetLatencyMs":500,"Service":"s","MaxAttempts":1}],"Services":[{"Name":"s","HealthPath":"/health","MaxConnections":10}]}`

// routePatch returns a patch that adds a route named after the version.
func routePatch(version int) string {
	return fmt.Sprintf(`{"Version":%d,"Upsert":{"Routes":[{"Name":"r%d","Host":"h","PathPrefix":"/r%d/","RouteType":"idempotent","TimeoutMs":900,"Service":"s"}]}}`,
		version, version, version)
}

// configSummary is the version of a configuration and the number of its routes. It is zero if the configuration could not be read.
type configSummary struct{ version, routes int }

// readConfig returns the configuration that a machine returns to operators.
func (m *colocatedFleet) readConfig(i int) configSummary {
	response, err := (&http.Client{Timeout: waitTimeout}).Get("http://" + m.operatorAddressAt(i) + "/config")
	if err != nil {
		return configSummary{}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	var config struct {
		Version int
		Routes  []json.RawMessage
	}
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(data, &config) != nil {
		return configSummary{}
	}
	return configSummary{config.Version, len(config.Routes)}
}

// requestAt sends a request to a machine's proxy and returns status and body.
func (m *colocatedFleet) requestAt(i int) string {
	return sendRequest(fmt.Sprintf("%s:%d", machineIP(i), m.base+21))
}

// commitFirstConfig puts the first configuration and waits until all proxies serve requests according to it.
func (m *colocatedFleet) commitFirstConfig() {
	Eventually(func() int { return m.sendChange(http.MethodPut, allMachines-1, 0, firstConfig) }, waitTimeout).Should(Equal(http.StatusOK))
	for i := range allMachines {
		Eventually(func() string { return m.requestAt(i) }, waitTimeout).Should(Equal("200 hello"))
	}
}

var _ = Describe("a fleet whose counted disks are on machines with proxies", func() {
	It("accepts changes at any machine, by a redirect if it has no disk, and serves requests at all machines", func() {
		m := startColocatedFleet()
		m.commitFirstConfig()
		Expect(m.sendChange(http.MethodPatch, allMachines-1, 1, routePatch(3))).To(Equal(http.StatusOK))
		Expect(m.sendChange(http.MethodPatch, 1, 1, routePatch(3))).To(Equal(http.StatusOK), "repeated at another machine")
		Expect(m.sendChange(http.MethodPatch, allMachines-1, 1, routePatch(4))).To(Equal(http.StatusPreconditionFailed))
		for i := range allMachines {
			Eventually(func() configSummary { return m.readConfig(i) }, waitTimeout).Should(Equal(configSummary{3, 2}))
		}
	})

	It("makes a change exactly once, even if a process is killed at any point of it", func() {
		m := startColocatedFleet()
		m.commitFirstConfig()
		rng := rand.New(rand.NewPCG(56, 1))
		version, routes := 1, 1
		for range 12 {
			change, base := routePatch(version+1), version
			killed := rng.IntN(allMachines) // it redirects if it has no disk, else it may answer the operator or vote
			first := make(chan int)
			go func() {
				defer GinkgoRecover()
				first <- m.sendChange(http.MethodPatch, allMachines-1, base, change)
			}()
			for range rng.IntN(2000) { // a random delay, so that the change is at any point of its way
				_ = rng.Uint64()
			}
			m.kill(agentName(killed))
			Expect(<-first).To(BeElementOf(0, http.StatusOK, http.StatusServiceUnavailable, http.StatusBadGateway), "the change is not rejected")
			m.startProcess(agentName(killed), false)
			other := (killed + 1) % allMachines
			Eventually(func() int { return m.sendChange(http.MethodPatch, other, base, change) }, waitTimeout).Should(Equal(http.StatusOK))
			version, routes = version+1, routes+1
			Eventually(func() configSummary { return m.readConfig(other) }, waitTimeout).Should(Equal(configSummary{version, routes}))
		}
		for i := range allMachines {
			Eventually(func() string { return m.requestAt(i) }, waitTimeout).Should(Equal("200 hello"))
		}
	})

	It("keeps all acknowledged changes while one disk after the other is lost", func() {
		m := startColocatedFleet()
		m.commitFirstConfig()
		version := 1
		for lost := range diskMachines {
			m.kill(agentName(lost))
			Expect(os.RemoveAll(m.dataDir(lost))).To(Succeed())
			m.startProcess(agentName(lost), false)
			for range 2 {
				Eventually(func() int { return m.sendChange(http.MethodPatch, allMachines-1, version, routePatch(version+1)) }, waitTimeout).Should(Equal(http.StatusOK))
				version++
			}
			Eventually(func() bool { return m.isVoter(lost) }, waitTimeout).Should(BeTrue(), "disk %d", lost)
		}
		Eventually(func() configSummary { return m.readConfig(0) }, waitTimeout).Should(Equal(configSummary{version, version}))
	})

	It("keeps agent and proxy of a machine running while the other one ends", func() {
		m := startColocatedFleet()
		m.commitFirstConfig()
		m.kill(proxyName(0))
		Expect(m.sendChange(http.MethodPatch, 0, 1, routePatch(2))).To(Equal(http.StatusOK), "control on the same machine answers")
		m.startProcess(proxyName(0), false)
		Eventually(func() string { return m.requestAt(0) }, waitTimeout).Should(Equal("200 hello"))
		agent := m.running[agentName(0)]
		delete(m.running, agentName(0))
		Expect(agent.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(m.requestAt(0)).To(Equal("200 hello"))
		Expect(agent.Wait()).To(Succeed())
		Expect(m.requestAt(0)).To(Equal("200 hello"), "the proxy keeps serving")
		Eventually(func() int { return m.sendChange(http.MethodPatch, 1, 2, routePatch(3)) }, waitTimeout).Should(Equal(http.StatusOK))
		m.startProcess(agentName(0), false)
		Eventually(func() configSummary { return m.readConfig(0) }, waitTimeout).Should(Equal(configSummary{3, 3}))
	})

	It("answers 503 if no control process is reachable", func() {
		m := startColocatedFleet()
		m.commitFirstConfig()
		for i := range diskMachines {
			m.kill(agentName(i))
		}
		Eventually(func() int { return m.sendChange(http.MethodPatch, allMachines-1, 1, routePatch(2)) }, waitTimeout).Should(Equal(http.StatusServiceUnavailable))
		Expect(m.requestAt(allMachines-1)).To(Equal("200 hello"), "it keeps serving")
	})

	It("reports a counted disk without an address for the operator", func() {
		m := &colocatedFleet{&fleet{dir: GinkgoT().TempDir(), platform: "127.0.0.1:1"}}
		m.base = lowestPort
		path := m.writeMachineSettings("agent0", true)
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

// isVoter reports whether the control process of a machine is a voter.
func (m *colocatedFleet) isVoter(i int) bool {
	response, err := (&http.Client{Timeout: waitTimeout}).Get(fmt.Sprintf("http://%s:%d/fleet/v1/holdings", machineIP(i), m.base))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var status struct{ Votes bool }
	return json.NewDecoder(response.Body).Decode(&status) == nil && status.Votes
}
