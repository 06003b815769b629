package soak

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("invalid settings", func() {
	DescribeTable("are rejected in one line that names the flag", func(s Settings, text string) {
		Expect(s.Validate()).To(MatchError(ContainSubstring(text)))
	},
		Entry("too few processes", Settings{Processes: 3, FaultDuration: time.Minute}, "--processes 3: want 7 at least"),
		Entry("too many", Settings{Processes: 301, FaultDuration: time.Minute}, "--processes 301: want 300 at most"),
		Entry("too short", Settings{Processes: 9, FaultDuration: time.Second}, "--minutes"),
		Entry("no program", Settings{Processes: 9, FaultDuration: time.Minute, Binary: "/none"}, "--binary"))
})
