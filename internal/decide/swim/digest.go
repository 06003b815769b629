package swim

import (
	"math/bits"
	"slices"
)

// bucketCount is the number of buckets in which views are compared. Each has one bit in Message.WantedBuckets.
const bucketCount = 64

// bucketOf returns the bucket of a member.
func bucketOf(id ID) int { return int(mix(uint64(id)) >> 58) }

// digestOf returns an entry's contribution to the digests. Alive and suspect members contribute the same, since suspicions change too
// fast to be compared.
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

// toggleDigest adds an entry's contribution to the digests, or removes it.
func (v *View) toggleDigest(e *entry) {
	d := v.digestOf(e)
	v.digest ^= d
	v.bucketDigests[bucketOf(e.ID)] ^= d
}

// mix is the finalizer of splitmix64: a bijection that spreads each bit over all.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// sendDigests starts a comparison of views over a link.
func (v *View) sendDigests(l *link) {
	v.lastSync = v.now
	v.stats.Syncs++
	v.actions.Send(l.number, &Message{BucketDigests: slices.Clone(v.bucketDigests[:])})
}

// handleDigests sends the records of the buckets that differ, and requests those of the peer.
func (v *View) handleDigests(l *link, theirs []uint64) {
	if len(theirs) != bucketCount {
		v.stats.Rejected++
		return
	}
	differing := uint64(0)
	for i, digest := range v.bucketDigests {
		if digest != theirs[i] {
			differing |= 1 << i
		}
	}
	if differing != 0 {
		v.sendBuckets(l, differing)
		v.actions.Send(l.number, &Message{WantedBuckets: []uint64{differing}})
	}
}

// sendBuckets sends the records of the buckets whose bits are set.
func (v *View) sendBuckets(l *link, buckets uint64) {
	var records []Record
	expected := min(maxRecordsPerMessage, len(v.entries)*bits.OnesCount64(buckets)/bucketCount+8)
	for i, id := range v.ids {
		if buckets>>bucketOf(id)&1 == 0 {
			continue
		}
		e := v.entries[i]
		if e.isExpired {
			continue
		}
		if records == nil {
			records = make([]Record, 0, expected)
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
