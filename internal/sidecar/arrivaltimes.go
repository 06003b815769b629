package sidecar

// sameArrivalS is the time within which bytes count as having come together.
const mergeArrivalsSeconds = 0.001

// arrivalTimes tells when the bytes of a connection came that are still buffered. A request's time counts from its last byte; one
// that was sent behind another may lie in the buffer for as long as that takes.
type arrivalTimes struct {
	totalBytes uint64 // bytes in all
	marks      []arrivalMark
}

// arrivalMark says when the bytes up to a place came.
type arrivalMark struct {
	end uint64
	at  float64
}

// add notes that bytes have come.
func (t *arrivalTimes) add(n int, now float64) {
	t.totalBytes += uint64(n)
	if last := len(t.marks) - 1; last >= 0 && now-t.marks[last].at < mergeArrivalsSeconds {
		t.marks[last].end = t.totalBytes
		return
	}
	t.marks = append(t.marks, arrivalMark{t.totalBytes, now})
}

// restart forgets when earlier bytes came: none of them waits for an answer to what came before it.
func (t *arrivalTimes) reset() { t.marks = t.marks[:0] }

// of returns when the last byte came that has been taken from the buffer, of which so many are left, and forgets those before it; now
// where that is not known.
func (t *arrivalTimes) arrivedAt(unreadBytes int, now float64) float64 {
	consumed := t.totalBytes - uint64(unreadBytes)
	expired := 0
	for expired < len(t.marks)-1 && t.marks[expired].end < consumed {
		expired++
	}
	t.marks = append(t.marks[:0], t.marks[expired:]...)
	if len(t.marks) == 0 {
		return now
	}
	return t.marks[0].at
}
