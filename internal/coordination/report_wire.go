package coordination

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/sidecar"
)

type question struct {
	Round uint64 `msgpack:"r"`
}

// answer is how the requests of some members have fared.
type answer struct {
	Round   uint64        `msgpack:"r"`
	From    []swim.ID     `msgpack:"f"`
	Classes []classAnswer `msgpack:"c,omitempty"` // by name
}

type classAnswer struct {
	Class     string  `msgpack:"c"`
	Served    uint64  `msgpack:"s,omitempty"`
	Throttled uint64  `msgpack:"t,omitempty"`
	Failed    uint64  `msgpack:"f,omitempty"`
	Abandoned uint64  `msgpack:"a,omitempty"`
	PerS      float64 `msgpack:"p,omitempty"` // requests that have ended, a second, of all members together
	Times     []byte  `msgpack:"h,omitempty"` // counts of sidecar.NewTimes, packed

	times []int64
}

var errAnswer = errors.New("the counts of an answer make no sense")

// packTimes returns counts as pairs of a distance and a count: most are 0.
func packTimes(counts []int64) (b []byte) {
	last := 0
	for i, n := range counts {
		if n > 0 {
			b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(i-last)), uint64(n))
			last = i
		}
	}
	return b
}

// unpackTimes adds packed counts to others.
func unpackTimes(b []byte, to []int64) error {
	for at := uint64(0); len(b) > 0; {
		by, n := binary.Uvarint(b)
		if n <= 0 {
			return errAnswer
		}
		count, m := binary.Uvarint(b[n:])
		if at += by; m <= 0 || by >= uint64(len(to)) || at >= uint64(len(to)) || count > 1<<40 {
			return errAnswer
		}
		to[at] += int64(count)
		b = b[n+m:]
	}
	return nil
}

// add sums another answer of the same round into one.
func (a *answer) add(b *answer) error {
	if len(b.From) > mostFrom || len(b.Classes) > mostClasses {
		return errAnswer
	}
	for i := range b.Classes {
		c := &b.Classes[i]
		if len(c.Class) > 64 || math.IsNaN(c.PerS) || math.IsInf(c.PerS, 0) {
			return errAnswer
		}
		at, found := slices.BinarySearchFunc(a.Classes, c.Class, func(c classAnswer, name string) int {
			switch {
			case c.Class < name:
				return -1
			case c.Class > name:
				return 1
			}
			return 0
		})
		if !found {
			if len(a.Classes) >= mostClasses {
				return errAnswer
			}
			a.Classes = slices.Insert(a.Classes, at, classAnswer{Class: c.Class, times: make([]int64, len(timesShape().Counts))})
		}
		to := &a.Classes[at]
		if err := unpackTimes(c.Times, to.times); err != nil {
			return err
		}
		to.Served, to.Throttled, to.Failed, to.Abandoned = to.Served+c.Served, to.Throttled+c.Throttled, to.Failed+c.Failed, to.Abandoned+c.Abandoned
		to.PerS += c.PerS
	}
	for _, id := range b.From {
		if i, found := slices.BinarySearch(a.From, id); !found {
			a.From = slices.Insert(a.From, i, id)
		}
	}
	return nil
}

// timesShape is made once it is asked for: where there is no report it takes no room.
var timesShape = sync.OnceValue(func() *hdrhistogram.Snapshot { return sidecar.NewTimes().Export() })

func (a *answer) has(id swim.ID) bool {
	_, found := slices.BinarySearch(a.From, id)
	return found
}
