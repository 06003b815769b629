package control

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/decide/tokenlease"
	"hazelwheel/internal/message"
	"hazelwheel/internal/transport"
)

// limitedTenants lists one tenant with a limit and one without.
const limitedTenants = `{"Name":"acme","RatePerS":4000,"Burst":4000},{"Name":"bolt"}`

// requestTokens requests tokens of a share from a process, as a new lessee. It returns nil if that process isn't the lessor.
func (s *testCluster) requestTokens(i, share int, tenant string, need int64) *tokenlease.Reply {
	request := &tokenlease.Request{Lessee: "test/" + time.Now().String(), Share: share, Reports: []tokenlease.Report{{Tenant: tenant, LeaseID: 1, Need: need}}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply := &tokenlease.Reply{}
	if transport.NewClient().Call(ctx, s.machines[i].control.proposer.self.Address, message.TokensPath, request, reply) != nil {
		return nil
	}
	return reply
}

// lessors returns which of the running processes act as the lessor of a share.
func (s *testCluster) lessors(share int) (indexes []int) {
	for i := range s.machines {
		if s.requestTokens(i, share, "acme", 0) != nil {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

var _ = Describe("the lessors of limits by tenant", func() {
	It("are one process for each share, spread over the cluster, and another process once that one has ended", func() {
		s := newTestCluster(3)
		status, text := s.putText(0, 0, tenantConfig(1, limitedTenants))
		Expect(status).To(Equal(http.StatusOK), text)
		holders := map[int]bool{}
		for share := range tokenlease.Shares {
			Eventually(func() []int { return s.lessors(share) }, waitTimeout, 50*time.Millisecond).Should(HaveLen(1))
			holders[s.lessors(share)[0]] = true
		}
		Expect(len(holders)).To(BeNumerically(">=", 2))
		for share := range tokenlease.Shares {
			holder := s.lessors(share)[0]
			Eventually(func() int64 { return s.requestTokens(holder, share, "acme", 100).Grants[0].Granted }, waitTimeout).Should(BeEquivalentTo(100))
			Expect(s.requestTokens(holder, share, "bolt", 100).Grants).To(BeEmpty(), "a tenant without a limit")
		}
		stopped := s.lessors(0)[0]
		token := s.requestTokens(stopped, 0, "acme", 0).Token
		s.stop(stopped)
		Eventually(func() []int { return s.lessors(0) }, waitTimeout, 50*time.Millisecond).Should(HaveLen(1))
		Expect(s.requestTokens(s.lessors(0)[0], 0, "acme", 0).Token).To(Equal(token + 1))
	})

	It("follow the limits of each configuration", func() {
		s := newTestCluster(1)
		status, _ := s.putText(0, 0, tenantConfig(1, limitedTenants))
		Expect(status).To(Equal(http.StatusOK))
		grantedOf := func(need int64) func() int64 {
			return func() int64 {
				if reply := s.requestTokens(0, 0, "acme", need); reply != nil && len(reply.Grants) == 1 {
					return reply.Grants[0].Granted
				}
				return -1
			}
		}
		Eventually(grantedOf(100), waitTimeout).Should(BeEquivalentTo(100))
		status, _ = s.putText(0, 1, tenantConfig(2, `{"Name":"acme","RatePerS":20,"Burst":20}`))
		Expect(status).To(Equal(http.StatusOK))
		Eventually(grantedOf(100), waitTimeout).Should(BeNumerically("<=", 4))
		status, _ = s.putText(0, 2, tenantConfig(3, `{"Name":"acme"}`))
		Expect(status).To(Equal(http.StatusOK))
		Eventually(grantedOf(100), waitTimeout).Should(BeEquivalentTo(-1), "the tenant no longer has a limit")
	})

	It("don't exist if no tenant has a limit", func() {
		s := newTestCluster(1)
		status, _ := s.putText(0, 0, tenantConfig(1, `{"Name":"acme"}`))
		Expect(status).To(Equal(http.StatusOK))
		Consistently(func() []int { return s.lessors(0) }, 3*firstGrantDelay/2).Should(BeEmpty())
		Expect(s.requestTokens(0, tokenlease.Shares, "acme", 1)).To(BeNil(), "there is no such share")
	})
})
