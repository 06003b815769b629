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
	file := func(text string) string {
		path := filepath.Join(GinkgoT().TempDir(), "file.json")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}
	check := func(files ...string) (status int, out, errs string) {
		var told, failed bytes.Buffer
		status = checker{&told, &failed}.checkConfiguration(files)
		return status, told.String(), failed.String()
	}

	It("tells what a configuration and a patch on top of it make", func() {
		status, out, _ := check(file(firstConfig))
		Expect(status).To(BeZero())
		Expect(out).To(Equal("version 1 is in order: 1 routes, 1 services\n"))
		status, out, _ = check(file(firstConfig), file(addition(3)))
		Expect(status).To(BeZero())
		Expect(out).To(Equal("version 3 is in order: 2 routes, 1 services\n"))
	})

	It("names all faults with line and column, and warns of fields that are not known", func() {
		bad := file(`{"Version":0,"Routes":[
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
		cut := file("{\"Version\":1,\n\"Routes\":[")
		_, _, errs = check(cut)
		Expect(errs).To(HavePrefix("hazelfleet: " + cut + ": line 2, column "))
	})

	It("refuses a text that is nested beyond all measure", func() {
		deep := file(strings.Repeat("[", 100_000))
		status, _, errs := check(deep)
		Expect(status).To(Equal(exitUsage))
		Expect(errs).To(HavePrefix("hazelfleet: " + deep + ": line 1, column "))
		Expect(errs).To(ContainSubstring("nested too deep"))
	})

	It("names the file and the place of a patch's fault in one line", func() {
		config, bad := file(firstConfig), file(`{"Version":3,"Remove":{"Routes":["z"]}}`)
		status, out, errs := check(config, bad)
		Expect(status).To(Equal(exitUsage))
		Expect(out).To(BeEmpty())
		Expect(errs).To(Equal("hazelfleet: " + bad + `: configuration: Remove.Routes: there is no "z"` + "\n"))
		bad = file(`{"Version":0}`)
		_, _, errs = check(bad)
		Expect(errs).To(HavePrefix("hazelfleet: " + bad + ": line 1, column 12: Version"))
		status, _, errs = check(filepath.Join(GinkgoT().TempDir(), "none"))
		Expect(status).To(Equal(exitUsage))
		Expect(errs).To(ContainSubstring("none"))
	})
})

var _ = Describe("the check of the settings", func() {
	It("names all faults with line and column, and warns of fields that are not known", func() {
		path := filepath.Join(GinkgoT().TempDir(), "boot.yaml")
		Expect(os.WriteFile(path, []byte("NodeId: \"\"\nIp: here\nInternalPortRange: [7720]\nSeeds: [\"10.1.0.16\"]\nOwn: 1\nBounds:\n  GraceS: 0\n  "+
			"DrainMs: soon\n  Lease: 3\n"), 0o600)).To(Succeed())
		var told, failed bytes.Buffer
		Expect(checker{&told, &failed}.checkSettings(path)).To(Equal(exitUsage))
		lines := strings.Split(strings.TrimSpace(failed.String()), "\n")
		for i, want := range []string{"line 1, column 1: NodeId: ", "line 2, column 1: Ip: ", "line 3, column 1: InternalPortRange: ", "line 4, column 1: Seeds: ",
			"line 7, column 3: Bounds.GraceS: ", "line 8, column 1: cannot unmarshal"} {
			Expect(lines[i]).To(HavePrefix("hazelfleet: settings: " + path + ": " + want))
		}
		Expect(lines).To(HaveLen(6))
		Expect(told.String()).To(Equal("warning: settings: " + path + ": line 5, column 1: Own: not known, passed over\n" +
			"warning: settings: " + path + ": line 9, column 3: Bounds.Lease: not known, passed over\n"))
	})
})

var _ = DescribeTable("the command line", func(status int, arguments ...string) {
	GinkgoT().Setenv(nodeconfig.EnvFile, filepath.Join(GinkgoT().TempDir(), "none.yaml"))
	Expect(run(arguments)).To(Equal(status))
},
	Entry("asks for help", 0, "--help"),
	Entry("asks for help of a role, and no file of that name is read", 0, "check", "--help"),
	Entry("names nothing", exitUsage),
	Entry("names what is not there", exitUsage, "serve"),
	Entry("names a file too many", exitUsage, "check", "a", "b", "c"),
)
