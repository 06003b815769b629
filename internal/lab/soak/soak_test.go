package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

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
