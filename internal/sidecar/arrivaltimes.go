package sidecar

// mergeArrivalsSeconds is the interval within which bytes count as arriving together.
const mergeArrivalsSeconds = 0.001

// arrivalTimes records when the buffered bytes of a connection arrived. A request's timeout counts from the arrival of its last byte, but a
// pipelined request stays in the buffer until the previous one is answered.
type arrivalTimes struct {
	totalBytes uint64 // received on the connection
	offsets    []timestampedOffset
}

// timestampedOffset is an offset in the received bytes, and the time at which all bytes before it had arrived.
type timestampedOffset struct {
	offset uint64
	at     float64
}

// add records the arrival of n bytes.
func (t *arrivalTimes) add(n int, now float64) {
	t.totalBytes += uint64(n)
	if last := len(t.offsets) - 1; last >= 0 && now-t.offsets[last].at < mergeArrivalsSeconds {
		t.offsets[last].offset = t.totalBytes
		return
	}
	t.offsets = append(t.offsets, timestampedOffset{t.totalBytes, now})
}

// reset drops all offsets. It is called when nothing in the buffer waits for an earlier response.
func (t *arrivalTimes) reset() { t.offsets = t.offsets[:0] }

// arrivedAt returns when the last byte that was consumed from the buffer arrived, or now if that is not known. unreadBytes is the number
// of bytes left in the buffer. Offsets before the consumed byte are dropped.
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
