package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/message"
)

// expectGolden compares a text with a file under testdata.
func expectGolden(file, now string) {
	GinkgoHelper()
	path := filepath.Join("testdata", file)
	if *update {
		Expect(os.WriteFile(path, []byte(now), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(now).To(Equal(string(want)))
}

// transcript records requests of an operator with their responses.
type transcript struct {
	handler http.Handler
	text    strings.Builder
}

// call sends a request and appends it and its response to the transcript. Of the headers it appends those that don't vary.
func (t *transcript) call(method, ifMatch, body string) {
	request := httptest.NewRequest(method, "/config", strings.NewReader(body))
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	response := httptest.NewRecorder()
	t.handler.ServeHTTP(response, request)
	shown := body
	if len(shown) > 1000 {
		shown = fmt.Sprintf("(%d bytes)", len(shown))
	}
	fmt.Fprintf(&t.text, "> %s /config If-Match=%q %s\n< %d\n", method, ifMatch, shown, response.Code)
	for _, name := range []string{"Allow", "Content-Length", "Content-Type", "Retry-After"} {
		if value := response.Header().Get(name); value != "" {
			fmt.Fprintf(&t.text, "< %s: %s\n", name, value)
		}
	}
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	fmt.Fprintf(&t.text, "%s\n", bytes.TrimRight(data, "\n"))
}

var _ = Describe("the form of the configuration API", func() {
	It("keeps its statuses, headers and bodies", func() {
		s := newTestCluster(1)
		c := s.machines[0].control
		Eventually(c.reachesMajority, waitTimeout).Should(BeTrue())
		t := &transcript{handler: c.operatorRouter()}
		text := func(version int) string { return string(testConfig(version, 0)) }
		t.call("GET", "", "")
		t.call("PATCH", "0", string(patchText(1, 1)))
		t.call("PUT", "", text(1))
		t.call("PUT", "zero", text(1))
		t.call("PUT", "0", strings.Repeat("x", maxConfigBytes+1))
		t.call("PUT", "0", `{"Version":0}`)
		t.call("PUT", "0", `{"Version":1,"Services":[{"Name":"s"},{"Name":"s"}]}`)
		t.call("PUT", "0", text(1))
		t.call("PUT", "0", text(1))
		t.call("PUT", "0", text(2))
		t.call("PUT", "1", text(1)+" ")
		t.call("GET", "", "")
		t.call("PATCH", "1", `{`)
		t.call("PATCH", "1", `{"Version":3,"Remove":{"Routes":["none"]}}`)
		t.call("PATCH", "1", `{"Version":3,"Remove":{"Services":["s"]}}`)
		t.call("PATCH", "1", string(patchText(3, 1)))
		t.call("PATCH", "1", string(patchText(3, 1)))
		t.call("PATCH", "1", string(patchText(4, 2)))
		t.call("PATCH", "3", string(patchText(3, 2)))
		t.call("GET", "", "")
		t.call("POST", "", "")
		expectGolden("operator.txt", t.text.String())
	})

	It("has a status for each verdict on a change", func() {
		var out strings.Builder
		for _, verdict := range []register.ConfigVerdict{register.ConfigApplicable, register.ConfigDuplicate, register.ConfigStaleBase, register.ConfigStaleVersion} {
			got := rejection(register.Value{ConfigVersion: 7}, verdict)
			fmt.Fprintf(&out, "%d: %d %s\n", verdict, got.status, got.message)
		}
		for _, got := range []changeResult{changeAccepted, invalidChange(errUnknownVoters), unavailableChange(errUnknownVoters)} {
			fmt.Fprintf(&out, "%d %s\n", got.status, got.message)
		}
		expectGolden("verdicts.txt", out.String())
	})
})

var _ = Describe("the form of the status and of orders", func() {
	It("keeps its JSON keys", func() {
		data, err := json.MarshalIndent([]any{
			replicaStatus{Identity: "i", IsVoter: true, Epoch: 2, ConfigVersion: 3, ConfigBytes: 4, BallotRound: 5, PublishedVersion: 6, ReachesMajority: true,
				Voters: []voterStatus{{Identity: "v", Address: "a", Reachable: true}}},
			replicaStatus{},
			orderBody{Op: stageOrderOp, Stage: message.Prefill, LeaseHolder: "c0", FencingToken: 9},
		}, "", "  ")
		Expect(err).NotTo(HaveOccurred())
		expectGolden("json.txt", string(data)+"\n")
	})
})
