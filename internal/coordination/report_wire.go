package coordination

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/sidecar"
)

// The messages of the role "report". The numbers are the wire form.
const (
	kindReportRequest  = 1 // reportRequest, from the holder to all
	kindReportResponse = 2 // reportResponse, over the link to the parent, towards the holder
	kindReport         = 3 // Report, from the holder to all
)

const (
	maxReporters      = 2000 // members in one response
	maxClasses        = 64   // in a response or report
	maxClassNameBytes = 64
	// maxLatencyCount limits the count of a histogram's bucket, so that sums of many counts do not overflow.
	maxLatencyCount = 1 << 40
)

// reportRequest asks all members for their statistics since the last request.
type reportRequest struct {
	Round uint64 `msgpack:"r"`
}

// reportResponse is the sum of the statistics of some members.
type reportResponse struct {
	Round   uint64        `msgpack:"r"`
	Members []swim.ID     `msgpack:"f"`           // sorted
	Classes []classCounts `msgpack:"c,omitempty"` // sorted by name
}

// classCounts are the statistics of a class of requests.
type classCounts struct {
	Class         string  `msgpack:"c"`
	Served        uint64  `msgpack:"s,omitempty"`
	Throttled     uint64  `msgpack:"t,omitempty"`
	Failed        uint64  `msgpack:"f,omitempty"`
	Abandoned     uint64  `msgpack:"a,omitempty"`
	RatePerSecond float64 `msgpack:"p,omitempty"` // of ended requests, summed over the members
	Latencies     []byte  `msgpack:"h,omitempty"` // latencyCounts as encodeCounts encodes them

	latencyCounts []int64 // of a histogram of sidecar.NewLatencyHistogram; not sent
}

// errMalformedResponse is the error for a response that is malformed or exceeds its bounds.
var errMalformedResponse = errors.New("malformed report response")

// emptyHistogram returns an empty histogram of sidecar.NewLatencyHistogram. It is created on first use, since it is large.
var emptyHistogram = sync.OnceValue(func() *hdrhistogram.Snapshot { return sidecar.NewLatencyHistogram().Export() })

// encodeCounts encodes the counts that are not 0. Each is a pair of varints: the distance of its index from that of the previous one,
// and the count.
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

// addCounts adds encoded counts to others. If it returns an error, the counts before the malformed one have been added.
func addCounts(b []byte, to []int64) error {
	for at := uint64(0); len(b) > 0; {
		distance, n := binary.Uvarint(b)
		if n <= 0 {
			return errMalformedResponse
		}
		count, m := binary.Uvarint(b[n:])
		if at += distance; m <= 0 || distance >= uint64(len(to)) || at >= uint64(len(to)) || count > maxLatencyCount {
			return errMalformedResponse
		}
		to[at] += int64(count)
		b = b[n+m:]
	}
	return nil
}

// merge adds another response of the same round to this one. If it returns an error, the classes before the malformed one have been
// added, but no members.
func (r *reportResponse) merge(other *reportResponse) error {
	if len(other.Members) > maxReporters || len(other.Classes) > maxClasses {
		return errMalformedResponse
	}
	for i := range other.Classes {
		if err := r.mergeClass(&other.Classes[i]); err != nil {
			return err
		}
	}
	for _, id := range other.Members {
		if i, found := slices.BinarySearch(r.Members, id); !found {
			r.Members = slices.Insert(r.Members, i, id)
		}
	}
	return nil
}

func (r *reportResponse) mergeClass(c *classCounts) error {
	if len(c.Class) > maxClassNameBytes || math.IsNaN(c.RatePerSecond) || math.IsInf(c.RatePerSecond, 0) {
		return errMalformedResponse
	}
	i, found := slices.BinarySearchFunc(r.Classes, c.Class, func(c classCounts, name string) int { return cmp.Compare(c.Class, name) })
	if !found {
		if len(r.Classes) >= maxClasses {
			return errMalformedResponse
		}
		r.Classes = slices.Insert(r.Classes, i, classCounts{Class: c.Class, latencyCounts: make([]int64, len(emptyHistogram().Counts))})
	}
	sum := &r.Classes[i]
	if err := addCounts(c.Latencies, sum.latencyCounts); err != nil {
		return err
	}
	sum.Served += c.Served
	sum.Throttled += c.Throttled
	sum.Failed += c.Failed
	sum.Abandoned += c.Abandoned
	sum.RatePerSecond += c.RatePerSecond
	return nil
}

// hasMember reports whether the statistics of a member are in the response.
func (r *reportResponse) hasMember(id swim.ID) bool {
	_, found := slices.BinarySearch(r.Members, id)
	return found
}
