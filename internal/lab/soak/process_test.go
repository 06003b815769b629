package soak

import (
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

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

	// endedBy returns the checker after a signal has terminated a process. change sets what is recorded of the process meanwhile.
	endedBy := func(sent syscall.Signal, change func(p *process)) *Checker {
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
		p.signal(sent)
		change(p)
		p.awaitExit(cmd, make(chan struct{}))
		return f.checker
	}
	hungUp := func(early bool) *Checker {
		return endedBy(syscall.SIGHUP, func(p *process) { p.hungUpEarly = early })
	}

	It("that SIGHUP terminates is excused only before its own code can have run", func() {
		early := hungUp(true)
		Expect(early.endedEarly).To(Equal(1))
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

	// A run of 28 minutes with 39 processes met three that SIGTERM terminated after 0.7, 1.6 and 1.7 ms of processor time.
	It("that SIGTERM terminates is excused only before its own code can have run", func() {
		terminated := func(late bool) *Checker {
			return endedBy(syscall.SIGTERM, func(p *process) { p.terminatedLate = late })
		}
		early := terminated(false)
		Expect(early.endedEarly).To(Equal(1))
		Expect(early.Violations()).To(BeEmpty())
		Expect(terminated(true).Violations()).To(HaveKey(GracefulShutdown))
	})

	// Seed 9409 (16 processes, --beside): SIGTERM and SIGHUP had both come after 2.7 ms of processor time, and the process ended by SIGHUP.
	It("that SIGHUP terminates after SIGTERM is excused only before its own code can have run", func() {
		terminated := func(early bool) *Checker {
			return endedBy(syscall.SIGHUP, func(p *process) { p.stopRequested, p.terminatedAt, p.hungUpEarly = true, time.Now(), early })
		}
		early := terminated(true)
		Expect(early.endedEarly).To(Equal(1))
		Expect(early.Violations()).To(BeEmpty())
		Expect(terminated(false).Violations()).To(HaveKey(GracefulShutdown))
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
