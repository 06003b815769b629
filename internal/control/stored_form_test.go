package control

import (
	"context"
	"flag"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/nodeconfig"
)

// update rewrites the golden files. Use it only for a new form: disks of older versions must stay readable.
var update = flag.Bool("update", false, "write the golden files anew")

// storedFolder holds the files of a disk in version 1 of the format; see writeStoredFolder.
var storedFolder = filepath.Join("testdata", "stored")

// openStoredReplica opens the replica of a founder on a folder.
func openStoredReplica(dir string) *replica {
	settings, err := nodeconfig.Parse([]byte("NodeId: c0\nIp: 127.0.5.10\nZone: z\nBootstrap: true\nInternalPortRange: [20000, 20015]\nSeeds:\n" +
		"  - 127.0.5.10:20020\n  - 127.0.5.11:20020\n  - 127.0.5.12:20020\nFaultTolerance: {Machines: 1}\nBounds: {GraceS: 4}\n" +
		"Cloud: {Address: \"127.0.0.1:1\"}\nListen: {Control: \"127.0.5.10:20020\"}\n"))
	Expect(err).NotTo(HaveOccurred())
	settings.DataDir = dir
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	opened, err := openReplica(settings, logrus.NewEntry(log))
	Expect(err).NotTo(HaveOccurred())
	return opened
}

func storedBallot(round uint64) register.Ballot {
	return register.Ballot{Number: round, Proposer: "c1/00000000000000aa"}
}

// storedValue returns the value after a number of configurations. From the third one on a reconfiguration is in progress.
func storedValue(configs int) register.Value {
	founder := func(ip string) register.Voter {
		return register.Voter{ID: "founder@" + ip + ":20000", Address: ip + ":20000"}
	}
	value := register.Value{Epoch: 1, Voters: []register.Voter{founder("127.0.5.10"), founder("127.0.5.11"), founder("127.0.5.12")}}
	for version := 1; version <= configs; version++ {
		value.ConfigVersion, value.ConfigDigest = uint64(version), register.DigestOf(testConfig(version, 0))
		value.AcceptedChanges = append(value.AcceptedChanges, value.ConfigDigest)
		value.Grants = []register.Grant{{Role: "stages", Holder: "c1", Token: uint64(version)}, {Role: "other", Holder: "c2", Token: 70000}}
	}
	if configs >= 3 {
		value.Epoch, value.OutgoingVoters = 2, value.Voters
		value.Voters = []register.Voter{founder("127.0.5.10"), founder("127.0.5.11"), {ID: "127.0.5.13:20000#0102030405060708", Address: "127.0.5.13:20000"}}
	}
	return value
}

// writeStoredFolder writes the files of a disk. A first process accepts two configurations. A second one writes a snapshot, accepts a third
// configuration with a reconfiguration in progress and promises two higher ballots; the record of the last one is torn.
func writeStoredFolder(dir string) {
	ctx := context.Background()
	accept := func(r *replica, version int) {
		reply, err := r.handleAccept(ctx, &register.AcceptRequest{To: r.state().ID, Ballot: storedBallot(uint64(100 * version)), Value: storedValue(version),
			ConfigData: testConfig(version, 0)})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.OK).To(BeTrue())
	}
	prepare := func(r *replica, round uint64) {
		reply, err := r.handlePrepare(ctx, &register.PrepareRequest{To: r.state().ID, Ballot: storedBallot(round)})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.OK).To(BeTrue())
	}
	first := openStoredReplica(dir)
	Expect(first.persistIdentity(ctx)).To(Succeed())
	accept(first, 1)
	accept(first, 2)
	Expect(first.store.Close()).To(Succeed())
	second := openStoredReplica(dir)
	Expect(second.persistIdentity(ctx)).To(Succeed())
	accept(second, 3)
	prepare(second, 400)
	prepare(second, 500)
	Expect(second.store.Close()).To(Succeed())
	segments, err := filepath.Glob(filepath.Join(dir, "*.seg"))
	Expect(err).NotTo(HaveOccurred())
	Expect(segments).To(HaveLen(1))
	info, err := os.Stat(segments[0])
	Expect(err).NotTo(HaveOccurred())
	Expect(os.Truncate(segments[0], info.Size()-3)).To(Succeed())
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

var _ = Describe("the stored form of the register", func() {
	It("is written to the same bytes", func() {
		if *update {
			Expect(os.RemoveAll(storedFolder)).To(Succeed())
			writeStoredFolder(storedFolder)
		}
		dir := GinkgoT().TempDir()
		writeStoredFolder(dir)
		Expect(folderContent(dir)).To(Equal(folderContent(storedFolder)))
	})

	It("is read up to the torn end: configurations, a reconfiguration in progress and grants", func() {
		dir := GinkgoT().TempDir()
		Expect(os.CopyFS(dir, os.DirFS(storedFolder))).To(Succeed())
		r := openStoredReplica(dir)
		want := register.State{ID: "founder@127.0.5.10:20000", Promised: storedBallot(400), Accepted: storedBallot(300), Value: storedValue(3)}
		Expect(r.hadState).To(BeTrue())
		Expect(r.state()).To(Equal(want))
		for version := 2; version <= 3; version++ {
			Expect(r.configBytes(register.DigestOf(testConfig(version, 0)))).To(Equal(testConfig(version, 0)))
		}
		Expect(r.configBytes(register.DigestOf(testConfig(1, 0)))).To(BeNil(), "the two newest are kept")
		Expect(r.persistIdentity(context.Background())).To(Succeed())
		Expect(r.store.Close()).To(Succeed())
		again := openStoredReplica(dir)
		Expect(again.state()).To(Equal(want))
	})
})
