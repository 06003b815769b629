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
	errFull = errors.New("no space left")
	// errPower ends everything at a loss of power.
	errPower = errors.New("power lost")
)

// simFile is a file of a simulated disk.
type simFile struct {
	disk    *simDisk
	content []byte
	synced  []byte
	pending []func(content []byte, torn bool) []byte // writes since the last sync
	name    string
}

// simDisk is a disk that forgets at a loss of power what was not synced: each name and each write by itself.
type simDisk struct {
	rng     *rand.Rand
	live    map[string]*simFile
	durable map[string]*simFile
	full    bool
	steps   int // until power is lost
}

func newSimDisk(rng *rand.Rand) *simDisk {
	return &simDisk{rng: rng, live: map[string]*simFile{}, durable: map[string]*simFile{}}
}

// step counts what is done to the disk. The process is over once power is lost.
func (d *simDisk) step() {
	if d.steps--; d.steps == 0 {
		panic(errPower)
	}
}

// losePower leaves what was synced and, of all else, each part or not.
func (d *simDisk) losePower() {
	nothing := d.rng.IntN(4) == 0 // at some losses of power none of it remains
	names := map[string]*simFile{}
	for _, name := range slices.Sorted(maps.Keys(d.names())) {
		kept := d.durable[name]
		if !nothing && d.rng.IntN(2) == 0 {
			kept = d.live[name]
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
		names[name] = &simFile{disk: d, name: name, content: content, synced: slices.Clone(content)}
	}
	d.live, d.durable, d.full = names, maps.Clone(names), false
}

func (d *simDisk) names() map[string]bool {
	names := map[string]bool{}
	for name := range d.live {
		names[name] = true
	}
	for name := range d.durable {
		names[name] = true
	}
	return names
}

func (d *simDisk) path(name string) string { return name }

func (d *simDisk) list() ([]string, error) { return slices.Sorted(maps.Keys(d.live)), nil }

type closer struct{ *bytes.Reader }

func (closer) Close() error { return nil }

func (d *simDisk) open(name string) (io.ReadSeekCloser, error) {
	file := d.live[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return closer{bytes.NewReader(file.content)}, nil
}

func (d *simDisk) create(name string) (writableFile, error) {
	d.step()
	if d.full {
		return nil, errFull
	}
	file := &simFile{disk: d, name: name}
	if old := d.live[name]; old != nil { // the file of that name is emptied; what it was may come back
		file.synced = old.synced
		file.pending = append(slices.Clone(old.pending), func([]byte, bool) []byte { return nil })
	}
	d.live[name] = file
	return file, nil
}

func (d *simDisk) rename(from, to string) error {
	d.step()
	file := d.live[from]
	if file == nil {
		return fs.ErrNotExist
	}
	delete(d.live, from)
	d.live[to], file.name = file, to
	return nil
}

func (d *simDisk) remove(name string) error {
	d.step()
	if d.live[name] == nil {
		return fs.ErrNotExist
	}
	delete(d.live, name)
	return nil
}

func (d *simDisk) sync() error {
	d.step()
	d.durable = maps.Clone(d.live)
	return nil
}

func (f *simFile) WriteAt(data []byte, at int64) (int, error) {
	f.disk.step()
	if f.disk.full { // a part may go out
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
		return len(data), errFull
	}
	return len(data), nil
}

func (f *simFile) Truncate(size int64) error {
	f.disk.step()
	if f.disk.full && f.disk.rng.IntN(2) == 0 {
		return errFull
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

func (f *simFile) Sync() error {
	f.disk.step()
	if f.disk.full && f.disk.rng.IntN(3) == 0 {
		return errFull
	}
	f.synced, f.pending = slices.Clone(f.content), nil
	if f.disk.live[f.name] == f {
		f.disk.durable[f.name] = f
	}
	return nil
}

func (f *simFile) Close() error { return nil }

// diskPlay is a store that is written to through losses of power.
type diskPlay struct {
	rng     *rand.Rand
	disk    *simDisk
	entries []string // that are there or, behind the acknowledged ones, may be there
	acked   int
	next    int
}

// life opens the store, writes until power is lost and checks what is found in the end.
func (p *diskPlay) life() (fault string) {
	s, records, damage, err := openFolder(p.disk)
	if err != nil {
		return err.Error()
	}
	for _, place := range damage {
		if !place.TornTail {
			return "damage that is no torn end: " + place.String()
		}
	}
	if fault := p.check(records); fault != "" {
		return fault
	}
	p.disk.steps = 1 + p.rng.IntN(60)
	defer func() {
		p.disk.steps = 0
		if met := recover(); met != nil && met != errPower {
			panic(met)
		}
		p.disk.losePower()
	}()
	for {
		p.disk.full = p.rng.IntN(5) == 0
		if p.rng.IntN(4) == 0 {
			_ = s.Snapshot(p.records()...) // what fails leaves what was there
			continue
		}
		p.next++
		text := strconv.Itoa(p.next)
		p.entries = append(p.entries, text)
		if s.Append(Record{1, []byte("bytes of " + text)}, Record{2, []byte(text)}) == nil {
			p.acked = len(p.entries)
		} else {
			p.entries = append(p.entries[:len(p.entries)-1:len(p.entries)-1], "?"+text)
		}
	}
}

// records are what a snapshot holds: what was acknowledged.
func (p *diskPlay) records() (records []Record) {
	for _, text := range p.entries {
		if text[0] != '?' {
			records = append(records, Record{2, []byte(text)})
		}
	}
	return records
}

// check looks whether all that was acknowledged is found, in order, and nothing that was never written.
func (p *diskPlay) check(records []Record) string {
	var found []string
	for _, record := range records {
		if record.Kind == 2 {
			found = append(found, string(record.Data))
		}
	}
	kept := make([]string, 0, len(found))
	at := 0
	for i, text := range p.entries {
		sure := text[0] != '?' && i < p.acked
		if text[0] == '?' {
			text = text[1:]
		}
		switch {
		case at < len(found) && found[at] == text:
			at++
			kept = append(kept, text)
		case sure:
			return fmt.Sprintf("%s was acknowledged and is lost: found %v of %v", text, found, p.entries)
		}
	}
	if at < len(found) {
		return fmt.Sprintf("%s was not written there: found %v of %v", found[at], found, p.entries)
	}
	p.entries, p.acked = kept, len(kept)
	return ""
}

// diskSeeds is how many histories are played; STORE_SEEDS asks for more.
func diskSeeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("STORE_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 1500
}

var _ = Describe("a store on a disk that loses power at any step", func() {
	It("holds what was acknowledged, and calls nothing damaged", func() {
		for seed := range diskSeeds() {
			rng := rand.New(rand.NewPCG(seed, 5))
			p := &diskPlay{rng: rng, disk: newSimDisk(rng)}
			for range 12 {
				Expect(p.life()).To(BeEmpty(), "seed %d", seed)
			}
		}
	})
})
