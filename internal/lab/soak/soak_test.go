package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

// validOutcome is an outcome that violates no rule.
func validOutcome() Outcome {
	now := time.Now()
	return Outcome{ID: "id", Kind: NonIdempotent, Edge: "edge-0", Incarnation: 1,
		SentAt: now, EndedAt: now.Add(time.Millisecond), Status: 200, Body: expectedAnswer(NonIdempotent, "id"), HasStamp: true}
}

var _ = Describe("Checker", func() {
	DescribeTable("reports a violation of each rule", func(rule Rule, violate func(c *Checker)) {
		c := NewChecker()
		c.RequestSent("id", NonIdempotent)
		c.RequestExecuted("id")
		c.RequestEnded(validOutcome())
		c.Finish()
		Expect(c.Violations()).To(BeEmpty(), "no violation yet")
		violate(c)
		c.Finish()
		Expect(c.Violations()).To(HaveKey(rule))
		Expect(c.Violations()).To(HaveLen(1))
	},
		Entry(nil, AtMostOnce, func(c *Checker) { c.RequestExecuted("id") }),
		Entry(nil, AnswerIsOwn, func(c *Checker) {
			o := validOutcome()
			o.Body = expectedAnswer(NonIdempotent, "other")
			c.RequestEnded(o)
		}),
		Entry(nil, AnswerIsOwn, func(c *Checker) { o := validOutcome(); o.HasStamp = false; c.RequestEnded(o) }),
		Entry(nil, RefusedNotExecuted, func(c *Checker) { o := validOutcome(); o.Status = 503; c.RequestEnded(o) }),
		Entry(nil, RefusedNotExecuted, func(c *Checker) {
			c.RequestSent("later", NonIdempotent)
			o := validOutcome()
			o.ID, o.Status = "later", 503
			c.RequestEnded(o)
			c.RequestExecuted("later")
		}),
		Entry(nil, AnswerIsOwn, func(c *Checker) {
			o := validOutcome()
			o.Kind, o.Status, o.ConnectionClosed, o.Body = ResumableFeed, 0, true, feedEvent("id", 2)
			c.RequestEnded(o)
		}),
		Entry(nil, BodyIntact, func(c *Checker) { c.RequestBodyReceived("id", "body of i") }),
		Entry(nil, AlwaysAnswered, func(c *Checker) { o := validOutcome(); o.Status, o.ConnectionClosed = 0, true; c.RequestEnded(o) }),
		Entry(nil, AlwaysAnswered, func(c *Checker) { o := validOutcome(); o.Status, o.TimedOut = 0, true; c.RequestEnded(o) }),
		Entry(nil, ConfigurationMonotonic, func(c *Checker) {
			o := validOutcome()
			o.Route = 7
			c.RequestEnded(o)
			o.Route, o.Status = 6, 404
			c.RequestEnded(o)
		}),
		Entry(nil, ConfigurationInForce, func(c *Checker) {
			o := validOutcome()
			c.ConfigurationAcknowledged(3, o.SentAt.Add(-time.Minute))
			o.Route, o.Status = 3, 404
			c.RequestEnded(o)
		}),
		Entry(nil, AddedRoutesServed, func(c *Checker) {
			for range minRequestsForRatio {
				o := validOutcome()
				c.RequestEnded(o)
				o.Route, o.Status = 1, 502
				c.RequestEnded(o)
			}
		}),
		Entry(nil, KindsServed, func(c *Checker) {
			for range minRequestsForRatio {
				o := validOutcome()
				c.RequestEnded(o)
				o.Kind, o.Status = Prompt, 503
				c.RequestEnded(o)
			}
		}),
		Entry(nil, ServiceRecovered, func(c *Checker) {
			o := validOutcome()
			c.ExpectServiceFrom(o.SentAt.Add(-time.Second))
			o.Status = 502
			c.RequestEnded(o)
		}),
	)

	It("excuses an outcome that an intervention explains, and no other", func() {
		c := NewChecker()
		o := validOutcome()
		o.Status, o.ConnectionClosed, o.Disturbed = 0, true, true
		c.RequestEnded(o)
		o = validOutcome()
		o.Status, o.DialFailed = 0, true
		c.RequestEnded(o)
		c.ConfigurationAcknowledged(3, time.Now())
		o = validOutcome()
		o.Route, o.Status = 3, 404
		c.RequestEnded(o)
		Expect(c.Violations()).To(BeEmpty())
	})
})

var _ = Describe("a disturbed machine", func() {
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}

	It("excuses requests in flight when it was killed, and not those read before SIGTERM", func() {
		killed := &machine{interventions: []intervention{{at(10), abrupt}}}
		Expect(killed.wasDisturbed(at(9), at(10.01))).To(BeTrue())
		Expect(killed.wasDisturbed(at(9), at(9.5))).To(BeFalse())
		Expect(killed.wasDisturbed(at(15), at(15.1))).To(BeFalse())
		ending := &machine{interventions: []intervention{{at(10), graceful}}}
		Expect(ending.wasDisturbed(at(9), at(11))).To(BeFalse(), "it was read before SIGTERM and must be answered")
		Expect(ending.wasDisturbed(at(9.95), at(11))).To(BeTrue(), "request and SIGTERM crossed")
		Expect(ending.wasDisturbed(at(11), at(11.1))).To(BeTrue())
	})
})

var _ = Describe("a process", func() {
	// growing returns a running process whose samples grow by the given amounts each.
	growing := func(megabytes float64, descriptors int) *process {
		p := &process{role: roleAgent, machine: &machine{name: "edge-0"}, fleet: &fleet{checker: NewChecker()}, cmd: exec.Command("none")}
		for i := range 30 {
			p.samples = append(p.samples, resourceSample{megabytes: 20 + megabytes*float64(i), descriptors: 40 + descriptors*i})
		}
		return p
	}

	It("that grows is reported", func() {
		for _, p := range []*process{growing(2, 0), growing(0, 10)} {
			p.checkGrowth(0)
			Expect(p.fleet.checker.Violations()).To(HaveKey(ResourcesBounded))
		}
		p := growing(0.1, 0)
		p.checkGrowth(0)
		Expect(p.fleet.checker.Violations()).To(BeEmpty())
	})

	// hungUp returns the checker after SIGHUP has terminated a process.
	hungUp := func(early bool) *Checker {
		// Danger: if these tests were started with SIGHUP ignored, as by nohup, their child processes would inherit that and never exit.
		caught := make(chan os.Signal, 1)
		signal.Notify(caught, syscall.SIGHUP)
		defer signal.Stop(caught)
		f := &fleet{settings: &Settings{}, checker: NewChecker(), log: GinkgoWriter}
		cmd := exec.Command("cat")
		_, err := cmd.StdinPipe()
		Expect(err).NotTo(HaveOccurred())
		Expect(cmd.Start()).To(Succeed())
		p := &process{role: roleAgent, machine: &machine{name: "edge-0"}, fleet: f, cmd: cmd}
		p.signal(syscall.SIGHUP)
		p.hungUpEarly = early
		p.awaitExit(cmd, make(chan struct{}))
		return f.checker
	}

	It("that SIGHUP terminates is excused only before its own code can have run", func() {
		early := hungUp(true)
		Expect(early.hungUpEarly).To(Equal(1))
		Expect(early.Violations()).To(BeEmpty())
		Expect(hungUp(false).Violations()).To(HaveKey(NoUnexpectedExit))
		const readings = 100_000 // each takes processor time, also when this test is the first one
		for range readings {
			if cpuTime(os.Getpid()) > maxStartupCPUTime {
				break
			}
		}
		Expect(cpuTime(os.Getpid())).To(BeNumerically(">", maxStartupCPUTime), "of a test that has run for a while")
		Expect(cpuTime(-1)).To(BeZero())
	})

	It("that was started again since SIGTERM is not waited for", func() {
		f := &fleet{settings: &Settings{}, checker: NewChecker(), log: GinkgoWriter}
		p := &process{role: roleAgent, machine: &machine{name: "edge-0"}, fleet: f, cmd: exec.Command("none"), exited: make(chan struct{})}
		p.awaitShutdown()
		Expect(f.checker.Violations()).To(BeEmpty())
	})

	It("that exits unasked, or not within its grace period, is reported", func() {
		f := &fleet{settings: &Settings{Binary: "/bin/false"}, checker: NewChecker(), log: GinkgoWriter}
		p := &process{role: roleAgent, machine: &machine{name: "edge-0"}, fleet: f}
		Expect(p.start()).To(Succeed())
		Eventually(f.checker.Violations).WithTimeout(10 * time.Second).Should(HaveKey(NoUnexpectedExit))
		f.checker = NewChecker()
		p.stopRequested = true
		p.awaitExit(exec.Command("/bin/none"), make(chan struct{}))
		Expect(f.checker.Violations()).To(HaveKey(GracefulShutdown))
	})
})

var _ = Describe("a process that was stopped before SIGTERM", func() {
	It("has its grace period from SIGTERM on", func() {
		f := &fleet{settings: &Settings{Binary: "/bin/cat"}, checker: NewChecker(), log: GinkgoWriter}
		p := &process{role: roleAgent, machine: &machine{name: "edge-0"}, fleet: f, cmd: exec.Command("cat")}
		_, err := p.cmd.StdinPipe() // it waits for input that never arrives
		Expect(err).NotTo(HaveOccurred())
		Expect(p.cmd.Start()).To(Succeed())
		DeferCleanup(func() {
			Expect(p.cmd.Process.Kill()).To(Succeed())
			_ = p.cmd.Wait() // it was killed
		})
		p.signal(syscall.SIGSTOP)
		Expect(p.terminatedAt).To(BeZero())
		p.signal(syscall.SIGTERM)
		Expect(p.terminatedAt).To(BeTemporally("~", time.Now(), time.Minute))
	})
})

var _ = Describe("a restarted control machine", func() {
	It("must vote within the timeout", func() {
		for _, votes := range []bool{true, false} {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprintf(w, `{"Votes": %v}`, votes)
			})}
			go func() { _ = server.Serve(listener) }()
			DeferCleanup(server.Close)
			c := NewChecker()
			p := newFaultInjector(&fleet{settings: &Settings{}, basePort: listener.Addr().(*net.TCPAddr).Port}, c, 1)
			p.voteTimeout = 0 // over at the first poll
			p.awaitVote(&machine{ip: "127.0.0.1", name: "core-0"})
			if votes {
				Expect(c.Violations()).To(BeEmpty())
			} else {
				Expect(c.Violations()).To(HaveKey(VotesAfterRestart))
			}
		}
	})
})

var _ = Describe("a machine that has lost its disk", func() {
	It("does not start with Bootstrap", func() {
		s := &Settings{Processes: 7}
		f := newFleet(s, NewChecker(), GinkgoT().TempDir(), "127.0.0.1:1")
		m := f.controlMachines[0]
		Expect(f.writeConfig(m, true, rand.New(rand.NewPCG(1, 1)))).To(Succeed())
		Expect(os.ReadFile(m.configFile)).To(ContainSubstring("Bootstrap: true"))
		Expect(os.MkdirAll(m.dataDir(f.dir), 0o700)).To(Succeed())
		Expect(newFaultInjector(f, f.checker, 1).removeDisk(m)).To(Succeed())
		Expect(m.dataDir(f.dir)).NotTo(BeADirectory())
		Expect(os.ReadFile(m.configFile)).To(ContainSubstring("Bootstrap: false"))
	})
})

var _ = Describe("the configuration read back from a control machine", func() {
	DescribeTable("must be the confirmed one, or a later one", func(answer string, isViolation bool) {
		o := &operator{checker: NewChecker(), confirmedVersion: 7, confirmedConfig: []byte(`{"Version":7}`)}
		o.checkConfig(&machine{name: "core-0"}, answer)
		if isViolation {
			Expect(o.checker.Violations()).To(HaveKey(ConfigurationConfirmed))
		} else {
			Expect(o.checker.Violations()).To(BeEmpty())
		}
	}, Entry("the same", `{"Version":7}`, false), Entry("a later one", `{"Version":9}`, false), Entry("an older one", `{"Version":6}`, true),
		Entry("another of that number", `{"Version":7,"Routes":[]}`, true), Entry("no configuration", `{`, true))
})

var _ = Describe("invalid settings", func() {
	DescribeTable("are rejected in one line that names the flag", func(s Settings, text string) {
		Expect(s.Validate()).To(MatchError(ContainSubstring(text)))
	},
		Entry("too few processes", Settings{Processes: 3, FaultDuration: time.Minute}, "--processes 3: want 7 at least"),
		Entry("too many", Settings{Processes: 301, FaultDuration: time.Minute}, "--processes 301: want 300 at most"),
		Entry("too short", Settings{Processes: 9, FaultDuration: time.Second}, "--minutes"),
		Entry("no program", Settings{Processes: 9, FaultDuration: time.Minute, Binary: "/none"}, "--binary"))
})

var _ = Describe("a fleet of real processes", func() {
	It("violates no rule in half a minute of faults", func() {
		binary := filepath.Join(GinkgoT().TempDir(), "hazelfleet")
		out, err := exec.Command("go", "build", "-o", binary, "hazelwheel/cmd/hazelfleet").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		report, err := Run(context.Background(), Settings{Seed: 52, FaultDuration: 30 * time.Second, Processes: 11, Binary: binary, Log: GinkgoWriter})
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Print(report)
		Expect(report.Violations).To(BeEmpty(), report.String())
		Expect(report.Outcomes["200"]).To(BeNumerically(">", 500))
		Expect(report.AddedRoutes).To(BeNumerically(">", 20))
	})
})
