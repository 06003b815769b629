package control

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/routeconfig"
)

// tenantConfig returns a configuration of a version with a list of tenants.
func tenantConfig(version int, tenants string) []byte {
	return append(bytes.TrimSuffix(testConfig(version, 0), []byte("}")), fmt.Sprintf(`,"Tenants":[%s]}`, tenants)...)
}

// putText sends a configuration until the response is neither missing nor 503, and returns its status and body.
func (s *testCluster) putText(i, base int, data []byte) (status int, text string) {
	Eventually(func() int {
		request, err := http.NewRequest(http.MethodPut, "http://"+s.operatorAddress(i)+"/config", bytes.NewReader(data))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("If-Match", fmt.Sprint(base))
		response, err := (&http.Client{Timeout: waitTimeout}).Do(request)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		status, text = response.StatusCode, string(body)
		return status
	}, waitTimeout).ShouldNot(BeElementOf(0, http.StatusServiceUnavailable))
	return status, text
}

// publishedTable returns the table that a process gossips, or nil if it has none.
func (s *testCluster) publishedTable(i int) *routeconfig.Table {
	gossipState, _ := s.machines[i].control.node.State()
	if gossipState.Table == nil {
		return nil
	}
	table, err := gossipState.Table.Unpack()
	Expect(err).NotTo(HaveOccurred())
	return table
}

var _ = Describe("a configuration with tenants", func() {
	It("is rejected if two tenants share a key, with a one-line error that names both tenants but not the key", func() {
		s := newTestCluster(3)
		status, text := s.putText(0, 0, tenantConfig(1, `{"Name":"acme","ApiKeys":["secret-1"]},{"Name":"bolt","ApiKeys":["secret-2","secret-1"]}`))
		Expect(status).To(Equal(http.StatusBadRequest))
		Expect(strings.TrimSpace(text)).To(Equal(`configuration: Tenants[1].ApiKeys[1]: tenants "acme" and "bolt" share a key`))
	})

	It("is returned to the operator as it was sent, and reaches other processes without its keys", func() {
		s := newTestCluster(3)
		config := tenantConfig(1, `{"Name":"acme","ApiKeys":["secret-1"]}`)
		status, _ := s.putText(0, 0, config)
		Expect(status).To(Equal(http.StatusOK))
		Expect(s.configText(1)).To(Equal(string(config)))
		for i := range s.founders {
			Eventually(func() *routeconfig.Table { return s.publishedTable(i) }, waitTimeout).ShouldNot(BeNil())
			table := s.publishedTable(i)
			Expect(table.Tenants).To(HaveLen(1))
			Expect(table.Tenants[0].KeyDigests).To(HaveLen(1))
			encoded, err := msgpack.Marshal(table)
			Expect(err).NotTo(HaveOccurred())
			Expect(encoded).NotTo(ContainSubstring("secret-1"))
		}
	})

	It("that an earlier version has accepted takes effect, in place of the table that the earlier version compiled from it", func() {
		s := newTestCluster(3)
		s.commitFirstConfig()
		earlier, err := routeconfig.Parse(testConfig(2, 0))
		Expect(err).NotTo(HaveOccurred())
		earlier.Form = routeconfig.FormRoutes
		for i := range s.founders {
			s.machines[i].control.node.SetTable(earlier)
		}
		config := tenantConfig(2, `{"Name":"acme","ApiKeys":["secret-1"]},{"Name":"bolt","ApiKeys":["secret-2","secret-1"]}`)
		change := register.SetConfigWithIdentity(2, 1, register.DigestOf(config), register.DigestOf(config))
		Eventually(func() bool {
			_, outcome, err := s.machines[0].control.proposer.propose(context.Background(), change, config)
			return err == nil && outcome == register.Chosen
		}, waitTimeout).Should(BeTrue())
		for i := range s.founders {
			Eventually(func() []routeconfig.Tenant { return s.publishedTable(i).Tenants }, waitTimeout).Should(HaveLen(2))
			Expect(s.publishedTable(i).Tenants[0].KeyDigests).To(BeEmpty(), "a shared key belongs to no tenant")
			Expect(s.publishedTable(i).Tenants[1].KeyDigests).To(HaveLen(1))
		}
	})
})
