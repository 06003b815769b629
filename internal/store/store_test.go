package store_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/store"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "store")
}

func record(text string) store.Record { return store.Record{Kind: 1, Data: []byte(text)} }

func texts(records []store.Record) (out []string) {
	for _, r := range records {
		out = append(out, string(r.Data))
	}
	return out
}

var _ = Describe("a store", func() {
	var dir string
	BeforeEach(func() { dir = GinkgoT().TempDir() })

	open := func() (*store.Store, []string, []store.Corruption) {
		s, records, corruptions, err := store.Open(dir)
		Expect(err).NotTo(HaveOccurred())
		return s, texts(records), corruptions
	}
	segments := func() []string {
		found, err := filepath.Glob(filepath.Join(dir, "*.seg"))
		Expect(err).NotTo(HaveOccurred())
		return found
	}

	It("returns what was appended before each restart", func() {
		for restart := range 3 {
			s, found, corruptions := open()
			Expect(found).To(HaveLen(restart))
			Expect(corruptions).To(BeEmpty())
			Expect(s.Append(record(fmt.Sprint(restart)))).To(Succeed())
			Expect(s.Close()).To(Succeed())
		}
	})

	It("is readable only by the user of its process, since it may hold credentials", func() {
		dir := filepath.Join(GinkgoT().TempDir(), "store")
		opened, _, _, err := store.Open(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(opened.Append(record("a"))).To(Succeed())
		Expect(opened.Close()).To(Succeed())
		entries, err := os.ReadDir(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).NotTo(BeEmpty())
		for _, entry := range entries {
			info, err := entry.Info()
			Expect(err).NotTo(HaveOccurred())
			Expect(info.Mode().Perm()).To(BeEquivalentTo(0o600), entry.Name())
		}
		info, err := os.Stat(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(info.Mode().Perm()).To(BeEquivalentTo(0o700))
	})

	It("returns a snapshot and what follows it, and removes older files", func() {
		s, _, _ := open()
		Expect(s.Append(record("a"), record("b"))).To(Succeed())
		Expect(s.Snapshot(record("ab"))).To(Succeed())
		Expect(segments()).To(BeEmpty())
		Expect(s.Append(record("c"))).To(Succeed())
		_, found, _ := open()
		Expect(found).To(Equal([]string{"ab", "c"}))
	})

	It("drops a torn end, wherever it is torn", func() {
		s, _, _ := open()
		Expect(s.Append(record("first"))).To(Succeed())
		whole, err := os.ReadFile(segments()[0])
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Append(record("second"))).To(Succeed())
		both, err := os.ReadFile(segments()[0])
		Expect(err).NotTo(HaveOccurred())
		for cut := len(whole) + 1; cut < len(both); cut++ {
			Expect(os.WriteFile(segments()[0], both[:cut], 0o644)).To(Succeed())
			records, corruptions, _, err := store.Read(dir)
			Expect(err).NotTo(HaveOccurred())
			Expect(texts(records)).To(Equal([]string{"first"}), "cut at %d", cut)
			Expect(corruptions).To(HaveLen(1))
			Expect(corruptions[0].TornTail).To(BeTrue())
		}
	})

	It("reports damage in the middle, and not as a torn end, before and after more is written", func() {
		s, _, _ := open()
		Expect(s.Append(record("first"))).To(Succeed())
		Expect(s.Append(record("second"))).To(Succeed())
		Expect(s.Close()).To(Succeed())
		path := segments()[0]
		data, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		for offset := 8; offset < 31; offset++ {
			damaged := slices.Clone(data)
			damaged[offset] ^= 1
			Expect(os.WriteFile(path, damaged, 0o644)).To(Succeed())
			_, corruptions, _, err := store.Read(dir)
			Expect(err).NotTo(HaveOccurred())
			Expect(corruptions).To(HaveLen(1), "byte %d", offset)
			Expect(corruptions[0].TornTail).To(BeFalse(), "byte %d", offset)
		}
		s, _, _ = open()
		Expect(s.Append(record("third"))).To(Succeed())
		_, corruptions, _, err := store.Read(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(corruptions).To(HaveLen(1))
		Expect(corruptions[0].TornTail).To(BeFalse())
		Expect(corruptions[0].File).To(Equal(path))
	})

	It("appends after a torn end, without a snapshot", func() {
		s, _, _ := open()
		Expect(s.Append(record("first"))).To(Succeed())
		Expect(s.Append(record("second"))).To(Succeed())
		Expect(s.Close()).To(Succeed())
		path := segments()[0]
		whole, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(path, whole[:len(whole)-1], 0o644)).To(Succeed())
		s, found, corruptions := open()
		Expect(found).To(Equal([]string{"first"}))
		Expect(corruptions).To(HaveLen(1))
		Expect(s.Append(record("third"))).To(Succeed())
		_, found, corruptions = open()
		Expect(found).To(Equal([]string{"first", "third"}))
		Expect(corruptions).To(BeEmpty())
	})

	It("keeps the records of one Append together", func() {
		s, _, _ := open()
		Expect(s.Append(record("first"))).To(Succeed())
		Expect(s.Append(record("bytes"), record("state"))).To(Succeed())
		whole, err := os.ReadFile(segments()[0])
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(segments()[0], whole[:len(whole)-len("state")], 0o644)).To(Succeed())
		_, found, _ := open()
		Expect(found).To(Equal([]string{"first"}))
	})

	It("detects a file that was damaged after it was written, and repairs it by a snapshot", func() {
		s, _, _ := open()
		Expect(s.Snapshot(record("a"))).To(Succeed())
		Expect(s.Append(record("b"))).To(Succeed())
		Expect(s.Verify()).To(BeNil())
		files, err := filepath.Glob(filepath.Join(dir, "*"))
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(2))
		for _, path := range files {
			data, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			data[len(data)-1] ^= 1
			Expect(os.WriteFile(path, data, 0o644)).To(Succeed())
			Expect(s.Verify()).NotTo(BeNil())
			Expect(s.Verify().File).To(Equal(path))
			data[len(data)-1] ^= 1
			Expect(os.WriteFile(path, data, 0o644)).To(Succeed())
		}
		data, err := os.ReadFile(files[0])
		Expect(err).NotTo(HaveOccurred())
		data[9] ^= 1
		Expect(os.WriteFile(files[0], data, 0o644)).To(Succeed())
		Expect(s.Snapshot(record("a"), record("b"))).To(Succeed())
		Expect(s.Verify()).To(BeNil())
		_, found, corruptions := open()
		Expect(found).To(Equal([]string{"a", "b"}))
		Expect(corruptions).To(BeEmpty())
	})

	It("ignores an unfinished snapshot", func() {
		s, _, _ := open()
		Expect(s.Append(record("a"))).To(Succeed())
		Expect(os.WriteFile(filepath.Join(dir, "0000000000000009.snap.tmp"), []byte("half"), 0o644)).To(Succeed())
		_, found, corruptions := open()
		Expect(found).To(Equal([]string{"a"}))
		Expect(corruptions).To(BeEmpty())
	})

	It("reports a failed write and appends again afterwards", func() {
		s, _, _ := open()
		Expect(s.Append(record("a"))).To(Succeed())
		Expect(s.Close()).To(Succeed()) // the next write fails, since the file is closed
		Expect(s.Append(record("b"))).NotTo(Succeed())
		Expect(s.Append(record("c"))).To(Succeed())
		_, found, _ := open()
		Expect(found).To(Equal([]string{"a", "c"}))
	})
})
