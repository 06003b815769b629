package sidecar

// mergeArrivalsSeconds is the time within which bytes count as arrived together.
const mergeArrivalsSeconds = 0.001

// arrivalTimes tells when the buffered bytes of a connection arrived. A request's time counts from its last byte; one that was pipelined
// behind another may stay in the buffer for as long as that takes.
type arrivalTimes struct {
	totalBytes uint64 // received in all
	offsets    []timestampedOffset
}

// arrivalMark is the time at which the bytes up to an offset had arrived.
type timestampedOffset struct {
	offset uint64
	at     float64
}

// add notes that bytes have arrived.
func (t *arrivalTimes) add(n int, now float64) {
	t.totalBytes += uint64(n)
	if last := len(t.offsets) - 1; last >= 0 && now-t.offsets[last].at < mergeArrivalsSeconds {
		t.offsets[last].offset = t.totalBytes
		return
	}
	t.offsets = append(t.offsets, timestampedOffset{t.totalBytes, now})
}

// reset forgets all marks: nothing that is buffered waits for an earlier response.
func (t *arrivalTimes) reset() { t.offsets = t.offsets[:0] }

// arrivedAt returns when the last byte arrived that was consumed from the buffer, where unreadBytes are left, and forgets the marks before
// it. It returns now if that is not known.
func (t *arrivalTimes) arrivedAt(unreadBytes int, now float64) float64 {
	consumed := t.totalBytes - uint64(unreadBytes)
	expired := 0
	for expired < len(t.offsets)-1 && t.offsets[expired].offset < consumed {
		expired++
	}
	t.offsets = append(t.offsets[:0], t.offsets[expired:]...)
	if len(t.offsets) == 0 {
		return now
	}
	return t.offsets[0].at
}
