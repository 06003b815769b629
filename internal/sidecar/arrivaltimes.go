package sidecar

// mergeArrivalsSeconds is the time within which bytes count as arrived together.
const mergeArrivalsSeconds = 0.001

// arrivalTimes tells when the buffered bytes of a connection arrived. A request's time counts from its last byte; one that was pipelined
// behind another may stay in the buffer for as long as that takes.
type arrivalTimes struct {
	totalBytes uint64 // received in all
	marks      []arrivalMark
}

// arrivalMark is the time at which the bytes up to an offset had arrived.
type arrivalMark struct {
	end uint64
	at  float64
}

// add notes that bytes have arrived.
func (t *arrivalTimes) add(n int, now float64) {
	t.totalBytes += uint64(n)
	if last := len(t.marks) - 1; last >= 0 && now-t.marks[last].at < mergeArrivalsSeconds {
		t.marks[last].end = t.totalBytes
		return
	}
	t.marks = append(t.marks, arrivalMark{t.totalBytes, now})
}

// reset forgets all marks: nothing that is buffered waits for an earlier response.
func (t *arrivalTimes) reset() { t.marks = t.marks[:0] }

// arrivedAt returns when the last byte arrived that was consumed from the buffer, where unreadBytes are left, and forgets the marks before
// it. It returns now if that is not known.
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
