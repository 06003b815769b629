package control

import (
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/decide/register"
)

// changeStream puts one configuration after the other, each as soon as the previous one is acknowledged, until it is stopped.
type changeStream struct {
	confirmed atomic.Int64 // the latest acknowledged version
	stopped   chan struct{}
	ended     chan struct{}
}

func (s *testCluster) startChanges(through, size int) *changeStream {
	c := &changeStream{stopped: make(chan struct{}), ended: make(chan struct{})}
	c.confirmed.Store(int64(s.version(through)))
	go func() {
		defer GinkgoRecover()
		defer close(c.ended)
		for {
			select {
			case <-c.stopped:
				return
			default:
			}
			base := int(c.confirmed.Load())
			if s.put(through, base, testConfig(base+1, size)) == http.StatusOK {
				c.confirmed.Store(int64(base + 1))
			}
		}
	}()
	DeferCleanup(c.stop)
	return c
}

func (c *changeStream) stop() {
	select {
	case <-c.stopped:
	default:
		close(c.stopped)
	}
	<-c.ended
}

var _ = Describe("a machine whose disk was lost, during a series of changes", func() {
	DescribeTable("is a voter again before the changes end", func(size int, perKB time.Duration) {
		s := newTestCluster(3)
		s.commitFirstConfig()
		changes := s.startChanges(0, size)
		Eventually(changes.confirmed.Load, waitTimeout).Should(BeNumerically(">", 5))
		s.stop(2)
		Expect(os.RemoveAll(s.dataDir(2))).To(Succeed())
		s.network.mu.Lock()
		s.network.perKB = perKB
		s.network.mu.Unlock()
		before := changes.confirmed.Load()
		s.start(2, false)
		Eventually(func() bool { return s.isVoter(2) }, waitTimeout).Should(BeTrue(), func() string {
			return fmt.Sprintf("%d changes were acknowledged meanwhile", changes.confirmed.Load()-before)
		})
		Expect(changes.confirmed.Load()).To(BeNumerically(">", before), "changes were acknowledged meanwhile")
		changes.stop()
		Eventually(func() int { return s.storedVersion(2) }, waitTimeout).Should(BeEquivalentTo(changes.confirmed.Load()))
	},
		Entry("small configurations, as fast as they are acknowledged", 0, time.Duration(0)),
		Entry("large configurations over a slow network", 300_000, 100*time.Microsecond))
})

var _ = Describe("the cached bytes of a superseded configuration", func() {
	cache := func(r *replica, version int) []byte {
		data := testConfig(version, 0)
		r.cacheConfig(register.DigestOf(data), data)
		return data
	}

	It("stay while a process fetches them, within bounds", func() {
		r := &replica{}
		first, second := cache(r, 1), cache(r, 2)
		Expect(r.serveConfig(register.DigestOf(first))).To(Equal(first))
		for version := 3; version < 3+maxCachedConfigs-maxKeptConfigs; version++ {
			cache(r, version)
			Expect(r.configBytes(register.DigestOf(first))).To(Equal(first))
			Expect(r.configBytes(register.DigestOf(second))).To(Or(BeNil(), HaveLen(len(second))))
		}
		for version := 20; version < 30; version++ {
			data := cache(r, version)
			r.serveConfig(register.DigestOf(data))
			Expect(len(r.configs)).To(BeNumerically("<=", maxCachedConfigs))
			Expect(r.configBytes(register.DigestOf(data))).To(Equal(data), "the newest is never evicted")
		}
	})

	It("are evicted if no process fetches them", func() {
		r := &replica{}
		for version := 1; version < 9; version++ {
			cache(r, version)
		}
		Expect(r.configs).To(HaveLen(maxKeptConfigs))
	})
})
