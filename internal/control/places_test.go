package control

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/decide/register"
)

// configWithHosts returns a configuration of a version with a route /p/ for each host. They are named r0, r1 and so on.
func configWithHosts(version int, hosts ...string) []byte {
	var routes []string
	for i, host := range hosts {
		routes = append(routes, fmt.Sprintf(`{"Name":"r%d","Host":%q,"PathPrefix":"/p/","RouteType":"non_idempotent","TimeoutMs":2000,"Service":"s"}`, i, host))
	}
	return fmt.Appendf(nil, `{"Version":%d,"Routes":[%s],"Services":[{"Name":"s"}]}`, version, strings.Join(routes, ","))
}

// commitAsEarlierVersion makes a configuration chosen without validating it, as a control process of an earlier version may have done.
func (s *testCluster) commitAsEarlierVersion(i, version, base int, data []byte) {
	change := register.SetConfig(uint64(version), uint64(base), register.DigestOf(data))
	Eventually(func() register.Outcome {
		_, outcome, err := s.machines[i].control.proposer.propose(context.Background(), change, data)
		if err != nil {
			return register.Abandoned
		}
		return outcome
	}, waitTimeout).Should(Equal(register.Chosen))
}

var _ = Describe("a configuration with two routes at one place", func() {
	// Guards against the acknowledgement of an invalid configuration: the hosts of the routes differ in letter case alone.
	It("is rejected as a whole and as the result of a patch", func() {
		s := newTestCluster(3)
		status, text := s.putText(0, 0, configWithHosts(1, "h.example", "i.example", "H.example"))
		Expect(status).To(Equal(http.StatusBadRequest))
		Expect(strings.TrimSpace(text)).To(Equal("configuration: Routes[2]: same Host and PathPrefix as Routes[0]"))
		Expect(s.sendUntilDecided(http.MethodPut, 1, 0, configWithHosts(1, "h.example", "i.example"))).To(Equal(http.StatusOK))
		for _, name := range []string{"r1", "new"} {
			patch := fmt.Appendf(nil, `{"Version":2,"Upsert":{"Routes":[{"Name":%q,"Host":"H.EXAMPLE","PathPrefix":"/p/","RouteType":"idempotent",`+
				`"TimeoutMs":2000,"Service":"s"}]}}`, name)
			Expect(s.patchUntilDecided(2, 1, patch)).To(Equal(http.StatusBadRequest), name)
		}
		Expect(s.configVersion(2)).To(Equal(1))
	})

	// Guards against a fleet that doesn't start to serve after an upgrade.
	It("takes effect if an earlier version has accepted it, and can be corrected by a patch or as a whole", func() {
		s := newTestCluster(3)
		document := configWithHosts(1, "h.example", "i.example", "H.example")
		s.commitAsEarlierVersion(0, 1, 0, document)
		for i := range 3 {
			Eventually(func() int { return s.storedVersion(i) }, waitTimeout).Should(Equal(1))
			Eventually(func() bool { table := s.publishedTable(i); return table != nil && len(table.Routes) == 3 }, waitTimeout).Should(BeTrue(), "machine %d", i)
		}
		Expect(s.configText(1)).To(Equal(string(document)))
		Expect(s.sendUntilDecided(http.MethodPut, 2, 0, configWithHosts(1, "h.example", "H.example"))).To(Equal(http.StatusBadRequest), "another change")
		Expect(s.sendUntilDecided(http.MethodPut, 2, 1, configWithHosts(2, "h.example", "H.example"))).To(Equal(http.StatusBadRequest), "a later change")

		Expect(s.patchUntilDecided(0, 1, []byte(`{"Version":2,"Remove":{"Routes":["r1"]}}`))).To(Equal(http.StatusBadRequest), "the result is still invalid")
		Expect(s.patchUntilDecided(0, 1, []byte(`{"Version":2,"Remove":{"Routes":["r2"]}}`))).To(Equal(http.StatusOK))
		Eventually(func() uint64 { return s.publishedTable(2).Version }, waitTimeout).Should(BeEquivalentTo(2))
		Expect(s.publishedTable(2).Routes).To(HaveLen(2))
	})

	// Guards against the rejection of a change that is in force: its acknowledgement was lost while the control processes were upgraded.
	It("is acknowledged again if an earlier version has accepted it, also after later changes", func() {
		s := newTestCluster(3)
		document := configWithHosts(1, "h.example", "H.example")
		s.commitAsEarlierVersion(0, 1, 0, document)
		Expect(s.sendUntilDecided(http.MethodPut, 1, 0, document)).To(Equal(http.StatusOK))
		Expect(s.sendUntilDecided(http.MethodPut, 2, 1, testConfig(2, 0))).To(Equal(http.StatusOK))
		Expect(s.sendUntilDecided(http.MethodPut, 0, 0, document)).To(Equal(http.StatusOK))
		Expect(s.configVersion(0)).To(Equal(2))

		s.network.setPartitioned(s.ip(2), true)
		Eventually(func() bool { return s.machines[2].control.reachesMajority() }, waitTimeout).Should(BeFalse())
		Expect(s.put(2, 0, document)).To(Equal(http.StatusServiceUnavailable), "whether it was accepted is not known")
	})
})
