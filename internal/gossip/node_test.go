package gossip_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/mux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/gossip"
	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/routeconfig"
	"hazelwheel/internal/transport"
)

func TestGossip(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gossip")
}

const (
	nodeCount = 10
	timeout   = 20 * time.Second
)

// testFleet is a set of nodes on loopback addresses.
type testFleet struct {
	nodes         []*gossip.Node
	receivedBytes atomic.Int64 // of requests and replies, over all nodes
}

// countingBody counts the bytes that are read.
type countingBody struct {
	io.ReadCloser
	count *atomic.Int64
}

func (b countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.count.Add(int64(n))
	return n, err
}

// countingWriter counts the bytes that are written.
type countingWriter struct {
	http.ResponseWriter
	count *atomic.Int64
}

func (w countingWriter) Write(p []byte) (int, error) {
	w.count.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

func startFleet() *testFleet {
	f := &testFleet{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	base := 20000 + rand.IntN(20000)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	for i := range nodeCount {
		settings := &nodeconfig.Settings{NodeID: fmt.Sprint("n", i), IP: fmt.Sprint("127.0.4.", 10+i), InternalPortRange: []int{base, base + 15},
			Seeds: []string{"127.0.4.10:1"}}
		address := settings.InternalAddress(settings.IP, nodeconfig.ControlPort)
		node := gossip.New(settings, membership.Record{Kind: membership.Agent, Address: address}, transport.NewClient(), logrus.NewEntry(log))
		f.serve(address, node)
		f.nodes = append(f.nodes, node)
		go node.Run(ctx)
	}
	Eventually(f.minMembers, timeout).Should(Equal(nodeCount))
	return f
}

func (f *testFleet) serve(address string, node *gossip.Node) {
	listener, err := net.Listen("tcp4", address)
	Expect(err).NotTo(HaveOccurred())
	router := mux.NewRouter()
	node.RegisterHandlers(router)
	server := &http.Server{ReadHeaderTimeout: timeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = countingBody{r.Body, &f.receivedBytes}
		router.ServeHTTP(countingWriter{w, &f.receivedBytes}, r)
	})}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
}

// minMembers returns the smallest number of members that a node knows.
func (f *testFleet) minMembers() int {
	least := nodeCount + 1
	for _, node := range f.nodes {
		least = min(least, len(node.Members()))
	}
	return least
}

// countVersion returns how many nodes have a configuration of this version.
func (f *testFleet) countVersion(version uint64) (count int) {
	for _, node := range f.nodes {
		if state, _ := node.State(); state.Table != nil && state.Table.Version == version {
			count++
		}
	}
	return count
}

// incompressibleTable returns a large configuration that hardly compresses.
func incompressibleTable(version uint64) *routeconfig.Table {
	table := &routeconfig.Table{Version: version}
	for range 4000 {
		table.Routes = append(table.Routes, routeconfig.Route{Name: fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())})
	}
	return table
}

var _ = Describe("a large item", func() {
	It("is fetched about once by each node", func() {
		f := startFleet()
		table := incompressibleTable(5)
		packed, err := message.PackTable(table)
		Expect(err).NotTo(HaveOccurred())
		before := f.receivedBytes.Load()
		f.nodes[0].SetTable(table)
		Eventually(func() int { return f.countVersion(5) }, timeout).Should(Equal(nodeCount))
		Expect(f.receivedBytes.Load() - before).To(BeNumerically("<", 2*int64(nodeCount)*int64(len(packed.Data))))
	})

	It("reaches all nodes when it changes often, and is never replaced by an older one", func() {
		f := startFleet()
		for version := uint64(1); version <= 20; version++ {
			f.nodes[int(version)%nodeCount].SetTable(&routeconfig.Table{Version: version})
		}
		Eventually(func() int { return f.countVersion(20) }, timeout).Should(Equal(nodeCount))
		f.nodes[3].SetTable(&routeconfig.Table{Version: 7})
		Expect(f.countVersion(20)).To(Equal(nodeCount))
	})

	It("is the youngest reading, if the item is the list of endpoints", func() {
		f := startFleet()
		now := time.Now()
		f.nodes[0].SetEndpoints([]message.Instance{{ID: "old"}}, now.Add(-2*time.Second))
		f.nodes[1].SetEndpoints([]message.Instance{{ID: "new"}}, now)
		countNewest := func() (count int) {
			for _, node := range f.nodes {
				state, _ := node.State()
				if servers, err := state.Endpoints.Unpack(); err == nil && len(servers) == 1 && servers[0].ID == "new" {
					count++
				}
			}
			return count
		}
		Eventually(countNewest, timeout).Should(Equal(nodeCount))
	})

	It("doesn't delay loads that a server reported to one node", func() {
		f := startFleet()
		f.nodes[2].SetLoads([]message.Load{{InstanceKey: 7, Running: 3}})
		Eventually(func() (count int) {
			for _, node := range f.nodes {
				for _, load := range node.Loads() {
					if load.InstanceKey == 7 && load.Running == 3 {
						count++
						break
					}
				}
			}
			return count
		}, timeout, 10*time.Millisecond).Should(BeNumerically(">=", nodeCount-2))
	})
})

var _ = Describe("an update", func() {
	It("omits records, heartbeats and loads in message and reply, unlike an exchange", func() {
		f := startFleet()
		address := f.nodes[0].Members()[0].Address
		send := func(isUpdate bool) *message.Gossip {
			reply := &message.Gossip{}
			request := &message.Gossip{FormatVersion: message.FormatVersion, UpdatesOnly: isUpdate}
			Expect(transport.NewClient().Call(context.Background(), address, "/fleet/v1/gossip", request, reply)).To(Succeed())
			return reply
		}
		short, full := send(true), send(false)
		Expect(short.Records).To(BeEmpty())
		Expect(short.Heartbeats).To(BeEmpty())
		Expect(short.Loads).To(BeEmpty())
		Expect(full.Records).NotTo(BeEmpty())
		Expect(full.Heartbeats).NotTo(BeEmpty())
	})
})
