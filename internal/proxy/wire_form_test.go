package proxy

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/routeconfig"
)

// update rewrites the golden files. It is meant for new message formats only: existing ones must not change, since proxies and agents of two versions
// run side by side.
var update = flag.Bool("update", false, "rewrite the golden files")

// goldenFrame returns a frame from a golden file, which was written by the version that introduced the format.
func goldenFrame(name string, now []byte) []byte {
	GinkgoHelper()
	path := filepath.Join("testdata", name+".hex")
	if *update {
		Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
		Expect(os.WriteFile(path, []byte(hex.EncodeToString(now)+"\n"), 0o644)).To(Succeed())
	}
	text, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	frame, err := hex.DecodeString(strings.TrimSpace(string(text)))
	Expect(err).NotTo(HaveOccurred())
	return frame
}

// feedFrame returns an update as an agent sends it: a length of four bytes and an encoded message.Feed.
func feedFrame() []byte {
	table, err := message.PackTable(&routeconfig.Table{Version: 7, Services: []routeconfig.Service{{Name: "s", HealthPath: "/health", MaxConnections: 100,
		Engine: &routeconfig.Engine{Slots: 4, KVTokens: 1e6, KVTokenBytes: 1000, LinkMbps: 1e6, HandleTTLSeconds: 5}}}})
	Expect(err).NotTo(HaveOccurred())
	data, err := msgpack.Marshal(&message.Feed{Table: table, List: list(message.Instance{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Zone: "z",
		Slots: 4, Stage: message.Decode}), Loads: []message.Load{{InstanceKey: message.InstanceKey("i-1"), Running: 2, Waiting: 1, AgeMs: 40}},
		Plan: &message.StagePlan{Token: 3, Sequence: 9, Stages: map[string]message.Stage{"i-1": message.Prefill}}, ProxyRank: 1, ProxyCount: 3})
	Expect(err).NotTo(HaveOccurred())
	return append([]byte{byte(len(data) >> 24), byte(len(data) >> 16), byte(len(data) >> 8), byte(len(data))}, data...)
}

var _ = Describe("the form of what a proxy and its agent exchange over loopback", func() {
	It("is the same: the update is read, the report has its bytes", func() {
		settings, err := nodeconfig.Parse([]byte("NodeId: n\nIp: 127.0.6.10\nZone: z\nInternalPortRange: [21500, 21515]\nSeeds:\n  - 127.0.6.10:21520\n" +
			"Cloud: {Address: \"127.0.0.1:1\"}\nListen: {Front: \"127.0.6.10:21521\", Ready: \"127.0.6.10:21522\"}\n"))
		Expect(err).NotTo(HaveOccurred())
		listener, err := net.Listen("tcp4", settings.FeedAddress())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }()
		p, _ := startProxy(route(routeconfig.Idempotent), false)
		p.settings = settings
		ended := make(chan error, 1)
		go func() { ended <- p.receiveFeed(GinkgoT().Context(), settings.FeedAddress()) }()
		conn, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = conn.Write(goldenFrame("feed", feedFrame()))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() uint64 { return p.state.currentTable().version }).Should(BeEquivalentTo(7))
		p.state.mu.Lock()
		Expect(p.state.instances).To(Equal([]message.Instance{{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 4, Stage: message.Decode}}))
		Expect(p.state.stagePlan).To(Equal(message.StagePlan{Token: 3, Sequence: 9, Stages: map[string]message.Stage{"i-1": message.Prefill}}))
		Expect([]int{p.state.rank, p.state.count}).To(Equal([]int{1, 3}))
		p.state.mu.Unlock()
		Expect(conn.SetReadDeadline(time.Now().Add(30 * time.Second))).To(Succeed())
		head := make([]byte, 4)
		_, err = io.ReadFull(conn, head)
		Expect(err).NotTo(HaveOccurred())
		body := make([]byte, int(head[0])<<24|int(head[1])<<16|int(head[2])<<8|int(head[3]))
		_, err = io.ReadFull(conn, body)
		Expect(err).NotTo(HaveOccurred())
		report := append(head, body...)
		Expect(report).To(Equal(goldenFrame("report", report)))
		Expect(conn.Close()).To(Succeed())
		Eventually(ended).Should(Receive(HaveOccurred()))
	})

	It("has the same JSON key for the handle of a cache", func() {
		var answer prefillResponse
		Expect(json.Unmarshal([]byte(`{"KvHandle":"h1"}`), &answer)).To(Succeed())
		Expect(answer.KvHandle).To(Equal("h1"))
		data, err := json.Marshal(answer)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(Equal(`{"KvHandle":"h1"}`))
	})
})
