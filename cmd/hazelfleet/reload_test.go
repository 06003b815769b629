package main

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"hazelwheel/internal/nodeconfig"
)

var _ = Describe("a change of the settings file", func() {
	// Guards against a change that has no effect until a restart, without a word.
	It("is named in the log by the fields that need a restart, once for each change", func() {
		path := filepath.Join(GinkgoT().TempDir(), "boot.yaml")
		GinkgoT().Setenv(nodeconfig.EnvFile, path)
		const text = "NodeId: a\nIp: 127.0.0.1\nZone: z\nInternalPortRange: [7720, 7735]\nBounds: {DrainMs: 3000}\nCloud: {Address: \"127.0.0.1:1\"}\n"
		write := func(before, after string) {
			Expect(os.WriteFile(path, []byte(strings.Replace(text, before, after, 1)), 0o600)).To(Succeed())
		}
		write("", "")
		running, err := nodeconfig.Load(path)
		Expect(err).NotTo(HaveOccurred())
		logger, lines := logtest.NewNullLogger()
		signals := make(chan os.Signal)
		reloaded := watchSettings(GinkgoT().Context(), running, signals, logrus.NewEntry(logger))
		reload := func() *nodeconfig.Settings {
			signals <- syscall.SIGHUP
			return <-reloaded
		}
		write("127.0.0.1:1\"", "127.0.0.1:2\"")
		Expect(reload().Cloud.Address).To(Equal("127.0.0.1:2"))
		Expect(lines.AllEntries()).To(BeEmpty(), "this field is applied")
		write("DrainMs: 3000", "DrainMs: 4000")
		reload()
		reload()
		Expect(lines.AllEntries()).To(HaveLen(1))
		Expect(lines.LastEntry().Message).To(Equal("settings changed: restart to apply"))
		Expect(lines.LastEntry().Data["fields"]).To(Equal([]string{"Bounds.DrainMs"}))
		write("Zone: z\nInternalPortRange: [7720, 7735]\nBounds: {DrainMs: 3000}", "Zone: y\nInternalPortRange: [7720, 7735]\nBounds: {DrainMs: 4000}")
		reload()
		Expect(lines.LastEntry().Data["fields"]).To(Equal([]string{"Zone", "Bounds.DrainMs"}))
		write("", "")
		reload()
		Expect(lines.AllEntries()).To(HaveLen(2), "the file is again what the process runs with")
	})

	It("to another address of the platform takes effect in processes that run", func() {
		f := startFleet()
		Eventually(func() int { return f.put(0, 1, 0, "2000") }, waitTimeout).Should(Equal(http.StatusOK))
		Eventually(f.request, waitTimeout).Should(Equal("200 hello"))
		f.startPlatformWith("i-2", "of the other server")
		for name, process := range f.running {
			f.writeSettings(name, false)
			Expect(process.Process.Signal(syscall.SIGHUP)).To(Succeed())
		}
		Eventually(f.request, waitTimeout).Should(Equal("200 of the other server"))
	})
})
