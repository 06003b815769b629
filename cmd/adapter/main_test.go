package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"hazelwheel/internal/simulatorwire"
)

var le = binary.LittleEndian

// batch builds one frame of events.
type batch struct{ records, tail []byte }

func (b *batch) add(code uint16, instance uint32) []byte {
	at := len(b.records)
	b.records = append(b.records, make([]byte, 48)...)
	le.PutUint16(b.records[at:], code)
	le.PutUint32(b.records[at+2:], instance)
	return b.records[at:]
}

func (b *batch) configure(instance uint32, settings string) {
	r := b.add(simulatorwire.Configure, instance)
	le.PutUint32(r[14:], uint32(len(b.tail)))
	le.PutUint32(r[18:], uint32(len(settings)))
	b.tail = append(b.tail, settings...)
}

// hosts lists one ready host in a table and gives it to an instance as its cached list.
func (b *batch) hosts(instance uint32, page uint16, host uint32) {
	r := b.add(simulatorwire.Table, 0)
	le.PutUint16(r[2:], page)
	le.PutUint32(r[4:], uint32(len(b.tail)))
	le.PutUint32(r[8:], 1)
	entry := make([]byte, 22)
	le.PutUint32(entry, host)
	entry[9] = 1
	b.tail = append(b.tail, entry...)
	r = b.add(simulatorwire.Targets, instance)
	le.PutUint16(r[6:], page)
	r[8] = 3
}

func (b *batch) request(instance, id uint32, deadline float64) {
	r := b.add(simulatorwire.Inbound, instance)
	le.PutUint32(r[6:], id)
	le.PutUint64(r[24:], math.Float64bits(deadline))
}

func (b *batch) frame(now float64) []byte {
	out := le.AppendUint32(nil, uint32(len(b.records)+len(b.tail)))
	out = le.AppendUint64(out, math.Float64bits(now))
	out = le.AppendUint32(out, uint32(len(b.records)/48))
	return append(append(out, b.records...), b.tail...)
}

// actions returns the action records of all replies, as code and instance.
func actions(t *testing.T, out []byte) (list [][2]uint32, frames int) {
	t.Helper()
	for ; len(out) > 0; frames++ {
		size, count := int(le.Uint32(out)), int(le.Uint32(out[4:]))
		for i := range count {
			r := out[8+24*i:]
			list = append(list, [2]uint32{uint32(le.Uint16(r)), le.Uint32(r[2:])})
		}
		out = out[8+size:]
	}
	return list, frames
}

const settings = `{"classes": [{"name": "c", "effect": "free", "objectiveS": 0.3, "giveUpS": 1}],
	"limits": {"sendCap": 2, "maxRetryAfterS": 1}, "roundS": 0.001, "replicasOfMe": 1, "discovery": "pushed"}`

func sends(list [][2]uint32, instance uint32) int {
	n := 0
	for _, a := range list {
		if a == [2]uint32{1000, instance} {
			n++
		}
	}
	return n
}

func TestRun(t *testing.T) {
	var start, second batch
	start.configure(3, settings)
	start.hosts(3, 0, 7)
	start.configure(4, settings)
	start.hosts(4, 0, 8) // the same table number, with another list, in the same batch
	start.request(3, 1, 1)
	start.request(4, 1, 1)
	second.add(simulatorwire.Shutdown, 3)
	second.configure(3, settings)
	second.hosts(3, 5, 9)
	second.request(3, 2, 2)
	second.add(simulatorwire.Shutdown, 4)
	second.request(4, 2, 2) // nobody is there to take it
	in := append(append(start.frame(0.1), second.frame(0.2)...), (&batch{}).frame(0.3)...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	list, frames := actions(t, out.Bytes())
	if frames != 3 || sends(list, 3) != 2 || sends(list, 4) != 1 {
		t.Errorf("%d frames, actions %v", frames, list)
	}
}

func TestRunStopsOnMalformedInput(t *testing.T) {
	var good, unknown, odd batch
	good.configure(3, settings)
	unknown.configure(3, settings)
	unknown.add(9999, 3)
	odd.configure(3, "{")
	for name, in := range map[string][]byte{
		"truncated": good.frame(0)[:30], "unknown event": unknown.frame(0), "bad settings": odd.frame(0),
	} {
		if err := run(bytes.NewReader(in), &bytes.Buffer{}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestPanicIsReported(t *testing.T) {
	a := &adapter{}
	var b batch
	b.configure(3, settings) // the table of instances is missing: writing to it panics
	in, err := simulatorwire.NewReader(bytes.NewReader(b.frame(0))).Next()
	if err != nil {
		t.Fatal(err)
	}
	if err := a.handleBatch(in); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if _, err := a.reply.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	list, _ := actions(t, out.Bytes())
	if len(list) != 1 || list[0] != [2]uint32{1080, 3} || !strings.Contains(out.String(), "nil map") {
		t.Errorf("actions %v", list)
	}
}
