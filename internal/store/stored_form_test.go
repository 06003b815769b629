package store_test

import (
	"flag"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/store"
)

// update rewrites the golden folders. Use it only for a new format version: folders of this version must stay readable.
var update = flag.Bool("update", false, "write the golden files anew")

// writeSegments writes two segments: the first one has a torn end, the second one records it.
func writeSegments(dir string) {
	s, _, _, err := store.Open(dir)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Append(store.Record{Kind: 1, Data: []byte("first")})).To(Succeed())
	Expect(s.Append(store.Record{Kind: 2, Data: []byte("configuration")}, store.Record{Kind: 1, Data: []byte("second")})).To(Succeed())
	Expect(s.Append(store.Record{Kind: 1, Data: []byte("torn")})).To(Succeed())
	Expect(s.Close()).To(Succeed())
	path := filepath.Join(dir, "0000000000000001.seg")
	info, err := os.Stat(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.Truncate(path, info.Size()-2)).To(Succeed())
	s, _, _, err = store.Open(dir)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Append(store.Record{Kind: 3, Data: nil}, store.Record{Kind: 1, Data: []byte("third")})).To(Succeed())
	Expect(s.Close()).To(Succeed())
}

// writeSnapshot writes a snapshot, a segment after it and the temporary file of an unfinished snapshot.
func writeSnapshot(dir string) {
	s, _, _, err := store.Open(dir)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Append(store.Record{Kind: 1, Data: []byte("replaced")})).To(Succeed())
	Expect(s.Snapshot(store.Record{Kind: 2, Data: []byte("configuration")}, store.Record{Kind: 1, Data: []byte("state")})).To(Succeed())
	Expect(s.Append(store.Record{Kind: 1, Data: []byte("after")})).To(Succeed())
	Expect(s.Close()).To(Succeed())
	Expect(os.WriteFile(filepath.Join(dir, "0000000000000009.snap.tmp"), []byte("half"), 0o600)).To(Succeed())
}

// folderContent returns the bytes of a folder's files by name.
func folderContent(dir string) map[string]string {
	entries, err := os.ReadDir(dir)
	Expect(err).NotTo(HaveOccurred())
	files := map[string]string{}
	for _, entry := range entries {
		data, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		Expect(err).NotTo(HaveOccurred())
		files[entry.Name()] = string(data)
	}
	return files
}

var _ = Describe("the stored form", func() {
	DescribeTable("is written to the same bytes, and can be read", func(folder string, write func(dir string), newest uint64, want ...store.Record) {
		path := filepath.Join("testdata", folder)
		if *update {
			Expect(os.RemoveAll(path)).To(Succeed())
			write(path)
		}
		dir := GinkgoT().TempDir()
		write(dir)
		Expect(folderContent(dir)).To(Equal(folderContent(path)))
		records, corruptions, last, err := store.Read(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(corruptions).To(BeEmpty())
		Expect(last).To(Equal(newest))
		Expect(records).To(Equal(want))
	},
		Entry("segments with a torn end", "segments", writeSegments, uint64(2),
			store.Record{Kind: 1, Data: []byte("first")}, store.Record{Kind: 2, Data: []byte("configuration")},
			store.Record{Kind: 1, Data: []byte("second")}, store.Record{Kind: 3, Data: []byte{}}, store.Record{Kind: 1, Data: []byte("third")}),
		Entry("a snapshot with a segment after it", "snapshot", writeSnapshot, uint64(3),
			store.Record{Kind: 2, Data: []byte("configuration")}, store.Record{Kind: 1, Data: []byte("state")},
			store.Record{Kind: 1, Data: []byte("after")}))
})
