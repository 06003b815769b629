// Package simulatorwire reads and writes the simulator's frames. It decides nothing.
package simulatorwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"hazelwheel/internal/sidecarconfig"
	"hazelwheel/policy"
)

// Codes of the event records.
const (
	Configure   = 1000
	Targets     = 1010
	Inbound     = 1020
	Streaming   = 1030
	Returned    = 1040
	Aborted     = 1050
	DeadlineHit = 1060
	StatusBack  = 1070
	PeerData    = 1080
	Shutdown    = 1090
	Table       = 1100
)

// Codes of the action records.
const (
	dispatch      = 1000
	lose          = 1010
	check         = 1020
	shutIdle      = 1070
	undoSend      = 1030
	observe       = 1040
	deferWake     = 1050
	broken        = 1080
	overloadReply = 1090
	writeLog      = 1100
)

const (
	batchHead  = 16
	replyHead  = 8
	eventSize  = 48
	actionSize = 24
	entrySize  = 22
	pages      = 16
	// readStep bounds the memory taken ahead of the bytes that have really arrived.
	readStep = 1 << 20
)

var le = binary.LittleEndian

// Batch is one frame of events.
type Batch struct {
	Now     float64
	Count   int
	records []byte
	tail    []byte
}

// Record is one event record of a batch.
type Record []byte

// Code returns the record's event code.
func (r Record) Code() int { return int(le.Uint16(r)) }

// Instance returns the instance that the event belongs to; a Table has none.
func (r Record) Instance() uint32 { return le.Uint32(r[2:]) }

// Reader reads batches from a stream.
type Reader struct {
	in  io.Reader
	buf []byte
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Next reads one batch. The batch is valid until the next call. A clean end of input is io.EOF.
func (r *Reader) Next() (Batch, error) {
	var head [batchHead]byte
	if _, err := io.ReadFull(r.in, head[:]); err != nil {
		if err == io.EOF {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("frame header: %w", err)
	}
	size, count := int(le.Uint32(head[:])), int(le.Uint32(head[12:]))
	if count > size/eventSize {
		return Batch{}, fmt.Errorf("frame claims %d records in %d bytes", count, size)
	}
	now := float(head[4:])
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return Batch{}, errors.New("frame clock is not a number")
	}
	if err := r.fill(size); err != nil {
		return Batch{}, fmt.Errorf("frame of %d bytes: %w", size, err)
	}
	recordBytes := count * eventSize
	return Batch{Now: now, Count: count, records: r.buf[:recordBytes], tail: r.buf[recordBytes:]}, nil
}

// fill reads size bytes, taking memory only as bytes arrive.
func (r *Reader) fill(size int) error {
	r.buf = r.buf[:0]
	for len(r.buf) < size {
		step := min(size-len(r.buf), max(readStep, len(r.buf)))
		from := len(r.buf)
		if cap(r.buf) < from+step {
			grown := make([]byte, from, from+step)
			copy(grown, r.buf)
			r.buf = grown
		}
		r.buf = r.buf[:from+step]
		if _, err := io.ReadFull(r.in, r.buf[from:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// Record returns the record with number i.
func (b Batch) Record(i int) Record { return Record(b.records[i*eventSize : (i+1)*eventSize]) }

// slice returns n units of the given size of the tail.
func (b Batch) slice(field []byte, unit int) ([]byte, error) {
	from, n := uint64(le.Uint32(field)), uint64(le.Uint32(field[4:]))*uint64(unit)
	if from+n > uint64(len(b.tail)) {
		return nil, fmt.Errorf("tail of %d bytes has no %d bytes at %d", len(b.tail), n, from)
	}
	return b.tail[from : from+n], nil
}

// Tables holds the numbered lists of hosts of a process.
type Tables [pages][]policy.HostInfo

// Set takes the list of a Table record.
func (t *Tables) Set(b Batch, r Record) error {
	page := int(le.Uint16(r[2:]))
	if page >= pages {
		return fmt.Errorf("table %d: numbers go to %d", page, pages-1)
	}
	raw, err := b.slice(r[4:], entrySize)
	if err != nil {
		return fmt.Errorf("table %d: %w", page, err)
	}
	list := make([]policy.HostInfo, 0, len(raw)/entrySize)
	for ; len(raw) > 0; raw = raw[entrySize:] {
		state := raw[9]
		if state > 2 {
			return fmt.Errorf("table %d: unknown host state %d", page, state)
		}
		list = append(list, policy.HostInfo{
			ID: le.Uint32(raw), Zone: int(le.Uint16(raw[4:])), Kind: int(raw[6]), Cell: int(le.Uint16(raw[7:])),
			State: policy.HostState(state), Size: float64(math.Float32frombits(le.Uint32(raw[10:]))),
			Started: float(raw[14:]),
		})
	}
	t[page] = list
	return nil
}

// DecodeConfigure reads a Configure record.
func DecodeConfigure(b Batch, r Record) (seed uint64, s policy.Settings, err error) {
	raw, err := b.slice(r[14:], 1)
	if err != nil {
		return 0, s, fmt.Errorf("settings: %w", err)
	}
	settings, err := sidecarconfig.ParseSettings(raw)
	return le.Uint64(r[6:]), settings.Policy, err
}

var listKinds = [...]policy.ListKind{policy.ListFull, policy.ListDelta, policy.ListFailed, policy.ListCached}

// DecodeTargets reads a Targets record; the list it names is looked up in t.
func DecodeTargets(t *Tables, r Record) (policy.ListKind, []policy.HostInfo, error) {
	how := int(r[8])
	if how >= len(listKinds) {
		return 0, nil, fmt.Errorf("unknown list kind %d", how)
	}
	kind := listKinds[how]
	if kind == policy.ListFailed {
		return kind, nil, nil
	}
	page := int(le.Uint16(r[6:]))
	if page >= pages {
		return 0, nil, fmt.Errorf("targets name table %d: numbers go to %d", page, pages-1)
	}
	return kind, t[page], nil
}

// DecodeInbound reads an Inbound record.
func DecodeInbound(r Record) policy.Request {
	flags := r[40]
	return policy.Request{
		ID: le.Uint32(r[6:]), Class: int(le.Uint16(r[10:])), Tenant: int(le.Uint32(r[12:])),
		Key: le.Uint64(r[16:]), Deadline: float(r[24:]), WorkSeconds: float(r[32:]),
		HasWork: flags&1 != 0, Repeat: flags&2 != 0,
	}
}

// DecodeRef reads the request of an Aborted or Streaming record.
func DecodeRef(r Record) uint32 { return le.Uint32(r[6:]) }

// DecodeReturned reads a Returned record.
func DecodeReturned(r Record) (policy.Result, error) {
	outcome, err := outcomeOf(le.Uint16(r[16:]))
	return policy.Result{
		ID: le.Uint32(r[6:]), Attempt: int(le.Uint16(r[10:])), Host: le.Uint32(r[12:]), Outcome: outcome,
		DelaySeconds: float(r[18:]), Final: r[26] != 0, Report: report(r[27:]),
	}, err
}

// DecodeStatusBack reads the result of a probe.
func DecodeStatusBack(r Record) (policy.Result, error) {
	outcome, err := outcomeOf(le.Uint16(r[6:]))
	return policy.Result{
		Host: le.Uint32(r[8:]), Outcome: outcome, DelaySeconds: float(r[12:]), Report: report(r[20:]),
	}, err
}

func float(b []byte) float64 { return math.Float64frombits(le.Uint64(b)) }

func report(b []byte) policy.Report {
	p := policy.Report{N: min(int(b[0]), 4)}
	for i := range p.N {
		p.Values[i] = math.Float32frombits(le.Uint32(b[1+4*i:]))
	}
	return p
}

func outcomeOf(code uint16) (policy.Outcome, error) {
	if code < 10 || code > 80 || code%10 != 0 {
		return 0, fmt.Errorf("unknown outcome %d", code)
	}
	return policy.Outcome(code/10 - 1), nil
}
