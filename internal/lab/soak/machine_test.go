package soak

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

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
