package main

import (
	"bytes"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the check of a configuration", func() {
	file := func(text string) string {
		path := filepath.Join(GinkgoT().TempDir(), "file.json")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}
	check := func(files ...string) (status int, out, errs string) {
		var told, failed bytes.Buffer
		status = checkConfiguration(files, &told, &failed)
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

	It("names the file and the place of the first fault in one line", func() {
		config, bad := file(firstConfig), file(`{"Version":3,"Remove":{"Routes":["z"]}}`)
		status, out, errs := check(config, bad)
		Expect(status).To(Equal(statusUsage))
		Expect(out).To(BeEmpty())
		Expect(errs).To(Equal("hazelfleet: " + bad + `: configuration: Remove.Routes: there is no "z"` + "\n"))
		bad = file(`{"Version":0}`)
		_, _, errs = check(bad)
		Expect(errs).To(HavePrefix("hazelfleet: " + bad + ": configuration: Version"))
		status, _, errs = check(filepath.Join(GinkgoT().TempDir(), "none"))
		Expect(status).To(Equal(statusUsage))
		Expect(errs).To(ContainSubstring("none"))
	})
})
