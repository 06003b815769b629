package soak

import (
	"context"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("mutants", func() {
	It("fit the program, and there is one for each check of keys, limits, prompts, places and long answers", func() {
		root, err := filepath.Abs("../../..")
		Expect(err).NotTo(HaveOccurred())
		rules := map[Rule]bool{}
		for _, mutant := range Mutants {
			_, err := mutant.Apply(root)
			Expect(err).NotTo(HaveOccurred())
			rules[mutant.Rule] = true
		}
		for _, rule := range []Rule{HeaderIntact, KeyWithheld, TenantOfKey, UnknownKeyRejected, WithdrawnKeyRejected, ValidKeyServed, KeyNotShown, TenantLimitHolds,
			BelowLimitServed, TenantsServed, InvalidRefused, AnswerIsOwn} {
			Expect(rules).To(HaveKey(rule))
		}
	})

	It("are found by the rule that they break", func() {
		mutant, err := FindMutant("key-is-forwarded")
		Expect(err).NotTo(HaveOccurred())
		binary, err := mutant.Build(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		report, err := Run(context.Background(), Settings{Seed: 7, FaultDuration: minFaultDuration, Processes: minProcesses, Binary: binary})
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Violations).To(HaveKey(mutant.Rule))
		_, err = FindMutant("none")
		Expect(err).To(MatchError(ContainSubstring("--mutant")))
		Expect(time.Duration(report.Seconds * float64(time.Second))).To(BeNumerically(">=", minFaultDuration))
	})
})
