package soak

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

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
