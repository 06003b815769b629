package store

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var (
	errNoSpace = errors.New("no space left")
	// errPowerLoss is the panic that ends the simulated process.
	errPowerLoss = errors.New("power lost")
)

// simulatedFile is a file of a simulatedDisk.
type simulatedFile struct {
	disk    *simulatedDisk
	content []byte
	synced  []byte
	pending []func(content []byte, torn bool) []byte // writes and truncations since the last sync
	name    string
}

// simulatedDisk is a disk that may lose what was not synced when power is lost: each name and each write independently.
type simulatedDisk struct {
	rng     *rand.Rand
	visible map[string]*simulatedFile
	durable map[string]*simulatedFile
	full    bool
	steps   int // operations left until power is lost
}

func newSimulatedDisk(rng *rand.Rand) *simulatedDisk {
	return &simulatedDisk{rng: rng, visible: map[string]*simulatedFile{}, durable: map[string]*simulatedFile{}}
}

// step counts an operation on the disk, and panics when power is lost.
func (d *simulatedDisk) step() {
	if d.steps--; d.steps == 0 {
		panic(errPowerLoss)
	}
}

// losePower keeps everything that was synced, and each other name and write at random.
func (d *simulatedDisk) losePower() {
	nothing := d.rng.IntN(4) == 0 // in some cases nothing unsynced remains
	names := map[string]*simulatedFile{}
	for _, name := range slices.Sorted(maps.Keys(d.names())) {
		kept := d.durable[name]
		if !nothing && d.rng.IntN(2) == 0 {
			kept = d.visible[name]
		}
		if kept != nil {
			names[name] = kept
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		file := names[name]
		content := slices.Clone(file.synced)
		for _, write := range file.pending {
			if draw := d.rng.IntN(3); !nothing && draw > 0 {
				content = write(content, draw == 1)
			}
		}
		names[name] = &simulatedFile{disk: d, name: name, content: content, synced: slices.Clone(content)}
	}
	d.visible, d.durable, d.full = names, maps.Clone(names), false
}

func (d *simulatedDisk) names() map[string]bool {
	names := map[string]bool{}
	for name := range d.visible {
		names[name] = true
	}
	for name := range d.durable {
		names[name] = true
	}
	return names
}

func (d *simulatedDisk) path(name string) string { return name }

func (d *simulatedDisk) list() ([]string, error) { return slices.Sorted(maps.Keys(d.visible)), nil }

type nopCloser struct{ *bytes.Reader }

func (nopCloser) Close() error { return nil }

func (d *simulatedDisk) open(name string) (io.ReadSeekCloser, error) {
	file := d.visible[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return nopCloser{bytes.NewReader(file.content)}, nil
}

func (d *simulatedDisk) create(name string) (writableFile, error) {
	d.step()
	if d.full {
		return nil, errNoSpace
	}
	file := &simulatedFile{disk: d, name: name}
	if old := d.visible[name]; old != nil { // the old file is truncated; its content may reappear after a loss of power
		file.synced = old.synced
		file.pending = append(slices.Clone(old.pending), func([]byte, bool) []byte { return nil })
	}
	d.visible[name] = file
	return file, nil
}

func (d *simulatedDisk) rename(from, to string) error {
	d.step()
	file := d.visible[from]
	if file == nil {
		return fs.ErrNotExist
	}
	delete(d.visible, from)
	d.visible[to], file.name = file, to
	return nil
}

func (d *simulatedDisk) remove(name string) error {
	d.step()
	if d.visible[name] == nil {
		return fs.ErrNotExist
	}
	delete(d.visible, name)
	return nil
}

func (d *simulatedDisk) sync() error {
	d.step()
	d.durable = maps.Clone(d.visible)
	return nil
}

func (f *simulatedFile) WriteAt(data []byte, at int64) (int, error) {
	f.disk.step()
	if f.disk.full { // a part of the data may be written
		data = data[:f.disk.rng.IntN(len(data)+1)]
	}
	data = slices.Clone(data)
	write := func(content []byte, torn bool) []byte {
		part := data
		if torn && len(data) > 0 {
			part = data[:f.disk.rng.IntN(len(data))]
		}
		if end := int(at) + len(part); len(content) < end {
			content = append(content, make([]byte, end-len(content))...)
		}
		copy(content[at:], part)
		return content
	}
	f.content = write(f.content, false)
	f.pending = append(f.pending, write)
	if f.disk.full {
		return len(data), errNoSpace
	}
	return len(data), nil
}

func (f *simulatedFile) Truncate(size int64) error {
	f.disk.step()
	if f.disk.full && f.disk.rng.IntN(2) == 0 {
		return errNoSpace
	}
	cut := func(content []byte, torn bool) []byte {
		if torn || int64(len(content)) <= size {
			return content
		}
		return content[:size]
	}
	f.content = cut(f.content, false)
	f.pending = append(f.pending, cut)
	return nil
}

func (f *simulatedFile) Sync() error {
	f.disk.step()
	if f.disk.full && f.disk.rng.IntN(3) == 0 {
		return errNoSpace
	}
	f.synced, f.pending = slices.Clone(f.content), nil
	if f.disk.visible[f.name] == f {
		f.disk.durable[f.name] = f
	}
	return nil
}

func (f *simulatedFile) Close() error { return nil }

// crashHistory is a sequence of processes that write to one store, each ended by a loss of power.
type crashHistory struct {
	rng          *rand.Rand
	disk         *simulatedDisk
	entries      []string // appended entries; those whose Append failed, prefixed by "?", may be missing
	acknowledged int      // number of leading entries that must be found again, except those with "?"
	next         int      // text of the latest entry
}

// runUntilPowerLoss opens the store, checks what it returns and writes until power is lost. It returns a description of the first violated rule,
// or "" if there is none.
func (p *crashHistory) runUntilPowerLoss() (fault string) {
	s, records, corruptions, err := openFolder(p.disk)
	if err != nil {
		return err.Error()
	}
	for _, corruption := range corruptions {
		if !corruption.TornTail {
			return "corruption that is no torn end: " + corruption.String()
		}
	}
	if fault := p.checkRecords(records); fault != "" {
		return fault
	}
	p.disk.steps = 1 + p.rng.IntN(60)
	defer func() {
		p.disk.steps = 0
		if recovered := recover(); recovered != nil {
			if err, isError := recovered.(error); !isError || !errors.Is(err, errPowerLoss) {
				panic(recovered)
			}
		}
		p.disk.losePower()
	}()
	for {
		p.disk.full = p.rng.IntN(5) == 0
		if p.rng.IntN(4) == 0 {
			_ = s.Snapshot(p.snapshotRecords()...) // a failed snapshot leaves the earlier content
			continue
		}
		p.next++
		text := strconv.Itoa(p.next)
		p.entries = append(p.entries, text)
		if s.Append(Record{1, []byte("bytes of " + text)}, Record{2, []byte(text)}) == nil {
			p.acknowledged = len(p.entries)
		} else {
			p.entries = append(p.entries[:len(p.entries)-1:len(p.entries)-1], "?"+text)
		}
	}
}

// snapshotRecords returns the records of a snapshot: all acknowledged entries.
func (p *crashHistory) snapshotRecords() (records []Record) {
	for _, text := range p.entries {
		if text[0] != '?' {
			records = append(records, Record{2, []byte(text)})
		}
	}
	return records
}

// checkRecords checks that all acknowledged entries are found, in order, and nothing that was not written.
func (p *crashHistory) checkRecords(records []Record) string {
	var found []string
	for _, record := range records {
		if record.Kind == 2 {
			found = append(found, string(record.Data))
		}
	}
	kept := make([]string, 0, len(found))
	at := 0
	for i, text := range p.entries {
		mustExist := text[0] != '?' && i < p.acknowledged
		if text[0] == '?' {
			text = text[1:]
		}
		switch {
		case at < len(found) && found[at] == text:
			at++
			kept = append(kept, text)
		case mustExist:
			return fmt.Sprintf("acknowledged entry %s is lost: found %v of %v", text, found, p.entries)
		}
	}
	if at < len(found) {
		return fmt.Sprintf("entry %s is unexpected: found %v of %v", found[at], found, p.entries)
	}
	p.entries, p.acknowledged = kept, len(kept)
	return ""
}

// seedCount returns the number of simulated histories. The environment variable STORE_SEEDS overrides the default.
func seedCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("STORE_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 1500
}

var _ = Describe("a store on a disk that loses power at any step", func() {
	It("keeps what was acknowledged, and reports no corruption but torn ends", func() {
		for seed := range seedCount() {
			rng := rand.New(rand.NewPCG(seed, 5))
			p := &crashHistory{rng: rng, disk: newSimulatedDisk(rng)}
			for range 12 {
				Expect(p.runUntilPowerLoss()).To(BeEmpty(), "seed %d", seed)
			}
		}
	})
})
