package swim

import (
	"math/bits"
	"slices"
)

// --- What is known ---

// weight is an entry's part of the sums.
func (v *View) digestOf(e *entry) uint64 {
	if e.isExpired {
		return 0
	}
	class := uint64(0)
	if e.State.IsDeadOrLeft() {
		class = uint64(e.State)
	}
	return mix(uint64(e.ID) ^ mix(e.Version.Incarnation^mix(e.Version.BootID^class<<56)))
}

// weigh puts an entry's part into the sums, or takes it out again.
func (v *View) toggleDigest(e *entry) {
	w := v.digestOf(e)
	v.digest ^= w
	v.bucketDigests[bucketOf(e.ID)] ^= w
}

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// --- Comparing views ---

// buckets is how many sums are compared.
const bucketCount = 64

func bucketOf(id ID) int { return int(mix(uint64(id)) >> 58) }

// compare asks a neighbour what differs.
func (v *View) sendDigests(l *link) {
	v.lastSync = v.now
	v.stats.Syncs++
	v.actions.Send(l.number, &Message{BucketDigests: slices.Clone(v.bucketDigests[:])})
}

// differing tells a neighbour what is held otherwise here, and asks for what it holds.
func (v *View) handleDigests(l *link, theirs []uint64) {
	if len(theirs) != bucketCount {
		v.stats.Rejected++
		return
	}
	mask := uint64(0)
	for i, sum := range v.bucketDigests {
		if sum != theirs[i] {
			mask |= 1 << i
		}
	}
	if mask != 0 {
		v.sendBuckets(l, mask)
		v.actions.Send(l.number, &Message{WantedBuckets: []uint64{mask}})
	}
}

func (v *View) sendBuckets(l *link, mask uint64) {
	var records []Record
	most := min(maxRecordsPerMessage, len(v.entries)*bits.OnesCount64(mask)/bucketCount+8)
	for i, id := range v.ids {
		if mask>>bucketOf(id)&1 == 0 {
			continue
		}
		e := v.entries[i]
		if e.isExpired {
			continue
		}
		if records == nil {
			records = make([]Record, 0, most)
		}
		if records = append(records, v.recordOf(e)); len(records) == maxRecordsPerMessage {
			v.actions.Send(l.number, &Message{Records: records})
			records = nil
		}
	}
	if len(records) > 0 {
		v.actions.Send(l.number, &Message{Records: records})
	}
}
