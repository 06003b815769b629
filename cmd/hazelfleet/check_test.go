package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/nodeconfig"
)

var _ = Describe("the check of a configuration", func() {
	writeFile := func(text string) string {
		path := filepath.Join(GinkgoT().TempDir(), "file.json")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}
	check := func(files ...string) (status int, out, errs string) {
		var outBuffer, errBuffer bytes.Buffer
		status = checker{&outBuffer, &errBuffer}.checkConfiguration(files)
		return status, outBuffer.String(), errBuffer.String()
	}

	It("reports the version of a configuration and of the result of a patch, with the numbers of routes and services", func() {
		status, out, _ := check(writeFile(firstConfig))
		Expect(status).To(BeZero())
		Expect(out).To(Equal("version 1 is in order: 1 routes, 1 services\n"))
		status, out, _ = check(writeFile(firstConfig), writeFile(routePatch(3)))
		Expect(status).To(BeZero())
		Expect(out).To(Equal("version 3 is in order: 2 routes, 1 services\n"))
	})

	It("reports all faults with line and column, and warns of unknown fields", func() {
		bad := writeFile(`{"Version":0,"Routes":[
 {"Name":"a","Host":"h","PathPrefix":"/a","RouteType":"streaming","TimeoutMs":"soon","Service":"s","Keyz":1},
 {"Name":"b","Host":"h","PathPrefix":"/b/","RouteType":"maybe","TimeoutMs":5,"Service":"t"}],
 "Services":[{"Name":"s"}],
 "Tenants":[{"Name":"x","Keyz":["k"]}]}`)
		status, out, errs := check(bad)
		Expect(status).To(Equal(exitUsage))
		Expect(strings.Split(strings.TrimSpace(errs), "\n")).To(Equal([]string{
			"hazelfleet: " + bad + ": line 1, column 12: Version: want a number above 0",
			"hazelfleet: " + bad + `: line 2, column 38: Routes[0].PathPrefix: "/a" doesn't begin and end with a slash`,
			"hazelfleet: " + bad + `: line 2, column 79: Routes[0].TimeoutMs: want a number, not "\"soon\""`,
			"hazelfleet: " + bad + `: line 3, column 56: Routes[1].RouteType: unknown "maybe"`,
			"hazelfleet: " + bad + `: line 3, column 88: Routes[1].Service: unknown service "t"`,
		}))
		Expect(out).To(Equal("warning: " + bad + ": line 2, column 100: Routes[0].Keyz: not known, passed over\n" +
			"warning: " + bad + ": line 5, column 25: Tenants[0].Keyz: not known, passed over\n"))
		cut := writeFile("{\"Version\":1,\n\"Routes\":[")
		_, _, errs = check(cut)
		Expect(errs).To(HavePrefix("hazelfleet: " + cut + ": line 2, column "))
	})

	// Guards against a check that says something else than control: requests of one route were executed by the service of another.
	It("rejects two routes at one place, with the line, and accepts the patch that corrects such a configuration", func() {
		faulty := writeFile(`{"Version":1,"Services":[{"Name":"s"}],"Routes":[
 {"Name":"a","Host":"h.example","PathPrefix":"/a/","RouteType":"idempotent","TimeoutMs":5,"Service":"s"},
 {"Name":"b","Host":"H.example","PathPrefix":"/a/","RouteType":"idempotent","TimeoutMs":5,"Service":"s"}]}`)
		fault := faulty + ": line 3, column 2: Routes[1]: same Host and PathPrefix as Routes[0]\n"
		status, _, errs := check(faulty)
		Expect(status).To(Equal(exitUsage))
		Expect(errs).To(Equal("hazelfleet: " + fault))

		status, out, errs := check(faulty, writeFile(`{"Version":2,"Remove":{"Routes":["b"]}}`))
		Expect(status).To(BeZero())
		Expect(out).To(Equal("warning: " + fault + "version 2 is in order: 1 routes, 1 services\n"))
		Expect(errs).To(BeEmpty())

		unrelated := writeFile(`{"Version":2,"Upsert":{"Services":[{"Name":"t"}]}}`)
		status, out, errs = check(faulty, unrelated)
		Expect(status).To(Equal(exitUsage))
		Expect(out).To(Equal("warning: " + fault))
		Expect(errs).To(Equal("hazelfleet: " + unrelated + ": Routes[1]: same Host and PathPrefix as Routes[0]\n"))
	})

	It("rejects a text that is nested too deeply", func() {
		deep := writeFile(strings.Repeat("[", 100_000))
		status, _, errs := check(deep)
		Expect(status).To(Equal(exitUsage))
		Expect(errs).To(HavePrefix("hazelfleet: " + deep + ": line 1, column "))
		Expect(errs).To(ContainSubstring("nested too deep"))
	})

	It("reports the file and the position of a patch's fault on one line", func() {
		config, bad := writeFile(firstConfig), writeFile(`{"Version":3,"Remove":{"Routes":["z"]}}`)
		status, out, errs := check(config, bad)
		Expect(status).To(Equal(exitUsage))
		Expect(out).To(BeEmpty())
		Expect(errs).To(Equal("hazelfleet: " + bad + `: configuration: Remove.Routes: there is no "z"` + "\n"))
		bad = writeFile(`{"Version":0}`)
		_, _, errs = check(bad)
		Expect(errs).To(HavePrefix("hazelfleet: " + bad + ": line 1, column 12: Version"))
		status, _, errs = check(filepath.Join(GinkgoT().TempDir(), "none"))
		Expect(status).To(Equal(exitUsage))
		Expect(errs).To(ContainSubstring("none"))
	})
})

var _ = Describe("the check of the settings", func() {
	It("reports all faults with line and column, and warns of unknown fields", func() {
		path := filepath.Join(GinkgoT().TempDir(), "boot.yaml")
		Expect(os.WriteFile(path, []byte("NodeId: \"\"\nIp: here\nInternalPortRange: [7720]\nSeeds: [\"10.1.0.16\"]\nOwn: 1\nBounds:\n  GraceS: 0\n  "+
			"DrainMs: soon\n  Lease: 3\n"), 0o600)).To(Succeed())
		var outBuffer, errBuffer bytes.Buffer
		Expect(checker{&outBuffer, &errBuffer}.checkSettings(path)).To(Equal(exitUsage))
		lines := strings.Split(strings.TrimSpace(errBuffer.String()), "\n")
		for i, want := range []string{"line 1, column 1: NodeId: ", "line 2, column 1: Ip: ", "line 3, column 1: InternalPortRange: ", "line 4, column 1: Seeds: ",
			"line 7, column 3: Bounds.GraceS: ", "line 8, column 1: cannot unmarshal"} {
			Expect(lines[i]).To(HavePrefix("hazelfleet: settings: " + path + ": " + want))
		}
		Expect(lines).To(HaveLen(6))
		Expect(outBuffer.String()).To(Equal("warning: settings: " + path + ": line 5, column 1: Own: not known, passed over\n" +
			"warning: settings: " + path + ": line 9, column 3: Bounds.Lease: not known, passed over\n"))
	})
})

var _ = DescribeTable("the command line", func(status int, arguments ...string) {
	GinkgoT().Setenv(nodeconfig.EnvFile, filepath.Join(GinkgoT().TempDir(), "none.yaml"))
	Expect(run(arguments)).To(Equal(status))
},
	Entry("a request for help", 0, "--help"),
	Entry("a request for help with a role, without reading a file of that name", 0, "check", "--help"),
	Entry("no role", exitUsage),
	Entry("an unknown role", exitUsage, "serve"),
	Entry("too many files", exitUsage, "check", "a", "b", "c"),
)
