package routeconfig_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/routeconfig"
)

// applyPatch applies a patch to validConfig and validates the result.
func applyPatch(patch string) (string, error) {
	parsed, err := routeconfig.ParsePatch([]byte(patch))
	if err != nil {
		return "", err
	}
	patched, err := parsed.Apply([]byte(validConfig))
	if err != nil {
		return "", err
	}
	_, err = routeconfig.Parse(patched)
	return string(patched), err
}

var _ = Describe("a patch", func() {
	It("replaces items in position, appends and removes others, and leaves unknown fields unchanged", func() {
		patched, err := applyPatch(`{"Version":9,"Upsert":{"Routes":[
			{"Name":"c","Host":"h","PathPrefix":"/c/","RouteType":"idempotent","TimeoutMs":10,"Service":"s","Later":{"x":1}},
			{"Name":"a","Host":"h","PathPrefix":"/a/","RouteType":"idempotent","TimeoutMs":70,"Service":"s"}]},"Remove":{"Routes":["b"]}}`)
		Expect(err).NotTo(HaveOccurred())
		table, err := routeconfig.Parse([]byte(patched))
		Expect(err).NotTo(HaveOccurred())
		Expect(table.Version).To(BeEquivalentTo(9))
		Expect(table.Routes).To(HaveLen(2))
		Expect(table.Routes[0].Name).To(Equal("a"))
		Expect(table.Routes[0].TimeoutMs).To(Equal(70.0))
		Expect(table.Routes[1].Name).To(Equal("c"))
		Expect(patched).To(ContainSubstring(`"New":[1]`))
		Expect(patched).To(ContainSubstring(`"Later":{"x":1}`))
		Expect(patched).To(ContainSubstring(`"KvTokens":765689`), "other items stay unchanged")
	})

	It("adds a list that the document lacks", func() {
		parsed, err := routeconfig.ParsePatch([]byte(`{"Version":2,"Upsert":{"Services":[{"Name":"s","HealthPath":"/h"}]}}`))
		Expect(err).NotTo(HaveOccurred())
		patched, err := parsed.Apply([]byte(`{"Version":1}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(patched)).To(Equal(`{"Version":2,"Services":[{"Name":"s","HealthPath":"/h"}]}`))
	})

	DescribeTable("is rejected in one line that names list, item and field", func(patch string, names ...string) {
		_, err := applyPatch(patch)
		Expect(err).To(HaveOccurred())
		for _, name := range names {
			Expect(err.Error()).To(ContainSubstring(name))
		}
		Expect(strings.Count(err.Error(), "\n")).To(BeZero())
	},
		Entry("not an object", `[1]`, "patch", "object"),
		Entry("cut short", `{"Version":9,"Upsert":{"Routes":[`, "Upsert"),
		Entry("trailing text", `{"Version":9} {}`, "behind"),
		Entry("no version", `{"Upsert":{}}`, "Version"),
		Entry("a version that is not a number", `{"Version":"x"}`, "Version", "x"),
		Entry("an unknown field", `{"Version":9,"Replace":{}}`, "Replace"),
		Entry("a duplicate field", `{"Version":9,"Version":10}`, "Version", "twice"),
		Entry("lists that are not an object", `{"Version":9,"Upsert":[]}`, "Upsert", "object"),
		Entry("a list that is an object", `{"Version":9,"Upsert":{"Routes":{}}}`, "Upsert.Routes", "list"),
		Entry("an unknown list", `{"Version":9,"Upsert":{"Roots":[]}}`, "Roots"),
		Entry("a field that is not a list of items", `{"Version":9,"Upsert":{"Limits":[{"Name":"x"}]}}`, "Limits"),
		Entry("a list without names", `{"Version":9,"Upsert":{"New":[{"Name":"x"}]}}`, "New[0]", "Name"),
		Entry("an item that is not an object", `{"Version":9,"Upsert":{"Routes":[{"Name":"c"},3]}}`, "Upsert.Routes[1]", "Name"),
		Entry("an item without a name", `{"Version":9,"Upsert":{"Routes":[{"Host":"h"}]}}`, "Upsert.Routes[0].Name"),
		Entry("a duplicate item", `{"Version":9,"Upsert":{"Routes":[{"Name":"c"},{"Name":"c"}]}}`, "Upsert.Routes", `"c"`),
		Entry("an item changed and removed", `{"Version":9,"Upsert":{"Routes":[{"Name":"a"}]},"Remove":{"Routes":["a"]}}`, "Remove.Routes", `"a"`),
		Entry("names that are not texts", `{"Version":9,"Remove":{"Routes":[{"Name":"a"}]}}`, "Remove.Routes"),
		Entry("an unknown name", `{"Version":9,"Remove":{"Routes":["z"]}}`, "Remove.Routes", `"z"`),
		Entry("a service removed that is in use", `{"Version":9,"Remove":{"Services":["t"]}}`, "Routes[1]", "t"),
		Entry("a route to an unknown service", `{"Version":9,"Upsert":{"Routes":[{"Name":"c","Host":"h","PathPrefix":"/c/","RouteType":"idempotent","TimeoutMs":1,"Service":"u"}]}}`,
			"Routes[2].Service", "u"),
	)

	It("gives the same result as the same changes of a list in memory, in random series", func() {
		for seed := range uint64(300) {
			comparePatches(rand.New(rand.NewPCG(seed, 56)))
		}
	})
})

// comparePatches applies a random series of patches to a document, and compares it with a list in memory that it changes in the same way.
func comparePatches(rng *rand.Rand) {
	type route struct {
		Name string
		Mark int
	}
	config, want := []byte(`{"Version":1,"Keep":{"a":[1,2]},"Routes":[]}`), []route{}
	for version := 2; version < 20; version++ {
		var upsert []route
		var remove []string
		for _, i := range rng.Perm(6)[:rng.IntN(6)] {
			name := fmt.Sprint("r", i)
			index := slices.IndexFunc(want, func(r route) bool { return r.Name == name })
			changed := route{name, rng.IntN(1000)}
			switch {
			case index >= 0 && rng.IntN(2) == 0:
				want = slices.Delete(want, index, index+1)
				remove = append(remove, name)
			case index >= 0:
				want[index] = changed
				upsert = append(upsert, changed)
			default:
				want = append(want, changed)
				upsert = append(upsert, changed)
			}
		}
		text, err := json.Marshal(map[string]any{"Version": version, "Upsert": map[string]any{"Routes": upsert}, "Remove": map[string]any{"Routes": remove}})
		Expect(err).NotTo(HaveOccurred())
		patch, err := routeconfig.ParsePatch(text)
		Expect(err).NotTo(HaveOccurred())
		config, err = patch.Apply(config)
		Expect(err).NotTo(HaveOccurred())
		var decoded struct {
			Version int
			Keep    json.RawMessage
			Routes  []route
		}
		Expect(json.Unmarshal(config, &decoded)).To(Succeed())
		Expect(decoded.Version).To(Equal(version))
		Expect(string(decoded.Keep)).To(Equal(`{"a":[1,2]}`))
		Expect(decoded.Routes).To(Equal(want))
	}
}
