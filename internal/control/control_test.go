package control

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

var _ = Describe("a partitioned control process", func() {
	It("answers 503 to reads and changes, quickly once it has detected the partition, and the newest configuration after it is reachable again", func() {
		s := newTestCluster(3)
		s.commitFirstConfig()
		s.network.setPartitioned(s.ip(2), true)
		Eventually(func() bool { return s.machines[2].control.reachesMajority() }, waitTimeout).Should(BeFalse())
		began := time.Now()
		status, _ := s.get(2)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(s.put(2, 1, testConfig(2, 0))).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))

		Expect(s.put(0, 1, testConfig(3, 0))).To(Equal(http.StatusOK))
		status, _ = s.get(2)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		s.network.setPartitioned(s.ip(2), false)
		for range 200 {
			if status, version := s.get(2); status == http.StatusOK {
				Expect(version).To(Equal(3), "never an older version")
			}
		}
		Eventually(func() int { return s.storedVersion(2) }, waitTimeout).Should(Equal(3))
	})

	It("does not delay reconfigurations of the voters", func() {
		s := newTestCluster(5)
		s.commitFirstConfig()
		s.network.setPartitioned(s.ip(0), true)
		s.stop(1)
		Expect(os.RemoveAll(s.dataDir(1))).To(Succeed())
		s.start(1, false)
		Eventually(func() bool {
			gossipState, _ := s.machines[2].control.node.State()
			return s.machines[1].control.isVoter(&gossipState.Voters) && len(gossipState.Voters.OutgoingVoters) == 0
		}, waitTimeout).Should(BeTrue())
		s.stop(3)
		Eventually(func() int { return s.put(2, 1, testConfig(2, 0)) }, waitTimeout).Should(Equal(http.StatusOK))
	})
})

var _ = Describe("two operators", func() {
	It("are not both acknowledged on one base version, and a repeated change gets the same response", func() {
		s := newTestCluster(3)
		s.commitFirstConfig()
		for base := 1; base < 12; base++ {
			first, second := testConfig(base+1, 2), testConfig(base+1, 3)
			statuses := make(chan int, 2)
			for i, data := range [][]byte{first, second} {
				go func() {
					defer GinkgoRecover()
					statuses <- s.sendUntilDecided(http.MethodPut, i, base, data)
				}()
			}
			Expect([]int{<-statuses, <-statuses}).To(ConsistOf(http.StatusOK, http.StatusPreconditionFailed))
		}
		accepted, rejected := http.StatusOK, http.StatusPreconditionFailed
		repeated := []int{s.put(2, 1, testConfig(2, 2)), s.put(2, 1, testConfig(2, 3))}
		Expect(repeated).To(ConsistOf(accepted, rejected), "ten versions later, at a third process")
		Expect(s.put(2, 12, testConfig(12, 9))).To(Equal(http.StatusBadRequest), "a version that is not above the current one")
	})

	It("get the same response after a restart of all processes", func() {
		s := newTestCluster(3)
		s.commitFirstConfig()
		Expect(s.put(1, 1, testConfig(5, 0))).To(Equal(http.StatusOK))
		for i := range 3 {
			s.stop(i)
		}
		for i := range 3 {
			s.start(i, true) // settings may still say that this is the first start
		}
		Eventually(func() int { return s.put(2, 1, testConfig(5, 0)) }, waitTimeout).Should(Equal(http.StatusOK))
		Expect(s.put(2, 1, testConfig(6, 0))).To(Equal(http.StatusPreconditionFailed))
		Expect(s.version(0)).To(Equal(5))
	})
})

var _ = Describe("control processes that fail one after another", func() {
	It("leave a majority with the newest configuration, since each lost disk is replaced", func() {
		s := newTestCluster(3)
		s.commitFirstConfig()
		for i := range 3 {
			Expect(s.put((i+1)%3, i+1, testConfig(i+2, 0))).To(Equal(http.StatusOK))
			s.stop(i)
			Expect(os.RemoveAll(s.dataDir(i))).To(Succeed())
			s.start(i, false)
			Eventually(func() bool { return s.isVoter(i) && s.storedVersion(i) == i+2 }, waitTimeout).Should(BeTrue(), "machine %d", i)
		}
		for i := range 3 {
			Eventually(func() int { return s.version(i) }, waitTimeout).Should(Equal(4))
		}
	})

	It("are replaced by a new voter before a leaving voter has ended", func() {
		s := newTestCluster(3)
		s.commitFirstConfig()
		s.start(3, false)
		Eventually(func() bool { return s.isVoter(3) }, waitTimeout).Should(BeTrue())
		Expect(s.storedVersion(3)).To(Equal(1))
		s.stop(1)
		value, err := s.machines[0].control.proposer.read(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(value.AllVoters()).To(HaveLen(3), "the process that left is no longer a voter")
		s.stop(2)
		Eventually(func() int { return s.put(3, 1, testConfig(2, 0)) }, waitTimeout).Should(Equal(http.StatusOK))
	})

	It("have a leaving voter wait for its replacement, even if it has not learned of the new voter by gossip", func() {
		s := newTestCluster(3)
		s.commitFirstConfig()
		isolated := func() *Control { // a process that knows no other process, and only the first set of voters
			m := s.machines[1]
			c := newControl(m.control.settings, m.control.replica, m.control.proposer.client, m.control.log)
			c.node.MergeRegisterValue(foundingValue(m.control.settings.SeedAddresses()))
			return c
		}
		Expect(isolated().isReplaceable()).To(BeFalse(), "three voters")
		s.start(3, false)
		Eventually(func() bool { return s.isVoter(3) }, waitTimeout).Should(BeTrue())
		Expect(isolated().countStaying()).To(BeZero())
		Expect(isolated().isReplaceable()).To(BeTrue(), "four voters")
	})
})

var _ = Describe("a control process that returns after many changes", func() {
	It("catches up even if configurations are large and the network is slow", func() {
		s := newTestCluster(3)
		s.commitFirstConfig()
		s.stop(2)
		const size = 400_000
		for base := 1; base <= 8; base++ {
			Expect(s.put(base%2, base, testConfig(base+1, size))).To(Equal(http.StatusOK))
		}
		s.network.mu.Lock()
		s.network.perKB = 200 * time.Microsecond
		s.network.mu.Unlock()
		s.start(2, false)
		Eventually(func() int { return s.storedVersion(2) }, waitTimeout).Should(Equal(9))
		Expect(s.machines[2].control.replica.state().Value.AcceptedChanges).To(HaveLen(9))
	})
})

var _ = Describe("a disk", func() {
	It("that has held data does not found the register, even if the settings still say that this is the first start", func() {
		s := newTestCluster(3)
		s.commitFirstConfig()
		s.stop(0)
		files, err := filepath.Glob(filepath.Join(s.dataDir(0), "*"))
		Expect(err).NotTo(HaveOccurred())
		for _, file := range files {
			Expect(os.WriteFile(file, []byte("spoiled"), 0o600)).To(Succeed())
		}
		s.start(0, true)
		Expect(s.machines[0].control.proposer.self.ID).NotTo(Equal(founderID(s.machines[0].control.proposer.self.Address)))
		Eventually(func() bool { return s.isVoter(0) }, waitTimeout).Should(BeTrue())
	})
})

var _ = Describe("a disk that is damaged while its process runs", func() {
	It("is repaired, so that the process keeps its identity and its value", func() {
		s := newTestCluster(3)
		s.commitFirstConfig()
		replica := s.machines[1].control.replica
		replica.writeMu.Lock()
		files, err := filepath.Glob(filepath.Join(s.dataDir(1), "*"))
		Expect(err).NotTo(HaveOccurred())
		for _, file := range files {
			Expect(os.WriteFile(file, []byte("spoiled"), 0o600)).To(Succeed())
		}
		replica.writeMu.Unlock()
		replica.repairDisk()
		before := replica.state()
		s.stop(1)
		s.start(1, false)
		after := s.machines[1].control.replica.state()
		Expect(after.ID).To(Equal(before.ID))
		Expect(after.Value.ConfigVersion).To(BeEquivalentTo(1))
		Expect(s.storedVersion(1)).To(Equal(1))
	})
})

var _ = Describe("chunks of a configuration", func() {
	It("are fetched from the offset at which an earlier attempt failed, and verified", func() {
		s := newTestCluster(3)
		s.commitFirstConfig()
		data := testConfig(2, 700_000)
		Expect(s.put(0, 1, data)).To(Equal(http.StatusOK))
		c := s.machines[0].control
		Eventually(func() int { return s.storedVersion(0) }, waitTimeout).Should(Equal(2)) // 200 needs a majority, which may be the others
		value := c.replica.state().Value
		Expect(c.replica.configBytes(value.ConfigDigest)).To(HaveLen(len(data)))
		Eventually(func() int { return s.storedVersion(1) }, waitTimeout).Should(Equal(2))
		fetcher := newConfigFetcher()
		calls := 0
		requestChunk := func(ctx context.Context, from register.Voter, request *message.ConfigRequest) (*message.ConfigReply, error) {
			if calls++; calls == 3 {
				return nil, errPartitioned
			}
			return c.replica.handleConfigRequest(ctx, request)
		}
		got, err := fetcher.fetch(context.Background(), value.ConfigDigest, value.Voters[:1], requestChunk)
		Expect(err).To(HaveOccurred())
		Expect(got).To(BeNil())
		got, err = fetcher.fetch(context.Background(), value.ConfigDigest, value.Voters[:1], requestChunk)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(data))
		Expect(calls).To(Equal((len(data)+chunkSize-1)/chunkSize+1), "no chunk is fetched twice")
	})
})

// A machine that caught up while changes kept coming asked a failed voter first each time. By the time it asked the others they had evicted the
// bytes, and readers got 503 for bytes that no voter had any longer. (Seen in the simulated control plane, three voters, seeds 89 and 74.)
var _ = Describe("bytes of a configuration while changes keep coming", func() {
	It("are requested last from a voter whose previous call failed", func() {
		failed, alive := register.Voter{ID: "a", Address: "a"}, register.Voter{ID: "b", Address: "b"}
		data := testConfig(1, 0)
		var requested []register.Voter
		requestChunk := func(_ context.Context, from register.Voter, _ *message.ConfigRequest) (*message.ConfigReply, error) {
			requested = append(requested, from)
			if from == failed {
				return nil, errPartitioned
			}
			return &message.ConfigReply{Data: data, Size: len(data)}, nil
		}
		fetcher := newConfigFetcher()
		for range 2 {
			_, err := fetcher.fetch(context.Background(), register.DigestOf(data), []register.Voter{failed, alive}, requestChunk)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(requested).To(Equal([]register.Voter{failed, alive, alive}))
	})

	It("are those of the newest version when no voter has the earlier ones any longer", func() {
		s := newTestCluster(3)
		s.commitFirstConfig()
		for _, m := range s.machines {
			m.control.replica.mu.Lock()
			m.control.replica.configs = nil
			m.control.replica.mu.Unlock()
		}
		read := make(chan uint64, 1)
		go func() {
			defer GinkgoRecover()
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			value, data, err := s.machines[1].control.proposer.readConfig(ctx, func(register.Value) bool { return true })
			Expect(err).NotTo(HaveOccurred())
			Expect(register.DigestOf(data)).To(Equal(value.ConfigDigest))
			read <- value.ConfigVersion
		}()
		Expect(s.put(0, 1, testConfig(2, 0))).To(Equal(http.StatusOK))
		Eventually(read, waitTimeout).Should(Receive(BeEquivalentTo(2)))
	})
})

var _ = Describe("the status of a control process", func() {
	It("is answered by each process", func() {
		s := newTestCluster(3)
		s.commitFirstConfig()
		for i := range 3 {
			Eventually(func(g Gomega) {
				response, err := http.Get("http://" + s.machines[i].control.proposer.self.Address + statusPath)
				g.Expect(err).NotTo(HaveOccurred())
				defer func() { _ = response.Body.Close() }()
				var status replicaStatus
				g.Expect(json.NewDecoder(response.Body).Decode(&status)).To(Succeed())
				g.Expect(status.Identity).To(Equal(s.machines[i].control.proposer.self.ID))
				g.Expect(status.IsVoter).To(BeTrue())
				g.Expect(status.ReachesMajority).To(BeTrue())
				g.Expect(status.ConfigVersion).To(BeEquivalentTo(1))
				g.Expect(status.ConfigBytes).To(Equal(len(testConfig(1, 0))))
				g.Expect(status.PublishedVersion).To(BeEquivalentTo(1))
				g.Expect(status.Voters).To(HaveLen(3))
			}, waitTimeout).Should(Succeed())
		}
	})
})
