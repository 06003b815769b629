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

// sound is an outcome that breaks nothing.
func sound() Outcome {
	now := time.Now()
	return Outcome{ID: "id", Kind: Once, Edge: "edge-0", Life: 1, Sent: now, Ended: now.Add(time.Millisecond), Status: 200, Body: answerTo(Once, "id"), Stamp: true}
}

var _ = Describe("the checker", func() {
	DescribeTable("notices a fault of each rule", func(rule Rule, happens func(c *Checker)) {
		c := NewChecker()
		c.Sending("id", Once)
		c.Ran("id")
		c.Ended(sound())
		c.Finish()
		Expect(c.Broken()).To(BeEmpty(), "nothing is wrong yet")
		happens(c)
		c.Finish()
		Expect(c.Broken()).To(HaveKey(rule))
		Expect(c.Broken()).To(HaveLen(1))
	},
		Entry(nil, AtMostOnce, func(c *Checker) { c.Ran("id") }),
		Entry(nil, OwnAnswer, func(c *Checker) { o := sound(); o.Body = answerTo(Once, "other"); c.Ended(o) }),
		Entry(nil, OwnAnswer, func(c *Checker) { o := sound(); o.Stamp = false; c.Ended(o) }),
		Entry(nil, Promise, func(c *Checker) { o := sound(); o.Status = 503; c.Ended(o) }),
		Entry(nil, Promise, func(c *Checker) {
			c.Sending("later", Once)
			o := sound()
			o.ID, o.Status = "later", 503
			c.Ended(o)
			c.Ran("later")
		}),
		Entry(nil, OwnAnswer, func(c *Checker) {
			o := sound()
			o.Kind, o.Status, o.Closed, o.Body = Feed, 0, true, feedEvent("id", 2)
			c.Ended(o)
		}),
		Entry(nil, Intact, func(c *Checker) { c.Got("id", "body of i") }),
		Entry(nil, Answered, func(c *Checker) { o := sound(); o.Status, o.Closed = 0, true; c.Ended(o) }),
		Entry(nil, Answered, func(c *Checker) { o := sound(); o.Status, o.Silent = 0, true; c.Ended(o) }),
		Entry(nil, NeverOlder, func(c *Checker) {
			o := sound()
			o.Route = 7
			c.Ended(o)
			o.Route, o.Status = 6, 404
			c.Ended(o)
		}),
		Entry(nil, InForce, func(c *Checker) {
			o := sound()
			c.Acknowledged(3, o.Sent.Add(-time.Minute))
			o.Route, o.Status = 3, 404
			c.Ended(o)
		}),
		Entry(nil, AddedRoutes, func(c *Checker) {
			for range leastRequests {
				o := sound()
				c.Ended(o)
				o.Route, o.Status = 1, 502
				c.Ended(o)
			}
		}),
		Entry(nil, Starved, func(c *Checker) {
			for range leastRequests {
				o := sound()
				c.Ended(o)
				o.Kind, o.Status = Prompt, 503
				c.Ended(o)
			}
		}),
		Entry(nil, Recovered, func(c *Checker) {
			o := sound()
			c.FaultsEnded(o.Sent.Add(-time.Second))
			o.Status = 502
			c.Ended(o)
		}),
	)

	It("excuses what a machine's trouble explains, and nothing else", func() {
		c := NewChecker()
		o := sound()
		o.Status, o.Closed, o.Trouble = 0, true, true
		c.Ended(o)
		o = sound()
		o.Status, o.Fresh = 0, true
		c.Ended(o)
		c.Acknowledged(3, time.Now())
		o = sound()
		o.Route, o.Status = 3, 404
		c.Ended(o)
		Expect(c.Broken()).To(BeEmpty())
	})
})

var _ = Describe("the trouble of a machine", func() {
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}

	It("excuses what was under way when it was killed, and not what was read before it was told to end", func() {
		killed := &machine{acts: []act{{at(10), hard}}}
		Expect(killed.troubled(at(9), at(10.01))).To(BeTrue())
		Expect(killed.troubled(at(9), at(9.5))).To(BeFalse())
		Expect(killed.troubled(at(15), at(15.1))).To(BeFalse())
		ending := &machine{acts: []act{{at(10), gentle}}}
		Expect(ending.troubled(at(9), at(11))).To(BeFalse(), "it has been read, and is to be answered")
		Expect(ending.troubled(at(9.95), at(11))).To(BeTrue(), "the two crossed")
		Expect(ending.troubled(at(11), at(11.1))).To(BeTrue())
	})
})

var _ = Describe("a process", func() {
	// growing returns a process that lives, with samples that grow by so much each.
	growing := func(megabytes float64, descriptors int) *process {
		p := &process{role: roleAgent, machine: &machine{name: "edge-0"}, fleet: &fleet{checker: NewChecker()}, cmd: exec.Command("none")}
		for i := range 30 {
			p.samples = append(p.samples, sample{megabytes: 20 + megabytes*float64(i), descriptors: 40 + descriptors*i})
		}
		return p
	}

	It("that grows is noticed", func() {
		for _, p := range []*process{growing(2, 0), growing(0, 10)} {
			p.checkGrowth(0)
			Expect(p.fleet.checker.Broken()).To(HaveKey(Growth))
		}
		p := growing(0.1, 0)
		p.checkGrowth(0)
		Expect(p.fleet.checker.Broken()).To(BeEmpty())
	})

	// hungUp returns what the checker has seen of a process that SIGHUP ended.
	hungUp := func(early bool) *Checker {
		// Danger: where these tests were begun with SIGHUP ignored, as nohup does, what they begin would ignore it too, and never end.
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
		p.early = early
		p.await(cmd, make(chan struct{}))
		return f.checker
	}

	It("that a SIGHUP ends is excused only before it can have begun", func() {
		early := hungUp(true)
		Expect(early.hungUp).To(Equal(1))
		Expect(early.Broken()).To(BeEmpty())
		Expect(hungUp(false).Broken()).To(HaveKey(EndsByItself))
		const looks = 100_000 // each takes processor time, also where this test is the first one
		for range looks {
			if processorTime(os.Getpid()) > beginsWithin {
				break
			}
		}
		Expect(processorTime(os.Getpid())).To(BeNumerically(">", beginsWithin), "a test that has run for a while")
		Expect(processorTime(-1)).To(BeZero())
	})

	It("that has begun anew since it was told to end is not waited for", func() {
		f := &fleet{settings: &Settings{}, checker: NewChecker(), log: GinkgoWriter}
		p := &process{role: roleAgent, machine: &machine{name: "edge-0"}, fleet: f, cmd: exec.Command("none"), ended: make(chan struct{})}
		p.awaitEnd()
		Expect(f.checker.Broken()).To(BeEmpty())
	})

	It("that ends by itself, or not in its grace, is noticed", func() {
		f := &fleet{settings: &Settings{Binary: "/bin/false"}, checker: NewChecker(), log: GinkgoWriter}
		p := &process{role: roleAgent, machine: &machine{name: "edge-0"}, fleet: f}
		Expect(p.start()).To(Succeed())
		Eventually(f.checker.Broken).WithTimeout(10 * time.Second).Should(HaveKey(EndsByItself))
		f.checker = NewChecker()
		p.asked = true
		p.await(exec.Command("/bin/none"), make(chan struct{}))
		Expect(f.checker.Broken()).To(HaveKey(EndsInGrace))
	})
})

var _ = Describe("a process that stood still before it was told to end", func() {
	It("has its time from then", func() {
		f := &fleet{settings: &Settings{Binary: "/bin/cat"}, checker: NewChecker(), log: GinkgoWriter}
		p := &process{role: roleAgent, machine: &machine{name: "edge-0"}, fleet: f, cmd: exec.Command("cat")}
		_, err := p.cmd.StdinPipe() // it waits for what never comes
		Expect(err).NotTo(HaveOccurred())
		Expect(p.cmd.Start()).To(Succeed())
		DeferCleanup(func() {
			Expect(p.cmd.Process.Kill()).To(Succeed())
			_ = p.cmd.Wait() // it was killed
		})
		p.signal(syscall.SIGSTOP)
		Expect(p.termAt).To(BeZero())
		p.signal(syscall.SIGTERM)
		Expect(p.termAt).To(BeTemporally("~", time.Now(), time.Minute))
	})
})

var _ = Describe("a control machine that has come back", func() {
	It("has to vote in its time", func() {
		for _, votes := range []bool{true, false} {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			told := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprintf(w, `{"Votes": %v}`, votes)
			})}
			go func() { _ = told.Serve(listener) }()
			DeferCleanup(told.Close)
			c := NewChecker()
			p := newPlayer(&fleet{settings: &Settings{}, base: listener.Addr().(*net.TCPAddr).Port}, c, 1)
			p.voteWithin = 0 // its time is over at the first look
			p.awaitVote(&machine{ip: "127.0.0.1", name: "core-0"})
			if votes {
				Expect(c.Broken()).To(BeEmpty())
			} else {
				Expect(c.Broken()).To(HaveKey(Voters))
			}
		}
	})
})

var _ = Describe("a machine whose disk is lost", func() {
	It("does not start as one of a fleet that starts for the first time", func() {
		s := &Settings{Processes: 7}
		f := newFleet(s, NewChecker(), GinkgoT().TempDir(), "127.0.0.1:1")
		m := f.controls[0]
		Expect(f.write(m, true, rand.New(rand.NewPCG(1, 1)))).To(Succeed())
		Expect(os.ReadFile(m.file)).To(ContainSubstring("Bootstrap: true"))
		Expect(os.MkdirAll(m.dataDir(f.dir), 0o700)).To(Succeed())
		Expect(newPlayer(f, f.checker, 1).removeDisk(m)).To(Succeed())
		Expect(m.dataDir(f.dir)).NotTo(BeADirectory())
		Expect(os.ReadFile(m.file)).To(ContainSubstring("Bootstrap: false"))
	})
})

var _ = Describe("the configuration that a control machine tells in the end", func() {
	DescribeTable("must be the one that was confirmed last, or a later one", func(told string, broken bool) {
		o := &operator{checker: NewChecker(), version: 7, sent: []byte(`{"Version":7}`)}
		o.compare(&machine{name: "core-0"}, told)
		if broken {
			Expect(o.checker.Broken()).To(HaveKey(Confirmed))
		} else {
			Expect(o.checker.Broken()).To(BeEmpty())
		}
	}, Entry("the same", `{"Version":7}`, false), Entry("a later one", `{"Version":9}`, false), Entry("an older one", `{"Version":6}`, true),
		Entry("another of that number", `{"Version":7,"Routes":[]}`, true), Entry("no configuration", `{`, true))
})

var _ = Describe("settings that can't be kept", func() {
	DescribeTable("are refused in one line that names them", func(s Settings, text string) {
		Expect(s.Validate()).To(MatchError(ContainSubstring(text)))
	},
		Entry("too few processes", Settings{Processes: 3, FaultDuration: time.Minute}, "--processes 3: want 7 at least"),
		Entry("too many", Settings{Processes: 301, FaultDuration: time.Minute}, "--processes 301: want 300 at most"),
		Entry("too short", Settings{Processes: 9, FaultDuration: time.Second}, "--minutes"),
		Entry("no program", Settings{Processes: 9, FaultDuration: time.Minute, Binary: "/none"}, "--binary"))
})

var _ = Describe("a fleet of real processes", func() {
	It("keeps all rules for half a minute of faults", func() {
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
