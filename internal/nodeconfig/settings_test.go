package nodeconfig_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/nodeconfig"
)

func TestNodeConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const validSettings = `NodeId: "edge-1"
Ip: "10.1.0.13"
Zone: "north"
Listen:
  Front: "10.1.0.13:8161"
InternalPortRange:
  - 7720
  - 7735
Seeds:
  - "10.1.0.16:8166"
Unknown: {a: [1, 2]}
DataDir: null
Bounds:
  GraceS: 8
  DrainMs: 3000
Cloud:
  Address: "10.200.0.79:8169"
`

var _ = Describe("the settings file", func() {
	It("is read, unknown keys ignored", func() {
		settings, err := nodeconfig.Parse([]byte(validSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.NodeID).To(Equal("edge-1"))
		Expect(settings.DataDir).To(BeEmpty())
		Expect(settings.SeedAddresses()).To(Equal([]string{"10.1.0.16:7720"}))
		Expect(settings.InternalAddress("10.9.9.9", nodeconfig.AgentPort)).To(Equal("10.9.9.9:7721"))
	})

	DescribeTable("is rejected with line and field of a fault", func(was, is, line, field string) {
		_, err := nodeconfig.Parse([]byte(strings.Replace(validSettings, was, is, 1)))
		Expect(err).To(MatchError(ContainSubstring(field)))
		Expect(err).To(MatchError(ContainSubstring(line)))
		Expect(strings.Count(err.Error(), "\n")).To(BeZero())
	},
		Entry("no name", `NodeId: "edge-1"`, `NodeId: ""`, "line 1", "NodeId"),
		Entry("no address", `"10.1.0.13"`, `"here"`, "line 2", "Ip"),
		Entry("one port", "  - 7735\n", "", "line 6", "InternalPortRange"),
		Entry("a seed without a port", `"10.1.0.16:8166"`, `"10.1.0.16"`, "line 9", "Seeds"),
		Entry("a platform without an address", `"10.200.0.79:8169"`, `"platform"`, "line 17", "Address"),
		Entry("no grace", "GraceS: 8", "GraceS: 0", "line 14", "GraceS"),
		Entry("a word for a number", "DrainMs: 3000", "DrainMs: soon", "line 15", "soon"),
	)

	It("is named where it is missing", func() {
		_, err := nodeconfig.Load("/nowhere/boot.yaml")
		Expect(err).To(MatchError(ContainSubstring("/nowhere/boot.yaml")))
	})
})

var _ = Describe("the warnings", func() {
	settings := func(extra string) *nodeconfig.Settings {
		parsed, err := nodeconfig.Parse([]byte(validSettings + "CountsForQuorum: true\nFaultTolerance: {Machines: 1}\n" + extra))
		Expect(err).NotTo(HaveOccurred())
		parsed.Seeds = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
		return parsed
	}

	It("name each conflict once", func() {
		s := settings("Limits: {LinkMbps: 8}\n")
		Expect(s.Warnings()).To(ConsistOf(HavePrefix("CatchUpS: 4 s are too short to copy 4 MB at LinkMbps 8")))
		s.Bounds.RecoverySeconds = 2
		s.Seeds = s.Seeds[:1]
		Expect(s.Warnings()).To(ConsistOf(HavePrefix("CatchUpS:"), HavePrefix("RecoveryS:"), HavePrefix("Seeds: 1 are too few")))
	})

	It("are empty without conflicts and on machines that don't count", func() {
		Expect(settings("Limits: {LinkMbps: 120}\n").Warnings()).To(BeEmpty())
		Expect(settings("").Warnings()).To(BeEmpty())
		s := settings("Limits: {LinkMbps: 1}\n")
		s.CountsForQuorum = false
		Expect(s.Warnings()).To(BeEmpty())
	})
})

var _ = Describe("the number of voters", func() {
	DescribeTable("tolerates what may be lost at once", func(machines, zones, regions, want int) {
		tolerance := nodeconfig.FaultTolerance{Machines: machines, Zones: zones, Regions: regions}
		Expect(tolerance.MinVoters()).To(Equal(want))
	},
		Entry("nothing", 0, 0, 0, 1),
		Entry("two machines", 2, 0, 0, 5),
		Entry("a zone", 0, 1, 0, 3),
		Entry("a machine, or a region", 1, 0, 2, 5),
	)

	It("needs an operator's address where the machine's disk counts, and only there", func() {
		counting := strings.Replace(validSettings, "DataDir: null", "DataDir: /data\nCountsForQuorum: true", 1)
		settings, err := nodeconfig.Parse([]byte(counting))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.StoresConfig()).To(BeTrue())
		Expect(settings.CheckOperatorAddress()).To(MatchError(ContainSubstring("line 4: Listen.Control")))
		settings, err = nodeconfig.Parse([]byte(strings.Replace(counting, "Listen:\n", "Listen:\n  Control: 10.1.0.13:8162\n", 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.CheckOperatorAddress()).To(Succeed())
		for _, without := range []string{validSettings, strings.Replace(validSettings, "DataDir: null", "DataDir: /data", 1),
			strings.Replace(validSettings, "DataDir: null", "CountsForQuorum: true", 1)} {
			settings, err = nodeconfig.Parse([]byte(without))
			Expect(err).NotTo(HaveOccurred())
			Expect(settings.StoresConfig()).To(BeFalse())
			Expect(settings.CheckOperatorAddress()).To(Succeed())
		}
	})
})
