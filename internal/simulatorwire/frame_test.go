package simulatorwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"strings"
	"testing"

	"hazelwheel/policy"
)

func unhex(t *testing.T, lines ...string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(strings.Join(lines, ""), " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func zeros(n int) string { return strings.Repeat("00", n) }

// sample holds three events of two instances, worked by hand from the protocol page.
func sample(t *testing.T) []byte {
	return unhex(t, "90000000", "508d976e12d32040", "03000000",
		"fc03 03000000 c4913a5d 0000 00000000 640ad2557c3bf091 cba145b6f34d2140 fa7e6abc7493883f 01", zeros(7),
		"2404 03000000 4d00000000000000", zeros(34),
		"1a04 05000000 192b6f0e", zeros(38))
}

func TestNext(t *testing.T) {
	r := NewReader(bytes.NewReader(append(unhex(t, "00000000 508d976e12d32040 00000000"), sample(t)...)))
	empty, err := r.Next()
	if err != nil || empty.Count != 0 {
		t.Fatalf("empty batch: %d records, %v", empty.Count, err)
	}
	b, err := r.Next()
	if err != nil || b.Count != 3 || math.Abs(b.Now-8.412) > 0.001 {
		t.Fatalf("batch: %d records at %v, %v", b.Count, b.Now, err)
	}
	for i, want := range []struct {
		code     int
		instance uint32
	}{{Inbound, 3}, {DeadlineHit, 3}, {Aborted, 5}} {
		if rec := b.Record(i); rec.Code() != want.code || rec.Instance() != want.instance {
			t.Errorf("record %d: code %d of instance %d", i, rec.Code(), rec.Instance())
		}
	}
	q := DecodeInbound(b.Record(0))
	if q.ID != 0x5d3a91c4 || q.Key != 0x91f03b7c55d20a64 || !q.HasWork || q.Repeat {
		t.Errorf("request %+v", q)
	}
	if math.Abs(q.Deadline-8.6523) > 1e-3 || math.Abs(q.WorkSeconds-0.012) > 1e-3 {
		t.Errorf("request times %v %v", q.Deadline, q.WorkSeconds)
	}
	if DecodeRef(b.Record(2)) != 0x0e6f2b19 {
		t.Error("reference of the departed request")
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: %v", err)
	}
}

func TestMalformed(t *testing.T) {
	whole := sample(t)
	claims := bytes.Clone(whole)
	le.PutUint32(claims[12:], 1<<30)
	huge := bytes.Clone(whole)
	le.PutUint32(huge, math.MaxUint32)
	clock := bytes.Clone(whole)
	le.PutUint64(clock[4:], math.Float64bits(math.NaN()))
	for name, in := range map[string][]byte{
		"half a header": whole[:7], "half a frame": whole[:60], "more records than bytes": claims,
		"size beyond the input": huge, "clock not a number": clock,
	} {
		if _, err := NewReader(bytes.NewReader(in)).Next(); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// list is a batch with one table and a reference to it.
func list(t *testing.T) Batch {
	in := unhex(t, "8c000000", "508d976e12d32040", "02000000",
		"4c04 0000 00000000 02000000", zeros(36),
		"f203 03000000 0000 03 2900000000000000", zeros(31),
		"074a1203 0000 00 0000 01 0000803f 0000000000000000",
		"f211902c 0100 00 0000 01 0000c03f 6666666666661840")
	b, err := NewReader(bytes.NewReader(in)).Next()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestTables(t *testing.T) {
	b := list(t)
	var tables Tables
	if err := tables.Set(b, b.Record(0)); err != nil {
		t.Fatal(err)
	}
	kind, hosts, err := DecodeTargets(&tables, b.Record(1))
	if err != nil || kind != policy.ListCached || len(hosts) != 2 {
		t.Fatalf("kind %v, %d hosts, %v", kind, len(hosts), err)
	}
	want := policy.HostInfo{ID: 0x2c9011f2, Zone: 1, State: policy.Ready, Size: 1.5, Started: hosts[1].Started}
	if hosts[1] != want || math.Abs(want.Started-6.1) > 1e-9 {
		t.Errorf("second host %+v", hosts[1])
	}
	first := b.Record(0)
	le.PutUint32(first[8:], 3) // one entry more than the tail holds
	if tables.Set(b, first) == nil {
		t.Error("a list longer than the tail was taken")
	}
	le.PutUint16(first[2:], 16)
	if tables.Set(b, first) == nil {
		t.Error("table 16 was taken")
	}
}

func TestReturned(t *testing.T) {
	r := Record(unhex(t, "1004 03000000 c4913a5d 0200 074a1203 1e00 8b6ce7fba9f1923f 01",
		"02 0000803f 00000040 00000000 00000000", zeros(4)))
	res, err := DecodeReturned(r)
	want := policy.Result{ID: 0x5d3a91c4, Attempt: 2, Host: 0x03124a07, Outcome: policy.Rejected, DelaySeconds: res.DelaySeconds,
		Final: true, Report: policy.Report{N: 2, Values: [4]float32{1, 2}}}
	if err != nil || res != want || math.Abs(res.DelaySeconds-0.0185) > 1e-4 {
		t.Errorf("%+v, %v", res, err)
	}
	r[16] = 31
	if _, err := DecodeReturned(r); err == nil {
		t.Error("outcome 31 was taken")
	}
}

func TestReply(t *testing.T) {
	var p Reply
	a := Actions{Reply: &p, Instance: 3}
	a.Send(0x5d3a91c4, 0x03124a07)
	a.WakeAfter(0.5)
	(&Actions{Reply: &p, Instance: 5}).Log("two servers known")
	var out bytes.Buffer
	if _, err := p.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	want := unhex(t, "59000000 03000000",
		"e803 03000000 c4913a5d 074a1203", zeros(10),
		"1a04 03000000 000000000000e03f", zeros(10),
		"4c04 05000000 00000000 11000000", zeros(10),
		"74776f2073657276657273206b6e6f776e")
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply\n%x\nwant\n%x", out.Bytes(), want)
	}
	p.Reset()
	for i, act := range []func(){
		func() { a.Cancel(1, 2) }, func() { a.Probe(1) }, func() { a.Refuse(1, 2) }, func() { a.Fail(1) },
		func() { a.Watch() }, func() { p.Broken(3, "text") }, func() { a.CloseIdle(1) },
	} {
		act()
		code := le.Uint16(p.records[i*actionSize:])
		if want := []uint16{1030, 1020, 1090, 1010, 1040, 1080, 1070}[i]; code != want {
			t.Errorf("action %d has code %d, want %d", i, code, want)
		}
	}
}

func FuzzNext(f *testing.F) {
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{0xff}, 20))
	f.Add(append([]byte{48, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0x4c, 4}, make([]byte, 46)...))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in))
		var tables Tables
		for {
			b, err := r.Next()
			if err != nil {
				return
			}
			if b.Count*eventSize > len(in) {
				t.Fatalf("%d records from %d bytes", b.Count, len(in))
			}
			for i := range b.Count {
				rec := b.Record(i)
				_ = tables.Set(b, rec)
				_, _, _ = DecodeTargets(&tables, rec)
				_, _, _ = DecodeConfigure(b, rec)
				_, _ = DecodeReturned(rec)
				_, _ = DecodeStatusBack(rec)
			}
		}
	})
}
