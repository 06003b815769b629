package control

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// patchText returns a patch that adds or replaces one of seven routes; mark selects the route and its timeout.
func patchText(version, mark int) []byte {
	return fmt.Appendf(nil, `{"Version":%d,"Upsert":{"Routes":[{"Name":"p%d","Host":"h","PathPrefix":"/p%d/","RouteType":"idempotent",`+
		`"TimeoutMs":%d,"Service":"s"}]}}`, version, mark%7, mark%7, 1000+mark)
}

// patch sends a patch and returns the status, or 0 if there was no response.
func (s *testCluster) patch(i, base int, data []byte) int {
	return s.send(http.MethodPatch, i, base, data)
}

// patchUntilDecided is sendUntilDecided for a patch.
func (s *testCluster) patchUntilDecided(i, base int, data []byte) int {
	return s.sendUntilDecided(http.MethodPatch, i, base, data)
}

// configText returns the configuration that a process answers with, once it has read it from a majority.
func (s *testCluster) configText(i int) (text string) {
	Eventually(func() int {
		response, err := (&http.Client{Timeout: waitTimeout}).Get("http://" + s.operatorAddress(i) + "/config")
		if err != nil {
			return 0
		}
		defer func() { _ = response.Body.Close() }()
		data, err := io.ReadAll(response.Body)
		if err != nil {
			return 0
		}
		text = string(data)
		return response.StatusCode
	}, waitTimeout).Should(Equal(http.StatusOK))
	return text
}

// configVersion returns the version of the configuration that a process answers with.
func (s *testCluster) configVersion(i int) int {
	var config struct{ Version int }
	Expect(json.Unmarshal([]byte(s.configText(i)), &config)).To(Succeed())
	return config.Version
}

var _ = Describe("a patch of the configuration", func() {
	It("is accepted on its base version, acknowledged again after later changes, and otherwise rejected without any change", func() {
		s := newTestCluster(3)
		Eventually(func() int { return s.patch(0, 0, patchText(1, 1)) }, waitTimeout).Should(Equal(http.StatusBadRequest), "there is no configuration yet")
		s.commitFirstConfig()
		first := patchText(3, 1)
		Expect(s.patchUntilDecided(0, 1, first)).To(Equal(http.StatusOK))
		Expect(s.patchUntilDecided(1, 1, first)).To(Equal(http.StatusOK), "repeated")
		Expect(s.patchUntilDecided(2, 1, patchText(4, 2))).To(Equal(http.StatusPreconditionFailed))
		Expect(s.patchUntilDecided(2, 3, patchText(3, 2))).To(Equal(http.StatusBadRequest), "its version is not above the current one")
		Expect(s.patchUntilDecided(2, 3, first)).To(Equal(http.StatusBadRequest), "the same bytes on another base are another change")
		for _, bad := range []string{`{`, `{"Version":9,"Remove":{"Routes":["none"]}}`, `{"Version":9,"Remove":{"Services":["s"]}}`, `{"Version":9,"Upsert":{"X":[]}}`} {
			Expect(s.patchUntilDecided(1, 3, []byte(bad))).To(Equal(http.StatusBadRequest), bad)
		}
		Expect(s.configVersion(2)).To(Equal(3))
		Expect(s.sendUntilDecided(http.MethodPut, 1, 3, testConfig(5, 0))).To(Equal(http.StatusOK))
		Expect(s.patchUntilDecided(2, 1, first)).To(Equal(http.StatusOK), "its base and its result no longer exist")
		Expect(s.configVersion(0)).To(Equal(5))
	})

	It("gives the same configuration as a PUT of its result, with two operators and lost responses", func() {
		s := newTestCluster(3)
		s.commitFirstConfig()
		var confirmed sync.Map // acknowledged configurations by version, as built by the test
		var operators sync.WaitGroup
		for operator := range 2 {
			operators.Go(func() {
				defer GinkgoRecover()
				s.runOperator(rand.New(rand.NewPCG(uint64(operator), 56)), operator, &confirmed)
			})
		}
		operators.Wait()
		version := s.configVersion(0)
		Expect(version).To(BeNumerically(">", 10))
		want, known := confirmed.Load(version)
		Expect(known).To(BeTrue(), "the newest version was acknowledged to one of them")
		for i := range 3 {
			Expect(s.configText(i)).To(MatchJSON(want.(string)))
		}
	})
})

// runOperator makes changes on top of what it reads, by patches or by complete configurations, and sends each twice as if the first response had
// been lost.
func (s *testCluster) runOperator(rng *rand.Rand, operator int, confirmed *sync.Map) {
	for n := range 25 {
		var current map[string]any
		Expect(json.Unmarshal([]byte(s.configText(rng.IntN(3))), &current)).To(Succeed())
		base := int(current["Version"].(float64))
		version := base + 1 + rng.IntN(3)
		patch := patchText(version, 2*n+operator)
		patched := applyPatchByHand(current, patch)
		send := func() int { return s.patch(rng.IntN(3), base, patch) }
		if rng.IntN(3) == 0 {
			send = func() int { return s.put(rng.IntN(3), base, patched) }
		}
		first, repeated := send(), send()
		Expect(first).To(BeElementOf(http.StatusOK, http.StatusPreconditionFailed, http.StatusServiceUnavailable))
		if first == http.StatusOK {
			Expect(repeated).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable), "an acknowledged change is not rejected")
		}
		if first == http.StatusOK || repeated == http.StatusOK {
			_, isDuplicate := confirmed.LoadOrStore(version, string(patched))
			Expect(isDuplicate).To(BeFalse(), "version %d was acknowledged to both", version)
		}
	}
}

// applyPatchByHand builds the result of a patch independently of the code under test.
func applyPatchByHand(current map[string]any, text []byte) []byte {
	var patch struct {
		Version int
		Upsert  struct{ Routes []map[string]any }
	}
	Expect(json.Unmarshal(text, &patch)).To(Succeed())
	current["Version"] = patch.Version
	list := current["Routes"].([]any)
	for _, route := range patch.Upsert.Routes {
		index := -1
		for i, other := range list {
			if other.(map[string]any)["Name"] == route["Name"] {
				index = i
			}
		}
		if index >= 0 {
			list[index] = route
		} else {
			list = append(list, route)
		}
	}
	current["Routes"] = list
	patched, err := json.Marshal(current)
	Expect(err).NotTo(HaveOccurred())
	return patched
}
