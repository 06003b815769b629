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

type reportRequest struct {
	Round uint64 `msgpack:"r"`
}

// reportResponse is how the requests of some members have fared.
type reportResponse struct {
	Round   uint64        `msgpack:"r"`
	Members []swim.ID     `msgpack:"f"`
	Classes []classCounts `msgpack:"c,omitempty"` // by name
}

type classCounts struct {
	Class         string  `msgpack:"c"`
	Served        uint64  `msgpack:"s,omitempty"`
	Throttled     uint64  `msgpack:"t,omitempty"`
	Failed        uint64  `msgpack:"f,omitempty"`
	Abandoned     uint64  `msgpack:"a,omitempty"`
	RatePerSecond float64 `msgpack:"p,omitempty"` // requests that have ended, a second, of all members together
	Latencies     []byte  `msgpack:"h,omitempty"` // counts of sidecar.NewTimes, packed

	latencyCounts []int64
}

var errMalformedResponse = errors.New("the counts of an answer make no sense")

// encodeCounts returns counts as pairs of a distance and a count: most are 0.
func encodeCounts(counts []int64) (b []byte) {
	last := 0
	for i, n := range counts {
		if n > 0 {
			b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(i-last)), uint64(n))
			last = i
		}
	}
	return b
}

// addCounts adds packed counts to others.
func addCounts(b []byte, to []int64) error {
	for at := uint64(0); len(b) > 0; {
		by, n := binary.Uvarint(b)
		if n <= 0 {
			return errMalformedResponse
		}
		count, m := binary.Uvarint(b[n:])
		if at += by; m <= 0 || by >= uint64(len(to)) || at >= uint64(len(to)) || count > 1<<40 {
			return errMalformedResponse
		}
		to[at] += int64(count)
		b = b[n+m:]
	}
	return nil
}

// merge sums another answer of the same round into one.
func (a *reportResponse) merge(b *reportResponse) error {
	if len(b.Members) > maxReporters || len(b.Classes) > maxClasses {
		return errMalformedResponse
	}
	for i := range b.Classes {
		c := &b.Classes[i]
		if len(c.Class) > 64 || math.IsNaN(c.RatePerSecond) || math.IsInf(c.RatePerSecond, 0) {
			return errMalformedResponse
		}
		at, found := slices.BinarySearchFunc(a.Classes, c.Class, func(c classCounts, name string) int {
			switch {
			case c.Class < name:
				return -1
			case c.Class > name:
				return 1
			}
			return 0
		})
		if !found {
			if len(a.Classes) >= maxClasses {
				return errMalformedResponse
			}
			a.Classes = slices.Insert(a.Classes, at, classCounts{Class: c.Class, latencyCounts: make([]int64, len(emptyHistogram().Counts))})
		}
		to := &a.Classes[at]
		if err := addCounts(c.Latencies, to.latencyCounts); err != nil {
			return err
		}
		to.Served, to.Throttled, to.Failed, to.Abandoned = to.Served+c.Served, to.Throttled+c.Throttled, to.Failed+c.Failed, to.Abandoned+c.Abandoned
		to.RatePerSecond += c.RatePerSecond
	}
	for _, id := range b.Members {
		if i, found := slices.BinarySearch(a.Members, id); !found {
			a.Members = slices.Insert(a.Members, i, id)
		}
	}
	return nil
}

// emptyHistogram is made once it is asked for: where there is no report it takes no room.
var emptyHistogram = sync.OnceValue(func() *hdrhistogram.Snapshot { return sidecar.NewTimes().Export() })

func (a *reportResponse) hasMember(id swim.ID) bool {
	_, found := slices.BinarySearch(a.Members, id)
	return found
}
